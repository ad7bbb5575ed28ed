package dispatcher_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"briarspring"
	"briarspring/dispatcher"
)

// Guards against a task that starts again while a run of it is alive on a worker whose restart
// nobody heard of: a start without an answer, meant for the process before, gave that run the
// longest lease.
func TestStartTakenByAProcessThatNobodyHeardOf(t *testing.T) {
	const maxLease = 6 * time.Second
	s := newFixture(t, dispatcher.Config{Token: 1}, 1)
	s.d.Submit(s.now, 0, workflow("a", step(1, 1000)), 5, nil, nil)
	s.now += 100 * time.Millisecond
	s.restart("w0")
	w := s.workers["w0"]
	s.now += 600 * time.Millisecond
	s.d.ForcePlan()
	orders := s.d.Plan(s.now)
	require.Len(t, orders, 1)
	clock := func() time.Duration { return time.Duration(float64(s.now-w.bornAt) * 0.98) }
	until := min(orders[0].Start.Until, clock()+maxLease)
	s.d.HandleVerdict(s.now, orders[0], briarspring.VerdictUnanswered)
	other := w.entry
	other.ID = "w1"
	s.workers["w1"] = &fakeWorker{entry: other, startedAt: 1, running: map[briarspring.RunRef]briarspring.RunningTask{}}
	s.d.SetWorkers(s.now, []briarspring.WorkerEntry{w.entry, other})
	for clock() < until {
		s.d.NextRenewal(s.now, "w0")
		s.d.RenewalFailed(s.now, "w0", briarspring.VerdictUnanswered)
		require.Empty(t, starts(s.advanceAlone(100*time.Millisecond, "w1")), "by the clock of w0 at %s, its lease ends at %s", clock(), until)
	}
}

// Guards against a workflow that fails though no run of it has failed, since refused starts
// count as failed runs.
func TestRefusedStartsAreNoAttempts(t *testing.T) {
	s := newFixture(t, dispatcher.Config{Token: 1}, 4)
	s.d.Submit(s.now, 0, workflow("a", step(1, 1000)), 5, nil, nil)
	for range 50 {
		s.now += 100 * time.Millisecond
		s.renewAll()
		s.store()
		s.d.ForcePlan()
		for _, o := range s.d.Plan(s.now) {
			s.d.HandleVerdict(s.now, o, briarspring.VerdictInvalid)
		}
	}
	assert.Empty(t, s.phases())
}

// Guards against sound work that is suspected after a takeover, since a worker that is young
// counts as one that has restarted under a recorded run.
func TestSuspicionByARecordedStartOnAYoungWorker(t *testing.T) {
	s := newFixture(t, dispatcher.Config{Token: 1}, 2).successor(9)
	s.workers["w0"].bornAt = s.now - 3*time.Second
	s.d.SetWorkers(s.now, s.entries("w0", "w1"))
	s.d.Submit(s.now, 0, workflow("a", step(1, 1000)), 5, []briarspring.TaskProgress{{Run: 1, Worker: "w0"}}, nil)
	for range 25 {
		s.now += 100 * time.Millisecond
		s.renewAll()
	}
	require.Equal(t, uint64(1), s.d.Counters().Lost)
	assert.Zero(t, s.d.Counters().Suspects)
}
