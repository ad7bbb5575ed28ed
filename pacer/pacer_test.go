package pacer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"briarspring"
	"briarspring/dispatcher"
	"briarspring/pacer"
)

// speedFraction returns the share of full speed that a pacer allows one more task.
func speedFraction(p *pacer.Pacer, worker, image string, cores float64, serving []dispatcher.ServingTask, tasks []dispatcher.BestEffortTask) float64 {
	return min(1, p.Allowance(worker, image, serving, tasks)/cores)
}

// simulation is a data centre with known interference: "heavy" raises the tail
// of "ledger" only, "light" raises none. Tails follow the load with a lag.
type simulation struct {
	p           *pacer.Pacer
	now         time.Duration
	random      *rand.Rand
	interfering map[string]float64 // Moving average of the interfering cores, by worker.
}

func newSimulation() *simulation {
	return &simulation{p: pacer.New(), random: rand.New(rand.NewPCG(1, 2)), interfering: map[string]float64{}}
}

func bestEffort(number int, image string, percent int) dispatcher.BestEffortTask {
	run := briarspring.RunRef{Task: briarspring.TaskRef{Workflow: briarspring.WorkflowID(fmt.Sprint(number))}, Run: 1}
	return dispatcher.BestEffortTask{Run: run, Image: image, Cores: 2, Used: 2 * float64(percent) / 100, Percent: percent}
}

// tail returns the true tail of a serving image next to best-effort tasks.
func (s *simulation) tail(worker, image string, tasks []dispatcher.BestEffortTask) float64 {
	cores := 0.0
	for _, f := range tasks {
		if f.Image == "heavy" && image == "ledger" {
			cores += f.Used
		}
	}
	s.interfering[worker] += 0.6 * (cores - s.interfering[worker])
	return 0.4 + 0.05*s.random.Float64() + 0.5*s.interfering[worker]
}

// measure takes a measurement of a worker and returns the tail and the
// decisions.
func (s *simulation) measure(worker, image string, tasks []dispatcher.BestEffortTask) (float64, []dispatcher.Pace) {
	s.now += 500 * time.Millisecond
	tail := s.tail(worker, image, tasks)
	return tail, s.p.Decide(s.now, worker, []dispatcher.ServingTask{{Image: image, TailRatio: tail, Measured: true}}, tasks)
}

// learn measures all pairs of images.
func (s *simulation) learn() {
	for i := range 200 {
		for _, serving := range []string{"ledger", "archive"} {
			for _, image := range []string{"heavy", "light"} {
				worker := serving + image
				s.measure(worker, serving, []dispatcher.BestEffortTask{bestEffort(1, image, 100*(i/4%2))})
			}
		}
	}
}

func lowTail(image string) []dispatcher.ServingTask {
	return []dispatcher.ServingTask{{Image: image, TailRatio: 0.4, Measured: true}}
}

func TestLearning(t *testing.T) {
	s := newSimulation()
	s.learn()
	t.Run("finds the interfering pair", func(t *testing.T) {
		assert.InDelta(t, 0.5, s.p.RisePerCore("ledger", "heavy"), 0.1)
		assert.Less(t, s.p.RisePerCore("ledger", "light"), 0.05)
		assert.Less(t, s.p.RisePerCore("archive", "heavy"), 0.05)
	})
	t.Run("sends images where they do not interfere", func(t *testing.T) {
		assert.Less(t, speedFraction(s.p, "new", "heavy", 2, lowTail("ledger"), nil), 0.5)
		assert.InDelta(t, 1, speedFraction(s.p, "new", "heavy", 2, lowTail("archive"), nil), 0)
		assert.InDelta(t, 1, speedFraction(s.p, "new", "light", 2, lowTail("ledger"), nil), 0)
	})
	// Guards against starting task after task of an image considered harmless on a
	// worker whose tail that image raises; each ran until the next measurement.
	t.Run("sends no task where a tail is too high", func(t *testing.T) {
		hot := []dispatcher.ServingTask{{Image: "archive", TailRatio: 1.2, Measured: true}}
		assert.Zero(t, speedFraction(s.p, "new", "light", 2, hot, nil))
	})
	t.Run("returns the fraction of interfering images", func(t *testing.T) {
		assert.InDelta(t, 0.5, s.p.InterferingFraction(lowTail("ledger")), 0)
		assert.InDelta(t, 0, s.p.InterferingFraction(lowTail("archive")), 0)
	})
	t.Run("is handed on to the next owner", func(t *testing.T) {
		next := pacer.New()
		next.AdoptModels(s.p.Models())
		assert.InDelta(t, 0.5, next.RisePerCore("ledger", "heavy"), 0.1)
		assert.Less(t, speedFraction(next, "w", "heavy", 2, lowTail("ledger"), nil), 0.5)
		assert.InDelta(t, 1, speedFraction(next, "w", "heavy", 2, lowTail("archive"), nil), 0)
	})
	t.Run("is not replaced by less precise estimates", func(t *testing.T) {
		s.p.AdoptModels([]briarspring.InterferenceModel{{Serving: "ledger", Pairs: []briarspring.InterferencePair{{Image: "heavy", Rise: 0, Variance: 0.02}}}})
		assert.InDelta(t, 0.5, s.p.RisePerCore("ledger", "heavy"), 0.1)
	})
}

func TestDecide(t *testing.T) {
	t.Run("slows only interfering tasks", func(t *testing.T) {
		s := newSimulation()
		s.learn()
		tasks := []dispatcher.BestEffortTask{bestEffort(1, "heavy", 100), bestEffort(2, "light", 100)}
		_, paces := s.measure("w", "ledger", tasks)
		assert.Len(t, paces, 1)
		assert.Equal(t, tasks[0].Run, paces[0].Run)
		assert.Less(t, paces[0].Percent, 50)
	})
	// No measured interference explains the tail, but it must not stay high.
	t.Run("stops all best-effort tasks while a tail stays too high", func(t *testing.T) {
		s := newSimulation()
		s.learn()
		tasks := []dispatcher.BestEffortTask{bestEffort(1, "light", 100)}
		serving := []dispatcher.ServingTask{{Image: "ledger", TailRatio: 1.5, Measured: true}}
		var paces []dispatcher.Pace
		for range 4 {
			s.now += 500 * time.Millisecond
			paces = s.p.Decide(s.now, "w", serving, tasks)
		}
		assert.Equal(t, []dispatcher.Pace{{Run: tasks[0].Run, Percent: 0}}, paces)
	})
	t.Run("keeps a tail below its target in the long run", func(t *testing.T) {
		s := newSimulation()
		tasks := []dispatcher.BestEffortTask{bestEffort(1, "heavy", 100), bestEffort(2, "heavy", 100)}
		over := 0
		for i := range 400 {
			tail, paces := s.measure("w", "ledger", tasks)
			if tail > 1 && i > 100 {
				over++
			}
			for _, p := range paces {
				for k := range tasks {
					if tasks[k].Run == p.Run {
						tasks[k].Percent, tasks[k].Used = p.Percent, 2*float64(p.Percent)/100
					}
				}
			}
		}
		assert.Zero(t, over)
	})
}

// TestLargeDataCentre replays the readings of a data centre with 220 workers, of
// which few run the interfering image at a time.
func TestLargeDataCentre(t *testing.T) {
	const (
		workers     = 220
		interfering = 4
		interval    = 500 * time.Millisecond
		trueRise    = 0.5
		noise       = 0.35
	)
	random := rand.New(rand.NewPCG(3, 4))
	p := pacer.New()
	measure := func(now time.Duration) {
		for i := range workers {
			var tasks []dispatcher.BestEffortTask
			used := 0.0
			if i < interfering {
				tasks = []dispatcher.BestEffortTask{bestEffort(i, "heavy", 50)}
				used = tasks[0].Used
			}
			tail := 0.4 + trueRise*used + noise*random.NormFloat64()
			p.Decide(now, fmt.Sprint(i), []dispatcher.ServingTask{{Image: "ledger", TailRatio: max(0, tail), Measured: true}}, tasks)
		}
	}
	// Guards against a memory of some hundred readings, which that data centre
	// takes in a second: estimates then rest on a dozen readings of the pair.
	t.Run("keeps what it has learned for seconds", func(t *testing.T) {
		now := time.Duration(0)
		for range 20 {
			now += interval
			measure(now)
		}
		for range 20 {
			now += interval
			measure(now)
			assert.InDelta(t, trueRise, p.RisePerCore("ledger", "heavy"), 0.15)
		}
	})
}
