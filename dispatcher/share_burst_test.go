package dispatcher_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"briarspring"
	"briarspring/dispatcher"
	"briarspring/pacer"
)

// crowd is a data centre of 48 cores, in which eight organisations each submit a workflow of
// four tasks of a core and a second every 0.8 s. They use 40 cores.
type crowd struct {
	*fixture
	organisations int
	number        int
	submitted     map[briarspring.WorkflowID]time.Duration
	of            map[briarspring.WorkflowID]string
	ends          map[briarspring.RunRef]time.Duration
	waits         map[string][]time.Duration // Of all tasks that have started.
}

const (
	crowdInterval = 800 * time.Millisecond
	crowdTaskTime = time.Second
	// crowdBurst is how many times its usual the first organisation submits.
	crowdBurst = 7.5
)

func newCrowd(t testing.TB) *crowd {
	c := &crowd{
		fixture: newFixture(t, dispatcher.Config{Token: 1}, 6), organisations: 8, submitted: map[briarspring.WorkflowID]time.Duration{},
		of: map[briarspring.WorkflowID]string{}, ends: map[briarspring.RunRef]time.Duration{}, waits: map[string][]time.Duration{},
	}
	var names []string
	for i := range c.organisations {
		names = append(names, fmt.Sprintf("o%d", i))
	}
	c.d.SetOrganisations(c.now, weighted(1.5, names...), 1)
	return c
}

// run lets the organisations submit work for a time, the first one at a multiple of its
// usual rate.
func (c *crowd) run(length time.Duration, burst float64, bestEffort bool) {
	began := c.now
	sent := make([]int, c.organisations)
	for ; c.now < began+length; c.now += 50 * time.Millisecond {
		for i := range c.organisations {
			interval, name := crowdInterval, fmt.Sprintf("o%d", i)
			if i == 0 {
				interval = time.Duration(float64(interval) / burst)
			}
			offset := time.Duration(i) * crowdInterval / time.Duration(c.organisations)
			for ; began+offset+time.Duration(sent[i])*interval <= c.now; sent[i]++ {
				spec := step(4, 1000)
				spec.BestEffort, spec.Estimate = bestEffort, crowdTaskTime
				id := c.submitNumbered(c.number, name, spec)
				c.number++
				c.submitted[id], c.of[id] = c.now, name
			}
		}
		for id, w := range c.workers {
			for ref := range w.running {
				if c.now >= c.ends[ref] {
					c.endRun(id, ref, briarspring.RunDone)
				}
			}
		}
		c.renewAll()
		c.store()
		for _, o := range c.planAndApply() {
			if o.Kind == dispatcher.OrderStart {
				id := o.Start.Run.Task.Workflow
				c.ends[o.Start.Run] = c.now + crowdTaskTime
				c.waits[c.of[id]] = append(c.waits[c.of[id]], c.now-c.submitted[id])
			}
		}
	}
}

// othersWait returns the mean and the longest wait of the organisations but the first.
func (c *crowd) othersWait() (mean, longest time.Duration) {
	n := 0
	for name, waits := range c.waits {
		if name == "o0" {
			continue
		}
		for _, w := range waits {
			mean += w
			longest = max(longest, w)
			n++
		}
	}
	return mean / time.Duration(max(1, n)), longest
}

// Guards against one organisation that delays the others by sending many times its usual.
// The others together need less than there is. Nothing is stopped for them, so they wait at
// most for the end of running tasks: of which there are 48 a second, for four tasks of a
// workflow, and further ones of workflows that came shortly before.
func TestBurstOfOneOrganisation(t *testing.T) {
	for _, bestEffort := range []bool{false, true} {
		t.Run(fmt.Sprintf("best-effort %v", bestEffort), func(t *testing.T) {
			usual, burst := newCrowd(t), newCrowd(t)
			usual.run(20*time.Second, 1, bestEffort)
			burst.run(20*time.Second, crowdBurst, bestEffort)
			usualMean, usualLongest := usual.othersWait()
			mean, longest := burst.othersWait()
			t.Logf("the others wait %s, at most %s; %s and %s without the burst", mean, longest, usualMean, usualLongest)
			assert.LessOrEqual(t, mean, usualMean+crowdTaskTime/4)
			assert.LessOrEqual(t, longest, usualLongest+crowdTaskTime)
			assert.Greater(t, len(burst.waits["o0"]), len(usual.waits["o0"]), "the burst gets the room that is left")
		})
	}
}

// newSharedBurst is newBurst with other workflows, of a number of organisations.
func newSharedBurst(t testing.TB, workers, workflows, organisations int) *fixture {
	s := newBurst(t, pacer.New(), workers)
	var list []dispatcher.Organisation
	for i := range organisations {
		list = append(list, dispatcher.Organisation{
			Name: fmt.Sprintf("o%03d", i), Weight: 1, Limit: resources(1e7, 1e8), Parts: briarspring.QuotaParts / 2,
		})
	}
	s.d.SetOrganisations(s.now, list, 1)
	for i := range workers / 10 {
		s.d.Cancel(s.now, briarspring.WorkflowID(fmt.Sprintf("burst%d", i)))
	}
	s.store()
	for i := range workflows {
		w := workflow(briarspring.WorkflowID(fmt.Sprintf("shared%d", i)), briarspring.Step{
			Tasks: burstWidth, Resources: resources(1800, 3200), BestEffort: true, Image: fmt.Sprintf("image%d", i%burstImages),
			Checkpoints: true, Estimate: 2700 * time.Millisecond,
		})
		if organisations > 0 {
			w.Organisation = list[i*37%organisations].Name
		}
		s.d.Submit(s.now, 0, w, uint64(i+20000), nil, nil)
	}
	return s
}

// BenchmarkBurstOfOrganisations measures the pass of BenchmarkBurst without organisations and
// with 560: with room for all the work, and with more than twice the work for which there is
// room.
func BenchmarkBurstOfOrganisations(b *testing.B) {
	for _, workers := range []int{60, 220, 440} {
		for _, work := range []struct {
			name      string
			workflows int
		}{{"room", workers / 10}, {"no-room", workers / 2}} {
			for _, organisations := range []int{0, 560} {
				b.Run(fmt.Sprintf("workers-%d-%s-organisations-%d", workers, work.name, organisations), func(b *testing.B) {
					starts := 0
					for b.Loop() {
						b.StopTimer()
						s := newSharedBurst(b, workers, work.workflows, organisations)
						b.StartTimer()
						starts += len(s.d.Plan(s.now))
					}
					b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(starts), "ns/start")
				})
			}
		}
	}
}

// BenchmarkIdlePassOfOrganisations measures a pass that finds nothing to start, with work for
// more than twice the room.
func BenchmarkIdlePassOfOrganisations(b *testing.B) {
	for _, workers := range []int{60, 220, 440} {
		for _, organisations := range []int{0, 560} {
			b.Run(fmt.Sprintf("workers-%d-organisations-%d", workers, organisations), func(b *testing.B) {
				s := newSharedBurst(b, workers, workers/2, organisations)
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
}
