package dispatcher_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"briarspring"
	"briarspring/dispatcher"
)

// quotaHistory is a random history of one data centre. It keeps what really runs, from
// the workers, apart from what the owner believes.
type quotaHistory struct {
	*fixture
	rt      *rapid.T
	specs   map[briarspring.WorkflowID]*briarspring.Workflow
	limits  map[string]dispatcher.Organisation
	silent  map[string]bool
	number  int
	token   uint64
	started uint64
}

// quotaNames are the organisations of a history; the last one is never listed.
var quotaNames = []string{"a", "b", "c", "unlisted"}

func newQuotaHistory(t *testing.T, rt *rapid.T) *quotaHistory {
	h := &quotaHistory{
		fixture: newFixture(t, dispatcher.Config{Token: 1}, 4), rt: rt, token: 1, specs: map[briarspring.WorkflowID]*briarspring.Workflow{},
		limits: map[string]dispatcher.Organisation{}, silent: map[string]bool{},
	}
	h.changeLimits()
	return h
}

func (h *quotaHistory) changeLimits() {
	for _, name := range quotaNames[:3] {
		h.limits[name] = dispatcher.Organisation{
			Name: name, Weight: 1, Parts: rapid.SampledFrom([]int{0, 2500, 9999, 10000}).Draw(h.rt, "parts"),
			Limit: resources(rapid.Int64Range(0, 20).Draw(h.rt, "limit")*1000, rapid.Int64Range(0, 3).Draw(h.rt, "memory")*5000),
		}
	}
	h.tell()
}

func (h *quotaHistory) tell() {
	h.d.SetOrganisations(h.now, slices.Collect(maps.Values(h.limits)), uint64(h.number))
}

func (h *quotaHistory) submit() {
	h.number++
	spec := step(rapid.IntRange(1, 5).Draw(h.rt, "tasks"), rapid.Int64Range(1, 7).Draw(h.rt, "cores")*1000)
	switch rapid.IntRange(0, 4).Draw(h.rt, "kind") {
	case 0:
		spec.Gang = true
	case 1:
		spec.BestEffort = true
	case 2:
		spec.LongRunning = true
	case 3:
		spec.Speculative = true
	}
	id := briarspring.WorkflowID(fmt.Sprintf("j%d", h.number))
	w := ofOrganisation(rapid.SampledFrom(quotaNames).Draw(h.rt, "organisation"), workflow(id, spec))
	h.specs[id] = w
	h.started++
	h.d.Submit(h.now, 0, w, h.token+h.started, nil, nil)
}

// running returns what an organisation really uses.
func (h *quotaHistory) running(name string) (sum briarspring.Resources) {
	for _, w := range h.workers {
		for ref := range w.running {
			if spec := h.specs[ref.Task.Workflow]; spec.Organisation == name {
				sum = sum.Add(spec.Steps[ref.Task.Step].Resources)
			}
		}
	}
	return sum
}

// allowed is the reference for the starts of one pass: whether what runs of an organisation
// may grow from one amount to another, the last task being the one that may exceed the limit.
func allowed(o dispatcher.Organisation, before, after, task briarspring.Resources) bool {
	within := func(amount briarspring.Resources, parts int64) bool {
		fits := func(limit, n int64) bool { return limit == 0 || n*briarspring.QuotaParts <= limit*parts }
		return fits(o.Limit.MilliCPU(), amount.MilliCPU()) && fits(o.Limit.MemoryMiB(), amount.MemoryMiB()) &&
			fits(o.Limit.Accelerators(), amount.Accelerators())
	}
	if within(after, int64(o.Parts)) {
		return true
	}
	return o.Parts == briarspring.QuotaParts && before.IsZero() && within(after.Sub(task), int64(o.Parts))
}

// plan carries out a pass, and checks for each organisation what it has started.
func (h *quotaHistory) plan() {
	before := map[string]briarspring.Resources{}
	for _, name := range quotaNames {
		before[name] = h.running(name)
	}
	h.d.ForcePlan()
	orders := h.d.Plan(h.now)
	last := map[string]briarspring.Resources{}
	for _, o := range orders {
		if o.Kind == dispatcher.OrderStart {
			w := h.specs[o.Start.Run.Task.Workflow]
			last[w.Organisation] = w.Steps[o.Start.Run.Task.Step].Resources
		}
	}
	started := map[string]bool{}
	for _, o := range orders {
		w := h.workers[o.Worker]
		if h.silent[o.Worker] {
			h.d.HandleVerdict(h.now, o, briarspring.VerdictUnanswered)
			if o.Kind == dispatcher.OrderStart && rapid.Bool().Draw(h.rt, "arrives") {
				w.running[o.Start.Run] = briarspring.RunningTask{Run: o.Start.Run}
				started[h.specs[o.Start.Run.Task.Workflow].Organisation] = true
			}
			continue
		}
		switch o.Kind {
		case dispatcher.OrderStart:
			w.running[o.Start.Run] = briarspring.RunningTask{Run: o.Start.Run, Percent: 100}
			started[h.specs[o.Start.Run.Task.Workflow].Organisation] = true
		case dispatcher.OrderStop:
			if _, ok := w.running[o.Stop.Run]; ok {
				h.endRun(o.Worker, o.Stop.Run, briarspring.RunStopped)
			}
		}
		h.d.HandleVerdict(h.now, o, briarspring.VerdictDone)
	}
	for name := range started {
		if limit, ok := h.limits[name]; ok {
			after := h.running(name)
			assert.True(h.rt, allowed(limit, before[name], after, last[name]), "%s: %s after %s, %+v", name, after, before[name], limit)
		}
	}
}

// renewSome renews the leases of the workers that are not silent.
func (h *quotaHistory) renewSome() {
	for _, id := range slices.Sorted(maps.Keys(h.workers)) {
		if !h.silent[id] {
			h.renew(id)
		}
	}
}

func (h *quotaHistory) takeOver() {
	h.token += 1000
	h.started = 0
	h.newOwner(dispatcher.Config{Token: h.token, Predecessor: true})
	h.d.SetWorkers(h.now, h.entries("w0", "w1", "w2", "w3"))
	for _, id := range slices.Sorted(maps.Keys(h.specs)) {
		// No progress was recorded: the successor knows no run before it is reported.
		h.d.Submit(h.now, 0, h.specs[id], 1, nil, nil)
	}
	h.plan()
	h.tell()
}

// act carries out a random action. Workers are silent only for a moment, so that no
// lease ends.
func (h *quotaHistory) act() {
	switch rapid.IntRange(0, 9).Draw(h.rt, "action") {
	case 0, 1, 2:
		h.submit()
	case 3:
		h.changeLimits()
	case 4:
		h.takeOver()
	case 5:
		h.silent[rapid.SampledFrom(slices.Sorted(maps.Keys(h.workers))).Draw(h.rt, "silent")] = true
	case 6:
		clear(h.silent)
	case 7:
		if len(h.specs) > 0 {
			h.d.Cancel(h.now, rapid.SampledFrom(slices.Sorted(maps.Keys(h.specs))).Draw(h.rt, "cancelled"))
		}
	default:
		h.endOne()
	}
}

func (h *quotaHistory) endOne() {
	for _, id := range slices.Sorted(maps.Keys(h.workers)) {
		var runs []briarspring.RunRef
		for ref := range h.workers[id].running {
			runs = append(runs, ref)
		}
		if len(runs) == 0 || !rapid.Bool().Draw(h.rt, "here") {
			continue
		}
		slices.SortFunc(runs, func(a, b briarspring.RunRef) int { return cmpRuns(a, b) })
		how := rapid.SampledFrom([]briarspring.RunEnd{briarspring.RunDone, briarspring.RunFailed}).Draw(h.rt, "end")
		h.endRun(id, rapid.SampledFrom(runs).Draw(h.rt, "run"), how)
		return
	}
}

func cmpRuns(a, b briarspring.RunRef) int {
	return slices.Compare(
		[]int{int(len(a.Task.Workflow)), a.Task.Step, a.Task.Index, int(a.Run)},
		[]int{int(len(b.Task.Workflow)), b.Task.Step, b.Task.Index, int(b.Run)},
	)
}

// checkUse checks that what is known or possible covers what really runs. What is beyond
// the share, after a limit was lowered, is not counted as possible.
func (h *quotaHistory) checkUse() {
	uses := h.d.OrganisationUse()
	for name, o := range h.limits {
		use, runs := uses[name], h.running(name)
		share := o.Limit.MilliCPU() * int64(o.Parts) / briarspring.QuotaParts
		known := use.Used.Add(use.Possible).MilliCPU()
		assert.True(h.rt, o.Limit.MilliCPU() == 0 || runs.MilliCPU() <= known || known >= share, "%s runs %s, known are %+v of %d", name, runs, use, share)
	}
}

// Guards against any path that starts a run beyond the share, for runs that are known,
// unanswered or not reported yet.
func TestQuotaHistories(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := newQuotaHistory(t, rt)
		quiet := time.Duration(0)
		for range rapid.IntRange(5, 60).Draw(rt, "length") {
			h.act()
			if len(h.silent) == 0 {
				quiet = 0
			} else if quiet += 120 * time.Millisecond; quiet > 3*time.Second {
				clear(h.silent)
			}
			h.now += 120 * time.Millisecond
			h.renewSome()
			h.store()
			h.plan()
			h.checkUse()
		}
	})
}
