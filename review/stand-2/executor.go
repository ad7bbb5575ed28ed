package main

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	heartbeat      = 1500 * time.Millisecond
	listLag        = 800 * time.Millisecond // From the start to the first entry, as the site files have it.
	maxLease       = 6 * time.Second        // bounds.holdMaxMs
	stopTime       = 100 * time.Millisecond
	startupTime    = 300 * time.Millisecond // Of a task that lasts.
	maxHoldWait    = 2 * time.Second
	maxListedEnds  = 500
	executorHeader = "X-Stand-Executor" // Tells the store that an executor writes.
)

// event is a line that an executor prints.
type event struct {
	At       int64  `json:"at"` // Unix time in milliseconds.
	Executor string `json:"executor"`
	Born     int64  `json:"born"`
	Kind     string `json:"kind"`
	Event    string `json:"event"`
	Task     string `json:"task,omitempty"`
	Run      uint32 `json:"run,omitempty"`
	How      string `json:"how,omitempty"`
	Seen     uint64 `json:"seen,omitempty"`
}

// executorRun is a run that is alive.
type executorRun struct {
	started  time.Time
	work     time.Duration // Zero for a task that lasts.
	stopping bool
}

type endRow struct {
	number uint64
	task   string
	run    uint32
	how    string
}

type runKey struct {
	task string
	run  uint32
}

// executor is one life of an executor, as the protocol page describes it.
type executor struct {
	id, address, entry, store, zone, service string // entry is the address that its entry tells.
	labels                                   []string
	cpu, memory                              int
	born                                     time.Time

	mu       sync.Mutex
	out      *json.Encoder
	token    uint64
	lease    time.Duration // End of the lease by the executor's clock.
	runs     map[runKey]*executorRun
	highest  map[string]uint32 // Highest run stopped or ended, by task.
	ends     []endRow
	numbered uint64
	seen     uint64
	changed  chan struct{}
	sequence int
}

func runExecutor(args []string) int {
	e := &executor{born: time.Now(), out: json.NewEncoder(os.Stdout), runs: map[runKey]*executorRun{}, highest: map[string]uint32{}, changed: make(chan struct{})}
	flags := flag.NewFlagSet("executor", flag.ContinueOnError)
	flags.StringVar(&e.id, "id", "", "id")
	flags.StringVar(&e.address, "address", "", "address")
	flags.StringVar(&e.entry, "entry", "", "address in its entry")
	flags.StringVar(&e.store, "store", "", "address of the store")
	flags.StringVar(&e.zone, "zone", "", "zone")
	flags.StringVar(&e.service, "service", "", "service")
	labels := flags.String("labels", "", "kind and rack, with a comma between")
	flags.IntVar(&e.cpu, "cpu", 16000, "thousandths of a core")
	flags.IntVar(&e.memory, "memory", 64000, "memory of tasks in MB")
	if flags.Parse(args) != nil {
		return exitCannotRun
	}
	e.labels = strings.Split(*labels, ",")
	listener, err := net.Listen("tcp", e.address)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	e.print(event{Event: "up"})
	go e.beat()
	go e.watchLease()
	_ = http.Serve(listener, e)
	return 0
}

func (e *executor) clock() time.Duration { return time.Since(e.born) }

// print writes an event; mu is held or nothing else runs yet.
func (e *executor) print(v event) {
	v.At, v.Executor, v.Born, v.Kind = time.Now().UnixMilli(), e.id, e.born.UnixMilli(), e.labels[0]
	_ = e.out.Encode(v)
}

// beat writes the executor's entry at every heartbeat.
func (e *executor) beat() {
	client := &http.Client{Timeout: heartbeat}
	time.Sleep(listLag)
	for {
		e.mu.Lock()
		e.sequence++
		entry := map[string]any{
			"service": e.service, "address": e.entry, "zone": e.zone, "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0,
			"capacity": map[string]int{"cpu": e.cpu, "taskMemoryMb": e.memory, "gpu": 0}, "labels": e.labels,
			"clockMs": e.clock().Milliseconds(), "born": e.born.UnixMilli(), "sequence": e.sequence,
		}
		e.mu.Unlock()
		value, _ := json.Marshal(entry)
		body := binary.BigEndian.AppendUint32(nil, uint32(1+len(e.id)+len(value)))
		body = append(append(append(body, byte(len(e.id))), e.id...), value...)
		req, err := http.NewRequest(http.MethodPost, "http://"+e.store+"/v1/log-append?topic="+topicServers+"&part=0", bytes.NewReader(body))
		if err == nil {
			req.Header.Set(executorHeader, "1")
			if resp, err := client.Do(req); err == nil {
				_, _ = io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
			}
		}
		time.Sleep(heartbeat)
	}
}

// watchLease ends all runs when the lease has expired.
func (e *executor) watchLease() {
	for {
		time.Sleep(10 * time.Millisecond)
		e.mu.Lock()
		if e.clock() > e.lease {
			for k := range e.runs {
				e.end(k, "lapsed")
			}
		}
		e.mu.Unlock()
	}
}

// end ends a run; mu is held.
func (e *executor) end(k runKey, how string) {
	if e.runs[k] == nil {
		return
	}
	delete(e.runs, k)
	e.highest[k.task] = max(e.highest[k.task], k.run)
	e.numbered++
	e.ends = append(e.ends, endRow{number: e.numbered, task: k.task, run: k.run, how: how})
	e.print(event{Event: "end", Task: k.task, Run: k.run, How: how})
	close(e.changed)
	e.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (e *executor) ServeHTTP(rw http.ResponseWriter, req *http.Request) {
	if id := req.Header.Get("X-Expected-Instance"); id != "" && id != e.id {
		e.answer(rw, http.StatusMisdirectedRequest, nil)
		return
	}
	var m struct {
		Task          string `json:"task"`
		Run           uint32 `json:"run"`
		Specification string `json:"specification"`
		DeadlineMs    int64  `json:"deadlineMs"`
		FencingToken  uint64 `json:"fencingToken"`
		LastSeen      uint64 `json:"lastSeen"`
		WaitMs        int64  `json:"waitMs"`
	}
	if json.NewDecoder(req.Body).Decode(&m) != nil {
		e.answer(rw, http.StatusBadRequest, nil)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if m.FencingToken < e.token {
		e.answer(rw, http.StatusConflict, map[string]any{"reason": "fence"})
		return
	}
	e.token = m.FencingToken
	deadline := time.Duration(m.DeadlineMs) * time.Millisecond
	switch req.URL.Path {
	case "/v1/run-start":
		e.start(rw, runKey{m.Task, m.Run}, m.Specification, deadline)
	case "/v1/run-stop":
		e.stop(rw, runKey{m.Task, m.Run})
	case "/v1/pace":
		e.answer(rw, http.StatusOK, nil)
	case "/v1/hold":
		e.hold(rw, m.LastSeen, deadline, min(maxHoldWait, time.Duration(m.WaitMs)*time.Millisecond))
	default:
		e.answer(rw, http.StatusNotFound, nil)
	}
}

func (e *executor) answer(rw http.ResponseWriter, status int, body map[string]any) {
	if body == nil {
		body = map[string]any{}
	}
	body["clockMs"], body["born"] = e.clock().Milliseconds(), e.born.UnixMilli()
	writeJSON(rw, status, body)
}

func (e *executor) extend(deadline time.Duration) {
	e.lease = max(e.lease, min(deadline, e.clock()+maxLease))
}

func (e *executor) start(rw http.ResponseWriter, k runKey, specification string, deadline time.Duration) {
	if e.clock() > deadline {
		e.answer(rw, http.StatusConflict, map[string]any{"reason": "late"})
		return
	}
	e.extend(deadline)
	if e.runs[k] != nil {
		e.answer(rw, http.StatusOK, nil)
		return
	}
	if k.run <= e.highest[k.task] {
		e.answer(rw, http.StatusConflict, map[string]any{"reason": "old"})
		return
	}
	p := parsePlan(specification)
	r := &executorRun{started: time.Now(), work: p.work}
	e.runs[k] = r
	e.print(event{Event: "start", Task: k.task, Run: k.run})
	if after, how := p.endOf(k.run); after > 0 {
		time.AfterFunc(after, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			if e.runs[k] == r && !r.stopping {
				e.end(k, how)
			}
		})
	}
	e.answer(rw, http.StatusOK, nil)
}

func (e *executor) stop(rw http.ResponseWriter, k runKey) {
	e.highest[k.task] = max(e.highest[k.task], k.run)
	if e.runs[k] == nil {
		e.print(event{Event: "stop", Task: k.task, Run: k.run, How: "not there"})
	}
	if r := e.runs[k]; r != nil && !r.stopping {
		r.stopping = true
		e.print(event{Event: "stop", Task: k.task, Run: k.run})
		time.AfterFunc(stopTime, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			if e.runs[k] == r {
				e.end(k, "stopped")
			}
		})
	}
	e.answer(rw, http.StatusOK, nil)
}

// hold waits for an end and answers with both lists; mu is held.
func (e *executor) hold(rw http.ResponseWriter, seen uint64, deadline, wait time.Duration) {
	e.extend(deadline)
	if seen > e.seen {
		e.seen = seen
		e.print(event{Event: "seen", Seen: seen})
	}
	for len(e.ends) > 0 && e.ends[0].number <= seen {
		e.ends = e.ends[1:]
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for waiting := wait > 0; waiting && len(e.ends) == 0; {
		changed := e.changed
		e.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		}
		e.mu.Lock()
	}
	running, ended := [][]any{}, [][]any{}
	for k, r := range e.runs {
		running = append(running, []any{k.task, k.run, "", r.percent(), 1})
	}
	for _, n := range e.ends[:min(len(e.ends), maxListedEnds)] {
		ended = append(ended, []any{n.number, n.task, n.run, n.how, ""})
	}
	e.answer(rw, http.StatusOK, map[string]any{"running": running, "ended": ended})
}

// percent is what the list of runs tells: for a task that lasts, 100 once it is at work.
func (r *executorRun) percent() int {
	age := time.Since(r.started)
	switch {
	case r.work > 0:
		return int(min(100, 100*age/r.work))
	case age < startupTime:
		return 0
	}
	return 100
}

// plan is what a job's specification tells the stand-in about its tasks.
type plan struct {
	work  time.Duration // Zero for a task that lasts.
	how   string
	after time.Duration // A task that lasts ends by itself after that; zero for never.
	runs  uint32        // Only the first so many runs do.
}

// parsePlan reads a specification such as "work=2000 how=done" or
// "after=5000 how=done runs=1", with times in milliseconds.
func parsePlan(specification string) plan {
	p := plan{how: "done"}
	for _, word := range strings.Fields(specification) {
		name, value, _ := strings.Cut(word, "=")
		n, _ := strconv.Atoi(value)
		switch name {
		case "work":
			p.work = time.Duration(n) * time.Millisecond
		case "after":
			p.after = time.Duration(n) * time.Millisecond
		case "runs":
			p.runs = uint32(n)
		case "how":
			p.how = value
		}
	}
	return p
}

// endOf returns when and how a run ends by itself; zero for never.
func (p plan) endOf(run uint32) (time.Duration, string) {
	if p.work > 0 {
		return p.work, p.how
	}
	if run <= p.runs {
		return p.after, p.how
	}
	return 0, ""
}
