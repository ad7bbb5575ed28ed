package balancer_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"briarspring"
	"briarspring/balancer"
)

func option(name string) balancer.Option {
	return balancer.Option{DataCentre: name, Owned: true, Free: 100000, LargestFree: 8000, Total: 400000}
}

func workflow(s briarspring.Step) *briarspring.Workflow {
	s.Resources = briarspring.NewResources(briarspring.ResourcesConfig{MilliCPU: 2000, MemoryMiB: 1000})
	s.Tasks = 6
	return &briarspring.Workflow{Steps: []briarspring.Step{s}}
}

func TestChoose(t *testing.T) {
	t.Run("urgent workflows stay at home while there is capacity", func(t *testing.T) {
		assert.Equal(t, "a", balancer.Choose("a", workflow(briarspring.Step{}), []balancer.Option{option("a"), option("b")}))
	})
	// Urgent tasks waited up to 2 s in a data centre full of long-running ones.
	t.Run("urgent workflows leave a full home data centre", func(t *testing.T) {
		full := option("a")
		full.Free = 9000
		assert.Equal(t, "b", balancer.Choose("a", workflow(briarspring.Step{}), []balancer.Option{full, option("b")}))
	})
	t.Run("data centres out of service or without a live owner get no workflows", func(t *testing.T) {
		out, silent := option("a"), option("b")
		out.OutOfService = true
		silent.HeartbeatAge = 5 * time.Second
		options := []balancer.Option{out, silent, option("c")}
		for _, s := range []briarspring.Step{{}, {BestEffort: true}, {LongRunning: true, Image: "x"}} {
			assert.Equal(t, "c", balancer.Choose("a", workflow(s), options))
		}
		assert.Empty(t, balancer.Choose("a", workflow(briarspring.Step{}), []balancer.Option{out}))
	})
	t.Run("long-running workflows of an image go to one data centre", func(t *testing.T) {
		longRunning := workflow(briarspring.Step{LongRunning: true, Image: "x"})
		options := []balancer.Option{option("a"), option("b"), option("c")}
		first := balancer.Choose("a", longRunning, options)
		assert.Equal(t, first, balancer.Choose("b", longRunning, options))
		assert.Equal(t, first, balancer.Choose("c", longRunning, options))
		for i := range options {
			if options[i].DataCentre == first {
				options[i].LongRunning = 330000
			}
		}
		assert.NotEqual(t, first, balancer.Choose("a", longRunning, options), "a full data centre takes no more")
	})
	t.Run("best-effort workflows go where their image has idle cores", func(t *testing.T) {
		home, other := option("a"), option("b")
		home.IdleByImage = map[string]int64{"x": -30000}
		other.IdleByImage = map[string]int64{"x": 40000}
		assert.Equal(t, "b", balancer.Choose("a", workflow(briarspring.Step{BestEffort: true, Image: "x"}), []balancer.Option{home, other}))
	})
}

func TestChooseOther(t *testing.T) {
	step := workflow(briarspring.Step{}).Steps[0]
	t.Run("needs a worker with enough free cores", func(t *testing.T) {
		small := option("b")
		small.LargestFree = 1000
		assert.Empty(t, balancer.ChooseOther("a", &step, []balancer.Option{option("a"), small}))
		assert.Equal(t, "b", balancer.ChooseOther("a", &step, []balancer.Option{option("a"), option("b")}))
	})
}
