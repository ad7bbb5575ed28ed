package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	heartbeat   = 1500 * time.Millisecond
	maxLease    = 6 * time.Second // The platform's holdMaxMs.
	stopTime    = 100 * time.Millisecond
	startupTime = 200 * time.Millisecond // Until a lasting task is at work.
	workerTick  = 10 * time.Millisecond
	maxHoldWait = 2 * time.Second
	listedEnds  = 500
)

// runningTask is a run on an executor.
type runningTask struct {
	task    string
	run     uint32
	started time.Time
	length  time.Duration // Zero for a task that lasts.
	stopAt  time.Time     // When its stop takes effect; zero for none.
}

func (r *runningTask) percent() int {
	if r.length == 0 {
		return min(100, int(100*time.Since(r.started)/startupTime))
	}
	return min(99, int(100*time.Since(r.started)/r.length))
}

// endedTask is an end that has not been acknowledged.
type endedTask struct {
	number uint64
	task   string
	run    uint32
	how    string
}

// workerConfig describes an executor.
type workerConfig struct {
	id, address, zone, rack, service string
	entry                            string        // Address of its entry.
	lag                              time.Duration // Until its first entry is in the list.
	cpu, memory                      int64
	store                            string
}

// worker is one life of an executor.
type worker struct {
	config workerConfig
	born   time.Time
	events *json.Encoder

	mu      sync.Mutex
	token   uint64
	lease   time.Duration // By the executor's clock.
	running map[string]*runningTask
	barred  map[string]uint32 // Highest run that was stopped or has ended, by task.
	ended   []endedTask
	number  uint64
	changed chan struct{} // Closed and replaced with each end.
}

// event is one line of an executor's output.
type event struct {
	At     int64  `json:"at"` // Unix milliseconds.
	Worker string `json:"worker"`
	Event  string `json:"event"`
	Task   string `json:"task,omitempty"`
	Run    uint32 `json:"run,omitempty"`
	How    string `json:"how,omitempty"`
	Token  uint64 `json:"token,omitempty"`
}

func (w *worker) log(e event) {
	e.At, e.Worker = time.Now().UnixMilli(), w.config.id
	_ = w.events.Encode(e)
}

func (w *worker) clock() time.Duration { return time.Since(w.born) }

// order is the body of any call.
type order struct {
	Task          string `json:"task"`
	Run           uint32 `json:"run"`
	Specification string `json:"specification"`
	DeadlineMs    int64  `json:"deadlineMs"`
	FencingToken  uint64 `json:"fencingToken"`
	LastSeen      uint64 `json:"lastSeen"`
	WaitMs        int64  `json:"waitMs"`
}

func (w *worker) ServeHTTP(rw http.ResponseWriter, req *http.Request) {
	if req.Header.Get("X-Expected-Instance") != w.config.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var o order
	if err := json.NewDecoder(req.Body).Decode(&o); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if o.FencingToken < w.token {
		w.refuse(rw, "fence")
		return
	}
	w.token = o.FencingToken
	switch req.URL.Path {
	case "/v1/run-start":
		w.start(rw, o)
	case "/v1/run-stop":
		w.stop(rw, o)
	case "/v1/hold":
		w.hold(rw, o)
	case "/v1/pace":
		w.answer(rw, map[string]any{})
	default:
		rw.WriteHeader(http.StatusNotFound)
	}
}

func (w *worker) answer(rw http.ResponseWriter, body map[string]any) {
	body["clockMs"], body["born"] = w.clock().Milliseconds(), w.born.UnixMilli()
	writeBody(rw, http.StatusOK, body)
}

func (w *worker) refuse(rw http.ResponseWriter, reason string) {
	writeBody(rw, http.StatusConflict, map[string]any{"clockMs": w.clock().Milliseconds(), "reason": reason})
}

// extend extends the lease.
func (w *worker) extend(deadlineMs int64) {
	until := min(time.Duration(deadlineMs)*time.Millisecond, w.clock()+maxLease)
	w.lease = max(w.lease, until)
}

func runName(task string, run uint32) string { return task + "#" + strconv.Itoa(int(run)) }

func (w *worker) start(rw http.ResponseWriter, o order) {
	name := runName(o.Task, o.Run)
	switch {
	case w.running[name] != nil:
		w.extend(o.DeadlineMs)
		w.answer(rw, map[string]any{})
		return
	case time.Duration(o.DeadlineMs)*time.Millisecond < w.clock():
		w.refuse(rw, "late")
		return
	case o.Run <= w.barred[o.Task]:
		w.extend(o.DeadlineMs)
		w.refuse(rw, "old")
		return
	}
	w.extend(o.DeadlineMs)
	w.running[name] = &runningTask{task: o.Task, run: o.Run, started: time.Now(), length: lengthOf(o.Specification, o.Task)}
	w.log(event{Event: "start", Task: o.Task, Run: o.Run, Token: o.FencingToken})
	w.answer(rw, map[string]any{})
}

// lengthOf returns how long a task takes: of a specification such as "run-ms=900,0 x" the
// number of the task's step, or the last one. Zero is for tasks that last.
func lengthOf(specification, task string) time.Duration {
	text, _, _ := strings.Cut(strings.TrimPrefix(specification, "run-ms="), " ")
	lengths := strings.Split(text, ",")
	step := 0
	if parts := strings.Split(task, "."); len(parts) > 2 {
		step, _ = strconv.Atoi(parts[2])
	}
	ms, _ := strconv.Atoi(lengths[min(step, len(lengths)-1)])
	return time.Duration(ms) * time.Millisecond
}

func (w *worker) stop(rw http.ResponseWriter, o order) {
	w.barred[o.Task] = max(w.barred[o.Task], o.Run)
	if r := w.running[runName(o.Task, o.Run)]; r != nil && r.stopAt.IsZero() {
		r.stopAt = time.Now().Add(stopTime)
	}
	w.answer(rw, map[string]any{})
}

func (w *worker) hold(rw http.ResponseWriter, o order) {
	if o.DeadlineMs > 0 {
		w.extend(o.DeadlineMs)
	}
	for len(w.ended) > 0 && w.ended[0].number <= o.LastSeen {
		w.log(event{Event: "seen", Task: w.ended[0].task, Run: w.ended[0].run, How: w.ended[0].how})
		w.ended = w.ended[1:]
	}
	timer := time.NewTimer(min(time.Duration(o.WaitMs)*time.Millisecond, maxHoldWait))
	defer timer.Stop()
	if len(w.ended) == 0 && o.WaitMs > 0 {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
		}
		w.mu.Lock()
	}
	running, ended := [][]any{}, [][]any{}
	for _, r := range w.running {
		running = append(running, []any{r.task, r.run, "", r.percent(), 0})
	}
	for _, e := range w.ended[:min(len(w.ended), listedEnds)] {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, ""})
	}
	w.answer(rw, map[string]any{"running": running, "ended": ended})
}

// end ends a run. Callers hold mu.
func (w *worker) end(name, how string) {
	r := w.running[name]
	delete(w.running, name)
	w.barred[r.task] = max(w.barred[r.task], r.run)
	w.number++
	w.ended = append(w.ended, endedTask{number: w.number, task: r.task, run: r.run, how: how})
	w.log(event{Event: "end", Task: r.task, Run: r.run, How: how})
	close(w.changed)
	w.changed = make(chan struct{})
}

// work ends runs that are done, were stopped or have lost their lease.
func (w *worker) work() {
	for range time.Tick(workerTick) {
		w.mu.Lock()
		lapsed := w.clock() > w.lease
		for name, r := range w.running {
			switch {
			case lapsed:
				w.end(name, "lapsed")
			case !r.stopAt.IsZero() && time.Now().After(r.stopAt):
				w.end(name, "stopped")
			case r.length > 0 && time.Since(r.started) >= r.length:
				w.end(name, "done")
			}
		}
		w.mu.Unlock()
	}
}

// beat writes the executor's entry to the store.
func (w *worker) beat() {
	client := &http.Client{Timeout: time.Second}
	for time.Sleep(w.config.lag); ; time.Sleep(heartbeat) {
		body, _ := json.Marshal(map[string]any{
			"service": w.config.service, "address": w.config.entry, "zone": w.config.zone, "version": "1", "slots": 8, "state": "ready",
			"coldRemainingMs": 0, "sequence": 1, "born": w.born.UnixMilli(), "labels": []string{"a", w.config.rack},
			"capacity": map[string]int64{"cpu": w.config.cpu, "taskMemoryMb": w.config.memory, "gpu": 0},
		})
		resp, err := client.Post("http://"+w.config.store+"/stand/entry?id="+url.QueryEscape(w.config.id), "application/json", bytes.NewReader(body))
		if err == nil {
			resp.Body.Close()
		}
	}
}

// runWorker serves one life of an executor until the process is killed.
func runWorker(args []string) error {
	var c workerConfig
	flags := flag.NewFlagSet("worker", flag.ContinueOnError)
	flags.StringVar(&c.id, "id", "", "ID of this life")
	flags.StringVar(&c.address, "address", "", "address to serve")
	flags.StringVar(&c.entry, "entry", "", "address in its entry")
	flags.DurationVar(&c.lag, "lag", 0, "time until its first entry is in the list")
	flags.StringVar(&c.store, "store", "", "address of the store")
	flags.StringVar(&c.zone, "zone", "", "zone")
	flags.StringVar(&c.rack, "rack", "", "rack")
	flags.StringVar(&c.service, "service", "", "service")
	flags.Int64Var(&c.cpu, "cpu", 16000, "thousandths of a core")
	flags.Int64Var(&c.memory, "memory", 64000, "megabytes")
	if err := flags.Parse(args); err != nil {
		return err
	}
	if c.id == "" || c.address == "" {
		return errors.New("an executor needs an ID and an address")
	}
	w := &worker{
		config: c, born: time.Now(), events: json.NewEncoder(os.Stdout), running: map[string]*runningTask{}, barred: map[string]uint32{},
		changed: make(chan struct{}),
	}
	w.log(event{Event: "up"})
	go w.work()
	go w.beat()
	if err := serve(c.address, w); err != nil {
		return fmt.Errorf("executor %s: %w", c.id, err)
	}
	return nil
}
