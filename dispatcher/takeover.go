package dispatcher

import "slices"

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

// loseWorker records that a worker and everything on it is certainly gone.
func (d *Dispatcher) loseWorker(w *worker, why string) {
	d.logger.Warn("worker is gone", "worker", w.id, "why", why, "silent-ms", (d.now - w.answeredAt).Milliseconds(), "runs", len(w.runs), "fenced", w.fenced)
	w.suspects = append(w.suspects, d.suspectRuns(w, d.now)...)
	for _, r := range w.runs {
		d.markLost(r, why)
	}
}
