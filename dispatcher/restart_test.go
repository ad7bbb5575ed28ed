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
