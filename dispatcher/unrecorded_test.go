package dispatcher_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"briarspring"
	"briarspring/dispatcher"
)

// giveUp starts a task on the first of two workers, which is then missing from the
// worker's lists until it counts as lost. The data centre is out of service, so that the
// task waits.
func giveUp(t *testing.T) (*fixture, briarspring.RunRef) {
	s, run := startOne(t, step(1, 1000))
	s.d.SetOutOfService(s.now, true)
	s.hide("w0", run)
	require.Empty(t, starts(s.advance(3*time.Second)))
	require.Equal(t, uint64(1), s.d.Counters().Lost)
	return s, run
}

// place returns the place of all tasks after a number of transfers.
func place(local bool, transfers int, p briarspring.TaskProgress) func(int) dispatcher.Place {
	return func(int) dispatcher.Place { return dispatcher.Place{Local: local, Transfers: transfers, Progress: p} }
}

// assertUnacknowledged checks that w0 may not drop its first end.
func assertUnacknowledged(t *testing.T, s *fixture) {
	t.Helper()
	s.advance(time.Second)
	assert.Zero(t, s.nextRenewal("w0").LastSeenEnd)
}

// assertApplied checks that the first end of w0 has completed a workflow, which starts
// no second run, and that w0 may drop it.
func assertApplied(t *testing.T, s *fixture) {
	t.Helper()
	s.d.SetOutOfService(s.now, false)
	assert.Empty(t, starts(s.advance(5*time.Second)))
	assert.Equal(t, uint64(1), s.d.Counters().Completed)
	assert.Equal(t, uint64(1), s.nextRenewal("w0").LastSeenEnd)
}

// Guards against ends that a worker may drop although no record tells of them, so that
// tasks that are done run again.
func TestUnrecordedEnds(t *testing.T) {
	elsewhere := func(string, []*briarspring.Step) string { return "viljandi" }
	t.Run("of a task that is not known yet", func(t *testing.T) {
		s := newFixture(t, dispatcher.Config{Token: 1}, 2)
		s.endRun("w0", briarspring.RunRef{Task: briarspring.TaskRef{Workflow: "a"}, Run: 1}, briarspring.RunDone)
		assertUnacknowledged(t, s)
		s.d.Submit(s.now, 0, workflow("a", step(1, 1000)), 5, nil, nil)
		assertApplied(t, s)
	})
	t.Run("of a task that is away and comes back", func(t *testing.T) {
		s, run := giveUp(t)
		s.d.ApplyTransfers(s.now, "a", place(false, 1, briarspring.TaskProgress{}))
		s.store()
		require.False(t, s.d.Knows("a"))
		s.endRun("w0", run, briarspring.RunDone)
		assertUnacknowledged(t, s)
		progress := briarspring.TaskProgress{Run: 1}
		s.d.Submit(s.now, 0, workflow("a", step(1, 1000)), 5, []briarspring.TaskProgress{progress}, place(true, 2, progress))
		assertApplied(t, s)
	})
	t.Run("of a task that was transferred with its progress before the end", func(t *testing.T) {
		s, run := giveUp(t)
		transfers := s.d.TakeTransfers(s.now, elsewhere)
		require.Len(t, transfers, 1)
		s.endRun("w0", run, briarspring.RunDone)
		assertUnacknowledged(t, s)
		progress := transfers[0].Content.Tasks[0]
		s.d.ApplyTransfers(s.now, "a", place(false, 1, progress))
		assertUnacknowledged(t, s)
		s.d.Submit(s.now, 0, workflow("a", step(1, 1000)), 5, []briarspring.TaskProgress{progress}, place(true, 2, progress))
		s.d.ApplyTransfers(s.now, "a", place(true, 2, progress))
		assertApplied(t, s)
	})
}

// Guards against a run that goes on beside the one in the data centre that has its task
// now.
func TestRunOfATaskThatIsAway(t *testing.T) {
	s := newFixture(t, dispatcher.Config{Token: 1}, 1)
	s.d.Submit(s.now, 0, workflow("a", longRunning(2, 1000)), 5, nil, nil)
	require.Equal(t, 2, countRuns(starts(s.advance(400*time.Millisecond))))
	s.d.SetOutOfService(s.now, true)
	run := briarspring.RunRef{Task: briarspring.TaskRef{Workflow: "a", Index: 1}, Run: 1}
	show := s.hide("w0", run)
	s.advance(3 * time.Second)
	s.d.ApplyTransfers(s.now, "a", func(position int) dispatcher.Place {
		return dispatcher.Place{Local: position == 0, Transfers: position}
	})
	show()
	s.advance(time.Second)
	assert.NotContains(t, s.workers["w0"].running, run)
	assert.Len(t, s.workers["w0"].running, 1)
}

// stopUnanswered starts a task on one of two workers, which doesn't answer, and returns
// the orders of the start and of the stop that follows.
func stopUnanswered(t *testing.T) (s *fixture, start, stop dispatcher.Order) {
	s = newFixture(t, dispatcher.Config{Token: 1}, 2)
	s.d.Submit(s.now, 0, workflow("a", longRunning(1, 1000)), 5, nil, nil)
	s.d.ForcePlan()
	orders := s.d.Plan(s.now)
	require.Len(t, orders, 1)
	start = orders[0]
	s.d.HandleVerdict(s.now, start, briarspring.VerdictUnanswered)
	for len(orders) == 0 || orders[0].Kind != dispatcher.OrderStop {
		s.now += 100 * time.Millisecond
		s.renewAll()
		orders = s.d.Plan(s.now)
	}
	return s, start, orders[0]
}

// Guards against a start that is carried out late by the next process of its worker,
// after the earlier process had answered the stop that was to prevent it.
func TestStopBeforeARestart(t *testing.T) {
	s, start, stop := stopUnanswered(t)
	s.d.HandleVerdict(s.now, stop, briarspring.VerdictDone)
	w := s.workers[start.Worker]
	w.startedAt, w.bornAt = 2, s.now
	var orders []dispatcher.Order
	for range 10 {
		s.now += 100 * time.Millisecond
		s.renewAll()
		s.store()
		orders = s.d.Plan(s.now)
		if len(orders) > 0 {
			break
		}
	}
	require.NotEmpty(t, orders)
	assert.Equal(t, dispatcher.OrderStop, orders[0].Kind, "the new process has not refused the start yet")
	assert.Equal(t, start.Run(), orders[0].Run())
}

// Guards against a task that starts, or goes on, although its run in the data centre that
// it came from is done.
func TestEndsFromElsewhere(t *testing.T) {
	done := map[int]briarspring.TaskProgress{0: {Done: true, Run: 1}}
	failed := map[int]briarspring.TaskProgress{0: {FailedRuns: []uint32{1}, Run: 1}}
	t.Run("end the run here", func(t *testing.T) {
		s, run := startOne(t, step(1, 1000))
		s.d.ApplyEnds(s.now, "a", done)
		assert.Empty(t, starts(s.advance(time.Second)))
		assert.NotContains(t, s.workers["w0"].running, run)
		assert.Equal(t, uint64(1), s.d.Counters().Completed)
	})
	t.Run("count as failures once", func(t *testing.T) {
		s, run := startOne(t, step(1, 1000))
		s.d.ApplyEnds(s.now, "a", failed)
		s.d.ApplyEnds(s.now, "a", failed)
		s.endRun("w0", run, briarspring.RunFailed)
		assert.Equal(t, 1, countRuns(starts(s.advance(100*time.Millisecond))), "one of three runs has failed")
	})
	t.Run("don't count for tasks that are not here", func(t *testing.T) {
		s := newFixture(t, dispatcher.Config{Token: 1}, 1)
		s.d.Submit(s.now, 0, workflow("a", longRunning(2, 1000)), 5, nil, func(position int) dispatcher.Place {
			return dispatcher.Place{Local: position == 1, Transfers: 1}
		})
		s.d.ApplyEnds(s.now, "a", done)
		assert.Equal(t, 1, countRuns(starts(s.advance(400*time.Millisecond))))
	})
}
