package dispatcher_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"briarspring"
	"briarspring/dispatcher"
)

// startOne starts one task of a long-running workflow, or of one whose task ends, on
// the first of two workers.
func startOne(t *testing.T, spec briarspring.Step) (*fixture, briarspring.RunRef) {
	s := newFixture(t, dispatcher.Config{Token: 1}, 2)
	s.d.Submit(s.now, 0, workflow("a", spec), 5, nil, nil)
	list := starts(s.advance(400 * time.Millisecond))["w0"]
	require.Len(t, list, 1)
	return s, list[0]
}

// hide takes a run out of its worker's lists and returns a function that puts it back.
func (s *fixture) hide(worker string, run briarspring.RunRef) (show func()) {
	listed := s.workers[worker].running[run]
	delete(s.workers[worker].running, run)
	return func() { s.workers[worker].running[run] = listed }
}

// Guards against a run that is taken for lost, and started a second time, because one
// reply of its worker lacks it.
func TestMissingRun(t *testing.T) {
	t.Run("is kept if it is listed again", func(t *testing.T) {
		s, run := startOne(t, longRunning(1, 1000))
		show := s.hide("w0", run)
		assert.Empty(t, s.advance(time.Second))
		show()
		assert.Empty(t, s.advance(5*time.Second))
	})
	t.Run("is done if its end is listed a moment later", func(t *testing.T) {
		s, run := startOne(t, step(1, 1000))
		s.hide("w0", run)
		assert.Empty(t, s.advance(400*time.Millisecond))
		s.endRun("w0", run, briarspring.RunDone)
		assert.Empty(t, s.advance(5*time.Second))
		assert.Equal(t, uint64(1), s.d.Counters().Completed)
	})
	t.Run("is lost if it stays away", func(t *testing.T) {
		s, run := startOne(t, longRunning(1, 1000))
		s.hide("w0", run)
		assert.Equal(t, 1, countRuns(starts(s.advance(3*time.Second))))
	})
	t.Run("is lost at once if its worker has restarted", func(t *testing.T) {
		s, run := startOne(t, longRunning(1, 1000))
		s.hide("w0", run)
		s.workers["w0"].startedAt, s.workers["w0"].bornAt = 2, s.now
		assert.Equal(t, 1, countRuns(starts(s.advance(400*time.Millisecond))))
	})
	t.Run("may have started on the new process of its worker", func(t *testing.T) {
		s, run := startOne(t, step(1, 1000))
		s.maxListedEnds = 1
		w := s.workers["w0"]
		w.startedAt, w.bornAt = 2, s.now-time.Second
		s.endRun("w0", briarspring.RunRef{Task: briarspring.TaskRef{Workflow: "gone"}, Run: 1}, briarspring.RunStopped)
		s.endRun("w0", run, briarspring.RunDone)
		assert.Empty(t, s.advance(5*time.Second))
		assert.Equal(t, uint64(1), s.d.Counters().Completed)
	})
	t.Run("is not missing from a reply that newer ones have overtaken", func(t *testing.T) {
		s, run := startOne(t, longRunning(1, 1000))
		sent := s.now
		s.advance(time.Second)
		reply := briarspring.LeaseReply{StartedAt: 1, Clock: sent}
		s.d.HandleRenewal(s.now, sent, "w0", reply)
		assert.Empty(t, s.planAndApply())
		assert.NotEmpty(t, s.workers["w0"].running[run])
	})
	t.Run("has its second run stopped when it appears after all", func(t *testing.T) {
		s, run := startOne(t, longRunning(1, 1000))
		show := s.hide("w0", run)
		s.advance(3 * time.Second)
		show()
		orders := s.advance(time.Second)
		require.Len(t, orders, 1)
		assert.Equal(t, dispatcher.OrderStop, orders[0].Kind)
		assert.Equal(t, uint32(2), orders[0].Stop.Run.Run)
	})
}

// Guards against a new owner that stops a run for one that is recorded only.
func TestRunBesideARecordedOne(t *testing.T) {
	s := newFixture(t, dispatcher.Config{Token: 1}, 2).successor(9)
	task := briarspring.TaskRef{Workflow: "a"}
	listed := briarspring.RunRef{Task: task, Run: 3}
	s.workers["w1"].running[listed] = briarspring.RunningTask{Run: listed}
	s.d.SetWorkers(s.now, s.entries("w0", "w1"))
	s.d.Submit(s.now, 0, workflow("a", step(1, 1000)), 5, []briarspring.TaskProgress{{Run: 2, Worker: "w0"}}, nil)
	s.hearAll()
	for _, o := range s.planAndApply() {
		assert.NotEqual(t, listed, o.Run())
	}
	assert.Contains(t, s.workers["w1"].running, listed)
}

// Guards against a new owner that starts a task again because its worker lists the end
// only after its first answer.
func TestEndAfterTakeover(t *testing.T) {
	old, run := startOne(t, step(1, 1000))
	old.hide("w0", run)
	s := old.successor(9)
	s.d.SetWorkers(s.now, s.entries("w0", "w1"))
	s.d.Submit(s.now, 0, workflow("a", step(1, 1000)), 5, nil, nil)
	s.renewAll()
	assert.Empty(t, starts(s.planAndApply()))
	s.endRun("w0", run, briarspring.RunDone)
	s.now += 50 * time.Millisecond
	s.renewAll()
	assert.Empty(t, starts(s.advance(3*time.Second)))
	assert.Equal(t, uint64(1), s.d.Counters().Completed)
}

// Guards against a lease that an earlier owner gave and that a new one takes for
// shorter than it is.
func TestLeaseOfEarlierOwner(t *testing.T) {
	s := newFixture(t, dispatcher.Config{Token: 1}, 2).successor(9)
	s.d.SetWorkers(s.now, s.entries("w0", "w1"))
	s.renewAll()
	s.d.Submit(s.now, 0, workflow("b", longRunning(1, 1000)), 20, nil, nil)
	require.Equal(t, 1, countRuns(starts(s.planAndApply())))
	assert.Empty(t, starts(s.advanceAlone(5*time.Second, "w1")))
	assert.Equal(t, 1, countRuns(starts(s.advanceAlone(3*time.Second, "w1"))))
}
