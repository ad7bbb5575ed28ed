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

// drain has a worker announce that it leaves.
func (s *site) drain(worker string, remaining time.Duration) {
	w := s.workers[worker]
	w.entry.Draining, w.entry.Remaining, w.entry.Clock = true, remaining, s.now
	var entries []briarspring.WorkerEntry
	for _, w := range s.workers {
		entries = append(entries, w.entry)
	}
	s.d.SetWorkers(s.now, entries)
}

// runsOn returns how many runs are alive on a worker.
func (s *site) runsOn(worker string) int { return len(s.workers[worker].running) }

// When workers left, what ran there came back only after their leases had
// lapsed, 5.5 s later.
func TestDrainingWorker(t *testing.T) {
	t.Run("gives its lasting tasks to others one after the other", func(t *testing.T) {
		s := newSite(t, dispatcher.Config{Token: 1}, 1)
		s.d.Submit(s.now, 0, workflow("a", lasting(3, 2000)), 5, nil, nil)
		s.plan()
		s.add("w1")
		s.drain("w0", 6*time.Second)
		s.later(400 * time.Millisecond)
		assert.GreaterOrEqual(t, s.runsOn("w0")+s.runsOn("w1"), 2, "one task at a time is away")
		s.later(2 * time.Second)
		assert.Equal(t, 0, s.runsOn("w0"))
		assert.Equal(t, 3, s.runsOn("w1"))
	})
	t.Run("keeps lasting tasks until shortly before it leaves when there is no room", func(t *testing.T) {
		s := newSite(t, dispatcher.Config{Token: 1}, 1)
		s.d.Submit(s.now, 0, workflow("a", lasting(1, 2000)), 5, nil, nil)
		s.plan()
		s.drain("w0", 6*time.Second)
		s.later(4 * time.Second)
		assert.Equal(t, 1, s.runsOn("w0"))
		s.later(time.Second)
		assert.Equal(t, 0, s.runsOn("w0"), "its end is certain now, so another data centre may start it")
		assert.Len(t, s.d.TakeTransfers(s.now+time.Second, func(*briarspring.Step) string { return "voru" }), 1)
	})
	t.Run("finishes short runs and stops what does not end in time", func(t *testing.T) {
		s := newSite(t, dispatcher.Config{Token: 1}, 1)
		long := step(1, 1000)
		long.Estimate, long.Checkpoints = 30*time.Second, true
		s.d.Submit(s.now, 0, workflow("a", long), 5, nil, nil)
		s.plan()
		s.add("w1")
		s.drain("w0", 6*time.Second)
		s.progress("w0")
		s.later(time.Second)
		assert.Equal(t, 1, s.runsOn("w0"))
		for range 10 {
			s.progress("w0")
			s.later(400 * time.Millisecond)
		}
		assert.Equal(t, 0, s.runsOn("w0"))
		assert.Equal(t, 1, s.runsOn("w1"))
	})
}

// Two workers that leave at once would take two tasks of a step away at a time.
func TestMaxMissing(t *testing.T) {
	for bound, want := range map[int]int{0: 2, 1: 1} {
		t.Run(fmt.Sprintf("%d", bound), func(t *testing.T) {
			s := newSite(t, dispatcher.Config{Token: 1}, 2)
			watch := lasting(2, 2000)
			watch.MaxPerWorker, watch.MaxMissing = 1, bound
			s.d.Submit(s.now, 0, workflow("a", watch), 5, nil, nil)
			s.plan()
			s.holdAll()
			s.add("w2")
			s.add("w3")
			s.drain("w0", 6*time.Second)
			s.drain("w1", 6*time.Second)
			stops := 0
			for _, o := range s.plan() {
				if o.Kind == dispatcher.OrderStop {
					stops++
				}
			}
			assert.Equal(t, want, stops)
			s.later(2 * time.Second)
			assert.Equal(t, 2, s.runsOn("w2")+s.runsOn("w3"), "both have moved in the end")
		})
	}
}

// add starts one more worker.
func (s *site) add(id string) {
	e := s.workers["w0"].entry
	e.ID, e.Draining = id, false
	s.workers[id] = &fakeWorker{entry: e, born: 1, running: map[briarspring.RunRef]briarspring.RunningTask{}}
	var entries []briarspring.WorkerEntry
	for _, w := range s.workers {
		entries = append(entries, w.entry)
	}
	s.d.SetWorkers(s.now, entries)
	s.holdAll()
}

// progress has every run of a worker get on a little.
func (s *site) progress(worker string) {
	w := s.workers[worker]
	require.NotNil(s.t, w)
	for ref, r := range w.running {
		r.Percent = r.Percent%90 + 5
		w.running[ref] = r
	}
}
