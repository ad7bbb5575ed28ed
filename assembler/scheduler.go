package assembler

import (
	"context"
	"expvar"
	"net"
	"net/http"
	"time"

	"github.com/hashicorp/go-hclog"

	"briarspring"
	"briarspring/gen/briarspring/v1/briarspringv1connect"
	"briarspring/launcher"
	"briarspring/loader"
	"briarspring/monitor"
	"briarspring/operator"
	"briarspring/relayer"
	"briarspring/scheduler"
)

// NewScheduler returns the launcher of a scheduler process.
func NewScheduler(s loader.Settings, o Dependencies) (*launcher.Launcher, error) {
	o, logger, err := o.withDefaults(s, "scheduler")
	if err != nil {
		return nil, err
	}
	remoteClients := clients(s.Scheduler.Elsewhere, s.Process.DataCentre, o.TLS)
	engine := scheduler.New(schedulerConfig(s, o, remoteClients, logger))
	peers, err := relayer.NewServer(relayer.ServerConfig{
		Address: s.Scheduler.PeerAddress, TLS: o.TLS, Source: engine, Log: o.Platform, Logger: logger,
	})
	if err != nil {
		return nil, err
	}
	d := newSchedulerDoors(s.Scheduler, logger)
	operators, err := newHTTPPart(s.Scheduler.OperatorsAddress, d.buffered(operatorsHandler(engine)), d.protectClients, logger)
	if err != nil {
		return nil, err
	}
	admin, err := monitor.New(monitor.Config{
		Address: s.Scheduler.AdminAddress, Ready: readiness(engine), Status: statusPage(engine),
		Protect: d.protectAdmin, Logger: logger,
	})
	if err != nil {
		return nil, err
	}
	publishScheduler(admin, engine)
	d.publish(admin)
	l := launcher.New(logger, s.Process.StopTime)
	l.Add("settings", s)
	l.Add("limiter", d.limiter)
	l.Add("monitor", admin)
	l.Add("scheduler", &schedulerPart{
		Scheduler: engine, logger: logger, dataCentre: s.Process.DataCentre,
		log: o.Platform, peers: clients(s.Scheduler.Peers, s.Process.DataCentre, o.TLS),
	})
	l.Add("peers", peers)
	l.Add("operators", operators)
	return l, nil
}

func clients(addresses []string, dataCentre string, t relayer.TLS) []*relayer.Client {
	var list []*relayer.Client
	for _, a := range addresses {
		list = append(list, relayer.NewClient(a, dataCentre, t))
	}
	return list
}

func schedulerConfig(s loader.Settings, o Dependencies, remoteClients []*relayer.Client, logger hclog.Logger) scheduler.Config {
	var log scheduler.Log = o.Platform
	if len(remoteClients) > 0 {
		log = relayer.NewFallbackLog(o.Platform, remoteClients, logger)
	}
	return scheduler.Config{
		Name: s.Process.Name, DataCentre: s.Process.DataCentre,
		Log: log, Workers: o.Platform, Hosts: o.Platform, Logger: logger,
		LeaseDuration: s.Scheduler.Lease, OutageLeaseDuration: s.Scheduler.OutageLease, StartWindow: s.Scheduler.StartWindow,
		ExchangeInterval: s.Scheduler.ExchangeInterval, OwnerTimeout: s.Scheduler.OwnerTimeout,
		SnapshotInterval: s.Scheduler.SnapshotInterval, SnapshotRecords: s.Scheduler.SnapshotRecords,
		EvictionsPerMin: s.Scheduler.EvictionsPerMin,
	}
}

func operatorsHandler(engine *scheduler.Scheduler) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(briarspringv1connect.NewOperatorsHandler(operator.New(engine), callOptions()...))
	return mux
}

func readiness(engine *scheduler.Scheduler) func() (bool, string) {
	return func() (bool, string) {
		if !engine.Ready() {
			return false, "the log has not been read to its end yet"
		}
		return true, ""
	}
}

func publishScheduler(m *monitor.Monitor, engine *scheduler.Scheduler) {
	m.Publish("scheduler", expvar.Func(func() any { return engine.Metrics() }))
}

// schedulerPart runs the scheduler. If the log is down at the start, it first
// restores the state from peers.
type schedulerPart struct {
	*scheduler.Scheduler
	logger     hclog.Logger
	dataCentre string
	log        scheduler.Log
	peers      []*relayer.Client
}

const startupReadTimeout = 2 * time.Second

// Run runs the scheduler until the context ends.
func (p *schedulerPart) Run(ctx context.Context) {
	for _, c := range p.peers {
		closeOnDone(ctx, c)
	}
	if !p.logReachable(ctx) {
		p.restoreFromPeers(ctx)
	}
	p.Scheduler.Run(ctx)
}

func (p *schedulerPart) logReachable(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, startupReadTimeout)
	defer cancel()
	_, err := p.log.Read(ctx, briarspring.ConfigStream, 1, 1, 0)
	return err == nil
}

// restoreFromPeers restores the newest states that any peer has.
func (p *schedulerPart) restoreFromPeers(ctx context.Context) {
	for _, c := range p.peers {
		ctx, cancel := context.WithTimeout(ctx, startupReadTimeout)
		var states [2][]byte
		for i, stream := range followedStreams(p.dataCentre) {
			applied, data, err := c.Snapshot(ctx, stream)
			if err != nil {
				p.logger.Warn("failed to fetch the state from a peer", "stream", stream, "error", err)
				continue
			}
			p.logger.Info("fetched the state from a peer", "stream", stream, "offset", applied)
			states[i] = data
		}
		cancel()
		if err := p.Restore(states[0], states[1]); err != nil {
			p.logger.Error("failed to restore the state of a peer", "error", err)
		}
	}
}

// httpPart serves HTTP until its context ends.
type httpPart struct {
	listener net.Listener
	server   *http.Server
	logger   hclog.Logger
	done     chan struct{}
}

const headerTimeout = 5 * time.Second

// newHTTPPart returns a server at an address. protect limits its clients.
func newHTTPPart(address string, h http.Handler, protect protector, logger hclog.Logger) (*httpPart, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	server := &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdleTimeout, MaxHeaderBytes: maxJobsHeaderBytes,
	}
	return &httpPart{
		listener: protect(server, listener), server: server,
		logger: logger, done: make(chan struct{}),
	}, nil
}

// Run serves until the context ends.
func (p *httpPart) Run(ctx context.Context) {
	defer close(p.done)
	context.AfterFunc(ctx, func() { p.server.Close() })
	p.server.Serve(p.listener) //nolint:errcheck // Ends with Close.
}

// Done returns a channel that is closed when Run has ended.
func (p *httpPart) Done() <-chan struct{} { return p.done }
