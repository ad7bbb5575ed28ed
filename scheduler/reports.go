package scheduler

import (
	"time"

	"briarspring"
	"briarspring/applier"
)

// reportEvents returns the events that follow from the workers' reports.
func (s *Scheduler) reportEvents(now time.Time) []briarspring.Event {
	var events []briarspring.Event
	for _, name := range s.agentNames() {
		a := s.agents[name]
		if a.cancel == nil {
			continue
		}
		w := s.placement.WorkerByName(name)
		if e, ok := s.workerGoneEvent(a, w, now); ok {
			events = append(events, e)
			continue
		}
		if a.receivedAt.IsZero() || a.failures > 0 && a.leaseExpired(now) {
			continue
		}
		if s.needsJoin(a, w) {
			events = append(events, briarspring.WorkerJoin{
				Name: name, Incarnation: a.report.Incarnation, Rack: a.report.Rack, Capacity: a.report.Capacity,
			})
			continue
		}
		if a.unprocessed {
			a.unprocessed = false
			events = append(events, s.taskEvents(a, w)...)
		}
	}
	return events
}

// needsJoin reports whether the recorded worker differs from the reported one.
func (s *Scheduler) needsJoin(a *agent, w *applier.Worker) bool {
	return w == nil || w.Gone() || w.Incarnation() != a.report.Incarnation ||
		w.Capacity() != a.report.Capacity || w.Rack() != a.report.Rack
}

// workerGoneEvent returns the event that removes a worker whose lease has
// expired. Either it did not answer until its lease ended, or operators declared
// it lost and a full lease has passed since.
func (s *Scheduler) workerGoneEvent(a *agent, w *applier.Worker, now time.Time) (briarspring.Event, bool) {
	if w == nil || w.Gone() {
		return nil, false
	}
	if a.failures > 0 && a.leaseExpired(now) {
		s.logger.Warn("worker's lease has expired", "worker", w.Name(), "tasks", w.Len())
		return briarspring.WorkerGone{Worker: w.Number()}, true
	}
	declared := s.conf.LostAt(w.Name())
	if declared <= w.DeclaredLostAt() {
		return nil, false
	}
	if a.lossSeenAt.IsZero() {
		a.lossSeenAt = now
	}
	if now.Sub(a.lossSeenAt) < s.config.LeaseDuration+leaseMargin {
		return nil, false
	}
	a.lossSeenAt = time.Time{}
	s.logger.Warn("worker was declared lost", "worker", w.Name(), "tasks", w.Len(), "declared", declared)
	return briarspring.WorkerGone{Worker: w.Number(), Declared: declared}, true
}

// taskEvents returns the events for the open attempts on a worker that its report
// shows as changed.
func (s *Scheduler) taskEvents(a *agent, w *applier.Worker) []briarspring.Event {
	var events []briarspring.Event
	for _, id := range w.Tasks() {
		t := s.placement.Task(id)
		attempt := briarspring.AttemptID{Task: id, Attempt: t.Attempt()}
		r, known := a.reported[attempt]
		switch {
		case known && r.Phase.Ended():
			events = append(events, s.endEvent(attempt, r, t))
		case known && r.Address != "" && t.Address() != r.Address:
			events = append(events, briarspring.Ready{Attempt: attempt, Address: r.Address})
		case !known && (t.Evicting() || t.Cancelled()) && a.report.Clock > a.notAfter[attempt]:
			// The worker never started it, and it will refuse a start that is still
			// in flight, since the latest start time has passed.
			events = append(events, briarspring.End{Attempt: attempt, Reason: briarspring.EndNotStarted})
		}
	}
	if len(events) > 0 {
		a.wake()
	}
	return events
}

// endEvent converts the end that a worker reports. The checkpoint of an attempt
// that never ran or was lost is the one it had started from.
func (s *Scheduler) endEvent(attempt briarspring.AttemptID, r briarspring.TaskReport, t *applier.Task) briarspring.Event {
	e := briarspring.End{Attempt: attempt, Checkpoint: t.Checkpoint()}
	switch r.Phase {
	case briarspring.TaskDone:
		e.Reason = briarspring.EndDone
		s.quarantine.succeeded(t.Worker(), attempt.Task)
	case briarspring.TaskFailed:
		e.Reason = s.failureReason(attempt, t)
	case briarspring.TaskCheckpointed:
		e.Reason = briarspring.EndEvicted
		e.Checkpoint = r.Checkpoint
	case briarspring.TaskNotStarted:
		e.Reason = briarspring.EndNotStarted
	default:
		e.Reason = briarspring.EndLost
	}
	return e
}

// failureReason records a failed attempt and returns the reason of its end. A
// worker that fails everything is at fault itself: its failures count as lost
// attempts, which use up none of the task's tries.
func (s *Scheduler) failureReason(attempt briarspring.AttemptID, t *applier.Task) briarspring.EndReason {
	s.quarantine.failed(t.Worker(), attempt.Task, t.Failures(), time.Now())
	if s.quarantine.isSuspect(t.Worker()) {
		return briarspring.EndLost
	}
	return briarspring.EndFailed
}
