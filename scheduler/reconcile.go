package scheduler

import (
	"maps"
	"math"
	"slices"

	"briarspring"
	"briarspring/applier"
)

const (
	// maxReleaseTasks limits the tasks in one release.
	maxReleaseTasks = 1000
)

// reconciler holds the workloads for which the placement stream may differ from
// what the configuration assigns to this data centre.
type reconciler struct {
	pending map[briarspring.WorkloadID]struct{}
}

func (r *reconciler) init() { r.pending = map[briarspring.WorkloadID]struct{}{} }

// reconcileEvents returns the events that make the placement stream match the
// configuration.
func (s *Scheduler) reconcileEvents() []briarspring.Event {
	for _, id := range s.conf.TakeDirty() {
		s.reconciler.pending[id] = struct{}{}
	}
	var events []briarspring.Event
	for _, id := range slices.Sorted(maps.Keys(s.reconciler.pending)) {
		more := s.reconcile(id)
		if len(more) == 0 && s.inSync(id) {
			delete(s.reconciler.pending, id)
		}
		events = append(events, more...)
	}
	return events
}

// inSync reports whether a workload that needs no events now needs none until
// the configuration changes.
func (s *Scheduler) inSync(id briarspring.WorkloadID) bool {
	l := s.placement.Workload(id)
	if l == nil {
		return true
	}
	w := s.conf.Workload(id)
	return w != nil && !w.Cancelled() && !w.Finished() && s.conf.Applied() >= l.Offset()
}

// reconcile returns the events for one workload, or none if it matches.
func (s *Scheduler) reconcile(id briarspring.WorkloadID) []briarspring.Event {
	l := s.placement.Workload(id)
	w := s.conf.Workload(id)
	if l != nil && s.conf.Applied() < l.Offset() {
		return nil
	}
	if w == nil || w.Cancelled() || w.Finished() {
		return s.retireEvents(id, l)
	}
	if events := s.adoptEvents(w, l); len(events) > 0 {
		return events
	}
	if l == nil {
		return nil
	}
	return s.cancelUnassigned(w, l)
}

// retireEvents cancels the remaining tasks of a finished workload, then removes
// the workload.
func (s *Scheduler) retireEvents(id briarspring.WorkloadID, l *applier.AdoptedWorkload) []briarspring.Event {
	if l == nil {
		return nil
	}
	if l.Waiting() > 0 || s.hasUncancelled(l) {
		return []briarspring.Event{briarspring.Cancel{Workload: id, First: 0, End: math.MaxUint32}}
	}
	if l.Placed() > 0 || s.summary.stale(l) {
		return nil
	}
	return []briarspring.Event{briarspring.Forget{Workload: id, Seen: s.conf.Applied()}}
}

func (s *Scheduler) hasUncancelled(l *applier.AdoptedWorkload) bool {
	for _, t := range l.Tasks() {
		if t.Phase() == applier.PhaseReleased || t.Phase() == applier.PhasePlaced && !t.Cancelled() {
			return true
		}
	}
	return false
}

// adoptEvents returns the event that adopts the earliest share not adopted yet.
// Shares are adopted in order of offset, since a later adoption voids earlier
// ones.
func (s *Scheduler) adoptEvents(w *applier.Workload, l *applier.AdoptedWorkload) []briarspring.Event {
	var adopted uint64
	if l != nil {
		adopted = l.Offset()
	}
	lowest := uint64(math.MaxUint64)
	for _, share := range w.Shares() {
		if share.DataCentre == s.config.DataCentre && share.Offset > adopted {
			lowest = min(lowest, share.Offset)
		}
	}
	if lowest == math.MaxUint64 {
		return nil
	}
	return []briarspring.Event{s.adoptEvent(w, lowest)}
}

// adoptEvent returns the event that adopts all shares assigned by one record.
func (s *Scheduler) adoptEvent(w *applier.Workload, offset uint64) briarspring.Event {
	e := briarspring.Adopt{
		Workload: w.ID(), Offset: offset, Resources: w.Resources(), Service: w.Service() != nil, Seen: s.conf.Applied(),
	}
	if j := w.Job(); j != nil {
		e.MaxTries = j.MaxTries()
	}
	for _, share := range w.Shares() {
		if share.DataCentre != s.config.DataCentre || share.Offset != offset {
			continue
		}
		if share.Span.Len() > 0 && e.End == 0 {
			e.First, e.End = share.Span.First, share.Span.End
		} else {
			for i := share.Span.First; i < share.Span.End; i++ {
				e.Tasks = append(e.Tasks, briarspring.TaskState{Index: i})
			}
		}
		e.Tasks = append(e.Tasks, share.Tasks...)
	}
	return e
}

// cancelUnassigned cancels the tasks held here that the configuration does not
// assign to this data centre.
func (s *Scheduler) cancelUnassigned(w *applier.Workload, l *applier.AdoptedWorkload) []briarspring.Event {
	holding := w.AssignedTo(s.config.DataCentre)
	var unassigned []uint32
	for _, t := range l.Tasks() {
		if _, held := holding.Has(t.Index()); !held && !t.Cancelled() && t.Phase() != applier.PhaseFailed {
			unassigned = append(unassigned, t.Index())
		}
	}
	for _, span := range l.UnstartedSpans() {
		for i := span.First; i < span.End; i++ {
			if _, held := holding.Has(i); !held {
				unassigned = append(unassigned, i)
			}
		}
	}
	var events []briarspring.Event
	for _, span := range joinSpans(unassigned) {
		events = append(events, briarspring.Cancel{Workload: w.ID(), First: span.First, End: span.End})
	}
	return events
}

// joinSpans merges indexes into half-open ranges.
func joinSpans(indexes []uint32) []applier.Span {
	slices.Sort(indexes)
	var out []applier.Span
	for _, i := range indexes {
		if n := len(out); n > 0 && out[n-1].End == i {
			out[n-1].End = i + 1
			continue
		}
		out = append(out, applier.Span{First: i, End: i + 1})
	}
	return out
}
