package dispatcher_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"briarspring"
	"briarspring/dispatcher"
)

// later moves the time on while every worker is held, and returns the orders.
func (s *site) later(d time.Duration) []dispatcher.Order {
	const interval = 200 * time.Millisecond
	var orders []dispatcher.Order
	for end := s.now + d; s.now < end; {
		s.now += interval
		s.holdAll()
		s.store()
		orders = append(orders, s.plan()...)
	}
	return orders
}

func lasting(tasks int, milliCPU int64) briarspring.Step {
	s := step(tasks, milliCPU)
	s.Lasting, s.Estimate = true, 0
	return s
}

// failing has a worker fail runs until it is set aside.
func (s *site) failing(worker string) {
	first := step(3, 1000)
	s.d.Submit(s.now, 0, workflow("failing", first), 5, nil, nil)
	s.plan()
	for run := range s.workers[worker].running {
		s.end(worker, run, briarspring.RunFailed)
	}
	s.holdAll()
	s.d.Cancel(s.now, "failing")
	s.plan()
	s.holdAll()
	s.store()
}

// Workers that fail everything were probed with one run each. A lasting task
// that came first was a probe without end, and the worker stayed empty for good.
func TestWorkerSetAside(t *testing.T) {
	t.Run("gets nothing for a while and is no room for others", func(t *testing.T) {
		s := newSite(t, dispatcher.Config{Token: 1}, 1)
		s.failing("w0")
		s.d.Submit(s.now, 0, workflow("a", lasting(2, 3000)), 6, nil, nil)
		assert.Empty(t, starts(s.later(3*time.Second)))
		assert.Zero(t, s.d.Load().Free)
		assert.Zero(t, s.d.Load().Largest)
	})
	t.Run("is trusted again after a lasting task has run there", func(t *testing.T) {
		s := newSite(t, dispatcher.Config{Token: 1}, 1)
		s.failing("w0")
		s.d.Submit(s.now, 0, workflow("a", lasting(2, 3000)), 6, nil, nil)
		assert.Equal(t, 1, count(starts(s.later(5*time.Second))))
		assert.Equal(t, 1, count(starts(s.later(3*time.Second))))
		assert.Equal(t, int64(2000), s.d.Load().Free)
	})
	t.Run("stays aside when the probe fails too", func(t *testing.T) {
		s := newSite(t, dispatcher.Config{Token: 1}, 1)
		s.failing("w0")
		s.d.Submit(s.now, 0, workflow("a", lasting(2, 3000)), 6, nil, nil)
		s.later(5 * time.Second)
		for run := range s.workers["w0"].running {
			s.end("w0", run, briarspring.RunFailed)
		}
		assert.Empty(t, starts(s.later(3*time.Second)))
	})
}
