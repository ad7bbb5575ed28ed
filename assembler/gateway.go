package assembler

import (
	"context"
	"expvar"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/hashicorp/go-hclog"

	"briarspring"
	"briarspring/encoder"
	"briarspring/forwarder"
	pb "briarspring/gen/briarspring/v1"
	"briarspring/launcher"
	"briarspring/loader"
	"briarspring/monitor"
	"briarspring/relayer"
	"briarspring/router"
	"briarspring/sleeper"
)

// NewGateway returns the launcher of a gateway process.
func NewGateway(s loader.Settings, o Dependencies) (*launcher.Launcher, error) {
	o, logger, err := o.withDefaults(s, "gateway")
	if err != nil {
		return nil, err
	}
	f := forwarder.New(forwarderConfig(s, logger))
	d := newGatewayDoors(s.Gateway, logger)
	admin, err := monitor.New(monitor.Config{
		Address: s.Gateway.AdminAddress, Ready: gatewayReadiness(f), Protect: d.protectAdmin, Logger: logger,
	})
	if err != nil {
		return nil, err
	}
	publishGateway(admin, f)
	d.publish(admin)
	callers, err := newCallersPart(s.Gateway, f, admin, d.protectClients, logger)
	if err != nil {
		return nil, err
	}
	l := launcher.New(logger, s.Process.StopTime)
	l.Add("settings", s)
	l.Add("limiter", d.limiter)
	l.Add("monitor", admin)
	l.Add("forwarder", f)
	l.Add("feed", &feedPart{
		forwarder: f, logger: logger, name: s.Process.Name, done: make(chan struct{}),
		schedulers: clients(s.Gateway.Schedulers, s.Process.DataCentre, o.TLS),
	})
	l.Add("callers", callers)
	return l, nil
}

func forwarderConfig(s loader.Settings, logger hclog.Logger) forwarder.Config {
	c := forwarder.Config{
		Router: router.Config{
			Rule: router.Rule(s.Gateway.Rule), GatewayIndex: s.Gateway.Seat, GatewayCount: s.Gateway.Seats,
			QueueLength: s.Gateway.QueueLength, Seed: uint64(s.Gateway.Seat) + 1,
		},
		DefaultTimeout: s.Gateway.DefaultTimeout, MaxTimeout: s.Gateway.MaxTimeout,
		MaxBody:    s.Gateway.MaxBody,
		RetryShare: s.Gateway.RetryShare, CallerRate: s.Gateway.CallerRate, Logger: logger,
	}
	for _, e := range s.Gateway.Elsewhere {
		c.RemoteGateways = append(c.RemoteGateways, forwarder.RemoteGateway{DataCentre: e.DataCentre, Address: e.Address})
	}
	return c
}

func gatewayReadiness(f *forwarder.Forwarder) func() (bool, string) {
	return func() (bool, string) {
		if f.State().Updated.IsZero() {
			return false, "no scheduler has sent its state yet"
		}
		return true, ""
	}
}

func publishGateway(m *monitor.Monitor, f *forwarder.Forwarder) {
	m.Publish("requests", expvar.Func(func() any { return f.Counts() }))
	m.Publish("state", expvar.Func(func() any { return f.State() }))
	m.Publish("executors", expvar.Func(func() any { return len(f.Executors()) }))
}

// callersPart serves callers' requests.
type callersPart struct {
	server    *http.Server
	guard     *connGuard
	forwarder *forwarder.Forwarder
	admin     *monitor.Monitor
	logger    hclog.Logger
	notice    time.Duration
	done      chan struct{}
}

const callerIdleTimeout = time.Minute

func newCallersPart(g loader.Gateway, f *forwarder.Forwarder, admin *monitor.Monitor, protect protector, logger hclog.Logger) (*callersPart, error) {
	listener, err := net.Listen("tcp", g.Address)
	if err != nil {
		return nil, err
	}
	server := &http.Server{
		Handler: f, ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdleTimeout,
		MaxHeaderBytes: int(g.MaxHeader),
	}
	guard := guardConnections(server, listener)
	guard.Listener = protect(server, listener)
	return &callersPart{
		server: server, guard: guard,
		forwarder: f, admin: admin, logger: logger, notice: g.NoticeTime, done: make(chan struct{}),
	}, nil
}

// Run serves until the context ends.
func (p *callersPart) Run(ctx context.Context) {
	defer close(p.done)
	context.AfterFunc(ctx, func() { p.server.Close() })
	p.server.Serve(p.guard) //nolint:errcheck // Ends with Close or the drain.
	<-ctx.Done()
}

// Done returns a channel that is closed when Run has ended.
func (p *callersPart) Done() <-chan struct{} { return p.done }

// Stop withdraws readiness, keeps serving until the balancer has noticed, and
// then drains the requests in flight.
func (p *callersPart) Stop(giveUp <-chan struct{}) {
	p.admin.Drain()
	p.forwarder.Drain()
	stopServer(p.server, p.guard, p.notice, giveUp, p.logger)
}

// stopServer keeps serving for the notice time, in which the balancer sees that
// the host is not ready, and then drains the requests in flight.
func stopServer(server *http.Server, guard *connGuard, notice time.Duration, giveUp <-chan struct{}, logger hclog.Logger) {
	ctx, cancel := launcher.ContextUntil(giveUp)
	defer cancel()
	// If giveUp closes during the notice time, the shutdown below ends at once.
	_ = sleeper.For(ctx, notice)
	if err := guard.drain(server, giveUp); err != nil {
		logger.Warn("failed to close the listener", "error", err)
	}
	if err := server.Shutdown(ctx); err != nil {
		logger.Error("shutdown cut off requests in flight", "error", err)
		return
	}
	logger.Info("all requests in flight have finished")
}

// feedPart updates the forwarder's state from any scheduler of the data centre.
// The last state stays in force while no scheduler answers.
type feedPart struct {
	forwarder  *forwarder.Forwarder
	logger     hclog.Logger
	name       string
	schedulers []*relayer.Client
	done       chan struct{}
}

const feedRetryPause = 200 * time.Millisecond

// Run subscribes to the schedulers' feeds, one at a time, until the context ends.
func (p *feedPart) Run(ctx context.Context) {
	defer close(p.done)
	for _, c := range p.schedulers {
		closeOnDone(ctx, c)
	}
	for i := 0; ctx.Err() == nil; i++ {
		c := p.schedulers[i%len(p.schedulers)]
		err := c.Subscribe(ctx, p.name, p.applyMessage)
		if ctx.Err() == nil {
			p.logger.Warn("feed ended, trying the next scheduler", "error", err)
		}
		t := time.NewTimer(feedRetryPause)
		select {
		case <-ctx.Done():
		case <-t.C:
		}
		t.Stop()
	}
}

// Done returns a channel that is closed when Run has ended.
func (p *feedPart) Done() <-chan struct{} { return p.done }

// OlderStateError is returned when a scheduler's state is older than the one in
// force.
type OlderStateError struct {
	ConfigOffset    uint64
	PlacementOffset uint64
}

// Error implements error.
func (e *OlderStateError) Error() string {
	return fmt.Sprintf("state of the scheduler (configuration %d, placement %d) is older than the one in force",
		e.ConfigOffset, e.PlacementOffset)
}

// applyMessage applies a feed message to the forwarder. Later messages build
// on earlier ones, so a refused message ends the whole feed.
func (p *feedPart) applyMessage(m *pb.Feed) error {
	u := decodeFeed(m)
	if !p.forwarder.Apply(u) {
		return &OlderStateError{ConfigOffset: m.GetConfigOffset(), PlacementOffset: m.GetPlacementOffset()}
	}
	p.logger.Debug("applied state", "config-offset", m.GetConfigOffset(), "placement-offset", m.GetPlacementOffset(),
		"executors", len(u.Executors), "removed", len(u.Removed))
	return nil
}

func decodeFeed(m *pb.Feed) forwarder.Update {
	u := forwarder.Update{
		ConfigOffset: m.GetConfigOffset(), PlacementOffset: m.GetPlacementOffset(),
		Snapshot: m.GetSnapshot(), Removed: m.GetRemoved(),
	}
	for _, s := range m.GetServices() {
		u.Services = append(u.Services, forwarder.Service{Name: s.GetName(), Team: s.GetTeam(), Prefix: s.GetPrefix()})
	}
	for _, e := range m.GetExecutors() {
		u.Executors = append(u.Executors, router.Executor{
			ID: e.GetId(), Service: e.GetService(), Address: e.GetAddress(), Number: e.GetNumber(),
			Slots: int(e.GetSlots()), Connections: int(e.GetConnections()), Leaving: e.GetLeaving(),
		})
	}
	u.Quotas = decodeQuotas(m.GetQuotas())
	return u
}

func decodeQuotas(ms []*pb.Quota) []briarspring.Quota {
	var out []briarspring.Quota
	for _, m := range ms {
		if q, err := encoder.DecodeQuota(m); err == nil {
			out = append(out, q)
		}
	}
	return out
}
