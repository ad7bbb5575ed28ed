package placer_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"briarspring"
	"briarspring/placer"
)

func cores(n int64) briarspring.Resources {
	return briarspring.NewResources(briarspring.ResourcesConfig{MilliCPU: n * 1000, MemoryMiB: n * 1000})
}

func worker(number uint32, free int64, running ...placer.Running) *placer.Worker {
	return &placer.Worker{
		Number: number, Name: fmt.Sprintf("w%d", number), Rack: fmt.Sprintf("r%d", number/2),
		Free: cores(free), FreeAfterEvictions: cores(free), Size: cores(16), Usable: true, Running: running,
	}
}

func batch(workload uint64, n int64, weight uint32) placer.Running {
	return placer.Running{
		Attempt: briarspring.AttemptID{Task: briarspring.TaskID{Workload: briarspring.WorkloadID(workload)}, Attempt: 1},
		Class:   "index", Resources: cores(n), Weight: weight,
	}
}

func task(n int64, service bool) placer.Task {
	return placer.Task{Workload: 9, Name: "ledger", Service: service, Class: "index", Resources: cores(n)}
}

func place(p *placer.Placer, t placer.Task, workers ...*placer.Worker) []placer.Decision {
	r := p.NewRound(workers)
	r.Place(t)
	return r.Decisions()
}

func newPlacer(model placer.InterferenceModel) *placer.Placer {
	return placer.New(placer.Config{Interference: model, MaxSlowdown: 0.2, MaxEvictions: 4, MaxRejected: 3})
}

// fixedSlowdown predicts the same slowdown for every service.
type fixedSlowdown float64

func (s fixedSlowdown) Slowdown(string, string) float64 { return float64(s) }

func TestBatchFillsWorkers(t *testing.T) {
	d := place(newPlacer(nil), task(4, false), worker(1, 16), worker(2, 5), worker(3, 3))
	require.Len(t, d, 1)
	assert.Equal(t, placer.KindStart, d[0].Kind)
	assert.Equal(t, "w2", d[0].Host)
	assert.Len(t, d[0].Rejected, 1)
}

func TestBatchKeepsNoiseFromServices(t *testing.T) {
	service := placer.Running{Service: "ledger", Resources: cores(2)}
	d := place(newPlacer(fixedSlowdown(0.5)), task(4, false), worker(1, 8, service), worker(2, 16))
	assert.Equal(t, "w2", d[0].Host)
	d = place(newPlacer(fixedSlowdown(0.5)), task(4, false), worker(1, 8, service))
	assert.Equal(t, placer.KindWait, d[0].Kind)
	assert.Contains(t, d[0].Reason, "slow a service")
}

// Guards against tasks that never start because estimates learned on a loaded
// host rule out every worker: while no task runs next to a service, no
// measurement corrects the estimates.
func TestProbeStartsWhereItIsQuietest(t *testing.T) {
	service := placer.Running{Service: "ledger", Resources: cores(2)}
	probe := task(2, false)
	probe.Probe = true
	d := place(newPlacer(fixedSlowdown(0.5)), probe, worker(1, 8, service, batch(3, 1, 1)), worker(2, 8, service))
	require.Len(t, d, 1)
	assert.Equal(t, placer.KindStart, d[0].Kind)
	assert.Equal(t, "w2", d[0].Host)
	assert.Contains(t, d[0].Reason, "probes")
	assert.True(t, d[0].Probe)
}

func TestExecutorsSpread(t *testing.T) {
	workers := []*placer.Worker{worker(1, 16), worker(2, 16), worker(3, 16), worker(4, 16)}
	r := newPlacer(nil).NewRound(workers)
	hosts := map[string]bool{}
	for i := range uint32(4) {
		x := task(2, true)
		x.State.Index = i
		require.True(t, r.Place(x))
	}
	for _, d := range r.Decisions() {
		hosts[d.Host] = true
	}
	assert.Len(t, hosts, 4)
}

func TestUrgentEvictsTheCheapest(t *testing.T) {
	d := place(newPlacer(nil), task(6, true),
		worker(1, 0, batch(1, 8, 100), batch(2, 8, 100)),
		worker(2, 0, batch(3, 8, 5), batch(4, 8, 50)))
	require.Len(t, d, 2)
	assert.Equal(t, placer.KindEvict, d[0].Kind)
	assert.EqualValues(t, 3, d[0].Attempt.Task.Workload)
	assert.Equal(t, placer.KindWait, d[1].Kind)
}

func TestNoSecondEvictionForOneTask(t *testing.T) {
	evicting := batch(3, 8, 5)
	evicting.Evicting = true
	w := worker(2, 0, evicting, batch(4, 8, 50))
	w.FreeAfterEvictions = cores(8)
	d := place(newPlacer(nil), task(6, true), w)
	require.Len(t, d, 1)
	assert.Equal(t, placer.KindWait, d[0].Kind)
	assert.Contains(t, d[0].Reason, "waits for evictions")
}

func TestDecisionsDoNotDependOnChance(t *testing.T) {
	var first []placer.Decision
	for range 20 {
		var workers []*placer.Worker
		for i := range uint32(50) {
			workers = append(workers, worker(i+1, int64(i%7), batch(uint64(i), 2, i%5)))
		}
		r := newPlacer(fixedSlowdown(0.01)).NewRound(workers)
		for i := range uint32(60) {
			x := task(int64(1+i%6), i%3 == 0)
			x.State.Index = i
			r.Place(x)
		}
		if first == nil {
			first = r.Decisions()
		}
		require.Equal(t, first, r.Decisions())
	}
}
