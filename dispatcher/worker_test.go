package dispatcher_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"briarspring"
	"briarspring/dispatcher"
)

// advance moves the time forward by d in steps of 200 ms, renews all leases after
// each step, and returns the orders.
func (s *fixture) advance(d time.Duration) []dispatcher.Order {
	const interval = 200 * time.Millisecond
	var orders []dispatcher.Order
	for end := s.now + d; s.now < end; {
		s.now += interval
		s.renewAll()
		s.store()
		orders = append(orders, s.planAndApply()...)
	}
	return orders
}

func longRunning(tasks int, milliCPU int64) briarspring.Step {
	s := step(tasks, milliCPU)
	s.LongRunning, s.Estimate = true, 0
	return s
}

// failUntilQuarantined has a worker fail runs until it is quarantined.
func (s *fixture) failUntilQuarantined(worker string) {
	first := step(3, 1000)
	s.d.Submit(s.now, 0, workflow("failing", first), 5, nil, nil)
	s.planAndApply()
	for run := range s.workers[worker].running {
		s.endRun(worker, run, briarspring.RunFailed)
	}
	s.renewAll()
	s.d.Cancel(s.now, "failing")
	s.planAndApply()
	s.renewAll()
	s.store()
}

// Guards against a quarantined worker that stays empty for good because its
// probe is a long-running task, which never ends.
func TestWorkerSetAside(t *testing.T) {
	t.Run("gets no starts for a while and counts as no free capacity", func(t *testing.T) {
		s := newFixture(t, dispatcher.Config{Token: 1}, 1)
		s.failUntilQuarantined("w0")
		s.d.Submit(s.now, 0, workflow("a", longRunning(2, 3000)), 6, nil, nil)
		assert.Empty(t, starts(s.advance(3*time.Second)))
		assert.Zero(t, s.d.Load().Free)
		assert.Zero(t, s.d.Load().Largest)
	})
	t.Run("leaves quarantine after a long-running task has run there", func(t *testing.T) {
		s := newFixture(t, dispatcher.Config{Token: 1}, 1)
		s.failUntilQuarantined("w0")
		s.d.Submit(s.now, 0, workflow("a", longRunning(2, 3000)), 6, nil, nil)
		assert.Equal(t, 1, countRuns(starts(s.advance(5*time.Second))))
		assert.Equal(t, 1, countRuns(starts(s.advance(3*time.Second))))
		assert.Equal(t, int64(2000), s.d.Load().Free)
	})
	t.Run("stays quarantined when the probe fails too", func(t *testing.T) {
		s := newFixture(t, dispatcher.Config{Token: 1}, 1)
		s.failUntilQuarantined("w0")
		s.d.Submit(s.now, 0, workflow("a", longRunning(2, 3000)), 6, nil, nil)
		s.advance(5 * time.Second)
		for run := range s.workers["w0"].running {
			s.endRun("w0", run, briarspring.RunFailed)
		}
		assert.Empty(t, starts(s.advance(3*time.Second)))
	})
}
