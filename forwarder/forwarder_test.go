package forwarder_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"briarspring"
	"briarspring/forwarder"
	"briarspring/router"
)

// upstream is a fake executor.
type upstream struct {
	address string

	mu          sync.Mutex
	runs        map[string]int
	inFlight    atomic.Int64
	maxInFlight atomic.Int64
	conns       atomic.Int64
	maxConns    atomic.Int64
}

func newUpstream(t *testing.T, handler func(u *upstream, rw http.ResponseWriter, r *http.Request)) *upstream {
	u := &upstream{runs: map[string]int{}}
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		storeMax(&u.maxInFlight, u.inFlight.Add(1))
		defer u.inFlight.Add(-1)
		u.mu.Lock()
		u.runs[r.Header.Get(briarspring.HeaderRequestID)]++
		u.mu.Unlock()
		handler(u, rw, r)
	}))
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		switch state {
		case http.StateNew:
			storeMax(&u.maxConns, u.conns.Add(1))
		case http.StateClosed:
			u.conns.Add(-1)
		}
	}
	server.Start()
	t.Cleanup(server.Close)
	u.address = server.Listener.Addr().String()
	return u
}

func storeMax(maximum *atomic.Int64, n int64) {
	for old := maximum.Load(); n > old && !maximum.CompareAndSwap(old, n); old = maximum.Load() {
	}
}

func (u *upstream) runCount(id string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.runs[id]
}

func (u *upstream) executor(id string) router.Executor {
	return router.Executor{ID: id, Service: "ledger", Address: u.address, Slots: 8, Connections: 64}
}

// echo responds with the request's ID and body.
func echo(_ *upstream, rw http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	id := r.Header.Get(briarspring.HeaderRequestID)
	rw.Header().Set(briarspring.HeaderRequestID, id)
	fmt.Fprintf(rw, "%s:%s", id, body)
}

func newGateway(t *testing.T, change func(*forwarder.Config), executors ...router.Executor) (*forwarder.Forwarder, string) {
	c := forwarder.Config{
		Router:         router.Config{QueueLength: 4, GatewayCount: 1},
		DefaultTimeout: time.Second, MaxTimeout: 5 * time.Second,
		MaxBody: 1 << 20, RetryShare: 0.5,
	}
	if change != nil {
		change(&c)
	}
	f := forwarder.New(c)
	f.Apply(forwarder.Update{
		Snapshot: true, Executors: executors,
		Services: []forwarder.Service{{Name: "ledger", Team: "counter", Prefix: "/ledger/"}},
	})
	server := httptest.NewServer(f)
	t.Cleanup(server.Close)
	return f, server.URL
}

// response is the response that a caller got.
type response struct {
	status  int
	outcome briarspring.Outcome
	header  http.Header
	body    string
	err     error // Error while reading the body.
}

// sendRequest sends a request; headers are alternating names and values.
func sendRequest(t *testing.T, method, url, id, body string, headers ...string) response {
	t.Helper()
	r, err := http.NewRequest(method, url, strings.NewReader(body))
	require.NoError(t, err)
	r.Header.Set(briarspring.HeaderRequestID, id)
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(r)
	require.NoError(t, err)
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return response{
		status: resp.StatusCode, header: resp.Header, body: string(data), err: err,
		outcome: briarspring.Outcome(resp.Header.Get(briarspring.HeaderOutcome)),
	}
}

func assertResponse(t *testing.T, a response, status int, outcome briarspring.Outcome) {
	t.Helper()
	assert.Equal(t, status, a.status, a.body)
	assert.Equal(t, outcome, a.outcome, a.body)
}

func TestAnswersAreTrue(t *testing.T) {
	t.Run("served", func(t *testing.T) {
		u := newUpstream(t, echo)
		_, url := newGateway(t, nil, u.executor("a"))
		a := sendRequest(t, http.MethodPost, url+"/ledger/read", "r1", "receipt")
		assertResponse(t, a, http.StatusOK, briarspring.OutcomeServed)
		assert.Equal(t, "r1:receipt", a.body)
	})
	t.Run("unknown service", func(t *testing.T) {
		_, url := newGateway(t, nil)
		assertResponse(t, sendRequest(t, http.MethodGet, url+"/other", "r1", ""), http.StatusNotFound, briarspring.OutcomeNotRun)
	})
	t.Run("bad timeout", func(t *testing.T) {
		_, url := newGateway(t, nil)
		a := sendRequest(t, http.MethodGet, url+"/ledger/", "r1", "", briarspring.HeaderTimeout, "soon")
		assertResponse(t, a, http.StatusBadRequest, briarspring.OutcomeNotRun)
	})
	t.Run("bad idempotence", func(t *testing.T) {
		_, url := newGateway(t, nil)
		a := sendRequest(t, http.MethodGet, url+"/ledger/", "r1", "", briarspring.HeaderIdempotent, "maybe")
		assertResponse(t, a, http.StatusBadRequest, briarspring.OutcomeNotRun)
	})
	t.Run("body too large", func(t *testing.T) {
		u := newUpstream(t, echo)
		_, url := newGateway(t, nil, u.executor("a"))
		a := sendRequest(t, http.MethodPost, url+"/ledger/", "r1", strings.Repeat("x", 2<<20))
		assertResponse(t, a, http.StatusRequestEntityTooLarge, briarspring.OutcomeNotRun)
		assert.Zero(t, u.runCount("r1"))
	})
	t.Run("no executor", func(t *testing.T) {
		_, url := newGateway(t, nil)
		a := sendRequest(t, http.MethodGet, url+"/ledger/", "r1", "")
		assertResponse(t, a, http.StatusServiceUnavailable, briarspring.OutcomeNotRun)
		assert.NotEmpty(t, a.header.Get("Retry-After"))
	})
	t.Run("an answer to another request", func(t *testing.T) {
		u := newUpstream(t, func(_ *upstream, rw http.ResponseWriter, _ *http.Request) {
			rw.Header().Set(briarspring.HeaderRequestID, "somebody-else")
			fmt.Fprint(rw, "somebody else's receipt")
		})
		_, url := newGateway(t, nil, u.executor("a"))
		a := sendRequest(t, http.MethodPost, url+"/ledger/", "r1", "x", briarspring.HeaderIdempotent, "true")
		assertResponse(t, a, http.StatusBadGateway, briarspring.OutcomeUnknown)
		assert.NotContains(t, a.body, "somebody else")
		assert.Equal(t, 1, u.runCount("r1"), "the first attempt may still run")
	})
	t.Run("upstream says not run", func(t *testing.T) {
		first := newUpstream(t, func(_ *upstream, rw http.ResponseWriter, r *http.Request) {
			rw.Header().Set(briarspring.HeaderRequestID, r.Header.Get(briarspring.HeaderRequestID))
			rw.Header().Set(briarspring.HeaderOutcome, string(briarspring.OutcomeNotRun))
			rw.WriteHeader(http.StatusServiceUnavailable)
		})
		second := newUpstream(t, echo)
		_, url := newGateway(t, nil, first.executor("a"), second.executor("b"))
		for i := range 8 {
			id := fmt.Sprintf("r%d", i)
			a := sendRequest(t, http.MethodPost, url+"/ledger/", id, "x")
			if a.status == http.StatusOK {
				assert.Equal(t, 1, second.runCount(id))
				continue
			}
			assertResponse(t, a, http.StatusServiceUnavailable, briarspring.OutcomeNotRun)
			assert.Zero(t, second.runCount(id), "a refused request must not have run")
		}
	})
	t.Run("nothing listens", func(t *testing.T) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		l.Close()
		dead := router.Executor{ID: "a", Service: "ledger", Address: l.Addr().String(), Slots: 8, Connections: 64}
		_, url := newGateway(t, nil, dead)
		a := sendRequest(t, http.MethodPost, url+"/ledger/", "r1", "x")
		assertResponse(t, a, http.StatusServiceUnavailable, briarspring.OutcomeNotRun)
	})
}

// abort closes the connection without a response.
func abort(*upstream, http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func TestNonIdempotentRunsAtMostOnce(t *testing.T) {
	for _, method := range []string{http.MethodPost, http.MethodGet, http.MethodPut, http.MethodDelete} {
		t.Run(method+" on a connection that closes without an answer", func(t *testing.T) {
			var broken atomic.Bool
			u := newUpstream(t, func(u *upstream, rw http.ResponseWriter, r *http.Request) {
				if broken.Load() {
					abort(u, rw, r)
				}
				echo(u, rw, r)
			})
			other := newUpstream(t, echo)
			_, url := newGateway(t, nil, u.executor("a"))
			// net/http retries on its own only on a reused connection.
			assertResponse(t, sendRequest(t, method, url+"/ledger/", "warm", ""), http.StatusOK, briarspring.OutcomeServed)
			broken.Store(true)
			a := sendRequest(t, method, url+"/ledger/", "r1", "", "Idempotency-Key", "k1")
			assertResponse(t, a, http.StatusBadGateway, briarspring.OutcomeUnknown)
			assert.Equal(t, 1, u.runCount("r1"))
			assert.Zero(t, other.runCount("r1"))
		})
	}
	t.Run("upstream frozen past the deadline", func(t *testing.T) {
		release := make(chan struct{})
		u := newUpstream(t, func(u *upstream, rw http.ResponseWriter, r *http.Request) {
			if r.Header.Get(briarspring.HeaderRequestID) == "slow" {
				<-release
			}
			echo(u, rw, r)
		})
		_, url := newGateway(t, nil, u.executor("a"))
		a := sendRequest(t, http.MethodPost, url+"/ledger/", "slow", "x", briarspring.HeaderTimeout, "100ms")
		assertResponse(t, a, http.StatusGatewayTimeout, briarspring.OutcomeUnknown)
		close(release)
		// The late response must not reach any caller.
		for i := range 20 {
			id := fmt.Sprintf("after-%d", i)
			a := sendRequest(t, http.MethodPost, url+"/ledger/", id, "x")
			assert.Equal(t, id+":x", a.body)
		}
		assert.Equal(t, 1, u.runCount("slow"))
	})
}

func TestIdempotentRetriesWithinBudget(t *testing.T) {
	u := newUpstream(t, func(_ *upstream, rw http.ResponseWriter, r *http.Request) {
		rw.Header().Set(briarspring.HeaderRequestID, r.Header.Get(briarspring.HeaderRequestID))
		rw.WriteHeader(http.StatusServiceUnavailable)
	})
	f, url := newGateway(t, func(c *forwarder.Config) { c.RetryShare = 0.1 },
		u.executor("a"), u.executor("b"), u.executor("c"))
	const requests = 100
	for i := range requests {
		sendRequest(t, http.MethodGet, url+"/ledger/", fmt.Sprintf("r%d", i), "", briarspring.HeaderIdempotent, "true")
	}
	assert.LessOrEqual(t, f.Counts().Retries, uint64(requests/10+2))
	assert.Positive(t, f.Counts().Retries)
}

func TestCutAnswerIsVisible(t *testing.T) {
	for _, chunked := range []bool{false, true} {
		t.Run(fmt.Sprintf("chunked %t", chunked), func(t *testing.T) {
			u := newUpstream(t, func(_ *upstream, rw http.ResponseWriter, r *http.Request) {
				rw.Header().Set(briarspring.HeaderRequestID, r.Header.Get(briarspring.HeaderRequestID))
				if !chunked {
					rw.Header().Set("Content-Length", "1000000")
				}
				rw.Write(make([]byte, 100000)) //nolint:errcheck // The response is cut off below.
				rw.(http.Flusher).Flush()
				panic(http.ErrAbortHandler)
			})
			_, url := newGateway(t, nil, u.executor("a"))
			a := sendRequest(t, http.MethodGet, url+"/ledger/", "r1", "")
			assert.Error(t, a.err, "the caller must see that the response was cut off")
		})
	}
}

func TestLargeAnswerInBoundedMemory(t *testing.T) {
	const size = 64 << 20
	u := newUpstream(t, func(_ *upstream, rw http.ResponseWriter, r *http.Request) {
		rw.Header().Set(briarspring.HeaderRequestID, r.Header.Get(briarspring.HeaderRequestID))
		rw.Header().Set("Content-Length", fmt.Sprint(size))
		io.Copy(rw, io.LimitReader(zeros{}, size)) //nolint:errcheck // The length is checked below.
	})
	_, url := newGateway(t, func(c *forwarder.Config) { c.DefaultTimeout = 5 * time.Second }, u.executor("a"))
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	resp, err := http.Get(url + "/ledger/")
	require.NoError(t, err)
	n, err := io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	require.NoError(t, err)
	assert.EqualValues(t, size, n)
	runtime.ReadMemStats(&after)
	assert.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(size/8), "the response is streamed, not buffered")
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

func TestSlotsOverManyGateways(t *testing.T) {
	const gateways = 9
	u := newUpstream(t, func(u *upstream, rw http.ResponseWriter, r *http.Request) {
		select {
		case <-time.After(20 * time.Millisecond):
		case <-r.Context().Done():
			return
		}
		echo(u, rw, r)
	})
	var urls []string
	for gateway := range gateways {
		e := u.executor("a")
		_, url := newGateway(t, func(c *forwarder.Config) { c.Router.GatewayIndex, c.Router.GatewayCount = gateway, gateways }, e)
		urls = append(urls, url)
	}
	var callers sync.WaitGroup
	for i := range 200 {
		callers.Go(func() {
			// Short timeouts abandon requests that the executor still runs.
			ctx, cancel := context.WithTimeout(context.Background(), time.Duration(5+i%60)*time.Millisecond)
			defer cancel()
			r, _ := http.NewRequestWithContext(ctx, http.MethodPost, urls[i%gateways]+"/ledger/", bytes.NewReader(nil))
			if resp, err := http.DefaultClient.Do(r); err == nil {
				resp.Body.Close()
			}
		})
	}
	callers.Wait()
	assert.LessOrEqual(t, u.maxInFlight.Load(), int64(8))
	assert.LessOrEqual(t, u.maxConns.Load(), int64(64))
	assert.Positive(t, u.maxInFlight.Load())
}

func TestSlotStaysTakenUntilUpstreamEnds(t *testing.T) {
	release := make(chan struct{})
	u := newUpstream(t, func(_ *upstream, _ http.ResponseWriter, _ *http.Request) { <-release })
	e := u.executor("a")
	e.Slots = 1
	_, url := newGateway(t, func(c *forwarder.Config) { c.Router.QueueLength = 0 }, e)
	a := sendRequest(t, http.MethodPost, url+"/ledger/", "r1", "", briarspring.HeaderTimeout, "50ms")
	assertResponse(t, a, http.StatusGatewayTimeout, briarspring.OutcomeUnknown)
	a = sendRequest(t, http.MethodPost, url+"/ledger/", "r2", "", briarspring.HeaderTimeout, "50ms")
	assertResponse(t, a, http.StatusServiceUnavailable, briarspring.OutcomeNotRun)
	assert.Zero(t, u.runCount("r2"), "the executor still runs the first request")
	close(release)
}

func TestTeamQuota(t *testing.T) {
	u := newUpstream(t, echo)
	f, url := newGateway(t, nil, u.executor("a"))
	q, err := briarspring.NewQuota(briarspring.QuotaConfig{Team: "counter", RequestsPerSecond: 2})
	require.NoError(t, err)
	f.Apply(forwarder.Update{
		ConfigOffset: 1, Services: []forwarder.Service{{Name: "ledger", Team: "counter", Prefix: "/ledger/"}},
		Quotas: []briarspring.Quota{q},
	})
	refused := 0
	for i := range 10 {
		a := sendRequest(t, http.MethodPost, url+"/ledger/", fmt.Sprintf("r%d", i), "")
		if a.status == http.StatusTooManyRequests {
			assert.Equal(t, briarspring.OutcomeNotRun, a.outcome)
			refused++
		}
	}
	assert.Positive(t, refused)
}

func TestOlderStateIsIgnored(t *testing.T) {
	u := newUpstream(t, echo)
	f, _ := newGateway(t, nil)
	assert.True(t, f.Apply(forwarder.Update{ConfigOffset: 9, PlacementOffset: 9, Snapshot: true, Executors: []router.Executor{u.executor("a")}}))
	assert.False(t, f.Apply(forwarder.Update{ConfigOffset: 8, PlacementOffset: 9, Snapshot: true}))
	assert.False(t, f.Apply(forwarder.Update{ConfigOffset: 9, PlacementOffset: 8, Snapshot: true}))
	assert.Len(t, f.Executors(), 1)
}

func TestLeavingUpstreamGetsNothingNew(t *testing.T) {
	leaving := newUpstream(t, func(_ *upstream, rw http.ResponseWriter, r *http.Request) {
		rw.Header().Set(briarspring.HeaderRequestID, r.Header.Get(briarspring.HeaderRequestID))
		rw.Header().Set(briarspring.HeaderLeaving, "true")
	})
	staying := newUpstream(t, echo)
	_, url := newGateway(t, func(c *forwarder.Config) { c.Router.Rule = router.RuleRandom },
		leaving.executor("a"), staying.executor("b"))
	for i := range 40 {
		sendRequest(t, http.MethodPost, url+"/ledger/", fmt.Sprintf("r%d", i), "")
	}
	assert.LessOrEqual(t, len(leaving.runs), 1, "it gets no more requests after its first response")
}

func TestPassOnToAnotherDataCentre(t *testing.T) {
	u := newUpstream(t, echo)
	_, far := newGateway(t, nil, u.executor("a"))
	near := func(t *testing.T, address string) string {
		_, url := newGateway(t, func(c *forwarder.Config) {
			c.RemoteGateways = []forwarder.RemoteGateway{{DataCentre: "voru", Address: strings.TrimPrefix(address, "http://")}}
		})
		return url
	}
	a := sendRequest(t, http.MethodPost, near(t, far)+"/ledger/", "r1", "x")
	assertResponse(t, a, http.StatusOK, briarspring.OutcomeServed)
	assert.Equal(t, "r1:x", a.body)
	assert.Equal(t, 1, u.runCount("r1"))
	t.Run("one hop at most", func(t *testing.T) {
		a := sendRequest(t, http.MethodPost, near(t, near(t, far))+"/ledger/", "r2", "x")
		assertResponse(t, a, http.StatusServiceUnavailable, briarspring.OutcomeNotRun)
		assert.Zero(t, u.runCount("r2"))
	})
}
