package dispatcher_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"briarspring"
	"briarspring/dispatcher"
)

// burst returns the result of 40 s of urgent work, of 100 cores on average, on a fleet
// of 1,600 cores.
func burst(t *testing.T, workflows int, keep bool) fleetResult {
	f := newFleet(t, 40, workflows, 2, keep)
	f.submitUrgent(40*time.Second, 100)
	f.run(50 * time.Second)
	t.Logf("%d long-running workflows, keep=%v: %+v", workflows, keep, f.result)
	return f.result
}

// Guards against urgent work that finds no worker with room because long-running tasks
// reserve the fleet, and against long-running tasks that are stopped again and again for
// it. The fleet checks the limits on stops, and the bound on waits, in each tick.
func TestUrgentWorkOnAReservedFleet(t *testing.T) {
	for _, c := range []struct {
		workflows       int // They reserve 84, 90 and 95% of the fleet.
		without, inTime int // Most in time without the feature, and fewest with it, of 67.
		stops           int // Most.
	}{
		{workflows: 15, without: 67, inTime: 60, stops: 20},
		{workflows: 16, without: 30, inTime: 50, stops: 60},
		{workflows: 17, without: 0, inTime: 35, stops: 130},
	} {
		t.Run(fmt.Sprintf("by %d workflows", c.workflows), func(t *testing.T) {
			before, after := burst(t, c.workflows, true), burst(t, c.workflows, false)
			assert.LessOrEqual(t, before.inTime, c.without)
			assert.Zero(t, before.stops)
			assert.GreaterOrEqual(t, after.inTime, c.inTime)
			assert.Equal(t, after.urgent, after.useful, "each is answered while the answer has value")
			assert.LessOrEqual(t, after.stops, c.stops)
		})
	}
}

// Guards against stops on a fleet with room.
func TestUrgentWorkOnAFreeFleet(t *testing.T) {
	r := burst(t, 10, false)
	assert.Zero(t, r.stops)
	assert.Equal(t, r.urgent, r.inTime)
}

// Guards against urgent work without room after workers were lost.
func TestUrgentWorkAfterALoss(t *testing.T) {
	lose := func(keep bool) fleetResult {
		f := newFleet(t, 40, 16, 2, keep)
		f.submitUrgent(60*time.Second, 100)
		f.run(10 * time.Second)
		f.takeAway("w3", "w8", "w13", "w18", "w23", "w28")
		f.run(60 * time.Second)
		t.Logf("keep=%v: %+v", keep, f.result)
		return f.result
	}
	before, after := lose(true), lose(false)
	assert.LessOrEqual(t, before.useful, 20, "of 101")
	assert.GreaterOrEqual(t, after.inTime, 30)
	assert.GreaterOrEqual(t, after.useful, 60)
}

// Guards against an owner that, right after a takeover, stops more than a tenth together
// with its predecessor, or a task that has just started again.
func TestUrgentWorkAcrossATakeover(t *testing.T) {
	f := newFleet(t, 40, 17, 0, false)
	f.submitUrgent(60*time.Second, 100)
	for token := range uint64(3) {
		f.run(7100 * time.Millisecond)
		f.replaceOwner(100000 * (token + 1))
	}
	f.run(60 * time.Second)
	t.Logf("%+v", f.result)
	assert.Positive(t, f.result.stops)
	assert.GreaterOrEqual(t, f.result.useful, f.result.urgent*8/10)
	assert.Len(t, f.atWork, 17*longTasks, "each long-running task is back")
}

// Guards against urgent work that waits for a worker that does not carry out a stop.
func TestStopWithoutAnswer(t *testing.T) {
	for name, fail := range map[string]func(f *fleet, id string){
		"deaf":   func(f *fleet, id string) { f.deaf[id] = true },
		"silent": func(f *fleet, id string) { f.absent[id] = true },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 40, 17, 0, false)
			f.submit(workflow("rest", longRunning(2, longCPU)))
			f.run(15 * time.Second)
			one := step(1, urgentCPU)
			one.Estimate = urgentTime
			f.submit(workflow("urgent", one))
			f.now += fleetTick
			f.renewAll()
			orders := f.d.Plan(f.now)
			require.Len(t, orders, 1)
			require.Equal(t, dispatcher.OrderStop, orders[0].Kind)
			fail(f, orders[0].Worker)
			f.apply(orders[0])
			f.run(4 * time.Second)
			assert.Equal(t, uint64(2), f.d.Counters().UrgentStops, "one more, elsewhere")
			assert.Equal(t, 1, f.result.useful)
		})
	}
}

// reservedFixture returns two workers of 8 cores, each reserved by one long-running task
// of 7 cores that has been at work for some time.
func reservedFixture(t *testing.T, maxMissing int) *fixture {
	s := newFixture(t, dispatcher.Config{Token: 1}, 2)
	// A tenth of the tasks may be away, so others wait that fit nowhere.
	others := longRunning(18, 50000)
	s.d.Submit(s.now, 0, workflow("others", others), 4, nil, nil)
	long := longRunning(2, 7000)
	long.MaxMissing = maxMissing
	s.d.Submit(s.now, 0, workflow("long", long), 5, nil, nil)
	require.Equal(t, 2, countRuns(starts(s.planAndApply())))
	s.advance(11 * time.Second)
	return s
}

// stops returns the stop orders.
func stops(orders []dispatcher.Order) []dispatcher.Order {
	var list []dispatcher.Order
	for _, o := range orders {
		if o.Kind == dispatcher.OrderStop {
			list = append(list, o)
		}
	}
	return list
}

// Guards against stops that the rules of long-running work forbid, or that help nobody.
func TestRoomForUrgentWork(t *testing.T) {
	urgent := func(tasks int, milliCPU int64) *briarspring.Workflow {
		return workflow("urgent", step(tasks, milliCPU))
	}
	t.Run("is made by one stop for two tasks", func(t *testing.T) {
		s := reservedFixture(t, 0)
		s.d.Submit(s.now, 0, urgent(2, 4000), 6, nil, nil)
		list := stops(s.planAndApply())
		require.Len(t, list, 1)
		assert.Equal(t, uint64(1), s.d.Counters().UrgentStops)
		assert.Empty(t, stops(s.planAndApply()), "what is being stopped counts")
		started := starts(s.advance(200 * time.Millisecond))
		assert.Len(t, started[list[0].Worker], 2)
		assert.Equal(t, 2, countRuns(started), "the long-running task waits")
	})
	t.Run("is not made while there is free room", func(t *testing.T) {
		s := reservedFixture(t, 0)
		s.d.Submit(s.now, 0, urgent(2, 1000), 6, nil, nil)
		assert.Equal(t, 2, countRuns(starts(s.advance(time.Second))))
		assert.Zero(t, s.d.Counters().UrgentStops)
	})
	t.Run("is not made while room becomes free in time", func(t *testing.T) {
		s := reservedFixture(t, 0)
		s.d.Submit(s.now, 0, workflow("short", step(2, 1000)), 6, nil, nil)
		require.Equal(t, 2, countRuns(starts(s.planAndApply())))
		later := step(2, 1000)
		later.Estimate = 4 * time.Second
		s.d.Submit(s.now, 0, workflow("later", later), 7, nil, nil)
		assert.Empty(t, stops(s.planAndApply()))
	})
	t.Run("is not made for work that comes too late", func(t *testing.T) {
		s := reservedFixture(t, 0)
		w := urgent(2, 4000)
		s.d.Submit(s.now, 3*w.Objective()-time.Second, w, 6, nil, nil)
		assert.Empty(t, stops(s.advance(3*time.Second)))
	})
	t.Run("is not made for best-effort work", func(t *testing.T) {
		s := reservedFixture(t, 0)
		bestEffort := step(40, 4000)
		bestEffort.BestEffort = true
		s.d.Submit(s.now, 0, workflow("best-effort", bestEffort), 6, nil, nil)
		for _, o := range stops(s.advance(3 * time.Second)) {
			assert.NotEqual(t, briarspring.WorkflowID("long"), o.Run().Task.Workflow)
		}
	})
	t.Run("is not made by more urgent long-running work", func(t *testing.T) {
		s := reservedFixture(t, 0)
		w := urgent(1, 4000)
		w.Priority = 1
		s.d.Submit(s.now, 0, w, 6, nil, nil)
		assert.Empty(t, stops(s.advance(3*time.Second)))
	})
	t.Run("is not made beyond MaxMissing while a task is away for another cause", func(t *testing.T) {
		s := reservedFixture(t, 1)
		s.workers["w0"].entry.Draining, s.workers["w0"].entry.Remaining = true, 2*time.Second
		s.d.SetWorkers(s.now, s.entries("w0", "w1"))
		for ref := range s.workers["w0"].running {
			s.endRun("w0", ref, briarspring.RunFailed)
		}
		s.renewAll()
		s.d.Submit(s.now, 0, urgent(1, 4000), 6, nil, nil)
		assert.Empty(t, stops(s.advance(3*time.Second)))
	})
	// The stopped task could not start again.
	t.Run("is not made by organisations that use more than their share", func(t *testing.T) {
		s := newFixture(t, dispatcher.Config{Token: 1}, 2)
		s.setLimit("a", 14000)
		s.d.Submit(s.now, 0, workflow("others", longRunning(18, 50000)), 4, nil, nil)
		s.d.Submit(s.now, 0, ofOrganisation("a", workflow("long", longRunning(2, 7000))), 5, nil, nil)
		require.Equal(t, 2, countRuns(starts(s.planAndApply())))
		s.advance(11 * time.Second)
		s.setLimit("a", 7000)
		s.d.Submit(s.now, 0, urgent(1, 4000), 6, nil, nil)
		assert.Empty(t, stops(s.advance(3*time.Second)))
	})
	t.Run("is not made for more tasks than the quota allows", func(t *testing.T) {
		s := reservedFixture(t, 0)
		s.setLimit("a", 8000)
		s.d.Submit(s.now, 0, ofOrganisation("a", urgent(2, 4000)), 6, nil, nil)
		s.d.Submit(s.now, 0, ofOrganisation("a", workflow("more", step(2, 4000))), 7, nil, nil)
		assert.Len(t, stops(s.planAndApply()), 1)
	})
	t.Run("is not made on a worker that drains", func(t *testing.T) {
		s := reservedFixture(t, 0)
		s.drain("w0", time.Minute)
		s.d.Submit(s.now, 0, urgent(1, 4000), 6, nil, nil)
		list := stops(s.planAndApply())
		require.Len(t, list, 1)
		assert.Equal(t, "w1", list[0].Worker)
	})
	t.Run("is not made by a task that has just started", func(t *testing.T) {
		s := newFixture(t, dispatcher.Config{Token: 1}, 1)
		s.d.Submit(s.now, 0, workflow("others", longRunning(18, 50000)), 4, nil, nil)
		s.d.Submit(s.now, 0, workflow("long", longRunning(1, 7000)), 5, nil, nil)
		s.advance(5 * time.Second)
		s.d.Submit(s.now, 0, urgent(1, 4000), 6, nil, nil)
		assert.Empty(t, stops(s.advance(3*time.Second)))
	})
	t.Run("is not made by a tenth of less than ten tasks", func(t *testing.T) {
		s := newFixture(t, dispatcher.Config{Token: 1}, 1)
		s.d.Submit(s.now, 0, workflow("long", longRunning(1, 7000)), 5, nil, nil)
		s.advance(11 * time.Second)
		s.d.Submit(s.now, 0, urgent(1, 4000), 6, nil, nil)
		assert.Empty(t, stops(s.advance(3*time.Second)))
	})
}

// Guards against long-running tasks that take the room that urgent ones wait for.
func TestLongRunningBesideUrgentWork(t *testing.T) {
	t.Run("starts after urgent work that waits for the same room", func(t *testing.T) {
		s := newFixture(t, dispatcher.Config{Token: 1}, 1)
		s.d.Submit(s.now, 0, workflow("long", longRunning(1, 5000)), 5, nil, nil)
		s.d.Submit(s.now, 0, workflow("urgent", step(1, 4000)), 6, nil, nil)
		list := starts(s.planAndApply())["w0"]
		require.Len(t, list, 1)
		assert.Equal(t, briarspring.WorkflowID("urgent"), list[0].Task.Workflow)
	})
	t.Run("starts before work that comes too late", func(t *testing.T) {
		s := newFixture(t, dispatcher.Config{Token: 1}, 1)
		s.d.Submit(s.now, 0, workflow("long", longRunning(1, 5000)), 5, nil, nil)
		s.d.Submit(s.now, time.Minute, workflow("late", step(1, 4000)), 6, nil, nil)
		list := starts(s.planAndApply())["w0"]
		require.Len(t, list, 1)
		assert.Equal(t, briarspring.WorkflowID("long"), list[0].Task.Workflow)
	})
	// Two tasks were held back in each data centre until they moved to the next one, and
	// were not at work for 23 s.
	t.Run("starts at once after a transfer", func(t *testing.T) {
		s := reservedFixture(t, 0)
		s.d.Submit(s.now, 0, workflow("urgent", step(2, 4000)), 6, nil, nil)
		require.Len(t, stops(s.planAndApply()), 1)
		s.addSized("w2", 30000)
		s.d.Submit(s.now, 0, workflow("moved", longRunning(1, 5000)), 8, nil, func(int) dispatcher.Place {
			return dispatcher.Place{Local: true, Transfers: 1, Progress: briarspring.TaskProgress{Run: 1}}
		})
		started := starts(s.advance(200 * time.Millisecond))
		assert.True(t, slices.ContainsFunc(started["w2"], func(r briarspring.RunRef) bool { return r.Task.Workflow == "moved" }))
	})
	t.Run("leaves room where it can go elsewhere", func(t *testing.T) {
		s := reservedFixture(t, 1)
		s.d.Submit(s.now, 0, workflow("urgent", step(1, 4000)), 6, nil, nil)
		require.Len(t, stops(s.planAndApply()), 1)
		s.d.Cancel(s.now, "urgent")
		s.advance(4600 * time.Millisecond)
		image := longRunning(1, 5000)
		image.Image = "x"
		// Long-running tasks of an image go together; there would be 2 cores left here.
		s.addSized("w2", 12000)
		s.d.Submit(s.now, 0, workflow("first", image), 8, nil, nil)
		require.Len(t, starts(s.planAndApply())["w2"], 1)
		s.addSized("w3", 9500)
		s.d.Submit(s.now, 0, workflow("next", image), 9, nil, nil)
		assert.Len(t, starts(s.planAndApply())["w3"], 1)
	})
}

// addSized adds a worker with a number of millicores.
func (s *fixture) addSized(id string, milliCPU int64) {
	s.addWorker(id)
	s.workers[id].entry.Capacity = resources(milliCPU, 32000)
	var entries []briarspring.WorkerEntry
	for _, w := range s.workers {
		entries = append(entries, w.entry)
	}
	s.d.SetWorkers(s.now, entries)
}

// Guards against long-running tasks that wait for as long as urgent work that no stop
// helps goes on coming. The fleet checks the bound on their wait.
func TestLongRunningBesideUrgentWorkWithoutRoom(t *testing.T) {
	f := newFleet(t, 40, 13, 0, false)
	for i := range 30 {
		large := step(1, 40000)
		large.Estimate = urgentTime
		f.after(time.Duration(i)*time.Second, func() { f.submit(workflow(briarspring.WorkflowID(fmt.Sprintf("large%d", i)), large)) })
	}
	f.run(2 * time.Second)
	f.takeAway("w3", "w5")
	f.run(30 * time.Second)
	assert.Len(t, f.atWork, 13*longTasks)
}

// BenchmarkUrgentPass measures a pass with a decision about 60 urgent steps that wait on
// a fleet of 350 workers that long-running tasks reserve.
func BenchmarkUrgentPass(b *testing.B) {
	for _, keep := range []bool{true, false} {
		b.Run(fmt.Sprintf("keep-%v", keep), func(b *testing.B) {
			f := newFleet(b, 350, 150, 2, keep)
			for i := range 60 {
				s := step(10, urgentCPU)
				s.Estimate = 5 * time.Second
				f.submit(workflow(briarspring.WorkflowID(fmt.Sprintf("urgent%d", i)), s))
			}
			for b.Loop() {
				b.StopTimer()
				f.now += 60 * time.Millisecond
				f.renewAll()
				f.d.ForcePlan()
				b.StartTimer()
				f.d.Plan(f.now)
			}
		})
	}
}
