package imitator

import (
	"context"
	"encoding/hex"
	"fmt"
	"hash/fnv"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cespare/xxhash/v2"

	"briarspring"
	"briarspring/sleeper"
)

// Headers exchanged between a gateway and an executor.
const (
	headerRequestID = briarspring.HeaderRequestID
	headerOutcome   = briarspring.HeaderOutcome
	headerLeaving   = briarspring.HeaderLeaving
	headerExecutor  = "Executor"
	outcomeNotRun   = string(briarspring.OutcomeNotRun)
)

const (
	drainPoll   = 10 * time.Millisecond
	fillerBytes = 32 << 10
)

// executor is an HTTP server that runs the requests of one service, with a
// limited number of slots and connections.
type executor struct {
	name         string
	address      string
	profile      profile
	slots        int64
	connections  int64
	server       *http.Server
	slowdown     atomic.Uint64 // Factor as the bits of a float64.
	leaving      atomic.Bool
	inFlight     atomic.Int64
	conns        atomic.Int64
	peakInFlight atomic.Int64
	peakConns    atomic.Int64

	mu        sync.Mutex
	latencies *hdrhistogram.Histogram
	runs      map[string]uint32
	faults    ExecutorFaults
}

// ExecutorFaults are the faults that can be injected into an executor.
type ExecutorFaults struct {
	WrongID    bool          // Answers carry a wrong request id.
	Hang       time.Duration // Added to the work time of requests that hang.
	HangShare  float64       // Share of requests that hang, 0 to 1.
	CloseEarly bool          // Connections close before the request is read.
	CutAnswer  bool          // Connections close in the middle of an answer.
	CloseAfter bool          // Connections close after the work, before the answer.
	SlowFactor float64       // Multiplies the work; zero means 1.
}

// ExecutorCounts are the counters that an executor keeps itself.
type ExecutorCounts struct {
	Service         string            `json:"service"`
	Executor        string            `json:"executor"`
	Address         string            `json:"address"`
	Slots           int64             `json:"slots"`
	Connections     int64             `json:"connections"`
	MostInFlight    int64             `json:"most-in-flight"`
	MostConnections int64             `json:"most-connections"`
	Runs            map[string]uint32 `json:"runs,omitempty"`
}

var executors sync.Map // From address to *executor, for the admin port.

func newExecutor(worker, ip string, s briarspring.StartTask, p profile) (*executor, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	x := &executor{
		name:    fmt.Sprintf("%s-%d@%s", s.Name, s.Attempt.Task.Index, worker),
		address: listener.Addr().String(), profile: p,
		slots: int64(s.Slots), connections: int64(s.Connections),
		latencies: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3),
		runs:      map[string]uint32{},
	}
	x.setSlowdown(1)
	x.server = &http.Server{Handler: x, ConnState: x.connState, ReadHeaderTimeout: 10 * time.Second}
	executors.Store(x.address, x)
	go x.server.Serve(listener) //nolint:errcheck // Returns when the server is closed.
	return x, nil
}

func (x *executor) setSlowdown(f float64) { x.slowdown.Store(math.Float64bits(f)) }

func (x *executor) connState(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		updatePeak(&x.peakConns, x.conns.Add(1))
	case http.StateClosed, http.StateHijacked:
		x.conns.Add(-1)
	}
}

// updatePeak sets peak to n if n is higher.
func updatePeak(peak *atomic.Int64, n int64) {
	for {
		current := peak.Load()
		if n <= current || peak.CompareAndSwap(current, n) {
			return
		}
	}
}

// ServeHTTP runs a request, or refuses it when the executor is leaving or all
// slots are in use.
func (x *executor) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	x.mu.Lock()
	faults := x.faults
	x.mu.Unlock()
	if faults.CloseEarly {
		panic(http.ErrAbortHandler)
	}
	updatePeak(&x.peakInFlight, x.inFlight.Add(1))
	defer x.inFlight.Add(-1)
	id := r.Header.Get(headerRequestID)
	if x.leaving.Load() {
		rw.Header().Set(headerLeaving, "true")
		x.refuse(rw, id)
		return
	}
	if x.inFlight.Load() > x.slots {
		x.refuse(rw, id)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	x.run(rw, r, id, body, faults)
}

func (x *executor) refuse(rw http.ResponseWriter, id string) {
	rw.Header().Set(headerRequestID, id)
	rw.Header().Set(headerOutcome, outcomeNotRun)
	rw.WriteHeader(http.StatusServiceUnavailable)
}

func (x *executor) run(rw http.ResponseWriter, r *http.Request, id string, body []byte, faults ExecutorFaults) {
	x.mu.Lock()
	x.runs[id]++
	x.mu.Unlock()
	start := time.Now()
	work := float64(x.profile.time) * math.Float64frombits(x.slowdown.Load())
	if x.profile.variation > 0 {
		work *= 1 - x.profile.variation - x.profile.variation*math.Log(1-hashFraction(id))
	}
	if faults.SlowFactor > 0 {
		work *= faults.SlowFactor
	}
	d := time.Duration(work)
	if faults.Hang > 0 && shouldHang(id, faults.HangShare) {
		d += faults.Hang
	}
	if sleeper.For(r.Context(), d) != nil {
		panic(http.ErrAbortHandler)
	}
	x.mu.Lock()
	_ = x.latencies.RecordValue(time.Since(start).Microseconds())
	x.mu.Unlock()
	if faults.CloseAfter {
		panic(http.ErrAbortHandler)
	}
	if faults.WrongID {
		id = "other-" + id
	}
	x.writeAnswer(rw, r, id, body, faults.CutAnswer)
}

// hashFraction returns a number in [0, 1) that depends only on the id.
func hashFraction(id string) float64 {
	return float64(xxhash.Sum64String(id)>>11) / (1 << 53)
}

// shouldHang reports whether a request hangs. It depends only on the id, so that
// the same requests hang in every run.
func shouldHang(id string, share float64) bool { return hashFraction(id+"-hangs") < share }

// writeAnswer echoes the request's id, path and body digest, followed by as many
// filler bytes as the query parameter "size" asks for.
func (x *executor) writeAnswer(rw http.ResponseWriter, r *http.Request, id string, body []byte, cut bool) {
	digest := fnv.New64a()
	digest.Write(body)
	line := fmt.Sprintf("%s %s %s %s\n", x.name, id, r.URL.Path, hex.EncodeToString(digest.Sum(nil)))
	size, _ := strconv.ParseInt(r.URL.Query().Get("size"), 10, 64)
	rw.Header().Set(headerRequestID, id)
	rw.Header().Set(headerExecutor, x.name)
	rw.Header().Set("Content-Type", "text/plain; charset=utf-8")
	if !r.URL.Query().Has("chunked") {
		rw.Header().Set("Content-Length", strconv.FormatInt(int64(len(line))+size, 10))
	}
	io.WriteString(rw, line) //nolint:errcheck // The caller disconnected.
	filler := make([]byte, fillerBytes)
	for i := range filler {
		filler[i] = '.'
	}
	for size > 0 {
		n, err := rw.Write(filler[:min(size, fillerBytes)])
		if err != nil {
			return
		}
		size -= int64(n)
		if cut {
			if f, ok := rw.(http.Flusher); ok {
				f.Flush()
			}
			panic(http.ErrAbortHandler)
		}
	}
}

// measure returns the 99th percentile of latency and the number of requests
// since the last measurement.
func (x *executor) measure() (time.Duration, uint32) {
	x.mu.Lock()
	defer x.mu.Unlock()
	p99 := time.Duration(x.latencies.ValueAtQuantile(99)) * time.Microsecond
	n := uint32(x.latencies.TotalCount())
	x.latencies.Reset()
	return p99, n
}

// drain refuses new requests and waits until none is in flight.
func (x *executor) drain() {
	x.leaving.Store(true)
	for x.inFlight.Load() > 0 {
		time.Sleep(drainPoll)
	}
}

// close stops the server: at once, or, if graceful, after the requests in flight
// were answered or 1 s has passed.
func (x *executor) close(graceful bool) {
	if !graceful {
		x.server.Close()
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		x.server.Shutdown(ctx) //nolint:errcheck // Close follows.
		x.server.Close()
	}()
}

func (x *executor) counts(withRuns bool) ExecutorCounts {
	x.mu.Lock()
	defer x.mu.Unlock()
	c := ExecutorCounts{
		Executor: x.name, Address: x.address, Slots: x.slots, Connections: x.connections,
		MostInFlight: x.peakInFlight.Load(), MostConnections: x.peakConns.Load(),
	}
	if withRuns {
		c.Runs = map[string]uint32{}
		for id, n := range x.runs {
			c.Runs[id] = n
		}
	}
	return c
}
