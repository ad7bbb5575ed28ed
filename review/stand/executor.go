package main

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Figures of an executor, from the sheet of the site and PROTOCOL.md.
const (
	executorCPU       = 16000
	executorMemoryMb  = 64000
	maxHold           = 6 * time.Second
	maxHoldWait       = 2 * time.Second
	beatInterval      = 1500 * time.Millisecond
	maxListedEnds     = 500
	stopDelay         = 20 * time.Millisecond
	startupTime       = 300 * time.Millisecond // Until a task that lasts is at work.
	restoreDelay      = 600 * time.Millisecond
	checkpointEvery   = time.Second
	executorTick      = 20 * time.Millisecond
	entryLifetime     = 3 * beatInterval
	fullPercent       = 100
	headerInstance    = "X-Expected-Instance"
	statusMisdirected = http.StatusMisdirectedRequest
)

// behaviour describes how a task runs.
type behaviour struct {
	work        time.Duration // At full speed.
	checkpoints bool
	lasts       bool // Runs until it is stopped.
}

// runKey names a run.
type runKey struct {
	task string
	run  uint32
}

// activeRun is a run that has been started.
type activeRun struct {
	key      runKey
	since    time.Time
	done     time.Duration // Work that was done before since.
	work     time.Duration
	saves    bool
	lasts    bool
	pace     int
	stopping bool
}

// progress returns the work that is done.
func (r *activeRun) progress() time.Duration {
	return r.done + time.Since(r.since)*time.Duration(r.pace)/fullPercent
}

// checkpoint returns the last saved state, which is the work done until then.
func (r *activeRun) checkpoint(atStop bool) string {
	if !r.saves {
		return ""
	}
	saved := r.progress()
	if !atStop {
		saved = saved.Truncate(checkpointEvery)
	}
	if saved <= 0 {
		return ""
	}
	return fmt.Sprintf("%016x", saved.Milliseconds())
}

// end is an end of a run that an executor lists until it may forget it.
type end struct {
	number     uint64
	key        runKey
	how        string
	checkpoint string
}

// executor serves the protocol of one executor.
type executor struct {
	id, zone, rack, label string
	service               string
	address               string
	store                 *store
	ledger                *ledger
	behave                func(task string) behaviour
	storeDown             func() bool // Whether beats get lost.
	server                *http.Server

	mu       sync.Mutex
	up       bool
	born     time.Time
	sequence int
	token    uint64
	leaseEnd time.Duration // By the executor's clock.
	runs     map[runKey]*activeRun
	barred   map[string]uint32 // By task: the highest run that was stopped or has ended.
	ended    []end
	lastEnd  uint64
	changed  chan struct{} // Closed and replaced with each end.
	beatAt   time.Time
}

// serve starts the executor on an address.
func (x *executor) serve(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	x.address = listener.Addr().String()
	x.changed = make(chan struct{})
	x.bear()
	x.serveOn(listener)
	go x.tick()
	return nil
}

// serveOn serves one incarnation.
func (x *executor) serveOn(l net.Listener) {
	x.server = &http.Server{Handler: x}
	go func(server *http.Server) { _ = server.Serve(l) }(x.server)
}

// bear begins an incarnation.
func (x *executor) bear() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.up, x.born, x.sequence = true, time.Now(), 0
	x.token, x.leaseEnd, x.lastEnd, x.ended = 0, 0, 0, nil
	x.runs, x.barred = map[runKey]*activeRun{}, map[string]uint32{}
	x.beatAt = time.Time{}
}

// lose ends the executor for good. Its entry is removed after three beats.
func (x *executor) lose() {
	x.mu.Lock()
	x.up = false
	for key := range x.runs {
		x.ledger.ended(x.id, key, "lost", 0)
	}
	x.runs = map[runKey]*activeRun{}
	x.mu.Unlock()
	x.server.Close()
	x.ledger.record.printf("executor %s is lost", x.id)
	time.AfterFunc(entryLifetime, func() { x.store.put("keyed.servers", x.id, nil) })
}

// tick ends runs and writes beats until the program ends.
func (x *executor) tick() {
	for ; ; time.Sleep(executorTick) {
		x.mu.Lock()
		if x.up {
			x.endRuns()
			x.beat()
		}
		x.mu.Unlock()
	}
}

// endRuns ends the runs that are done and those whose lease has expired.
func (x *executor) endRuns() {
	lapsed := x.clock() > x.leaseEnd
	for _, r := range x.runs {
		switch {
		case lapsed:
			x.end(r, "lapsed")
		case !r.stopping && !r.lasts && r.progress() >= r.work:
			x.end(r, "done")
		}
	}
}

func (x *executor) end(r *activeRun, how string) {
	delete(x.runs, r.key)
	x.lastEnd++
	checkpoint := ""
	if how != "done" {
		checkpoint = r.checkpoint(true)
	}
	x.ended = append(x.ended, end{number: x.lastEnd, key: r.key, how: how, checkpoint: checkpoint})
	x.barred[r.key.task] = max(x.barred[r.key.task], r.key.run)
	x.ledger.ended(x.id, r.key, how, x.lastEnd)
	close(x.changed)
	x.changed = make(chan struct{})
}

// beat writes the executor's entry to the store.
func (x *executor) beat() {
	if time.Since(x.beatAt) < beatInterval || x.storeDown() {
		return
	}
	x.beatAt = time.Now()
	x.sequence++
	value, err := json.Marshal(map[string]any{
		"service": x.service, "address": x.address, "zone": x.zone, "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0,
		"capacity": map[string]int{"cpu": executorCPU, "taskMemoryMb": executorMemoryMb, "gpu": 0},
		"labels":   []string{x.label, x.rack}, "clockMs": x.clock().Milliseconds(), "born": x.born.UnixMilli(), "sequence": x.sequence,
	})
	if err != nil {
		panic(err)
	}
	x.store.put("keyed.servers", x.id, value)
}

func (x *executor) clock() time.Duration { return time.Since(x.born) }

// renew extends the lease; it never shortens.
func (x *executor) renew(deadlineMs int64) {
	until := min(time.Duration(deadlineMs)*time.Millisecond, x.clock()+maxHold)
	x.leaseEnd = max(x.leaseEnd, until)
}

// order is the body of a call.
type order struct {
	Task          string `json:"task"`
	Run           uint32 `json:"run"`
	Specification string `json:"specification"`
	DeadlineMs    int64  `json:"deadlineMs"`
	FencingToken  uint64 `json:"fencingToken"`
	Checkpoint    string `json:"checkpoint"`
	LastSeen      uint64 `json:"lastSeen"`
	WaitMs        int64  `json:"waitMs"`
	Percent       int    `json:"percent"`
}

func (x *executor) ServeHTTP(rw http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(req.Body)
	var o order
	if err == nil {
		err = json.Unmarshal(body, &o)
	}
	if err != nil {
		reply(rw, http.StatusBadRequest, struct{}{})
		return
	}
	x.mu.Lock()
	up, born := x.up, x.born
	x.mu.Unlock()
	if !up {
		panic(http.ErrAbortHandler)
	}
	if id := req.Header.Get(headerInstance); id != "" && id != x.id {
		reply(rw, statusMisdirected, struct{}{})
		return
	}
	status, answer := x.answer(req, o)
	x.mu.Lock()
	same := x.up && x.born.Equal(born)
	x.mu.Unlock()
	if !same {
		panic(http.ErrAbortHandler)
	}
	reply(rw, status, answer)
}

func (x *executor) answer(req *http.Request, o order) (int, map[string]any) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if o.FencingToken < x.token {
		return x.refuse("fence")
	}
	x.token = o.FencingToken
	x.endRuns()
	switch req.URL.Path {
	case "/v1/hold":
		return x.hold(o)
	case "/v1/run-start":
		return x.start(o)
	case "/v1/run-stop":
		return x.stop(o)
	case "/v1/pace":
		if r := x.runs[runKey{o.Task, o.Run}]; r != nil {
			r.done, r.since, r.pace = r.progress(), time.Now(), o.Percent
		}
		return x.accept()
	}
	return http.StatusNotFound, map[string]any{}
}

func (x *executor) accept() (int, map[string]any) {
	return http.StatusOK, map[string]any{"clockMs": x.clock().Milliseconds(), "born": x.born.UnixMilli()}
}

func (x *executor) refuse(reason string) (int, map[string]any) {
	return http.StatusConflict, map[string]any{"clockMs": x.clock().Milliseconds(), "born": x.born.UnixMilli(), "reason": reason}
}

func (x *executor) start(o order) (int, map[string]any) {
	key := runKey{o.Task, o.Run}
	switch {
	case o.DeadlineMs < x.clock().Milliseconds():
		return x.refuse("late")
	case x.runs[key] != nil:
		x.renew(o.DeadlineMs)
		return x.accept()
	case o.Run <= x.barred[o.Task]:
		x.renew(o.DeadlineMs)
		return x.refuse("old")
	}
	x.renew(o.DeadlineMs)
	b := x.behave(o.Task)
	r := &activeRun{key: key, since: time.Now(), work: b.work, saves: b.checkpoints, lasts: b.lasts, pace: fullPercent}
	if ms, err := strconv.ParseInt(o.Checkpoint, 16, 64); err == nil && o.Checkpoint != "" {
		r.done = time.Duration(ms)*time.Millisecond - restoreDelay
	}
	x.runs[key] = r
	x.ledger.started(x.id, key)
	return x.accept()
}

func (x *executor) stop(o order) (int, map[string]any) {
	x.barred[o.Task] = max(x.barred[o.Task], o.Run)
	if r := x.runs[runKey{o.Task, o.Run}]; r != nil && !r.stopping {
		r.stopping = true
		time.AfterFunc(stopDelay, func() {
			x.mu.Lock()
			defer x.mu.Unlock()
			if x.runs[r.key] == r {
				x.end(r, "stopped")
			}
		})
	}
	return x.accept()
}

// hold renews the lease, forgets ends and lists the runs and ends. It waits for an
// end if there is none to list.
func (x *executor) hold(o order) (int, map[string]any) {
	if o.DeadlineMs > 0 {
		x.renew(o.DeadlineMs)
	}
	for len(x.ended) > 0 && x.ended[0].number <= o.LastSeen {
		x.ledger.noted(x.id, x.ended[0].key)
		x.ended = x.ended[1:]
	}
	x.waitForEnd(min(time.Duration(o.WaitMs)*time.Millisecond, maxHoldWait))
	status, answer := x.accept()
	running := [][]any{}
	for _, key := range slices.SortedFunc(maps.Keys(x.runs), func(a, b runKey) int { return compareRuns(a, b) }) {
		r := x.runs[key]
		percent := min(fullPercent-1, max(0, int(fullPercent*r.progress()/r.work)))
		if r.lasts && r.progress() > startupTime {
			percent = fullPercent
		}
		running = append(running, []any{key.task, key.run, r.checkpoint(false), percent, 0})
	}
	ended := [][]any{}
	for _, e := range x.ended[:min(len(x.ended), maxListedEnds)] {
		ended = append(ended, []any{e.number, e.key.task, e.key.run, e.how, e.checkpoint})
	}
	answer["running"], answer["ended"] = running, ended
	return status, answer
}

func compareRuns(a, b runKey) int {
	if a.task != b.task {
		if a.task < b.task {
			return -1
		}
		return 1
	}
	return int(a.run) - int(b.run)
}

// waitForEnd waits with the lock released.
func (x *executor) waitForEnd(wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for len(x.ended) == 0 && x.up {
		changed := x.changed
		x.mu.Unlock()
		expired := false
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		}
		x.mu.Lock()
		if expired {
			return
		}
	}
}
