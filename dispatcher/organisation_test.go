package dispatcher_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"briarspring"
	"briarspring/dispatcher"
)

// ofOrganisation returns a workflow of an organisation.
func ofOrganisation(name string, w *briarspring.Workflow) *briarspring.Workflow {
	w.Organisation = name
	return w
}

// limited returns an organisation with a limit in processors and some of its parts.
func limited(name string, milliCPU int64, parts int) dispatcher.Organisation {
	return dispatcher.Organisation{Name: name, Weight: 1, Limit: resources(milliCPU, 0), Parts: parts}
}

// setLimit sets one organisation with all parts of a limit in processors.
func (s *fixture) setLimit(name string, milliCPU int64) {
	s.d.SetOrganisations(s.now, []dispatcher.Organisation{limited(name, milliCPU, briarspring.QuotaParts)}, 3)
}

// endAll ends all runs of a workflow.
func (s *fixture) endAll(id briarspring.WorkflowID, how briarspring.RunEnd) {
	for name, w := range s.workers {
		for ref := range w.running {
			if ref.Task.Workflow == id {
				s.endRun(name, ref, how)
			}
		}
	}
	s.renewAll()
}

func bestEffort(tasks int, milliCPU int64) briarspring.Step {
	spec := step(tasks, milliCPU)
	spec.BestEffort = true
	return spec
}

// Each case guards against starts of an organisation beyond its share.
func TestQuota(t *testing.T) {
	cases := []struct {
		name  string
		limit int64
		parts int
		spec  briarspring.Step
		want  int
	}{
		{"stops at the limit", 3000, 10000, step(7, 1000), 3},
		{"counts the declared processors of best-effort work", 3000, 10000, bestEffort(7, 1000), 3},
		{"stops at the share", 10000, 2500, step(7, 1000), 2},
		{"starts long-running tasks within the share alone", 10000, 2500, longRunning(7, 1000), 2},
		{"starts nothing without parts", 10000, 0, step(7, 1000), 0},
		{"starts a gang within the limit", 4000, 10000, gang(4, 1000), 4},
		{"starts no part of a gang beyond the share", 4000, 9999, gang(4, 1000), 0},
		{"starts a gang of one task more than the limit", 3000, 10000, gang(4, 1000), 4},
		{"starts no gang of two tasks more than the limit", 2999, 10000, gang(4, 1000), 0},
		{"starts one task larger than the limit", 500, 10000, step(7, 1000), 1},
		{"starts no task larger than the limit without all parts", 500, 9999, step(7, 1000), 0},
		{"doesn't limit without a limit", 0, 0, step(7, 1000), 7},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newFixture(t, dispatcher.Config{Token: 1}, 2)
			s.d.SetOrganisations(s.now, []dispatcher.Organisation{limited("a", c.limit, c.parts)}, 3)
			s.d.Submit(s.now, 0, ofOrganisation("a", workflow("j", c.spec)), 5, nil, nil)
			assert.Equal(t, c.want, countRuns(starts(s.planAndApply())))
			assert.Zero(t, countRuns(starts(s.planAndApply())))
			if c.limit == 0 {
				assert.Empty(t, s.d.OrganisationUse())
				return
			}
			use := s.d.OrganisationUse()["a"]
			assert.Equal(t, c.spec.Resources.Times(int64(c.want)), use.Used)
			assert.Equal(t, c.spec.Resources.Times(int64(c.spec.Tasks-c.want)), use.Waiting)
		})
	}
	t.Run("holds back organisations until their limits are known", func(t *testing.T) {
		s := newFixture(t, dispatcher.Config{Token: 1}, 2)
		s.d.Submit(s.now, 0, ofOrganisation("a", workflow("j", step(2, 1000))), 5, nil, nil)
		s.d.Submit(s.now, 0, workflow("k", step(2, 1000)), 6, nil, nil)
		assert.Equal(t, 2, countRuns(starts(s.planAndApply())))
		s.d.SetOrganisations(s.now, nil, 3)
		assert.Equal(t, 2, countRuns(starts(s.d.Plan(s.now))), "one that was never listed has no limit")
	})
	t.Run("counts a run until its end is known", func(t *testing.T) {
		s := newFixture(t, dispatcher.Config{Token: 1}, 2)
		s.setLimit("a", 2000)
		s.d.Submit(s.now, 0, ofOrganisation("a", workflow("j", step(2, 1000))), 5, nil, nil)
		s.d.Submit(s.now, 0, ofOrganisation("a", workflow("k", step(2, 1000))), 6, nil, nil)
		assert.Equal(t, 2, countRuns(starts(s.planAndApply())))
		s.d.Cancel(s.now, "j")
		s.d.Cancel(s.now, "k")
		s.d.Submit(s.now, 0, ofOrganisation("a", workflow("l", step(2, 1000))), 7, nil, nil)
		assert.Empty(t, starts(s.planAndApply()), "runs that are stopping count")
		s.renewAll()
		assert.Equal(t, 2, countRuns(starts(s.planAndApply())))
	})
	t.Run("counts a start without an answer", func(t *testing.T) {
		s := newFixture(t, dispatcher.Config{Token: 1}, 2)
		s.setLimit("a", 1000)
		s.d.Submit(s.now, 0, ofOrganisation("a", workflow("j", step(2, 1000))), 5, nil, nil)
		orders := s.d.Plan(s.now)
		require.Len(t, orders, 1)
		s.d.HandleVerdict(s.now, orders[0], briarspring.VerdictUnanswered)
		assert.Empty(t, starts(s.planAndApply()))
	})
	t.Run("counts runs on a silent worker until its lease has ended", func(t *testing.T) {
		s := newFixture(t, dispatcher.Config{Token: 1}, 2)
		s.setLimit("a", 1000)
		s.d.Submit(s.now, 0, ofOrganisation("a", workflow("j", step(2, 1000))), 5, nil, nil)
		first := starts(s.planAndApply())
		require.Equal(t, 1, countRuns(first))
		s.renewAll()
		heard := "w0"
		if len(first["w0"]) > 0 {
			heard = "w1"
		}
		started := s.now
		for s.now < started+10*time.Second {
			s.now += 100 * time.Millisecond
			s.renew(heard)
			s.store()
			if countRuns(starts(s.planAndApply())) > 0 {
				break
			}
		}
		assert.Greater(t, s.now-started, 5500*time.Millisecond)
		assert.Less(t, s.now-started, 7*time.Second)
	})
	t.Run("lowered below the use stops nothing and starts nothing", func(t *testing.T) {
		s := newFixture(t, dispatcher.Config{Token: 1}, 2)
		s.setLimit("a", 8000)
		s.d.Submit(s.now, 0, ofOrganisation("a", workflow("j", longRunning(4, 1000))), 5, nil, nil)
		require.Equal(t, 4, countRuns(starts(s.planAndApply())))
		s.setLimit("a", 2000)
		s.d.Submit(s.now, 0, ofOrganisation("a", workflow("k", step(4, 1000))), 6, nil, nil)
		e := s.workers["w0"].entry
		e.Draining, e.Remaining = true, 20*time.Second
		s.d.SetWorkers(s.now, []briarspring.WorkerEntry{e, s.workers["w1"].entry})
		assert.Empty(t, s.planAndApply(), "nothing moves early that could not start again")
		s.endAll("j", briarspring.RunStopped)
		assert.Equal(t, 2, countRuns(starts(s.planAndApply())))
	})
	t.Run("lowered while a start waits to be stored drops the start", func(t *testing.T) {
		s := newFixture(t, dispatcher.Config{Token: 1}, 2)
		s.setLimit("a", 1000)
		suspect := []briarspring.TaskProgress{{Position: 0, Run: 1, Suspicion: 1}}
		s.d.Submit(s.now, 0, ofOrganisation("a", workflow("j", step(1, 1000))), 5, suspect, nil)
		require.Empty(t, s.planAndApply(), "sent once it is stored")
		s.d.SetOrganisations(s.now, []dispatcher.Organisation{limited("a", 900, 5000)}, 4)
		s.store()
		assert.Empty(t, starts(s.d.Plan(s.now)))
		assert.Zero(t, s.d.OrganisationUse()["a"].Used)
	})
	t.Run("of a removed organisation lasts until its workflows have ended", func(t *testing.T) {
		s := newFixture(t, dispatcher.Config{Token: 1}, 2)
		s.setLimit("a", 1000)
		s.d.Submit(s.now, 0, ofOrganisation("a", workflow("j", step(3, 1000))), 5, nil, nil)
		require.Equal(t, 1, countRuns(starts(s.planAndApply())))
		s.d.SetOrganisations(s.now, nil, 4)
		assert.Empty(t, starts(s.planAndApply()))
		s.endAll("j", briarspring.RunDone)
		assert.Equal(t, 1, countRuns(starts(s.planAndApply())))
		s.d.Cancel(s.now, "j")
		s.planAndApply()
		s.renewAll()
		s.store()
		require.False(t, s.d.Knows("j"))
		s.d.Submit(s.now, 0, ofOrganisation("a", workflow("k", step(3, 1000))), 6, nil, nil)
		assert.Equal(t, 3, countRuns(starts(s.planAndApply())))
	})
	t.Run("holds back copies of slow runs", func(t *testing.T) {
		for copies := range 3 {
			s := newFixture(t, dispatcher.Config{Token: 1}, 3)
			s.setLimit("a", int64(2000+1000*copies))
			spec := step(2, 1000)
			spec.Speculative = true
			s.d.Submit(s.now, 0, ofOrganisation("a", workflow("j", spec)), 5, nil, nil)
			require.Equal(t, 2, countRuns(starts(s.planAndApply())))
			s.now += time.Second
			s.renewAll()
			s.now += time.Second
			s.renewAll()
			assert.Equal(t, copies, countRuns(starts(s.planAndApply())))
		}
	})
	t.Run("holds back suspected tasks", func(t *testing.T) {
		s := newFixture(t, dispatcher.Config{Token: 1}, 4)
		s.setLimit("a", 2000)
		var suspects []briarspring.TaskProgress
		for i := range 4 {
			suspects = append(suspects, briarspring.TaskProgress{Position: i, Run: 1, Suspicion: 1})
		}
		s.d.Submit(s.now, 0, ofOrganisation("a", workflow("j", step(4, 1000))), 5, suspects, nil)
		s.planAndApply()
		assert.Equal(t, resources(2000, 2000), s.d.OrganisationUse()["a"].Used)
		s.store()
		assert.Equal(t, 2, countRuns(starts(s.planAndApply())))
	})
	t.Run("holds for tasks that arrive from another data centre", func(t *testing.T) {
		s := newFixture(t, dispatcher.Config{Token: 1}, 2)
		s.setLimit("a", 2000)
		away := func(int) dispatcher.Place { return dispatcher.Place{} }
		s.d.Submit(s.now, 0, ofOrganisation("a", workflow("j", step(4, 1000))), 5, nil, away)
		assert.Empty(t, starts(s.planAndApply()))
		s.d.ApplyTransfers(s.now, "j", func(int) dispatcher.Place { return dispatcher.Place{Local: true, Offset: 7, Transfers: 1} })
		assert.Equal(t, 2, countRuns(starts(s.planAndApply())))
	})
	t.Run("keeps tasks that wait for it in their data centre", func(t *testing.T) {
		s := newFixture(t, dispatcher.Config{Token: 1}, 2)
		s.setLimit("a", 1000)
		s.d.Submit(s.now, 0, ofOrganisation("a", workflow("j", step(1, 1000))), 5, nil, nil)
		s.d.Submit(s.now, 0, ofOrganisation("a", workflow("k", step(1, 1000))), 6, nil, nil)
		s.planAndApply()
		s.now += time.Second
		s.renewAll()
		s.planAndApply()
		elsewhere := func(string, []*briarspring.Step) string { return "parnu" }
		assert.Empty(t, s.d.TakeTransfers(s.now, elsewhere))
		s.d.SetOutOfService(s.now, true)
		assert.NotEmpty(t, s.d.TakeTransfers(s.now, elsewhere))
	})
	t.Run("is not requested for tasks without room", func(t *testing.T) {
		s := newFixture(t, dispatcher.Config{Token: 1}, 2)
		s.setLimit("a", 1000)
		s.d.Submit(s.now, 0, workflow("full", step(2, 8000)), 4, nil, nil)
		s.planAndApply()
		s.d.Submit(s.now, 0, ofOrganisation("a", workflow("j", step(3, 2000))), 5, nil, nil)
		assert.Empty(t, starts(s.planAndApply()))
		assert.Zero(t, s.d.OrganisationUse()["a"].Waiting)
	})
}

// Guards against a successor that takes the runs of its predecessor for none before the
// workers have reported them.
func TestQuotaAfterTakeover(t *testing.T) {
	start := func(t *testing.T, limit int64) (*fixture, *fixture) {
		old := newFixture(t, dispatcher.Config{Token: 1}, 2)
		old.setLimit("a", limit)
		old.d.Submit(old.now, 0, ofOrganisation("a", workflow("j", step(2, 1000))), 5, nil, nil)
		require.Equal(t, 2, countRuns(starts(old.planAndApply())))
		s := old.successor(9)
		s.d.SetWorkers(s.now, s.entries("w0", "w1"))
		s.d.Submit(s.now, 0, ofOrganisation("a", workflow("j", step(2, 1000))), 5, nil, nil)
		s.d.Submit(s.now, 0, ofOrganisation("a", workflow("k", step(9, 1000))), 12, nil, nil)
		s.renewAll()
		return old, s
	}
	t.Run("counts what unreported workers may run", func(t *testing.T) {
		_, s := start(t, 4000)
		assert.Empty(t, starts(s.planAndApply()), "limits are not known")
		s.setLimit("a", 4000)
		use := s.d.OrganisationUse()["a"]
		assert.Equal(t, use.Used.Add(use.Possible), resources(4000, use.Used.MemoryMiB()))
		assert.Empty(t, starts(s.planAndApply()))
		s.now += reportTime
		s.renewAll()
		assert.Zero(t, s.d.OrganisationUse()["a"].Possible)
		assert.Equal(t, 2, countRuns(starts(s.planAndApply())))
	})
	t.Run("counts a worker's capacity, with its processors twice", func(t *testing.T) {
		_, s := start(t, 100000)
		s.setLimit("a", 100000)
		assert.Equal(t, resources(2*2*8000, 0), s.d.OrganisationUse()["a"].Possible)
		s.now += reportTime
		s.renew("w0")
		assert.Equal(t, resources(2*8000, 0), s.d.OrganisationUse()["a"].Possible)
		assert.Equal(t, 9, countRuns(starts(s.planAndApply())), "there is quota beyond it")
	})
	t.Run("ends with the lease of a silent worker", func(t *testing.T) {
		_, s := start(t, 4000)
		s.setLimit("a", 4000)
		s.d.SetPredecessorsGone(s.now)
		s.now += reportTime
		s.renew("w0")
		began := s.now
		for len(starts(s.planAndApply())) == 0 && s.now < began+10*time.Second {
			s.now += 100 * time.Millisecond
			s.renew("w0")
		}
		assert.Greater(t, s.now-began, 5*time.Second)
		assert.Less(t, s.now-began, 7*time.Second)
	})
	t.Run("takes a worker that is known by name alone for one of any size", func(t *testing.T) {
		old := newFixture(t, dispatcher.Config{Token: 1}, 1)
		s := old.successor(9)
		s.d.AddKnownWorkers([]briarspring.KnownWorker{{ID: "gone", Address: "b", Service: "ledger"}})
		s.d.SetWorkers(s.now, s.entries("w0"))
		s.hearAll()
		s.setLimit("a", 1e9)
		assert.Equal(t, resources(1e9, 0), s.d.OrganisationUse()["a"].Possible)
	})
	// A new owner requested more and more of what others held until it had all of it,
	// and started nothing.
	t.Run("requests no parts that would not help, and transfers the tasks", func(t *testing.T) {
		old := newFixture(t, dispatcher.Config{Token: 1}, 1)
		s := old.successor(9)
		s.d.AddKnownWorkers([]briarspring.KnownWorker{{ID: "gone", Address: "b", Service: "other"}})
		s.d.SetWorkers(s.now, s.entries("w0"))
		s.hearAll()
		s.d.SetOrganisations(s.now, []dispatcher.Organisation{limited("a", 8000, 5000)}, 3)
		s.d.Submit(s.now, 0, ofOrganisation("a", workflow("j", step(2, 1000))), 12, nil, nil)
		require.Empty(t, starts(s.planAndApply()))
		assert.Zero(t, s.d.OrganisationUse()["a"].Waiting)
		s.now += 200 * time.Millisecond
		s.renewAll()
		s.planAndApply()
		assert.NotEmpty(t, s.d.TakeTransfers(s.now, func(string, []*briarspring.Step) string { return "voru" }))
	})
	t.Run("counts runs of unknown workflows", func(t *testing.T) {
		old := newFixture(t, dispatcher.Config{Token: 1}, 1)
		old.d.Submit(old.now, 0, workflow("j", step(2, 1000)), 5, nil, nil)
		old.planAndApply()
		s := old.successor(9)
		s.d.SetWorkers(s.now, s.entries("w0"))
		s.hearAll()
		s.setLimit("a", 4000)
		assert.Equal(t, resources(4000, 0), s.d.OrganisationUse()["a"].Possible)
		s.planAndApply()
		s.renewAll()
		assert.Empty(t, s.d.OrganisationUse())
	})
}

// Guards against an organisation that left the directory whose later tasks wait for ever,
// as its parts are no longer requested once nothing of it runs.
func TestUseOfAnOrganisationWithWorkflows(t *testing.T) {
	s := newFixture(t, dispatcher.Config{Token: 1}, 1)
	s.setLimit("a", 4000)
	first, second := step(1, 1000), step(1, 1000)
	second.After = []int{0}
	s.d.Submit(s.now, 0, ofOrganisation("a", workflow("j", first, second)), 5, nil, nil)
	assert.Contains(t, s.d.OrganisationUse(), "a", "nothing of it runs yet")
	s.planAndApply()
	s.endAll("j", briarspring.RunDone)
	assert.Contains(t, s.d.OrganisationUse(), "a", "its next step has not started")
	s.planAndApply()
	s.endAll("j", briarspring.RunDone)
	s.store()
	s.d.Finished(s.now, "j", briarspring.PhaseCompleted)
	s.store()
	assert.NotContains(t, s.d.OrganisationUse(), "a")
}

// Guards against a number of metrics that grows with the number of organisations.
func TestOrganisationCounters(t *testing.T) {
	s := newFixture(t, dispatcher.Config{Token: 1}, 10)
	var list []dispatcher.Organisation
	for i := range 60 {
		list = append(list, limited(fmt.Sprintf("o%02d", i), 1000, briarspring.QuotaParts))
	}
	s.d.SetOrganisations(s.now, list, 3)
	for i, o := range list {
		s.d.Submit(s.now, 0, ofOrganisation(o.Name, workflow(briarspring.WorkflowID("j"+o.Name), step(2, 1000))), uint64(i+5), nil, nil)
	}
	s.planAndApply()
	s.planAndApply()
	counters := s.d.OrganisationCounters()
	assert.Len(t, counters, 32)
	var sum dispatcher.OrganisationCounters
	for _, c := range counters {
		sum.Starts += c.Starts
		sum.QuotaWaits += c.QuotaWaits
	}
	assert.Equal(t, dispatcher.OrganisationCounters{Starts: 60, QuotaWaits: 60}, sum)
	assert.Equal(t, dispatcher.OrganisationCounters{Starts: 29, QuotaWaits: 29}, counters["other"])
}

func TestQuotaLog(t *testing.T) {
	s := newLogged(t)
	s.d.SetOrganisations(s.now, []dispatcher.Organisation{limited("a", 10000, 1000)}, 7)
	for i := range 100 {
		id := briarspring.WorkflowID(fmt.Sprintf("j%03d", i))
		s.d.Submit(s.now, 0, ofOrganisation("a", workflow(id, step(1, 1000))), uint64(i+5), nil, nil)
	}
	for range 5 {
		s.planAndApply()
	}
	lines := s.lines("tasks wait for quota")
	require.Len(t, lines, 20, "the lines of a second are limited")
	for key, want := range map[string]any{
		"organisation": "a", "limit": "10000m/0MiB/0a", "share": "1000m/0MiB/0a", "used": "1000m/1000MiB/0a", "directory-version": 7, "parts": 1000,
	} {
		assert.EqualValues(t, want, lines[0][key], key)
	}
}
