package dispatcher_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"briarspring"
	"briarspring/dispatcher"
)

// Guards against a task that starts again while its run is alive on a worker whose present
// process has answered its start and nothing else: that gave the longest lease, since the
// deadline was by the clock of the process before.
func TestStartAnsweredByAProcessThatWasNotHeard(t *testing.T) {
	const maxLease = 6 * time.Second
	// answered returns a fixture with two workers. One was heard at 60.1 s of its clock,
	// then got a start, and answered that at a reading.
	answered := func(t *testing.T, clock time.Duration) (s *fixture, worker, other string) {
		s = newFixture(t, dispatcher.Config{Token: 1}, 2)
		s.now += 100 * time.Millisecond
		s.renewAll()
		s.d.Submit(s.now, 0, workflow("a", step(1, 1000)), 5, nil, nil)
		s.d.ForcePlan()
		orders := s.d.Plan(s.now)
		require.Len(t, orders, 1)
		s.d.HandleOrderClock(s.now, orders[0], clock)
		s.d.HandleVerdict(s.now, orders[0], briarspring.VerdictDone)
		worker, other = orders[0].Worker, "w0"
		if worker == other {
			other = "w1"
		}
		return s, worker, other
	}
	t.Run("is alive for the longest lease", func(t *testing.T) {
		s, _, other := answered(t, 100*time.Millisecond)
		assert.Empty(t, starts(s.advanceAlone(maxLease, other)))
		assert.Equal(t, 1, countRuns(starts(s.advanceAlone(time.Second, other))))
	})
	t.Run("gets no deadline and no start until it is heard", func(t *testing.T) {
		s, worker, _ := answered(t, 100*time.Millisecond)
		assert.Zero(t, s.nextRenewal(worker).Until)
		s.d.Submit(s.now, 0, workflow("b", step(1, 1000)), 6, nil, nil)
		s.d.ForcePlan()
		assert.NotContains(t, starts(s.d.Plan(s.now)), worker)
	})
	t.Run("is another case than an answer of the same process", func(t *testing.T) {
		for _, clock := range []time.Duration{0, 60100 * time.Millisecond, 61 * time.Second} {
			s, worker, _ := answered(t, clock)
			assert.Positive(t, s.nextRenewal(worker).Until, "clock %s", clock)
		}
	})
}
