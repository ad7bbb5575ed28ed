// Package steward carries out a host's part in owning data centres: it claims a
// data centre's workers when that is due, and while the claim is in force it
// feeds the dispatcher with what workers and the log say, and sends its orders.
package steward

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"briarspring"
	"briarspring/claimer"
	"briarspring/dispatcher"
	"briarspring/encoder"
	"briarspring/launcher"
	"briarspring/registrar"
	"briarspring/replicator"
	"briarspring/sleeper"
	"briarspring/tracker"
)

// Store is the platform's keyed streams.
type Store interface {
	tracker.Store
	Append(ctx context.Context, stream string, records []briarspring.KeyedRecord, fence briarspring.Fence) (next uint64, err error)
}

// Writer writes idempotent records to the shared stream.
type Writer interface {
	Write(ctx context.Context, records ...briarspring.KeyedRecord) error
}

// Workers carries orders to workers. Errors are *briarspring.OrderRefusedError
// when the worker answered, anything else leaves the outcome open. A hold whose
// connection is new and that would acknowledge ends must fail instead.
type Workers interface {
	Hold(ctx context.Context, address, id string, h briarspring.HoldRequest) (briarspring.HoldReply, error)
	Start(ctx context.Context, address, id string, o briarspring.StartOrder) error
	Stop(ctx context.Context, address, id string, o briarspring.StopOrder) error
	Pace(ctx context.Context, address, id string, o briarspring.PaceOrder) error
}

// List is the platform's list of workers.
type List interface {
	Workers(dataCentre string) ([]briarspring.WorkerEntry, bool)
}

// Catalogue tells which data centres are out of service.
type Catalogue interface {
	Out(dataCentre string) bool
}

// Freshness tells how current a followed stream is.
type Freshness interface {
	// Fresh returns when the last successful read was sent.
	Fresh() (time.Duration, bool)
	// Delay returns how long the store takes to answer.
	Delay() time.Duration
}

// Pacer decides how fast work that fills may run, and hands on what it learns.
type Pacer interface {
	dispatcher.Pacer
	Model() []briarspring.PressModel
	Adopt(models []briarspring.PressModel)
}

// Config holds the settings of a Steward.
type Config struct {
	Host        string
	HostCentre  string // Data centre of the host.
	DataCentre  string // That may be claimed.
	DataCentres []string
	Incarnation int64
	MilliCPU    int // Processors of the host, in thousandths of a core.
	Lease       time.Duration
	MaxLease    time.Duration // Longest lease that a worker grants.
	KeepFinal   time.Duration // For which finished workflows stay known.

	Store     Store
	Shared    Writer
	Workers   Workers
	List      List
	Catalogue Catalogue
	Replica   *replicator.Replica
	Reading   Freshness // Of the replica.
	Listing   Freshness // Of the list of workers.
	Follow    func(on bool)
	NewPacer  func() Pacer
	Now       func() time.Duration
	Logger    hclog.Logger
}

const (
	// beatInterval of an owner; a quarter of the silence that lets others claim.
	beatInterval = 400 * time.Millisecond
	// decideInterval between two looks at the need of a claim.
	decideInterval = 50 * time.Millisecond
	// gapAge of the last read from which the log counts as unreadable for a
	// while; above the wait of a read with a slow answer.
	gapAge = 1600 * time.Millisecond
	// maxUnreachable is how long an owner goes on without the log. Outages of up
	// to 9 s occur; a successor waits as long before it counts on the owner's end.
	maxUnreachable = 12 * time.Second
	// muchLarger is the ratio of processors from which duties are left to the larger
	// hosts; an owner of 116 workers was measured at up to 0.66 of a core.
	muchLarger = 3
	// writeTimeout of a claim and of a beat.
	writeTimeout = 1500 * time.Millisecond
)

// Steward is a host's part in owning one data centre.
type Steward struct {
	config Config
	logger hclog.Logger
	done   chan struct{}

	mu          sync.Mutex
	readSince   time.Duration
	lastFresh   time.Duration
	claimedAt   time.Duration
	seenToken   uint64
	lastAttempt time.Duration
	term        *term
	stopping    bool
	duties      sync.WaitGroup
}

// New returns a steward; Run makes it work.
func New(c Config) *Steward {
	if c.Logger == nil {
		c.Logger = hclog.NewNullLogger()
	}
	if c.Follow == nil {
		c.Follow = func(bool) {}
	}
	return &Steward{
		config: c, logger: c.Logger.With("data-centre", c.DataCentre), done: make(chan struct{}),
	}
}

// Done returns a channel that is closed when Run has ended.
func (s *Steward) Done() <-chan struct{} { return s.done }

// Run works until the context ends.
func (s *Steward) Run(ctx context.Context) {
	defer close(s.done)
	defer s.duties.Wait()
	sub := s.config.Replica.Subscribe()
	defer sub.Close()
	tick := time.NewTicker(decideInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-sub.Changed():
			sub.Take()
		case <-tick.C:
		}
		if s.isStopping() {
			continue
		}
		if claim, mine := s.look(); mine {
			s.serve(ctx, claim)
			continue
		}
		s.maybeClaim(ctx)
	}
}

func (s *Steward) isStopping() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopping
}

// look reads the claim in force and reports whether it is this process's and
// was not used up.
func (s *Steward) look() (registrar.Claim, bool) {
	var claim registrar.Claim
	s.config.Replica.View(func(r *registrar.Registry) { claim = r.Claim(s.config.DataCentre) })
	now := s.config.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	fresh, ok := s.config.Reading.Fresh()
	if !ok || now-fresh > gapAge || fresh-s.lastFresh > gapAge {
		s.readSince = now
	}
	s.lastFresh = fresh
	mine := claim.Token != 0 && claim.Owner == s.config.Host && claim.Incarnation == s.config.Incarnation
	if claim.Token != s.seenToken {
		s.seenToken = claim.Token
		s.claimedAt = now
		return claim, mine
	}
	return claim, false
}

// serve owns the data centre while the claim is in force.
func (s *Steward) serve(ctx context.Context, claim registrar.Claim) {
	t := newTerm(s, claim)
	s.mu.Lock()
	s.term = t
	s.mu.Unlock()
	t.run(ctx)
	s.mu.Lock()
	s.term = nil
	s.mu.Unlock()
	retirement, err := t.retirement()
	if err != nil {
		s.logger.Error("retirement can't be encoded", "error", err)
		return
	}
	s.duties.Go(func() { s.retire(ctx, retirement) })
}

// retire records that a term has ended, so that a successor need not wait for
// leases that this process will not renew.
func (s *Steward) retire(ctx context.Context, record briarspring.KeyedRecord) {
	ctx, cancel := context.WithTimeout(ctx, maxUnreachable)
	defer cancel()
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, writeTimeout)
		err := s.config.Shared.Write(callCtx, record)
		cancel()
		if err == nil {
			return
		}
		s.logger.Warn("retirement is not recorded yet", "key", record.Key, "error", err)
		_ = sleeper.For(ctx, setupPause)
	}
}

// maybeClaim claims the data centre when that is due.
func (s *Steward) maybeClaim(ctx context.Context) {
	sit := s.situation()
	claim, why := claimer.ShouldClaim(sit)
	if !claim {
		return
	}
	s.mu.Lock()
	s.lastAttempt = sit.Now
	s.mu.Unlock()
	s.logger.Info("claims the data centre", "why", why, "owner", sit.Owner, "token", sit.Token,
		"silent-ms", (sit.LastRead - max(sit.LastBeat, sit.ClaimedAt)).Milliseconds(), "read-age-ms", (sit.Now - sit.LastRead).Milliseconds())
	s.write(ctx, s.config.Host, sit.Token)
}

// write records a claim; an empty owner gives the data centre up.
func (s *Steward) write(ctx context.Context, owner string, previous uint64, more ...briarspring.KeyedRecord) {
	c := briarspring.DataCentreClaim{
		DataCentre: s.config.DataCentre, Previous: previous, Owner: owner, Incarnation: s.config.Incarnation,
	}
	value, err := encoder.DataCentreClaim(c)
	if err != nil {
		s.logger.Error("claim can't be encoded", "error", err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	err = s.config.Shared.Write(ctx, append(more, briarspring.KeyedRecord{Key: registrar.ClaimKey(s.config.DataCentre, registrar.NewTry()), Value: value})...)
	if err != nil {
		s.logger.Warn("claim is not confirmed", "owner", owner, "previous", previous, "error", err)
	}
}

// situation gathers what the decision to claim depends on.
func (s *Steward) situation() claimer.Situation {
	sit := claimer.Situation{
		Host: s.config.Host, Local: s.config.HostCentre == s.config.DataCentre,
	}
	s.config.Replica.View(func(r *registrar.Registry) {
		claim := r.Claim(s.config.DataCentre)
		least, most := r.HostSizes()
		sit.Owner, sit.Token = claim.Owner, claim.Token
		sit.LastBeat = r.Beat(s.config.DataCentre).At
		if p, ok := r.Host(claim.Owner); ok {
			sit.OwnerLocal = p.DataCentre == s.config.DataCentre
			sit.OwnerWeak = p.MilliCPU*muchLarger < most
			sit.Restarted = p.Incarnation > claim.Incarnation
		}
		sit.Weak = s.config.MilliCPU*muchLarger < most
		sit.Mixed = least*muchLarger < most
		if claim.Owner == s.config.Host && claim.Incarnation == s.config.Incarnation {
			// The term has ended, so the data centre has no owner.
			sit.Restarted = true
		}
	})
	sit.Now = s.config.Now()
	sit.StoreDelay = s.config.Reading.Delay()
	s.mu.Lock()
	defer s.mu.Unlock()
	sit.LastRead, sit.ReadSince, sit.ClaimedAt, sit.LastAttempt = s.lastFresh, s.readSince, s.claimedAt, s.lastAttempt
	return sit
}

// Owns reports whether this process owns the data centre at present.
func (s *Steward) Owns() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.term != nil
}

// Counters returns what the dispatcher of the present term did; false when this
// process is not the owner.
func (s *Steward) Counters() (c dispatcher.Counters, ok bool) {
	ok = s.inspect(func(d *dispatcher.Dispatcher) { c = d.Counters() })
	return c, ok
}

// Runs returns the runs of a workflow that may be alive, or those of all when
// the ID is empty; false when this process is not the owner.
func (s *Steward) Runs(id briarspring.WorkflowID) (list []dispatcher.RunInfo, ok bool) {
	ok = s.inspect(func(d *dispatcher.Dispatcher) { list = d.Runs(id) })
	return list, ok
}

// inspect calls f with the dispatcher of the present term; false when there is
// none, or it still takes the data centre over.
func (s *Steward) inspect(f func(*dispatcher.Dispatcher)) bool {
	s.mu.Lock()
	t := s.term
	s.mu.Unlock()
	if t == nil {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.engine == nil {
		return false
	}
	f(t.engine)
	return true
}

// Stop gives the data centre up, so that another host claims it at once. It
// returns when that is recorded, or the channel closes.
func (s *Steward) Stop(giveUp <-chan struct{}) {
	s.mu.Lock()
	s.stopping = true
	t := s.term
	s.mu.Unlock()
	if t == nil {
		return
	}
	t.stop()
	select {
	case <-t.ended:
	case <-giveUp:
		return
	}
	ctx, cancel := launcher.GiveUpContext(giveUp)
	defer cancel()
	retirement, err := t.retirement()
	if err != nil {
		s.logger.Error("retirement can't be encoded", "error", err)
		return
	}
	s.write(ctx, "", t.claim.Token, retirement)
	s.logger.Info("gave the data centre up", "token", t.claim.Token)
}
