package dispatcher_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"briarspring"
	"briarspring/dispatcher"
)

// entries returns the entries of workers.
func (s *fixture) entries(ids ...string) []briarspring.WorkerEntry {
	var list []briarspring.WorkerEntry
	for _, id := range ids {
		list = append(list, s.workers[id].entry)
	}
	return list
}

// takeOver returns a fixture with three workers and a new owner, which w0 and w1 have
// answered, and a workflow that was accepted under the earlier owner.
func takeOver(t *testing.T) *fixture {
	s := newFixture(t, dispatcher.Config{Token: 1}, 3).successor(9)
	s.d.SetWorkers(s.now, s.entries("w0", "w1", "w2"))
	s.renew("w0")
	s.renew("w1")
	s.d.Submit(s.now, 0, workflow("a", step(2, 1000)), 5, nil, nil)
	return s
}

// advanceWithout is advance while w2 fails renewals with a verdict.
func (s *fixture) advanceWithout(v briarspring.Verdict, d time.Duration) []dispatcher.Order {
	return s.advanceWith(d, func() {
		s.renew("w0")
		s.renew("w1")
		s.d.NextRenewal(s.now, "w2")
		s.d.RenewalFailed(s.now, "w2", v)
		s.store()
	})
}

// Guards against a new owner that waits for a worker that can't answer any more.
func TestUnansweringWorker(t *testing.T) {
	t.Run("waits for a worker that may run unrecorded tasks", func(t *testing.T) {
		s := takeOver(t)
		assert.Empty(t, starts(s.advanceWithout(briarspring.VerdictUnanswered, 5*time.Second)))
		assert.Contains(t, s.d.Workers(), "w2")
		s.d.SetWorkers(s.now, s.entries("w0", "w1"))
		assert.Contains(t, s.d.Workers(), "w2", "also when it has left the list")
		assert.Empty(t, starts(s.advanceWithout(briarspring.VerdictUnanswered, 5*time.Second)))
	})
	t.Run("does not wait for a worker whose address another process has", func(t *testing.T) {
		s := takeOver(t)
		next := s.workers["w2"].entry
		next.ID, next.StartedAt = "w3", 2
		s.workers["w3"] = &fakeWorker{entry: next, startedAt: 2}
		s.d.SetWorkers(s.now, append(s.entries("w0", "w1"), next))
		assert.Equal(t, 2, countRuns(starts(s.advanceWithout(briarspring.VerdictOtherIncarnation, 400*time.Millisecond))))
		assert.NotContains(t, s.d.Workers(), "w2")
	})
	t.Run("takes the entry of an older process at an address for no proof", func(t *testing.T) {
		s := takeOver(t)
		other := s.workers["w2"].entry
		other.ID, other.StartedAt = "w3", -1
		s.workers["w3"] = &fakeWorker{entry: other}
		s.d.SetWorkers(s.now, append(s.entries("w0", "w1", "w2"), other))
		assert.Empty(t, starts(s.advanceWithout(briarspring.VerdictOtherIncarnation, 5*time.Second)))
	})
	t.Run("does not wait for a worker that may not run the work", func(t *testing.T) {
		s := newFixture(t, dispatcher.Config{Token: 1}, 3).successor(9)
		entries := s.entries("w0", "w1", "w2")
		entries[2].Service = "unknown"
		s.d.SetWorkers(s.now, entries)
		s.renew("w0")
		s.renew("w1")
		s.d.Submit(s.now, 0, workflow("a", step(2, 1000)), 5, nil, nil)
		assert.Equal(t, 2, countRuns(starts(s.advanceWithout(briarspring.VerdictUnanswered, 200*time.Millisecond))))
	})
	t.Run("does not hold up tasks that came from another data centre since", func(t *testing.T) {
		s := takeOver(t)
		arrived := func(offset uint64) func(int) dispatcher.Place {
			return func(int) dispatcher.Place { return dispatcher.Place{Local: true, Transfers: 1, Offset: offset} }
		}
		s.d.Submit(s.now, 0, workflow("b", step(3, 1000)), 6, nil, arrived(12))
		s.d.Submit(s.now, 0, workflow("c", step(1, 1000)), 7, nil, arrived(8))
		assert.Equal(t, 3, countRuns(starts(s.advanceWithout(briarspring.VerdictUnanswered, time.Second))))
	})
}

// Guards against runs that wait for the lease of a worker that was replaced.
func TestReplacedWorker(t *testing.T) {
	s := newFixture(t, dispatcher.Config{Token: 1}, 3)
	s.d.Submit(s.now, 0, workflow("a", step(3, 8000)), 5, nil, nil)
	assert.Equal(t, 3, countRuns(starts(s.advance(time.Second))))
	next := s.workers["w2"].entry
	next.ID, next.StartedAt = "w3", 2
	s.workers["w3"] = &fakeWorker{entry: next, startedAt: 2, running: map[briarspring.RunRef]briarspring.RunningTask{}}
	s.d.SetWorkers(s.now, append(s.entries("w0", "w1"), next))
	s.renew("w3")
	assert.Equal(t, 1, countRuns(starts(s.advanceWithout(briarspring.VerdictOtherIncarnation, 400*time.Millisecond))))
}

// advanceAlone is advance while only some workers can be reached.
func (s *fixture) advanceAlone(d time.Duration, ids ...string) []dispatcher.Order {
	return s.advanceWith(d, func() {
		for _, id := range ids {
			s.renew(id)
		}
		s.store()
	})
}

// Guards against an owner that is cut off from the log and from most workers, and that
// goes on giving orders to the others while a newer owner starts its tasks elsewhere.
func TestAuthority(t *testing.T) {
	newOwner := func(t *testing.T) *fixture {
		s := newFixture(t, dispatcher.Config{Token: 1, Yields: true}, 3)
		s.d.ProgressWritten(s.now)
		s.d.Submit(s.now, 0, workflow("a", step(1, 1000)), 5, nil, nil)
		return s
	}
	t.Run("holds while progress is written", func(t *testing.T) {
		s := newOwner(t)
		assert.Equal(t, 1, countRuns(starts(s.advanceAlone(time.Second, "w0"))))
	})
	t.Run("holds while most workers accept the token", func(t *testing.T) {
		s := newOwner(t)
		s.advanceAlone(3*time.Second, "w0", "w1")
		s.d.Submit(s.now, 0, workflow("b", step(1, 1000)), 6, nil, nil)
		assert.Equal(t, 1, countRuns(starts(s.advanceAlone(time.Second, "w0", "w1"))))
		assert.Positive(t, s.nextRenewal("w0").Until)
	})
	t.Run("ends with both", func(t *testing.T) {
		s := newOwner(t)
		s.advanceAlone(3*time.Second, "w0")
		s.d.Submit(s.now, 0, workflow("b", step(1, 1000)), 6, nil, nil)
		assert.Empty(t, starts(s.advanceAlone(time.Second, "w0")))
		assert.Zero(t, s.nextRenewal("w0").Until)
	})
	t.Run("does not come from workers that have forgotten a newer token", func(t *testing.T) {
		s := newOwner(t)
		s.advanceAlone(3*time.Second, "w0")
		s.workers["w1"].startedAt = 2
		s.d.Submit(s.now, 0, workflow("b", step(1, 1000)), 6, nil, nil)
		assert.Empty(t, starts(s.advanceAlone(time.Second, "w0", "w1")))
	})
	t.Run("comes back with the log", func(t *testing.T) {
		s := newOwner(t)
		s.advanceAlone(3*time.Second, "w0")
		s.d.ProgressWritten(s.now)
		s.d.Submit(s.now, 0, workflow("b", step(1, 1000)), 6, nil, nil)
		assert.NotEmpty(t, starts(s.advanceAlone(time.Second, "w0")))
	})
}

func (s *fixture) nextRenewal(id string) briarspring.LeaseRequest {
	req, _ := s.d.NextRenewal(s.now, id)
	return req
}

// Guards against a new owner that waits longer than it has to for an earlier one that
// can't give orders any more.
func TestPredecessorThatYields(t *testing.T) {
	const yielded = 7500 * time.Millisecond // 1.5 s and a lease of 5.5 s by a slow clock, rounded up.
	t.Run("is waited for until its last lease has ended", func(t *testing.T) {
		s := takeOver(t)
		s.d.SetPredecessorsYield(true)
		assert.Empty(t, starts(s.advanceWithout(briarspring.VerdictUnanswered, 7*time.Second)))
		assert.Equal(t, 2, countRuns(starts(s.advanceWithout(briarspring.VerdictUnanswered, yielded-7*time.Second))))
	})
	t.Run("is waited for while most workers have not answered", func(t *testing.T) {
		s := newFixture(t, dispatcher.Config{Token: 1}, 3).successor(9)
		s.d.SetWorkers(s.now, s.entries("w0", "w1", "w2"))
		s.d.SetPredecessorsYield(true)
		s.d.Submit(s.now, 0, workflow("a", step(2, 1000)), 5, nil, nil)
		assert.Empty(t, starts(s.advanceAlone(10*time.Second, "w0")))
	})
	t.Run("is waited for if it does not yield", func(t *testing.T) {
		s := takeOver(t)
		assert.Empty(t, starts(s.advanceWithout(briarspring.VerdictUnanswered, 10*time.Second)))
	})
}

// Guards against a new owner that does not know of a worker because its entry has not
// come back yet after an outage of the log, and starts its tasks a second time.
func TestKnownWorkers(t *testing.T) {
	known := func(s *fixture, ids ...string) []briarspring.KnownWorker {
		var list []briarspring.KnownWorker
		for _, e := range s.entries(ids...) {
			list = append(list, briarspring.KnownWorker{ID: e.ID, Address: e.Address, Service: e.Service})
		}
		return list
	}
	t.Run("are asked before anything of the earlier owner's time starts", func(t *testing.T) {
		old := newFixture(t, dispatcher.Config{Token: 1}, 3)
		old.d.Submit(old.now, 0, workflow("a", longRunning(1, 1000)), 5, nil, nil)
		require.Len(t, starts(old.planAndApply())["w0"], 1)
		s := old.successor(9)
		s.d.AddKnownWorkers(known(s, "w0", "w1", "w2"))
		s.d.SetWorkers(s.now, s.entries("w1", "w2"))
		s.d.Submit(s.now, 0, workflow("a", longRunning(1, 1000)), 5, nil, nil)
		assert.Empty(t, starts(s.advanceAlone(time.Second, "w1", "w2")))
		assert.Contains(t, s.d.Workers(), "w0")
		assert.Empty(t, starts(s.advance(3*time.Second)), "w0 runs the task")
	})
	t.Run("are those that are used", func(t *testing.T) {
		s := newFixture(t, dispatcher.Config{Token: 1, RecordedOnly: true}, 2)
		s.d.SetWorkers(s.now, s.entries("w1"))
		s.store()
		s.d.SetWorkers(s.now, s.entries("w0", "w1"))
		s.d.Submit(s.now, 0, workflow("a", step(9, 1000)), 5, nil, nil)
		list := starts(s.advanceWithoutLog(time.Second))
		assert.Empty(t, list["w0"], "its record isn't stored")
		assert.Len(t, list["w1"], 8)
		s.store()
		assert.Len(t, starts(s.advanceWithoutLog(time.Second))["w0"], 1)
	})
	t.Run("are not used at another address", func(t *testing.T) {
		s := newFixture(t, dispatcher.Config{Token: 1, RecordedOnly: true}, 1)
		s.store()
		moved := s.entries("w0")
		moved[0].Address = "b"
		s.d.SetWorkers(s.now, moved)
		s.d.Submit(s.now, 0, workflow("a", step(1, 1000)), 5, nil, nil)
		assert.Empty(t, starts(s.advanceWithoutLog(time.Second)))
		s.store()
		assert.NotEmpty(t, starts(s.advanceWithoutLog(time.Second)))
	})
	t.Run("include one without an entry whose ended run isn't stored", func(t *testing.T) {
		s := newFixture(t, dispatcher.Config{Token: 1}, 2)
		s.d.Submit(s.now, 0, workflow("a", step(1, 1000)), 5, nil, nil)
		list := starts(s.advanceWithoutLog(400 * time.Millisecond))["w0"]
		require.Len(t, list, 1)
		s.d.SetWorkers(s.now, s.entries("w1"))
		s.endRun("w0", list[0], briarspring.RunDone)
		s.advanceWithoutLog(time.Second)
		require.True(t, s.d.HasUnstoredEnds("w0"))
		v, _ := s.d.Inventory(s.now)
		assert.Equal(t, known(s, "w0", "w1"), v.Workers)
		assert.Contains(t, s.d.Workers(), "w0")
		s.store()
		v, _ = s.d.Inventory(s.now)
		assert.Equal(t, known(s, "w1"), v.Workers)
	})
}
