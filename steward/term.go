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
	// holdSlack is added to the wait for the time-out of a hold.
	holdSlack = 700 * time.Millisecond
	// holdPause after a hold that got no answer.
	holdPause = 100 * time.Millisecond
	// orderTimeout of an order; later its outcome is in doubt.
	orderTimeout = 800 * time.Millisecond
	// maxOrders bounds the orders that are on their way at a time.
	maxOrders = 96
	// storePause is the longest that a hold waits for the last ends to be stored,
	// since unacknowledged ends would make it return at once.
	storePause = 200 * time.Millisecond
	// planGap is the least time between two plans, so that events that come
	// together share one.
	planGap = 3 * time.Millisecond
	// commitGap is the least time between two appends of progress.
	commitGap = 20 * time.Millisecond
	// publishGap is the least time between two appends of phases; callers ask for
	// them no more often than a few times a second.
	publishGap = 30 * time.Millisecond
	// commitTimeout of one append of progress; it is repeated until it is
	// answered.
	commitTimeout = 1500 * time.Millisecond
	// listInterval between two looks at the list of workers.
	listInterval = 150 * time.Millisecond
	// setupPause after a failed step of taking a data centre over.
	setupPause = 50 * time.Millisecond
	// entriesReturn is the time within which workers' entries that lapsed during
	// an outage of the log are back: about 2 s as the platform states it, and a
	// read of the list through a store that is still slow.
	entriesReturn = 2750 * time.Millisecond
	// modelInterval between two exchanges of what owners have learned.
	modelInterval = 2 * time.Second
	// expireLimit bounds the finished workflows that one beat drops.
	expireLimit = 20
)

// term is the time during which one claim of this process is in force.
type term struct {
	steward *Steward
	config  Config
	claim   registrar.Claim
	started time.Duration
	logger  hclog.Logger
	ended   chan struct{}
	halt    chan struct{}
	once    sync.Once

	wake   chan struct{} // For the planner.
	commit chan struct{} // For the committer.
	phases chan struct{} // For the writer of phases.
	slots  chan struct{} // For orders on their way.

	mu     sync.Mutex
	engine *dispatcher.Dispatcher
	pacer  Pacer
	agents map[string]*agent
	stored chan struct{} // Closed and replaced when a batch is stored.
}

func newTerm(s *Steward, claim registrar.Claim) *term {
	return &term{
		steward: s, config: s.config, claim: claim, logger: s.logger.With("token", claim.Token),
		started: s.config.Now(), ended: make(chan struct{}), halt: make(chan struct{}),
		wake: make(chan struct{}, 1), commit: make(chan struct{}, 1), phases: make(chan struct{}, 1),
		slots: make(chan struct{}, maxOrders), agents: map[string]*agent{}, stored: make(chan struct{}),
	}
}

// stop ends the term soon.
func (t *term) stop() { t.once.Do(func() { close(t.halt) }) }

// run owns the data centre until the claim is replaced, the log was out of
// reach for too long, or the context ends.
func (t *term) run(ctx context.Context) {
	defer close(t.ended)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-t.halt:
			cancel()
		case <-ctx.Done():
		}
	}()
	t.config.Follow(true)
	defer t.config.Follow(false)
	t.logger.Info("owns the data centre", "previous-token", t.claim.Previous)
	progress, ok := t.takeOver(ctx)
	if !ok {
		return
	}
	t.setUp(progress)
	t.logger.Info("progress taken over", "workflows", len(progress), "took-ms", (t.config.Now() - t.started).Milliseconds())
	var duties sync.WaitGroup
	duties.Go(func() { t.keepCommitting(ctx) })
	duties.Go(func() { t.keepPublishing(ctx) })
	t.keepPlanning(ctx, &duties)
	cancel()
	duties.Wait()
	t.logger.Info("owns the data centre no more", "served-ms", (t.config.Now() - t.started).Milliseconds())
}

// retirement returns the record that this term gives no more orders.
func (t *term) retirement() (briarspring.KeyedRecord, error) {
	m := briarspring.Retirement{Token: t.claim.Token}
	t.mu.Lock()
	if t.engine != nil {
		m.Silent = t.engine.Silent(t.config.Now())
	}
	t.mu.Unlock()
	value, err := encoder.Retirement(m)
	return briarspring.KeyedRecord{Key: registrar.RetireKey(t.config.DataCentre, t.claim.Token), Value: value}, err
}

// inForce reports whether the claim is the last one, as far as the log was
// read.
func (t *term) inForce() bool {
	var now registrar.Claim
	t.config.Replica.View(func(r *registrar.Registry) { now = r.Claim(t.config.DataCentre) })
	return now.Token == t.claim.Token
}

// takeOver keeps earlier owners from writing and reads the progress stream.
func (t *term) takeOver(ctx context.Context) (map[briarspring.WorkflowID][]briarspring.TaskProgress, bool) {
	stream := briarspring.ProgressStream(t.config.DataCentre)
	for ctx.Err() == nil && t.inForce() {
		progress, err := t.tryTakeOver(ctx, stream)
		if err == nil {
			return progress, true
		}
		var fenced *briarspring.FencedError
		if errors.As(err, &fenced) {
			t.logger.Warn("a newer owner has taken the progress stream over", "error", err)
			return nil, false
		}
		t.logger.Warn("progress can't be taken over yet", "error", err)
		_ = sleeper.For(ctx, setupPause)
	}
	return nil, false
}

func (t *term) tryTakeOver(ctx context.Context, stream string) (map[briarspring.WorkflowID][]briarspring.TaskProgress, error) {
	callCtx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	fencedAt, err := t.config.Store.Append(callCtx, stream, nil, t.fence(0))
	if err != nil {
		return nil, err
	}
	records, end, err := tracker.Newest(ctx, t.config.Store, stream)
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
			t.logger.Error("progress record has no effect", "key", r.Key, "offset", r.Offset, "error", err)
			continue
		}
		progress[briarspring.WorkflowID(r.Key)] = tasks
	}
	return progress, nil
}

func (t *term) fence(sequence uint64) briarspring.Fence {
	return briarspring.Fence{Epoch: t.claim.Token, Sequence: sequence}
}

// setUp makes the dispatcher with every workflow that has tasks here.
func (t *term) setUp(progress map[briarspring.WorkflowID][]briarspring.TaskProgress) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.config.Now()
	t.pacer = t.config.NewPacer()
	t.config.Replica.View(func(r *registrar.Registry) { t.pacer.Adopt(r.Models()) })
	t.engine = dispatcher.New(now, dispatcher.Config{
		DataCentre: t.config.DataCentre, Token: t.claim.Token, Lease: t.config.Lease, MaxLease: t.config.MaxLease,
		Predecessor: t.claim.Previous != 0, Pacer: t.pacer, Logger: t.logger,
	})
	t.engine.SetOut(now, t.config.Catalogue.Out(t.config.DataCentre))
	if t.claim.Previous != 0 {
		t.engine.HoldStarts(t.steward.readableSince() + entriesReturn)
	}
	t.config.Replica.View(func(r *registrar.Registry) {
		r.Workflows(func(e *registrar.Entry) { t.takeWorkflow(now, e, progress[e.Workflow().ID]) })
	})
}

// readableSince returns since when the log was read without a gap.
func (s *Steward) readableSince() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.readSince
}

// takeWorkflow tells the dispatcher what the shared state says of a workflow.
func (t *term) takeWorkflow(now time.Duration, e *registrar.Entry, progress []briarspring.TaskProgress) {
	w := e.Workflow()
	if !t.concerns(e) {
		return
	}
	place := t.placeOf(e)
	switch {
	case t.engine.Knows(w.ID):
		if place != nil {
			t.engine.Moved(now, w.ID, place)
		}
	case e.Phase().Final() && len(progress) == 0:
		return
	default:
		t.engine.Submit(now, t.ageOf(w), w, e.Offset(), t.withMoved(e, progress), place)
	}
	if e.Cancelled() {
		t.engine.Cancel(now, w.ID)
	}
	if e.Phase().Final() && !e.Cancelled() {
		t.engine.Finished(now, w.ID, e.Phase())
	}
}

// ageOf returns the time since a workflow was accepted, kept within the time for
// which workflows of its recurrence are known, since clocks may jump.
func (t *term) ageOf(w *briarspring.Workflow) time.Duration {
	most := t.config.KeepFinal
	if n := w.Recurrence.Times; n > 0 {
		most += max(0, w.Recurrence.Due(n-1).Sub(w.Submitted))
	}
	return max(0, min(time.Since(w.Submitted), most))
}

// placeOf returns where the tasks of a workflow belong; nil when none was
// transferred.
func (t *term) placeOf(e *registrar.Entry) func(position int) dispatcher.Place {
	moved := e.Moved()
	if len(moved) == 0 {
		return nil
	}
	return func(position int) dispatcher.Place {
		m := moved[position]
		return dispatcher.Place{Mine: e.DataCentre(position) == t.config.DataCentre, Moves: m.Count, Brought: m.Progress}
	}
}

// concerns reports whether the data centre has, or had, tasks of a workflow.
func (t *term) concerns(e *registrar.Entry) bool {
	if e.Workflow().DataCentre == t.config.DataCentre {
		return true
	}
	for _, m := range e.Moved() {
		if m.To == t.config.DataCentre {
			return true
		}
	}
	return false
}

// withMoved adds what transferred tasks brought along. A task may have run here
// before it left, or after it came back, so the record with the higher run number counts.
func (t *term) withMoved(e *registrar.Entry, progress []briarspring.TaskProgress) []briarspring.TaskProgress {
	known := map[int]int{}
	for i, p := range progress {
		known[p.Position] = i
	}
	for position, m := range e.Moved() {
		if m.To != t.config.DataCentre {
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

// keepPlanning plans whenever something happened, until the term is over.
func (t *term) keepPlanning(ctx context.Context, duties *sync.WaitGroup) {
	sub := t.config.Replica.Subscribe()
	defer sub.Close()
	timer := time.NewTicker(dispatcher.PlanInterval())
	defer timer.Stop()
	var listedAt time.Duration
	for {
		select {
		case <-ctx.Done():
			return
		case <-sub.Changed():
		case <-t.wake:
		case <-timer.C:
			t.mu.Lock()
			t.engine.Tick()
			t.mu.Unlock()
		}
		now := t.config.Now()
		if t.over(now) {
			return
		}
		t.takeChanges(now, sub)
		if now-listedAt >= listInterval {
			listedAt = now
			t.takeList(ctx, now, duties)
		}
		t.plan(ctx, now, duties)
		_ = sleeper.For(ctx, planGap)
	}
}

// over reports whether the term has to end.
func (t *term) over(now time.Duration) bool {
	if !t.inForce() {
		t.logger.Info("claim was replaced")
		return true
	}
	t.mu.Lock()
	superseded := t.engine.Superseded()
	t.mu.Unlock()
	if superseded {
		t.logger.Warn("workers accepted a newer token")
		return true
	}
	fresh, ok := t.config.Reading.Fresh()
	if !ok || now-fresh > maxUnreachable {
		t.logger.Warn("the log was out of reach for too long", "age-ms", (now - fresh).Milliseconds())
		return true
	}
	return false
}

// takeChanges tells the dispatcher what was read of the shared stream.
func (t *term) takeChanges(now time.Duration, sub subscription) {
	changes, all := sub.Take()
	out := t.config.Catalogue.Out(t.config.DataCentre)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.engine.SetOut(now, out)
	t.config.Replica.View(func(r *registrar.Registry) {
		if at, ok := r.EarlierGone(now, maxUnreachable, t.config.DataCentre); ok {
			t.engine.EarlierGone(at)
		}
		t.engine.EarlierSilent(maps.Clone(r.Silent(t.config.DataCentre)))
		if all {
			r.Workflows(func(e *registrar.Entry) { t.takeWorkflow(now, e, nil) })
			return
		}
		for _, c := range changes {
			if e := r.Workflow(c.Workflow); e != nil {
				t.takeWorkflow(now, e, nil)
			}
		}
	})
}

type subscription interface {
	Take() ([]registrar.Change, bool)
}

// takeList tells the dispatcher the list of workers and keeps an agent for each
// of them.
func (t *term) takeList(ctx context.Context, now time.Duration, duties *sync.WaitGroup) {
	entries, known := t.config.List.Workers(t.config.DataCentre)
	fresh, _ := t.config.Listing.Fresh()
	if !known || fresh <= t.started {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.engine.SetWorkers(now, entries)
	wanted := t.engine.Workers()
	for id, address := range wanted {
		if a := t.agents[id]; a != nil && a.address == address {
			continue
		}
		t.startAgent(ctx, id, address, duties)
	}
	for id, a := range t.agents {
		if _, ok := wanted[id]; !ok {
			a.cancel()
			delete(t.agents, id)
		}
	}
}

// plan has the dispatcher plan and sends its orders.
func (t *term) plan(ctx context.Context, now time.Duration, duties *sync.WaitGroup) {
	t.mu.Lock()
	orders := t.engine.Plan(now)
	t.mu.Unlock()
	for _, o := range orders {
		select {
		case t.slots <- struct{}{}:
		case <-ctx.Done():
			return
		}
		duties.Go(func() {
			t.send(ctx, o)
			<-t.slots
		})
	}
	poke(t.commit)
	poke(t.phases)
	t.transfer(ctx, now, duties)
}

// transfer gives tasks to other data centres that can't start here.
func (t *term) transfer(ctx context.Context, now time.Duration, duties *sync.WaitGroup) {
	var options []balancer.Option
	t.config.Replica.View(func(r *registrar.Registry) {
		options = balancer.Options(now, t.config.DataCentres, r, t.config.Catalogue)
	})
	t.mu.Lock()
	transfers := t.engine.TakeTransfers(now, func(s *briarspring.Step) string {
		return balancer.Elsewhere(t.config.DataCentre, s, options)
	})
	t.mu.Unlock()
	for _, tr := range transfers {
		value, err := encoder.TaskTransfer(tr.Content)
		if err != nil {
			t.logger.Error("transfer can't be encoded", "workflow", tr.Workflow, "error", err)
			continue
		}
		duties.Go(func() {
			t.publishTries(ctx, func() []briarspring.KeyedRecord {
				key := registrar.TransferKey(tr.Workflow, t.claim.Token, tr.Number, registrar.NewTry())
				return []briarspring.KeyedRecord{{Key: key, Value: value}}
			})
		})
	}
}

// send carries an order out and tells the dispatcher the outcome.
func (t *term) send(ctx context.Context, o dispatcher.Order) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	var err error
	switch o.Kind {
	case dispatcher.OrderStart:
		err = t.config.Workers.Start(ctx, o.Address, o.Worker, o.Start)
	case dispatcher.OrderStop:
		err = t.config.Workers.Stop(ctx, o.Address, o.Worker, o.Stop)
	case dispatcher.OrderPace:
		err = t.config.Workers.Pace(ctx, o.Address, o.Worker, o.Pace)
	}
	verdict := briarspring.VerdictOf(err)
	if err != nil {
		t.logger.Debug("order failed", "worker", o.Worker, "kind", o.Kind, "workflow", o.Run().Task.Workflow, "error", err)
	}
	t.mu.Lock()
	t.engine.Answered(t.config.Now(), o, verdict)
	t.mu.Unlock()
	if verdict != briarspring.VerdictDone {
		poke(t.wake)
	}
}

func poke(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
