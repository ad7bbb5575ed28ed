package dispatcher_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"briarspring/dispatcher"
)

// Guards against an owner whose process was stopped for a while, and that gives orders
// when it goes on although a newer owner has taken over.
func TestPausedOwner(t *testing.T) {
	const pause = 10 * time.Second
	newOwner := func(t *testing.T) *fixture {
		s := newFixture(t, dispatcher.Config{Token: 1, Yields: true}, 3)
		s.d.ProgressWritten(s.now)
		return s
	}
	t.Run("gives none if its clock went on", func(t *testing.T) {
		s := newOwner(t)
		s.now += pause
		s.d.Submit(s.now, 0, workflow("a", step(1, 1000)), 5, nil, nil)
		assert.Zero(t, s.nextRenewal("w0").Until)
		assert.Empty(t, starts(s.advanceAlone(time.Second, "w0")))
	})
	t.Run("gives void ones if its clock stood still", func(t *testing.T) {
		s := newOwner(t)
		s.workers["w0"].bornAt -= pause
		s.d.Submit(s.now, 0, workflow("a", step(1, 1000)), 5, nil, nil)
		workerClock := s.now - s.workers["w0"].bornAt
		assert.Less(t, s.nextRenewal("w0").Until, workerClock)
		s.d.ForcePlan()
		orders := s.d.Plan(s.now)
		require.Len(t, orders, 1)
		assert.Less(t, orders[0].Start.Until, workerClock)
	})
}
