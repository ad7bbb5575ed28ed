package dispatcher_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"briarspring"
	"briarspring/dispatcher"
	"briarspring/encoder"
)

// restart replaces the process of a worker by an empty one with the same ID.
func (s *fixture) restart(id string) {
	w := s.workers[id]
	w.startedAt++
	w.bornAt = s.now
	w.ended, w.number = nil, 0
	clear(w.running)
}

// Guards against sound work that is given up because a run which the next process of a worker
// has carried out is blamed for the loss of the process before.
func TestSuspicionAgainstARunOfTheNextProcess(t *testing.T) {
	for _, suspicion := range []int{0, 2} {
		t.Run(fmt.Sprintf("a suspicion of %d before", suspicion), func(t *testing.T) {
			s := newFixture(t, dispatcher.Config{Token: 1}, 1)
			progress := []briarspring.TaskProgress{{Suspicion: suspicion, Run: uint32(suspicion)}}
			s.d.Submit(s.now, 0, workflow("a", step(1, 1000)), 5, progress, nil)
			s.now += 200 * time.Millisecond
			s.renewAll()
			s.restart("w0")
			s.now += 100 * time.Millisecond
			s.d.ForcePlan()
			orders := s.d.Plan(s.now)
			if suspicion > 0 {
				s.store()
				orders = s.d.Plan(s.now)
			}
			require.Len(t, orders, 1)
			run := orders[0].Run()
			s.workers["w0"].running[run] = briarspring.RunningTask{Run: run, Percent: 1}
			s.d.HandleVerdict(s.now, orders[0], briarspring.VerdictDone)
			s.now += 100 * time.Millisecond
			s.renewAll()
			assert.Zero(t, s.d.Counters().Suspects)
			s.endRun("w0", run, briarspring.RunStopped)
			s.now += 100 * time.Millisecond
			s.renewAll()
			assert.NotEqual(t, briarspring.PhaseFailed, s.phases()["a"])
		})
	}
}

// Guards against sound work that is given up because starts that were ordered after an
// unheard restart of a worker are blamed for the silence in which that worker was cut off.
func TestSuspicionAfterAnUnheardRestart(t *testing.T) {
	s := newFixture(t, dispatcher.Config{Token: 1}, 1)
	s.d.Submit(s.now, 0, workflow("a", step(1, 1000)), 5, nil, nil)
	for range 4 {
		s.now += 100 * time.Millisecond
		s.renewAll()
		s.store()
		s.now += 400 * time.Millisecond
		s.restart("w0")
		s.now += 200 * time.Millisecond
		s.d.ForcePlan()
		orders := s.d.Plan(s.now)
		s.store()
		for _, o := range append(orders, s.d.Plan(s.now)...) {
			s.d.HandleVerdict(s.now, o, briarspring.VerdictUnanswered)
		}
		s.beSilent("w0", 9*time.Second)
		s.renewAll()
	}
	assert.Empty(t, s.phases(), "no run has failed")
	b, _ := s.d.TakeBatch()
	for _, p := range decodeProgress(t, b, "a") {
		assert.Zero(t, p.Suspicion)
	}
}

// beSilent lets a worker answer nothing for a time.
func (s *fixture) beSilent(id string, length time.Duration) {
	for end := s.now + length; s.now < end; {
		s.now += 100 * time.Millisecond
		s.d.NextRenewal(s.now, id)
		s.d.RenewalFailed(s.now, id, briarspring.VerdictUnanswered)
		s.store()
		s.d.ForcePlan()
		for _, o := range s.d.Plan(s.now) {
			s.d.HandleVerdict(s.now, o, briarspring.VerdictUnanswered)
		}
	}
}

// decodeProgress returns the progress of a workflow in a batch.
func decodeProgress(t testing.TB, b dispatcher.Batch, id briarspring.WorkflowID) []briarspring.TaskProgress {
	for _, r := range b.Progress {
		if r.Key == string(id) {
			progress, err := encoder.DecodeRunProgress(r.Value)
			require.NoError(t, err)
			return progress
		}
	}
	return nil
}

// Guards against sound work that is given up because workers that had refused its starts, for
// a run that has ended there, were lost just then.
func TestSuspicionByRefusedStarts(t *testing.T) {
	s := newFixture(t, dispatcher.Config{Token: 1}, 8)
	s.d.Submit(s.now, 0, workflow("a", step(1, 1000)), 5, nil, nil)
	for range 600 {
		s.now += 100 * time.Millisecond
		s.renewAll()
		s.store()
		s.d.ForcePlan()
		for _, o := range s.d.Plan(s.now) {
			if o.Kind != dispatcher.OrderStart {
				s.d.HandleVerdict(s.now, o, briarspring.VerdictDone)
				continue
			}
			s.restart(o.Worker)
			s.d.HandleVerdict(s.now, o, briarspring.VerdictStaleRun)
		}
	}
	assert.Empty(t, s.phases(), "no worker has carried out a start")
}

// Guards against sound work that is suspected beside a start that crashes its worker, since a
// start that was carried out late counted as one that had shown itself harmless.
func TestSuspicionBesideALateStart(t *testing.T) {
	s := newFixture(t, dispatcher.Config{Token: 1}, 1)
	s.d.Submit(s.now, 0, workflow("sound", step(1, 1000)), 5, nil, nil)
	s.planAndApply()
	wait := func(length time.Duration) {
		for end := s.now + length; s.now < end; {
			s.now += 100 * time.Millisecond
			s.renewAll()
		}
	}
	wait(time.Second)
	s.d.Submit(s.now, 0, workflow("a", step(1, 1000)), 6, nil, nil)
	s.d.ForcePlan()
	orders := s.d.Plan(s.now)
	require.Len(t, orders, 1)
	wait(700 * time.Millisecond) // The order is on its way.
	s.d.HandleVerdict(s.now, orders[0], briarspring.VerdictDone)
	s.workers["w0"].running[orders[0].Run()] = briarspring.RunningTask{Run: orders[0].Run()}
	s.renewAll()
	s.restart("w0")
	s.now += 100 * time.Millisecond
	s.renewAll()
	assert.Equal(t, uint64(1), s.d.Counters().Suspects)
}

// Guards against a renewal by the clock of a worker's earlier process, which gives the next
// one the longest lease, and against one that acknowledges the earlier one's ends to it.
func TestRenewalOfAProcessThatWasNotHeard(t *testing.T) {
	s := newFixture(t, dispatcher.Config{Token: 1}, 1)
	s.d.Submit(s.now, 0, workflow("a", step(1, 1000)), 5, nil, nil)
	s.endRun("w0", starts(s.planAndApply())["w0"][0], briarspring.RunDone)
	s.renewAll()
	s.store()
	assertBare := func(bare bool) {
		t.Helper()
		req, ok := s.d.NextRenewal(s.now, "w0")
		require.True(t, ok)
		assert.Equal(t, bare, req.Until == 0, "no deadline")
		assert.Equal(t, bare, req.LastSeenEnd == 0, "no acknowledgement")
	}
	assertBare(false)
	entry := s.workers["w0"].entry
	entry.StartedAt = 2
	s.d.SetWorkers(s.now, []briarspring.WorkerEntry{entry})
	assertBare(true)
	s.d.RenewalFailed(s.now, "w0", briarspring.VerdictUnanswered)
	assertBare(true)
}

// Guards against a worker that gets no starts any more, since its entry names another process
// than its answers do.
func TestStartsOnAWorkerWithAnOddEntry(t *testing.T) {
	s := newFixture(t, dispatcher.Config{Token: 1}, 1)
	entry := s.workers["w0"].entry
	entry.StartedAt = 9
	s.d.SetWorkers(s.now, []briarspring.WorkerEntry{entry})
	s.d.Submit(s.now, 0, workflow("a", step(1, 1000)), 5, nil, nil)
	assert.Empty(t, starts(s.planAndApply()), "it has not answered since")
	s.now += 100 * time.Millisecond
	s.renewAll()
	s.d.SetWorkers(s.now, []briarspring.WorkerEntry{entry})
	assert.Equal(t, 1, countRuns(starts(s.planAndApply())))
}
