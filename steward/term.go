package steward

import (
	"context"
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
	minCommitInterval = 40 * time.Millisecond
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
	// recentOwnerTime is how long after its end an owner's runs may go on without
	// another one: until it certainly gives no orders, and a lease.
	recentOwnerTime = maxUnreachable + 2*entryReturnTime + 6*time.Second
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

	fencedAt time.Duration // When the append that fenced earlier owners was sent; set before the dispatcher is.

	ended chan struct{}
	halt  chan struct{}
	once  sync.Once

	wake       chan struct{} // Wakes planLoop.
	commit     chan struct{} // Wakes commitLoop.
	phases     chan struct{} // Wakes publishLoop.
	listed     chan struct{} // Makes publishLoop publish the inventory.
	orderSlots chan struct{} // Limits the orders in flight.

	quotaWrites chan struct{} // Wakes quotaWriteLoop.

	inventory []briarspring.KnownWorker // Workers of the last inventory; used by publishLoop alone.

	awaitsDirectory bool // Starts wait until the directory is read; used by planLoop alone.

	mu       sync.Mutex
	engine   *dispatcher.Dispatcher
	pacer    Pacer
	renewers map[string]*leaseRenewer
	stored   chan struct{} // Closed and replaced when a batch is stored.
	// reporting holds the ends that are being recorded for other data centres.
	reporting map[dispatcher.HeldEnd]bool
	quota     quotaBook
}

func newOwnership(o *Owner, claim registrar.Claim) *ownership {
	return &ownership{
		owner: o, config: o.config, claim: claim, logger: o.logger.With("token", claim.Token),
		started: o.config.Now(), ended: make(chan struct{}), halt: make(chan struct{}),
		wake: make(chan struct{}, 1), commit: make(chan struct{}, 1), phases: make(chan struct{}, 1), listed: make(chan struct{}, 1),
		orderSlots: make(chan struct{}, maxOrders), renewers: map[string]*leaseRenewer{}, stored: make(chan struct{}),
		reporting: map[dispatcher.HeldEnd]bool{}, quotaWrites: make(chan struct{}, 1), quota: newQuotaBook(),
	}
}

// stop makes run return soon.
func (ow *ownership) stop() { ow.once.Do(func() { close(ow.halt) }) }

// run owns the data centre until the claim is replaced, the log has been
// unreachable for too long, or the context ends.
func (ow *ownership) run(ctx context.Context) {
	defer close(ow.ended)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-ow.halt:
			cancel()
		case <-ctx.Done():
		}
	}()
	ow.config.OnOwnership(true)
	defer ow.config.OnOwnership(false)
	ow.logger.Info("ownership started", "previous-token", ow.claim.Previous)
	recorded, ok := ow.takeOver(ctx)
	if !ok {
		return
	}
	ow.startDispatcher(recorded)
	ow.logger.Info("took over progress", "workflows", len(recorded.progress), "workers", len(recorded.workers), "took-ms", (ow.config.Now() - ow.started).Milliseconds())
	var goroutines sync.WaitGroup
	goroutines.Go(func() { ow.commitLoop(ctx) })
	goroutines.Go(func() { ow.publishLoop(ctx) })
	goroutines.Go(func() { ow.exchangeLoop(ctx) })
	goroutines.Go(func() { ow.quotaLoop(ctx) })
	goroutines.Go(func() { ow.quotaWriteLoop(ctx) })
	ow.planLoop(ctx, &goroutines)
	cancel()
	goroutines.Wait()
	ow.logger.Info("ownership ended", "served-ms", (ow.config.Now() - ow.started).Milliseconds())
}

// retirement returns the record stating that this ownership sends no more orders.
func (ow *ownership) retirement() (briarspring.KeyedRecord, error) {
	m := briarspring.Retirement{Token: ow.claim.Token}
	ow.mu.Lock()
	if ow.engine != nil {
		m.Silent = ow.engine.Silent(ow.config.Now())
	}
	ow.mu.Unlock()
	value, err := encoder.EncodeRetirement(m)
	return briarspring.KeyedRecord{Key: registrar.RetireKey(ow.config.DataCentre, ow.claim.Token), Value: value}, err
}

// inForce reports whether the claim is the last one that was read from the log.
func (ow *ownership) inForce() bool {
	var now registrar.Claim
	ow.config.Replica.View(func(r *registrar.Registry) { now = r.Claim(ow.config.DataCentre) })
	return now.Token == ow.claim.Token
}

// planLoop plans after every change and at intervals, until the ownership ends.
func (ow *ownership) planLoop(ctx context.Context, goroutines *sync.WaitGroup) {
	sub := ow.config.Replica.Subscribe()
	defer sub.Close()
	timer := time.NewTicker(dispatcher.PlanInterval())
	defer timer.Stop()
	var listedAt time.Duration
	for {
		select {
		case <-ctx.Done():
			return
		case <-sub.Changed():
		case <-ow.wake:
		case <-timer.C:
			ow.mu.Lock()
			ow.engine.ForcePlan()
			ow.mu.Unlock()
		}
		now := ow.config.Now()
		if ow.shouldEnd(now) {
			return
		}
		if !ow.applyChanges(now, sub) {
			ow.logger.Info("claim was replaced")
			return
		}
		ow.settleEnds(ctx, goroutines)
		ow.reportFinishedSteps(ctx, goroutines)
		if now-listedAt >= listInterval {
			listedAt = now
			ow.applyWorkerList(ctx, now, goroutines)
		}
		ow.planAndSend(ctx, now, goroutines)
		// A pass is followed by a pause at least as long, so that a backlog of
		// any size leaves half of the processor to renewals, heartbeats and stops.
		_ = sleeper.For(ctx, max(minPlanInterval, ow.config.Now()-now))
	}
}

// shouldEnd reports whether the ownership has to end.
func (ow *ownership) shouldEnd(now time.Duration) bool {
	if !ow.inForce() {
		ow.logger.Info("claim was replaced")
		return true
	}
	ow.mu.Lock()
	superseded := ow.engine.Superseded()
	ow.mu.Unlock()
	if superseded {
		ow.logger.Warn("workers accepted a newer token")
		return true
	}
	fresh, ok := ow.config.ReplicaFreshness.LastReadSent()
	if !ok || now-fresh > maxUnreachable {
		ow.logger.Warn("the log was unreachable for too long", "age-ms", (now - fresh).Milliseconds())
		return true
	}
	return false
}

// applyChanges passes changes read from the shared stream to the dispatcher. It
// returns false, and passes on nothing, if the claim has been replaced: what follows
// the new claim in the stream is for the new owner.
func (ow *ownership) applyChanges(now time.Duration, sub subscription) (inForce bool) {
	changes, all := sub.Drain()
	out := ow.config.Catalogue.OutOfService(ow.config.DataCentre)
	ow.mu.Lock()
	defer ow.mu.Unlock()
	ow.engine.SetOutOfService(now, out)
	ow.config.Replica.View(func(r *registrar.Registry) {
		if inForce = r.Claim(ow.config.DataCentre).Token == ow.claim.Token; !inForce {
			return
		}
		if at, ok := r.PredecessorsGoneAt(now, maxUnreachable, ow.config.DataCentre); ok {
			ow.engine.SetPredecessorsGone(at)
		}
		ow.engine.SetPredecessorsNameTaken(r.PredecessorsNameTaken(now, maxUnreachable, ow.config.DataCentre))
		ow.engine.SetPredecessorsYield(r.PredecessorsYield(now, maxUnreachable, ow.config.DataCentre))
		ow.engine.SetPredecessors(ow.predecessors(now, r))
		ow.engine.SetSilentLeaseEnds(maps.Clone(r.SilentWorkers(ow.config.DataCentre)))
		if ow.quota.engine != nil {
			ow.passOrganisations(now, r)
		}
		if all {
			r.Workflows(func(e *registrar.Entry) { ow.applyWorkflow(now, e, nil) })
			return
		}
		for _, c := range changes {
			if e := r.Workflow(c.Workflow); e != nil {
				ow.applyWorkflow(now, e, nil)
			}
		}
	})
	return inForce
}

// predecessors returns what the shared state says of the earlier owners' leases.
func (ow *ownership) predecessors(now time.Duration, r *registrar.Registry) dispatcher.Predecessors {
	readTo, _ := ow.config.ReplicaFreshness.LastReadSent()
	return dispatcher.Predecessors{
		ShortLeases:   r.PredecessorsShortLeases(now, recentOwnerTime, ow.config.DataCentre),
		LastHeartbeat: r.PredecessorsHeardAt(ow.config.DataCentre),
		ReadTo:        readTo,
		Tokens:        r.PredecessorTokens(now, maxUnreachable, ow.config.DataCentre),
	}
}

type subscription interface {
	Drain() ([]registrar.Change, bool)
}

// applyWorkerList passes the list of workers to the dispatcher and runs a lease
// renewer for each of them.
func (ow *ownership) applyWorkerList(ctx context.Context, now time.Duration, goroutines *sync.WaitGroup) {
	entries, known := ow.config.List.Workers(ow.config.DataCentre)
	fresh, _ := ow.config.ListFreshness.LastReadSent()
	if !known || fresh <= ow.started {
		return
	}
	ow.mu.Lock()
	defer ow.mu.Unlock()
	if ow.engine.SetWorkers(now, entries) {
		notify(ow.listed)
	}
	wanted := ow.engine.Workers()
	for id, address := range wanted {
		if r := ow.renewers[id]; r != nil && r.address == address {
			continue
		}
		ow.startRenewer(ctx, id, address, goroutines)
	}
	for id, r := range ow.renewers {
		if _, ok := wanted[id]; !ok {
			r.cancel()
			delete(ow.renewers, id)
		}
	}
}

// planAndSend runs a planning pass and sends its orders. It plans no more starts
// than can be sent at once, so that they don't age in a queue, and none before the
// directory was read: operators may have taken data centres out of service while no host
// was running.
func (ow *ownership) planAndSend(ctx context.Context, now time.Duration, goroutines *sync.WaitGroup) {
	maxStarts := 0
	if ow.directoryRestored() {
		maxStarts = cap(ow.orderSlots) - len(ow.orderSlots)
	}
	ow.mu.Lock()
	orders := ow.engine.PlanUpTo(now, maxStarts)
	ow.mu.Unlock()
	for _, o := range orders {
		select {
		case ow.orderSlots <- struct{}{}:
		case <-ctx.Done():
			return
		}
		goroutines.Go(func() {
			ow.send(ctx, o)
			<-ow.orderSlots
		})
	}
	notify(ow.commit)
	notify(ow.phases)
	ow.transferTasks(ctx, now, goroutines)
}

// directoryRestored reports whether this process has read the directory, and logs when
// starts begin to wait for that and when they go on.
func (ow *ownership) directoryRestored() bool {
	restored := ow.config.Catalogue.Restored()
	if waiting := !restored; waiting != ow.awaitsDirectory {
		ow.awaitsDirectory = waiting
		ow.logger.Info("starts wait until the directory is read, or go on", "waiting", waiting, "owner-for-ms", (ow.config.Now() - ow.started).Milliseconds())
	}
	return restored
}

// transferTasks transfers tasks that can't start here to other data centres.
func (ow *ownership) transferTasks(ctx context.Context, now time.Duration, goroutines *sync.WaitGroup) {
	if ow.awaitsDirectory {
		return
	}
	var options []balancer.Option
	ow.config.Replica.View(func(r *registrar.Registry) {
		options = balancer.Options(now, ow.config.DataCentres, r, ow.config.Catalogue)
	})
	ow.mu.Lock()
	transfers := ow.engine.TakeTransfers(now, func(service string, steps []*briarspring.Step) string {
		return balancer.ChooseOther(ow.config.DataCentre, service, steps, options)
	})
	ow.mu.Unlock()
	for _, tr := range transfers {
		value, err := encoder.EncodeTaskTransfer(tr.Content)
		if err != nil {
			ow.logger.Error("transfer can't be encoded", "workflow", tr.Workflow, "error", err)
			continue
		}
		goroutines.Go(func() {
			ow.publishRebuilt(ctx, func() []briarspring.KeyedRecord {
				key := registrar.TransferKey(tr.Workflow, ow.claim.Token, tr.Number, registrar.NewAttemptID())
				return []briarspring.KeyedRecord{{Key: key, Value: value}}
			})
		})
	}
}

// send sends an order to its worker and passes the outcome to the dispatcher.
func (ow *ownership) send(ctx context.Context, o dispatcher.Order) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	var err error
	var clock time.Duration
	switch o.Kind {
	case dispatcher.OrderStart:
		clock, err = ow.config.Workers.Start(ctx, o.Address, o.Worker, o.Start)
	case dispatcher.OrderStop:
		err = ow.config.Workers.Stop(ctx, o.Address, o.Worker, o.Stop)
	case dispatcher.OrderPace:
		err = ow.config.Workers.Pace(ctx, o.Address, o.Worker, o.Pace)
	}
	verdict := briarspring.VerdictOf(err)
	if err != nil {
		ow.logger.Debug("order failed", "worker", o.Worker, "kind", o.Kind, "workflow", o.Run().Task.Workflow, "error", err)
	}
	ow.mu.Lock()
	ow.engine.HandleOrderClock(ow.config.Now(), o, clock)
	ow.engine.HandleVerdict(ow.config.Now(), o, verdict)
	phaseChanged := ow.engine.PhaseChanged()
	ow.mu.Unlock()
	if phaseChanged {
		notify(ow.phases)
	}
	if verdict != briarspring.VerdictDone {
		notify(ow.wake)
	}
}

// notify signals c without blocking; a pending signal absorbs it.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
