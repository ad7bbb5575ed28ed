package imitator

import (
	"time"

	"briarspring"
)

const (
	// fullPace is the pace in percent at which a run begins.
	fullPace = 100
	// atWork is the percent that is told of a lasting task, wholeWork that of a task
	// that has done all its work.
	atWork    = 100
	wholeWork = 100
	// calmTail is the tail of a task that serves while nothing presses it, as a
	// share of its target.
	calmTail = 0.4
)

// poolRun is a run that is alive on a worker of a Pool.
type poolRun struct {
	checkpoint string
	step       *briarspring.Step // Nil for a run that nobody submitted.
	work       time.Duration     // At full speed; zero for a lasting task.
	left       time.Duration     // Of the work, at since.
	since      time.Time
	pace       int  // In percent.
	waits      bool // For other members of its gang.
	timer      *time.Timer
	finish     func() // Called when the work may be done.
}

func newPoolRun(checkpoint string, work time.Duration, step *briarspring.Step) *poolRun {
	return &poolRun{checkpoint: checkpoint, step: step, work: work, left: work, since: time.Now(), pace: fullPace}
}

// advance takes off the work that was done since the last call.
func (r *poolRun) advance() {
	now := time.Now()
	if r.waits {
		r.since = now
		return
	}
	r.left -= now.Sub(r.since) * time.Duration(r.pace) / fullPace
	r.since = now
}

// over reports whether the work is done.
func (r *poolRun) over() bool {
	r.advance()
	return r.work > 0 && r.left <= 0
}

// schedule has finish called when the work will be done at the present pace.
func (r *poolRun) schedule() {
	if r.timer != nil {
		r.timer.Stop()
	}
	if r.work == 0 || r.pace == 0 || r.waits {
		return
	}
	// Rounded up, so that nothing is left when finish is called.
	r.timer = time.AfterFunc((r.left*fullPace+time.Duration(r.pace)-1)/time.Duration(r.pace), r.finish)
}

func (r *poolRun) setPace(percent int) {
	r.advance()
	r.pace = percent
	r.schedule()
}

// percent returns the progress of the work; a lasting task is always at work.
func (r *poolRun) percent() int {
	if r.work == 0 {
		return atWork
	}
	r.advance()
	return int(wholeWork * (r.work - max(0, r.left)) / r.work)
}

// usage returns the rough figure that a worker reports of a run: the tail in
// milliseconds of a task that serves, thousandths of a core of others.
func (p *Pool) usage(w *poolWorker, r *poolRun) float64 {
	if p.config.Press == nil || r.step == nil {
		return 0
	}
	if !r.step.Lasting {
		return float64(r.step.Resources.MilliCPU()) * float64(r.pace) / fullPace
	}
	tail := calmTail
	for _, o := range w.runs {
		if o.step != nil && o.step.Fills {
			cores := float64(o.step.Resources.MilliCPU()) / briarspring.MilliCPUPerCore
			tail += p.config.Press(r.step.Image, o.step.Image) * cores * float64(o.pace) / fullPace
		}
	}
	p.account.Readings++
	if tail > 1 {
		p.account.Over++
	}
	return tail * float64(r.step.TailTarget.Milliseconds())
}
