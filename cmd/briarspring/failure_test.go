package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"briarspring"
	pb "briarspring/gen/briarspring/v1"
	"briarspring/generator"
	"briarspring/imitator"
	"briarspring/scheduler"
)

// loadBalancer polls the gateways' readiness, as the platform's load balancer
// does.
type loadBalancer struct {
	mu    sync.Mutex
	ready map[string]bool
	stop  chan struct{}
}

const pollInterval = 50 * time.Millisecond

func newLoadBalancer(s *system, addresses map[string]string) *loadBalancer {
	b := &loadBalancer{ready: map[string]bool{}, stop: make(chan struct{})}
	poll := func() {
		for gateway, admin := range addresses {
			ready := s.ready(admin)
			b.mu.Lock()
			b.ready[gateway] = ready
			b.mu.Unlock()
		}
	}
	poll()
	go func() {
		for {
			select {
			case <-b.stop:
				return
			case <-time.After(pollInterval):
				poll()
			}
		}
	}()
	s.t.Cleanup(func() { close(b.stop) })
	return b
}

func (b *loadBalancer) healthy(address string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ready[address]
}

// runLoad sends requests through all gateways for d while it calls meanwhile, and
// returns the outcomes that callers saw. A nil b sends to unready gateways too.
func runLoad(s *system, prefix string, b *loadBalancer, d time.Duration, meanwhile func()) *generator.Result {
	var gateways []string
	for _, name := range allDataCentres {
		if p := s.dataCentres[name]; p != nil {
			gateways = append(gateways, p.gateways...)
		}
	}
	done := make(chan *generator.Result)
	go func() {
		c := generator.Config{
			Arms: []generator.Arm{{Name: "all", Addresses: gateways}}, Rate: 300, Duration: d,
			Path: "/ledger/read", Timeout: 5 * time.Second, Body: "receipt ", Prefix: prefix, Seed: 1,
		}
		if b != nil {
			c.Healthy = b.healthy
		}
		done <- generator.Run(context.Background(), c)[0]
	}()
	meanwhile()
	return <-done
}

// checkRuns compares the executors' run counts with the outcomes that callers
// saw: a served request ran once, and no request ran twice or ran although it
// was refused.
func checkRuns(t *testing.T, s *system, r *generator.Result) {
	t.Helper()
	runs := map[string]uint32{}
	for _, p := range s.dataCentres {
		var counts []imitator.ExecutorCounts
		s.get(p.workersAdmin, "/executors?runs", &counts)
		for _, x := range counts {
			assert.LessOrEqual(t, x.MostInFlight, x.Slots, "slots of %s", x.Executor)
			assert.LessOrEqual(t, x.MostConnections, x.Connections, "connections of %s", x.Executor)
			for id, n := range x.Runs {
				runs[id] += n
			}
		}
	}
	assert.Empty(t, generator.ImproperRuns([]*generator.Result{r}, runs, false))
	assert.Zero(t, r.InvalidAnswers)
	assert.Equal(t, r.Sent, r.Served+r.NotRun+r.Unknown)
	for id, outcome := range r.IDs {
		if outcome == briarspring.OutcomeServed {
			assert.EqualValues(t, 1, runs[id], "%s was answered", id)
		}
	}
}

// checkTasks checks in the workers' journals that no task ran on two workers at
// the same time.
func checkTasks(t *testing.T, s *system) {
	t.Helper()
	running := map[string]journalEntry{}
	for _, e := range sortedJournal(s) {
		if e.Kind == string(imitator.JournalLeaseEnd) {
			continue
		}
		task := fmt.Sprintf("%s/%d", e.Name, e.Index)
		if e.Kind != string(imitator.JournalStart) {
			if running[task].Attempt == e.Attempt {
				delete(running, task)
			}
			continue
		}
		if other, runs := running[task]; runs {
			assert.Fail(t, "task runs in two places", "%s on %s and on %s", task, other.Worker, e.Worker)
		}
		running[task] = e
	}
}

func (s *system) schedulerMetrics(admin string) scheduler.Metrics {
	var vars struct {
		Briarspring struct {
			Scheduler scheduler.Metrics `json:"scheduler"`
		} `json:"briarspring"`
	}
	s.get(admin, "/debug/vars", &vars)
	return vars.Briarspring.Scheduler
}

// ownerIndex returns the index of the entry host whose scheduler owns a data
// centre, or -1.
func (s *system) ownerIndex(p *dataCentre) int {
	for i, admin := range p.schedAdmin {
		if s.processes[fmt.Sprintf("%s-scheduler%d", p.name, i)] == nil {
			continue
		}
		if s.schedulerMetrics(admin).Owner {
			return i
		}
	}
	return -1
}

// addJob creates a job through an operators' address.
func (s *system) addJob(address, name string, tasks int, runTime string) {
	file := filepath.Join(s.folder, name+".ini")
	text := fmt.Sprintf("[job %s]\nteam = archive\nclass = archive-index\ntasks = %d\ncpu = 1\nmemory = 1GiB\nrun-time = %s\ncommand = index time=%s\n",
		name, tasks, runTime, runTime)
	require.NoError(s.t, os.WriteFile(file, []byte(text), 0o600))
	out, err := s.ctl(address, "apply", file)
	require.NoError(s.t, err, out)
}

func TestProcessesUnderFailure(t *testing.T) {
	s := startSystem(t, []string{"tartu", "voru"}, 2, 3)
	applyObjects(t, s)
	tartu, voru := s.dataCentres["tartu"], s.dataCentres["voru"]
	for _, g := range append(append([]string{}, tartu.gateways...), voru.gateways...) {
		s.waitFor(20*time.Second, "the gateway serves", func() bool {
			answer, _ := post(t, g, "/ledger/read", "warm-up")
			return answer.StatusCode == http.StatusOK
		})
	}
	gateways := map[string]string{}
	for _, p := range s.dataCentres {
		for i := range p.gateways {
			gateways[p.gateways[i]] = p.gatewayAdmin[i]
		}
	}

	t.Run("planned stop of a gateway cuts off no request", func(t *testing.T) {
		b := newLoadBalancer(s, gateways)
		r := runLoad(s, "sigterm", b, 3*time.Second, func() {
			time.Sleep(time.Second)
			assert.NoError(t, s.signal("tartu-gateway0", syscall.SIGTERM))
		})
		assert.Zero(t, r.Unknown, "requests cut off")
		checkRuns(t, s, r)
		s.startGateway(tartu, 0)
		s.waitFor(10*time.Second, "the gateway is back", func() bool { return s.ready(tartu.gatewayAdmin[0]) })
	})

	t.Run("kill -9 of a gateway runs no request twice", func(t *testing.T) {
		r := runLoad(s, "sigkill", nil, 2*time.Second, func() {
			time.Sleep(time.Second)
			assert.Error(t, s.signal("voru-gateway1", syscall.SIGKILL))
		})
		checkRuns(t, s, r)
		s.startGateway(voru, 1)
		s.waitFor(10*time.Second, "the gateway is back", func() bool { return s.ready(voru.gatewayAdmin[1]) })
	})

	t.Run("kill -9 of the owner: another scheduler takes over", func(t *testing.T) {
		i := s.ownerIndex(tartu)
		require.GreaterOrEqual(t, i, 0)
		operators := tartu.operators[1-i]
		s.addJob(operators, "takeover", 200, "1500ms")
		time.Sleep(500 * time.Millisecond)
		starts := s.schedulerMetrics(tartu.schedAdmin[1-i]).Starts
		killed := time.Now()
		assert.Error(t, s.signal(fmt.Sprintf("tartu-scheduler%d", i), syscall.SIGKILL))
		s.waitFor(30*time.Second, "another owner starts tasks", func() bool {
			m := s.schedulerMetrics(tartu.schedAdmin[1-i])
			return m.Owner && m.Starts > starts
		})
		// The bound of 5 s is asserted in virtual time, by TestTakeover.
		t.Logf("takeover took %s", time.Since(killed))
		s.startScheduler(tartu, i)
		out, err := s.ctl(operators, "wait", "--limit", "40s", "takeover")
		assert.NoError(t, err, out)
		checkDoneOnce(t, s, "takeover", 200)
	})

	t.Run("owner frozen for 10 s, past its epoch", func(t *testing.T) {
		s.waitFor(15*time.Second, "tartu has an owner", func() bool { return s.ownerIndex(tartu) >= 0 })
		i := s.ownerIndex(tartu)
		s.addJob(voru.operators[0], "frozen", 40, "1500ms")
		time.Sleep(500 * time.Millisecond)
		name := fmt.Sprintf("tartu-scheduler%d", i)
		require.NoError(t, s.signal(name, syscall.SIGSTOP))
		time.Sleep(10 * time.Second)
		require.NoError(t, s.signal(name, syscall.SIGCONT))
		out, err := s.ctl(voru.operators[0], "wait", "--limit", "40s", "frozen")
		assert.NoError(t, err, out)
		checkDoneOnce(t, s, "frozen", 40)
	})

	t.Run("data centre cut off from the log continues through a peer", func(t *testing.T) {
		s.put(s.logAdmin, "/faults", map[string]any{"cut-callers": []string{"tartu-host0-scheduler", "tartu-host1-scheduler"}})
		s.addJob(tartu.operators[0], "relayed", 10, "500ms")
		out, err := s.ctl(tartu.operators[1], "wait", "--limit", "20s", "relayed")
		assert.NoError(t, err, out)
		checkDoneOnce(t, s, "relayed", 10)
		s.put(s.logAdmin, "/faults", map[string]any{})
	})

	t.Run("log outage: requests and running tasks continue, processes started meanwhile serve", func(t *testing.T) {
		s.waitFor(15*time.Second, "voru has an owner", func() bool { return s.ownerIndex(voru) >= 0 })
		o := s.ownerIndex(voru)
		follower, owner := fmt.Sprintf("voru-scheduler%d", 1-o), fmt.Sprintf("voru-scheduler%d", o)
		s.put(s.logAdmin, "/faults", map[string]any{"down": true})
		// A scheduler that starts now gets its state from the owner, and is then
		// the only one that the gateway can query.
		assert.Error(t, s.signal(follower, syscall.SIGKILL))
		s.startScheduler(voru, 1-o)
		s.waitFor(20*time.Second, "the scheduler has its peer's state", func() bool {
			answer, err := http.Get("http://" + voru.schedAdmin[1-o] + "/healthz")
			if err != nil {
				return false
			}
			answer.Body.Close()
			return s.schedulerMetrics(voru.schedAdmin[1-o]).ConfigOffset > 0
		})
		assert.Error(t, s.signal(owner, syscall.SIGKILL))
		assert.NoError(t, s.signal("voru-gateway0", syscall.SIGTERM))
		s.startGateway(voru, 0)
		s.waitFor(10*time.Second, "a gateway that starts in the outage is ready", func() bool { return s.ready(voru.gatewayAdmin[0]) })
		r := runLoad(s, "outage", nil, 2*time.Second, func() {})
		assert.Equal(t, r.Sent, r.Served)
		s.put(s.logAdmin, "/faults", map[string]any{})
		s.startScheduler(voru, o)
		s.waitFor(20*time.Second, "voru has an owner again", func() bool {
			return s.ready(voru.schedAdmin[0]) && s.ready(voru.schedAdmin[1]) && s.ownerIndex(voru) >= 0
		})
		s.addJob(voru.operators[0], "after-outage", 6, "300ms")
		out, err := s.ctl(voru.operators[0], "wait", "--limit", "20s", "after-outage")
		assert.NoError(t, err, out)
	})

	t.Run("data centre taken out starts nothing and the others run its tasks", func(t *testing.T) {
		s.addJob(tartu.operators[0], "moved", 60, "1s")
		time.Sleep(time.Second)
		out, err := s.ctl(tartu.operators[0], "take-out", "--yes", "voru")
		require.NoError(t, err, out)
		takenOut := time.Now()
		out, err = s.ctl(tartu.operators[0], "wait", "--limit", "60s", "moved")
		assert.NoError(t, err, out)
		checkDoneOnce(t, s, "moved", 60)
		for _, e := range sortedJournal(s) {
			if e.Kind == string(imitator.JournalStart) && e.Time.After(takenOut.Add(3*time.Second)) {
				assert.NotContains(t, e.Worker, "voru", "started %s after", e.Time.Sub(takenOut))
			}
		}
		out, err = s.ctl(tartu.operators[0], "return", "voru")
		require.NoError(t, err, out)
	})

	checkTasks(t, s)
	m, err := s.client(voru.operators[1]).ListJobs(context.Background(), connect.NewRequest(&pb.ListJobsRequest{}))
	require.NoError(t, err)
	for _, j := range m.Msg.GetJobs() {
		assert.Equal(t, "done", j.GetState(), j.GetJob().GetName())
	}
}
