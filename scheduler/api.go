package scheduler

import (
	"context"
	"fmt"

	"briarspring"
	"briarspring/applier"
)

// NotReadyError means that the scheduler has not read the log to its end yet.
type NotReadyError struct {
	Name string
}

// Error implements error.
func (e *NotReadyError) Error() string {
	return fmt.Sprintf("scheduler %s has not read the log to its end yet", e.Name)
}

// UnknownOutcomeError means that a command may or may not take effect. A retry
// with the same request id returns its answer.
type UnknownOutcomeError struct {
	RequestID string
}

// Error implements error.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("the log did not answer in time; retry with request id %q", e.RequestID)
}

// ReadStates calls f with both states. They must not be used after f returns.
func (s *Scheduler) ReadStates(f func(conf *applier.Config, placement *applier.Placement)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.conf, s.placement)
}

// Changed returns a channel that is closed when either state changes.
func (s *Scheduler) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// DataCentre returns the data centre that the scheduler works in.
func (s *Scheduler) DataCentre() string { return s.config.DataCentre }

// Name returns the name of the process.
func (s *Scheduler) Name() string { return s.config.Name }

// Ready reports whether both streams have been read to their end.
func (s *Scheduler) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.placementCommitter != nil
}

// IsOwner reports whether this scheduler owns the data centre's workers.
func (s *Scheduler) IsOwner() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.owns()
}

// Counters returns the scheduler's activity counters.
func (s *Scheduler) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counters
}

// Submit appends a command and waits until its record was read back. The
// answer's Err is set if the command was refused.
func (s *Scheduler) Submit(ctx context.Context, cmd briarspring.Command) (applier.Answer, error) {
	s.mu.Lock()
	if a, ok := s.conf.Answer(cmd.RequestID); ok {
		s.mu.Unlock()
		return a, nil
	}
	if s.configCommitter == nil {
		s.mu.Unlock()
		return applier.Answer{}, &NotReadyError{Name: s.config.Name}
	}
	ch := make(chan applier.Answer, 1)
	s.answers[cmd.RequestID] = append(s.answers[cmd.RequestID], ch)
	_, ok := s.configCommitter.Commit(cmd)
	s.mu.Unlock()
	if !ok {
		return applier.Answer{}, &NotReadyError{Name: s.config.Name}
	}
	select {
	case a := <-ch:
		return a, nil
	case <-ctx.Done():
		return applier.Answer{}, &UnknownOutcomeError{RequestID: cmd.RequestID}
	case <-s.done:
		return applier.Answer{}, &UnknownOutcomeError{RequestID: cmd.RequestID}
	}
}

// Explanation holds the reasons for a task's current state.
type Explanation struct {
	WaitReason string // Why the task waits; empty if it does not.
	Decisions  []Decision
}

const maxExplainedDecisions = 20

// Explain returns the latest decisions on a task and why it waits.
func (s *Scheduler) Explain(id briarspring.TaskID) Explanation {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Explanation{
		WaitReason: s.waiting.reason(id.Workload),
		Decisions:  s.decisions.newest(maxExplainedDecisions, func(d Decision) bool { return d.Attempt.Task == id }),
	}
}

// LastDecisions returns up to n decisions, newest first.
func (s *Scheduler) LastDecisions(n int) []Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.decisions.newest(n, func(Decision) bool { return true })
}

// WatchDecisions returns a channel of new decisions, which a slow reader may
// miss. It sends none after the context ends.
func (s *Scheduler) WatchDecisions(ctx context.Context) <-chan Decision {
	ch := make(chan Decision, watcherQueueLength)
	s.mu.Lock()
	s.decisions.watchers[ch] = struct{}{}
	s.mu.Unlock()
	context.AfterFunc(ctx, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.decisions.watchers, ch)
	})
	return ch
}

// HostLeaving reports whether a worker's host is leaving.
func (s *Scheduler) HostLeaving(worker string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.agents[worker]
	return a != nil && a.host.Leaving
}
