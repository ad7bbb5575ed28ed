package main

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// relay passes the hosts' calls on to an executor. While it is silent, calls hang, and
// connections that are opened meanwhile stay so.
type relay struct {
	target string
	client *http.Client

	mu       sync.Mutex
	silent   bool
	deaf     map[net.Conn]bool // Connections of hosts; true if opened while silent.
	holdNext bool              // The next start is kept back.
	kept     *http.Request
	keptBody []byte
	renewed  time.Time // When the last renewal arrived.
}

type relayConnKey struct{}

func newRelay(address, target string) (*relay, error) {
	r := &relay{target: target, deaf: map[net.Conn]bool{}, client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: r, ReadHeaderTimeout: time.Minute, ConnContext: func(ctx context.Context, c net.Conn) context.Context {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.deaf[c] = r.silent
		return context.WithValue(ctx, relayConnKey{}, c)
	}, ConnState: func(c net.Conn, state http.ConnState) {
		if state == http.StateClosed {
			r.mu.Lock()
			defer r.mu.Unlock()
			delete(r.deaf, c)
		}
	}}
	go func() { _ = server.Serve(listener) }()
	return r, nil
}

// hears reports whether a call may pass.
func (r *relay) hears(req *http.Request) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	c, _ := req.Context().Value(relayConnKey{}).(net.Conn)
	return !r.silent && !r.deaf[c]
}

func (r *relay) ServeHTTP(rw http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if !r.hears(req) || req.URL.Path == "/v1/run-start" && r.keep(req, body) {
		<-req.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if req.URL.Path == "/v1/hold" {
		r.mu.Lock()
		r.renewed = time.Now()
		r.mu.Unlock()
	}
	resp, err := r.pass(req, body)
	if err != nil {
		if !r.hears(req) {
			<-req.Context().Done()
		}
		panic(http.ErrAbortHandler)
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil || !r.hears(req) {
		<-req.Context().Done()
		panic(http.ErrAbortHandler)
	}
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(resp.StatusCode)
	_, _ = rw.Write(answer)
}

// keep keeps a start back if one is wanted.
func (r *relay) keep(req *http.Request, body []byte) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.holdNext {
		return false
	}
	r.holdNext, r.kept, r.keptBody = false, req, body
	return true
}

// pass sends a call to the executor.
func (r *relay) pass(req *http.Request, body []byte) (*http.Response, error) {
	forward, err := http.NewRequest(req.Method, "http://"+r.target+req.URL.Path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	forward.Header = req.Header.Clone()
	return r.client.Do(forward)
}

// renewalAge returns the time since the last renewal arrived.
func (r *relay) renewalAge() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Since(r.renewed)
}

// release delivers the start that was kept back.
func (r *relay) release() error {
	resp, err := r.pass(r.kept, r.keptBody)
	if err == nil {
		resp.Body.Close()
	}
	return err
}

// setSilent cuts the executor off from the hosts, or connects it again. Connections from
// before are reset then.
func (r *relay) setSilent(silent bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silent = silent
	if silent {
		return
	}
	for c := range r.deaf {
		c.Close()
	}
}
