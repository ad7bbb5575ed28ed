package dispatcher_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"briarspring"
	"briarspring/dispatcher"
	"briarspring/encoder"
)

// orderOne submits a workflow of one task, and returns the order to start it, which has
// no answer yet.
func orderOne(t *testing.T) (*fixture, dispatcher.Order) {
	s := newFixture(t, dispatcher.Config{Token: 1}, 2)
	s.d.Submit(s.now, 0, workflow("a", step(1, 1000)), 5, nil, nil)
	s.d.ForcePlan()
	orders := s.d.Plan(s.now)
	require.Len(t, orders, 1)
	require.Equal(t, dispatcher.OrderStart, orders[0].Kind)
	return s, orders[0]
}

// phases returns the phases that are due for the shared stream, by workflow.
func (s *fixture) phases() map[briarspring.WorkflowID]briarspring.Phase {
	list := map[briarspring.WorkflowID]briarspring.Phase{}
	for _, r := range s.d.TakePhases() {
		phase, err := encoder.DecodePhase(r.Value)
		require.NoError(s.t, err)
		_, id, _ := strings.Cut(r.Key, "/")
		list[briarspring.WorkflowID(id)] = phase
	}
	return list
}

// progressOf returns the progress of a workflow as the log has it after the next batch.
func (s *fixture) progressOf(id briarspring.WorkflowID) []briarspring.TaskProgress {
	b, due := s.d.TakeBatch()
	require.True(s.t, due)
	s.d.Stored(b)
	return decodeProgress(s.t, b, id)
}

func assertRunningPhase(t *testing.T, s *fixture) {
	t.Helper()
	assert.Equal(t, map[briarspring.WorkflowID]briarspring.Phase{"a": briarspring.PhaseRunning}, s.phases())
}

// Guards against a workflow that is said to run because a start was ordered, though no
// worker has carried it out.
func TestPhaseOfAnOrderedWorkflow(t *testing.T) {
	for _, v := range []briarspring.Verdict{
		briarspring.VerdictUnanswered, briarspring.VerdictFull, briarspring.VerdictUnhealthy, briarspring.VerdictExpired,
		briarspring.VerdictOtherIncarnation, briarspring.VerdictStaleRun, briarspring.VerdictInvalid, briarspring.VerdictUnsent,
	} {
		t.Run("the answer is "+v.String(), func(t *testing.T) {
			s, order := orderOne(t)
			assert.Empty(t, s.phases(), "before an answer")
			s.d.HandleVerdict(s.now, order, v)
			assert.Empty(t, s.phases())
		})
	}
	t.Run("the worker accepts the start", func(t *testing.T) {
		s, order := orderOne(t)
		s.d.HandleVerdict(s.now, order, briarspring.VerdictDone)
		assertRunningPhase(t, s)
	})
	t.Run("the worker lists the run without an answer", func(t *testing.T) {
		s, order := orderOne(t)
		s.d.HandleVerdict(s.now, order, briarspring.VerdictUnanswered)
		s.workers[order.Worker].running[order.Run()] = briarspring.RunningTask{Run: order.Run(), Percent: 100}
		s.renewAll()
		assertRunningPhase(t, s)
	})
	t.Run("the worker lists the end without an answer", func(t *testing.T) {
		s, order := orderOne(t)
		s.d.HandleVerdict(s.now, order, briarspring.VerdictUnanswered)
		s.endRun(order.Worker, order.Run(), briarspring.RunFailed)
		s.renewAll()
		assertRunningPhase(t, s)
	})
	t.Run("the start isn't sent, since its worker was lost while it was stored", func(t *testing.T) {
		s := newFixture(t, dispatcher.Config{Token: 1}, 1)
		s.d.Submit(s.now, 0, workflow("a", step(1, 1000)), 5, []briarspring.TaskProgress{{Suspicion: 1}}, nil)
		s.d.ForcePlan()
		require.Empty(t, s.d.Plan(s.now), "the start waits for its record")
		b, due := s.d.TakeBatch()
		require.True(t, due)
		s.d.SetWorkers(s.now, nil)
		s.d.Stored(b)
		assert.Empty(t, s.phases())
	})
}

// Guards against a new owner that takes the recorded number of a run that never was for a
// run.
func TestPhaseOfAnOrderedWorkflowAfterATakeover(t *testing.T) {
	for _, v := range []briarspring.Verdict{briarspring.VerdictUnanswered, briarspring.VerdictFull} {
		t.Run("the answer to its owner was "+v.String(), func(t *testing.T) {
			old, order := orderOne(t)
			old.d.HandleVerdict(old.now, order, v)
			progress := old.progressOf("a")
			s := old.successor(9)
			s.d.SetWorkers(s.now, s.entries("w0", "w1"))
			s.d.Submit(s.now, 0, workflow("a", step(1, 1000)), 5, progress, nil)
			assert.Empty(t, s.phases())
			s.hearAll()
			assert.Empty(t, s.phases(), "no worker lists a run")
		})
	}
	t.Run("its owner had seen a run", func(t *testing.T) {
		old, order := orderOne(t)
		old.d.HandleVerdict(old.now, order, briarspring.VerdictDone)
		progress := old.progressOf("a")
		s := old.successor(9)
		s.d.Submit(s.now, 0, workflow("a", step(1, 1000)), 5, progress, nil)
		assertRunningPhase(t, s)
	})
	t.Run("another start of a workflow that ran had no answer", func(t *testing.T) {
		old, order := orderOne(t)
		old.d.HandleVerdict(old.now, order, briarspring.VerdictDone)
		old.endRun(order.Worker, order.Run(), briarspring.RunFailed)
		old.renewAll()
		old.d.ForcePlan()
		for _, o := range old.d.Plan(old.now) {
			old.d.HandleVerdict(old.now, o, briarspring.VerdictUnanswered)
		}
		progress := old.progressOf("a")
		s := old.successor(9)
		s.d.Submit(s.now, 0, workflow("a", step(1, 1000)), 5, progress, nil)
		assertRunningPhase(t, s)
	})
}

// Guards against a data centre that takes the number of a run that never was, which came
// with a transfer, for a run.
func TestPhaseOfAnOrderedWorkflowAfterATransfer(t *testing.T) {
	s, order := orderOne(t)
	s.d.HandleVerdict(s.now, order, briarspring.VerdictFull)
	s.d.SetOutOfService(s.now, true)
	s.now += time.Second
	transfers := s.d.TakeTransfers(s.now, func(string, []*briarspring.Step) string { return "viljandi" })
	require.Len(t, transfers, 1)
	value, err := encoder.EncodeTaskTransfer(transfers[0].Content)
	require.NoError(t, err)
	content, err := encoder.DecodeTaskTransfer(value)
	require.NoError(t, err)

	t.Run("the workflow is new there", func(t *testing.T) {
		there := newFixture(t, dispatcher.Config{Token: 3}, 0)
		there.d.Submit(there.now, 0, workflow("a", step(1, 1000)), 5, content.Tasks, func(int) dispatcher.Place {
			return dispatcher.Place{Local: true, Offset: 7, Transfers: 1, Progress: content.Tasks[0]}
		})
		assert.Empty(t, there.phases())
	})
	t.Run("the workflow has tasks there", func(t *testing.T) {
		there := newFixture(t, dispatcher.Config{Token: 3}, 0)
		there.d.Submit(there.now, 0, workflow("a", step(2, 1000)), 5, nil, func(position int) dispatcher.Place {
			return dispatcher.Place{Local: position == 1, Offset: 6, Transfers: 1}
		})
		there.d.ApplyTransfers(there.now, "a", func(int) dispatcher.Place {
			return dispatcher.Place{Local: true, Offset: 7, Transfers: 2, Progress: content.Tasks[0]}
		})
		assert.Empty(t, there.phases())
	})
}

// Guards against a workflow that counts as not started where it is now, though a failed run
// of it is recorded by the data centre where it was.
func TestPhaseAfterAnEndElsewhere(t *testing.T) {
	s := newFixture(t, dispatcher.Config{Token: 1}, 0)
	s.d.Submit(s.now, 0, workflow("a", step(1, 1000)), 5, nil, nil)
	s.d.ApplyEnds(s.now, "a", map[int]briarspring.TaskProgress{0: {Run: 1, FailedRuns: []uint32{1}}})
	assertRunningPhase(t, s)
}

// Guards against a long-running task that stays where every start of it is refused, since each
// one begins its wait anew, while another data centre has room.
func TestTransferOfATaskWhoseStartsAreRefused(t *testing.T) {
	s := newFixture(t, dispatcher.Config{Token: 1}, 1)
	s.d.Submit(s.now, 0, workflow("a", longRunning(1, 1000)), 5, nil, nil)
	transfers := 0
	for range 100 {
		s.now += 50 * time.Millisecond
		s.renewAll()
		s.store()
		s.d.ForcePlan()
		for _, o := range s.d.Plan(s.now) {
			s.d.HandleVerdict(s.now, o, briarspring.VerdictFull)
		}
		transfers += len(s.d.TakeTransfers(s.now, func(string, []*briarspring.Step) string { return "viljandi" }))
	}
	assert.Equal(t, 1, transfers)
}

// Guards against a workflow with a done task that counts as not started, since an owner of an
// earlier version wrote its record.
func TestPhaseByARecordOfAnEarlierVersion(t *testing.T) {
	s := newFixture(t, dispatcher.Config{Token: 1}, 0)
	s.d.Submit(s.now, 0, workflow("a", step(2, 1000)), 5, []briarspring.TaskProgress{{Done: true, Run: 1}}, nil)
	assertRunningPhase(t, s)
}
