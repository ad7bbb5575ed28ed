package imitator

import (
	"time"

	"briarspring"
)

const (
	// fullPace is full speed in percent, at which a run starts.
	fullPace = 100
	// longRunningPercent is the progress that is reported for a long-running task,
	// completePercent that of a task that has done all its work.
	longRunningPercent = 100
	completePercent    = 100
	// baseTail is the tail latency of a serving task without interference, as a
	// fraction of its target.
	baseTail = 0.4
)

// poolRun is a live run on a worker of a Pool.
type poolRun struct {
	checkpoint string
	step       *briarspring.Step // Nil for a run of a workflow that was never submitted.
	work       time.Duration     // Run time at full speed; zero for a long-running task.
	remaining  time.Duration     // Work remaining at advancedAt.
	advancedAt time.Time
	pace       int  // In percent.
	awaitsGang bool // Waits for other members of its gang.
	timer      *time.Timer
	finish     func() // Called when the work should be done.
}

func newPoolRun(checkpoint string, work time.Duration, step *briarspring.Step) *poolRun {
	return &poolRun{checkpoint: checkpoint, step: step, work: work, remaining: work, advancedAt: time.Now(), pace: fullPace}
}

// advance subtracts the work done since the last call.
func (r *poolRun) advance() {
	now := time.Now()
	if r.awaitsGang {
		r.advancedAt = now
		return
	}
	r.remaining -= now.Sub(r.advancedAt) * time.Duration(r.pace) / fullPace
	r.advancedAt = now
}

// isDone reports whether the work is done. It is false for a long-running task.
func (r *poolRun) isDone() bool {
	r.advance()
	return r.work > 0 && r.remaining <= 0
}

// scheduleFinish sets the timer that calls finish when the work is done at the
// present pace.
func (r *poolRun) scheduleFinish() {
	if r.timer != nil {
		r.timer.Stop()
	}
	if r.work == 0 || r.pace == 0 || r.awaitsGang {
		return
	}
	// Rounded up, so that no work remains when finish is called.
	r.timer = time.AfterFunc((r.remaining*fullPace+time.Duration(r.pace)-1)/time.Duration(r.pace), r.finish)
}

func (r *poolRun) setPace(percent int) {
	r.advance()
	r.pace = percent
	r.scheduleFinish()
}

// progressPercent returns the progress of the work. A long-running task always
// reports longRunningPercent.
func (r *poolRun) progressPercent() int {
	if r.work == 0 {
		return longRunningPercent
	}
	r.advance()
	return int(completePercent * (r.work - max(0, r.remaining)) / r.work)
}

// reportedUsage returns the approximate usage that a worker reports for a run:
// the tail latency in milliseconds of a long-running task, or the CPU of another
// task in thousandths of a core.
func (p *Pool) reportedUsage(w *poolWorker, r *poolRun) float64 {
	if p.config.Interference == nil || r.step == nil {
		return 0
	}
	if !r.step.LongRunning {
		return float64(r.step.Resources.MilliCPU()) * float64(r.pace) / fullPace
	}
	tail := baseTail
	for _, o := range w.runs {
		if o.step != nil && o.step.BestEffort {
			cores := float64(o.step.Resources.MilliCPU()) / briarspring.MilliCPUPerCore
			tail += p.config.Interference(r.step.Image, o.step.Image) * cores * float64(o.pace) / fullPace
		}
	}
	p.counts.TailReports++
	if tail > 1 {
		p.counts.TailsOverTarget++
	}
	return tail * float64(r.step.TailTarget.Milliseconds())
}
