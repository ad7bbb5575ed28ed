package assembler_test

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"briarspring"
	"briarspring/imitator"
)

var (
	histories = flag.Int("histories", 150, "random histories to run")
	firstSeed = flag.Int("first-seed", 1, "seed of the first history")
)

// history is a run of random work and failures.
type history struct {
	*fleet
	random    *rand.Rand
	kinds     *rand.Rand // Chooses gangs and recurrences; nil for none.
	accepted  []briarspring.WorkflowID
	cancelled map[briarspring.WorkflowID]bool
	twice     map[briarspring.WorkflowID]bool // Accepted by one or more of several hosts.
	down      map[string]bool                 // Workers that crashed.
	out       string                          // Data centre that is out of service.
	log       []string
}

// acts are what may happen; each returns after it began.
var acts = map[string]func(h *history){
	"submit": func(h *history) { h.submitRandom() },
	"kill": func(h *history) {
		host, down := h.randomHost(), h.upTo(5*time.Second)
		h.replace(host, func() { h.kill(host, down) })
	},
	"stop": func(h *history) {
		host := h.randomHost()
		h.replace(host, func() {
			host.cancel()
			<-host.done
			h.kill(host, 0)
		})
	},
	"cut-store":   func(h *history) { h.cutForAWhile(true, false) },
	"cut-workers": func(h *history) { h.cutForAWhile(false, true) },
	"cut-all":     func(h *history) { h.cutForAWhile(true, true) },
	"store-down":  func(h *history) { h.storeFaults(imitator.KeyedFaults{Down: true}) },
	"store-hush":  func(h *history) { h.storeFaults(imitator.KeyedFaults{Silent: true}) },
	"store-slow":  func(h *history) { h.storeFaults(imitator.KeyedFaults{Latency: 350 * time.Millisecond}) },
	"store-lossy": func(h *history) { h.storeFaults(imitator.KeyedFaults{LoseShare: 0.3, LateShare: 0.5}) },
	"store-forget": func(h *history) {
		h.store.Forget()
	},
	"late-orders": func(h *history) {
		h.pool.LoseOrders(0.2)
		time.Sleep(h.upTo(4 * time.Second))
		h.pool.LoseOrders(0)
	},
	"crash-worker": func(h *history) {
		id, down := h.randomWorker(), h.upTo(8*time.Second)
		h.mu.Lock()
		wasDown := h.down[id]
		h.down[id] = true
		h.mu.Unlock()
		if wasDown {
			return
		}
		h.pool.Crash(id)
		h.duties.Go(func() {
			time.Sleep(down)
			h.pool.Restart(id)
			h.mu.Lock()
			defer h.mu.Unlock()
			delete(h.down, id)
		})
	},
	"out": func(h *history) {
		if h.out != "" {
			return
		}
		h.out = h.centres[h.random.IntN(len(h.centres))]
		h.store.Put(briarspring.DirectoryStream, imitator.OutRecord(h.out, true))
	},
	"back":  func(h *history) { h.takeBack() },
	"power": func(h *history) { h.power() },
	"cancel": func(h *history) {
		if len(h.accepted) == 0 {
			return
		}
		id := h.accepted[h.random.IntN(len(h.accepted))]
		if h.cancelled[id] {
			return
		}
		h.cancelled[id] = true
		host := h.randomHost()
		ctx, cancel := context.WithTimeout(h.t.Context(), submitLimit)
		defer cancel()
		known, err := host.intake.Cancel(ctx, id)
		h.note("cancel %s at %s: %t %v", id, host.caller, known, err)
	},
}

// actNames fixes the order, so that a seed chooses the same acts every time.
var actNames = []string{
	"submit", "submit", "submit", "submit", "kill", "stop", "cut-store", "cut-workers", "cut-all", "store-down", "store-hush",
	"store-slow", "store-lossy", "store-forget", "late-orders", "crash-worker", "crash-worker", "out", "back", "cancel",
}

// laterActs came after seeds of earlier histories were kept.
var laterActs = append(slices.Clone(actNames), "power")

const (
	// powerCallers workflows are handed in, powerPause apart at most, while hosts
	// come back that are down for powerDown at most; so some find hosts that restore.
	powerCallers = 12
	powerDown    = time.Second
	powerPause   = 100 * time.Millisecond
	// submitTries with submitPause between them last longer than hosts need to be
	// up, submitLimit bounds one of them below the callers' 3 s.
	submitTries = 40
	submitPause = 50 * time.Millisecond
	submitLimit = 2500 * time.Millisecond
)

// power kills all hosts at once. While they come back, callers hand the same
// workflows in at several of them.
func (h *history) power() {
	for _, centre := range h.centres {
		for i := range hostsPerCentre {
			host, down := h.host(centre, i), h.upTo(powerDown)
			h.replace(host, func() { h.kill(host, down) })
		}
	}
	for range powerCallers {
		id := briarspring.WorkflowID(fmt.Sprintf("%015x%x", len(h.workflows)+1, h.random.IntN(16)))
		steps := []briarspring.Step{shortStep(1)}
		h.mu.Lock()
		h.workflows[id] = &briarspring.Workflow{ID: id, Steps: steps, MaxAttempts: testQueue.MaxAttempts}
		h.mu.Unlock()
		for _, centre := range h.centres {
			number := h.random.IntN(hostsPerCentre)
			h.duties.Go(func() { h.submitAt(centre, number, id, steps) })
		}
		time.Sleep(h.upTo(powerPause))
	}
	h.note("power is back")
}

// submitAt hands a workflow in at the present life of a host until it is
// accepted.
func (h *history) submitAt(centre string, number int, id briarspring.WorkflowID, steps []briarspring.Step) {
	for range submitTries {
		ctx, cancel := context.WithTimeout(h.t.Context(), submitLimit)
		err := h.host(centre, number).intake.Submit(ctx, testQueue, &briarspring.Workflow{ID: id, Steps: slices.Clone(steps)})
		cancel()
		if err == nil {
			h.mu.Lock()
			defer h.mu.Unlock()
			h.twice[id] = true
			return
		}
		time.Sleep(submitPause)
	}
}

// replace begins to replace a host's process, unless that is going on already.
func (h *history) replace(host *testHost, how func()) {
	if host.leaving {
		return
	}
	host.leaving = true
	h.duties.Go(how)
}

func (h *history) note(format string, args ...any) {
	h.log = append(h.log, fmt.Sprintf("%8.3f ", time.Since(h.began).Seconds())+fmt.Sprintf(format, args...))
}

func (h *history) upTo(d time.Duration) time.Duration {
	return time.Duration(h.random.Int64N(int64(d))) + 100*time.Millisecond
}

func (h *history) randomHost() *testHost {
	return h.host(h.centres[h.random.IntN(len(h.centres))], h.random.IntN(hostsPerCentre))
}

func (h *history) randomWorker() string {
	return fmt.Sprintf("worker-%s-%d", h.centres[h.random.IntN(len(h.centres))], h.random.IntN(workersPerCentre))
}

func (h *history) cutForAWhile(store, workers bool) {
	host, length := h.randomHost(), h.upTo(8*time.Second)
	h.cutOff(host, store, workers, true)
	h.duties.Go(func() {
		time.Sleep(length)
		h.cutOff(host, store, workers, false)
	})
}

// storeFaults breaks the store for a while. Cuts of single hosts end with it.
func (h *history) storeFaults(f imitator.KeyedFaults) {
	if f.Latency == 0 {
		f.Latency = 5 * time.Millisecond
	}
	h.store.SetFaults(f)
	time.Sleep(h.upTo(7 * time.Second))
	h.store.SetFaults(imitator.KeyedFaults{Latency: 5 * time.Millisecond})
}

func (h *history) takeBack() {
	if h.out != "" {
		h.store.Put(briarspring.DirectoryStream, imitator.OutRecord(h.out, false))
		h.out = ""
	}
}

func (h *history) submitRandom() {
	id := briarspring.WorkflowID(fmt.Sprintf("%015x%x", len(h.workflows)+1, h.random.IntN(16)))
	var steps []briarspring.Step
	if h.random.IntN(3) == 0 {
		steps = append(steps, lastingStep(1+h.random.IntN(3)))
	} else {
		for i := range 1 + h.random.IntN(3) {
			s := shortStep(1 + h.random.IntN(4))
			s.Fills = h.random.IntN(2) == 0
			if i > 0 {
				s.After = []int{h.random.IntN(i)}
			}
			s.Gang = h.kinds != nil && h.kinds.IntN(3) == 0
			s.OneRack = s.Gang && h.kinds.IntN(2) == 0
			steps = append(steps, s)
		}
	}
	if h.random.IntN(4) == 0 {
		times := 1 + h.random.IntN(2)
		h.mu.Lock()
		h.failing[briarspring.TaskRef{Workflow: id}] = times
		h.mu.Unlock()
	}
	recurrence := briarspring.Recurrence{}
	if h.kinds != nil && !steps[0].Lasting && h.kinds.IntN(4) == 0 {
		recurrence = briarspring.Recurrence{
			Times: 1 + h.kinds.IntN(4), First: time.Now().Add(time.Duration(h.kinds.Int64N(int64(4 * time.Second)))),
			Interval: time.Duration(h.kinds.Int64N(int64(3 * time.Second))),
		}
	}
	ok := h.submitRecurring(id, recurrence, steps...)
	h.note("submit %s accepted %t lasting %t occurrences %d", id, ok, steps[0].Lasting, recurrence.Times)
	if ok {
		h.accepted = append(h.accepted, id)
	}
}

// heal ends every failure.
func (h *history) heal() {
	h.takeBack()
	h.pool.LoseOrders(0)
	h.store.SetFaults(imitator.KeyedFaults{Latency: 5 * time.Millisecond})
	time.Sleep(40 * time.Second)
}

// TestHistories runs random histories of work and failures on two data centres
// with two hosts each, and checks the workers' own account.
func TestHistories(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+*histories; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runHistory(t, uint64(seed), rand.New(rand.NewPCG(uint64(seed), 8))) })
		})
	}
}

// regressions are seeds that failed once, with the cause, before histories knew
// gangs and recurrences.
var regressions = map[uint64]string{
	264:  "a worker that was reborn held a longer lease than its owner reckoned with",
	2373: "a task came back to a data centre while its workflow's dropping was being stored",
}

func TestRegressions(t *testing.T) {
	for seed, cause := range regressions {
		t.Run(fmt.Sprintf("%d %s", seed, cause), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runHistory(t, seed, nil) })
		})
	}
}

// smallPage makes a host read many pages when it restores the shared state, while
// others append to it.
const smallPage = 3

func runHistory(t *testing.T, seed uint64, kinds *rand.Rand) {
	h := &history{
		fleet: newFleet(t, seed, tartu, viljandi), random: rand.New(rand.NewPCG(seed, 7)), kinds: kinds,
		cancelled: map[briarspring.WorkflowID]bool{}, twice: map[briarspring.WorkflowID]bool{}, down: map[string]bool{},
	}
	defer h.end()
	names := actNames
	if kinds != nil {
		h.store.SetPage(smallPage)
		names = laterActs
	}
	for range 12 + h.random.IntN(18) {
		name := names[h.random.IntN(len(names))]
		h.note("%s", name)
		acts[name](h)
		time.Sleep(h.upTo(1500 * time.Millisecond))
	}
	h.heal()
	assertNothingBroken(t, h.fleet)
	for _, id := range append(h.accepted, slices.Sorted(maps.Keys(h.twice))...) {
		h.assertEnd(id)
	}
	if t.Failed() {
		for _, line := range h.log {
			t.Log(line)
		}
	}
}

// assertEnd checks that an accepted workflow came to its end.
func (h *history) assertEnd(id briarspring.WorkflowID) {
	phase := h.phase(id)
	switch {
	case h.cancelled[id]:
		assert.True(h.t, phase.Final() || h.workflows[id].Steps[0].Lasting || phase != briarspring.PhaseQueued, "%s was cancelled and is %s", id, phase)
	case h.workflows[id].Steps[0].Lasting:
		assertRunning(h.t, h.fleet, id, time.Second)
	default:
		assert.Equal(h.t, briarspring.PhaseCompleted, phase, "phase of %s", id)
	}
}
