package scheduler_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"briarspring"
	"briarspring/applier"
	"briarspring/imitator"
	"briarspring/scheduler"
)

// cluster runs schedulers against a simulated log, hosts and workers in virtual
// time.
type cluster struct {
	t          *testing.T
	ctx        context.Context
	log        *imitator.Log
	hosts      *imitator.Hosts
	journal    *imitator.Journal
	fleets     map[string]*imitator.Fleet
	schedulers map[string]*scheduler.Scheduler
	cancels    map[string]context.CancelFunc
	requests   int
}

func newCluster(t *testing.T, c imitator.LogConfig) *cluster {
	ctx, cancel := context.WithCancel(t.Context())
	cl := &cluster{
		t: t, ctx: ctx,
		log: imitator.NewLog(c), hosts: imitator.NewHosts(time.Second), journal: &imitator.Journal{},
		fleets:     map[string]*imitator.Fleet{},
		schedulers: map[string]*scheduler.Scheduler{},
		cancels:    map[string]context.CancelFunc{},
	}
	cl.log.SetFaults(imitator.LogFaults{Latency: 5 * time.Millisecond})
	t.Cleanup(func() {
		cancel()
		for _, s := range cl.schedulers {
			<-s.Done()
		}
		for _, f := range cl.fleets {
			for _, name := range f.Names() {
				f.Worker(name).Close()
			}
		}
	})
	return cl
}

var workerSize = briarspring.NewResources(briarspring.ResourcesConfig{MilliCPU: 16000, MemoryMiB: 60000, Accelerators: 2})

func (cl *cluster) addWorkers(dataCentre string, n int) {
	f := cl.fleets[dataCentre]
	if f == nil {
		f = imitator.NewFleet(1)
		cl.fleets[dataCentre] = f
	}
	for i := range n {
		name := fmt.Sprintf("%s-w%02d", dataCentre, i)
		cl.putWorker(dataCentre, name, fmt.Sprintf("%s-r%d", dataCentre, i/8), 1)
	}
}

func (cl *cluster) putWorker(dataCentre, name, rack string, incarnation uint64) *imitator.Worker {
	w := imitator.NewWorker(imitator.WorkerConfig{
		Name: name, Rack: rack, Capacity: workerSize, Incarnation: incarnation,
		ClockOffset:    time.Duration(len(cl.fleets[dataCentre].Names())) * time.Hour,
		CheckpointTime: 50 * time.Millisecond, ReportInterval: time.Second, ReportLag: 2 * time.Second,
		Journal: cl.journal,
	})
	cl.fleets[dataCentre].Put(w)
	cl.hosts.Put(briarspring.Host{Name: name, DataCentre: dataCentre, Rack: rack, Address: name})
	return w
}

// start runs a scheduler until kill or the end of the test.
func (cl *cluster) start(dataCentre, name string, change ...func(*scheduler.Config)) *scheduler.Scheduler {
	c := scheduler.Config{
		Name: name, DataCentre: dataCentre,
		Log: cl.log.Client(name), Workers: cl.fleets[dataCentre].Client(name), Hosts: cl.hosts,
	}
	if testing.Verbose() {
		c.Logger = hclog.New(&hclog.LoggerOptions{Name: name, Level: hclog.Info})
	}
	for _, f := range change {
		f(&c)
	}
	s := scheduler.New(c)
	ctx, cancel := context.WithCancel(cl.ctx)
	cl.schedulers[name] = s
	cl.cancels[name] = cancel
	go s.Run(ctx)
	return s
}

// kill stops a scheduler without letting it resign.
func (cl *cluster) kill(name string) {
	cl.cancels[name]()
	<-cl.schedulers[name].Done()
}

func (cl *cluster) submit(s *scheduler.Scheduler, expected uint64, change briarspring.Change) applier.Answer {
	cl.t.Helper()
	cl.requests++
	ctx, cancel := context.WithTimeout(cl.ctx, time.Minute)
	defer cancel()
	a, err := s.Submit(ctx, briarspring.Command{
		RequestID: fmt.Sprintf("request-%d", cl.requests), ExpectedVersion: expected, Change: change,
	})
	require.NoError(cl.t, err)
	return a
}

func cpu(cores int64) briarspring.Resources {
	return briarspring.NewResources(briarspring.ResourcesConfig{MilliCPU: cores * 1000, MemoryMiB: cores * 1000})
}

func ledger(t *testing.T, executors uint32) briarspring.PutService {
	s, err := briarspring.NewService(briarspring.ServiceConfig{
		Name: "ledger", Team: "counter", Prefix: "/ledger/", Resources: cpu(4), Executors: executors,
		Slots: 8, Connections: 64, Command: "read time=20ms",
	})
	require.NoError(t, err)
	return briarspring.PutService{Service: s}
}

func archive(t *testing.T, name string, tasks uint32, command string) briarspring.PutJob {
	j, err := briarspring.NewJob(briarspring.JobConfig{
		Name: name, Team: "archive", Class: "archive-index", Tasks: tasks, Resources: cpu(4), Weight: 10,
		RunTime: 2 * time.Second, Command: command, MaxTries: 3,
	})
	require.NoError(t, err)
	return briarspring.PutJob{Job: j}
}

// eventually polls a condition on the states in virtual time until it holds, and
// returns how long that took.
func (cl *cluster) eventually(s *scheduler.Scheduler, within time.Duration, what string,
	condition func(conf *applier.Config, placement *applier.Placement) bool) time.Duration {
	cl.t.Helper()
	begin := time.Now()
	for time.Since(begin) < within {
		ok := false
		s.ReadStates(func(conf *applier.Config, placement *applier.Placement) { ok = condition(conf, placement) })
		if ok {
			return time.Since(begin)
		}
		time.Sleep(20 * time.Millisecond)
	}
	require.Fail(cl.t, "did not happen in time", "%s within %s", what, within)
	return 0
}

func jobDone(name string) func(*applier.Config, *applier.Placement) bool {
	return func(conf *applier.Config, _ *applier.Placement) bool {
		w := conf.Job(name)
		return w != nil && w.Finished()
	}
}

func running(name string, n uint32) func(*applier.Config, *applier.Placement) bool {
	return func(conf *applier.Config, placement *applier.Placement) bool {
		w := conf.Service(name)
		if w == nil {
			w = conf.Job(name)
		}
		if w == nil {
			return false
		}
		l := placement.Workload(w.ID())
		return l != nil && l.Placed() >= n
	}
}

func TestServiceAndJobShareWorkers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, imitator.LogConfig{AppendsPerSecond: 300})
		cl.addWorkers("tartu", 4)
		s := cl.start("tartu", "tartu-s1")
		cl.eventually(s, 10*time.Second, "workers joined", func(conf *applier.Config, placement *applier.Placement) bool {
			return len(placement.Workers()) == 4 && conf.DataCentre("tartu") != nil
		})
		require.NoError(t, cl.submit(s, 0, ledger(t, 4)).Err)
		require.NoError(t, cl.submit(s, 0, archive(t, "index", 40, "index time=1s")).Err)
		cl.eventually(s, 2*time.Second, "executors placed", running("ledger", 4))
		cl.eventually(s, 30*time.Second, "job done", jobDone("index"))
		checkJournal(t, cl.journal.Entries())
	})
}
