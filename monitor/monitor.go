// Package monitor serves a process's admin port: health, readiness, metrics
// and a status page.
package monitor

import (
	"context"
	"expvar"
	"fmt"
	"net"
	"net/http"
	"net/http/pprof"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
)

// Config holds the settings of a Monitor.
type Config struct {
	Address string                       // "IP:port".
	Ready   func() (ok bool, why string) // Reports whether the process can do its work.
	Status  http.Handler                 // Serves the status page; nil for none.
	// Protect limits the clients of the server; nil for no limits.
	Protect func(*http.Server, net.Listener) net.Listener
	Logger  hclog.Logger
}

// Monitor is an admin server.
type Monitor struct {
	config   Config
	listener net.Listener
	server   *http.Server
	mux      *http.ServeMux
	vars     *expvar.Map
	draining atomic.Bool
	done     chan struct{}
	started  time.Time
	once     sync.Once
}

const (
	readTimeout = 5 * time.Second
	idleTimeout = time.Minute // Scrapers connect again.
	// maxHeaderBytes is that of callers; scrapers and balancers send less.
	maxHeaderBytes = 16 << 10
)

// New returns a Monitor that listens at the configured address.
func New(c Config) (*Monitor, error) {
	listener, err := net.Listen("tcp", c.Address)
	if err != nil {
		return nil, err
	}
	m := &Monitor{
		config: c, listener: listener, mux: http.NewServeMux(),
		vars: new(expvar.Map).Init(), done: make(chan struct{}), started: time.Now(),
	}
	m.mux.HandleFunc("GET /healthz", m.health)
	m.mux.HandleFunc("GET /readyz", m.ready)
	m.mux.HandleFunc("GET /debug/vars", m.metrics)
	m.mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	m.mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	m.mux.HandleFunc("GET /debug/pprof/trace", pprof.Trace)
	if c.Status != nil {
		m.mux.Handle("GET /{$}", c.Status)
	}
	m.server = &http.Server{Handler: m.mux, ReadHeaderTimeout: readTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
	if c.Protect != nil {
		m.listener = c.Protect(m.server, listener)
	}
	return m, nil
}

// Address returns the address that the monitor listens at.
func (m *Monitor) Address() string { return m.listener.Addr().String() }

// Handle registers a handler for a pattern.
func (m *Monitor) Handle(pattern string, h http.Handler) { m.mux.Handle(pattern, h) }

// Publish registers a metric.
func (m *Monitor) Publish(name string, v expvar.Var) { m.vars.Set(name, v) }

// Drain makes the readiness check fail, so that a balancer sends no more requests.
func (m *Monitor) Drain() { m.draining.Store(true) }

// Done returns a channel that is closed when Run has ended.
func (m *Monitor) Done() <-chan struct{} { return m.done }

// Run serves until the context ends.
func (m *Monitor) Run(ctx context.Context) {
	defer close(m.done)
	context.AfterFunc(ctx, func() { m.once.Do(func() { m.server.Close() }) })
	m.server.Serve(m.listener) //nolint:errcheck // Ends with Close.
}

func (m *Monitor) health(rw http.ResponseWriter, _ *http.Request) { fmt.Fprintln(rw, "ok") }

func (m *Monitor) ready(rw http.ResponseWriter, _ *http.Request) {
	if m.draining.Load() {
		http.Error(rw, "stopping", http.StatusServiceUnavailable)
		return
	}
	if ok, why := m.config.Ready(); !ok {
		http.Error(rw, why, http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(rw, "ready")
}

// metrics writes all metrics in expvar's JSON format: the process's own metrics
// under "briarspring", beside the standard ones.
func (m *Monitor) metrics(rw http.ResponseWriter, _ *http.Request) {
	rw.Header().Set("Content-Type", "application/json; charset=utf-8")
	fmt.Fprintf(rw, "{\n\"briarspring\": %s", m.vars.String())
	expvar.Do(func(kv expvar.KeyValue) {
		fmt.Fprintf(rw, ",\n%q: %s", kv.Key, kv.Value)
	})
	fmt.Fprintf(rw, ",\n\"uptime-seconds\": %d\n}\n", int64(time.Since(m.started).Seconds()))
}
