package imitator

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"briarspring"
	"briarspring/sleeper"
)

// PoolConfig holds the settings of a Pool.
type PoolConfig struct {
	Seed    uint64
	Latency time.Duration // Added to each call.
	// SimulateRun returns how long a run works and how it ends. Long-running
	// tasks get zero.
	SimulateRun func(briarspring.RunRef) (work time.Duration, end briarspring.RunEnd)
	// Spec returns the workflow and step of a task, to check invariants. The step is
	// nil for a task that was never submitted.
	Spec func(briarspring.TaskRef) (*briarspring.Workflow, *briarspring.Step)
	// CrashesWorker reports whether a task crashes each worker that starts it. If it
	// is nil, none does.
	CrashesWorker func(briarspring.TaskRef) bool
	// Interference returns by how much one core of a best-effort image raises
	// the tail latency of a serving image, as a fraction of the latter's
	// target. If it is nil, no usage is reported.
	Interference func(serving, bestEffort string) float64
	// Limit returns the limit of an organisation that its runs on all workers must stay
	// within; zero fields are no limit. It is called with the pool locked. If it is nil,
	// no limit is checked.
	Limit func(organisation string) briarspring.Resources
	// StopTime is how long a stop takes at most. The run is listed until then.
	StopTime time.Duration
	// MaxLease is the longest lease that a worker grants; zero for defaultMaxLease.
	MaxLease time.Duration
}

// defaultMaxListedEnds is the number of ends in a reply to a lease renewal, as on
// the platform, unless SetMaxListedEnds changes it.
const defaultMaxListedEnds = 500

// Pool is a stand-in for workers that run tasks under leases. It tracks all runs
// and records violations of the scheduler's invariants.
type Pool struct {
	config PoolConfig

	mu             sync.Mutex
	random         *rand.Rand
	workers        map[string]*poolWorker
	cut            map[[2]string]bool // By caller and worker.
	lateShare      float64            // Share of orders that get no answer and are carried out late.
	lostShare      float64            // Share of calls that are carried out and get no answer.
	violations     []string
	acknowledgedAt map[briarspring.TaskRef]time.Time // When a successful end was acknowledged.
	lastStart      map[briarspring.TaskRef]taskStart
	failures       map[briarspring.TaskRef]int
	crashes        map[briarspring.TaskRef]crashCount
	finished       map[briarspring.TaskRef]bool // Tasks with a run that ended as RunDone.
	started        map[briarspring.WorkflowID]bool
	counts         PoolCounts
	maxListedEnds  int
	lateEnds       time.Duration // How long after its run an end is listed, at most.
	heldCalls      bool          // Calls to a worker that is down reach its next process.
}

// taskStart is the last start of a task.
type taskStart struct {
	run    uint32
	worker string
	at     time.Time
}

// PoolCounts are the event counters of a pool's workers.
type PoolCounts struct {
	Starts          int // Runs started.
	PaceChanges     int // Orders that set the speed of a run.
	TailReports     int // Reports of a long-running task's tail latency.
	TailsOverTarget int // Reports of a tail latency above its target.
}

type poolWorker struct {
	entry           briarspring.WorkerEntry
	up              bool
	replaced        bool // Another worker has its address.
	startedAt       time.Time
	incarnation     int
	token           uint64
	leaseEnd        time.Duration
	runs            map[briarspring.RunRef]*poolRun
	ended           []briarspring.EndedTask
	listedFrom      []time.Time // When each of ended is listed.
	endedAt         []time.Time // When each of ended happened.
	lastEndNumber   uint64
	unackedAtExpiry uint64 // Last end number when the lease expired; see acknowledge.
	highestRun      map[briarspring.TaskRef]uint32
	changed         chan struct{}
}

// NewPool returns a pool without workers.
func NewPool(c PoolConfig) *Pool {
	if c.MaxLease == 0 {
		c.MaxLease = defaultMaxLease
	}
	return &Pool{
		config: c, random: rand.New(rand.NewPCG(c.Seed, c.Seed+1)), workers: map[string]*poolWorker{},
		cut: map[[2]string]bool{}, acknowledgedAt: map[briarspring.TaskRef]time.Time{}, lastStart: map[briarspring.TaskRef]taskStart{}, failures: map[briarspring.TaskRef]int{},
		crashes: map[briarspring.TaskRef]crashCount{}, maxListedEnds: defaultMaxListedEnds,
		finished: map[briarspring.TaskRef]bool{}, started: map[briarspring.WorkflowID]bool{},
	}
}

// Add adds a worker and starts it. Its address is its ID.
func (p *Pool) Add(e briarspring.WorkerEntry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e.Address = e.ID
	w := &poolWorker{entry: e}
	p.workers[e.ID] = w
	p.startWorker(w)
}

func (p *Pool) startWorker(w *poolWorker) {
	w.up = true
	w.incarnation++
	w.startedAt = time.Now()
	w.entry.StartedAt = w.startedAt.UnixMilli()
	w.token, w.leaseEnd, w.lastEndNumber, w.unackedAtExpiry = 0, 0, 0, 0
	w.runs = map[briarspring.RunRef]*poolRun{}
	w.highestRun = map[briarspring.TaskRef]uint32{}
	w.ended, w.listedFrom, w.endedAt = nil, nil, nil
	w.changed = make(chan struct{})
}

// Entries returns the entries of the workers that are up, sorted by ID.
func (p *Pool) Entries() []briarspring.WorkerEntry {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []briarspring.WorkerEntry
	for _, w := range p.workers {
		if w.up {
			list = append(list, w.entry)
		}
	}
	slices.SortFunc(list, func(a, b briarspring.WorkerEntry) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// Violations returns the violated invariants so far.
func (p *Pool) Violations() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.violations)
}

// Running returns the number of live runs of a task.
func (p *Pool) Running(t briarspring.TaskRef) int { return len(p.LiveRuns(t)) }

// LiveRuns returns the live runs of a task, each as worker and run number.
func (p *Pool) LiveRuns(t briarspring.TaskRef) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []string
	for id, w := range p.workers {
		for ref := range w.runs {
			if ref.Task == t {
				list = append(list, fmt.Sprintf("%s (run %d)", id, ref.Run))
			}
		}
	}
	slices.Sort(list)
	return list
}

// Finished reports whether a run of a task has ended as RunDone.
func (p *Pool) Finished(t briarspring.TaskRef) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.finished[t]
}

// Failures returns how many runs of a task have failed.
func (p *Pool) Failures(t briarspring.TaskRef) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.failures[t]
}

// Started reports whether any task of a workflow has started.
func (p *Pool) Started(id briarspring.WorkflowID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.started[id]
}

// RunsOn reports whether a worker has a live run of a task.
func (p *Pool) RunsOn(id string, t briarspring.TaskRef) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for ref := range p.workers[id].runs {
		if ref.Task == t {
			return true
		}
	}
	return false
}

// Starts returns the number of runs started so far.
func (p *Pool) Starts() int { return p.Counts().Starts }

// Counts returns the event counters so far.
func (p *Pool) Counts() PoolCounts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// Client returns the named caller's access to the workers.
func (p *Pool) Client(caller string) *PoolClient { return &PoolClient{pool: p, caller: caller} }

// PoolClient is one caller's access to a Pool.
type PoolClient struct {
	pool   *Pool
	caller string
}

func (w *poolWorker) clock() time.Duration { return time.Since(w.startedAt) }

// defaultMaxLease is the longest lease that a worker grants, unless the configuration has
// another one.
const defaultMaxLease = 6 * time.Second

// connect waits for the latency and returns the worker. When the worker is down
// or cut off, it waits until ctx ends and returns a *NoAnswerError, unless calls are held
// for the worker's next process. When another one has its address, it returns an
// *OrderRefusedError.
func (c *PoolClient) connect(ctx context.Context, id string) (*poolWorker, error) {
	if err := sleeper.For(ctx, c.pool.config.Latency); err != nil {
		return nil, &briarspring.NoAnswerError{Call: "order", Cause: err}
	}
	c.pool.mu.Lock()
	w := c.pool.workers[id]
	cut := c.pool.cut[[2]string{c.caller, id}]
	replaced := w != nil && w.replaced && !cut
	blocked := w == nil || !w.up || cut
	c.pool.mu.Unlock()
	if replaced {
		return nil, refused(briarspring.VerdictOtherIncarnation)
	}
	if blocked && (w == nil || cut || !c.pool.awaitRestart(ctx, w)) {
		<-ctx.Done()
		return nil, &briarspring.NoAnswerError{Call: "order", Cause: ctx.Err()}
	}
	return w, nil
}

// A late order is carried out 2 to 12 s after it was sent, as on the platform.
const (
	lateOrderAfter  = 2 * time.Second
	lateOrderSpread = 10 * time.Second
)

// sendOrder carries out an order: at once, or, for the share set by
// SetLateOrderShare, seconds later and without an answer.
func (c *PoolClient) sendOrder(ctx context.Context, id string, order func(*poolWorker) error) error {
	w, err := c.connect(ctx, id)
	if err != nil {
		return err
	}
	p := c.pool
	p.mu.Lock()
	late := p.random.Float64() < p.lateShare
	delay := lateOrderAfter + time.Duration(p.random.Int64N(int64(lateOrderSpread)))
	incarnation := w.incarnation
	if !late {
		err, lost := order(w), p.answerLost()
		p.mu.Unlock()
		if lost {
			<-ctx.Done()
			return &briarspring.NoAnswerError{Call: "order", Cause: ctx.Err()}
		}
		return err
	}
	p.mu.Unlock()
	go func() {
		time.Sleep(delay)
		p.mu.Lock()
		defer p.mu.Unlock()
		// A worker that restarts loses the orders it has received, unless the network held them.
		if w.up && (w.incarnation == incarnation || p.heldCalls) {
			_ = order(w)
		}
	}()
	<-ctx.Done()
	return &briarspring.NoAnswerError{Call: "order", Cause: ctx.Err()}
}

func refused(v briarspring.Verdict) error { return &briarspring.OrderRefusedError{Verdict: v} }

// rejectsToken reports whether an order comes from a replaced owner. Otherwise it
// stores the token.
func (w *poolWorker) rejectsToken(token uint64) bool {
	if token < w.token {
		return true
	}
	w.token = token
	return false
}

// Start starts a run.
func (c *PoolClient) Start(ctx context.Context, _, id string, o briarspring.StartOrder) (time.Duration, error) {
	var clock atomic.Int64
	err := c.sendOrder(ctx, id, func(w *poolWorker) error {
		clock.Store(int64(w.clock()))
		return c.pool.startRun(w, o)
	})
	if briarspring.VerdictOf(err) == briarspring.VerdictUnanswered {
		return 0, err
	}
	return time.Duration(clock.Load()), err
}

func (p *Pool) startRun(w *poolWorker, o briarspring.StartOrder) error {
	p.enforceLease(w)
	switch {
	case w.rejectsToken(o.Token):
		return refused(briarspring.VerdictSuperseded)
	case w.clock() > o.Until:
		return refused(briarspring.VerdictExpired)
	case w.runs[o.Run] != nil:
		return nil
	case o.Run.Run <= w.highestRun[o.Run.Task]:
		return refused(briarspring.VerdictStaleRun)
	}
	p.renewLease(w, o.Until)
	p.checkStart(w, o.Run)
	p.lastStart[o.Run.Task] = taskStart{run: o.Run.Run, worker: w.entry.ID, at: time.Now()}
	p.counts.Starts++
	p.started[o.Run.Task.Workflow] = true
	work, outcome := p.config.SimulateRun(o.Run)
	_, step := p.config.Spec(o.Run.Task)
	r := newPoolRun(o.Checkpoint, work, step)
	w.runs[o.Run] = r
	incarnation := w.incarnation
	r.finish = func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.enforceLease(w)
		if w.runs[o.Run] == r && w.up && w.incarnation == incarnation && r.isDone() {
			p.endRun(w, o.Run, outcome, "")
		}
	}
	p.beginWork(w, o.Run, r)
	p.crashAfterStart(w, o.Run)
	return nil
}

// Stop ends a run, or prevents it from starting later.
func (c *PoolClient) Stop(ctx context.Context, _, id string, o briarspring.StopOrder) error {
	return c.sendOrder(ctx, id, func(w *poolWorker) error {
		p := c.pool
		p.enforceLease(w)
		if w.rejectsToken(o.Token) {
			return refused(briarspring.VerdictSuperseded)
		}
		w.highestRun[o.Run.Task] = max(w.highestRun[o.Run.Task], o.Run.Run)
		p.stopRun(w, o.Run)
		return nil
	})
}

// stopRun ends a run after a part of the stop time.
func (p *Pool) stopRun(w *poolWorker, ref briarspring.RunRef) {
	r := w.runs[ref]
	delay := p.randomTime(p.config.StopTime)
	if r == nil || delay == 0 {
		if r != nil {
			p.endRun(w, ref, briarspring.RunStopped, "stopped")
		}
		return
	}
	time.AfterFunc(delay, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if w.runs[ref] == r {
			p.endRun(w, ref, briarspring.RunStopped, "stopped")
		}
	})
}

// Pace sets the speed of a run.
func (c *PoolClient) Pace(ctx context.Context, _, id string, o briarspring.PaceOrder) error {
	return c.sendOrder(ctx, id, func(w *poolWorker) error {
		if w.rejectsToken(o.Token) {
			return refused(briarspring.VerdictSuperseded)
		}
		if r := w.runs[o.Run]; r != nil {
			r.setPace(o.Percent)
			c.pool.counts.PaceChanges++
		}
		return nil
	})
}
