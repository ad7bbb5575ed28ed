package scheduler_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"briarspring"
	"briarspring/applier"
	"briarspring/imitator"
	"briarspring/scheduler"
)

// newPair starts two schedulers and some workers in each data centre.
func newPair(t *testing.T, c imitator.LogConfig, workers int, dataCentres ...string) *cluster {
	cl := newCluster(t, c)
	for _, dataCentre := range dataCentres {
		cl.addWorkers(dataCentre, workers)
		for i := range 2 {
			cl.start(dataCentre, fmt.Sprintf("%s-s%d", dataCentre, i))
		}
	}
	for _, s := range cl.schedulers {
		cl.eventually(s, 15*time.Second, "data centres are known", func(conf *applier.Config, placement *applier.Placement) bool {
			for _, name := range dataCentres {
				d := conf.DataCentre(name)
				if d == nil || int(d.Summary().Workers) != workers {
					return false
				}
			}
			return len(placement.Workers()) == workers
		})
	}
	return cl
}

// owner returns the names of the scheduler that owns a data centre and of the
// other scheduler there.
func (cl *cluster) owner(dataCentre string) (owner, other string) {
	first, second := dataCentre+"-s0", dataCentre+"-s1"
	if cl.schedulers[first].IsOwner() {
		return first, second
	}
	require.True(cl.t, cl.schedulers[second].IsOwner())
	return second, first
}

// starts returns the number of attempts of a workload that workers have started.
func (cl *cluster) starts(name string) int {
	n := 0
	for _, e := range cl.journal.Entries() {
		if e.Kind == imitator.JournalStart && e.Name == name {
			n++
		}
	}
	return n
}

// waitFor polls a condition in virtual time and returns how long it took.
func (cl *cluster) waitFor(limit time.Duration, what string, condition func() bool) time.Duration {
	cl.t.Helper()
	begin := time.Now()
	for !condition() {
		require.Less(cl.t, time.Since(begin), limit, what)
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(begin)
}

func TestTakeover(t *testing.T) {
	const bound = 5 * time.Second // From the owner's crash to the first new start.
	synctest.Test(t, func(t *testing.T) {
		cl := newPair(t, imitator.LogConfig{AppendsPerSecond: 300}, 3, "tartu")
		owner, other := cl.owner("tartu")
		require.NoError(t, cl.submit(cl.schedulers[other], 0, archive(t, "index", 60, "index time=2s")).Err)
		cl.waitFor(5*time.Second, "some tasks run", func() bool { return cl.starts("index") > 5 })
		cl.kill(owner)
		before := cl.starts("index")
		took := cl.waitFor(bound, "a new start", func() bool { return cl.starts("index") > before })
		t.Logf("takeover took %s", took)
		cl.eventually(cl.schedulers[other], 2*time.Minute, "the job finishes", jobDone("index"))
		checkJournal(t, cl.journal.Entries())
	})
}

func TestPlannedStopHandsOver(t *testing.T) {
	const bound = 1500 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		cl := newPair(t, imitator.LogConfig{AppendsPerSecond: 300}, 3, "tartu")
		owner, other := cl.owner("tartu")
		giveUp := make(chan struct{})
		cl.schedulers[owner].Stop(giveUp)
		cl.kill(owner)
		cl.waitFor(bound, "the other one owns", func() bool { return cl.schedulers[other].IsOwner() })
	})
}

func TestUrgentStartOnFullFleet(t *testing.T) {
	const bound = 1700 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		cl := newPair(t, imitator.LogConfig{AppendsPerSecond: 300}, 4, "tartu")
		s := cl.schedulers["tartu-s0"]
		require.NoError(t, cl.submit(s, 0, archive(t, "index", 100, "index time=10m")).Err)
		cl.waitFor(10*time.Second, "batch fills every worker", func() bool { return cl.starts("index") == 16 })
		begin := time.Now()
		require.NoError(t, cl.submit(s, 0, ledger(t, 4)).Err)
		cl.waitFor(bound, "every executor starts", func() bool { return cl.starts("ledger") == 4 })
		t.Logf("urgent start took %s", time.Since(begin))
		checkJournal(t, cl.journal.Entries())
	})
}

func TestDrainBound(t *testing.T) {
	const bound = 3 * time.Second // From the accepted record to the last start.
	cases := []struct {
		name  string
		fault func(cl *cluster, gates map[string]*gate) (heal func())
	}{
		{"connected", func(*cluster, map[string]*gate) func() { return func() {} }},
		{"cut off from the log", func(cl *cluster, _ map[string]*gate) func() {
			cl.log.SetFaults(imitator.LogFaults{Latency: 5 * time.Millisecond, CutCallers: []string{"voru-s0", "voru-s1"}})
			return func() { cl.log.SetFaults(imitator.LogFaults{Latency: 5 * time.Millisecond}) }
		}},
		{"frozen for 10 s in mid-send", func(_ *cluster, gates map[string]*gate) func() {
			gates["voru-s0"].block()
			gates["voru-s1"].block()
			return func() { gates["voru-s0"].unblock(); gates["voru-s1"].unblock() }
		}},
		{"reading slowly", func(cl *cluster, _ map[string]*gate) func() {
			cl.log.SetFaults(imitator.LogFaults{Latency: 1200 * time.Millisecond})
			return func() { cl.log.SetFaults(imitator.LogFaults{Latency: 5 * time.Millisecond}) }
		}},
		{"starts delayed on their way", func(cl *cluster, _ map[string]*gate) func() {
			cl.fleets["voru"].SetFaults(imitator.FleetFaults{DelayedCalls: 1, Delay: 6 * time.Second})
			time.Sleep(1500 * time.Millisecond) // Lets starts be in transit when the record is accepted.
			return func() { cl.fleets["voru"].SetFaults(imitator.FleetFaults{}) }
		}},
	}
	const moments = 12 // Times of the failure, relative to the steps of a start.
	for i := range moments * len(cases) {
		c, moment := cases[i%len(cases)], time.Duration(i/len(cases))*97*time.Millisecond
		t.Run(fmt.Sprintf("%s after %s", c.name, moment), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl := newCluster(t, imitator.LogConfig{AppendsPerSecond: 300})
				gates := map[string]*gate{}
				for _, dataCentre := range []string{"tartu", "voru"} {
					cl.addWorkers(dataCentre, 3)
					for i := range 2 {
						name := fmt.Sprintf("%s-s%d", dataCentre, i)
						g := &gate{log: cl.log.Client(name), workers: cl.fleets[dataCentre].Client(name), hosts: cl.hosts}
						gates[name] = g
						cl.start(dataCentre, name, func(c *scheduler.Config) { c.Log, c.Workers, c.Hosts = g, g, g })
					}
				}
				s := cl.schedulers["tartu-s0"]
				cl.eventually(s, 15*time.Second, "data centres are known", func(conf *applier.Config, _ *applier.Placement) bool {
					return len(conf.DataCentres()) == 2 && conf.DataCentre("voru").Summary().Workers == 3
				})
				require.NoError(t, cl.submit(s, 0, archive(t, "index", 400, "index time=300ms")).Err)
				cl.waitFor(10*time.Second, "tasks run", func() bool { return cl.starts("index") > 20 })
				var version uint64
				s.ReadStates(func(conf *applier.Config, _ *applier.Placement) { version = conf.DataCentre("voru").Version() })
				time.Sleep(moment)
				heal := c.fault(cl, gates)
				time.Sleep(100 * time.Millisecond)
				a := cl.submit(s, version, briarspring.TakeOut{DataCentre: "voru"})
				require.NoError(t, a.Err)
				accepted := time.Now()
				time.Sleep(10 * time.Second)
				heal()
				time.Sleep(20 * time.Second)
				for _, e := range cl.journal.Entries() {
					if dataCentreOf(e.Worker) == "voru" && e.Kind == imitator.JournalStart {
						assert.False(t, e.Time.After(accepted.Add(bound)), "%s started %s after", e.Attempt, e.Time.Sub(accepted))
					}
				}
				checkJournal(t, cl.journal.Entries())
			})
		})
	}
}

func TestConfigurationInForceEverywhere(t *testing.T) {
	const bound = 2 * time.Second
	synctest.Test(t, func(t *testing.T) {
		cl := newPair(t, imitator.LogConfig{AppendsPerSecond: 300}, 2, "tartu", "viljandi", "voru")
		a := cl.submit(cl.schedulers["tartu-s0"], 0, ledger(t, 6))
		require.NoError(t, a.Err)
		cl.waitFor(bound, "every process has it", func() bool {
			for _, s := range cl.schedulers {
				ok := false
				s.ReadStates(func(conf *applier.Config, _ *applier.Placement) { ok = conf.Applied() >= a.Offset })
				if !ok {
					return false
				}
			}
			return true
		})
	})
}

func TestConfigurationOutlivesAllHosts(t *testing.T) {
	const retention = 30 * time.Second
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, imitator.LogConfig{AppendsPerSecond: 300, KeepFor: retention})
		settings := func(c *scheduler.Config) { c.SnapshotInterval = retention / 3 }
		names := []string{}
		for _, dataCentre := range []string{"tartu", "voru"} {
			cl.addWorkers(dataCentre, 2)
			for i := range 2 {
				names = append(names, fmt.Sprintf("%s-s%d", dataCentre, i))
				cl.start(dataCentre, names[len(names)-1], settings)
			}
		}
		cl.eventually(cl.schedulers["tartu-s0"], 15*time.Second, "data centres are known", func(conf *applier.Config, _ *applier.Placement) bool {
			return len(conf.DataCentres()) == 2
		})
		a := cl.submit(cl.schedulers["tartu-s0"], 0, ledger(t, 3))
		require.NoError(t, a.Err)
		offsets := map[string]uint64{}
		for round := range 12 {
			name := names[round%len(names)]
			cl.kill(name)
			if round == 6 {
				// The log goes down halfway through, and the process starts meanwhile.
				cl.log.SetFaults(imitator.LogFaults{Down: true})
				time.AfterFunc(8*time.Second, func() { cl.log.SetFaults(imitator.LogFaults{Latency: 5 * time.Millisecond}) })
			}
			cl.start(dataCentreOf(name), name, settings)
			time.Sleep(retention / 4)
			for _, n := range names {
				s := cl.schedulers[n]
				if !s.Ready() {
					continue
				}
				s.ReadStates(func(conf *applier.Config, _ *applier.Placement) {
					assert.GreaterOrEqual(t, conf.Applied(), offsets[n], "%s went back", n)
					offsets[n] = conf.Applied()
				})
			}
		}
		time.Sleep(15 * time.Second)
		for _, n := range names {
			cl.schedulers[n].ReadStates(func(conf *applier.Config, _ *applier.Placement) {
				if assert.NotNil(t, conf.Service("ledger"), n) {
					assert.Equal(t, a.Version, conf.Service("ledger").Version())
				}
			})
		}
		checkJournal(t, cl.journal.Entries())
	})
}

func TestOperatorsRace(t *testing.T) {
	const writers, rounds = 8, 20
	synctest.Test(t, func(t *testing.T) {
		cl := newPair(t, imitator.LogConfig{AppendsPerSecond: 300}, 2, "tartu", "voru")
		first := cl.submit(cl.schedulers["tartu-s0"], 0, ledger(t, 1))
		require.NoError(t, first.Err)
		for _, s := range cl.schedulers {
			cl.eventually(s, 2*time.Second, "the service is known", func(conf *applier.Config, _ *applier.Placement) bool {
				return conf.Service("ledger") != nil
			})
		}
		cl.log.SetFaults(imitator.LogFaults{Latency: 5 * time.Millisecond, LoseAnswers: 0.3})
		names := []string{"tartu-s0", "tartu-s1", "voru-s0", "voru-s1"}
		var mu sync.Mutex
		accepted := map[uint64]uint32{first.Version: 1} // Number of executors by version.
		refused := 0
		var race sync.WaitGroup
		for w := range writers {
			race.Go(func() {
				for r := range rounds {
					s := cl.schedulers[names[(w+r)%len(names)]]
					var version uint64
					s.ReadStates(func(conf *applier.Config, _ *applier.Placement) { version = conf.Service("ledger").Version() })
					wanted := uint32(1 + (w*rounds+r)%50)
					a, err := s.Submit(cl.ctx, briarspring.Command{
						RequestID: fmt.Sprintf("w%d-%d", w, r), ExpectedVersion: version, Change: ledger(t, wanted),
					})
					mu.Lock()
					switch {
					case err != nil:
						assert.NoError(t, err)
					case a.Err != nil:
						var conflict *briarspring.ConflictError
						assert.ErrorAs(t, a.Err, &conflict)
						refused++
					default:
						accepted[a.Version] = wanted
					}
					mu.Unlock()
				}
			})
		}
		race.Wait()
		cl.log.SetFaults(imitator.LogFaults{Latency: 5 * time.Millisecond})
		time.Sleep(5 * time.Second)
		assert.Positive(t, refused)
		var newest uint64
		for v := range accepted {
			newest = max(newest, v)
		}
		for _, name := range names {
			cl.schedulers[name].ReadStates(func(conf *applier.Config, _ *applier.Placement) {
				w := conf.Service("ledger")
				assert.Equal(t, newest, w.Version(), "the last acknowledged change is in force")
				assert.Equal(t, accepted[newest], w.Service().Executors())
			})
		}
	})
}

func TestCancellationWave(t *testing.T) {
	const bound = 5 * time.Second
	synctest.Test(t, func(t *testing.T) {
		cl := newPair(t, imitator.LogConfig{AppendsPerSecond: 300}, 4, "tartu")
		s := cl.schedulers["tartu-s0"]
		var names []string
		for i := range 5 {
			name := fmt.Sprintf("wave-%d", i)
			names = append(names, name)
			require.NoError(t, cl.submit(s, 0, archive(t, name, 2000, "index time=10m")).Err)
		}
		cl.waitFor(15*time.Second, "the fleet is full", func() bool {
			full := false
			s.ReadStates(func(_ *applier.Config, placement *applier.Placement) {
				n := 0
				for _, w := range placement.Workers() {
					n += w.Len()
				}
				full = n == 16
			})
			return full
		})
		before := cl.log.Appends()
		require.NoError(t, cl.submit(s, 0, briarspring.CancelJobs{Names: names}).Err)
		cl.waitFor(bound, "nothing runs", func() bool {
			idle := true
			s.ReadStates(func(_ *applier.Config, placement *applier.Placement) {
				for _, w := range placement.Workers() {
					idle = idle && w.Len() == 0
				}
			})
			return idle
		})
		assert.Less(t, cl.log.Appends()-before, uint64(40), "10,000 tasks cost few records")
		checkJournal(t, cl.journal.Entries())
	})
}

func TestFaultyWorkersAndTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newPair(t, imitator.LogConfig{AppendsPerSecond: 300}, 3, "tartu")
		s := cl.schedulers["tartu-s0"]
		cl.fleets["tartu"].Worker("tartu-w01").SetFailing(true)
		for i := range 3 {
			require.NoError(t, cl.submit(s, 0, archive(t, fmt.Sprintf("good-%d", i), 20, "index time=500ms")).Err)
		}
		require.NoError(t, cl.submit(s, 0, archive(t, "poisoned", 2, "index fail=always")).Err)
		for i := range 3 {
			cl.eventually(s, 3*time.Minute, "the good job finishes", jobDone(fmt.Sprintf("good-%d", i)))
		}
		cl.eventually(s, 5*time.Minute, "the poisoned job is given up", jobDone("poisoned"))
		s.ReadStates(func(conf *applier.Config, _ *applier.Placement) {
			for i := range 3 {
				assert.EqualValues(t, 20, conf.Job(fmt.Sprintf("good-%d", i)).Totals().Done)
			}
			assert.EqualValues(t, 2, conf.Job("poisoned").Totals().Failed)
		})
		failed := map[string]int{}
		for _, e := range cl.journal.Entries() {
			if e.Kind == imitator.JournalFailed {
				failed[e.Worker]++
			}
		}
		assert.Less(t, failed["tartu-w01"], 15, "the failing worker is quarantined")
		checkJournal(t, cl.journal.Entries())
	})
}

func TestSubmitWhileTheLogIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newPair(t, imitator.LogConfig{AppendsPerSecond: 300}, 2, "tartu")
		s := cl.schedulers["tartu-s0"]
		cl.log.SetFaults(imitator.LogFaults{Down: true})
		ctx, cancel := context.WithTimeout(cl.ctx, 3*time.Second)
		defer cancel()
		cmd := briarspring.Command{RequestID: "again", Change: ledger(t, 2)}
		_, err := s.Submit(ctx, cmd)
		var unknown *scheduler.UnknownOutcomeError
		require.ErrorAs(t, err, &unknown)
		cl.log.SetFaults(imitator.LogFaults{Latency: 5 * time.Millisecond})
		time.Sleep(3 * time.Second)
		a, err := cl.schedulers["tartu-s1"].Submit(cl.ctx, cmd)
		require.NoError(t, err)
		assert.NoError(t, a.Err, "the retry gets the first answer")
	})
}

// TestCrashAtEachStep kills the owner at points in time that are closer together
// than the steps of an eviction and the start that follows it.
func TestCrashAtEachStep(t *testing.T) {
	const moments, apart = 60, 6 * time.Millisecond
	for i := range moments {
		t.Run(fmt.Sprint(time.Duration(i)*apart), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl := newPair(t, imitator.LogConfig{AppendsPerSecond: 300}, 2, "tartu")
				owner, other := cl.owner("tartu")
				s := cl.schedulers[other]
				require.NoError(t, cl.submit(s, 0, archive(t, "index", 12, "index time=8s")).Err)
				cl.waitFor(10*time.Second, "batch fills every worker", func() bool { return cl.starts("index") == 8 })
				time.Sleep(time.Second)
				require.NoError(t, cl.submit(s, 0, ledger(t, 2)).Err)
				time.Sleep(time.Duration(i) * apart)
				cl.kill(owner)
				cl.eventually(s, 3*time.Minute, "the job finishes", jobDone("index"))
				assert.Equal(t, 2, cl.starts("ledger"))
				checkJournal(t, cl.journal.Entries())
			})
		})
	}
}

// TestLeavingHost checks that the executors on a leaving host are evicted within
// 2 s after the list of hosts shows that it leaves, and start elsewhere.
func TestLeavingHost(t *testing.T) {
	const bound = 2 * time.Second
	synctest.Test(t, func(t *testing.T) {
		cl := newPair(t, imitator.LogConfig{AppendsPerSecond: 300}, 3, "tartu")
		s := cl.schedulers["tartu-s1"]
		require.NoError(t, cl.submit(s, 0, ledger(t, 3)).Err)
		cl.waitFor(5*time.Second, "executors start", func() bool { return cl.starts("ledger") == 3 })
		cl.hosts.SetLeaving("tartu-w01", true)
		time.Sleep(time.Second) // Delay of the list of hosts.
		cl.waitFor(bound, "the executor is being evicted", func() bool {
			evicting := 0
			s.ReadStates(func(_ *applier.Config, placement *applier.Placement) {
				w := placement.WorkerByName("tartu-w01")
				for _, id := range w.Tasks() {
					if placement.Task(id).Evicting() {
						evicting++
					}
				}
				if w.Len() == 0 {
					evicting++
				}
			})
			return evicting == 1
		})
		cl.waitFor(5*time.Second, "it starts elsewhere", func() bool { return cl.starts("ledger") == 4 })
		checkJournal(t, cl.journal.Entries())
	})
}

// TestExecutorsReturn checks that a data centre that is back in service gets its
// share of the executors again.
func TestExecutorsReturn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newPair(t, imitator.LogConfig{AppendsPerSecond: 300}, 3, "tartu", "voru")
		s := cl.schedulers["tartu-s0"]
		require.NoError(t, cl.submit(s, 0, ledger(t, 6)).Err)
		assigned := func(dataCentre string) (n uint32) {
			s.ReadStates(func(conf *applier.Config, _ *applier.Placement) {
				if w := conf.Service("ledger"); w != nil {
					n = w.Assigned(dataCentre)
				}
			})
			return n
		}
		cl.waitFor(5*time.Second, "executors start", func() bool { return cl.starts("ledger") == 6 })
		var version uint64
		s.ReadStates(func(conf *applier.Config, _ *applier.Placement) { version = conf.DataCentre("voru").Version() })
		out := cl.submit(s, version, briarspring.TakeOut{DataCentre: "voru"})
		require.NoError(t, out.Err)
		cl.waitFor(10*time.Second, "all executors move", func() bool { return assigned("tartu") == 6 && assigned("voru") == 0 })
		require.NoError(t, cl.submit(s, out.Version, briarspring.Return{DataCentre: "voru"}).Err)
		cl.waitFor(60*time.Second, "half of them move back", func() bool { return assigned("voru") == 3 })
		time.Sleep(20 * time.Second)
		assert.EqualValues(t, 3, assigned("voru"), "and it stays so")
		checkJournal(t, cl.journal.Entries())
	})
}
