package auditor_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"briarspring"
	"briarspring/auditor"
)

const secret = "k-3c1e-secret"

func queue(name, prefix string) briarspring.Queue {
	return briarspring.Queue{Name: name, Host: "jobs", Prefix: prefix, Service: "pool", MaxAttempts: 3, Stretch: 1.5, Allowance: time.Second}
}

func organisation(name string, keys ...string) briarspring.Organisation {
	o := briarspring.Organisation{Name: name, Weight: 1}
	for _, k := range keys {
		o.Keys = append(o.Keys, briarspring.DigestKey(k))
	}
	return o
}

func directory(queues ...briarspring.Queue) briarspring.Directory {
	return briarspring.Directory{Version: 5, Queues: queues}
}

func assertFindings(t *testing.T, d auditor.Draft, c auditor.Config, want ...string) {
	t.Helper()
	var got []string
	for _, f := range auditor.Check(d, c).Findings {
		got = append(got, fmt.Sprintf("%s %s: %s", f.Level, f.Subject, f.Text))
	}
	if assert.Len(t, got, len(want), strings.Join(got, "\n")) {
		for i := range want {
			assert.Contains(t, got[i], want[i])
		}
	}
}

func assertQueueFindings(t *testing.T, q briarspring.Queue, want ...string) {
	t.Helper()
	assertFindings(t, auditor.Draft{Directory: directory(q)}, auditor.Config{}, want...)
}

// Guards against false alarms, and against entries that no call reaches and that pass.
func TestQueuesThatNeverMatch(t *testing.T) {
	ids := auditor.Config{StartsWorkflowID: func(s string) bool { return strings.Trim(s, "0123456789abcdef") == "" }}
	t.Run("none in a sound record", func(t *testing.T) {
		assertFindings(t, auditor.Draft{Directory: directory(queue("a", "/a/"), queue("b", "/a/b/"))}, ids)
	})
	t.Run("same host and prefix", func(t *testing.T) {
		assertFindings(t, auditor.Draft{Directory: directory(queue("a", "/a/"), queue("b", "/a/"))}, ids,
			`warning queue "b": can never match: entry 1 (queue "a")`)
	})
	t.Run("longer prefix that takes some IDs", func(t *testing.T) {
		assertFindings(t, auditor.Draft{Directory: directory(queue("a", "/a/"), queue("b", "/a/be"))}, ids,
			`warning queue "a": can't take workflows whose IDs begin with "be"`)
	})
	t.Run("no slash, and a port", func(t *testing.T) {
		q := queue("a", "a/")
		q.Host = "jobs:80"
		assertQueueFindings(t, q, "has a port", "doesn't begin with a slash")
	})
	t.Run("repeated name", func(t *testing.T) {
		assertFindings(t, auditor.Draft{Directory: directory(queue("a", "/a/"), queue("a", "/b/"))}, ids, "entry 2 has the name of an earlier one")
	})
}

// Guards against objectives that leave no time and pass.
func TestObjectives(t *testing.T) {
	for want, change := range map[string]func(*briarspring.Queue){
		"every objective is zero":    func(q *briarspring.Queue) { q.Stretch, q.Allowance = 0, 0 },
		"no useful time":             func(q *briarspring.Queue) { q.Stretch, q.Allowance = 0.3, 0 },
		"stretch 0.5 is below one":   func(q *briarspring.Queue) { q.Stretch, q.Allowance = 0.5, 0 },
		"note queue \"a\": of 9 att": func(q *briarspring.Queue) { q.MaxAttempts, q.Allowance = 9, 0 },
		"-1 attempts are below zero": func(q *briarspring.Queue) { q.MaxAttempts = -1 },
	} {
		t.Run(want, func(t *testing.T) {
			q := queue("a", "/a/")
			change(&q)
			assertQueueFindings(t, q, want)
		})
	}
}

// Guards against services, labels and sizes that no worker has and that pass.
func TestWorkers(t *testing.T) {
	d := auditor.Draft{Directory: directory(queue("a", "/a/"))}
	w := briarspring.WorkerEntry{Service: "pool", Labels: []string{"fast"}, Capacity: briarspring.NewResources(briarspring.ResourcesConfig{MilliCPU: 1000})}
	assertFindings(t, d, auditor.Config{HasWorkers: true}, "no worker has it")
	assertFindings(t, d, auditor.Config{HasWorkers: true, Workers: []briarspring.WorkerEntry{w}, Requirements: []string{"fast"}})
	assertFindings(t, d, auditor.Config{
		HasWorkers: true, Workers: []briarspring.WorkerEntry{w}, Requirements: []string{"slow"},
		Task: briarspring.NewResources(briarspring.ResourcesConfig{MilliCPU: 1001}),
	}, "none of its 1 workers is large enough", `requirement "slow"`)
}

// Guards against organisations that hosts ignore in part, limits that contradict each
// other, and keys in the findings.
func TestOrganisations(t *testing.T) {
	d := directory(queue("a", "/a/"))
	d.KeysRequired = true
	assertFindings(t, auditor.Draft{Directory: d}, auditor.Config{}, "keys are required and no organisation has one")
	low := organisation("low", "k4")
	low.Limit = briarspring.NewResources(briarspring.ResourcesConfig{MilliCPU: 500})
	d.Organisations = []briarspring.Organisation{
		organisation("one", "k1", "k1"), organisation("one", "k2"), organisation("two", "k1", "k3"), organisation("three"),
		organisation(""), low, organisation(secret, secret),
	}
	c := auditor.Config{Task: briarspring.NewResources(briarspring.ResourcesConfig{MilliCPU: 501, MemoryMiB: 10})}
	draft := auditor.Draft{Directory: d, Weights: map[int]float64{2: 0}}
	assertFindings(t, draft, c,
		`note organisation "one": lists 1 keys more than once`, "error organisation \"one\": entry 2 has the name of entry 1",
		`error organisation "two": has 1 of the keys of organisation "one"`, `error organisation "two": weight 0`,
		`warning organisation "three": has no key`, "error organisation 5: has no name",
		`warning organisation "low": its limit on processors`, "the name of entry 7 is a key")
	assert.NotContains(t, fmt.Sprint(auditor.Check(draft, auditor.Config{Against: &d})), secret)
}

// Guards against changes that the comparison leaves out, and against versions that
// hosts ignore.
func TestDifference(t *testing.T) {
	before := directory(queue("kept", "/k/"), queue("changed", "/c/"), queue("removed", "/r/"))
	before.Organisations = []briarspring.Organisation{organisation("o", "k1", "k2"), organisation("p", "k5"), organisation("same", "k9")}
	after := directory(queue("kept", "/k/"), queue("changed", "/d/"), queue("added", "/a/"))
	o := organisation("o", "k2", "k3", "k4")
	o.Limit = briarspring.NewResources(briarspring.ResourcesConfig{MemoryMiB: 7})
	after.Organisations, after.KeysRequired = []briarspring.Organisation{o, organisation("same", "k9")}, true

	r := auditor.Check(auditor.Draft{Directory: after}, auditor.Config{Against: &before})
	assert.Equal(t, auditor.Error, r.Level(), "version 5 is in force already")
	assert.Equal(t, &auditor.Difference{
		Before: 5, After: 5,
		Fields: []auditor.FieldChange{{Field: "keys-required", Before: "false", After: "true"}},
		Queues: []auditor.Change{
			{Kind: auditor.Changed, Name: "changed", Fields: []auditor.FieldChange{{Field: "prefix", Before: "/c/", After: "/d/"}}},
			{Kind: auditor.Added, Name: "added"},
			{Kind: auditor.Removed, Name: "removed"},
		},
		Organisations: []auditor.Change{
			{Kind: auditor.Changed, Name: "o", Fields: []auditor.FieldChange{{Field: "limit-memory-mib", Before: "0", After: "7"}}, KeysAdded: 2, KeysRemoved: 1},
			{Kind: auditor.Removed, Name: "p", KeysRemoved: 1},
		},
	}, r.Difference)
	assert.True(t, auditor.Check(auditor.Draft{Directory: before}, auditor.Config{Against: &before}).Difference.Empty())
}
