package dispatcher_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"briarspring"
	"briarspring/dispatcher"
)

// away is the place of tasks that have left, and back that of tasks that came back.
func away(int) dispatcher.Place { return dispatcher.Place{Transfers: 1} }
func back(int) dispatcher.Place { return dispatcher.Place{Local: true, Transfers: 2} }

// assertFinalEnds checks the ends that need no record, and that nothing is logged of
// them.
func assertFinalEnds(t *testing.T, s *logged, want uint64) {
	t.Helper()
	assertAudited(t, s, audited{})
	assert.Equal(t, want, s.d.Counters().FinalEnds)
}

// assertHeld checks the ends that w0 may not drop yet.
func assertHeld(t *testing.T, s *logged, want uint64) {
	t.Helper()
	assertAudited(t, s, audited{})
	assert.Equal(t, want, s.d.Counters().HeldEnds)
	assert.Len(t, s.lines(lineHeld), int(want))
	assert.Zero(t, s.nextRenewal("w0").LastSeenEnd)
}

func TestEndsWithoutARecord(t *testing.T) {
	unknown := briarspring.RunRef{Task: briarspring.TaskRef{Workflow: "gone", Step: 1, Index: 2}, Run: 3}
	registered := func(r dispatcher.Registration) func(briarspring.WorkflowID) dispatcher.Registration {
		return func(briarspring.WorkflowID) dispatcher.Registration { return r }
	}
	heardBy := func(t *testing.T, r dispatcher.Registration, ends int) *logged {
		s := successorOf(newFixture(t, dispatcher.Config{Token: 1}, 2), dispatcher.Config{Registered: registered(r)})
		for range ends {
			s.endRun("w0", unknown, briarspring.RunDone)
		}
		s.advance(400 * time.Millisecond)
		return s
	}
	t.Run("are held and logged for a task that the owner doesn't know", func(t *testing.T) {
		s := heardBy(t, dispatcher.Registration{State: "running", Local: true}, 1)
		assertHeld(t, s, 1)
		assertLine(t, s, lineHeld, map[string]any{
			"worker": "w0", "workflow": "gone", "step": 1, "index": 2, "run": 3, "end": "done", "number": 1,
			"workflow-known": false, "registered": "running", "local": true,
		})
	})
	t.Run("are counted for a final workflow", func(t *testing.T) {
		assertFinalEnds(t, heardBy(t, dispatcher.Registration{State: "completed", Final: true}, 1), 1)
	})
	t.Run("are all counted, but not all logged", func(t *testing.T) {
		s := heardBy(t, dispatcher.Registration{State: "unknown"}, 50)
		assert.Len(t, s.lines(lineHeld), 20)
		assert.Equal(t, uint64(50), s.d.Counters().HeldEnds)
		s.advance(time.Second)
		s.endRun("w0", unknown, briarspring.RunDone)
		s.advance(200 * time.Millisecond)
		list := s.lines(lineHeld)
		require.Len(t, list, 21)
		assert.EqualValues(t, 30, list[20]["withheld"])
	})
	t.Run("are logged for a job whose tasks have all left", func(t *testing.T) {
		s, run := startLogged(t, longRunning(1, 1000))
		s.d.ApplyTransfers(s.now, "a", away)
		s.endRun("w0", run, briarspring.RunDone)
		s.renewAll()
		assertAudited(t, s, audited{})
		batch, due := s.d.TakeBatch()
		require.True(t, due)
		assertAudited(t, s, audited{unrecorded: 1})
		s.d.Stored(batch)
		assertAudited(t, s, audited{unrecorded: 1})
		assertLine(t, s, lineUnrecorded, map[string]any{
			"why": "all tasks are in other data centres", "ends": 1, "done": 1, "worker": "w0", "run": 1, "end": "done", "number": 1,
		})
	})
	t.Run("are held for a job that is dropped before the next batch", func(t *testing.T) {
		s := newLogged(t)
		s.d.Submit(s.now, 0, workflow("a", step(1, 9000)), 5, nil, nil)
		s.d.ApplyTransfers(s.now, "a", away)
		batch, due := s.d.TakeBatch()
		require.True(t, due)
		s.endRun("w0", briarspring.RunRef{Task: briarspring.TaskRef{Workflow: "a"}, Run: 1}, briarspring.RunDone)
		s.renewAll()
		s.d.Stored(batch)
		assertHeld(t, s, 1)
		s.store()
		assertHeld(t, s, 1)
	})
	t.Run("are not those that wait for a batch while their job leaves and comes back", func(t *testing.T) {
		s, run := startLogged(t, longRunning(1, 1000))
		s.endRun("w0", run, briarspring.RunFailed)
		s.renewAll()
		s.d.ApplyTransfers(s.now, "a", away)
		s.d.ApplyTransfers(s.now, "a", back)
		s.store()
		assertAudited(t, s, audited{})
	})
	t.Run("are logged for a record that can't be encoded", func(t *testing.T) {
		s, run := startLogged(t, longRunning(1, 1000))
		s.endRun("w0", run, briarspring.RunFailed)
		s.workers["w0"].ended[0].Checkpoint = "\xff" // No valid UTF-8.
		s.advance(200 * time.Millisecond)
		assertAudited(t, s, audited{unrecorded: 1})
		assertLine(t, s, lineUnrecorded, map[string]any{"why": "progress can't be encoded", "ends": 1, "run": 1})
	})
	t.Run("are not those that were recorded before their job left", func(t *testing.T) {
		s, run := startLogged(t, longRunning(1, 1000))
		s.endRun("w0", run, briarspring.RunFailed)
		list := starts(s.advance(400 * time.Millisecond))
		require.Equal(t, 1, countRuns(list))
		s.d.ApplyTransfers(s.now, "a", away)
		for id, runs := range list {
			s.endRun(id, runs[0], briarspring.RunFailed)
		}
		s.advance(200 * time.Millisecond)
		assertAudited(t, s, audited{unrecorded: 1})
		assertLine(t, s, lineUnrecorded, map[string]any{"ends": 1, "run": 2})
	})
	t.Run("are counted for a cancelled workflow", func(t *testing.T) {
		s, _ := startLogged(t, longRunning(1, 1000))
		s.d.Cancel(s.now, "a")
		s.advance(time.Second)
		assertFinalEnds(t, s, 1)
	})
	t.Run("are logged for a task on its way to another data centre", func(t *testing.T) {
		s, run := startLogged(t, longRunning(1, 1000))
		s.hide("w0", run)
		s.d.SetOutOfService(s.now, true)
		s.advance(3 * time.Second)
		require.Len(t, s.d.TakeTransfers(s.now, func(string, []*briarspring.Step) string { return "viljandi" }), 1)
		s.endRun("w0", run, briarspring.RunFailed)
		s.advance(400 * time.Millisecond)
		assertAudited(t, s, audited{ends: 1, unrecorded: 1})
		assertLine(t, s, lineTransferred, map[string]any{"run": 1, "worker": "w0", "end": "failed", "number": 1, "local": true})
	})
	t.Run("are not those of a job whose record is stored", func(t *testing.T) {
		s, run := startLogged(t, step(1, 1000))
		s.endRun("w0", run, briarspring.RunDone)
		s.advance(time.Second)
		assertAudited(t, s, audited{})
		assert.Zero(t, s.d.Counters().FinalEnds)
	})
}

func TestTakeoverLine(t *testing.T) {
	const line = "taking over workflows of the earlier owner"
	t.Run("names the workers that are not heard", func(t *testing.T) {
		s := successorOf(newFixture(t, dispatcher.Config{Token: 1}, 3), dispatcher.Config{})
		s.d = dispatcher.New(s.now, dispatcher.Config{
			DataCentre: "tartu", Token: 9, Predecessor: true, Lease: 5500 * time.Millisecond, MaxLease: 6 * time.Second, Logger: s.logger(),
		})
		var known []briarspring.KnownWorker
		for _, e := range s.entries("w0", "w1", "w2") {
			known = append(known, briarspring.KnownWorker{ID: e.ID, Address: e.Address, Service: e.Service})
		}
		s.d.AddKnownWorkers(known)
		s.d.SetPredecessorInventory(5)
		s.d.SetWorkers(s.now, s.entries("w0", "w1"))
		s.d.SetPredecessorsGone(s.now)
		s.d.Submit(s.now, 0, workflow("a", longRunning(1, 1000)), 5, nil, nil)
		require.Equal(t, 1, countRuns(starts(s.advanceAlone(10*time.Second, "w0", "w1"))))
		assertLine(t, s, line, map[string]any{
			"named": 3, "named-listed": 2, "inventory-token": 5, "unheard": 1, "not-heard": "w2: not asked, lease ended",
		})
	})
	t.Run("tells a worker that never answers from one that is not asked", func(t *testing.T) {
		s := successorOf(newFixture(t, dispatcher.Config{Token: 1}, 2), dispatcher.Config{})
		s.d.SetPredecessorsGone(s.now)
		s.d.Submit(s.now, 0, workflow("a", longRunning(1, 1000)), 5, nil, nil)
		require.Equal(t, 1, countRuns(starts(s.advanceAlone(10*time.Second, "w0"))))
		assertLine(t, s, line, map[string]any{"named": 0, "unheard": 1, "not-heard": "w1: never answered, lease ended"})
	})
	t.Run("names no worker if all have reported", func(t *testing.T) {
		s := successorOf(newFixture(t, dispatcher.Config{Token: 1}, 2), dispatcher.Config{})
		s.d.Submit(s.now, 0, workflow("a", longRunning(1, 1000)), 5, nil, nil)
		require.Equal(t, 1, countRuns(starts(s.advance(time.Second))))
		assertLine(t, s, line, map[string]any{"unheard": 0, "not-heard": ""})
	})
}

func TestAbsence(t *testing.T) {
	t.Run("of a worker that is asked has no cause", func(t *testing.T) {
		s := newLogged(t)
		assert.Equal(t, dispatcher.Absence{}, s.d.Absence(s.now, "w0"))
	})
	t.Run("of a worker without an entry begins when its ends are stored", func(t *testing.T) {
		s, run := startLogged(t, step(1, 1000))
		s.endRun("w0", run, briarspring.RunDone)
		s.renewAll()
		s.d.SetWorkers(s.now, s.entries("w1"))
		assert.Contains(t, s.d.Workers(), "w0")
		assert.Equal(t, dispatcher.Absence{UnstoredEnds: true, AnsweredMs: 1000}, s.d.Absence(s.now+time.Second, "w0"))
		s.store()
		assert.NotContains(t, s.d.Workers(), "w0")
		assert.Equal(t, dispatcher.Absence{Why: "left the list without runs", AnsweredMs: 1000}, s.d.Absence(s.now+time.Second, "w0"))
	})
	t.Run("of a worker that never was is told apart", func(t *testing.T) {
		s := newLogged(t)
		assert.Equal(t, dispatcher.Absence{Why: "forgotten", AnsweredMs: -1}, s.d.Absence(s.now, "w7"))
	})
}
