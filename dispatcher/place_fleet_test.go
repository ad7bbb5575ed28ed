package dispatcher_test

import (
	"crypto/sha256"
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"briarspring"
	"briarspring/dispatcher"
)

// rackFleet is a fixture whose runs take longer away from the rack of their data.
type rackFleet struct {
	*fixture
	random     *rand.Rand
	multiplier float64 // The true one.
	spread     float64 // Largest relative error of the estimates.
	events     []fleetEvent
	known      map[briarspring.WorkflowID]*rackJob
	trace      []string // Of all starts.
	left       int      // Jobs that are not finished.
	worst      time.Duration
	sum        time.Duration // Time that the finished jobs took.
	done, late int
}

type rackJob struct {
	*briarspring.Workflow
	submitted time.Duration
	left      int
	speed     float64 // Actual run time near, as a share of the estimate.
}

const (
	rackCount   = 4
	rackWorkers = 4
	rackCPU     = 2000
)

func newRackFleet(t testing.TB, c dispatcher.Config, multiplier, spread float64, seed int64) *rackFleet {
	f := &rackFleet{
		fixture: newFixture(t, c, rackCount*rackWorkers), random: rand.New(rand.NewSource(seed)), multiplier: multiplier, spread: spread,
		known: map[briarspring.WorkflowID]*rackJob{},
	}
	var racks []string
	for i := range rackCount * rackWorkers {
		racks = append(racks, fmt.Sprintf("r%d", i%rackCount))
	}
	f.setRacks(racks...)
	return f
}

func (f *rackFleet) submit(w *briarspring.Workflow) {
	f.known[w.ID] = &rackJob{Workflow: w, submitted: f.now, left: w.TaskCount(), speed: 1 + f.spread*(2*f.random.Float64()-1)}
	f.left++
	f.d.Submit(f.now, 0, w, uint64(len(f.known)+1), nil, nil)
}

// submitJobs submits jobs of one step at random over a time, of which a share wants one
// rack. They take a share of the fleet if all run near.
func (f *rackFleet) submitJobs(over time.Duration, load, wanted float64, bestEffort bool) {
	const meanTasks, meanTime = 2.5, 1.0
	places := float64(rackCount * rackWorkers * 8000 / rackCPU)
	n := int(load * places * over.Seconds() / (meanTasks * meanTime))
	for i := range n {
		s := step(1+f.random.Intn(4), rackCPU)
		s.Estimate = time.Duration((0.5 + f.random.Float64()) * float64(time.Second))
		s.BestEffort, s.Image = bestEffort, "x"
		if f.random.Float64() < wanted {
			s.Rack = "r1"
		}
		w := workflow(briarspring.WorkflowID(fmt.Sprintf("job%04d", i)), s)
		w.Stretch, w.Allowance = 4, time.Second
		f.events = append(f.events, fleetEvent{at: f.now + time.Duration(f.random.Int63n(int64(over))), do: func() { f.submit(w) }})
	}
}

// run advances the fleet in steps of fleetTick.
func (f *rackFleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; {
		f.now += fleetTick
		var due []fleetEvent
		f.events = slices.DeleteFunc(f.events, func(e fleetEvent) bool {
			if e.at <= f.now {
				due = append(due, e)
			}
			return e.at <= f.now
		})
		slices.SortStableFunc(due, func(a, b fleetEvent) int { return int(a.at - b.at) })
		for _, e := range due {
			e.do()
		}
		f.renewAll()
		f.store()
		f.d.ForcePlan()
		for _, o := range f.d.Plan(f.now) {
			f.apply(o)
		}
	}
}

func (f *rackFleet) apply(o dispatcher.Order) {
	w, ref := f.workers[o.Worker], o.Run()
	if o.Kind == dispatcher.OrderStart {
		f.trace = append(f.trace, fmt.Sprintf("%d %s %d %d", f.now.Milliseconds(), o.Worker, ref.Task.Index, ref.Run)+string(ref.Task.Workflow))
		w.running[ref] = briarspring.RunningTask{Run: ref, Percent: 50}
		j := f.known[ref.Task.Workflow]
		spec := j.Steps[ref.Task.Step]
		takes := j.speed * float64(spec.Estimate)
		if spec.Rack != "" && spec.Rack != w.entry.Rack {
			takes *= f.multiplier
		}
		f.events = append(f.events, fleetEvent{at: f.now + time.Duration(takes), do: func() { f.end(o.Worker, ref) }})
	}
	f.d.HandleVerdict(f.now, o, briarspring.VerdictDone)
}

func (f *rackFleet) end(worker string, ref briarspring.RunRef) {
	if _, ok := f.workers[worker].running[ref]; !ok {
		return
	}
	f.endRun(worker, ref, briarspring.RunDone)
	j := f.known[ref.Task.Workflow]
	if j.left--; j.left > 0 {
		return
	}
	took := f.now - j.submitted
	f.left--
	f.done++
	f.sum += took
	f.worst = max(f.worst, took)
	if took > j.Objective() {
		f.late++
	}
}

// mean returns the mean time that the finished jobs took.
func (f *rackFleet) mean() time.Duration { return f.sum / time.Duration(max(1, f.done)) }

// progressing keeps the runs from counting as stalled.
func (f *rackFleet) progressing() {
	for _, w := range f.workers {
		for ref, r := range w.running {
			r.Percent = min(99, r.Percent+1)
			w.running[ref] = r
		}
	}
}

// rackLoad plays a load to its end under a rule, or that of the dispatcher if nil.
func rackLoad(t *testing.T, c dispatcher.Config, multiplier, load float64, bestEffort bool, rule func(time.Duration) bool) *rackFleet {
	f := newRackFleet(t, c, multiplier, 0.5, 11)
	if rule != nil {
		f.d.SetPlaceRule(rule)
	}
	f.submitJobs(60*time.Second, load, 0.6, bestEffort)
	jobs := len(f.events)
	for range 3000 {
		f.progressing()
		f.run(fleetTick)
		if f.done == jobs {
			return f
		}
	}
	require.Equal(t, jobs, f.done, "jobs are left")
	return f
}

// Guards against a rule that a fixed delay would beat, on a load where 60% of the jobs
// want one rack.
func TestPlaceLoad(t *testing.T) {
	type rule struct {
		name string
		do   func(time.Duration) bool
	}
	delay := func(limit time.Duration) func(time.Duration) bool {
		return func(waited time.Duration) bool { return waited < limit }
	}
	rules := []rule{
		{"at once", delay(0)}, {"0.25 s", delay(250 * time.Millisecond)}, {"0.5 s", delay(500 * time.Millisecond)}, {"1 s", delay(time.Second)},
		{"2 s", delay(2 * time.Second)}, {"always near", delay(time.Hour)}, {"rule", nil},
	}
	for _, bestEffort := range []bool{false, true} {
		for _, load := range []float64{0.3, 0.4, 0.5} {
			t.Run(fmt.Sprintf("of %.0f%%, best effort %v", 100*load, bestEffort), func(t *testing.T) {
				best := time.Duration(1 << 62)
				for _, r := range rules {
					f := rackLoad(t, dispatcher.Config{Token: 1, FarMultiplier: 3}, 3, load, bestEffort, r.do)
					c := f.d.Counters()
					t.Logf("%-12s mean %4d ms, longest %5d ms, late %3d of %d; %d waits, %d ms, paid %d, lost %d", r.name, f.mean().Milliseconds(),
						f.worst.Milliseconds(), f.late, f.done, c.PlaceWaits, c.PlaceWaitMs, c.PlaceWaitsPaid, c.PlaceWaitsLost)
					if r.do != nil {
						best = min(best, f.mean())
						continue
					}
					assert.LessOrEqual(t, float64(f.mean()), 1.05*float64(best))
				}
			})
		}
	}
}

func TestLearnedMultiplier(t *testing.T) {
	t.Run("of one: nothing waits any more", func(t *testing.T) {
		f := rackLoad(t, dispatcher.Config{Token: 1, FarMultiplier: 3}, 1, 0.5, false, nil)
		assert.Less(t, f.d.FarMultiplier(), 1.3)
	})
	t.Run("as set, if that is right", func(t *testing.T) {
		f := rackLoad(t, dispatcher.Config{Token: 1, FarMultiplier: 3}, 3, 0.5, false, nil)
		assert.InDelta(t, 3, f.d.FarMultiplier(), 0.7)
	})
	t.Run("is one if it is set to one, and nothing waits", func(t *testing.T) {
		f := rackLoad(t, dispatcher.Config{Token: 1, FarMultiplier: 1}, 3, 0.5, false, nil)
		assert.Zero(t, f.d.Counters().PlaceWaits)
	})
}

// Guards against a change of what runs where in a data centre without the setting. The
// digests were computed with the version before the setting existed.
func TestWithoutFarMultiplier(t *testing.T) {
	for _, c := range []struct {
		bestEffort bool
		want       string
	}{{false, "1e2fc2335e10c96f"}, {true, "445247f6801801fe"}} {
		f := rackLoad(t, dispatcher.Config{Token: 1}, 3, 0.5, c.bestEffort, nil)
		assert.Zero(t, f.d.Counters().PlaceWaits)
		h := sha256.New()
		for _, line := range f.trace {
			fmt.Fprintln(h, line)
		}
		assert.Equal(t, c.want, fmt.Sprintf("%x", h.Sum(nil)[:8]))
	}
}
