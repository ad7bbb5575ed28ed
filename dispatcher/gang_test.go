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

func gang(tasks int, milliCPU int64) briarspring.Step {
	s := step(tasks, milliCPU)
	s.Gang = true
	return s
}

// setRacks puts workers on racks.
func (s *fixture) setRacks(racks ...string) {
	var entries []briarspring.WorkerEntry
	for i, rack := range racks {
		w := s.workers[fmt.Sprintf("w%d", i)]
		w.entry.Rack = rack
		entries = append(entries, w.entry)
	}
	s.d.SetWorkers(s.now, entries)
}

// anyRun returns a run that is alive on some worker.
func (s *fixture) anyRun() (worker string, run briarspring.RunRef) {
	for i := range len(s.workers) {
		worker = fmt.Sprintf("w%d", i)
		for ref := range s.workers[worker].running {
			return worker, ref
		}
	}
	s.t.Fatal("nothing runs")
	return "", run
}

// assertOneRun checks that all tasks of a gang run and carry the same number.
func assertOneRun(t *testing.T, s *fixture, tasks int, number uint32) {
	t.Helper()
	n := 0
	for _, w := range s.workers {
		for ref := range w.running {
			n++
			assert.Equal(t, number, ref.Run)
		}
	}
	assert.Equal(t, tasks, n)
}

func TestGangs(t *testing.T) {
	t.Run("start together or not at all", func(t *testing.T) {
		s := newFixture(t, dispatcher.Config{Token: 1}, 1)
		s.d.Submit(s.now, 0, workflow("a", gang(4, 3000)), 5, nil, nil)
		assert.Empty(t, starts(s.planAndApply()), "only two of four tasks would find room")
		s.addWorker("w1")
		assert.Equal(t, 4, countRuns(starts(s.planAndApply())))
		assertOneRun(t, s, 4, 1)
	})
	t.Run("that find no room leave it to others", func(t *testing.T) {
		s := newFixture(t, dispatcher.Config{Token: 1}, 1)
		s.d.Submit(s.now, 0, workflow("a", gang(4, 3000)), 5, nil, nil)
		s.d.Submit(s.now, 0, workflow("b", step(2, 4000)), 6, nil, nil)
		assert.Equal(t, 2, countRuns(starts(s.planAndApply())))
	})
	t.Run("are done when one of them is", func(t *testing.T) {
		s := newFixture(t, dispatcher.Config{Token: 1}, 2)
		next := step(1, 1000)
		next.After = []int{0}
		s.d.Submit(s.now, 0, workflow("a", gang(3, 3000), next), 5, nil, nil)
		s.planAndApply()
		worker, run := s.anyRun()
		s.endRun(worker, run, briarspring.RunDone)
		s.now += 100 * time.Millisecond
		s.renew(worker)
		list := starts(s.planAndApply())
		require.Equal(t, 1, countRuns(list))
		for _, runs := range list {
			assert.Equal(t, 1, runs[0].Task.Step)
		}
	})
	t.Run("stop when a member fails, and start again as a whole", func(t *testing.T) {
		s := newFixture(t, dispatcher.Config{Token: 1}, 2)
		s.d.Submit(s.now, 0, workflow("a", gang(3, 3000)), 5, nil, nil)
		s.planAndApply()
		worker, run := s.anyRun()
		s.endRun(worker, run, briarspring.RunFailed)
		s.advance(time.Second)
		assertOneRun(t, s, 3, 2)
	})
	t.Run("fail as one", func(t *testing.T) {
		s := newFixture(t, dispatcher.Config{Token: 1}, 2)
		s.d.Submit(s.now, 0, workflow("a", gang(3, 2000)), 5, nil, nil)
		s.planAndApply()
		for attempt := range 3 {
			assertOneRun(t, s, 3, uint32(attempt+1))
			worker, run := s.anyRun()
			s.endRun(worker, run, briarspring.RunFailed)
			s.advance(400 * time.Millisecond)
		}
		assertOneRun(t, s, 0, 0)
		phases := s.d.TakePhases()
		require.Len(t, phases, 1)
		phase, err := encoder.DecodePhase(phases[0].Value)
		require.NoError(t, err)
		assert.Equal(t, briarspring.PhaseFailed, phase)
	})
	t.Run("stop when a start is refused", func(t *testing.T) {
		s := newFixture(t, dispatcher.Config{Token: 1}, 2)
		s.d.Submit(s.now, 0, workflow("a", gang(2, 5000)), 5, nil, nil)
		orders := s.d.Plan(s.now)
		require.Len(t, orders, 2)
		s.workers[orders[0].Worker].running[orders[0].Start.Run] = briarspring.RunningTask{Run: orders[0].Start.Run}
		s.d.HandleVerdict(s.now, orders[0], briarspring.VerdictDone)
		s.d.HandleVerdict(s.now, orders[1], briarspring.VerdictFull)
		s.advance(200 * time.Millisecond)
		assertOneRun(t, s, 0, 0)
		s.advance(time.Second)
		assertOneRun(t, s, 2, 2)
	})
	t.Run("start from one checkpoint", func(t *testing.T) {
		s := newFixture(t, dispatcher.Config{Token: 1}, 2)
		checkpointed := gang(3, 2000)
		checkpointed.Checkpoints = true
		s.d.Submit(s.now, 0, workflow("a", checkpointed), 5, nil, nil)
		s.planAndApply()
		worker, run := s.anyRun()
		s.workers[worker].running[run] = briarspring.RunningTask{Run: run, Percent: 30, Checkpoint: "c1"}
		s.renewAll()
		s.endRun(worker, run, briarspring.RunFailed)
		var checkpoints []string
		for _, o := range s.advance(time.Second) {
			if o.Kind == dispatcher.OrderStart {
				checkpoints = append(checkpoints, o.Start.Checkpoint)
			}
		}
		assert.Equal(t, []string{"c1", "c1", "c1"}, checkpoints)
	})
	t.Run("are recognised as complete by a new owner", func(t *testing.T) {
		old := newFixture(t, dispatcher.Config{Token: 1}, 2)
		old.d.Submit(old.now, 0, workflow("a", gang(3, 2000)), 5, nil, nil)
		old.planAndApply()
		s := old.successor(9)
		s.d.Submit(s.now, 0, workflow("a", gang(3, 2000)), 5, nil, nil)
		s.d.SetWorkers(s.now, []briarspring.WorkerEntry{old.workers["w0"].entry, old.workers["w1"].entry})
		s.renew("w0")
		assert.Empty(t, s.planAndApply(), "the other worker has not answered yet")
		s.renew("w1")
		assert.Empty(t, s.planAndApply())
		assertOneRun(t, s, 3, 1)
	})
}

func TestOneRack(t *testing.T) {
	t.Run("takes a gang that fits there", func(t *testing.T) {
		s := newFixture(t, dispatcher.Config{Token: 1}, 4)
		s.setRacks("r1", "r2", "r1", "r2")
		s.d.Submit(s.now, 0, workflow("a", step(1, 4000)), 5, nil, nil)
		s.planAndApply()
		taken, _ := s.anyRun()
		oneRack := gang(2, 6000)
		oneRack.OneRack = true
		s.d.Submit(s.now, 0, workflow("b", oneRack), 6, nil, nil)
		for worker := range starts(s.planAndApply()) {
			assert.NotEqual(t, s.workers[taken].entry.Rack, s.workers[worker].entry.Rack)
		}
		assertOneRun(t, s, 3, 1)
	})
	t.Run("is given up after the time that the tasks take", func(t *testing.T) {
		s := newFixture(t, dispatcher.Config{Token: 1}, 4)
		s.setRacks("r1", "r2", "r1", "r2")
		spread := step(2, 4000)
		spread.MaxPerWorker, spread.Estimate = 1, time.Minute
		s.d.Submit(s.now, 0, workflow("a", spread), 5, nil, nil)
		s.planAndApply()
		free := s.workersWithout()
		s.setRacksOf(free, "r1", "r2")
		oneRack := gang(2, 6000)
		oneRack.OneRack = true
		s.d.Submit(s.now, 0, workflow("b", oneRack), 6, nil, nil)
		s.advance(600 * time.Millisecond)
		assertOneRun(t, s, 2, 1)
		s.advance(600 * time.Millisecond)
		assertOneRun(t, s, 4, 1)
	})
	t.Run("is not waited for by a gang that is too wide for any", func(t *testing.T) {
		s := newFixture(t, dispatcher.Config{Token: 1}, 2)
		s.setRacks("r1", "r2")
		oneRack := gang(2, 6000)
		oneRack.OneRack = true
		s.d.Submit(s.now, 0, workflow("b", oneRack), 6, nil, nil)
		assert.Equal(t, 2, countRuns(starts(s.planAndApply())))
	})
}

// workersWithout returns the workers on which nothing runs.
func (s *fixture) workersWithout() []string {
	var list []string
	for i := range len(s.workers) {
		if id := fmt.Sprintf("w%d", i); len(s.workers[id].running) == 0 {
			list = append(list, id)
		}
	}
	return list
}

// setRacksOf puts each of the given workers on a rack of its own, and the other
// workers on the same racks in turn.
func (s *fixture) setRacksOf(ids []string, racks ...string) {
	rackOf := map[string]string{}
	for i, id := range ids {
		rackOf[id] = racks[i]
	}
	var names []string
	others := 0
	for i := range len(s.workers) {
		rack, ok := rackOf[fmt.Sprintf("w%d", i)]
		if !ok {
			rack = racks[others%len(racks)]
			others++
		}
		names = append(names, rack)
	}
	s.setRacks(names...)
}
