package assembler

import (
	"context"
	"net"
	"net/http"
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

// HostConfig holds what a host that runs workflows meets outside.
type HostConfig struct {
	Host        string
	DataCentre  string
	DataCentres []string
	MilliCPU    int // Thousandths of a core.
	MaxLease    time.Duration
	StopTime    time.Duration // For finishing what is in flight.
	KeepFinal   time.Duration // Least time for which finished workflows stay known.
	FrontAddr   string
	ReadyAddr   string
	MetricsAddr string // Empty for none.

	OperatorsAddr string // Of the operators' calls; empty for none.

	Store   steward.Store
	Workers steward.Workers
	Decoder interface {
		cataloguer.Decoder
		lister.Decoder
	}
	Front func(*admitter.Admitter) http.Handler
	Ready func(a *admitter.Admitter, draining func() bool) http.Handler
	Now   func() time.Duration

	Logger hclog.Logger
	Logs   launcher.Part // Writes the log lines; nil for none.
}

const (
	// sharedWait of a read of the shared stream for the next record.
	sharedWait = time.Second
	// ownerInterval is the least time between two reads of the shared stream by
	// an owner, which starts what it reads.
	ownerInterval = 35 * time.Millisecond
	// followerInterval is the same for other hosts, which only tell how far
	// workflows have come.
	followerInterval = 200 * time.Millisecond
	// directoryWait of a read for the operators' next change. With its time-out it
	// stays below the 3 s after which a host that was cut off counts as in touch.
	directoryWait = time.Second
	// workersInterval is the least time between two reads of the list of
	// workers; entries change every 1.5 s.
	workersInterval = 250 * time.Millisecond
	// usualLease of workers. A successor of a lost owner renews it after about
	// 3 s, and lasting tasks of a lost worker start elsewhere when it has ended.
	usualLease = 5500 * time.Millisecond
	// keepMargin is added to the time for which finished workflows stay known, for
	// hosts that read of the end later.
	keepMargin = 30 * time.Second
	// presenceTimeout of one try to announce the process.
	presenceTimeout = 2 * time.Second
)

// NewHost returns the parts of a host that runs workflows.
func NewHost(c HostConfig) (*launcher.Launcher, error) {
	l, intake := NewCore(c)
	return l, addFront(l, c, intake)
}

// NewCore returns the parts of a host without the servers for callers, and what
// serves their requests.
func NewCore(c HostConfig) (*launcher.Launcher, *admitter.Admitter) {
	incarnation := time.Now().UnixMilli()
	logger := c.Logger
	calls := counter.New()
	c.Store = &meteredStore{Store: c.Store, calls: calls}
	shared := appender.New(appender.Config{Stream: briarspring.SharedStream, Store: c.Store})
	replica := replicator.New(replicator.Config{Now: c.Now, Logger: logger})
	catalogue := cataloguer.New(cataloguer.Config{Decoder: c.Decoder, Logger: logger})
	list := lister.New(lister.Config{Decoder: c.Decoder, Logger: logger})
	var owned atomic.Int32
	track := func(stream string, sink tracker.Sink, wait time.Duration, interval func() time.Duration, enabled func() bool) *tracker.Tracker {
		return tracker.New(tracker.Config{
			Stream: stream, Store: c.Store, Sink: sink, Wait: wait, Interval: interval, Enabled: enabled, Now: c.Now, Logger: logger,
		})
	}
	reading := track(briarspring.SharedStream, replica, sharedWait, func() time.Duration {
		if owned.Load() > 0 {
			return ownerInterval
		}
		return followerInterval
	}, nil)
	directory := track(briarspring.DirectoryStream, catalogue, directoryWait, nil, nil)
	listing := track(briarspring.WorkersStream, list, 0, func() time.Duration { return workersInterval }, func() bool { return owned.Load() > 0 })
	intake := admitter.New(admitter.Config{
		DataCentre: c.DataCentre, DataCentres: c.DataCentres, Shared: shared, Catalogue: catalogue,
		Replica: replica, Reading: reading, Now: c.Now, Logger: logger,
	})
	l := launcher.New(logger, c.StopTime)
	if c.Logs != nil {
		l.Add("logs", c.Logs)
	}
	l.Add("shared", shared)
	l.Add("reading", reading)
	l.Add("directory", directory)
	l.Add("listing", listing)
	l.Add("presence", newPresence(c, incarnation, shared))
	stewards := map[string]*steward.Steward{}
	for _, name := range c.DataCentres {
		stewards[name] = steward.New(steward.Config{
			Host: c.Host, HostCentre: c.DataCentre, DataCentre: name, DataCentres: c.DataCentres, Incarnation: incarnation, MilliCPU: c.MilliCPU,
			Lease: min(usualLease, c.MaxLease), MaxLease: c.MaxLease, KeepFinal: c.KeepFinal + keepMargin,
			Store: c.Store, Shared: shared, Workers: c.Workers, List: list, Catalogue: catalogue, Replica: replica,
			Reading: reading, Listing: listing, NewPacer: func() steward.Pacer { return pacer.New() }, Now: c.Now, Logger: logger,
			Follow: func(on bool) {
				if on {
					owned.Add(1)
				} else {
					owned.Add(-1)
				}
			},
		})
		l.Add("steward-"+name, stewards[name])
	}
	streams := map[string]*tracker.Tracker{"shared": reading, "directory": directory, "workers": listing}
	addMetrics(l, c, intake, calls, streams, stewards)
	addOperators(l, c, intake, stewards)
	return l, intake
}

// addFront adds the servers for callers and for the balancer.
func addFront(l *launcher.Launcher, c HostConfig, intake *admitter.Admitter) error {
	front, err := newFrontPart(c.FrontAddr, c.Front(intake), c.Logger)
	if err != nil {
		return err
	}
	ready, err := newHTTPPart(c.ReadyAddr, c.Ready(intake, front.stopping.Load), c.Logger)
	if err != nil {
		return err
	}
	l.Add("ready", ready)
	l.Add("front", front)
	return nil
}

// presence announces the life of this process in the shared stream.
type presence struct {
	record briarspring.KeyedRecord
	shared *appender.Appender
	logger hclog.Logger
	done   chan struct{}
}

func newPresence(c HostConfig, incarnation int64, shared *appender.Appender) *presence {
	value, err := encoder.HostPresence(briarspring.HostPresence{DataCentre: c.DataCentre, Incarnation: incarnation, MilliCPU: c.MilliCPU})
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

// Run announces the process until that is stored, and waits for the context.
func (p *presence) Run(ctx context.Context) {
	defer close(p.done)
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, presenceTimeout)
		err := p.shared.Write(callCtx, p.record)
		cancel()
		if err == nil {
			break
		}
		p.logger.Warn("presence is not announced yet", "error", err)
	}
	<-ctx.Done()
}

// frontPart serves callers. When it stops, requests in flight are answered.
type frontPart struct {
	server   *http.Server
	guard    *connGuard
	stopping atomic.Bool
	logger   hclog.Logger
	done     chan struct{}
}

const (
	// callerIdle closes kept connections of callers; the platform's
	// configurations state 15 s.
	callerIdle = 15 * time.Second
	// callerHeader bounds the time for a request's headers.
	callerHeader = 3 * time.Second
	// maxCallerHeader bounds the bytes of a request's headers.
	maxCallerHeader = 16 << 10
)

func newFrontPart(address string, h http.Handler, logger hclog.Logger) (*frontPart, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	server := &http.Server{
		Handler: h, ReadHeaderTimeout: callerHeader, IdleTimeout: callerIdle, MaxHeaderBytes: maxCallerHeader,
	}
	return &frontPart{server: server, guard: guardConnections(server, listener), logger: logger, done: make(chan struct{})}, nil
}

// Done returns a channel that is closed when Run has ended.
func (p *frontPart) Done() <-chan struct{} { return p.done }

// Run serves until the context ends.
func (p *frontPart) Run(ctx context.Context) {
	defer close(p.done)
	context.AfterFunc(ctx, func() { p.server.Close() })
	p.server.Serve(p.guard) //nolint:errcheck // Ends with Close or the drain.
	<-ctx.Done()
}

// noticeTime is how long a stopping host still takes requests on connections
// that come in, until the balancer has seen that it is not ready: two misses a
// second apart.
const noticeTime = 2300 * time.Millisecond

// Stop withdraws readiness, goes on serving until the balancer has noticed, and
// finishes the requests in flight.
func (p *frontPart) Stop(giveUp <-chan struct{}) {
	p.stopping.Store(true)
	stopServer(p.server, p.guard, noticeTime, giveUp, p.logger)
}
