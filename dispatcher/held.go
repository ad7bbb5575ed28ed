package dispatcher

import (
	"slices"
	"time"

	"briarspring"
)

// HeldEnd is an end that its worker must not drop yet: no record of this owner can
// cover it, since the task is not known here, is being transferred, or has moved to
// another data centre.
type HeldEnd struct {
	Worker string
	Run    briarspring.RunRef
	Done   bool          // The run is done; otherwise it has failed.
	At     time.Duration // When it was held.

	end         briarspring.EndedTask
	incarnation int64
}

// Progress returns the end as progress of the task at a position.
func (h HeldEnd) Progress(position int) briarspring.TaskProgress {
	p := briarspring.TaskProgress{Position: position, Done: h.Done, Run: h.Run.Run}
	if !h.Done {
		p.FailedRuns = []uint32{h.Run.Run}
	}
	return p
}

// mustHold reports whether an end has to be held. Ends that need no record, and those
// that progress of the task already covers, never are.
func (d *Dispatcher) mustHold(j *job, e briarspring.EndedTask) bool {
	if e.End != briarspring.RunDone && e.End != briarspring.RunFailed {
		return false
	}
	if j == nil {
		return true
	}
	t := j.task(e.Run.Task)
	switch {
	case t == nil || t.local && !t.transferring || j.cancelled || j.phase.Final() || t.step.spec().LongRunning:
		return false
	case t.done:
		return false
	}
	return e.End == briarspring.RunDone || !slices.Contains(t.failedRuns, e.Run.Run)
}

// hold holds an end. Its run is over in any case.
func (d *Dispatcher) hold(w *worker, e briarspring.EndedTask) {
	d.logHeldEnd(w, e)
	w.held = append(w.held, HeldEnd{
		Worker: w.id, Run: e.Run, Done: e.End == briarspring.RunDone, At: d.now, end: e, incarnation: w.incarnation,
	})
	if r := w.runs[e.Run]; r != nil {
		d.removeRun(r)
	}
}

// lastRecordable returns the number up to which stored records cover the worker's ends
// once those of the jobs that have changed are stored.
func (w *worker) lastRecordable() uint64 {
	if len(w.held) > 0 {
		return w.held[0].end.Number - 1
	}
	return w.lastEndSeen
}

// HeldEnds returns the ends that are held.
func (d *Dispatcher) HeldEnds() []HeldEnd {
	var list []HeldEnd
	for _, w := range d.workersByID {
		list = append(list, w.held...)
	}
	return list
}

// ReleaseEnd lets the worker drop an end: it is recorded elsewhere, or nothing depends
// on it.
func (d *Dispatcher) ReleaseEnd(h HeldEnd) {
	w := d.workers[h.Worker]
	if w == nil || w.incarnation != h.incarnation {
		return
	}
	w.held = slices.DeleteFunc(w.held, func(o HeldEnd) bool { return o.end.Number == h.end.Number })
}

// resumeEnds processes the held ends of a workflow after its tasks came or went.
func (d *Dispatcher) resumeEnds(id briarspring.WorkflowID) {
	for _, w := range d.workersByID {
		held := w.held
		w.held = nil
		for _, h := range held {
			if h.Run.Task.Workflow == id && !d.mustHold(d.jobs[id], h.end) {
				d.handleEnd(w, h.end)
			} else {
				w.held = append(w.held, h)
			}
		}
	}
}

// ApplyEnds applies ends that other data centres recorded for tasks that run here now, or
// that tasks here depend on.
func (d *Dispatcher) ApplyEnds(now time.Duration, id briarspring.WorkflowID, ends map[int]briarspring.TaskProgress) {
	d.now = now
	j := d.jobs[id]
	if j == nil || j.inactive() {
		return
	}
	for position, p := range ends {
		if position >= len(j.tasks) {
			continue
		}
		t := j.tasks[position]
		t.doneShared = t.doneShared || p.Done
		if !t.local {
			if p.Done {
				t.markDone(now)
			}
			continue
		}
		d.noteStarted(t, startEnded, p.Run, "")
		for _, run := range p.FailedRuns {
			t.countFailure(run)
		}
		if p.Done && !t.done && !t.step.spec().LongRunning {
			d.logger.Info("task is done elsewhere", "workflow", id, "step", t.step.number, "index", t.index, "run", p.Run, "runs", len(t.runs))
			t.markDone(now)
			for _, r := range t.runs {
				d.stop(r, "the task is done elsewhere")
			}
		}
	}
	d.markDirty(j)
	d.updatePhase(j)
}
