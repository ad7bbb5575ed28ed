package forwarder

import (
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// counts are the forwarder's metrics.
type counts struct {
	requests  atomic.Uint64
	served    atomic.Uint64
	notRun    atomic.Uint64
	unknown   atomic.Uint64
	retries   atomic.Uint64
	cut       atomic.Uint64
	abandoned atomic.Uint64
	passedOn  atomic.Uint64
}

// Counts holds the forwarder's counters since its start.
type Counts struct {
	Requests  uint64
	Served    uint64
	NotRun    uint64
	Unknown   uint64
	Retries   uint64
	Cut       uint64 // Responses that were cut off before their end.
	Abandoned uint64 // Requests whose caller disconnected.
	PassedOn  uint64 // Requests answered by a gateway of another data centre.
}

// Counts returns the forwarder's counters since its start.
func (f *Forwarder) Counts() Counts {
	return Counts{
		Requests: f.counts.requests.Load(), Served: f.counts.served.Load(), NotRun: f.counts.notRun.Load(),
		Unknown: f.counts.unknown.Load(), Retries: f.counts.retries.Load(), Cut: f.counts.cut.Load(),
		Abandoned: f.counts.abandoned.Load(), PassedOn: f.counts.passedOn.Load(),
	}
}

// retryBudget limits retries to a share of new requests.
type retryBudget struct {
	mu     sync.Mutex
	share  float64
	tokens float64
}

// retryBurst is the largest number of retries that the budget accumulates.
const retryBurst = 10

func newRetryBudget(share float64) *retryBudget { return &retryBudget{share: share, tokens: 1} }

func (b *retryBudget) deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.share, retryBurst)
}

func (b *retryBudget) available() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tokens >= 1
}

func (b *retryBudget) withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// maxCallers limits the memory that rate limiters take. Above it, all of them
// are reset.
const maxCallers = 10000

// callerLimits limits the request rate of each caller's address.
type callerLimits struct {
	limiters map[string]*rate.Limiter
}

func (l *callerLimits) allow(caller string, perSecond float64) bool {
	if perSecond <= 0 {
		return true
	}
	if l.limiters == nil || len(l.limiters) > maxCallers {
		l.limiters = map[string]*rate.Limiter{}
	}
	x := l.limiters[caller]
	if x == nil {
		x = rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
		l.limiters[caller] = x
	}
	return x.Allow()
}

// admit applies the rate limits of the caller and of the service's team. A
// request that another gateway forwarded isn't counted again for the team.
func (f *Forwarder) admit(q *call) *refusal {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.callers.allow(q.caller, f.config.CallerRate) {
		return &refusal{
			status: http.StatusTooManyRequests, reason: "caller sends more requests than allowed", retryAfter: time.Second,
		}
	}
	if team := f.teamLimiters[q.service.Team]; team != nil && !q.forwarded && !team.Allow() {
		return &refusal{
			status: http.StatusTooManyRequests, reason: "team " + q.service.Team + " is over its quota", retryAfter: time.Second,
		}
	}
	return nil
}

func newBootID() string {
	b := make([]byte, 8)
	rand.Read(b) //nolint:errcheck // Never fails.
	return hex.EncodeToString(b)
}

// newID returns an ID for a request whose own ID is missing or too long.
func (f *Forwarder) newID() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nextID++
	return f.bootID + "-" + strconv.FormatUint(f.nextID, 10)
}
