package scheduler

import (
	"maps"
	"slices"
	"time"

	"briarspring"
	"briarspring/applier"
)

const (
	// transferRetryInterval is the time after a transfer before it is repeated, if
	// its tasks are still assigned here.
	transferRetryInterval = 3 * time.Second
	// minFreeShare is the share of a data centre's processors that must be free
	// before others send it waiting tasks.
	minFreeShare = 0.05
)

// evacuationEvents evicts the running tasks of a data centre that is out of
// service and releases its waiting tasks to the others.
func (s *Scheduler) evacuationEvents() []briarspring.Event {
	targets := s.transferTargets()
	if len(targets) == 0 {
		return nil
	}
	var events []briarspring.Event
	for i, id := range s.workloadsByWeight() {
		l := s.placement.Workload(id)
		if len(events) >= maxBatchEvents {
			break
		}
		events = append(events, s.evictAllEvents(l)...)
		if e, ok := s.releaseEvent(l, targets[i%len(targets)]); ok {
			events = append(events, e)
		}
	}
	return events
}

// transferTargets returns the data centres that can take tasks, most free first.
func (s *Scheduler) transferTargets() []string {
	var list []*applier.DataCentre
	for _, d := range s.conf.DataCentres() {
		if d.Name() != s.config.DataCentre && !d.Out() && d.Summary().Workers > 0 {
			list = append(list, d)
		}
	}
	slices.SortStableFunc(list, func(a, b *applier.DataCentre) int {
		return int(freeCPU(b) - freeCPU(a))
	})
	names := make([]string, 0, len(list))
	for _, d := range list {
		names = append(names, d.Name())
	}
	return names
}

func freeCPU(d *applier.DataCentre) int64 {
	return d.Summary().Capacity.Sub(d.Summary().Committed).MilliCPU()
}

// workloadsByWeight returns the workloads held here, services first, then jobs by
// descending weight.
func (s *Scheduler) workloadsByWeight() []briarspring.WorkloadID {
	ids := s.placement.Workloads()
	slices.SortStableFunc(ids, func(a, b briarspring.WorkloadID) int {
		return int(s.weight(b)) - int(s.weight(a))
	})
	return ids
}

// weight returns a workload's weight; services weigh more than any job.
func (s *Scheduler) weight(id briarspring.WorkloadID) uint32 {
	w := s.conf.Workload(id)
	if w == nil {
		return 0
	}
	if w.Job() == nil {
		return briarspring.MaxWeight + 1
	}
	return w.Job().Weight()
}

func (s *Scheduler) evictAllEvents(l *applier.AdoptedWorkload) []briarspring.Event {
	var events []briarspring.Event
	for _, t := range l.Tasks() {
		if t.Phase() == applier.PhasePlaced && !t.Evicting() && !t.Cancelled() {
			events = append(events, s.evictIntent(l, t, "data centre is out of service"))
		}
	}
	return events
}

func (s *Scheduler) evictIntent(l *applier.AdoptedWorkload, t *applier.Task, reason string) briarspring.Event {
	attempt := briarspring.AttemptID{Task: briarspring.TaskID{Workload: l.ID(), Index: t.Index()}, Attempt: t.Attempt()}
	s.recordDecision(Decision{
		Kind: "evict", Attempt: attempt, Worker: s.workerName(t.Worker()), Reason: reason,
	})
	return briarspring.EvictIntent{Attempt: attempt}
}

// releaseEvent releases waiting tasks of a workload, if there are any.
func (s *Scheduler) releaseEvent(l *applier.AdoptedWorkload, to string) (briarspring.Event, bool) {
	return releaseUpTo(l, to, maxReleaseTasks)
}

func releaseUpTo(l *applier.AdoptedWorkload, to string, n int) (briarspring.Event, bool) {
	waiting := l.NextWaiting(n)
	if len(waiting) == 0 {
		return nil, false
	}
	e := briarspring.Release{Workload: l.ID(), To: to}
	for _, t := range waiting {
		e.Indexes = append(e.Indexes, t.Index)
	}
	slices.Sort(e.Indexes)
	return e, true
}

// rebalanceEvents releases waiting tasks that find no room here to a data centre
// that has room. It also moves executors with spreadEvents.
func (s *Scheduler) rebalanceEvents() []briarspring.Event {
	now := time.Now()
	if now.Sub(s.summary.lastRebalance) < s.config.SummaryInterval {
		return nil
	}
	s.summary.lastRebalance = now
	target, room := s.rebalanceTarget()
	if target == "" {
		return nil
	}
	events := s.spreadEvents()
	for _, id := range s.workloadsByWeight() {
		l := s.placement.Workload(id)
		if l.Waiting() == 0 || s.hasPendingMove(id) || !s.waiting.blockedWithin(id, now, 2*s.config.SummaryInterval) {
			continue
		}
		need := max(l.Resources().MilliCPU(), 1)
		n := min(int64(l.Waiting()), room/need, maxReleaseTasks)
		if n <= 0 || !l.Resources().Fits(s.conf.DataCentre(target).Summary().Largest) {
			continue
		}
		if e, ok := releaseUpTo(l, target, int(n)); ok {
			events = append(events, e)
			room -= n * need
		}
	}
	return events
}

// rebalanceTarget returns the data centre with the most free processors, if their
// share is at least minFreeShare, and how many milli-CPU of them to fill.
func (s *Scheduler) rebalanceTarget() (string, int64) {
	names := s.transferTargets()
	if len(names) == 0 {
		return "", 0
	}
	d := s.conf.DataCentre(names[0])
	free := freeCPU(d)
	if float64(free) < minFreeShare*float64(d.Summary().Capacity.MilliCPU()) {
		return "", 0
	}
	// The other data centres see the same free processors; each fills its part.
	return d.Name(), free / int64(len(names))
}

// sendTransfers appends the transfers of released tasks. It depends only on the
// streams' state, so that a new owner completes what the last one began.
func (s *Scheduler) sendTransfers() {
	now := time.Now()
	for _, id := range s.placement.Workloads() {
		l := s.placement.Workload(id)
		w := s.conf.Workload(id)
		if w == nil || now.Sub(s.summary.transferSent[id]) < transferRetryInterval {
			continue
		}
		released := s.releasedTasks(w, l)
		for _, to := range slices.Sorted(maps.Keys(released)) {
			tasks := released[to]
			s.summary.transferSent[id] = now
			s.configCommitter.Commit(briarspring.Transfer{
				Workload: id, From: s.config.DataCentre, To: to, Granted: l.Offset(), Tasks: tasks,
			})
			s.logger.Info("transferring tasks", "workload", w.Name(), "to", to, "tasks", len(tasks))
		}
	}
}

// releasedTasks returns the released tasks that the configuration still assigns
// to this data centre, by receiving data centre.
func (s *Scheduler) releasedTasks(w *applier.Workload, l *applier.AdoptedWorkload) map[string][]briarspring.TaskState {
	out := map[string][]briarspring.TaskState{}
	if l.Released() == 0 {
		return out
	}
	holding := w.AssignedTo(s.config.DataCentre)
	for _, t := range l.Tasks() {
		if t.Phase() != applier.PhaseReleased {
			continue
		}
		if offset, held := holding.Has(t.Index()); held && offset <= l.Offset() {
			out[t.ReleasedTo()] = append(out[t.ReleasedTo()], briarspring.TaskState{
				Index: t.Index(), Attempt: t.Attempt(), Checkpoint: t.Checkpoint(),
			})
		}
	}
	return out
}
