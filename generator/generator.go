// Package generator generates open-loop load: requests are sent when they are
// due, whether or not earlier ones were answered, and latency is measured from
// the time at which a request was due.
package generator

import (
	"context"
	"encoding/hex"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"briarspring"
)

// Arm is one of several paths that a run compares. Requests go to the arms in
// turn, so that all arms see the same conditions.
type Arm struct {
	Name      string
	Addresses []string // "IP:port"; used in turn.
}

// Config holds the settings of a run.
type Config struct {
	Arms       []Arm
	Rate       float64 // Requests per second and arm.
	Duration   time.Duration
	Path       string
	Timeout    time.Duration
	Idempotent bool
	Body       string
	Prefix     string // Prefix of request ids.
	// Healthy reports whether a load balancer would send requests to an address. If
	// it is nil, all addresses are used.
	Healthy func(address string) bool
	Seed    uint64
}

// Result holds the outcomes and latencies of an arm's requests.
type Result struct {
	Name           string
	Sent           uint64
	Served         uint64
	NotRun         uint64
	Unknown        uint64 // The outcome is unknown, or the connection failed.
	InvalidAnswers uint64 // Answers to another request, or truncated.
	IDs            map[string]briarspring.Outcome

	mu        sync.Mutex
	latencies *hdrhistogram.Histogram
}

const (
	maxLatency        = time.Minute
	significantDigits = 3
	idleConns         = 4096
	clientTimeout     = 30 * time.Second
)

// Quantile returns a percentile of the latency of served requests.
func (r *Result) Quantile(percent float64) time.Duration {
	return time.Duration(r.latencies.ValueAtQuantile(percent)) * time.Microsecond
}

// Run sends requests until the duration has passed or ctx ends, and returns when
// every request has ended.
func Run(ctx context.Context, c Config) []*Result {
	results := make([]*Result, len(c.Arms))
	for i, arm := range c.Arms {
		results[i] = &Result{
			Name: arm.Name, IDs: map[string]briarspring.Outcome{},
			latencies: hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits),
		}
	}
	client := &http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: idleConns, DisableCompression: true},
		Timeout:   clientTimeout,
	}
	defer client.CloseIdleConnections()
	var inFlight sync.WaitGroup
	random := rand.New(rand.NewPCG(c.Seed, 2))
	start := time.Now()
	due := start
	for n := 0; ; n++ {
		due = due.Add(time.Duration(random.ExpFloat64() / (c.Rate * float64(len(c.Arms))) * float64(time.Second)))
		if due.Sub(start) >= c.Duration || ctx.Err() != nil {
			break
		}
		time.Sleep(time.Until(due))
		arm := n % len(c.Arms)
		address := c.pickAddress(c.Arms[arm].Addresses, n/len(c.Arms))
		id := fmt.Sprintf("%s-%s-%d", c.Prefix, c.Arms[arm].Name, n)
		dueAt := due
		inFlight.Go(func() { sendRequest(ctx, client, c, address, id, dueAt, results[arm]) })
	}
	inFlight.Wait()
	return results
}

// pickAddress returns the next healthy address in turn. If none is healthy, it
// returns the next address.
func (c Config) pickAddress(addresses []string, turn int) string {
	for i := range addresses {
		a := addresses[(turn+i)%len(addresses)]
		if c.Healthy == nil || c.Healthy(a) {
			return a
		}
	}
	return addresses[turn%len(addresses)]
}

// sendRequest sends a request and records its result.
func sendRequest(ctx context.Context, client *http.Client, c Config, address, id string, due time.Time, r *Result) {
	outcome, wrong := call(ctx, client, c, address, id)
	took := time.Since(due)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Sent++
	r.IDs[id] = outcome
	switch {
	case wrong:
		r.InvalidAnswers++
	case outcome == briarspring.OutcomeServed:
		r.Served++
		_ = r.latencies.RecordValue(min(took, maxLatency).Microseconds())
	case outcome == briarspring.OutcomeNotRun:
		r.NotRun++
	default:
		r.Unknown++
	}
}

// call sends a request. It returns its outcome and whether the answer is wrong.
func call(ctx context.Context, client *http.Client, c Config, address, id string) (outcome briarspring.Outcome, wrong bool) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+c.Path, strings.NewReader(c.Body+id))
	if err != nil {
		return briarspring.OutcomeUnknown, false
	}
	request.Header.Set(briarspring.HeaderRequestID, id)
	request.Header.Set(briarspring.HeaderTimeout, c.Timeout.String())
	request.Header.Set(briarspring.HeaderIdempotent, strconv.FormatBool(c.Idempotent))
	answer, err := client.Do(request)
	if err != nil {
		return briarspring.OutcomeUnknown, false
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	outcome = briarspring.Outcome(answer.Header.Get(briarspring.HeaderOutcome))
	if outcome == "" && answer.StatusCode == http.StatusOK {
		outcome = briarspring.OutcomeServed // Direct calls to an executor carry no outcome.
	}
	if err != nil {
		return briarspring.OutcomeUnknown, false
	}
	if outcome != briarspring.OutcomeServed {
		return outcome, false
	}
	return outcome, !answersRequest(string(body), id, c)
}

// answersRequest reports whether an answer is complete and belongs to the request
// with this id.
func answersRequest(answer, id string, c Config) bool {
	digest := fnv.New64a()
	io.WriteString(digest, c.Body+id) //nolint:errcheck // Never fails.
	path, _, _ := strings.Cut(c.Path, "?")
	want := fmt.Sprintf(" %s %s %s\n", id, path, hex.EncodeToString(digest.Sum(nil)))
	return strings.Contains(answer, want)
}

// ImproperRuns returns the ids of requests that executors ran more often than
// their outcome allows: non-idempotent requests that ran more than once, and
// requests that ran although they were answered not-run.
func ImproperRuns(results []*Result, runs map[string]uint32, idempotent bool) []string {
	var out []string
	for _, r := range results {
		for id, outcome := range r.IDs {
			allowed := uint32(1)
			if outcome == briarspring.OutcomeNotRun {
				allowed = 0
			}
			if runs[id] > allowed && (!idempotent || allowed == 0) {
				out = append(out, id)
			}
		}
	}
	return out
}
