package dispatcher_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"briarspring"
	"briarspring/dispatcher"
	"briarspring/encoder"
)

// Guards against a record of a worker that names the service of its earlier process, so
// that a new owner doesn't wait for its report before it starts that service's tasks.
func TestWorkerRecordOfAnotherService(t *testing.T) {
	s := newFixture(t, dispatcher.Config{Token: 1, RecordedOnly: true}, 1)
	s.store()
	moved := s.entries("w0")
	moved[0].Service, moved[0].StartedAt = "mail", 2
	s.d.SetWorkers(s.now, moved)
	b, _ := s.d.TakeBatch()
	require.Len(t, b.Progress, 1, "the record says that w0 is of another service")
	k, err := encoder.DecodeKnownWorker(b.Progress[0].Value)
	require.NoError(t, err)
	assert.Equal(t, "mail", k.Service)
}

// Guards against a new owner that starts a task again because a run of it, which the
// earlier owner could not record any more, had left the list of what runs and is listed
// as ended only after reportTime; an owner waits for missingTime in the same state.
func TestUnrecordedEndAfterTakeover(t *testing.T) {
	old, run := startOne(t, step(1, 1000))
	old.hide("w0", run)
	s := old.successor(9)
	s.d.SetWorkers(s.now, s.entries("w0", "w1"))
	s.d.Submit(s.now, 0, workflow("a", step(1, 1000)), 5, nil, nil)
	assert.Empty(t, starts(s.advance(400*time.Millisecond)))
	s.endRun("w0", run, briarspring.RunDone)
	assert.Empty(t, starts(s.advance(3*time.Second)))
	assert.Equal(t, uint64(1), s.d.Counters().Completed)
}

// Guards against a new owner that takes a worker that is young for one that has restarted
// under a recorded run, and doesn't wait until the worker can have listed its end.
func TestRecordedRunOnAYoungWorker(t *testing.T) {
	s := newFixture(t, dispatcher.Config{Token: 1}, 2).successor(9)
	s.workers["w0"].bornAt = s.now - 3*time.Second
	s.d.SetWorkers(s.now, s.entries("w0", "w1"))
	s.d.Submit(s.now, 0, workflow("a", step(1, 1000)), 5, []briarspring.TaskProgress{{Run: 1, Worker: "w0"}}, nil)
	assert.Empty(t, starts(s.advance(time.Second)))
	s.endRun("w0", briarspring.RunRef{Task: briarspring.TaskRef{Workflow: "a"}, Run: 1}, briarspring.RunDone)
	assert.Empty(t, starts(s.advance(3*time.Second)))
	assert.Equal(t, uint64(1), s.d.Counters().Completed)
}

// Guards against a start without an answer that was carried out, whose end is listed
// later than unstartedTime after the run was over: an answered stop doesn't show that
// nothing ran.
func TestStoppedStartWithALateEnd(t *testing.T) {
	s := newFixture(t, dispatcher.Config{Token: 1}, 2)
	s.d.Submit(s.now, 0, workflow("a", step(1, 1000)), 5, nil, nil)
	s.d.ForcePlan()
	start := s.d.Plan(s.now)[0]
	s.d.HandleVerdict(s.now, start, briarspring.VerdictUnanswered)
	// It runs, and ends at once; the end is listed a second later.
	assert.Empty(t, starts(s.advance(time.Second)), "the owner stops it and is answered")
	s.endRun(start.Worker, start.Run(), briarspring.RunDone)
	assert.Empty(t, starts(s.advance(3*time.Second)))
	assert.Equal(t, uint64(1), s.d.Counters().Completed)
}

// Guards against a new owner that takes the lease of a worker that had restarted under
// the earlier owner for as short as it meant it to be: a renewal by the clock of the
// process before gave the new one the longest lease.
func TestLeaseAfterARestartUnderAnEarlierOwner(t *testing.T) {
	s := newFixture(t, dispatcher.Config{Token: 1}, 2).successor(9)
	s.workers["w0"].bornAt = s.now - 50*time.Millisecond
	s.d.SetWorkers(s.now, s.entries("w0", "w1"))
	run := briarspring.RunRef{Task: briarspring.TaskRef{Workflow: "a"}, Run: 1}
	s.workers["w0"].running[run] = briarspring.RunningTask{Run: run, Percent: 100}
	s.d.Submit(s.now, 0, workflow("a", longRunning(1, 1000)), 5, []briarspring.TaskProgress{{Run: 1, Worker: "w0"}}, nil)
	s.renewAll()
	at := s.now
	longest := time.Duration(float64(6*time.Second) * 1.02)
	var again time.Duration
	for s.now < at+longest && again == 0 {
		if n := countRuns(starts(s.advanceAlone(200*time.Millisecond, "w1"))); n > 0 {
			again = s.now - at
		}
	}
	assert.Zero(t, again, "started again while the lease of w0 may last for %v", longest)
}

// Guards against a task that starts again although its worker refused the first start
// for a run of it that has ended there, before the end is listed.
func TestStartRefusedForAnEndedRun(t *testing.T) {
	old, run := startOne(t, step(1, 1000))
	old.hide("w0", run)
	s := old.successor(9)
	s.d.SetWorkers(s.now, s.entries("w0"))
	s.d.Submit(s.now, 0, workflow("a", step(1, 1000)), 5, nil, nil)
	s.renew("w0")
	s.now += reportTime
	s.renew("w0")
	s.d.ForcePlan()
	orders := s.d.Plan(s.now)
	require.Len(t, orders, 1)
	require.Equal(t, run, orders[0].Run())
	s.d.HandleVerdict(s.now, orders[0], briarspring.VerdictStaleRun)
	assert.Empty(t, starts(s.advanceAlone(400*time.Millisecond, "w0")))
	s.endRun("w0", run, briarspring.RunDone)
	assert.Empty(t, starts(s.advanceAlone(3*time.Second, "w0")))
	assert.Equal(t, uint64(1), s.d.Counters().Completed)
}

// Guards against a stop that the earlier process of a worker answered and that is
// processed after the next one has answered: that one knows of no stop, and may still
// carry out the start.
func TestStopAnsweredBeforeARestart(t *testing.T) {
	s, start, stop := stopUnanswered(t)
	w := s.workers[start.Worker]
	w.startedAt, w.bornAt = 2, s.now
	s.now += 100 * time.Millisecond
	s.renewAll()
	s.d.HandleVerdict(s.now, stop, briarspring.VerdictDone)
	for range 10 { // The stop that is sent to the new process is not answered.
		s.now += 100 * time.Millisecond
		s.renewAll()
		s.store()
		s.d.ForcePlan()
		assert.Empty(t, starts(s.d.Plan(s.now)), "the new process has not refused the start yet")
	}
}

// Guards against a failed run that isn't counted because a new owner, which didn't know
// of it, has given its number to another run.
func TestFailuresWithOneNumber(t *testing.T) {
	s := newFixture(t, dispatcher.Config{Token: 1}, 2).successor(9)
	s.d.SetWorkers(s.now, s.entries("w0", "w1"))
	s.d.SetPredecessorsGone(s.now)
	s.d.Submit(s.now, 0, workflow("a", step(1, 1000)), 5, nil, nil)
	require.Equal(t, 1, countRuns(starts(s.advanceAlone(6400*time.Millisecond, "w1"))), "the lease of w0 has ended")
	fail := func() {
		for run := range s.workers["w1"].running {
			s.endRun("w1", run, briarspring.RunFailed)
		}
	}
	fail()
	require.Equal(t, 1, countRuns(starts(s.advanceAlone(400*time.Millisecond, "w1"))))
	s.d.SetOutOfService(s.now, true)
	fail()
	s.endRun("w0", briarspring.RunRef{Task: briarspring.TaskRef{Workflow: "a"}, Run: 1}, briarspring.RunFailed)
	s.advance(time.Second)
	require.Equal(t, uint64(3), s.d.Counters().Failed)
	s.d.SetOutOfService(s.now, false)
	assert.Empty(t, starts(s.advance(time.Second)), "three of three runs have failed")
}
