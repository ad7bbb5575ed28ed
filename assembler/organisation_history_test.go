package assembler_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"briarspring"
	"briarspring/imitator"
)

var organisationHistories = flag.Int("organisation-histories", 3, "random histories of organisations to run, of each kind")

const (
	organisationHistoryTime = 24 * time.Second
	// versionTolerance is the time for which a version counts as in force after the last
	// host has read a newer one: orders sent by it may still arrive.
	versionTolerance = 3 * time.Second
	versionInterval  = 50 * time.Millisecond // Between two looks at the versions of hosts.
	// Longest times between two events of a kind, and longest outages.
	limitChangeInterval  = 3 * time.Second
	ownerChangeInterval  = 6 * time.Second
	centreCutInterval    = 9 * time.Second
	centreCutTime        = 8 * time.Second
	workerCutInterval    = 6 * time.Second
	workerCutTime        = 8 * time.Second
	lostAnswerInterval   = 9 * time.Second
	workSubmitInterval   = 250 * time.Millisecond
	organisationCalmTime = 40 * time.Second // Until leases and owners have recovered and all work is done.
	quotaWait            = 3 * time.Second  // The page's bound.
	calmRounds           = 4
)

// limitVersion is a version of the directory.
type limitVersion struct {
	lastSeen time.Time // When a host had it, or when it was written.
	limits   map[string]briarspring.Resources
}

// organisationHistory is a run of random changes of limits while owners change, data
// centres are cut off from the store, and workers are cut off and run on.
type organisationHistory struct {
	*fleet
	random *rand.Rand
	lowers bool // Limits are lowered too.

	check    sync.Mutex
	versions []limitVersion // Version v is at v-1.
	accepted []briarspring.WorkflowID
	number   int
	cutUntil map[string]time.Time // By data centre.
}

// quotaOrganisations have limits of between their least and most processors. The last one
// has a limit of memory only.
var quotaOrganisations = []struct {
	name        string
	least, most int64 // Millicores, or MiB for the last one.
}{{"kask", 4000, 24000}, {"lepp", 4000, 12000}, {"saar", 4000, 20000}}

func newOrganisationHistory(t *testing.T, seed uint64, lowers bool) *organisationHistory {
	h := &organisationHistory{
		fleet: newFleet(t, seed, tartu, viljandi, "rapla"), random: rand.New(rand.NewPCG(seed, 44)), lowers: lowers,
		// Version 1 is the fleet's, without organisations.
		versions: []limitVersion{{lastSeen: time.Now()}}, cutUntil: map[string]time.Time{},
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.limit = h.limitInForce
	return h
}

// writeLimits puts a version of the directory into force.
func (h *organisationHistory) writeLimits(limit func(i int) int64) {
	h.check.Lock()
	defer h.check.Unlock()
	v := limitVersion{lastSeen: time.Now(), limits: map[string]briarspring.Resources{}}
	d := briarspring.Directory{Version: uint64(len(h.versions) + 1), Queues: []briarspring.Queue{testQueue}, KeysRequired: true}
	for i, o := range quotaOrganisations {
		c := briarspring.ResourcesConfig{MilliCPU: limit(i)}
		if i == len(quotaOrganisations)-1 {
			c = briarspring.ResourcesConfig{MemoryMiB: c.MilliCPU}
		}
		v.limits[o.name] = briarspring.NewResources(c)
		d.Organisations = append(d.Organisations, briarspring.Organisation{
			Name: o.name, Weight: 1, Limit: v.limits[o.name], Keys: []briarspring.KeyDigest{briarspring.DigestKey(o.name)},
		})
	}
	r, err := imitator.DirectoryRecord(d)
	require.NoError(h.t, err)
	h.versions = append(h.versions, v)
	h.store.Put(briarspring.DirectoryStream, r)
}

// changeLimits raises or lowers the limit of one organisation.
func (h *organisationHistory) changeLimits(random *rand.Rand) {
	changed := random.IntN(len(quotaOrganisations))
	h.check.Lock()
	last := h.versions[len(h.versions)-1].limits
	h.check.Unlock()
	h.writeLimits(func(i int) int64 {
		o := quotaOrganisations[i]
		present := last[o.name].MilliCPU() + last[o.name].MemoryMiB()
		if i != changed {
			return present
		}
		from := o.least
		if !h.lowers {
			from = present
		}
		return from + random.Int64N(o.most-from+1)
	})
}

// watchVersions notes which versions hosts have.
func (h *organisationHistory) watchVersions(until time.Time) {
	for time.Now().Before(until) {
		h.mu.Lock()
		var hosts []*testHost
		for _, host := range h.hosts {
			hosts = append(hosts, host)
		}
		h.mu.Unlock()
		for _, host := range hosts {
			if d, ok := host.intake.Directory(); ok {
				h.check.Lock()
				h.versions[d.Version-1].lastSeen = time.Now()
				h.check.Unlock()
			}
		}
		time.Sleep(versionInterval)
	}
}

// limitInForce returns the highest limit of the versions that may be in force.
func (h *organisationHistory) limitInForce(name string) (most briarspring.Resources) {
	h.check.Lock()
	defer h.check.Unlock()
	for i, v := range h.versions {
		if i == len(h.versions)-1 || time.Since(v.lastSeen) <= versionTolerance {
			most = most.Max(v.limits[name])
		}
	}
	return most
}

func (h *organisationHistory) anyHost(random *rand.Rand) *testHost {
	return h.host(h.centres[random.IntN(len(h.centres))], random.IntN(hostsPerCentre))
}

// submitAs submits a workflow of an organisation until a host has accepted it.
func (h *organisationHistory) submitAs(random *rand.Rand, organisation string, steps ...briarspring.Step) briarspring.WorkflowID {
	h.check.Lock()
	h.number++
	id := briarspring.WorkflowID(fmt.Sprintf("%016x", 0x6000+h.number))
	h.check.Unlock()
	h.mu.Lock()
	h.workflows[id] = &briarspring.Workflow{ID: id, Organisation: organisation, Steps: steps, MaxAttempts: testQueue.MaxAttempts}
	h.mu.Unlock()
	for range submitTries {
		host := h.anyHost(random)
		c, _, err := host.intake.Identify(testQueue.Host, testQueue.Prefix, organisation)
		if err == nil {
			ctx, cancel := context.WithTimeout(h.t.Context(), submitTimeout)
			err = host.intake.SubmitFor(ctx, c, &briarspring.Workflow{ID: id, Steps: slices.Clone(steps)})
			cancel()
		}
		if err == nil {
			h.check.Lock()
			h.accepted = append(h.accepted, id)
			h.check.Unlock()
			return id
		}
		time.Sleep(submitPause)
	}
	return ""
}

func (h *organisationHistory) submitWork(random *rand.Rand) {
	first := shortStep(1 + random.IntN(4))
	first.Estimate = 500*time.Millisecond + time.Duration(random.Int64N(int64(2500*time.Millisecond)))
	switch random.IntN(6) {
	case 0:
		first.BestEffort = true
	case 1:
		first.Gang = true
	case 2:
		first.Speculative = true
	case 3:
		first = longRunningStep(1)
	}
	steps := []briarspring.Step{first}
	if !first.LongRunning && random.IntN(3) == 0 {
		steps = append(steps, shortStep(1+random.IntN(2), 0))
	}
	organisation := quotaOrganisations[random.IntN(len(quotaOrganisations))].name
	draws := rand.New(rand.NewPCG(random.Uint64(), 2))
	h.goroutines.Go(func() {
		id := h.submitAs(draws, organisation, steps...)
		if !first.LongRunning || id == "" {
			return
		}
		time.Sleep(2*time.Second + time.Duration(draws.Int64N(int64(6*time.Second))))
		h.cancelAs(draws, organisation, id)
	})
}

// cancelAs cancels a long-running workflow, so that the limit has room for others.
func (h *organisationHistory) cancelAs(random *rand.Rand, organisation string, id briarspring.WorkflowID) {
	for {
		host := h.anyHost(random)
		c, _, err := host.intake.Identify(testQueue.Host, testQueue.Prefix, organisation)
		if err == nil {
			ctx, cancel := context.WithTimeout(h.t.Context(), submitTimeout)
			_, err = host.intake.CancelFor(ctx, c, id)
			cancel()
		}
		if err == nil {
			return
		}
		time.Sleep(submitPause)
	}
}

// cutCentre cuts all hosts of a data centre off from the store.
func (h *organisationHistory) cutCentre(random *rand.Rand) {
	centre, length := h.centres[random.IntN(len(h.centres))], time.Duration(random.Int64N(int64(centreCutTime)))
	var hosts []*testHost
	for i := range hostsPerCentre {
		hosts = append(hosts, h.host(centre, i))
		h.cutOff(hosts[i], true, false, true)
	}
	h.goroutines.Go(func() {
		time.Sleep(length)
		for _, host := range hosts {
			if h.current(host) {
				h.cutOff(host, true, false, false)
			}
		}
	})
}

// current reports whether a host's process has not been replaced. A killed one must
// stay cut off.
func (h *organisationHistory) current(host *testHost) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.hosts[host.name] == host && !host.leaving
}

// cutWorkers cuts an owner, or all hosts, off from some workers of a data centre, which
// run on.
func (h *organisationHistory) cutWorkers(random *rand.Rand) {
	centre, length, all := h.centres[random.IntN(len(h.centres))], time.Duration(random.Int64N(int64(workerCutTime))), random.IntN(2) == 0
	hosts := []*testHost{h.host(centre, 0), h.host(centre, 1)}
	if owner := h.owner(centre); !all && owner != nil {
		hosts = []*testHost{owner}
	}
	for range 1 + random.IntN(workersPerCentre) {
		id := fmt.Sprintf("worker-%s-%d", centre, random.IntN(workersPerCentre))
		for _, host := range hosts {
			h.pool.Cut(host.caller, id, true)
			time.AfterFunc(length, func() {
				if h.current(host) {
					h.pool.Cut(host.caller, id, false)
				}
			})
		}
	}
}

func (h *organisationHistory) changeOwner(random *rand.Rand) {
	host := h.owner(h.centres[random.IntN(len(h.centres))])
	if host == nil || random.IntN(3) == 0 {
		host = h.anyHost(random)
	}
	h.mu.Lock()
	leaving := host.leaving
	host.leaving = true
	h.mu.Unlock()
	if !leaving {
		h.kill(host, time.Duration(random.Int64N(int64(3*time.Second))))
	}
}

func (h *organisationHistory) run() {
	h.goroutines.Go(func() { h.watchVersions(time.Now().Add(organisationHistoryTime + 2*organisationCalmTime)) })
	h.writeLimits(func(i int) int64 { return quotaOrganisations[i].least })
	time.Sleep(2 * time.Second)
	var parts sync.WaitGroup
	until := time.Now().Add(organisationHistoryTime)
	every := func(most time.Duration, f func(random *rand.Rand)) {
		random := rand.New(rand.NewPCG(h.random.Uint64(), 1))
		parts.Go(func() {
			for time.Now().Before(until) {
				time.Sleep(time.Duration(random.Int64N(int64(most))))
				f(random)
			}
		})
	}
	every(limitChangeInterval, h.changeLimits)
	every(ownerChangeInterval, h.changeOwner)
	every(centreCutInterval, h.cutCentre)
	every(workerCutInterval, h.cutWorkers)
	every(lostAnswerInterval, func(random *rand.Rand) {
		h.pool.SetLostAnswerShare(0.2)
		time.Sleep(time.Duration(random.Int64N(int64(4 * time.Second))))
		h.pool.SetLostAnswerShare(0)
	})
	every(9*time.Second, func(random *rand.Rand) {
		h.store.SetFaults(imitator.KeyedFaults{Latency: 5 * time.Millisecond, LostAnswerShare: 0.3 * random.Float64(), LateAppendShare: 0.5})
	})
	every(7*time.Second, func(*rand.Rand) { h.store.TrimHistory() })
	every(workSubmitInterval, h.submitWork)
	parts.Wait()
	h.store.SetFaults(imitator.KeyedFaults{Latency: 5 * time.Millisecond})
	h.writeLimits(func(i int) int64 { return quotaOrganisations[i].most })
	time.Sleep(organisationCalmTime)
}

// checkCalm checks that everything has completed, and that an organisation whose use
// stays below half of its limit does not wait.
func (h *organisationHistory) checkCalm() {
	for _, id := range h.accepted {
		if h.workflows[id].LongRunning() {
			assert.True(h.t, h.phase(id).Final(), "%s was cancelled and is %s", id, h.phase(id))
			continue
		}
		assert.Equal(h.t, briarspring.PhaseCompleted, h.phase(id), "phase of %s", id)
	}
	for round := range calmRounds {
		h.writeLimits(func(i int) int64 { return quotaOrganisations[i].most / int64(1+round%2) })
		time.Sleep(2 * time.Second)
		for i, o := range quotaOrganisations {
			tasks := int(o.most/int64(1+round%2)/2-1) / 1000
			step := shortStep(tasks)
			step.Gang, step.BestEffort = round == 1, round == 2
			id := h.submitAs(h.random, o.name, step)
			require.NotEmpty(h.t, id)
			sent := time.Now()
			for h.missing(id) > 0 && time.Since(sent) < 10*quotaWait {
				time.Sleep(10 * time.Millisecond)
			}
			assert.LessOrEqual(h.t, time.Since(sent), quotaWait, "%d tasks of %s (%s, organisation %d) waited", tasks, o.name, id, i)
			time.Sleep(2 * time.Second)
		}
	}
}

// missing returns how many tasks of a workflow's first step neither run nor have ended.
func (h *organisationHistory) missing(id briarspring.WorkflowID) (n int) {
	for i := range h.workflows[id].Steps[0].Tasks {
		if t := (briarspring.TaskRef{Workflow: id, Index: i}); h.pool.Running(t) == 0 && !h.pool.Finished(t) {
			n++
		}
	}
	return n
}

// TestOrganisationHistories checks in random histories that what an organisation has
// running in all data centres stays within its limit at each start, that all work
// completes, and that a quota with room delays nobody after calm. It guards against
// parts of a limit that are used twice, or lost, when owners change or are cut off.
func TestOrganisationHistories(t *testing.T) {
	for name, lowers := range map[string]bool{"raised": false, "raised and lowered": true} {
		for seed := *firstSeed; seed < *firstSeed+*organisationHistories; seed++ {
			t.Run(fmt.Sprint(name, " ", seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					h := newOrganisationHistory(t, uint64(seed), lowers)
					defer h.end()
					h.run()
					h.checkCalm()
					t.Logf("%d versions, %d workflows, %d starts", len(h.versions), len(h.accepted), h.pool.Starts())
					assertNoViolations(t, h.fleet)
				})
			})
		}
	}
}
