package dispatcher_test

import (
	"bytes"
	"fmt"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"briarspring"
	"briarspring/dispatcher"
)

// newHotRack returns a data centre with a task at work for 0.8 s on the only worker of
// rack r1, and two free workers on r2. Runs away from their rack take three times as long.
func newHotRack(t *testing.T, c dispatcher.Config) *fixture {
	c.Token, c.FarMultiplier = 1, 3
	s := newFixture(t, c, 3)
	s.setRacks("r1", "r2", "r2")
	hot := step(1, 7000)
	hot.Rack = "r1"
	s.d.Submit(s.now, 0, workflow("hot", hot), 5, nil, nil)
	require.Equal(t, []string{"w0"}, s.workersOf("hot", s.planAndApply()))
	return s
}

// nearData is a task whose data is near rack r1.
func nearData(milliCPU int64) briarspring.Step {
	s := step(1, milliCPU)
	s.Rack = "r1"
	return s
}

// workersOf returns where runs of a workflow are started, in order.
func (s *fixture) workersOf(id briarspring.WorkflowID, orders []dispatcher.Order) []string {
	var list []string
	for _, o := range orders {
		if o.Kind == dispatcher.OrderStart && o.Start.Run.Task.Workflow == id {
			list = append(list, o.Worker)
		}
	}
	return list
}

// end ends the runs on a worker.
func (s *fixture) end(worker string) {
	for ref := range s.workers[worker].running {
		s.endRun(worker, ref, briarspring.RunDone)
	}
}

func TestWaitForRack(t *testing.T) {
	for _, bestEffort := range []bool{false, true} {
		submit := func(s *fixture) {
			near := nearData(6000)
			near.BestEffort = bestEffort
			s.d.Submit(s.now, 0, workflow("b", near), 6, nil, nil)
		}
		t.Run(fmt.Sprintf("best effort %v: ends with a start there", bestEffort), func(t *testing.T) {
			s := newHotRack(t, dispatcher.Config{})
			submit(s)
			assert.Empty(t, starts(s.advance(600*time.Millisecond)))
			s.end("w0")
			assert.Equal(t, []string{"w0"}, s.workersOf("b", s.advance(200*time.Millisecond)))
			c := s.d.Counters()
			assert.Equal(t, []uint64{1, 1, 0}, []uint64{c.PlaceWaits, c.PlaceWaitsPaid, c.PlaceWaitsLost})
			assert.Equal(t, uint64(600), c.PlaceWaitMs)
		})
		// Guards against a wait that goes on while a run near ends late.
		t.Run(fmt.Sprintf("best effort %v: ends when a run there is late", bestEffort), func(t *testing.T) {
			s := newHotRack(t, dispatcher.Config{})
			submit(s)
			before := s.now
			assert.NotEmpty(t, s.workersOf("b", s.advance(1800*time.Millisecond)), "1.6 s are saved")
			assert.Less(t, s.now-before, 2*time.Second)
			c := s.d.Counters()
			assert.Equal(t, []uint64{1, 0, 1}, []uint64{c.PlaceWaits, c.PlaceWaitsPaid, c.PlaceWaitsLost})
		})
		t.Run(fmt.Sprintf("best effort %v: ends when the rack disappears", bestEffort), func(t *testing.T) {
			s := newHotRack(t, dispatcher.Config{})
			submit(s)
			assert.Empty(t, starts(s.advance(200*time.Millisecond)))
			s.d.SetWorkers(s.now, []briarspring.WorkerEntry{s.workers["w1"].entry, s.workers["w2"].entry})
			assert.NotEmpty(t, s.workersOf("b", s.planAndApply()))
		})
	}
	t.Run("does not begin without the setting, or with one of one", func(t *testing.T) {
		for _, m := range []float64{0, 1} {
			s := newFixture(t, dispatcher.Config{Token: 1, FarMultiplier: m}, 3)
			s.setRacks("r1", "r2", "r2")
			s.d.Submit(s.now, 0, workflow("hot", nearData(7000)), 5, nil, nil)
			s.planAndApply()
			s.d.Submit(s.now, 0, workflow("b", nearData(6000)), 6, nil, nil)
			assert.NotEmpty(t, s.workersOf("b", s.planAndApply()))
		}
	})
	t.Run("does not go on under a new owner", func(t *testing.T) {
		s := newHotRack(t, dispatcher.Config{})
		s.d.Submit(s.now, 0, workflow("b", nearData(6000)), 6, nil, nil)
		assert.Empty(t, starts(s.advance(400*time.Millisecond)))
		next := s.successor(9)
		next.newOwner(dispatcher.Config{Token: 9, Predecessor: true, FarMultiplier: 3})
		next.d.Submit(next.now, 400*time.Millisecond, workflow("hot", nearData(7000)), 5, nil, nil)
		next.d.Submit(next.now, 400*time.Millisecond, workflow("b", nearData(6000)), 6, nil, nil)
		next.setRacks("r1", "r2", "r2")
		next.hearAll()
		assert.NotEmpty(t, next.workersOf("b", next.planAndApply()))
		assert.Zero(t, next.d.Counters().PlaceWaits)
	})
	t.Run("is for as many as the rack can start in time", func(t *testing.T) {
		s := newHotRack(t, dispatcher.Config{})
		for i := range 4 {
			s.d.Submit(s.now, 0, workflow(briarspring.WorkflowID(fmt.Sprintf("b%d", i)), nearData(3000)), uint64(6+i), nil, nil)
		}
		assert.Equal(t, 2, countRuns(starts(s.planAndApply())), "the other two fit there when the run ends")
		assert.Equal(t, uint64(2), s.d.Counters().PlaceWaits)
	})
	t.Run("does not move the workflow to another data centre", func(t *testing.T) {
		s := newHotRack(t, dispatcher.Config{})
		s.d.Submit(s.now, 0, workflow("b", nearData(6000)), 6, nil, nil)
		s.advance(400 * time.Millisecond)
		assert.Empty(t, s.d.TakeTransfers(s.now, func(string, []*briarspring.Step) string { return "viljandi" }))
	})
	t.Run("is logged with its reason and outcome, in bounded numbers", func(t *testing.T) {
		var log bytes.Buffer
		s := newHotRack(t, dispatcher.Config{Logger: hclog.New(&hclog.LoggerOptions{Output: &log, Level: hclog.Info})})
		s.d.Submit(s.now, 0, workflow("a", nearData(6000)), 500, nil, nil)
		s.planAndApply()
		assert.Contains(t, log.String(), `task waits for a good place: workflow=a`)
		s.end("w0")
		s.advance(200 * time.Millisecond)
		assert.Contains(t, log.String(), `wait for a good place is over: workflow=a step=0 index=0 near=true waited-ms=200 expected-ms=900`)
		for i := range 200 {
			small := nearData(100)
			small.Resources = resources(100, 100)
			s.d.Submit(s.now, 0, workflow(briarspring.WorkflowID(fmt.Sprintf("b%03d", i)), small), uint64(6+i), nil, nil)
		}
		s.planAndApply()
		assert.Greater(t, s.d.Counters().PlaceWaits, uint64(40))
		assert.LessOrEqual(t, strings.Count(log.String(), "good place"), 20, "a second")
	})
}

func TestLongRunningWaitForRack(t *testing.T) {
	newWait := func(t *testing.T) *fixture {
		s := newHotRack(t, dispatcher.Config{})
		near := longRunning(1, 6000)
		near.Rack = "r1"
		s.d.Submit(s.now, 0, workflow("b", near), 6, nil, nil)
		return s
	}
	t.Run("ends with a start there", func(t *testing.T) {
		s := newWait(t)
		assert.Empty(t, starts(s.advance(800*time.Millisecond)))
		s.end("w0")
		assert.Equal(t, []string{"w0"}, s.workersOf("b", s.advance(200*time.Millisecond)))
	})
	// Guards against long-running tasks that wait although there is room for them twice over.
	t.Run("ends after two seconds at most", func(t *testing.T) {
		s := newWait(t)
		assert.Empty(t, starts(s.advance(800*time.Millisecond)))
		assert.NotEmpty(t, s.workersOf("b", s.advance(1200*time.Millisecond)))
	})
	t.Run("does not move the task to another data centre", func(t *testing.T) {
		s := newWait(t)
		s.advance(800 * time.Millisecond)
		assert.Empty(t, s.d.TakeTransfers(s.now, func(string, []*briarspring.Step) string { return "viljandi" }))
	})
}

func TestGangWaitForRack(t *testing.T) {
	// newGang returns a gang that fits on two racks, but on one only when a run ends.
	newGang := func(t *testing.T, multiplier float64) *fixture {
		s := newFixture(t, dispatcher.Config{Token: 1, FarMultiplier: multiplier}, 4)
		s.setRacks("r1", "r1", "r2", "r2")
		for i, rack := range []string{"r1", "r2"} {
			near := nearData(4000)
			near.Rack, near.Estimate = rack, 1500*time.Millisecond
			s.d.Submit(s.now, 0, workflow(briarspring.WorkflowID(rack), near), uint64(5+i), nil, nil)
		}
		s.planAndApply()
		oneRack := gang(2, 6000)
		oneRack.OneRack = true
		w := workflow("b", oneRack)
		w.Stretch = 10
		s.d.Submit(s.now, 0, w, 8, nil, nil)
		return s
	}
	t.Run("ends at once if the run there ends too late", func(t *testing.T) {
		s := newGang(t, 2)
		assert.Len(t, s.workersOf("b", s.planAndApply()), 2)
	})
	t.Run("goes on for as long as the multiplier makes it pay", func(t *testing.T) {
		s := newGang(t, 5)
		assert.Empty(t, starts(s.advance(1400*time.Millisecond)), "without the setting it ends after 0.8 s")
		for _, id := range []string{"w0", "w1", "w2", "w3"} {
			s.end(id)
		}
		list := s.workersOf("b", s.advance(200*time.Millisecond))
		require.Len(t, list, 2)
		assert.Equal(t, s.workers[list[0]].entry.Rack, s.workers[list[1]].entry.Rack)
		assert.Equal(t, uint64(1), s.d.Counters().PlaceWaitsPaid)
	})
}

// Guards against long-running tasks that are stopped elsewhere for urgent steps that wait
// for their rack by choice.
func TestWaitForRackAndRoomForUrgentWork(t *testing.T) {
	// newFull returns a hot rack with long-running tasks at work elsewhere, beside which
	// a number of cores is free on each of three workers.
	newFull := func(t *testing.T, free int64) *fixture {
		s := newFixture(t, dispatcher.Config{Token: 1, FarMultiplier: 3}, 4)
		s.setRacks("r1", "r2", "r2", "r2")
		long := longRunning(12, (8000-free)/4)
		long.MaxPerWorker = 4
		s.d.Submit(s.now, 0, workflow("long", long), 5, nil, nil)
		hot := nearData(7000)
		s.d.Submit(s.now, 0, workflow("hot", hot), 4, nil, nil)
		s.planAndApply()
		s.end("w0")
		s.advance(12 * time.Second)
		return s
	}
	heat := func(s *fixture) {
		s.d.Submit(s.now, 0, workflow("hot2", nearData(7000)), 20, nil, nil)
		require.Equal(s.t, []string{"w0"}, s.workersOf("hot2", s.advance(200*time.Millisecond)))
	}
	t.Run("stops nothing while it waits, and starts elsewhere without a stop", func(t *testing.T) {
		s := newFull(t, 2000)
		heat(s)
		s.d.Submit(s.now, 0, workflow("b", nearData(2000)), 21, nil, nil)
		assert.Empty(t, starts(s.advance(600*time.Millisecond)))
		assert.NotEmpty(t, s.workersOf("b", s.advance(1200*time.Millisecond)))
		c := s.d.Counters()
		assert.Equal(t, []uint64{1, 0, 0}, []uint64{c.PlaceWaitsLost, c.UrgentStops, c.UrgentWaits})
	})
	t.Run("does not wait if others may take the room elsewhere", func(t *testing.T) {
		s := newFull(t, 2000)
		heat(s)
		taken := step(2, 2000)
		taken.Estimate = time.Minute
		s.d.Submit(s.now, 0, workflow("taken", taken), 21, nil, nil)
		s.planAndApply()
		s.d.Submit(s.now, 0, workflow("b", nearData(2000)), 22, nil, nil)
		assert.NotEmpty(t, s.workersOf("b", s.planAndApply()))
	})
}

// Guards against waits for racks that break the rules of long-running work, and against
// long-running tasks that are stopped for steps that have passed up room; the fleet checks
// the rules in each tick.
func TestWaitForRackOnAReservedFleet(t *testing.T) {
	play := func(multiplier float64) fleetResult {
		var log bytes.Buffer
		f := newFleet(t, 40, 13, 2, false)
		for i, id := range f.ids {
			f.workers[id].entry.Rack = fmt.Sprintf("r%d", i%4)
		}
		f.owner.FarMultiplier = multiplier
		f.owner.Logger = hclog.New(&hclog.LoggerOptions{Output: &log, Level: hclog.Info})
		f.replaceOwner(1000)
		f.run(12 * time.Second)
		f.nearRack = "r1"
		f.submitUrgent(40*time.Second, 100)
		f.run(50 * time.Second)
		c := f.d.Counters()
		t.Logf("multiplier %v: %+v, %d waits, %d ms, paid %d, lost %d", multiplier, f.result, c.PlaceWaits, c.PlaceWaitMs, c.PlaceWaitsPaid, c.PlaceWaitsLost)
		if multiplier > 0 {
			assert.Positive(t, c.PlaceWaits)
		}
		assert.Zero(t, stopsForWaiting(log.String()))
		return f.result
	}
	without, with := play(0), play(3)
	assert.GreaterOrEqual(t, with.inTime, without.inTime)
}

var (
	waitLine = regexp.MustCompile(`task waits for a good place: workflow=(\S+ step=\d+)`)
	stopLine = regexp.MustCompile(`makes room: .* for=(\S+) for-(step=\d+)`)
)

// stopsForWaiting returns how many long-running tasks were stopped for steps that had
// waited for a good place, according to a log.
func stopsForWaiting(log string) int {
	waited := map[string]bool{}
	n := 0
	for _, line := range strings.Split(log, "\n") {
		if m := waitLine.FindStringSubmatch(line); m != nil {
			waited[m[1]] = true
		}
		if m := stopLine.FindStringSubmatch(line); m != nil && waited[m[1]+" "+m[2]] {
			n++
		}
	}
	return n
}
