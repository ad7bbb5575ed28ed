package dispatcher_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"briarspring"
	"briarspring/dispatcher"
)

// delayAnswer has a worker answer a renewal at once, and the owner process the answer
// after a delay.
func (s *fixture) delayAnswer(worker string, delay time.Duration) {
	s.d.NextRenewal(s.now, worker)
	w := s.workers[worker]
	sent := s.now
	reply := briarspring.LeaseReply{StartedAt: w.startedAt, Clock: s.now - w.bornAt, Ended: w.ended}
	for _, r := range w.running {
		reply.Running = append(reply.Running, r)
	}
	s.now += delay
	s.d.HandleRenewal(s.now, sent, worker, reply)
}

// assertEndAwaited checks that nothing starts before a run's end is listed, and that the
// end counts.
func assertEndAwaited(t *testing.T, s *fixture, run briarspring.RunRef) {
	t.Helper()
	assert.Empty(t, starts(s.planAndApply()))
	s.endRun("w0", run, briarspring.RunDone)
	assert.Empty(t, starts(s.advance(5*time.Second)))
	assert.Equal(t, uint64(1), s.d.Counters().Completed)
}

// Guards against an owner on a slow machine that takes the age of an answer for time in
// which its worker has listed nothing, and starts tasks again whose ends are about to be
// listed.
func TestAnswersProcessedLate(t *testing.T) {
	t.Run("of a worker that a run is missing from", func(t *testing.T) {
		s, run := startOne(t, step(1, 1000))
		s.hide("w0", run)
		s.renew("w0")
		s.now += 10 * time.Millisecond
		s.delayAnswer("w0", 2*time.Second)
		assertEndAwaited(t, s, run)
	})
	t.Run("of a worker whose start was not answered", func(t *testing.T) {
		s := newFixture(t, dispatcher.Config{Token: 1}, 1)
		s.d.Submit(s.now, 0, workflow("a", step(1, 1000)), 5, nil, nil)
		s.d.ForcePlan()
		start := s.d.Plan(s.now)[0]
		s.d.HandleVerdict(s.now, start, briarspring.VerdictUnanswered)
		s.now += 1600 * time.Millisecond // The start can't take effect any more.
		s.renew("w0")
		s.now += 10 * time.Millisecond
		s.delayAnswer("w0", time.Second)
		assertEndAwaited(t, s, start.Run())
	})
	t.Run("by a new owner", func(t *testing.T) {
		old, run := startOne(t, step(1, 1000))
		old.hide("w0", run)
		s := old.successor(9)
		s.d.SetWorkers(s.now, s.entries("w0", "w1"))
		s.d.Submit(s.now, 0, workflow("a", step(1, 1000)), 5, nil, nil)
		s.renewAll()
		s.now += 10 * time.Millisecond
		s.delayAnswer("w0", reportTime)
		s.renew("w1")
		assertEndAwaited(t, s, run)
	})
}
