package assembler_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"briarspring"
	"briarspring/admitter"
	"briarspring/imitator"
)

const (
	keyHistoryTime   = 20 * time.Second
	keyChangeTime    = 900 * time.Millisecond // Longest time between two versions.
	keyOutageTime    = 6 * time.Second        // Of one stream for one host, at most.
	keyRevokeTime    = 3 * time.Second
	keyCount         = 6
	keyOrganisations = 3
	// staleKeyAge is the age of the directory from which a host may not call a key
	// unknown.
	staleKeyAge = 2200 * time.Millisecond
)

// keyVersion is a version of the directory: the organisations of its keys, in force from
// a time on.
type keyVersion struct {
	since time.Time
	keys  map[string]string
}

// keyHistory is a run of random changes of keys while calls come, with streams that
// single hosts can't reach. It compares each answer with all versions.
type keyHistory struct {
	*fleet
	random *rand.Rand

	check      sync.Mutex
	versions   []keyVersion      // Version v is at v-1.
	floors     map[string]uint64 // Newest version that a host has answered by.
	owners     map[briarspring.WorkflowID]string
	violations []string
	answers    map[string]int
}

func newKeyHistory(t *testing.T, seed uint64, revoke time.Duration) *keyHistory {
	size := smallFleet
	size.revoke = revoke
	return &keyHistory{
		fleet: newSizedFleet(t, seed, size, tartu, viljandi), random: rand.New(rand.NewPCG(seed, 43)),
		// Version 1 is the fleet's, which requires no keys.
		versions: []keyVersion{{}}, floors: map[string]uint64{}, owners: map[briarspring.WorkflowID]string{}, answers: map[string]int{},
	}
}

func keyName(i int) string { return fmt.Sprintf("key-%d", i) }

// change puts the next version into force, with random keys.
func (h *keyHistory) change(random *rand.Rand) {
	h.check.Lock()
	defer h.check.Unlock()
	v := keyVersion{since: time.Now(), keys: map[string]string{}}
	d := briarspring.Directory{Version: uint64(len(h.versions) + 1), Queues: []briarspring.Queue{testQueue}, KeysRequired: true}
	for o := range keyOrganisations {
		name := fmt.Sprintf("organisation-%d", o)
		organisation := briarspring.Organisation{Name: name}
		for i := range keyCount {
			if i%keyOrganisations == o && random.IntN(2) == 0 {
				v.keys[keyName(i)] = name
				organisation.Keys = append(organisation.Keys, briarspring.DigestKey(keyName(i)))
			}
		}
		d.Organisations = append(d.Organisations, organisation)
	}
	r, err := imitator.DirectoryRecord(d)
	require.NoError(h.t, err)
	h.store.Put(briarspring.DirectoryStream, r)
	h.versions = append(h.versions, v)
}

// held reports whether some version in force within a time until now satisfies a
// condition.
func (h *keyHistory) held(within time.Duration, condition func(keys map[string]string) bool) bool {
	from := time.Now().Add(-within)
	for i, v := range h.versions {
		if i+1 < len(h.versions) && h.versions[i+1].since.Before(from) {
			continue
		}
		if condition(v.keys) {
			return true
		}
	}
	return false
}

func (h *keyHistory) violate(format string, args ...any) {
	h.violations = append(h.violations, time.Since(h.began).String()+": "+fmt.Sprintf(format, args...))
}

// ask makes a call with a key at a host and checks the answer.
func (h *keyHistory) ask(host *testHost, key string) (admitter.Caller, error) {
	h.check.Lock()
	defer h.check.Unlock()
	c, _, err := host.intake.Identify(testQueue.Host, testQueue.Prefix, key)
	var refused *admitter.KeyError
	version := c.Version
	if errors.As(err, &refused) {
		version = refused.Version
	}
	if version == 0 {
		// The host has not read the directory.
		return c, err
	}
	if version < h.floors[host.name] {
		h.violate("%s answers by version %d after %d", host.name, version, h.floors[host.name])
	}
	h.floors[host.name] = version
	if version == 1 {
		return c, err
	}
	owner := h.versions[version-1].keys[key]
	if refused == nil {
		h.answers["accepted"]++
		if owner == "" || c.Organisation != owner {
			h.violate("%s takes %s for %q's by version %d, it is %q's", host.name, key, c.Organisation, version, owner)
		}
		if h.size.revoke > 0 && !h.held(h.size.revoke, func(keys map[string]string) bool { return keys[key] == owner }) {
			h.violate("%s accepts %s by version %d, which was removed more than %s ago", host.name, key, version, h.size.revoke)
		}
		return c, err
	}
	h.answers[refused.Cause]++
	switch {
	case refused.Cause == admitter.CauseRevocation:
		if h.size.revoke == 0 || owner == "" {
			h.violate("%s is too old to accept %s by version %d", host.name, key, version)
		}
	case owner != "":
		h.violate("%s refuses %s as %s by version %d, it is %q's", host.name, key, refused.Cause, version, owner)
	case refused.Cause == admitter.CauseUnknown && !h.held(staleKeyAge, func(keys map[string]string) bool { return keys[key] == "" }):
		h.violate("%s calls %s unknown by version %d, which is older than %s", host.name, key, version, staleKeyAge)
	}
	return c, err
}

func (h *keyHistory) anyHost(random *rand.Rand) *testHost {
	return h.host(h.centres[random.IntN(len(h.centres))], random.IntN(hostsPerCentre))
}

// use submits and asks with a random key. Different organisations use the same IDs.
func (h *keyHistory) use(random *rand.Rand) {
	host, id := h.anyHost(random), briarspring.WorkflowID(fmt.Sprintf("%016x", 0x5000+random.IntN(40)))
	c, err := h.ask(host, keyName(random.IntN(keyCount)))
	if err != nil || c.Organisation == "" {
		return
	}
	submits := random.IntN(2) == 0
	h.mu.Lock()
	h.workflows[id] = &briarspring.Workflow{ID: id, Steps: []briarspring.Step{shortStep(1)}, MaxAttempts: testQueue.MaxAttempts}
	h.mu.Unlock()
	h.goroutines.Go(func() {
		ctx, cancel := context.WithTimeout(h.t.Context(), submitTimeout)
		defer cancel()
		if submits {
			_ = host.intake.SubmitFor(ctx, c, &briarspring.Workflow{ID: id, Steps: []briarspring.Step{shortStep(1)}})
		}
		_, known, err := host.intake.PhaseFor(ctx, c, id)
		if err != nil || !known {
			return
		}
		h.check.Lock()
		defer h.check.Unlock()
		if owner := h.owners[id]; owner != "" && owner != c.Organisation {
			h.violate("%s shows %s to %q and %q", host.name, id, owner, c.Organisation)
		}
		h.owners[id] = c.Organisation
	})
}

func (h *keyHistory) loseStream(random *rand.Rand) {
	streams := []string{briarspring.DirectoryStream, briarspring.DirectoryStream, briarspring.SharedStream}
	end := h.store.BeginOutage(imitator.StreamOutage{
		Stream: streams[random.IntN(len(streams))], Caller: h.anyHost(random).caller, Silent: random.IntN(2) == 0,
	})
	time.AfterFunc(time.Duration(random.Int64N(int64(keyOutageTime))), end)
}

func (h *keyHistory) askAll(check func(host *testHost, key string, c admitter.Caller, err error)) {
	for _, centre := range h.centres {
		for i := range hostsPerCentre {
			for k := range keyCount {
				host := h.host(centre, i)
				c, err := h.ask(host, keyName(k))
				check(host, keyName(k), c, err)
			}
		}
	}
}

func (h *keyHistory) run() {
	var parts sync.WaitGroup
	until := time.Now().Add(keyHistoryTime)
	every := func(most time.Duration, f func(random *rand.Rand)) {
		random := rand.New(rand.NewPCG(h.random.Uint64(), 1))
		parts.Go(func() {
			for time.Now().Before(until) {
				time.Sleep(time.Duration(random.Int64N(int64(most))))
				f(random)
			}
		})
	}
	every(keyChangeTime, h.change)
	every(1200*time.Millisecond, h.loseStream)
	every(9*time.Second, func(random *rand.Rand) {
		h.kill(h.anyHost(random), time.Duration(random.Int64N(int64(2*time.Second))))
	})
	every(7*time.Second, func(*rand.Rand) { h.store.TrimHistory() })
	every(100*time.Millisecond, h.use)
	every(60*time.Millisecond, func(*rand.Rand) { h.askAll(func(*testHost, string, admitter.Caller, error) {}) })
	parts.Wait()
	// All outages have ended by then, and changes are in force.
	time.Sleep(keyOutageTime + 3*time.Second)
	last := h.versions[len(h.versions)-1]
	h.askAll(func(host *testHost, key string, c admitter.Caller, err error) {
		if (err == nil) != (last.keys[key] != "") || c.Version != uint64(len(h.versions)) && err == nil {
			h.violate("%s has not read the last version 3 s after it could: %s: %v", host.name, key, err)
		}
	})
}

// TestKeyHistories checks in random histories that each host judges keys by one version
// of the directory and never by an older one than before, that the settings bound how
// long a removed key is accepted, and that no workflow exists for two organisations.
func TestKeyHistories(t *testing.T) {
	for name, revoke := range map[string]time.Duration{"not strict": 0, "strict": keyRevokeTime} {
		for seed := *firstSeed; seed < *firstSeed+*histories/20; seed++ {
			t.Run(fmt.Sprint(name, " ", seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					h := newKeyHistory(t, uint64(seed), revoke)
					defer h.end()
					h.run()
					t.Logf("%d versions, answers %v, %d workflows", len(h.versions), h.answers, len(h.owners))
					assert.Empty(t, h.violations)
					assert.NotEmpty(t, maps.Clone(h.owners))
					assertNoViolations(t, h.fleet)
				})
			})
		}
	}
}
