package dispatcher

import (
	"slices"
	"time"
)

// mayAct reports whether tasks of a step may start, stop as a partial gang, or move to
// another data centre: an earlier owner can't have started any of them unseen.
func (d *Dispatcher) mayAct(s *step) bool {
	if !d.config.Predecessor || d.takenOver(s.job.workflow.Service) {
		return true
	}
	return !slices.ContainsFunc(s.tasks, func(t *task) bool { return t.local && t.offset < d.config.Token })
}

// takenOver reports whether nothing is unknown any more of what earlier owners may
// have started on the workers of a service: each of them has accepted this owner's
// token and listed all its ends, or has lost its runs. Other services' workers run
// none of its tasks. The answer holds for one planning pass.
func (d *Dispatcher) takenOver(service string) bool {
	known, ok := d.takeover[service]
	if ok {
		return known
	}
	known = d.workersListed && d.now >= d.startsFrom && !slices.ContainsFunc(d.workersByID, func(w *worker) bool {
		return w.inherited && w.mayRun(service) && !w.reported && !w.gone && !d.leaseEnded(w)
	})
	d.takeover[service] = known
	if known && !d.takeoverLogged[service] {
		d.takeoverLogged[service] = true
		d.logTakeover(service)
		d.markAway(service)
	}
	return known
}

// mayRun reports whether the worker may run tasks of a service; one that is only
// recorded may be of any.
func (w *worker) mayRun(service string) bool {
	return w.entry.Service == service || w.entry.Service == ""
}

// replaced reports whether a newer process has the worker's address, so that the
// worker itself, with all its runs, is gone.
func (d *Dispatcher) replaced(w *worker) bool {
	return slices.ContainsFunc(d.workersByID, func(o *worker) bool {
		return o != w && o.listed && o.entry.Address == w.entry.Address && o.entry.StartedAt > w.entry.StartedAt
	})
}

// loseWorker records that a worker and everything on it is certainly gone. A run that
// a late start may still begin in the worker's next process is lost once it can't.
func (d *Dispatcher) loseWorker(w *worker, why string) {
	heldBefore := 0
	for _, r := range w.runs {
		if r.held {
			heldBefore++
		}
	}
	if heldBefore < len(w.runs) || len(w.runs) == 0 {
		d.logger.Warn("worker is gone", "worker", w.id, "why", why, "silent-ms", (d.now - w.answeredAt).Milliseconds(), "runs", len(w.runs), "fenced", w.fenced)
		w.suspects = append(w.suspects, d.suspectRuns(w, d.now)...)
	}
	for _, r := range w.runs {
		switch end := d.lateStartEnd(w, r); {
		case end <= d.now && r.held:
			d.markLost(r, "its late start is not waited for any longer")
		case end <= d.now:
			d.markLost(r, why)
		case !r.held:
			d.holdRun(r, end)
		case d.now-r.doubtMarkedAt >= doubtRecordInterval:
			r.doubtMarkedAt = d.now
			d.markDirty(r.task.step.job)
		}
	}
}

// holdRun keeps a run of a silent worker until a time at which a late start of it has
// certainly ended, unless the worker answers first.
func (d *Dispatcher) holdRun(r *run, end time.Duration) {
	r.held, r.doubtMarkedAt = true, d.now
	d.markDirty(r.task.step.job)
	d.counters.HeldStarts++
	d.logger.Info("waiting for a start that may be carried out late", "workflow", r.ref.Task.Workflow, "step", r.ref.Task.Step, "index", r.ref.Task.Index,
		"run", r.ref.Run, "worker", r.worker.id, "state", r.state.String(), "sent-ms", (d.now - r.since).Milliseconds(), "at-most-ms", (end - d.now).Milliseconds())
}
