package dispatcher

import (
	"cmp"
	"slices"
	"time"
)

const (
	// leaveMargin is the time before a draining worker leaves at which
	// everything that still runs there is stopped: the longest stated stop time
	// of 0.9 s plus the transit of orders. A run that was stopped can start
	// elsewhere at once; after the worker has left, only once its lease has run
	// out.
	leaveMargin = 1500 * time.Millisecond
	// maxEntryAge bounds the age of an entry as computed with the worker's
	// clock; entries are written every 1.5 s.
	maxEntryAge = 3 * time.Second
)

// updateLeaveTime estimates when a draining worker leaves, based on its latest
// entry.
func (d *Dispatcher) updateLeaveTime(w *worker) {
	if !w.entry.Draining {
		w.leavesAt = 0
		return
	}
	age := time.Duration(0)
	if w.fenced && w.entry.Clock > 0 {
		age = min(max(0, w.clockNow(d.now)-w.entry.Clock), maxEntryAge)
	}
	at := d.now + w.entry.Remaining - age
	if w.leavesAt == 0 || at < w.leavesAt {
		w.leavesAt = at
	}
}

// drainWorkers stops the runs on draining workers so that they start elsewhere
// before the worker leaves: long-running tasks as soon as there is room, one at
// a time per worker, all others just before the worker leaves.
func (d *Dispatcher) drainWorkers() {
	for _, w := range d.workersByID {
		if !w.entry.Draining || !w.listed || !w.fenced || len(w.runs) == 0 {
			continue
		}
		if d.now > w.leavesAt-leaveMargin {
			for _, r := range w.runs {
				d.stop(r, "worker leaves")
			}
			continue
		}
		if r := d.nextDrained(w); r != nil && !d.outOfService {
			d.stop(r, "moved before its worker leaves")
		}
	}
}

// mayStopOne reports whether another task of a long-running step may be stopped
// without exceeding MaxMissing.
func (s *step) mayStopOne() bool {
	most := s.spec().MaxMissing
	if most == 0 {
		return true
	}
	missing := 0
	for _, t := range s.tasks {
		if t.local && !slices.ContainsFunc(t.runs, (*run).working) {
			missing++
		}
	}
	return missing < most
}

// working reports whether a long-running run is at work and not being stopped.
func (r *run) working() bool {
	return r.state == runAlive && !r.stopping && !r.unreported && r.progress == atWork
}

// nextDrained returns a long-running run that can move to another worker. It
// returns nil while another one is stopping or when there is no room. Runs of an
// organisation that uses more than its share stay, since they could not start again.
func (d *Dispatcher) nextDrained(w *worker) *run {
	var movable []*run
	for _, r := range w.runs {
		switch {
		case !r.task.step.spec().LongRunning:
		case r.stopping:
			return nil
		case r.state == runAlive && r.task.step.mayStopOne() && d.withinShare(r.task.step.job.organisation) && d.bestReserved(r.task) != nil:
			movable = append(movable, r)
		}
	}
	if len(movable) == 0 {
		return nil
	}
	// Move the largest first, while there are large gaps.
	return slices.MinFunc(movable, func(a, b *run) int {
		return cmp.Or(
			cmp.Compare(b.task.step.spec().Resources.MilliCPU(), a.task.step.spec().Resources.MilliCPU()),
			cmp.Compare(a.ref.Task.Workflow, b.ref.Task.Workflow),
			cmp.Compare(a.ref.Task.Index, b.ref.Task.Index),
		)
	})
}
