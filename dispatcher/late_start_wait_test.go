package dispatcher_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"briarspring"
	"briarspring/dispatcher"
)

const (
	// longestWait is how long a start without an answer may keep its task from starting
	// elsewhere: 13 s until neither it nor the renewal that followed it can be carried out
	// late any more, the longest lease of 6 s by a slow clock, and two intervals of advance.
	longestWait = 13*time.Second + 6200*time.Millisecond + 400*time.Millisecond
	// leaseTime is when a worker's last lease has ended.
	leaseTime = 7 * time.Second
)

// silentAfterAStart returns a fixture with two workers, and the run of a start that w0 has
// not answered before it fell silent. Another task runs on w0.
func silentAfterAStart(t *testing.T, spec briarspring.Step) (*fixture, briarspring.RunRef) {
	s := newFixture(t, dispatcher.Config{Token: 1}, 2)
	s.d.SetWorkers(s.now, s.entries("w0"))
	s.d.Submit(s.now, 0, workflow("running", step(1, 1000)), 4, nil, nil)
	require.Len(t, starts(s.planAndApply())["w0"], 1)
	s.renew("w0")
	s.d.Submit(s.now, 0, workflow("a", spec), 5, nil, nil)
	s.d.ForcePlan()
	orders := s.d.Plan(s.now)
	require.Len(t, starts(orders)["w0"], 1)
	s.d.HandleVerdict(s.now, orders[0], briarspring.VerdictUnanswered)
	s.d.SetWorkers(s.now, s.entries("w0", "w1"))
	return s, orders[0].Start.Run
}

// withoutW0 is advance while w0 doesn't answer. It returns the workflows that have started.
func (s *fixture) withoutW0(d time.Duration) (started []briarspring.WorkflowID) {
	orders := s.advanceWith(d, func() {
		s.d.NextRenewal(s.now, "w0")
		s.d.RenewalFailed(s.now, "w0", briarspring.VerdictUnanswered)
		s.advanceProgress("w1")
		s.renew("w1")
		s.store()
	})
	for _, o := range orders {
		if o.Kind == dispatcher.OrderStart {
			started = append(started, o.Start.Run.Task.Workflow)
		}
	}
	return started
}

// Guards against a task that starts again while its first start may still be carried out by
// a process of the worker that nobody has heard, and against waits that nothing requires.
func TestWaitForALateStart(t *testing.T) {
	t.Run("is for that task alone", func(t *testing.T) {
		s, _ := silentAfterAStart(t, step(1, 1000))
		assert.Equal(t, []briarspring.WorkflowID{"running"}, s.withoutW0(leaseTime))
		assert.Equal(t, uint64(1), s.d.Counters().HeldStarts)
	})
	t.Run("ends when the start can't be alive any more", func(t *testing.T) {
		s, _ := silentAfterAStart(t, step(1, 1000))
		assert.NotContains(t, s.withoutW0(18*time.Second), briarspring.WorkflowID("a"))
		assert.Contains(t, s.withoutW0(longestWait-18*time.Second), briarspring.WorkflowID("a"))
	})
	t.Run("counts the worker's loss once", func(t *testing.T) {
		s, _ := silentAfterAStart(t, step(1, 1000))
		s.withoutW0(leaseTime)
		suspects := s.d.Counters().Suspects
		s.withoutW0(longestWait - leaseTime)
		assert.Equal(t, suspects, s.d.Counters().Suspects)
	})
	t.Run("ends when the next process doesn't list the run", func(t *testing.T) {
		s, run := silentAfterAStart(t, step(1, 1000))
		s.withoutW0(leaseTime)
		s.restart("w0")
		orders := s.advance(time.Second)
		assert.Contains(t, stopsOn(orders, "w0"), run)
		assert.Equal(t, 1, countRuns(starts(orders)))
	})
	t.Run("ends when the next process lists the run", func(t *testing.T) {
		s, run := silentAfterAStart(t, step(1, 1000))
		s.withoutW0(leaseTime)
		s.restart("w0")
		s.workers["w0"].running[run] = briarspring.RunningTask{Run: run, Percent: 10}
		assert.NotContains(t, starts(s.advance(600 * time.Millisecond))["w1"], briarspring.RunRef{Task: run.Task, Run: run.Run + 1})
		s.endRun("w0", run, briarspring.RunDone)
		s.advance(time.Second)
		assert.Equal(t, briarspring.PhaseCompleted, s.phases()["a"])
	})
	t.Run("ends when another process has the worker's address", func(t *testing.T) {
		s, _ := silentAfterAStart(t, step(1, 1000))
		s.withoutW0(leaseTime)
		next := s.workers["w0"].entry
		next.ID, next.StartedAt = "w2", 2
		s.workers["w2"] = &fakeWorker{entry: next, startedAt: 2, running: map[briarspring.RunRef]briarspring.RunningTask{}}
		s.d.SetWorkers(s.now, append(s.entries("w0", "w1"), next))
		s.renew("w2")
		s.d.RenewalFailed(s.now, "w0", briarspring.VerdictOtherIncarnation)
		s.d.ForcePlan()
		assert.Equal(t, 1, countRuns(starts(s.d.Plan(s.now))))
	})
	t.Run("is not for steps that may run copies", func(t *testing.T) {
		spec := step(1, 1000)
		spec.Speculative = true
		s, _ := silentAfterAStart(t, spec)
		assert.Contains(t, s.withoutW0(leaseTime), briarspring.WorkflowID("a"))
	})
	t.Run("is for a long-running task while its worker is listed", func(t *testing.T) {
		s, _ := silentAfterAStart(t, longRunning(1, 1000))
		assert.NotContains(t, s.withoutW0(leaseTime), briarspring.WorkflowID("a"))
		s.d.SetWorkers(s.now, s.entries("w1"))
		assert.NotContains(t, s.withoutW0(1800*time.Millisecond), briarspring.WorkflowID("a"))
		assert.Contains(t, s.withoutW0(time.Second), briarspring.WorkflowID("a"))
	})
	t.Run("is not for a long-running task whose worker has left the list", func(t *testing.T) {
		s, _ := silentAfterAStart(t, longRunning(1, 1000))
		s.withoutW0(4 * time.Second)
		s.d.SetWorkers(s.now, s.entries("w1"))
		assert.Contains(t, s.withoutW0(leaseTime-4*time.Second), briarspring.WorkflowID("a"))
	})
	t.Run("is for any other task whose worker has left the list", func(t *testing.T) {
		s, _ := silentAfterAStart(t, step(1, 1000))
		s.d.SetWorkers(s.now, s.entries("w1"))
		assert.NotContains(t, s.withoutW0(18*time.Second), briarspring.WorkflowID("a"))
	})
	t.Run("is not for a start that was refused", func(t *testing.T) {
		s := newFixture(t, dispatcher.Config{Token: 1}, 2)
		s.d.SetWorkers(s.now, s.entries("w0"))
		s.d.Submit(s.now, 0, workflow("a", step(1, 1000)), 5, nil, nil)
		s.d.ForcePlan()
		s.d.HandleVerdict(s.now, s.d.Plan(s.now)[0], briarspring.VerdictFull)
		s.d.SetWorkers(s.now, s.entries("w0", "w1"))
		assert.Contains(t, s.withoutW0(time.Second), briarspring.WorkflowID("a"))
	})
	t.Run("is not for a start that was not sent", func(t *testing.T) {
		s := newFixture(t, dispatcher.Config{Token: 1}, 2)
		s.d.SetWorkers(s.now, s.entries("w0"))
		s.d.Submit(s.now, 0, workflow("a", step(1, 1000)), 5, nil, nil)
		s.d.ForcePlan()
		s.d.HandleVerdict(s.now, s.d.Plan(s.now)[0], briarspring.VerdictUnsent)
		s.d.SetWorkers(s.now, s.entries("w0", "w1"))
		assert.Contains(t, s.withoutW0(400*time.Millisecond), briarspring.WorkflowID("a"))
		assert.Equal(t, uint64(1), s.d.Counters().Unsent)
		assert.Zero(t, s.d.Counters().Doubts)
	})
}

// Guards against a new owner that starts a task again while its first start, which the owner
// before had sent without an answer, may still be carried out.
func TestWaitForALateStartAfterTakeover(t *testing.T) {
	// takeOverSilent returns a new owner to which w0 doesn't answer, with what was recorded
	// of a start there after its verdict.
	takeOverSilent := func(t *testing.T, v briarspring.Verdict) *fixture {
		s := newFixture(t, dispatcher.Config{Token: 1}, 2)
		s.d.SetWorkers(s.now, s.entries("w0"))
		s.d.Submit(s.now, 0, workflow("a", step(1, 1000)), 5, nil, nil)
		s.d.ForcePlan()
		orders := s.d.Plan(s.now)
		require.Len(t, starts(orders)["w0"], 1)
		s.d.HandleVerdict(s.now, orders[0], v)
		recorded := s.progressOf("a")
		require.Len(t, recorded, 1)
		assert.Equal(t, v == briarspring.VerdictUnanswered, recorded[0].DoubtLeft > 0)
		next := s.successor(9)
		next.d.SetPredecessorsGone(next.now)
		next.d.SetWorkers(next.now, next.entries("w0", "w1"))
		next.d.Submit(next.now, 0, workflow("a", step(1, 1000)), 5, recorded, nil)
		next.d.Submit(next.now, 0, workflow("b", step(1, 1000)), 6, nil, nil)
		return next
	}
	t.Run("is for the run in doubt alone", func(t *testing.T) {
		s := takeOverSilent(t, briarspring.VerdictUnanswered)
		started := s.withoutW0(18 * time.Second)
		assert.Contains(t, started, briarspring.WorkflowID("b"))
		assert.NotContains(t, started, briarspring.WorkflowID("a"))
		assert.Contains(t, s.withoutW0(longestWait-18*time.Second), briarspring.WorkflowID("a"))
	})
	t.Run("is handed on to the next owner", func(t *testing.T) {
		s := takeOverSilent(t, briarspring.VerdictUnanswered)
		s.advanceWith(leaseTime, func() { s.renew("w1") })
		recorded := s.progressOf("a")
		require.Len(t, recorded, 1)
		assert.Positive(t, recorded[0].DoubtLeft)
		assert.Less(t, recorded[0].DoubtLeft, longestWait-leaseTime+time.Second)
	})
	t.Run("is little longer than without takeovers", func(t *testing.T) {
		s := takeOverSilent(t, briarspring.VerdictUnanswered)
		began := s.now
		for token := uint64(10); s.now-began < longestWait-4*time.Second; token++ {
			var recorded []briarspring.TaskProgress
			s.advanceWith(6*time.Second, func() {
				s.renew("w1")
				b, due := s.d.TakeBatch()
				if p := decodeProgress(t, b, "a"); due && p != nil {
					recorded = p
				}
				s.d.Stored(b)
			})
			require.NotEmpty(t, recorded)
			next := s.successor(token)
			next.d.SetPredecessorsGone(next.now)
			next.d.SetWorkers(next.now, next.entries("w0", "w1"))
			next.d.Submit(next.now, 0, workflow("a", step(1, 1000)), 5, recorded, nil)
			s = next
		}
		assert.Contains(t, s.withoutW0(leaseTime), briarspring.WorkflowID("a"))
		assert.Less(t, s.now-began, 2*longestWait-leaseTime)
	})
	t.Run("is not for a run that the worker had accepted", func(t *testing.T) {
		s := takeOverSilent(t, briarspring.VerdictDone)
		assert.Contains(t, s.withoutW0(leaseTime), briarspring.WorkflowID("a"))
	})
	t.Run("leaves the record once the run is listed", func(t *testing.T) {
		s, run := silentAfterAStart(t, step(1, 1000))
		require.Positive(t, s.progressOf("a")[0].DoubtLeft)
		s.workers["w0"].running[run] = briarspring.RunningTask{Run: run, Percent: 10}
		s.renew("w0")
		assert.Zero(t, s.progressOf("a")[0].DoubtLeft)
	})
}
