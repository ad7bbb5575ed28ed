package dispatcher_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"briarspring"
	"briarspring/dispatcher"
	"briarspring/pacer"
)

// countingPacer counts how often placement asks for an allowance.
type countingPacer struct {
	stubPacer
	calls int
}

func (p *countingPacer) Allowance(string, string, []dispatcher.ServingTask, []dispatcher.BestEffortTask) float64 {
	p.calls++
	return p.share
}

const (
	// burstImages is the number of images of best-effort work on the large
	// deployment.
	burstImages = 30
	// burstWidth is the mean width of a best-effort step there.
	burstWidth = 40
)

func resources(milliCPU, memoryMiB int64) briarspring.Resources {
	return briarspring.NewResources(briarspring.ResourcesConfig{MilliCPU: milliCPU, MemoryMiB: memoryMiB})
}

// newBurst returns a data centre of 18-core workers with long-running work on
// most of them, before a burst of one best-effort workflow for ten workers.
func newBurst(t testing.TB, p dispatcher.Pacer, workers int) *fixture {
	s := newFixture(t, dispatcher.Config{Token: 1, Pacer: p}, workers)
	var entries []briarspring.WorkerEntry
	for _, w := range s.workers {
		w.entry.Capacity = resources(18000, 62500)
		entries = append(entries, w.entry)
	}
	s.d.SetWorkers(s.now, entries)
	for i := range workers / 6 {
		s.d.Submit(s.now, 0, workflow(briarspring.WorkflowID(fmt.Sprintf("long%d", i)), briarspring.Step{
			Tasks: 14, Resources: resources(3200, 6400), LongRunning: true, Image: fmt.Sprintf("serving%d", i%16),
			TailTarget: 18 * time.Millisecond, Estimate: time.Minute,
		}), uint64(i+100), nil, nil)
	}
	s.planAndApply()
	s.renewAll()
	s.submitBestEffort(0, workers/10)
	return s
}

// submitBestEffort submits workflows of best-effort tasks.
func (s *fixture) submitBestEffort(first, n int) {
	for i := first; i < first+n; i++ {
		s.d.Submit(s.now, 0, workflow(briarspring.WorkflowID(fmt.Sprintf("burst%d", i)), briarspring.Step{
			Tasks: burstWidth, Resources: resources(1800, 3200), BestEffort: true, Image: fmt.Sprintf("image%d", i%burstImages),
			Checkpoints: true, Estimate: 2700 * time.Millisecond,
		}), uint64(i+10000), nil, nil)
	}
}

func TestBurst(t *testing.T) {
	// Guards against a start that looks at the runs of every worker: with 220
	// workers a burst then held up leases and heartbeats for seconds.
	for _, workers := range []int{60, 220, 440} {
		t.Run(fmt.Sprintf("looks at each of %d workers once for an image", workers), func(t *testing.T) {
			p := &countingPacer{stubPacer: stubPacer{share: 100}}
			s := newBurst(t, p, workers)
			p.calls = 0
			orders := s.planAndApply()
			n := countRuns(starts(orders))
			require.Positive(t, n)
			images := min(burstImages, workers/10)
			assert.LessOrEqual(t, p.calls, images*workers+n)
		})
	}
	// Guards against a backlog that costs as much as the starts it waits for.
	t.Run("does not look for room again for work that needs as much as other work that waits", func(t *testing.T) {
		p := &countingPacer{stubPacer: stubPacer{share: 0.1}}
		s := newBurst(t, p, 220)
		s.submitBestEffort(22, 250)
		p.calls = 0
		orders := s.planAndApply()
		assert.Empty(t, starts(orders))
		assert.LessOrEqual(t, p.calls, burstImages*220)
	})
	t.Run("orders no more starts than can be sent, and the others next", func(t *testing.T) {
		s := newBurst(t, pacer.New(), 60)
		all := countRuns(starts(newBurst(t, pacer.New(), 60).d.Plan(s.now)))
		const most = 96
		n := 0
		for range all/most + 1 {
			orders := s.d.PlanUpTo(s.now, most)
			assert.LessOrEqual(t, len(orders), most)
			n += countRuns(starts(orders))
		}
		assert.Equal(t, all, n)
	})
	t.Run("gives the starts of a limited pass to the most urgent work", func(t *testing.T) {
		s := newBurst(t, pacer.New(), 60)
		s.d.Submit(s.now, 0, workflow("urgent", step(3, 1000)), 20000, nil, nil)
		for worker, runs := range starts(s.d.PlanUpTo(s.now, 3)) {
			for _, r := range runs {
				assert.Equal(t, briarspring.WorkflowID("urgent"), r.Task.Workflow, worker)
			}
		}
	})
	t.Run("sends stops even when no start can be sent", func(t *testing.T) {
		s := newBurst(t, pacer.New(), 60)
		s.planAndApply()
		s.d.Cancel(s.now, "burst0")
		orders := s.d.PlanUpTo(s.now, 0)
		require.NotEmpty(t, orders)
		for _, o := range orders {
			assert.Equal(t, dispatcher.OrderStop, o.Kind)
		}
	})
}

// usageRecorder records the best-effort tasks that it has to pace.
type usageRecorder struct {
	stubPacer
	tasks []dispatcher.BestEffortTask
}

func (p *usageRecorder) Decide(_ time.Duration, _ string, _ []dispatcher.ServingTask, tasks []dispatcher.BestEffortTask) []dispatcher.Pace {
	p.tasks = tasks
	return nil
}

// A core of a worker with 64 cores disturbs its neighbours a quarter as much as
// one of a worker with 16. Counted alike, pairs that interfere passed as harmless
// on large workers.
func TestReferenceCores(t *testing.T) {
	for _, milliCPU := range []int64{16000, 64000} {
		t.Run(fmt.Sprintf("count the share of a worker of %d millicores", milliCPU), func(t *testing.T) {
			p := &usageRecorder{stubPacer: stubPacer{share: 100}}
			s := newFixture(t, dispatcher.Config{Token: 1, Pacer: p}, 1)
			w := s.workers["w0"]
			w.entry.Capacity = resources(milliCPU, 250000)
			s.d.SetWorkers(s.now, []briarspring.WorkerEntry{w.entry})
			quarter := briarspring.Step{
				Tasks: 1, Resources: resources(milliCPU/4, 1000), BestEffort: true, Image: "x", Estimate: time.Second,
			}
			s.d.Submit(s.now, 0, workflow("a", quarter), 5, nil, nil)
			orders := s.planAndApply()
			require.Equal(t, 1, countRuns(starts(orders)))
			ref := orders[0].Start.Run
			w.running[ref] = briarspring.RunningTask{Run: ref, Percent: 10, Usage: float64(milliCPU) / 8}
			s.now += time.Second
			s.renew("w0")
			require.Len(t, p.tasks, 1)
			assert.InDelta(t, 4, p.tasks[0].Cores, 1e-9)
			assert.InDelta(t, 2, p.tasks[0].Used, 1e-9)
		})
	}
}

// BenchmarkBurst measures the pass that starts a burst of best-effort tasks.
func BenchmarkBurst(b *testing.B) {
	for _, workers := range []int{60, 220, 440} {
		b.Run(fmt.Sprintf("workers-%d", workers), func(b *testing.B) {
			starts := 0
			for b.Loop() {
				b.StopTimer()
				s := newBurst(b, pacer.New(), workers)
				b.StartTimer()
				starts += len(s.d.Plan(s.now))
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(starts), "ns/start")
		})
	}
}

// BenchmarkIdlePass measures a pass that finds nothing to start.
func BenchmarkIdlePass(b *testing.B) {
	for _, workers := range []int{60, 220, 440} {
		b.Run(fmt.Sprintf("workers-%d", workers), func(b *testing.B) {
			s := newBurst(b, pacer.New(), workers)
			for countRuns(starts(s.planAndApply())) > 0 {
				s.renewAll()
			}
			for b.Loop() {
				s.d.ForcePlan()
				s.d.Plan(s.now)
			}
		})
	}
}
