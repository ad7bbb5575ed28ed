package steward

import (
	"context"
	"errors"
	"maps"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"briarspring"
	"briarspring/balancer"
	"briarspring/dispatcher"
	"briarspring/encoder"
	"briarspring/registrar"
	"briarspring/sleeper"
	"briarspring/tracker"
)

const (
	// renewalSlack is added to the wait of a lease renewal to get its timeout.
	renewalSlack = 700 * time.Millisecond
	// renewalRetryPause follows a lease renewal that got no answer.
	renewalRetryPause = 100 * time.Millisecond
	// orderTimeout bounds one order; after that its outcome is unknown.
	orderTimeout = 800 * time.Millisecond
	// maxOrders bounds the orders in flight.
	maxOrders = 96
	// maxStoreWait bounds the wait for ended runs to be stored before the next
	// renewal, which returns at once while ended runs are unacknowledged.
	maxStoreWait = 200 * time.Millisecond
	// minPlanInterval is the minimum time between two planning passes, so that
	// simultaneous events share one.
	minPlanInterval = 3 * time.Millisecond
	// minCommitInterval is the minimum time between two appends of progress.
	minCommitInterval = 20 * time.Millisecond
	// minPublishInterval is the minimum time between two writes of phases, which
	// callers poll at most a few times a second.
	minPublishInterval = 30 * time.Millisecond
	// commitTimeout bounds one append of progress, which is retried until it is
	// answered.
	commitTimeout = 1500 * time.Millisecond
	// listInterval is the time between two checks of the list of workers.
	listInterval = 150 * time.Millisecond
	// retryPause follows a failed write or a failed attempt at a takeover.
	retryPause = 50 * time.Millisecond
	// entryReturnTime is the time within which workers' entries that expired during
	// an outage of the log reappear: about 2 s according to the platform, plus a
	// read of the list from a store that is still slow.
	entryReturnTime = 2750 * time.Millisecond
	// modelExchangeInterval is the time between two exchanges of interference models.
	modelExchangeInterval = 2 * time.Second
	// maxExpiredPerHeartbeat bounds the finished workflows that one heartbeat
	// deletes.
	maxExpiredPerHeartbeat = 20
)

// ownership runs a data centre while one claim of this process is in force.
type ownership struct {
	owner   *Owner
	config  Config
	claim   registrar.Claim
	started time.Duration
	logger  hclog.Logger
	ended   chan struct{}
	halt    chan struct{}
	once    sync.Once

	wake       chan struct{} // Wakes planLoop.
	commit     chan struct{} // Wakes commitLoop.
	phases     chan struct{} // Wakes publishLoop.
	orderSlots chan struct{} // Limits the orders in flight.

	mu       sync.Mutex
	engine   *dispatcher.Dispatcher
	pacer    Pacer
	renewers map[string]*leaseRenewer
	stored   chan struct{} // Closed and replaced when a batch is stored.
}

func newOwnership(o *Owner, claim registrar.Claim) *ownership {
	return &ownership{
		owner: o, config: o.config, claim: claim, logger: o.logger.With("token", claim.Token),
		started: o.config.Now(), ended: make(chan struct{}), halt: make(chan struct{}),
		wake: make(chan struct{}, 1), commit: make(chan struct{}, 1), phases: make(chan struct{}, 1),
		orderSlots: make(chan struct{}, maxOrders), renewers: map[string]*leaseRenewer{}, stored: make(chan struct{}),
	}
}

// stop makes run return soon.
func (own *ownership) stop() { own.once.Do(func() { close(own.halt) }) }

// run owns the data centre until the claim is replaced, the log has been
// unreachable for too long, or the context ends.
func (own *ownership) run(ctx context.Context) {
	defer close(own.ended)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-own.halt:
			cancel()
		case <-ctx.Done():
		}
	}()
	own.config.OnOwnership(true)
	defer own.config.OnOwnership(false)
	own.logger.Info("ownership started", "previous-token", own.claim.Previous)
	progress, ok := own.takeOver(ctx)
	if !ok {
		return
	}
	own.startDispatcher(progress)
	own.logger.Info("took over progress", "workflows", len(progress), "took-ms", (own.config.Now() - own.started).Milliseconds())
	var goroutines sync.WaitGroup
	goroutines.Go(func() { own.commitLoop(ctx) })
	goroutines.Go(func() { own.publishLoop(ctx) })
	own.planLoop(ctx, &goroutines)
	cancel()
	goroutines.Wait()
	own.logger.Info("ownership ended", "served-ms", (own.config.Now() - own.started).Milliseconds())
}

// retirement returns the record stating that this ownership sends no more orders.
func (own *ownership) retirement() (briarspring.KeyedRecord, error) {
	m := briarspring.Retirement{Token: own.claim.Token}
	own.mu.Lock()
	if own.engine != nil {
		m.Silent = own.engine.Silent(own.config.Now())
	}
	own.mu.Unlock()
	value, err := encoder.Retirement(m)
	return briarspring.KeyedRecord{Key: registrar.RetireKey(own.config.DataCentre, own.claim.Token), Value: value}, err
}

// inForce reports whether the claim is the last one that was read from the log.
func (own *ownership) inForce() bool {
	var now registrar.Claim
	own.config.Replica.View(func(r *registrar.Registry) { now = r.Claim(own.config.DataCentre) })
	return now.Token == own.claim.Token
}

// takeOver fences earlier owners off the progress stream and reads it.
func (own *ownership) takeOver(ctx context.Context) (map[briarspring.WorkflowID][]briarspring.TaskProgress, bool) {
	stream := briarspring.ProgressStream(own.config.DataCentre)
	for ctx.Err() == nil && own.inForce() {
		progress, err := own.tryTakeOver(ctx, stream)
		if err == nil {
			return progress, true
		}
		var fenced *briarspring.FencedError
		if errors.As(err, &fenced) {
			own.logger.Warn("a newer owner has taken over the progress stream", "error", err)
			return nil, false
		}
		own.logger.Warn("failed to take over progress, retrying", "error", err)
		_ = sleeper.For(ctx, retryPause)
	}
	return nil, false
}

func (own *ownership) tryTakeOver(ctx context.Context, stream string) (map[briarspring.WorkflowID][]briarspring.TaskProgress, error) {
	callCtx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	fencedAt, err := own.config.Store.Append(callCtx, stream, nil, own.fence(0))
	if err != nil {
		return nil, err
	}
	records, end, err := tracker.Newest(ctx, own.config.Store, stream)
	if err != nil {
		return nil, err
	}
	if end < fencedAt {
		return nil, &tracker.StaleError{Stream: stream, End: end, Known: fencedAt}
	}
	progress := map[briarspring.WorkflowID][]briarspring.TaskProgress{}
	for _, r := range records {
		if len(r.Value) == 0 {
			continue
		}
		tasks, err := encoder.DecodeRunProgress(r.Value)
		if err != nil {
			own.logger.Error("ignoring a progress record that can't be decoded", "key", r.Key, "offset", r.Offset, "error", err)
			continue
		}
		progress[briarspring.WorkflowID(r.Key)] = tasks
	}
	return progress, nil
}

func (own *ownership) fence(sequence uint64) briarspring.Fence {
	return briarspring.Fence{Epoch: own.claim.Token, Sequence: sequence}
}

// startDispatcher creates the dispatcher with every workflow that has tasks here.
func (own *ownership) startDispatcher(progress map[briarspring.WorkflowID][]briarspring.TaskProgress) {
	own.mu.Lock()
	defer own.mu.Unlock()
	now := own.config.Now()
	own.pacer = own.config.NewPacer()
	own.config.Replica.View(func(r *registrar.Registry) { own.pacer.Adopt(r.Models()) })
	own.engine = dispatcher.New(now, dispatcher.Config{
		DataCentre: own.config.DataCentre, Token: own.claim.Token, Lease: own.config.Lease, MaxLease: own.config.MaxLease,
		Predecessor: own.claim.Previous != 0, Pacer: own.pacer, Logger: own.logger,
	})
	own.engine.SetOut(now, own.config.Catalogue.Out(own.config.DataCentre))
	if own.claim.Previous != 0 {
		own.engine.HoldStarts(own.owner.readableSince() + entryReturnTime)
	}
	own.config.Replica.View(func(r *registrar.Registry) {
		r.Workflows(func(e *registrar.Entry) { own.applyWorkflow(now, e, progress[e.Workflow().ID]) })
	})
}

// readableSince returns since when the log has been read without a gap.
func (o *Owner) readableSince() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.readSince
}

// applyWorkflow passes the shared state of a workflow to the dispatcher.
func (own *ownership) applyWorkflow(now time.Duration, e *registrar.Entry, progress []briarspring.TaskProgress) {
	w := e.Workflow()
	if !own.hasTasksHere(e) {
		return
	}
	place := own.placeOf(e)
	switch {
	case own.engine.Knows(w.ID):
		if place != nil {
			own.engine.Moved(now, w.ID, place)
		}
	case e.Phase().Final() && len(progress) == 0:
		return
	default:
		own.engine.Submit(now, own.ageOf(w), w, e.Offset(), own.mergeTransferred(e, progress), place)
	}
	if e.Cancelled() {
		own.engine.Cancel(now, w.ID)
	}
	if e.Phase().Final() && !e.Cancelled() {
		own.engine.Finished(now, w.ID, e.Phase())
	}
}

// ageOf returns the time since a workflow was accepted, clamped to the time for
// which workflows of its recurrence are remembered, since clocks may jump.
func (own *ownership) ageOf(w *briarspring.Workflow) time.Duration {
	maxAge := own.config.KeepFinal
	if n := w.Recurrence.Times; n > 0 {
		maxAge += max(0, w.Recurrence.Due(n-1).Sub(w.Submitted))
	}
	return max(0, min(time.Since(w.Submitted), maxAge))
}

// placeOf returns the place of each task of a workflow by its position, or nil if
// none was transferred.
func (own *ownership) placeOf(e *registrar.Entry) func(position int) dispatcher.Place {
	moved := e.Moved()
	if len(moved) == 0 {
		return nil
	}
	return func(position int) dispatcher.Place {
		m := moved[position]
		return dispatcher.Place{Mine: e.DataCentre(position) == own.config.DataCentre, Moves: m.Count, Brought: m.Progress}
	}
}

// hasTasksHere reports whether the data centre has, or had, tasks of a workflow.
func (own *ownership) hasTasksHere(e *registrar.Entry) bool {
	if e.Workflow().DataCentre == own.config.DataCentre {
		return true
	}
	for _, m := range e.Moved() {
		if m.To == own.config.DataCentre {
			return true
		}
	}
	return false
}

// mergeTransferred adds the progress that transferred tasks brought along. A task
// may have run here before it left, or after it came back, so the record with the
// higher run number wins.
func (own *ownership) mergeTransferred(e *registrar.Entry, progress []briarspring.TaskProgress) []briarspring.TaskProgress {
	known := map[int]int{}
	for i, p := range progress {
		known[p.Position] = i
	}
	for position, m := range e.Moved() {
		if m.To != own.config.DataCentre {
			continue
		}
		i, ok := known[position]
		switch {
		case !ok:
			progress = append(progress, m.Progress)
		case progress[i].Run < m.Progress.Run || m.Progress.Done:
			progress[i] = m.Progress
		}
	}
	return progress
}

// planLoop plans after every change and at intervals, until the ownership ends.
func (own *ownership) planLoop(ctx context.Context, goroutines *sync.WaitGroup) {
	sub := own.config.Replica.Subscribe()
	defer sub.Close()
	timer := time.NewTicker(dispatcher.PlanInterval())
	defer timer.Stop()
	var listedAt time.Duration
	for {
		select {
		case <-ctx.Done():
			return
		case <-sub.Changed():
		case <-own.wake:
		case <-timer.C:
			own.mu.Lock()
			own.engine.Tick()
			own.mu.Unlock()
		}
		now := own.config.Now()
		if own.shouldEnd(now) {
			return
		}
		own.applyChanges(now, sub)
		if now-listedAt >= listInterval {
			listedAt = now
			own.applyWorkerList(ctx, now, goroutines)
		}
		own.planAndSend(ctx, now, goroutines)
		_ = sleeper.For(ctx, minPlanInterval)
	}
}

// shouldEnd reports whether the ownership has to end.
func (own *ownership) shouldEnd(now time.Duration) bool {
	if !own.inForce() {
		own.logger.Info("claim was replaced")
		return true
	}
	own.mu.Lock()
	superseded := own.engine.Superseded()
	own.mu.Unlock()
	if superseded {
		own.logger.Warn("workers accepted a newer token")
		return true
	}
	fresh, ok := own.config.ReplicaFreshness.Fresh()
	if !ok || now-fresh > maxUnreachable {
		own.logger.Warn("the log was unreachable for too long", "age-ms", (now - fresh).Milliseconds())
		return true
	}
	return false
}

// applyChanges passes changes read from the shared stream to the dispatcher.
func (own *ownership) applyChanges(now time.Duration, sub subscription) {
	changes, all := sub.Take()
	out := own.config.Catalogue.Out(own.config.DataCentre)
	own.mu.Lock()
	defer own.mu.Unlock()
	own.engine.SetOut(now, out)
	own.config.Replica.View(func(r *registrar.Registry) {
		if at, ok := r.EarlierGone(now, maxUnreachable, own.config.DataCentre); ok {
			own.engine.EarlierGone(at)
		}
		own.engine.EarlierSilent(maps.Clone(r.Silent(own.config.DataCentre)))
		if all {
			r.Workflows(func(e *registrar.Entry) { own.applyWorkflow(now, e, nil) })
			return
		}
		for _, c := range changes {
			if e := r.Workflow(c.Workflow); e != nil {
				own.applyWorkflow(now, e, nil)
			}
		}
	})
}

type subscription interface {
	Take() ([]registrar.Change, bool)
}

// applyWorkerList passes the list of workers to the dispatcher and runs a lease
// renewer for each of them.
func (own *ownership) applyWorkerList(ctx context.Context, now time.Duration, goroutines *sync.WaitGroup) {
	entries, known := own.config.List.Workers(own.config.DataCentre)
	fresh, _ := own.config.ListFreshness.Fresh()
	if !known || fresh <= own.started {
		return
	}
	own.mu.Lock()
	defer own.mu.Unlock()
	own.engine.SetWorkers(now, entries)
	wanted := own.engine.Workers()
	for id, address := range wanted {
		if r := own.renewers[id]; r != nil && r.address == address {
			continue
		}
		own.startRenewer(ctx, id, address, goroutines)
	}
	for id, r := range own.renewers {
		if _, ok := wanted[id]; !ok {
			r.cancel()
			delete(own.renewers, id)
		}
	}
}

// planAndSend runs a planning pass and sends its orders.
func (own *ownership) planAndSend(ctx context.Context, now time.Duration, goroutines *sync.WaitGroup) {
	own.mu.Lock()
	orders := own.engine.Plan(now)
	own.mu.Unlock()
	for _, o := range orders {
		select {
		case own.orderSlots <- struct{}{}:
		case <-ctx.Done():
			return
		}
		goroutines.Go(func() {
			own.send(ctx, o)
			<-own.orderSlots
		})
	}
	notify(own.commit)
	notify(own.phases)
	own.transferTasks(ctx, now, goroutines)
}

// transferTasks transfers tasks that can't start here to other data centres.
func (own *ownership) transferTasks(ctx context.Context, now time.Duration, goroutines *sync.WaitGroup) {
	var options []balancer.Option
	own.config.Replica.View(func(r *registrar.Registry) {
		options = balancer.Options(now, own.config.DataCentres, r, own.config.Catalogue)
	})
	own.mu.Lock()
	transfers := own.engine.TakeTransfers(now, func(s *briarspring.Step) string {
		return balancer.Elsewhere(own.config.DataCentre, s, options)
	})
	own.mu.Unlock()
	for _, tr := range transfers {
		value, err := encoder.TaskTransfer(tr.Content)
		if err != nil {
			own.logger.Error("transfer can't be encoded", "workflow", tr.Workflow, "error", err)
			continue
		}
		goroutines.Go(func() {
			own.publishRebuilt(ctx, func() []briarspring.KeyedRecord {
				key := registrar.TransferKey(tr.Workflow, own.claim.Token, tr.Number, registrar.NewTry())
				return []briarspring.KeyedRecord{{Key: key, Value: value}}
			})
		})
	}
}

// send sends an order to its worker and passes the outcome to the dispatcher.
func (own *ownership) send(ctx context.Context, o dispatcher.Order) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	var err error
	switch o.Kind {
	case dispatcher.OrderStart:
		err = own.config.Workers.Start(ctx, o.Address, o.Worker, o.Start)
	case dispatcher.OrderStop:
		err = own.config.Workers.Stop(ctx, o.Address, o.Worker, o.Stop)
	case dispatcher.OrderPace:
		err = own.config.Workers.Pace(ctx, o.Address, o.Worker, o.Pace)
	}
	verdict := briarspring.VerdictOf(err)
	if err != nil {
		own.logger.Debug("order failed", "worker", o.Worker, "kind", o.Kind, "workflow", o.Run().Task.Workflow, "error", err)
	}
	own.mu.Lock()
	own.engine.Answered(own.config.Now(), o, verdict)
	own.mu.Unlock()
	if verdict != briarspring.VerdictDone {
		notify(own.wake)
	}
}

// notify signals c without blocking; a pending signal absorbs it.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
