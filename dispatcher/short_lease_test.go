package dispatcher_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"briarspring"
	"briarspring/dispatcher"
)

var shortLeases = dispatcher.Config{Token: 1, Yields: true, RecordedOnly: true, ShortLeases: true}

// newShortLeases returns an owner whose workers are all recorded, and that has just stored
// progress and a heartbeat.
func newShortLeases(t *testing.T, workers int) *fixture {
	s := newFixture(t, shortLeases, workers)
	s.d.ProgressWritten(s.now)
	s.d.HeartbeatWritten(s.now)
	s.store()
	return s
}

// advanceTo lets time pass while the workers up to a number answer.
func (s *fixture) advanceTo(d time.Duration, reached int) []dispatcher.Order {
	var ids []string
	for i := range reached {
		ids = append(ids, fmt.Sprintf("w%d", i))
	}
	return s.advanceAlone(d, ids...)
}

// Guards against a full lease that a successor can't see, and against an owner that goes on
// with too few workers.
func TestLeaseLength(t *testing.T) {
	const full, short = 5500 * time.Millisecond, 2 * time.Second
	assertLease := func(t *testing.T, s *fixture, want time.Duration) {
		t.Helper()
		assert.Equal(t, want, max(0, s.nextRenewal("w0").Until-s.now))
	}
	t.Run("is full after a heartbeat and progress", func(t *testing.T) {
		s := newShortLeases(t, 10)
		s.advanceTo(time.Second, 10)
		assertLease(t, s, full)
	})
	t.Run("is short without a heartbeat", func(t *testing.T) {
		s := newShortLeases(t, 10)
		s.advanceTo(2*time.Second, 10)
		s.d.ProgressWritten(s.now)
		assertLease(t, s, short)
		s.d.HeartbeatWritten(s.now)
		assertLease(t, s, full)
	})
	t.Run("is short without progress", func(t *testing.T) {
		s := newShortLeases(t, 10)
		s.advanceTo(2*time.Second, 7)
		s.d.HeartbeatWritten(s.now)
		assertLease(t, s, short)
		assert.LessOrEqual(t, s.nextRenewal("w0").Wait, 220*time.Millisecond)
	})
	t.Run("is none with three fifths of the workers", func(t *testing.T) {
		s := newShortLeases(t, 10)
		s.advanceTo(2*time.Second, 6)
		assertLease(t, s, 0)
	})
	t.Run("counts recorded workers that have left the list", func(t *testing.T) {
		s := newShortLeases(t, 10)
		s.d.Submit(s.now, 0, workflow("a", longRunning(10, 5000)), 5, nil, nil)
		require.Equal(t, 10, countRuns(starts(s.advance(200*time.Millisecond))))
		s.d.SetWorkers(s.now, s.entries("w0", "w1", "w2", "w3", "w4", "w5"))
		s.advanceTo(2*time.Second, 6)
		assertLease(t, s, 0)
	})
	t.Run("counts no worker whose record is not stored", func(t *testing.T) {
		s := newFixture(t, shortLeases, 10)
		s.d.ProgressWritten(s.now)
		s.d.TakeBatch()
		s.advanceWith(2*time.Second, s.renewAll)
		assertLease(t, s, 0)
	})
}

// shortLeaseSuccessor returns a new owner that knows the recorded workers of one that gave
// short leases, and a workflow of two tasks that was accepted before.
func shortLeaseSuccessor(t *testing.T, workers int, since func(i int) uint64) *fixture {
	s := newFixture(t, dispatcher.Config{Token: 1}, workers).successor(9)
	var known []briarspring.KnownWorker
	var entries []briarspring.WorkerEntry
	for i := range workers {
		e := s.workers[fmt.Sprintf("w%d", i)].entry
		entries = append(entries, e)
		known = append(known, briarspring.KnownWorker{ID: e.ID, Address: e.Address, Service: e.Service, Since: since(i)})
	}
	s.d.AddRecordedWorkers(known)
	s.d.SetWorkers(s.now, entries)
	s.d.SetPredecessorsYield(true)
	s.d.Submit(s.now, 0, workflow("a", step(2, 1000)), 5, nil, nil)
	return s
}

// heardOf sets what the log says of one or more earlier owners.
func (s *fixture) heardOf(lastHeartbeat, readTo time.Duration, tokens ...uint64) {
	s.d.SetPredecessors(dispatcher.Predecessors{ShortLeases: true, LastHeartbeat: lastHeartbeat, ReadTo: readTo, Tokens: tokens})
}

// Guards against a new owner that waits for leases that were never given, and against one that
// doesn't wait for those that were.
func TestPredecessorWithShortLeases(t *testing.T) {
	// 1.5 s, and a lease of 2 s or 5.5 s by a slow clock, rounded up.
	const short, full = 4 * time.Second, 7400 * time.Millisecond
	byFirst := func(int) uint64 { return 1 }
	assertStarts := func(t *testing.T, s *fixture, reached int, after, slack time.Duration) {
		t.Helper()
		assert.Empty(t, starts(s.advanceTo(after-slack, reached)))
		assert.Equal(t, 2, countRuns(starts(s.advanceTo(2*slack, reached))))
	}
	t.Run("is waited for until its last short lease has ended", func(t *testing.T) {
		s := shortLeaseSuccessor(t, 10, byFirst)
		s.heardOf(s.now-4*time.Second, s.now+time.Minute, 1)
		assertStarts(t, s, 4, short, 400*time.Millisecond)
	})
	t.Run("is waited for until its last full lease has ended", func(t *testing.T) {
		s := shortLeaseSuccessor(t, 10, byFirst)
		s.heardOf(s.now-time.Second, s.now+time.Minute, 1)
		assertStarts(t, s, 4, full-time.Second, 400*time.Millisecond)
	})
	t.Run("may have had heartbeats that were not read yet", func(t *testing.T) {
		s := shortLeaseSuccessor(t, 10, byFirst)
		s.heardOf(s.now-4*time.Second, s.now+time.Second, 1)
		assertStarts(t, s, 4, full, 400*time.Millisecond)
	})
	t.Run("is waited for while fewer than two fifths of its workers have answered", func(t *testing.T) {
		s := shortLeaseSuccessor(t, 10, byFirst)
		s.heardOf(s.now-4*time.Second, s.now+time.Minute, 1)
		assert.Empty(t, starts(s.advanceTo(10*time.Second, 3)))
	})
	t.Run("is not excluded by workers that a later one has recorded", func(t *testing.T) {
		s := shortLeaseSuccessor(t, 10, func(i int) uint64 {
			if i < 4 {
				return 5
			}
			return 1
		})
		s.heardOf(s.now-4*time.Second, s.now+time.Minute, 1, 5)
		assert.Empty(t, starts(s.advanceTo(10*time.Second, 6)))
		assert.Equal(t, 2, countRuns(starts(s.advanceTo(short+time.Second, 7))))
	})
	t.Run("may have given the longest lease to a worker that had restarted", func(t *testing.T) {
		s := newFixture(t, dispatcher.Config{Token: 1}, 2).successor(9)
		known := briarspring.KnownWorker{ID: "w1", Address: "a", Service: "ledger", Restarted: true, Since: 1}
		s.d.AddRecordedWorkers([]briarspring.KnownWorker{{ID: "w0", Address: "a", Service: "ledger", Since: 1}, known})
		s.d.SetWorkers(s.now, s.entries("w0", "w1"))
		s.d.SetPredecessorsYield(true)
		s.heardOf(s.now-4*time.Second, s.now+time.Minute, 1)
		s.d.Submit(s.now, 0, workflow("a", step(2, 1000)), 5, nil, nil)
		assertStarts(t, s, 1, 7800*time.Millisecond, 400*time.Millisecond)
	})
}

// Guards against an owner and its successor that both count as having most workers.
func TestMostWorkersExclude(t *testing.T) {
	for workers := 1; workers <= 16; workers++ {
		for held := range workers + 1 {
			earlier := newShortLeases(t, workers)
			earlier.advanceTo(2*time.Second, workers-held)
			orders := workers > held && earlier.nextRenewal("w0").Until > 0
			next := shortLeaseSuccessor(t, workers, func(int) uint64 { return 1 })
			next.heardOf(next.now-4*time.Second, next.now+time.Minute, 1)
			knows := countRuns(starts(next.advanceTo(5*time.Second, held))) > 0
			assert.False(t, orders && knows, "the next owner holds %d of %d workers", held, workers)
		}
	}
}
