package dispatcher

import (
	"cmp"
	"slices"
	"time"
)

const (
	// leaveMargin before a draining worker leaves, at which everything that still
	// runs there is stopped: the longest stated stop time of 0.9 s, and orders on
	// the way. A stop gives a certain end, a worker that is gone only a lease that
	// has to lapse.
	leaveMargin = 1500 * time.Millisecond
	// maxEntryAge bounds the age of an entry by the worker's clock; entries are
	// written every 1.5 s.
	maxEntryAge = 3 * time.Second
)

// noteLeaving works out when a draining worker leaves, from its latest entry.
func (d *Dispatcher) noteLeaving(w *worker) {
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

// clearDraining has what runs on draining workers start elsewhere before they
// leave: lasting tasks as soon as there is room, one at a time for each worker,
// the rest when it would be cut off.
func (d *Dispatcher) clearDraining() {
	for _, w := range d.order {
		if !w.entry.Draining || !w.listed || !w.fenced || len(w.runs) == 0 {
			continue
		}
		if d.now > w.leavesAt-leaveMargin {
			for _, r := range w.runs {
				d.stop(r, "its worker leaves")
			}
			continue
		}
		if r := d.nextMove(w); r != nil && !d.out {
			d.stop(r, "moves before its worker leaves")
		}
	}
}

// mayStopOne reports whether one more task of a lasting step may be stopped, in view
// of how many are not at work.
func (s *step) mayStopOne() bool {
	most := s.spec().MaxMissing
	if most == 0 {
		return true
	}
	missing := 0
	for _, t := range s.tasks {
		if t.mine && !slices.ContainsFunc(t.runs, (*run).works) {
			missing++
		}
	}
	return missing < most
}

// works reports whether a lasting run is at work and stays so.
func (r *run) works() bool { return r.state == runAlive && !r.stopping && r.percent == atWork }

// nextMove returns a lasting run that may start on another worker; nil while one
// is on its way already, or when there is no room.
func (d *Dispatcher) nextMove(w *worker) *run {
	var movable []*run
	for _, r := range w.runs {
		switch {
		case !r.task.step.spec().Lasting:
		case r.stopping:
			return nil
		case r.state == runAlive && r.task.step.mayStopOne() && d.bestReserved(r.task) != nil:
			movable = append(movable, r)
		}
	}
	if len(movable) == 0 {
		return nil
	}
	// The widest first, while there are large holes.
	return slices.MinFunc(movable, func(a, b *run) int {
		return cmp.Or(
			cmp.Compare(b.task.step.spec().Resources.MilliCPU(), a.task.step.spec().Resources.MilliCPU()),
			cmp.Compare(a.ref.Task.Workflow, b.ref.Task.Workflow),
			cmp.Compare(a.ref.Task.Index, b.ref.Task.Index),
		)
	})
}
