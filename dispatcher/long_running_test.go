package dispatcher_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"briarspring"
	"briarspring/dispatcher"
)

// assertRunsAgain asserts that a long-running task starts again, and that its workflow is not
// shown as finished.
func assertRunsAgain(t *testing.T, s *fixture) {
	t.Helper()
	assert.Equal(t, 1, countRuns(starts(s.advance(time.Second))))
	assert.NotContains(t, s.phases(), briarspring.WorkflowID("a"))
}

// runningLong returns a fixture with a long-running task, and its worker and run.
func runningLong(t *testing.T) (s *fixture, worker string, run briarspring.RunRef) {
	s = newFixture(t, dispatcher.Config{Token: 1}, 2)
	s.d.Submit(s.now, 0, workflow("a", longRunning(1, 1000)), 5, nil, nil)
	for id, runs := range starts(s.advance(5 * time.Second)) {
		worker, run = id, runs[0]
	}
	require.NotEmpty(t, worker)
	s.phases()
	return s, worker, run
}

// Guards against a long-running task that stays away, and whose workflow is shown as
// completed, because a run of it ended as done.
func TestEndOfALongRunningTask(t *testing.T) {
	ends := []briarspring.RunEnd{
		briarspring.RunDone, briarspring.RunFailed, briarspring.RunStopped, briarspring.RunLapsed, briarspring.RunBroken, briarspring.RunGangTimeout,
	}
	for _, how := range ends {
		t.Run(how.String(), func(t *testing.T) {
			s, worker, run := runningLong(t)
			s.endRun(worker, run, how)
			assertRunsAgain(t, s)
		})
		t.Run(how.String()+", heard by the next owner", func(t *testing.T) {
			s, worker, run := runningLong(t)
			s.endRun(worker, run, how)
			next := s.successor(9)
			next.d.SetWorkers(next.now, next.entries("w0", "w1"))
			progress := []briarspring.TaskProgress{{Run: run.Run, Started: true, Worker: worker}}
			next.d.Submit(next.now, 0, workflow("a", longRunning(1, 1000)), 5, progress, nil)
			next.phases()
			assertRunsAgain(t, next)
		})
	}
	t.Run("done, in a record of an earlier version", func(t *testing.T) {
		s := newFixture(t, dispatcher.Config{Token: 1}, 1)
		s.d.Submit(s.now, 0, workflow("a", longRunning(1, 1000)), 5, []briarspring.TaskProgress{{Run: 3, Started: true, Done: true}}, nil)
		s.phases()
		list := starts(s.advance(time.Second))["w0"]
		require.Len(t, list, 1)
		assert.Equal(t, uint32(4), list[0].Run)
	})
	t.Run("done, in another data centre", func(t *testing.T) {
		s, worker, run := runningLong(t)
		s.d.ApplyEnds(s.now, "a", map[int]briarspring.TaskProgress{0: {Run: 1, Done: true}})
		s.advance(time.Second)
		assert.Contains(t, s.workers[worker].running, run)
		assert.NotContains(t, s.phases(), briarspring.WorkflowID("a"))
	})
	t.Run("done, of each member of a gang", func(t *testing.T) {
		s := newFixture(t, dispatcher.Config{Token: 1}, 2)
		gang := longRunning(2, 1000)
		gang.Gang = true
		s.d.Submit(s.now, 0, workflow("a", gang), 5, nil, nil)
		list := starts(s.advance(5 * time.Second))
		require.Equal(t, 2, countRuns(list))
		s.phases()
		for worker, runs := range list {
			for _, run := range runs {
				s.endRun(worker, run, briarspring.RunDone)
			}
		}
		assert.Equal(t, 2, countRuns(starts(s.advance(time.Second))))
		assert.NotContains(t, s.phases(), briarspring.WorkflowID("a"))
	})
	t.Run("does not start the steps after it", func(t *testing.T) {
		s := newFixture(t, dispatcher.Config{Token: 1}, 1)
		after := step(1, 1000)
		after.After = []int{0}
		s.d.Submit(s.now, 0, workflow("a", longRunning(1, 1000), after), 5, nil, nil)
		s.endRun("w0", starts(s.advance(5 * time.Second))["w0"][0], briarspring.RunDone)
		for _, run := range starts(s.advance(time.Second))["w0"] {
			assert.Zero(t, run.Task.Step)
		}
	})
}

// Guards against a progress record that grows with each failed run of a long-running task
// until the log doesn't take it.
func TestFailedRunsOfALongRunningTask(t *testing.T) {
	failed := make([]uint32, 1000)
	for i := range failed {
		failed[i] = uint32(i + 1)
	}
	s := newFixture(t, dispatcher.Config{Token: 1}, 1)
	s.d.Submit(s.now, 0, workflow("a", longRunning(1, 1000)), 5, []briarspring.TaskProgress{{Run: 1000, FailedRuns: failed}}, nil)
	run := starts(s.planAndApply())["w0"][0]
	s.endRun("w0", run, briarspring.RunFailed)
	s.now += 100 * time.Millisecond
	s.renewAll()
	b, _ := s.d.TakeBatch()
	for _, p := range decodeProgress(t, b, "a") {
		assert.Empty(t, p.FailedRuns)
		assert.Equal(t, uint32(1001), p.Run)
	}
}
