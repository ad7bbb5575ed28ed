// Package scheduler replicates the platform's log and, while its process owns
// its data centre's workers, places tasks on them and renews their leases.
package scheduler

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"briarspring"
	"briarspring/applier"
	"briarspring/committer"
	"briarspring/follower"
	"briarspring/learner"
	"briarspring/placer"
)

// Log appends to and reads from the platform's log.
type Log interface {
	Append(ctx context.Context, stream string, record []byte) (uint64, error)
	Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (briarspring.LogPage, error)
}

// Workers exchanges commands and reports with the data centre's workers.
type Workers interface {
	Exchange(ctx context.Context, address string, e briarspring.Exchange) (briarspring.WorkerReport, error)
}

// Hosts lists the platform's live and leaving hosts.
type Hosts interface {
	Hosts(ctx context.Context, dataCentre string) ([]briarspring.Host, error)
}

// Config holds the settings of a Scheduler.
type Config struct {
	Name       string // Unique name of this process.
	DataCentre string
	Log        Log
	Workers    Workers
	Hosts      Hosts
	Logger     hclog.Logger

	LeaseDuration       time.Duration // Length of a worker's lease, counted from its last report.
	OutageLeaseDuration time.Duration // Lease length while the log can't be read.
	StartWindow         time.Duration // Longest time between a read of the log and a start based on it.
	ExchangeInterval    time.Duration // Time between two exchanges with a worker.
	ExchangeTimeout     time.Duration
	CommitInterval      time.Duration // Minimum time between two batches.
	IdleBatchInterval   time.Duration // Time between two batches of an idle owner, as its heartbeat.
	OwnerTimeout        time.Duration // Time without a batch after which a follower claims the workers.
	SummaryInterval     time.Duration
	HostsInterval       time.Duration
	SnapshotInterval    time.Duration // Time between two snapshots of a stream.
	SnapshotRecords     uint64        // Number of records between two snapshots of a stream.
	ReadWait            time.Duration // How long a read waits for the next record.
	EvictionsPerMin     int           // Rate limit on evictions for interference, per data centre.
	PlacementRule       placer.Rule   // Placement rule; empty for the default.
}

// WithDefaults returns the settings with defaults for those that are not set.
func (c Config) WithDefaults() Config {
	set := func(d *time.Duration, value time.Duration) {
		if *d == 0 {
			*d = value
		}
	}
	set(&c.LeaseDuration, 15*time.Second)
	set(&c.OutageLeaseDuration, 10*time.Minute)
	set(&c.StartWindow, 2*time.Second)
	set(&c.ExchangeInterval, time.Second)
	set(&c.ExchangeTimeout, 2*time.Second)
	set(&c.CommitInterval, 40*time.Millisecond)
	set(&c.IdleBatchInterval, time.Second)
	set(&c.OwnerTimeout, 2500*time.Millisecond)
	set(&c.SummaryInterval, 2*time.Second)
	set(&c.HostsInterval, 500*time.Millisecond)
	set(&c.SnapshotInterval, 10*time.Minute)
	set(&c.ReadWait, 500*time.Millisecond)
	if c.SnapshotRecords == 0 {
		c.SnapshotRecords = 20000
	}
	if c.EvictionsPerMin == 0 {
		c.EvictionsPerMin = 60
	}
	if c.Logger == nil {
		c.Logger = hclog.NewNullLogger()
	}
	return c
}

// Scheduler holds the replicated state of one scheduler process and runs its
// part in the data centre, as owner or follower.
type Scheduler struct {
	config Config
	logger hclog.Logger
	done   chan struct{}
	wake   chan struct{}

	mu                 sync.Mutex
	conf               *applier.Config
	placement          *applier.Placement
	configReadAt       time.Time // When the latest read that found no newer record was sent.
	placementReadAt    time.Time
	self               briarspring.Writer
	configCommitter    *committer.Committer
	placementCommitter *committer.Committer
	ownership          ownership
	agents             map[string]*agent
	answers            map[string][]chan applier.Answer // By request id.
	changed            chan struct{}                    // Closed and replaced when either state changes.
	decisions          decisionLog
	placer             *placer.Placer
	learner            *learner.Learner
	interference       interferenceControl
	reconciler         reconciler
	snapshots          map[string]*snapshotTimer
	quarantine         quarantine
	waiting            waitingReasons
	summary            sentState
	hostsFailing       bool
	stopping           bool
	restored           bool                          // Restore has taken both states from a peer.
	pendingMoves       map[briarspring.TaskID]string // Executors drained for a move, with the receiving data centre.
	roundDue           bool                          // The input of placement has changed since the last round.
	lastRound          time.Time
	counters           Counters
}

// Counters holds a scheduler's activity counters, for its metrics.
type Counters struct {
	Batches        uint64
	Events         uint64
	Exchanges      uint64
	ExchangeErrors uint64
	Rounds         uint64
	RoundTime      time.Duration
}

// New returns a scheduler that starts working with Run.
func New(c Config) *Scheduler {
	c = c.WithDefaults()
	s := &Scheduler{
		config:       c,
		logger:       c.Logger.Named("scheduler"),
		done:         make(chan struct{}),
		wake:         make(chan struct{}, 1),
		conf:         applier.NewConfig(),
		placement:    applier.NewPlacement(),
		agents:       map[string]*agent{},
		answers:      map[string][]chan applier.Answer{},
		changed:      make(chan struct{}),
		snapshots:    map[string]*snapshotTimer{},
		pendingMoves: map[briarspring.TaskID]string{},
	}
	s.learner = learner.New(learner.Config{})
	s.placer = placer.New(placer.Config{
		Rule: c.PlacementRule, Interference: s.learner, MaxSlowdown: maxPredictedSlowdown, MaxEvictions: maxUrgentEvictions, MaxRejected: rejectedShown,
	})
	s.decisions.init()
	s.reconciler.init()
	s.quarantine.init()
	s.waiting.init()
	s.summary.init()
	s.interference.init()
	return s
}

const (
	maxPredictedSlowdown = 0.2
	maxUrgentEvictions   = 64
	rejectedShown        = 3
	tickInterval         = 25 * time.Millisecond
)

// Done returns a channel that is closed when Run has ended.
func (s *Scheduler) Done() <-chan struct{} { return s.done }

// Run runs the scheduler until the context ends.
func (s *Scheduler) Run(ctx context.Context) {
	defer close(s.done)
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	conf := s.startFollower(ctx, &wg, briarspring.ConfigStream, s.conf.Applied()+1)
	placement := s.startFollower(ctx, &wg, briarspring.PlacementStream(s.config.DataCentre), s.placement.Applied()+1)
	wg.Go(func() { s.pollHosts(ctx) })
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case item := <-conf.Items():
			s.locked(func() { s.applyConfigItem(item) })
			s.applyQueued(conf.Items(), s.applyConfigItem)
		case item := <-placement.Items():
			s.locked(func() { s.applyPlacementItem(item) })
			s.applyQueued(placement.Items(), s.applyPlacementItem)
		case <-tick.C:
		case <-s.wake:
		}
		s.locked(func() { s.step(ctx, &wg) })
	}
}

func (s *Scheduler) startFollower(ctx context.Context, wg *sync.WaitGroup, stream string, from uint64) *follower.Follower {
	f := follower.New(follower.Config{
		Stream: stream, Reader: s.config.Log, From: from, Wait: s.config.ReadWait, Logger: s.logger,
	})
	wg.Go(func() { f.Run(ctx) })
	return f
}

// applyQueued applies the items that a follower has already read.
func (s *Scheduler) applyQueued(items <-chan follower.Item, apply func(follower.Item)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		select {
		case item := <-items:
			apply(item)
		default:
			return
		}
	}
}

func (s *Scheduler) locked(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

// Wake makes Run call step without waiting for the next tick.
func (s *Scheduler) Wake() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// notify wakes those who wait for a change of state.
func (s *Scheduler) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// step does the work that is due, as owner or as follower.
func (s *Scheduler) step(ctx context.Context, wg *sync.WaitGroup) {
	if !s.ensureCommitters(ctx, wg) {
		return
	}
	s.writeSnapshots()
	if s.stopping {
		s.resign()
		return
	}
	if !s.owns() {
		s.claimIfUnowned()
		return
	}
	s.startAgents(ctx, wg)
	s.publishSummary()
	s.sendTransfers()
	s.queueNextBatch()
}

// ensureCommitters starts the committers once both streams have been read to
// their end, and reports whether they run. Only then does the process know its
// own last incarnation and may write.
func (s *Scheduler) ensureCommitters(ctx context.Context, wg *sync.WaitGroup) bool {
	if s.placementCommitter != nil {
		return true
	}
	if s.configReadAt.IsZero() || s.placementReadAt.IsZero() {
		return false
	}
	lastConfig, _ := s.conf.Sequence(s.config.Name)
	lastPlacement, _ := s.placement.Sequence(s.config.Name)
	s.self = briarspring.Writer{
		Name:        s.config.Name,
		Incarnation: max(uint64(time.Now().UnixNano()), lastConfig+1, lastPlacement+1),
	}
	s.configCommitter = s.startCommitter(ctx, wg, briarspring.ConfigStream)
	s.placementCommitter = s.startCommitter(ctx, wg, briarspring.PlacementStream(s.config.DataCentre))
	s.notify()
	s.logger.Info("streams read to their end",
		"config-offset", s.conf.Applied(), "placement-offset", s.placement.Applied(), "incarnation", s.self.Incarnation)
	return true
}

func (s *Scheduler) startCommitter(ctx context.Context, wg *sync.WaitGroup, stream string) *committer.Committer {
	c := committer.New(committer.Config{
		Stream: stream, Appender: s.config.Log, Writer: s.self,
		Interval: s.config.CommitInterval, Logger: s.logger,
	})
	wg.Go(func() { c.Run(ctx) })
	return c
}
