package assembler

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"briarspring"
	"briarspring/admitter"
	"briarspring/appender"
	"briarspring/cataloguer"
	"briarspring/counter"
	"briarspring/encoder"
	"briarspring/launcher"
	"briarspring/lister"
	"briarspring/pacer"
	"briarspring/registrar"
	"briarspring/replicator"
	"briarspring/steward"
	"briarspring/tracker"
)

// HostConfig holds the settings and external dependencies of a host that runs
// workflows.
type HostConfig struct {
	Host           string
	DataCentre     string
	DataCentres    []string
	MilliCPU       int // Thousandths of a core.
	MaxLease       time.Duration
	StopTime       time.Duration // For each part to finish its work in flight.
	FinalRetention time.Duration // Minimum time for which finished workflows are remembered.
	MaxRecordBytes int           // Largest record that the store takes, with its key; zero for no limit.
	RevokeTime     time.Duration // Time after which no removed key may be accepted, even by a host that is cut off; zero for no limit.
	FarMultiplier  float64       // See steward.Config.
	MakeRoom       bool          // See steward.Config.
	CallersAddr    string
	ReadyAddr      string
	MetricsAddr    string // Empty for none.

	OperatorsAddr string // Serves the operators' calls; empty for none.

	Store   steward.Store
	Workers steward.Workers
	Decoder interface {
		cataloguer.Decoder
		lister.Decoder
	}
	CallersHandler func(*admitter.Admitter) http.Handler
	ReadyHandler   func(a *admitter.Admitter, draining func() bool) http.Handler
	Now            func() time.Duration
	Clients        ClientLimits // The zero value sets no limits.

	doors *doors // Nil for no limits.

	Logger    hclog.Logger
	LogWriter launcher.Part // Writes the log lines; nil for none.
}

const (
	// sharedReadWait is how long a read of the shared stream waits for the next
	// record. With smallReadInterval and a slow store's 0.8 s it stays below the
	// age at which a host takes the log for unreachable.
	sharedReadWait = 600 * time.Millisecond
	// ownerReadInterval is the minimum time between two reads of the shared stream
	// by an owner, which starts the workflows that it reads.
	ownerReadInterval = 50 * time.Millisecond
	// followerReadInterval is the same for a host that may soon have to claim a data
	// centre, which needs a state of at most 0.4 s.
	followerReadInterval = 200 * time.Millisecond
	// smallReadInterval is the same for a host much smaller than others, which
	// claims last. It reads when a caller asks, and hundreds of such hosts would
	// make most of the calls to the log.
	smallReadInterval = 700 * time.Millisecond
	// directoryReadWait is how long a read waits for the operators' next change.
	// Together with the call's timeout it stays below 3 s: a host must have read
	// the directory 3 s after a cut ends.
	directoryReadWait = time.Second
	// revocationReads is how many reads of the directory fit into the time after which
	// removed keys may not be accepted. One of them is kept in reserve for calls that
	// are under way, and the others must take less than a slow store's 0.8 s.
	revocationReads = 3
	// minDirectoryReadWait keeps a short time of revocation from making the hosts read
	// the directory all the time.
	minDirectoryReadWait = 200 * time.Millisecond
	// workersReadInterval is the minimum time between two reads of the list of
	// workers, whose entries change every 1.5 s.
	workersReadInterval = 250 * time.Millisecond
	// defaultLease is the workers' lease. It is longer than the 3 s or so until a
	// successor of a lost owner renews it, and short because long-running tasks of
	// a lost worker start elsewhere only when it has expired.
	defaultLease = 5500 * time.Millisecond
	// finalRetentionMargin is added to the time for which finished workflows are
	// remembered, for hosts that read of the end later.
	finalRetentionMargin = 30 * time.Second
	// presenceTimeout bounds one attempt to announce the process.
	presenceTimeout = 2 * time.Second
)

// NewHost returns the launcher of a host that runs workflows.
func NewHost(c HostConfig) (*launcher.Launcher, error) {
	c.doors = newDoors(c.Clients, c.Logger)
	l, intake := NewHostCore(c)
	if c.doors != nil {
		l.Add("limiter", c.doors.limiter)
	}
	return l, addServers(l, c, intake)
}

// NewHostCore returns the launcher of a host without the servers for callers,
// and the admitter that handles callers' requests.
func NewHostCore(c HostConfig) (*launcher.Launcher, *admitter.Admitter) {
	incarnation := time.Now().UnixMilli()
	logger := c.Logger
	calls := counter.New()
	c.Store = &meteredStore{Store: c.Store, calls: calls}
	var copies *directoryCopies
	catalogue := cataloguer.New(cataloguer.Config{Decoder: c.Decoder, Logger: logger, OnChange: func() { copies.notify() }})
	replica := replicator.New(replicator.Config{Directory: catalogue, Now: c.Now, Logger: logger})
	var sharedTracker *tracker.Tracker
	copier := cataloguer.NewCopier(cataloguer.CopierConfig{
		Catalogue: catalogue, Replica: replica, MaxRecordBytes: c.MaxRecordBytes, Logger: logger,
		Refresh: func(ctx context.Context) { sharedTracker.Refresh(ctx) },
	})
	shared := appender.New(appender.Config{Stream: briarspring.SharedStream, Store: c.Store, Prologue: copier})
	list := lister.New(lister.Config{Decoder: c.Decoder, Logger: logger})
	var owned atomic.Int32
	track := func(stream string, sink tracker.Sink, wait time.Duration, interval func() time.Duration, enabled func() bool) *tracker.Tracker {
		return tracker.New(tracker.Config{
			Stream: stream, Store: c.Store, Sink: sink, Wait: wait, Interval: interval, Enabled: enabled, Now: c.Now, Logger: logger,
		})
	}
	sharedTracker = track(briarspring.SharedStream, replica, sharedReadWait, func() time.Duration {
		return sharedReadInterval(owned.Load() > 0, c.MilliCPU, replica)
	}, nil)
	directoryWait, maxKeyAge := revocationTimes(c.RevokeTime)
	directoryTracker := track(briarspring.DirectoryStream, catalogue, directoryWait, nil, nil)
	workersTracker := track(briarspring.WorkersStream, list, 0, func() time.Duration { return workersReadInterval }, func() bool { return owned.Load() > 0 })
	intake := admitter.New(admitter.Config{
		DataCentre: c.DataCentre, DataCentres: c.DataCentres, Shared: shared, Catalogue: catalogue,
		Replica: replica, Reading: sharedTracker, DirectoryReading: directoryTracker, Now: c.Now, Logger: logger, MaxRecordBytes: c.MaxRecordBytes,
		MaxKeyAge: maxKeyAge,
	})
	l := launcher.New(logger, c.StopTime)
	if c.LogWriter != nil {
		l.Add("logs", c.LogWriter)
	}
	l.Add("shared", shared)
	l.Add("reading", sharedTracker)
	l.Add("directory", directoryTracker)
	l.Add("listing", workersTracker)
	l.Add("presence", newPresence(c, incarnation, shared))
	owners := map[string]*steward.Owner{}
	copies = newDirectoryCopies(func(ctx context.Context) error { return shared.Write(ctx) }, func() (int, bool) {
		rank := slices.IndexFunc(c.DataCentres, func(name string) bool { return owners[name].Owns() })
		return rank, rank >= 0
	})
	l.Add("copies", copies)
	for _, name := range c.DataCentres {
		owners[name] = steward.New(steward.Config{
			Host: c.Host, HostDataCentre: c.DataCentre, DataCentre: name, DataCentres: c.DataCentres, Incarnation: incarnation, MilliCPU: c.MilliCPU,
			Lease: min(defaultLease, c.MaxLease), MaxLease: c.MaxLease, FinalRetention: c.FinalRetention + finalRetentionMargin, FarMultiplier: c.FarMultiplier, MakeRoom: c.MakeRoom,
			Store: c.Store, Shared: shared, Workers: c.Workers, List: list, Catalogue: catalogue, Replica: replica,
			ReplicaFreshness: sharedTracker, ListFreshness: workersTracker, NewPacer: func() steward.Pacer { return pacer.New() }, Now: c.Now, Logger: logger,
			OnOwnership: func(on bool) {
				if on {
					owned.Add(1)
				} else {
					owned.Add(-1)
				}
			},
		})
		l.Add("steward-"+name, owners[name])
	}
	streams := map[string]*tracker.Tracker{"shared": sharedTracker, "directory": directoryTracker, "workers": workersTracker}
	addMetrics(l, c, intake, calls, streams, owners)
	addOperators(l, c, intake, owners)
	return l, intake
}

// revocationTimes returns how long reads of the directory wait, and the age of the
// directory from which calls with keys are refused, zero for never. The age is the time
// of revocation less one read, so that a call that is accepted at that age has its effect
// within the time. A time that is too short for reads gives an age of a nanosecond:
// nobody is accepted.
func revocationTimes(revoke time.Duration) (wait, maxKeyAge time.Duration) {
	if revoke == 0 {
		return directoryReadWait, 0
	}
	wait = max(minDirectoryReadWait, min(directoryReadWait, revoke/revocationReads))
	return wait, max(1, revoke-wait)
}

// sharedReadInterval returns the minimum time between two reads of the shared
// stream.
func sharedReadInterval(owner bool, milliCPU int, replica *replicator.Replica) time.Duration {
	if owner {
		return ownerReadInterval
	}
	small := false
	replica.View(func(r *registrar.Registry) { small = steward.IsSmall(milliCPU, r) })
	if small {
		return smallReadInterval
	}
	return followerReadInterval
}

// addServers adds the servers for callers and for the balancer's readiness
// checks.
func addServers(l *launcher.Launcher, c HostConfig, intake *admitter.Admitter) error {
	jobs, err := newJobsPart(c.CallersAddr, c.CallersHandler(intake), c.doors, c.Logger)
	if err != nil {
		return err
	}
	ready, err := newHTTPPart(c.ReadyAddr, c.ReadyHandler(intake, jobs.stopping.Load), c.doors.protect(readyDoor), c.Logger)
	if err != nil {
		return err
	}
	l.Add("ready", ready)
	l.Add("front", jobs)
	return nil
}

// presence announces this process in the shared stream.
type presence struct {
	record briarspring.KeyedRecord
	shared *appender.Appender
	logger hclog.Logger
	done   chan struct{}
}

func newPresence(c HostConfig, incarnation int64, shared *appender.Appender) *presence {
	value, err := encoder.EncodeHostPresence(briarspring.HostPresence{DataCentre: c.DataCentre, Incarnation: incarnation, MilliCPU: c.MilliCPU})
	if err != nil {
		c.Logger.Error("presence can't be encoded", "error", err)
	}
	return &presence{
		record: briarspring.KeyedRecord{Key: registrar.HostKey(c.Host), Value: value},
		shared: shared, logger: c.Logger, done: make(chan struct{}),
	}
}

// Done returns a channel that is closed when Run has ended.
func (p *presence) Done() <-chan struct{} { return p.done }

// Run announces the process, retrying until that is stored, and then waits for
// the context to end.
func (p *presence) Run(ctx context.Context) {
	defer close(p.done)
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, presenceTimeout)
		err := p.shared.Write(callCtx, p.record)
		cancel()
		if err == nil {
			break
		}
		p.logger.Warn("failed to announce the host, retrying", "error", err)
	}
	<-ctx.Done()
}

// jobsPart serves callers, and drains requests in flight when it stops.
type jobsPart struct {
	server   *http.Server
	guard    *connGuard
	stopping atomic.Bool
	logger   hclog.Logger
	done     chan struct{}
}

const (
	// jobsIdleTimeout is the idle timeout of callers' connections; the
	// platform's configurations state 15 s.
	jobsIdleTimeout = 15 * time.Second
	// jobsHeaderTimeout bounds the time to read a request's headers.
	jobsHeaderTimeout = 3 * time.Second
	// maxJobsHeaderBytes bounds the size of a request's headers.
	maxJobsHeaderBytes = 16 << 10
)

func newJobsPart(address string, h http.Handler, d *doors, logger hclog.Logger) (*jobsPart, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	server := &http.Server{
		Handler: h, ReadHeaderTimeout: jobsHeaderTimeout, IdleTimeout: jobsIdleTimeout, MaxHeaderBytes: maxJobsHeaderBytes,
	}
	guard := guardConnections(server, listener)
	guard.Listener = d.protect(callersDoor)(server, listener)
	return &jobsPart{server: server, guard: guard, logger: logger, done: make(chan struct{})}, nil
}

// Done returns a channel that is closed when Run has ended.
func (p *jobsPart) Done() <-chan struct{} { return p.done }

// Run serves until the context ends.
func (p *jobsPart) Run(ctx context.Context) {
	defer close(p.done)
	context.AfterFunc(ctx, func() { p.server.Close() })
	p.server.Serve(p.guard) //nolint:errcheck // Ends with Close or the drain.
	<-ctx.Done()
}

// noticeTime is how long a stopping host still accepts connections, so that the
// balancer can see that it is not ready: two failed checks, a second apart.
const noticeTime = 2300 * time.Millisecond

// Stop withdraws readiness, keeps serving until the balancer has noticed, and
// then drains the requests in flight.
func (p *jobsPart) Stop(giveUp <-chan struct{}) {
	p.stopping.Store(true)
	stopServer(p.server, p.guard, noticeTime, giveUp, p.logger)
}
