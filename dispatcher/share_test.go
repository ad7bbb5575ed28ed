package dispatcher_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"briarspring"
	"briarspring/dispatcher"
)

// submitNumbered submits a workflow of an organisation as the one with a number.
func (s *fixture) submitNumbered(number int, organisation string, spec briarspring.Step) briarspring.WorkflowID {
	w := ofOrganisation(organisation, workflow(briarspring.WorkflowID(fmt.Sprintf("j%05d", number)), spec))
	w.Submitted = time.UnixMilli(s.now.Milliseconds())
	s.d.Submit(s.now, 0, w, uint64(number+10), nil, nil)
	return w.ID
}

// weighted returns organisations without limits, all of the same weight.
func weighted(weight float64, names ...string) []dispatcher.Organisation {
	var list []dispatcher.Organisation
	for _, name := range names {
		list = append(list, dispatcher.Organisation{Name: name, Weight: weight})
	}
	return list
}

// startsOf counts started runs by the organisation that has submitted them.
func startsOf(orders []dispatcher.Order, of map[briarspring.WorkflowID]string) map[string]int {
	n := map[string]int{}
	for _, o := range orders {
		if o.Kind == dispatcher.OrderStart {
			n[of[o.Start.Run.Task.Workflow]]++
		}
	}
	return n
}

func TestShares(t *testing.T) {
	// Guards against an organisation whose work is due earlier and that gets all the room.
	for _, kind := range []string{"reserved", "best-effort"} {
		t.Run("of "+kind+" work follow the weights", func(t *testing.T) {
			s := newFixture(t, dispatcher.Config{Token: 1}, 6)
			s.d.SetOrganisations(s.now, []dispatcher.Organisation{{Name: "a", Weight: 1}, {Name: "b", Weight: 2}, {Name: "c", Weight: 3}}, 1)
			of := map[briarspring.WorkflowID]string{}
			for i, name := range []string{"a", "b", "c"} {
				spec := step(100, 1000)
				if kind == "best-effort" {
					spec = bestEffort(100, 1000)
				}
				of[s.submitNumbered(i, name, spec)] = name
			}
			got := startsOf(s.planAndApply(), of)
			require.Equal(t, 48, got["a"]+got["b"]+got["c"])
			for name, want := range map[string]int{"a": 8, "b": 16, "c": 24} {
				assert.InDelta(t, want, got[name], 8, name)
			}
		})
	}
	t.Run("count what an organisation uses already", func(t *testing.T) {
		s := newFixture(t, dispatcher.Config{Token: 1}, 2)
		s.d.SetOrganisations(s.now, weighted(1, "a", "b"), 1)
		of := map[briarspring.WorkflowID]string{s.submitNumbered(0, "a", step(8, 1000)): "a"}
		require.Equal(t, 8, countRuns(starts(s.planAndApply())))
		of[s.submitNumbered(1, "a", step(20, 1000))] = "a"
		of[s.submitNumbered(2, "b", step(20, 1000))] = "b"
		assert.Equal(t, map[string]int{"b": 8}, startsOf(s.planAndApply(), of))
	})
	t.Run("count the scarcest resource", func(t *testing.T) {
		s := newFixture(t, dispatcher.Config{Token: 1}, 3)
		s.d.SetOrganisations(s.now, weighted(1, "a", "b"), 1)
		large := step(5, 100)
		large.Resources = resources(100, 9000)
		of := map[briarspring.WorkflowID]string{s.submitNumbered(0, "a", large): "a", s.submitNumbered(1, "b", step(3, 4000)): "b"}
		require.Equal(t, map[string]int{"a": 5, "b": 3}, startsOf(s.planAndApply(), of))
		// a uses nearly half of the memory, and b half of the processors. By one of them alone, one of
		// the two would get all the room.
		of[s.submitNumbered(2, "a", step(40, 500))] = "a"
		of[s.submitNumbered(3, "b", step(40, 500))] = "b"
		got := startsOf(s.planAndApply(), of)
		require.GreaterOrEqual(t, got["a"]+got["b"], 12)
		assert.GreaterOrEqual(t, got["a"], 4)
		assert.GreaterOrEqual(t, got["b"], 4)
	})
	// Guards against shares among neighbours in the order of deadlines alone.
	t.Run("hold between kinds of work that alternate in the order of deadlines", func(t *testing.T) {
		s := newFixture(t, dispatcher.Config{Token: 1}, 1)
		s.d.SetOrganisations(s.now, weighted(100, "a", "b"), 1)
		of := map[briarspring.WorkflowID]string{}
		for i := range 4 {
			of[s.submitNumbered(2*i, "a", step(2, 1000))] = "a"
			of[s.submitNumbered(2*i+1, "a", gang(2, 1000))] = "a"
		}
		of[s.submitNumbered(8, "b", step(4, 1000))] = "b"
		assert.Equal(t, map[string]int{"a": 4, "b": 4}, startsOf(s.planAndApply(), of))
	})
	t.Run("come after the priority", func(t *testing.T) {
		s := newFixture(t, dispatcher.Config{Token: 1}, 2)
		s.d.SetOrganisations(s.now, weighted(1, "a", "b"), 1)
		of := map[briarspring.WorkflowID]string{s.submitNumbered(0, "a", step(8, 1000)): "a"}
		s.planAndApply()
		for i, name := range []string{"a", "b"} {
			w := ofOrganisation(name, workflow(briarspring.WorkflowID("k"+name), step(8, 1000)))
			w.Priority = i
			of[w.ID] = name
			s.d.Submit(s.now, 0, w, uint64(50+i), nil, nil)
		}
		assert.Equal(t, map[string]int{"a": 8}, startsOf(s.planAndApply(), of))
	})
	t.Run("put what is beyond an organisation's weight after the others", func(t *testing.T) {
		s := newFixture(t, dispatcher.Config{Token: 1}, 2)
		s.d.SetOrganisations(s.now, weighted(0.2, "a", "b"), 1)
		of := map[briarspring.WorkflowID]string{s.submitNumbered(0, "b", step(8, 1000)): "b"}
		require.Equal(t, 8, countRuns(starts(s.planAndApply())))
		s.now += 6 * time.Second
		s.renewAll()
		// One workflow in five seconds is within the weight. b uses more, but a has sent more.
		of[s.submitNumbered(1, "a", step(4, 1000))] = "a"
		of[s.submitNumbered(2, "a", step(4, 1000))] = "a"
		of[s.submitNumbered(3, "b", step(4, 1000))] = "b"
		assert.Equal(t, map[string]int{"a": 4, "b": 4}, startsOf(s.planAndApply(), of))
	})
}

// Guards against a change of the order where there are no organisations, or one alone, and
// against a delay by fairness while there is room.
func TestOrderWithoutOrganisations(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		type submission struct {
			spec     briarspring.Step
			priority int
			age      time.Duration
		}
		var list []submission
		for range rapid.IntRange(1, 12).Draw(rt, "workflows") {
			spec := step(rapid.IntRange(1, 9).Draw(rt, "tasks"), rapid.Int64Range(1, 6).Draw(rt, "cores")*500)
			spec.BestEffort = rapid.Bool().Draw(rt, "best-effort")
			spec.LongRunning = !spec.BestEffort && rapid.Bool().Draw(rt, "long-running")
			list = append(list, submission{
				spec: spec, priority: rapid.IntRange(0, 1).Draw(rt, "priority"),
				age: time.Duration(rapid.IntRange(0, 4000).Draw(rt, "age")) * time.Millisecond,
			})
		}
		most := rapid.SampledFrom([]int{3, 10, 1000}).Draw(rt, "starts")
		run := func(workers int, organisations ...string) []string {
			s := newFixture(t, dispatcher.Config{Token: 1}, workers)
			s.d.SetOrganisations(s.now, weighted(1, organisations...), 1)
			for i, o := range list {
				w := workflow(briarspring.WorkflowID(fmt.Sprintf("j%05d", i)), o.spec)
				w.Priority = o.priority
				if len(organisations) > 0 {
					w.Organisation = organisations[i%len(organisations)]
				}
				s.d.Submit(s.now, o.age, w, uint64(i+10), nil, nil)
			}
			var got []string
			for _, o := range s.d.PlanUpTo(s.now, most) {
				got = append(got, fmt.Sprintf("%d %v %s", o.Kind, o.Run(), o.Worker))
			}
			return got
		}
		assert.Equal(rt, run(4), run(4, "a"), "one organisation")
		most = 1000
		assert.Equal(rt, run(60), run(60, "a", "b", "c"), "room for all")
	})
}
