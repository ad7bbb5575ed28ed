package balancer_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"briarspring"
	"briarspring/balancer"
)

func option(name string) balancer.Option {
	return balancer.Option{DataCentre: name, Owned: true, Free: 100000, Largest: 8000, Total: 400000}
}

func work(s briarspring.Step) *briarspring.Workflow {
	s.Resources = briarspring.NewResources(briarspring.ResourcesConfig{MilliCPU: 2000, MemoryMiB: 1000})
	s.Tasks = 6
	return &briarspring.Workflow{Steps: []briarspring.Step{s}}
}

func TestChoose(t *testing.T) {
	t.Run("urgent work stays at home while there is room", func(t *testing.T) {
		assert.Equal(t, "a", balancer.Choose("a", work(briarspring.Step{}), []balancer.Option{option("a"), option("b")}))
	})
	// Lasting tasks had filled a data centre; urgent work waited up to 2 s there.
	t.Run("urgent work leaves a full home", func(t *testing.T) {
		full := option("a")
		full.Free = 9000
		assert.Equal(t, "b", balancer.Choose("a", work(briarspring.Step{}), []balancer.Option{full, option("b")}))
	})
	t.Run("nothing goes where service has ended", func(t *testing.T) {
		out, silent := option("a"), option("b")
		out.Out = true
		silent.BeatAge = 5 * time.Second
		options := []balancer.Option{out, silent, option("c")}
		for _, s := range []briarspring.Step{{}, {Fills: true}, {Lasting: true, Image: "x"}} {
			assert.Equal(t, "c", balancer.Choose("a", work(s), options))
		}
		assert.Empty(t, balancer.Choose("a", work(briarspring.Step{}), []balancer.Option{out}))
	})
	t.Run("lasting work of an image goes to one data centre", func(t *testing.T) {
		lasting := work(briarspring.Step{Lasting: true, Image: "x"})
		options := []balancer.Option{option("a"), option("b"), option("c")}
		first := balancer.Choose("a", lasting, options)
		assert.Equal(t, first, balancer.Choose("b", lasting, options))
		assert.Equal(t, first, balancer.Choose("c", lasting, options))
		for i := range options {
			if options[i].DataCentre == first {
				options[i].Lasting = 330000
			}
		}
		assert.NotEqual(t, first, balancer.Choose("a", lasting, options), "what is full takes no more")
	})
	t.Run("work that fills goes where its image has room", func(t *testing.T) {
		home, other := option("a"), option("b")
		home.Rooms = map[string]int64{"x": -30000}
		other.Rooms = map[string]int64{"x": 40000}
		assert.Equal(t, "b", balancer.Choose("a", work(briarspring.Step{Fills: true, Image: "x"}), []balancer.Option{home, other}))
	})
}

func TestElsewhere(t *testing.T) {
	step := work(briarspring.Step{}).Steps[0]
	t.Run("needs a hole that is large enough", func(t *testing.T) {
		small := option("b")
		small.Largest = 1000
		assert.Empty(t, balancer.Elsewhere("a", &step, []balancer.Option{option("a"), small}))
		assert.Equal(t, "b", balancer.Elsewhere("a", &step, []balancer.Option{option("a"), option("b")}))
	})
}
