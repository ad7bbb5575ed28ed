package dispatcher

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"briarspring"
)

const (
	// paceInterval is the least time between two decisions on a worker's pace; the
	// platform averages tails over half a second.
	paceInterval = 200 * time.Millisecond
	// usualWait of a renewal for an end; tails are read as often.
	usualWait = 500 * time.Millisecond
	// pressedWait is the same on a worker where a task presses others; tails rise
	// to several times their target within half a second.
	pressedWait = 220 * time.Millisecond
)

// wait returns how long a renewal waits for an end.
func (w *worker) wait() time.Duration {
	if w.pressed {
		return pressedWait
	}
	return usualWait
}

// pace has the pacer look at a worker and orders what it decides.
func (d *Dispatcher) pace(w *worker) {
	if d.config.Pacer == nil || d.now-w.paceAt < paceInterval {
		return
	}
	w.paceAt = d.now
	serving, filling := w.servingTasks(d.now), w.fillingTasks()
	if d.logger.IsDebug() {
		d.logger.Debug("reading", "worker", w.id, "serving", fmt.Sprint(serving), "filling", fmt.Sprint(filling), "uses", w.uses())
	}
	w.pressed = slices.ContainsFunc(filling, func(f Filling) bool {
		return f.Percent > 0 && d.config.Pacer.Presses(f.Image, serving)
	})
	for _, p := range d.config.Pacer.Decide(d.now, w.id, serving, filling) {
		r := w.runs[p.Run]
		if r == nil {
			continue
		}
		d.setPace(r, p.Percent)
	}
	for _, r := range w.runs {
		if r.pace != r.paceSent && r.state == runAlive && !r.stopping {
			d.sendPace(r)
		}
	}
	d.moveSlowed(w)
}

const (
	// slowPercent is the pace from which a task had better wait for another
	// worker: it holds memory that others could use.
	slowPercent = 20
	// slowTime at that pace before a task with checkpoints gives way; a restart
	// costs 0.25 to 0.6 s.
	slowTime = 900 * time.Millisecond
	// moveShare of full speed elsewhere makes a move worth it.
	moveShare = 0.7
	// slowTimeUnsaved is the same for a task that loses its work.
	slowTimeUnsaved = 2500 * time.Millisecond
	// unsavedPercent of progress up to which a task without checkpoints gives way.
	unsavedPercent = 30
)

// moveSlowed stops tasks that hardly get on, so that they start again where they
// press nothing.
func (d *Dispatcher) moveSlowed(w *worker) {
	for _, r := range w.runs {
		spec := r.task.step.spec()
		if !spec.Fills || r.stopping || r.pace > slowPercent || r.state != runAlive {
			continue
		}
		slowed := d.now - r.slowedAt
		if spec.Checkpoints && slowed < slowTime || !spec.Checkpoints && (slowed < slowTimeUnsaved || r.percent > unsavedPercent) {
			continue
		}
		if r.task.step.job.alive() == 1 {
			// Nothing else of its workflow runs, so it stays unless there is a better
			// place.
			if other, share := d.bestFilling(r.task); other == nil || other == w || share < moveShare {
				continue
			}
		}
		d.stop(r, "gives way to tasks that press less")
	}
}

func (d *Dispatcher) setPace(r *run, percent int) {
	if r.pace == percent {
		return
	}
	d.logger.Debug("pace", "workflow", r.ref.Task.Workflow, "step", r.ref.Task.Step, "index", r.ref.Task.Index,
		"worker", r.worker.id, "image", r.task.step.spec().Image, "percent", percent, "before", r.pace)
	if percent <= slowPercent && r.pace > slowPercent {
		r.slowedAt = d.now
	}
	r.pace = percent
	r.pacedAt = d.now
	weight := r.task.step.spec().Resources.MilliCPU() * int64(percent) / fullSpeed
	r.worker.filling += weight - r.weight
	r.weight = weight
	d.changed = true
}

func (d *Dispatcher) sendPace(r *run) {
	r.paceSent = r.pace
	r.paceAt = d.now
	d.counters.Paces++
	o := Order{Kind: OrderPace, Worker: r.worker.id, Address: r.worker.entry.Address}
	o.Pace.Run = r.ref
	o.Pace.Percent = r.pace
	o.Pace.Token = d.config.Token
	d.orders = append(d.orders, o)
}

// staleReading is the age from which a tail says nothing about the present.
const staleReading = 1500 * time.Millisecond

// servingTasks returns the lasting tasks with a target on a worker.
func (w *worker) servingTasks(now time.Duration) []Serving {
	var list []Serving
	for _, r := range w.runs {
		spec := r.task.step.spec()
		if !spec.Lasting || spec.TailTarget <= 0 || r.state != runAlive {
			continue
		}
		tail := r.usage / float64(spec.TailTarget.Milliseconds())
		list = append(list, Serving{Image: spec.Image, Tail: tail, Marked: r.usage > 0 && now-r.usageAt < staleReading})
	}
	slices.SortFunc(list, func(a, b Serving) int {
		return cmp.Or(cmp.Compare(a.Image, b.Image), cmp.Compare(a.Tail, b.Tail))
	})
	return list
}

// fillingTasks returns the tasks that fill on a worker.
func (w *worker) fillingTasks() []Filling {
	var list []Filling
	for _, r := range w.runs {
		spec := r.task.step.spec()
		if !spec.Fills || r.stopping || r.state != runAlive {
			continue
		}
		list = append(list, Filling{
			Run: r.ref, Image: spec.Image, Cores: float64(spec.Resources.MilliCPU()) / briarspring.MilliCPUPerCore, Used: r.usage / briarspring.MilliCPUPerCore, Percent: r.pace, Progress: r.percent,
		})
	}
	slices.SortFunc(list, func(a, b Filling) int {
		return cmp.Or(
			cmp.Compare(a.Run.Task.Workflow, b.Run.Task.Workflow),
			cmp.Compare(a.Run.Task.Step, b.Run.Task.Step),
			cmp.Compare(a.Run.Task.Index, b.Run.Task.Index),
		)
	})
	return list
}

// uses returns the processors that other than lasting tasks use, for logs.
func (w *worker) uses() string {
	var list []string
	for _, r := range w.runs {
		if !r.task.step.spec().Lasting {
			list = append(list, fmt.Sprintf("%s:%.2f/%d%%", r.task.step.spec().Image, r.usage, r.percent))
		}
	}
	slices.Sort(list)
	return fmt.Sprint(list)
}
