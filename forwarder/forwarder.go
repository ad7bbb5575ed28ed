// Package forwarder forwards callers' HTTP requests to the executors that the
// router chooses, and reports in each response whether the request was run.
package forwarder

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/time/rate"

	"briarspring"
	"briarspring/limiter"
	"briarspring/router"
)

// Config holds the settings of a Forwarder.
type Config struct {
	Router         router.Config
	DefaultTimeout time.Duration
	MaxTimeout     time.Duration
	MaxBody        int64   // Bytes of a request body.
	RetryShare     float64 // Retries allowed per new request.
	CallerRate     float64 // Requests per second from one caller's address; zero for no limit.
	RemoteGateways []RemoteGateway
	Logger         hclog.Logger
}

// RemoteGateway is a gateway in another data centre.
type RemoteGateway struct {
	DataCentre string
	Address    string // "IP:port".
}

// Service is a service as the scheduler announced it.
type Service struct {
	Name   string
	Team   string
	Prefix string
}

// Forwarder is the HTTP handler of a gateway.
type Forwarder struct {
	config          Config
	logger          hclog.Logger
	transport       *http.Transport
	remoteTransport *http.Transport
	draining        atomic.Bool
	counts          counts

	mu           sync.Mutex
	router       *router.Router
	services     []Service // Longest prefix first.
	waiters      map[string]chan router.Assignment
	connLimits   map[string]*connLimit
	teamLimiters map[string]*rate.Limiter
	callers      callerLimits
	budget       *retryBudget
	nextID       uint64
	bootID       string
	state        State
}

// State identifies the scheduler state that the forwarder uses.
type State struct {
	ConfigOffset    uint64
	PlacementOffset uint64
	Updated         time.Time
}

// New returns a forwarder without services; Apply adds them.
func New(c Config) *Forwarder {
	if c.Logger == nil {
		c.Logger = hclog.NewNullLogger()
	}
	f := &Forwarder{
		config: c, logger: c.Logger.Named("forwarder"), router: router.New(c.Router),
		waiters:      map[string]chan router.Assignment{},
		connLimits:   map[string]*connLimit{},
		teamLimiters: map[string]*rate.Limiter{},
		budget:       newRetryBudget(c.RetryShare),
		bootID:       newBootID(),
	}
	f.transport = f.newTransport(f.dial)
	f.remoteTransport = f.newTransport(nil)
	return f
}

const (
	idleConnections = 16
	idleTimeout     = 30 * time.Second
	dialTimeout     = time.Second
)

func (f *Forwarder) newTransport(dial func(context.Context, string, string) (net.Conn, error)) *http.Transport {
	return &http.Transport{
		DialContext:         dial,
		DisableCompression:  true,
		MaxIdleConns:        0,
		MaxIdleConnsPerHost: idleConnections,
		IdleConnTimeout:     idleTimeout,
	}
}

// Drain adds "Connection: close" to every response, so that callers reconnect
// to another gateway.
func (f *Forwarder) Drain() { f.draining.Store(true) }

// ServeHTTP handles a caller's request.
func (f *Forwarder) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	f.counts.requests.Add(1)
	if f.draining.Load() {
		rw.Header().Set("Connection", "close")
	}
	q, refused := f.parse(r)
	rw.Header().Set(briarspring.HeaderRequestID, q.id)
	if refused != nil {
		f.refuse(rw, q, *refused)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), q.deadline)
	defer cancel()
	if refused := f.admit(q); refused != nil {
		f.refuse(rw, q, *refused)
		return
	}
	body, refused := f.readBody(rw, r, q)
	if refused != nil {
		f.refuse(rw, q, *refused)
		return
	}
	q.body = body
	f.serve(ctx, rw, r, q)
}

// call is a caller's request in progress.
type call struct {
	id         string
	service    Service
	idempotent bool
	forwarded  bool
	caller     string
	deadline   time.Time
	body       []byte
	tried      []string
}

// refusal is a response to a request that was not run.
type refusal struct {
	status     int
	reason     string
	retryAfter time.Duration
}

// parse reads a request's headers. The call has an ID even if the request is
// refused.
func (f *Forwarder) parse(r *http.Request) (*call, *refusal) {
	q := &call{id: r.Header.Get(briarspring.HeaderRequestID)}
	if q.id == "" {
		q.id = f.newID()
	}
	if len(q.id) > maxIDLength {
		q.id = f.newID()
		return q, &refusal{status: http.StatusBadRequest, reason: "request id is too long"}
	}
	q.forwarded = r.Header.Get(briarspring.HeaderHop) != ""
	q.caller, _, _ = net.SplitHostPort(r.RemoteAddr)
	timeout, refused := f.timeout(r)
	if refused != nil {
		return q, refused
	}
	q.deadline = time.Now().Add(timeout)
	switch v := r.Header.Get(briarspring.HeaderIdempotent); v {
	case "", "false":
	case "true":
		q.idempotent = true
	default:
		return q, &refusal{
			status: http.StatusBadRequest, reason: briarspring.HeaderIdempotent + " must be true or false",
		}
	}
	service, ok := f.findService(r.URL.Path)
	if !ok {
		return q, &refusal{status: http.StatusNotFound, reason: "no service answers for this path"}
	}
	q.service = service
	return q, nil
}

const maxIDLength = 128

func (f *Forwarder) timeout(r *http.Request) (time.Duration, *refusal) {
	v := r.Header.Get(briarspring.HeaderTimeout)
	if v == "" {
		return f.config.DefaultTimeout, nil
	}
	d, err := time.ParseDuration(v)
	if err != nil || d <= 0 {
		return 0, &refusal{
			status: http.StatusBadRequest, reason: briarspring.HeaderTimeout + ` must be a duration such as "250ms"`,
		}
	}
	return min(d, f.config.MaxTimeout), nil
}

func (f *Forwarder) findService(path string) (Service, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.services {
		if strings.HasPrefix(path, s.Prefix) {
			return s, true
		}
	}
	return Service{}, false
}

// readBody reads the whole body before a slot is acquired, so that a caller
// that sends slowly doesn't occupy one.
func (f *Forwarder) readBody(rw http.ResponseWriter, r *http.Request, q *call) ([]byte, *refusal) {
	if r.Body == nil || r.ContentLength == 0 {
		return nil, nil
	}
	if r.ContentLength > f.config.MaxBody {
		return nil, &refusal{status: http.StatusRequestEntityTooLarge, reason: "body is too large"}
	}
	if err := http.NewResponseController(rw).SetReadDeadline(q.deadline); err != nil {
		f.logger.Debug("can't set read deadline", "error", err)
	}
	defer http.NewResponseController(rw).SetReadDeadline(time.Time{}) //nolint:errcheck // The error was logged above.
	body, err := limiter.ReadBody(rw, r, f.config.MaxBody)
	if err != nil {
		return nil, bodyRefusal(err)
	}
	return body, nil
}
