package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// relay stands between the hosts and the executors. It can hold one order: the order gets
// no answer and reaches the executor's address later.
type relay struct {
	logf func(format string, args ...any)

	mu    sync.Mutex
	task  string        // The first start of a task whose name begins so is held; empty for none.
	delay time.Duration // For so long.
	held  chan string   // Receives the executor's address when the order is held.
}

// serve relays calls to an executor and returns the address for its entry.
func (r *relay) serve(ip, executor string) (string, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}}
	go func() {
		_ = http.Serve(listener, http.HandlerFunc(func(rw http.ResponseWriter, req *http.Request) { r.pass(rw, req, client, executor) }))
	}()
	return listener.Addr().String(), nil
}

// holdStart makes the relay hold the first start of a task.
func (r *relay) holdStart(task string, delay time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.task, r.delay = task, delay
}

// holds reports whether an order is to be held, once.
func (r *relay) holds(path string, body []byte) (time.Duration, bool) {
	var m struct {
		Task string `json:"task"`
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.task == "" || path != "/v1/run-start" || json.Unmarshal(body, &m) != nil || !strings.HasPrefix(m.Task, r.task) {
		return 0, false
	}
	r.task = ""
	return r.delay, true
}

func (r *relay) pass(rw http.ResponseWriter, req *http.Request, client *http.Client, executor string) {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	send := func() (*http.Response, error) {
		out, err := http.NewRequest(req.Method, "http://"+executor+req.URL.Path, bytes.NewReader(body))
		if err != nil {
			return nil, err
		}
		out.Header = req.Header.Clone()
		return client.Do(out)
	}
	if delay, ok := r.holds(req.URL.Path, body); ok {
		r.logf("relay: holds for %s the order to %s: %s", delay, executor, body)
		r.held <- executor
		time.Sleep(delay)
		resp, err := send()
		if err != nil {
			r.logf("relay: the order can't be delivered: %v", err)
			panic(http.ErrAbortHandler)
		}
		answer, _ := io.ReadAll(resp.Body)
		resp.Body.Close()
		r.logf("relay: delivered the order to %s: %d %s", executor, resp.StatusCode, answer)
		panic(http.ErrAbortHandler)
	}
	resp, err := send()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer resp.Body.Close()
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(resp.StatusCode)
	_, _ = io.Copy(rw, resp.Body)
}
