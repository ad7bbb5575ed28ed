package assembler_test

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"briarspring"
	"briarspring/admitter"
	"briarspring/assembler"
	"briarspring/imitator"
	"briarspring/launcher"
	"briarspring/registrar"
)

var lines = flag.Bool("lines", false, "print the hosts' log lines")

// fleet is a system in virtual time: hosts in several data centres, a simulated
// platform, and the workflows that were submitted.
type fleet struct {
	t         *testing.T
	store     *imitator.KeyedStore
	pool      *imitator.Pool
	centres   []string
	publisher *imitator.EntryPublisher
	size      fleetSize
	stop      context.CancelFunc
	began     time.Time

	mu         sync.Mutex
	workflows  map[briarspring.WorkflowID]*briarspring.Workflow
	failing    map[briarspring.TaskRef]int                                  // Number of runs that fail before one succeeds.
	lasting    func(briarspring.RunRef) (time.Duration, briarspring.RunEnd) // Of long-running tasks; nil if they don't end by themselves.
	crashing   map[briarspring.WorkflowID]bool                              // Their first task crashes each worker that starts it.
	hosts      map[string]*testHost
	limit      func(organisation string) briarspring.Resources // Checked at each start; set before the first one, or nil.
	onStart    func(host string, run briarspring.RunRef)       // Called when a worker has accepted a start; may be nil.
	numbers    map[string]int                                  // Of the machines that replaced others for good, by the name of the first one.
	hostStarts int
	goroutines sync.WaitGroup
}

// testHost is one process of a host.
type testHost struct {
	name   string
	centre string
	caller string
	intake *admitter.Admitter
	cancel context.CancelFunc
	done   chan struct{}

	leaving bool // The process is being replaced.
}

// directoryRecord returns a directory with testQueue, and from version 2 on with
// a second queue.
func directoryRecord(t *testing.T, version uint64) briarspring.KeyedRecord {
	d := briarspring.Directory{Version: version, Queues: []briarspring.Queue{testQueue}}
	if version > 1 {
		d.Queues = append(d.Queues, briarspring.Queue{Name: "added", Host: testQueue.Host, Prefix: "/added/", Service: "ledger"})
	}
	r, err := imitator.DirectoryRecord(d)
	require.NoError(t, err)
	return r
}

func workerEntry(id, centre string, cpu, startedAt int64) briarspring.WorkerEntry {
	return briarspring.WorkerEntry{
		ID: id, Address: id, Service: "ledger", DataCentre: centre, Rack: "r1", StartedAt: startedAt,
		Capacity: briarspring.NewResources(briarspring.ResourcesConfig{MilliCPU: cpu, MemoryMiB: 64000}),
	}
}

var testQueue = briarspring.Queue{
	Name: "urgent", Host: "ledger.example", Prefix: "/urgent/", Service: "ledger", MaxAttempts: 3, Stretch: 1.5,
	Allowance: 250 * time.Millisecond,
}

const (
	workersPerCentre = 4
	hostsPerCentre   = 2
	workerCPU        = 8000
)

// fleetSize is the size of a fleet's data centres.
type fleetSize struct {
	workers int             // In each data centre.
	hosts   int             // In each data centre.
	cpu     func(i int) int // Millicores of a data centre's host.
	revoke  time.Duration   // Time of revocation in the hosts' settings; zero for none.
	lease   time.Duration   // Longest lease that workers grant; zero for 6 s.
}

// maxLease returns the longest lease that workers grant.
func (s fleetSize) maxLease() time.Duration {
	if s.lease == 0 {
		return 6 * time.Second
	}
	return s.lease
}

var smallFleet = fleetSize{workers: workersPerCentre, hosts: hostsPerCentre, cpu: func(int) int { return 160 }}

// newFleet starts data centres with a few hosts and workers, and waits until
// they have owners.
func newFleet(t *testing.T, seed uint64, centres ...string) *fleet {
	return newSizedFleet(t, seed, smallFleet, centres...)
}

func newSizedFleet(t *testing.T, seed uint64, size fleetSize, centres ...string) *fleet {
	ctx, cancel := context.WithCancel(t.Context())
	f := &fleet{
		t: t, store: imitator.NewKeyedStore(seed), centres: centres, size: size, stop: cancel, began: time.Now(),
		workflows: map[briarspring.WorkflowID]*briarspring.Workflow{}, failing: map[briarspring.TaskRef]int{},
		crashing: map[briarspring.WorkflowID]bool{},
		hosts:    map[string]*testHost{},
		numbers:  map[string]int{},
	}
	f.pool = imitator.NewPool(imitator.PoolConfig{
		Seed: seed, Latency: time.Millisecond, SimulateRun: f.runOutcome, Spec: f.spec, CrashesWorker: f.crashesWorker,
		StopTime: 200 * time.Millisecond, Limit: f.limitOf, MaxLease: size.maxLease(),
	})
	f.store.SetFaults(imitator.KeyedFaults{Latency: 5 * time.Millisecond})
	f.store.Put(briarspring.DirectoryStream, directoryRecord(t, 1))
	for _, centre := range centres {
		for i := range f.size.workers {
			f.pool.Add(workerEntry(fmt.Sprintf("worker-%s-%d", centre, i), centre, workerCPU, 0))
		}
		for i := range f.size.hosts {
			f.start(centre, i)
		}
	}
	f.publisher = imitator.NewEntryPublisher(imitator.EntryPublisherConfig{Pool: f.pool, Store: f.store})
	f.goroutines.Go(func() { f.publisher.Run(ctx) })
	time.Sleep(3 * time.Second)
	return f
}

// runOutcome returns how long a run takes and how it ends. Short runs take their
// estimate, and long-running ones don't end.
func (f *fleet) runOutcome(r briarspring.RunRef) (time.Duration, briarspring.RunEnd) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workflows[r.Task.Workflow]
	if w == nil || w.Steps[r.Task.Step].LongRunning {
		if w == nil || f.lasting == nil {
			return 0, briarspring.RunDone
		}
		return f.lasting(r)
	}
	if f.failing[r.Task] > 0 {
		f.failing[r.Task]--
		return 100 * time.Millisecond, briarspring.RunFailed
	}
	return w.Steps[r.Task.Step].Estimate, briarspring.RunDone
}

// limitOf returns the limit that an organisation must stay within; zero is none.
func (f *fleet) limitOf(organisation string) briarspring.Resources {
	if f.limit == nil {
		return briarspring.Resources{}
	}
	return f.limit(organisation)
}

func (f *fleet) crashesWorker(t briarspring.TaskRef) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.crashing[t.Workflow] && t.Step == 0 && t.Index == 0
}

func (f *fleet) spec(t briarspring.TaskRef) (*briarspring.Workflow, *briarspring.Step) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workflows[t.Workflow]
	if w == nil {
		return nil, nil
	}
	return w, &w.Steps[t.Step]
}

// start starts a new process of a host.
func (f *fleet) start(centre string, number int) *testHost {
	ctx, cancel := context.WithCancel(f.t.Context())
	f.mu.Lock()
	f.hostStarts++
	serial := f.hostStarts
	f.mu.Unlock()
	name := fmt.Sprintf("host-%s-%d", centre, number)
	h := &testHost{
		name: name, centre: centre, caller: fmt.Sprintf("%s#%d", name, serial), cancel: cancel, done: make(chan struct{}),
	}
	var l *launcher.Launcher
	l, h.intake = assembler.NewHostCore(assembler.HostConfig{
		Host: name, DataCentre: centre, DataCentres: f.centres, MilliCPU: f.size.cpu(number), MaxLease: f.size.maxLease(), StopTime: 3 * time.Second,
		FinalRetention: 120 * time.Second, MaxRecordBytes: imitator.MaxRecordBytes, RevokeTime: f.size.revoke,
		Store: f.store.Client(h.caller), Workers: &watchedWorkers{PoolClient: f.pool.Client(h.caller), fleet: f, host: name}, Decoder: imitator.Decoder{},
		Now: func() time.Duration { return time.Since(f.began) }, Logger: f.logger(h),
	})
	f.mu.Lock()
	f.hosts[name] = h
	f.mu.Unlock()
	go func() {
		defer close(h.done)
		l.Run(ctx)
	}()
	return h
}

// logger returns a logger that prints a host's log lines if -lines is set.
func (f *fleet) logger(h *testHost) hclog.Logger {
	if !*lines {
		return hclog.NewNullLogger()
	}
	return hclog.New(&hclog.LoggerOptions{
		Name: h.caller, Level: hclog.Debug, Output: os.Stdout,
		TimeFn: func() time.Time { return time.Time{}.Add(time.Since(f.began)) }, TimeFormat: "04:05.000",
	})
}

// cutOff partitions a host from the store, the workers or both, or ends the
// partition if cut is false.
func (f *fleet) cutOff(h *testHost, store, workers, cut bool) {
	if store {
		f.store.Cut(h.caller, cut)
	}
	if !workers {
		return
	}
	for _, centre := range f.centres {
		for i := range f.size.workers {
			f.pool.Cut(h.caller, fmt.Sprintf("worker-%s-%d", centre, i), cut)
		}
	}
}

// kill ends a host's process without a planned stop, and starts a new one after
// the down time.
func (f *fleet) kill(h *testHost, down time.Duration) {
	f.cutOff(h, true, true, true)
	h.cancel()
	time.Sleep(down)
	var number int
	_, err := fmt.Sscanf(h.name, "host-"+h.centre+"-%d", &number)
	require.NoError(f.t, err)
	f.start(h.centre, number)
}

// remove ends a host's process for good.
func (f *fleet) remove(h *testHost) {
	f.cutOff(h, true, true, true)
	h.cancel()
}

// owner returns the host that owns a data centre, according to the first host.
func (f *fleet) owner(centre string) *testHost {
	var name string
	f.host(f.centres[0], 0).intake.ReadRegistry(func(r *registrar.Registry) { name = r.Claim(centre).Owner })
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.hosts[name]
}

// workerOf returns a worker that runs tasks of a workflow.
func (f *fleet) workerOf(id briarspring.WorkflowID) string {
	for _, e := range f.pool.Entries() {
		if f.pool.RunsOn(e.ID, briarspring.TaskRef{Workflow: id}) {
			return e.ID
		}
	}
	return ""
}

// newest returns the newest record of a key.
func (f *fleet) newest(stream, key string) briarspring.KeyedRecord {
	page, _, err := f.store.Client("test").Newest(f.t.Context(), stream, "")
	require.NoError(f.t, err)
	i := slices.IndexFunc(page.Records, func(r briarspring.KeyedRecord) bool { return r.Key == key })
	require.GreaterOrEqual(f.t, i, 0)
	return page.Records[i]
}

// host returns the current process of a host.
func (f *fleet) host(centre string, number int) *testHost {
	f.mu.Lock()
	defer f.mu.Unlock()
	name := fmt.Sprintf("host-%s-%d", centre, number)
	if replaced, ok := f.numbers[name]; ok {
		name = fmt.Sprintf("host-%s-%d", centre, replaced)
	}
	return f.hosts[name]
}

// replaceForGood removes a host's machine and starts another one after the down time.
func (f *fleet) replaceForGood(centre string, number int, down time.Duration) {
	h := f.host(centre, number)
	f.remove(h)
	time.Sleep(down)
	f.mu.Lock()
	next := 100 + f.hostStarts
	f.numbers[fmt.Sprintf("host-%s-%d", centre, number)] = next
	f.mu.Unlock()
	f.start(centre, next)
}

// submit submits a workflow at one host after the other until one accepts it.
func (f *fleet) submit(id briarspring.WorkflowID, steps ...briarspring.Step) bool {
	return f.submitRecurring(id, briarspring.Recurrence{}, steps...)
}

func (f *fleet) submitRecurring(id briarspring.WorkflowID, r briarspring.Recurrence, steps ...briarspring.Step) bool {
	f.mu.Lock()
	f.workflows[id] = &briarspring.Workflow{ID: id, Steps: steps, MaxAttempts: testQueue.MaxAttempts, Recurrence: r}
	f.mu.Unlock()
	for try := range 6 {
		f.mu.Lock()
		names := slices.Sorted(maps.Keys(f.hosts))
		h := f.hosts[names[(int(id[len(id)-1])+try)%len(names)]]
		f.mu.Unlock()
		ctx, cancel := context.WithTimeout(f.t.Context(), submitTimeout)
		err := h.intake.Submit(ctx, testQueue, &briarspring.Workflow{ID: id, Steps: slices.Clone(steps), Recurrence: r})
		cancel()
		if err == nil {
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

// phase returns a workflow's phase according to the first host, or queued if the
// host does not know the workflow or returns an error.
func (f *fleet) phase(id briarspring.WorkflowID) briarspring.Phase {
	phase, _, err := f.host(f.centres[0], 0).intake.Phase(f.t.Context(), id)
	if err != nil {
		return briarspring.PhaseQueued
	}
	return phase
}

// centreOf returns the data centre in which the first task of a workflow runs.
func (f *fleet) centreOf(id briarspring.WorkflowID) string {
	for _, e := range f.pool.Entries() {
		if f.pool.RunsOn(e.ID, briarspring.TaskRef{Workflow: id}) {
			return e.DataCentre
		}
	}
	return ""
}

// end stops everything, so that the synctest bubble can exit.
func (f *fleet) end() {
	f.stop()
	f.goroutines.Wait()
	for _, h := range f.hosts {
		f.cutOff(h, true, true, true)
		h.cancel()
	}
	for _, h := range f.hosts {
		<-h.done
	}
	time.Sleep(20 * time.Second)
}

// assertNoViolations checks that the workers observed no broken invariant.
func assertNoViolations(t *testing.T, f *fleet) {
	t.Helper()
	assert.Empty(t, f.pool.Violations())
}

// assertPhase waits until a workflow reaches a phase.
func assertPhase(t *testing.T, f *fleet, id briarspring.WorkflowID, want briarspring.Phase, within time.Duration) {
	t.Helper()
	deadline := time.Now().Add(within)
	for f.phase(id) != want && time.Now().Before(deadline) {
		time.Sleep(20 * time.Millisecond)
	}
	assert.Equal(t, want, f.phase(id), "phase of %s after %s", id, within)
}

// assertRunning waits until every task of a long-running workflow has exactly one
// running instance.
func assertRunning(t *testing.T, f *fleet, id briarspring.WorkflowID, within time.Duration) {
	t.Helper()
	deadline := time.Now().Add(within)
	tasks := f.workflows[id].Steps[0].Tasks
	missing := func() int {
		n := 0
		for i := range tasks {
			if f.pool.Running(briarspring.TaskRef{Workflow: id, Index: i}) != 1 {
				n++
			}
		}
		return n
	}
	for missing() > 0 && time.Now().Before(deadline) {
		time.Sleep(20 * time.Millisecond)
	}
	assert.Zero(t, missing(), "tasks of %s that don't run after %s", id, within)
}

func cores(n int64) briarspring.Resources {
	return briarspring.NewResources(briarspring.ResourcesConfig{MilliCPU: n, MemoryMiB: 1000})
}

func shortStep(tasks int, after ...int) briarspring.Step {
	return briarspring.Step{Tasks: tasks, Resources: cores(1000), Estimate: 800 * time.Millisecond, After: after}
}

func longRunningStep(tasks int) briarspring.Step {
	return briarspring.Step{Tasks: tasks, Resources: cores(2000), LongRunning: true, Image: "watch"}
}

func inVirtualTime(t *testing.T, name string, test func(t *testing.T, f *fleet), centres ...string) {
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, 1, centres...)
			defer f.end()
			test(t, f)
		})
	})
}
