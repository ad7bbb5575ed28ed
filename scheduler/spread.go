package scheduler

import (
	"cmp"
	"maps"
	"slices"

	"briarspring"
	"briarspring/applier"
)

// minExecutorGap is how many more executors than another data centre this one
// must hold before it moves one there.
const minExecutorGap = 2

// spreadEvents moves executors, one of each service at a time, to a data centre
// that holds fewer, such as one that is back in service. The executor is evicted
// first; moveReleaseEvents releases its task once the task waits again.
func (s *Scheduler) spreadEvents() []briarspring.Event {
	var events []briarspring.Event
	for _, id := range s.placement.Workloads() {
		l := s.placement.Workload(id)
		w := s.conf.Workload(id)
		if w == nil || w.Service() == nil || l.Waiting() > 0 || l.Released() > 0 || s.hasPendingMove(id) {
			continue
		}
		to, ok := s.spreadTarget(w)
		if !ok {
			continue
		}
		if t := lastPlaced(l); t != nil {
			s.pendingMoves[briarspring.TaskID{Workload: id, Index: t.Index()}] = to
			events = append(events, s.evictIntent(l, t, "moves to "+to+", which holds fewer executors"))
		}
	}
	return events
}

// hasPendingMove reports whether an executor of the service is being moved.
func (s *Scheduler) hasPendingMove(id briarspring.WorkloadID) bool {
	for task := range s.pendingMoves {
		if task.Workload == id {
			return true
		}
	}
	return false
}

// spreadTarget returns the data centre in service that holds the fewest
// executors, and whether it holds fewer than this one by minExecutorGap.
func (s *Scheduler) spreadTarget(w *applier.Workload) (string, bool) {
	own := w.Assigned(s.config.DataCentre)
	best, fewest := "", own
	for _, name := range s.transferTargets() {
		n := w.Assigned(name)
		if n < fewest && w.Resources().Fits(s.conf.DataCentre(name).Summary().Largest) {
			best, fewest = name, n
		}
	}
	return best, fewest+minExecutorGap <= own
}

// lastPlaced returns the running executor with the highest index.
func lastPlaced(l *applier.AdoptedWorkload) *applier.Task {
	for _, t := range slices.Backward(l.Tasks()) {
		if t.Phase() == applier.PhasePlaced && !t.Evicting() && !t.Cancelled() {
			return t
		}
	}
	return nil
}

func compareTaskIDs(a, b briarspring.TaskID) int {
	return cmp.Or(cmp.Compare(a.Workload, b.Workload), cmp.Compare(a.Index, b.Index))
}

func compareAttempts(a, b briarspring.AttemptID) int {
	return cmp.Or(compareTaskIDs(a.Task, b.Task), cmp.Compare(a.Attempt, b.Attempt))
}

// moveReleaseEvents releases the tasks of executors drained for a move.
func (s *Scheduler) moveReleaseEvents() []briarspring.Event {
	var events []briarspring.Event
	ids := slices.SortedFunc(maps.Keys(s.pendingMoves), compareTaskIDs)
	for _, id := range ids {
		t := s.placement.Task(id)
		switch {
		case t == nil || t.Phase() != applier.PhaseWaiting && t.Phase() != applier.PhasePlaced:
			delete(s.pendingMoves, id)
		case t.Phase() == applier.PhaseWaiting:
			events = append(events, briarspring.Release{Workload: id.Workload, To: s.pendingMoves[id], Indexes: []uint32{id.Index}})
		}
	}
	return events
}
