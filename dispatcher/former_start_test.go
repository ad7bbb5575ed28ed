package dispatcher_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"briarspring"
	"briarspring/dispatcher"
)

// unansweredStart returns a fixture with two workers, and the run of a start that w0 has
// not answered.
func unansweredStart(t *testing.T) (*fixture, briarspring.RunRef) {
	s := newFixture(t, dispatcher.Config{Token: 1}, 2)
	s.d.SetWorkers(s.now, s.entries("w0"))
	s.d.Submit(s.now, 0, workflow("a", step(1, 1000)), 5, nil, nil)
	s.d.ForcePlan()
	orders := s.d.Plan(s.now)
	require.Len(t, starts(orders)["w0"], 1)
	s.d.HandleVerdict(s.now, orders[0], briarspring.VerdictUnanswered)
	s.d.SetWorkers(s.now, s.entries("w0", "w1"))
	return s, orders[0].Start.Run
}

// stopsOn returns the runs on a worker that are stopped.
func stopsOn(orders []dispatcher.Order, worker string) (list []briarspring.RunRef) {
	for _, o := range orders {
		if o.Kind == dispatcher.OrderStop && o.Worker == worker {
			list = append(list, o.Stop.Run)
		}
	}
	return list
}

// Guards against two runs of a task, since the next process of a worker carries out a start
// that was stopped, and given up, in the process before.
func TestStartForAFormerProcess(t *testing.T) {
	t.Run("is stopped again in the next process", func(t *testing.T) {
		s, run := unansweredStart(t)
		require.Equal(t, 1, countRuns(starts(s.advance(2*time.Second))), "given up and started again")
		s.restart("w0")
		assert.Equal(t, []briarspring.RunRef{run}, stopsOn(s.advance(300*time.Millisecond), "w0"))
		assert.NotContains(t, stopsOn(s.advance(3*time.Second), "w0"), run, "the process has accepted the stop")
		s.restart("w0")
		assert.Contains(t, stopsOn(s.advance(300*time.Millisecond), "w0"), run)
	})
	t.Run("is stopped until a stop is answered", func(t *testing.T) {
		s, run := unansweredStart(t)
		s.advance(2 * time.Second)
		s.restart("w0")
		for range 2 {
			s.now += 100 * time.Millisecond
			s.renewAll()
			orders := s.d.Plan(s.now)
			assert.Equal(t, []briarspring.RunRef{run}, stopsOn(orders, "w0"))
			for _, o := range orders {
				s.d.HandleVerdict(s.now, o, briarspring.VerdictUnanswered)
			}
		}
	})
	t.Run("is stopped after the lease of the process before has ended", func(t *testing.T) {
		s, run := unansweredStart(t)
		s.beSilent("w0", 8*time.Second)
		s.restart("w0")
		assert.Contains(t, stopsOn(s.advance(300*time.Millisecond), "w0"), run)
	})
	t.Run("is stopped after its workflow was cancelled", func(t *testing.T) {
		s, run := unansweredStart(t)
		s.advance(2 * time.Second)
		s.d.Cancel(s.now, "a")
		s.advance(time.Second)
		require.False(t, s.d.Knows("a"))
		s.restart("w0")
		assert.Equal(t, []briarspring.RunRef{run}, stopsOn(s.advance(300*time.Millisecond), "w0"))
	})
	t.Run("is stopped with the first answer, which is asked for at once", func(t *testing.T) {
		s, _ := unansweredStart(t)
		s.advance(2 * time.Second)
		assert.Positive(t, s.nextRenewal("w0").Wait)
		s.d.RenewalFailed(s.now, "w0", briarspring.VerdictUnanswered)
		assert.Zero(t, s.nextRenewal("w0").Wait)
		s.restart("w0")
		s.renew("w0")
		assert.Len(t, stopsOn(s.d.Plan(s.now), "w0"), 1)
		assert.Positive(t, s.nextRenewal("w0").Wait)
	})
	t.Run("is forgotten once it can't arrive any more", func(t *testing.T) {
		s, _ := unansweredStart(t)
		s.advance(14 * time.Second)
		s.restart("w0")
		assert.Empty(t, stopsOn(s.advance(300*time.Millisecond), "w0"))
	})
	t.Run("is forgotten once it has been carried out", func(t *testing.T) {
		s, run := unansweredStart(t)
		s.workers["w0"].running[run] = briarspring.RunningTask{Run: run, Percent: 50}
		s.advance(time.Second)
		s.endRun("w0", run, briarspring.RunDone)
		s.advance(time.Second)
		s.restart("w0")
		assert.Empty(t, stopsOn(s.advance(300*time.Millisecond), "w0"))
	})
}
