// Package steward makes a host the owner of data centres' workers. It claims a
// data centre's workers when they need a new owner. While the claim is in force,
// it passes log records and workers' replies to the dispatcher and sends the
// dispatcher's orders to the workers.
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

// Store accesses the platform's keyed streams.
type Store interface {
	tracker.Store
	Append(ctx context.Context, stream string, records []briarspring.KeyedRecord, fence briarspring.Fence) (next uint64, err error)
}

// Writer writes idempotent records to the shared stream.
type Writer interface {
	Write(ctx context.Context, records ...briarspring.KeyedRecord) error
}

// Workers sends requests to workers. A *briarspring.OrderRefusedError is the
// worker's answer; after any other error the outcome is unknown. A lease
// renewal that acknowledges ended runs must fail if it would open a new
// connection.
type Workers interface {
	RenewLease(ctx context.Context, address, id string, h briarspring.LeaseRequest) (briarspring.LeaseReply, error)
	// Start returns the worker's clock when it answered, or zero if that is not known.
	Start(ctx context.Context, address, id string, o briarspring.StartOrder) (time.Duration, error)
	Stop(ctx context.Context, address, id string, o briarspring.StopOrder) error
	Pace(ctx context.Context, address, id string, o briarspring.PaceOrder) error
}

// List provides the platform's list of workers.
type List interface {
	Workers(dataCentre string) ([]briarspring.WorkerEntry, bool)
}

// Catalogue is the operators' configuration.
type Catalogue interface {
	Directory() (briarspring.Directory, bool)
	OutOfService(dataCentre string) bool
	// Restored reports whether OutOfService knows what the operators' stream has.
	Restored() bool
}

// Freshness describes how current a followed stream is.
type Freshness interface {
	// LastReadSent returns a time before which everything that was stored has been
	// read, about when the last successful read was sent.
	LastReadSent() (time.Duration, bool)
	// StoreLatency returns how long the store takes to answer.
	StoreLatency() time.Duration
}

// Pacer limits the speed of best-effort runs, and exchanges the interference
// models that it learns.
type Pacer interface {
	dispatcher.Pacer
	Models() []briarspring.InterferenceModel
	AdoptModels(models []briarspring.InterferenceModel)
}

// Config holds the settings of an Owner.
type Config struct {
	Host           string
	HostDataCentre string // Data centre of the host itself.
	DataCentre     string // Data centre to claim.
	DataCentres    []string
	Incarnation    int64
	MilliCPU       int // Processors of the host, in thousandths of a core.
	Lease          time.Duration
	MaxLease       time.Duration // Longest lease that a worker grants.
	FinalRetention time.Duration // How long finished workflows are remembered.
	MakeRoom       bool          // Stop long-running tasks where urgent work would be late otherwise.
	FarMultiplier  float64       // Factor of run times away from the rack of the data, or on several racks; zero if not known.

	Store            Store
	Shared           Writer
	Workers          Workers
	List             List
	Catalogue        Catalogue
	Replica          *replicator.Replica
	ReplicaFreshness Freshness
	ListFreshness    Freshness
	OnOwnership      func(owned bool) // Called when an ownership starts and ends.
	NewPacer         func() Pacer
	Now              func() time.Duration
	Logger           hclog.Logger
}

const (
	// heartbeatInterval fits four times into the shortest silence after which
	// another host may claim.
	heartbeatInterval = 400 * time.Millisecond
	// claimCheckInterval is the time between two checks whether to claim.
	claimCheckInterval = 50 * time.Millisecond
	// readGapAge is the age of the last read above which the log counts as having
	// been unreadable. It exceeds the wait of a read with a slow answer.
	readGapAge = 1600 * time.Millisecond
	// maxUnreachable is how long an owner continues without the log; outages of
	// up to 9 s occur. A successor waits just as long before it assumes that the
	// owner has stopped.
	maxUnreachable = 12 * time.Second
	// largerHostRatio is the ratio of processors above which ownership is left to
	// the larger host. An owner of 116 workers uses up to 0.66 of a core.
	largerHostRatio = 3
	// writeTimeout bounds one write of a claim, a retirement, a heartbeat or phases.
	writeTimeout = 1500 * time.Millisecond
)

// Owner claims and owns the workers of one data centre on behalf of a host.
type Owner struct {
	config Config
	logger hclog.Logger
	done   chan struct{}

	mu          sync.Mutex
	readSince   time.Duration
	lastRead    time.Duration
	claimedAt   time.Duration
	seenToken   uint64
	lastAttempt time.Duration
	ownership   *ownership
	stopping    bool
	goroutines  sync.WaitGroup
}

// New returns an Owner; Run starts it.
func New(c Config) *Owner {
	if c.Logger == nil {
		c.Logger = hclog.NewNullLogger()
	}
	if c.OnOwnership == nil {
		c.OnOwnership = func(bool) {}
	}
	return &Owner{
		config: c, logger: c.Logger.With("data-centre", c.DataCentre), done: make(chan struct{}),
	}
}

// Done returns a channel that is closed when Run has ended.
func (o *Owner) Done() <-chan struct{} { return o.done }

// Run claims the data centre when that is due, and owns it while the claim is in
// force, until the context ends.
func (o *Owner) Run(ctx context.Context) {
	defer close(o.done)
	defer o.goroutines.Wait()
	sub := o.config.Replica.Subscribe()
	defer sub.Close()
	tick := time.NewTicker(claimCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-sub.Changed():
			sub.Drain()
		case <-tick.C:
		}
		if o.isStopping() {
			continue
		}
		if claim, mine := o.checkClaim(); mine {
			o.runOwnership(ctx, claim)
			continue
		}
		o.claimIfDue(ctx)
	}
}

func (o *Owner) isStopping() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.stopping
}

// checkClaim returns the claim in force and reports whether it is a new claim of
// this process. It also tracks since when the log has been read without a gap.
func (o *Owner) checkClaim() (registrar.Claim, bool) {
	var claim registrar.Claim
	o.config.Replica.View(func(r *registrar.Registry) { claim = r.Claim(o.config.DataCentre) })
	now := o.config.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	fresh, ok := o.config.ReplicaFreshness.LastReadSent()
	if !ok || now-fresh > readGapAge || fresh-o.lastRead > readGapAge {
		o.readSince = now
	}
	o.lastRead = fresh
	mine := claim.Token != 0 && claim.Owner == o.config.Host && claim.Incarnation == o.config.Incarnation
	if claim.Token != o.seenToken {
		o.seenToken = claim.Token
		o.claimedAt = now
		return claim, mine
	}
	return claim, false
}

// runOwnership owns the data centre while the claim is in force.
func (o *Owner) runOwnership(ctx context.Context, claim registrar.Claim) {
	ow := newOwnership(o, claim)
	o.mu.Lock()
	o.ownership = ow
	o.mu.Unlock()
	ow.run(ctx)
	o.mu.Lock()
	o.ownership = nil
	o.mu.Unlock()
	retirement, err := ow.retirement()
	if err != nil {
		o.logger.Error("retirement can't be encoded", "error", err)
		return
	}
	o.goroutines.Go(func() { o.retire(ctx, retirement) })
}

// retire records that an ownership has ended, so that a successor need not wait
// for leases that this process will not renew.
func (o *Owner) retire(ctx context.Context, record briarspring.KeyedRecord) {
	ctx, cancel := context.WithTimeout(ctx, maxUnreachable)
	defer cancel()
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, writeTimeout)
		err := o.config.Shared.Write(callCtx, record)
		cancel()
		if err == nil {
			return
		}
		o.logger.Warn("failed to record the retirement, retrying", "key", record.Key, "error", err)
		_ = sleeper.For(ctx, retryPause)
	}
}

// IsSmall reports whether much larger hosts than one with the given processors are
// known, which claim before it.
func IsSmall(milliCPU int, r *registrar.Registry) bool {
	_, most := r.HostSizes()
	return milliCPU*largerHostRatio < most
}

// claimIfDue claims the data centre if the claim rules ask for it.
func (o *Owner) claimIfDue(ctx context.Context) {
	state := o.claimState()
	claim, why := claimer.ShouldClaim(state)
	if !claim {
		return
	}
	o.mu.Lock()
	o.lastAttempt = state.Now
	o.mu.Unlock()
	o.logger.Info("claiming the data centre", "why", why, "owner", state.Owner, "token", state.Token,
		"silent-ms", (state.LastRead - max(state.LastHeartbeat, state.ClaimedAt)).Milliseconds(), "read-age-ms", (state.Now - state.LastRead).Milliseconds())
	o.writeClaim(ctx, o.config.Host, state.Token)
}

// writeClaim writes the additional records, followed by a claim, to the shared
// stream. An empty owner releases the data centre.
func (o *Owner) writeClaim(ctx context.Context, owner string, previous uint64, more ...briarspring.KeyedRecord) {
	c := briarspring.DataCentreClaim{
		DataCentre: o.config.DataCentre, Previous: previous, Owner: owner, Incarnation: o.config.Incarnation, Yields: true, ShortLeases: true,
	}
	value, err := encoder.EncodeDataCentreClaim(c)
	if err != nil {
		o.logger.Error("claim can't be encoded", "error", err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	err = o.config.Shared.Write(ctx, append(more, briarspring.KeyedRecord{Key: registrar.ClaimKey(o.config.DataCentre, registrar.NewAttemptID()), Value: value})...)
	if err != nil {
		o.logger.Warn("claim was not confirmed", "owner", owner, "previous", previous, "error", err)
	}
}

// claimState gathers the inputs of the decision to claim.
func (o *Owner) claimState() claimer.State {
	state := claimer.State{
		Host: o.config.Host, Local: o.config.HostDataCentre == o.config.DataCentre,
	}
	o.config.Replica.View(func(r *registrar.Registry) {
		claim := r.Claim(o.config.DataCentre)
		least, most := r.HostSizes()
		state.Owner, state.Token = claim.Owner, claim.Token
		state.LastHeartbeat = r.Heartbeat(o.config.DataCentre).At
		if p, ok := r.Host(claim.Owner); ok {
			state.OwnerLocal = p.DataCentre == o.config.DataCentre
			state.OwnerSmall = p.MilliCPU*largerHostRatio < most
			state.Restarted = p.Incarnation > claim.Incarnation
		}
		state.Small = IsSmall(o.config.MilliCPU, r)
		state.SizesDiffer = least*largerHostRatio < most
		if claim.Owner == o.config.Host && claim.Incarnation == o.config.Incarnation {
			// This process's ownership has ended, so the data centre has no owner.
			state.Restarted = true
		}
	})
	state.Now = o.config.Now()
	state.StoreDelay = o.config.ReplicaFreshness.StoreLatency()
	o.mu.Lock()
	defer o.mu.Unlock()
	state.LastRead, state.ReadSince, state.ClaimedAt, state.LastAttempt = o.lastRead, o.readSince, o.claimedAt, o.lastAttempt
	return state
}

// Owns reports whether this process owns the data centre.
func (o *Owner) Owns() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.ownership != nil
}

// Counters returns the counters of the current dispatcher, or false if this
// process is not the owner.
func (o *Owner) Counters() (c dispatcher.Counters, ok bool) {
	ok = o.inspect(func(d *dispatcher.Dispatcher) { c = d.Counters() })
	return c, ok
}

// OrganisationCounters returns the counters of the current dispatcher by organisation, of
// at most 32 names, or false if this process is not the owner.
func (o *Owner) OrganisationCounters() (counters map[string]dispatcher.OrganisationCounters, ok bool) {
	ok = o.inspect(func(d *dispatcher.Dispatcher) { counters = d.OrganisationCounters() })
	return counters, ok
}

// Runs returns the runs of a workflow that may be alive, or those of all
// workflows if the ID is empty. It returns false if this process is not the
// owner.
func (o *Owner) Runs(id briarspring.WorkflowID) (list []dispatcher.RunInfo, ok bool) {
	ok = o.inspect(func(d *dispatcher.Dispatcher) { list = d.Runs(id) })
	return list, ok
}

// inspect calls f with the current dispatcher. It returns false if this process
// is not the owner or has not finished the takeover.
func (o *Owner) inspect(f func(*dispatcher.Dispatcher)) bool {
	o.mu.Lock()
	ow := o.ownership
	o.mu.Unlock()
	if ow == nil {
		return false
	}
	ow.mu.Lock()
	defer ow.mu.Unlock()
	if ow.engine == nil {
		return false
	}
	f(ow.engine)
	return true
}

// Stop releases the data centre, so that another host claims it at once. It
// returns when the release is recorded or giveUp is closed.
func (o *Owner) Stop(giveUp <-chan struct{}) {
	o.mu.Lock()
	o.stopping = true
	ow := o.ownership
	o.mu.Unlock()
	if ow == nil {
		return
	}
	ow.stop()
	select {
	case <-ow.ended:
	case <-giveUp:
		return
	}
	ctx, cancel := launcher.ContextUntil(giveUp)
	defer cancel()
	retirement, err := ow.retirement()
	if err != nil {
		o.logger.Error("retirement can't be encoded", "error", err)
		return
	}
	o.writeClaim(ctx, "", ow.claim.Token, retirement)
	o.logger.Info("released the data centre", "token", ow.claim.Token)
}
