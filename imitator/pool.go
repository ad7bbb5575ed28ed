package imitator

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"briarspring"
	"briarspring/sleeper"
)

// PoolConfig holds the settings of a Pool.
type PoolConfig struct {
	Seed    uint64
	Latency time.Duration // Of a call.
	// Plan tells how long a run works and how it ends. Lasting tasks get zero.
	Plan func(briarspring.RunRef) (work time.Duration, end briarspring.RunEnd)
	// Spec returns the step of a task, for the account of what must hold.
	Spec func(briarspring.TaskRef) (*briarspring.Workflow, *briarspring.Step)
	// Press returns by how much one core of an image that fills raises the tail of
	// an image that serves, as a share of its target. Nil reports no tails.
	Press func(serving, filling string) float64
}

// Pool is a stand-in for workers that run tasks under leases. It keeps an
// account of all runs and notes what must never happen.
type Pool struct {
	config PoolConfig

	mu       sync.Mutex
	random   *rand.Rand
	workers  map[string]*poolWorker
	cut      map[[2]string]bool // Caller and worker.
	loose    float64            // Share of orders without an answer that are carried out late.
	broken   []string
	done     map[briarspring.TaskRef]time.Time // When the end was acknowledged.
	failures map[briarspring.TaskRef]int
	finished map[briarspring.TaskRef]bool // Tasks of which a run has ended done.
	started  map[briarspring.WorkflowID]bool
	account  PoolAccount
}

// PoolAccount counts what a pool's workers saw.
type PoolAccount struct {
	Starts   int // Runs that began.
	Paces    int // Orders that changed the speed of a run.
	Readings int // Tails of lasting tasks that were reported.
	Over     int // Those above their target.
}

type poolWorker struct {
	entry   briarspring.WorkerEntry
	up      bool
	began   time.Time
	life    int
	token   uint64
	until   time.Duration
	runs    map[briarspring.RunRef]*poolRun
	ended   []briarspring.EndedTask
	number  uint64
	unheard uint64 // Ends up to this number were not acknowledged when the lease ended.
	highest map[briarspring.TaskRef]uint32
	changed chan struct{}
}

// NewPool returns a pool without workers.
func NewPool(c PoolConfig) *Pool {
	return &Pool{
		config: c, random: rand.New(rand.NewPCG(c.Seed, c.Seed+1)), workers: map[string]*poolWorker{},
		cut: map[[2]string]bool{}, done: map[briarspring.TaskRef]time.Time{}, failures: map[briarspring.TaskRef]int{},
		finished: map[briarspring.TaskRef]bool{}, started: map[briarspring.WorkflowID]bool{},
	}
}

// Add starts a worker; its address is its ID.
func (p *Pool) Add(e briarspring.WorkerEntry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e.Address = e.ID
	w := &poolWorker{entry: e}
	p.workers[e.ID] = w
	p.begin(w)
}

func (p *Pool) begin(w *poolWorker) {
	w.up = true
	w.life++
	w.began = time.Now()
	w.entry.Born = w.began.UnixMilli()
	w.token, w.until, w.number, w.unheard = 0, 0, 0, 0
	w.runs = map[briarspring.RunRef]*poolRun{}
	w.highest = map[briarspring.TaskRef]uint32{}
	w.ended = nil
	w.changed = make(chan struct{})
}

// Crash ends a worker's life; everything that ran there is gone.
func (p *Pool) Crash(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w := p.workers[id]
	gone := w.runs
	w.up = false
	w.life++
	w.runs = map[briarspring.RunRef]*poolRun{}
	for ref, r := range gone {
		p.part(ref, r, briarspring.RunLapsed)
	}
	w.ended = nil
	close(w.changed)
	w.changed = make(chan struct{})
}

// Restart begins a new life of a crashed worker.
func (p *Pool) Restart(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if w := p.workers[id]; !w.up {
		p.begin(w)
	}
}

// Cut cuts the path of a caller to a worker, or mends it.
func (p *Pool) Cut(caller, worker string, cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut[[2]string{caller, worker}] = cut
}

// LoseOrders makes a share of the orders go without an answer and be carried
// out seconds later.
func (p *Pool) LoseOrders(share float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.loose = share
}

// Entries returns the entries of the workers that are up.
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

// Broken returns what happened that must never happen.
func (p *Pool) Broken() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.broken)
}

// Running returns the number of runs of a task that are alive.
func (p *Pool) Running(t briarspring.TaskRef) int { return len(p.Where(t)) }

// Where returns the workers on which runs of a task are alive.
func (p *Pool) Where(t briarspring.TaskRef) []string {
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

// Finished reports whether a run of a task has ended done.
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

// Started reports whether any task of a workflow has begun.
func (p *Pool) Started(id briarspring.WorkflowID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.started[id]
}

// RunsOn reports whether a run of a task is alive on a worker.
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

// Starts returns the number of runs that began.
func (p *Pool) Starts() int { return p.Account().Starts }

// Account returns what the workers saw so far.
func (p *Pool) Account() PoolAccount {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.account
}

// For returns the workers as a caller reaches them.
func (p *Pool) For(caller string) *PoolClient { return &PoolClient{pool: p, caller: caller} }

// PoolClient is a caller's access to a Pool.
type PoolClient struct {
	pool   *Pool
	caller string
}

func (w *poolWorker) clock() time.Duration { return time.Since(w.began) }

// maxLease is the longest lease that a worker grants.
const maxLease = 6 * time.Second

// renew lengthens the lease, as far as a worker grants it.
func (w *poolWorker) renew(until time.Duration) {
	w.until = max(w.until, min(until, w.clock()+maxLease))
}

// lapse ends everything when the lease is over.
func (p *Pool) lapse(w *poolWorker) {
	if !w.up || w.until == 0 || w.clock() <= w.until {
		return
	}
	for ref := range w.runs {
		p.end(w, ref, briarspring.RunLapsed, "")
	}
	w.unheard = w.number
}

func (p *Pool) end(w *poolWorker, ref briarspring.RunRef, how briarspring.RunEnd, checkpoint string) {
	r := w.runs[ref]
	delete(w.runs, ref)
	w.number++
	w.highest[ref.Task] = max(w.highest[ref.Task], ref.Run)
	w.ended = append(w.ended, briarspring.EndedTask{Number: w.number, Run: ref, End: how, Checkpoint: checkpoint})
	switch how {
	case briarspring.RunFailed:
		p.failures[ref.Task]++
	case briarspring.RunDone:
		p.finished[ref.Task] = true
	}
	close(w.changed)
	w.changed = make(chan struct{})
	p.part(ref, r, how)
}

// reach waits for the way to a worker; the error is a doubt when it is cut.
func (c *PoolClient) reach(ctx context.Context, id string) (*poolWorker, error) {
	if err := sleeper.For(ctx, c.pool.config.Latency); err != nil {
		return nil, &briarspring.DoubtError{Call: "order", Cause: err}
	}
	c.pool.mu.Lock()
	w := c.pool.workers[id]
	blocked := w == nil || !w.up || c.pool.cut[[2]string{c.caller, id}]
	c.pool.mu.Unlock()
	if blocked {
		<-ctx.Done()
		return nil, &briarspring.DoubtError{Call: "order", Cause: ctx.Err()}
	}
	return w, nil
}

// A late order is carried out 2 to 12 s after it was sent, as on the platform.
const (
	lateOrderAfter  = 2 * time.Second
	lateOrderSpread = 10 * time.Second
)

// deliver carries an order out, now or seconds later without an answer.
func (c *PoolClient) deliver(ctx context.Context, id string, order func(*poolWorker) error) error {
	w, err := c.reach(ctx, id)
	if err != nil {
		return err
	}
	p := c.pool
	p.mu.Lock()
	late := p.random.Float64() < p.loose
	delay := lateOrderAfter + time.Duration(p.random.Int64N(int64(lateOrderSpread)))
	life := w.life
	if !late {
		defer p.mu.Unlock()
		return order(w)
	}
	p.mu.Unlock()
	go func() {
		time.Sleep(delay)
		p.mu.Lock()
		defer p.mu.Unlock()
		// What a worker has received is gone with its life.
		if w.up && w.life == life {
			_ = order(w)
		}
	}()
	<-ctx.Done()
	return &briarspring.DoubtError{Call: "order", Cause: ctx.Err()}
}

func refused(v briarspring.Verdict) error { return &briarspring.OrderRefusedError{Verdict: v} }

// fenced takes a token; true when the order is of a replaced owner.
func (w *poolWorker) fenced(token uint64) bool {
	if token < w.token {
		return true
	}
	w.token = token
	return false
}

// Hold renews a lease.
func (c *PoolClient) Hold(ctx context.Context, _, id string, h briarspring.HoldRequest) (briarspring.HoldReply, error) {
	w, err := c.reach(ctx, id)
	if err != nil {
		return briarspring.HoldReply{}, err
	}
	p := c.pool
	p.mu.Lock()
	life := w.life
	p.lapse(w)
	if w.fenced(h.Token) {
		p.mu.Unlock()
		return briarspring.HoldReply{}, refused(briarspring.VerdictSuperseded)
	}
	w.renew(h.Until)
	p.acknowledge(w, h.EndsBefore)
	waits := len(w.ended) == 0
	changed := w.changed
	p.mu.Unlock()
	if waits && h.Wait > 0 {
		timer := time.NewTimer(h.Wait)
		defer timer.Stop()
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			return briarspring.HoldReply{}, &briarspring.DoubtError{Call: "hold", Cause: ctx.Err()}
		}
	}
	if _, err := c.reach(ctx, id); err != nil {
		return briarspring.HoldReply{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if w.life != life {
		return briarspring.HoldReply{}, &briarspring.DoubtError{Call: "hold", Cause: &LostAnswerError{Part: id}}
	}
	p.lapse(w)
	return p.list(w), nil
}

// acknowledge forgets ends that are stored; those that are done must never run
// again. An end that nobody had heard of when the lease ended is no proof: the
// owner may have given the task to others by then.
func (p *Pool) acknowledge(w *poolWorker, number uint64) {
	for len(w.ended) > 0 && w.ended[0].Number <= number {
		if e := w.ended[0]; e.End == briarspring.RunDone && e.Number > w.unheard {
			p.done[e.Run.Task] = time.Now()
		}
		w.ended = w.ended[1:]
	}
}

func (p *Pool) list(w *poolWorker) briarspring.HoldReply {
	reply := briarspring.HoldReply{Born: w.entry.Born, Clock: w.clock(), Ended: slices.Clone(w.ended)}
	for ref, r := range w.runs {
		reply.Running = append(reply.Running, briarspring.RunningTask{
			Run: ref, Checkpoint: r.checkpoint, Percent: r.percent(), Usage: p.usage(w, r),
		})
	}
	return reply
}

// Start begins a run.
func (c *PoolClient) Start(ctx context.Context, _, id string, o briarspring.StartOrder) error {
	return c.deliver(ctx, id, func(w *poolWorker) error { return c.pool.start(w, o) })
}

func (p *Pool) start(w *poolWorker, o briarspring.StartOrder) error {
	p.lapse(w)
	switch {
	case w.fenced(o.Token):
		return refused(briarspring.VerdictSuperseded)
	case w.clock() > o.Until:
		return refused(briarspring.VerdictLate)
	case w.runs[o.Run] != nil:
		return nil
	case o.Run.Run <= w.highest[o.Run.Task]:
		return refused(briarspring.VerdictBarred)
	}
	w.renew(o.Until)
	p.check(w, o.Run)
	p.account.Starts++
	p.started[o.Run.Task.Workflow] = true
	work, how := p.config.Plan(o.Run)
	_, step := p.config.Spec(o.Run.Task)
	r := newPoolRun(o.Checkpoint, work, step)
	w.runs[o.Run] = r
	life := w.life
	r.finish = func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.lapse(w)
		if w.runs[o.Run] == r && w.up && w.life == life && r.over() {
			p.end(w, o.Run, how, "")
		}
	}
	p.join(w, o.Run, r)
	return nil
}

// Stop ends a run, or keeps it from starting.
func (c *PoolClient) Stop(ctx context.Context, _, id string, o briarspring.StopOrder) error {
	return c.deliver(ctx, id, func(w *poolWorker) error {
		p := c.pool
		p.lapse(w)
		if w.fenced(o.Token) {
			return refused(briarspring.VerdictSuperseded)
		}
		w.highest[o.Run.Task] = max(w.highest[o.Run.Task], o.Run.Run)
		if w.runs[o.Run] != nil {
			p.end(w, o.Run, briarspring.RunStopped, "stopped")
		}
		return nil
	})
}

// Pace sets the speed of a run.
func (c *PoolClient) Pace(ctx context.Context, _, id string, o briarspring.PaceOrder) error {
	return c.deliver(ctx, id, func(w *poolWorker) error {
		if w.fenced(o.Token) {
			return refused(briarspring.VerdictSuperseded)
		}
		if r := w.runs[o.Run]; r != nil {
			r.setPace(o.Percent)
			c.pool.account.Paces++
		}
		return nil
	})
}
