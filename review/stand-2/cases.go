package main

import (
	"cmp"
	"errors"
	"fmt"
	"net/http"
	"os"
	"time"
)

// verdict is the result of a case.
type verdict struct {
	broken bool
	text   string
}

// cases are the cases by name. Each returns an error if it could not run. With trouble
// false it leaves the disruption out.
var cases = map[string]func(s *site, trouble bool) (verdict, error){
	"lasting-end": lastingEnd,
	"crashes":     crashes,
	"other-kind":  otherKind,
	"odd-entry":   oddEntry,
	"long-tasks":  longTasks,
	"bounce":      bounce,
	"rack-power":  rackPower,
	"former-life": formerLife,
	"cancel":      cancelled,
}

// oddKeyBytes is the length of the odd entry's key.
const oddKeyBytes = 255

func runCase(name, record string) int {
	play := cases[name]
	if play == nil {
		fmt.Fprintln(os.Stderr, "no such case")
		return exitCannotRun
	}
	s, err := newSite(record, "tartu", "viljandi", "voru")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	defer s.close()
	if name == "former-life" {
		s.relay = &relay{logf: s.logf, held: make(chan string, 1)}
	}
	trouble := os.Getenv("TROUBLE") != "0"
	s.logf("case %s, disruption: %t", name, trouble)
	v, err := play(s, trouble)
	if err != nil {
		s.logf("could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitCannotRun
	}
	s.logf("result: %s", v.text)
	fmt.Println(v.text)
	if v.broken {
		return exitBroken
	}
	return exitHeld
}

// build starts a host in each zone and so many executors of a kind.
func (s *site) build(executors int, kind func(n int) string) error {
	for i, zone := range s.zones {
		for n := range executors {
			if err := s.addExecutor(fmt.Sprintf("i-%s-%d", zone, n), zone, kind(n), fmt.Sprintf("r%d-%s", i+1, kind(n))); err != nil {
				return err
			}
		}
		if err := s.addHost(zone); err != nil {
			return err
		}
	}
	return s.awaitReady()
}

func kindA(int) string { return "a" }

// idleSpan is how long a task that lasts may have nothing running: the 6 s from its last
// run on, and the 3 s of the rule.
const idleSpan = 9 * time.Second

// lastingEnd hands in a job of two tasks that last. With the disruption, the first run
// of each ends as done by itself.
func lastingEnd(s *site, trouble bool) (verdict, error) {
	if err := s.build(3, kindA); err != nil {
		return verdict{}, err
	}
	const endsAfter, watch = 8 * time.Second, 40 * time.Second
	specification := "lasts"
	if trouble {
		specification = fmt.Sprintf("lasts after=%d runs=1 how=%s", endsAfter.Milliseconds(), cmp.Or(os.Getenv("HOW"), "done"))
	}
	id, err := s.submit(0, "/pule252/", map[string]any{
		"specification": specification,
		"steps":         []map[string]any{{"count": 2, "cpu": 3200, "taskMemoryMb": 6400, "estimatedMs": 320, "longRunning": true, "image": "img-1"}},
	})
	if err != nil {
		return verdict{}, err
	}
	time.Sleep(watch)
	state := s.state("/pule252/", id)
	longest, tasks := s.longestIdle(id)
	if tasks != 2 {
		return verdict{}, fmt.Errorf("%d of 2 tasks ever ran", tasks)
	}
	text := fmt.Sprintf("longest time with no run of a lasting task: %.1f s; state %q", longest.Seconds(), state)
	return verdict{broken: longest > idleSpan, text: text}, nil
}

// longestIdle returns the longest time for which a task of a job had no run after its
// first one, and how many tasks ran.
func (s *site) longestIdle(id string) (longest time.Duration, tasks int) {
	now := time.Now().UnixMilli()
	endedAt := map[string]int64{}
	seen := map[string]bool{}
	for _, v := range s.eventsOf(id + ".") {
		switch v.Event {
		case "start":
			if at, ended := endedAt[v.Task]; ended {
				longest = max(longest, time.Duration(v.At-at)*time.Millisecond)
			}
			delete(endedAt, v.Task)
			seen[v.Task] = true
		case "end":
			endedAt[v.Task] = v.At
		}
	}
	for _, at := range endedAt {
		longest = max(longest, time.Duration(now-at)*time.Millisecond)
	}
	return longest, len(seen)
}

// crashes hands in a job of one task. With the disruption, the executor that runs it
// crashes, four times in all, and starts again 2 s later.
func crashes(s *site, trouble bool) (verdict, error) {
	if err := s.build(4, kindA); err != nil {
		return verdict{}, err
	}
	const work, crashAfter, down = 12 * time.Second, 2 * time.Second, 2 * time.Second
	id, err := s.submit(0, "/lohu930/", map[string]any{
		"specification": fmt.Sprintf("work=%d how=done", work.Milliseconds()),
		"steps":         []map[string]any{{"count": 1, "cpu": 1000, "taskMemoryMb": 2000, "estimatedMs": work.Milliseconds()}},
	})
	if err != nil {
		return verdict{}, err
	}
	handled := 0
	lives := 1
	for end := time.Now().Add(85 * time.Second); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		switch s.state("/lohu930/", id) {
		case "completed":
			return verdict{text: fmt.Sprintf("completed after %d crashes", lives-1)}, nil
		case "failed":
			failed := 0
			for _, v := range s.eventsOf(id + ".") {
				if v.Event == "end" && v.How == "failed" {
					failed++
				}
			}
			return verdict{broken: failed == 0, text: fmt.Sprintf("shown as failed after %d crashes of executors and %d ends \"failed\"", lives-1, failed)}, nil
		}
		starts := s.eventsOf(id + ".")
		if !trouble || lives > 4 || len(starts) <= handled {
			continue
		}
		last := starts[len(starts)-1]
		if last.Event != "start" || time.Now().UnixMilli()-last.At < crashAfter.Milliseconds() {
			continue
		}
		handled = len(starts)
		for _, e := range s.executors {
			if e.id != last.Executor {
				continue
			}
			s.kill(e.process)
			lives++
			time.AfterFunc(down, func() { _ = s.startExecutor(e) })
		}
	}
	return verdict{text: "neither completed nor failed in time"}, nil
}

// otherKind keeps the executors of kind "a" full with tasks that require it. With the
// disruption, one of them crashes and starts again with the same ID and address as one of
// kind "b".
func otherKind(s *site, trouble bool) (verdict, error) {
	if err := s.build(3, kindA); err != nil {
		return verdict{}, err
	}
	const jobs, tasks = 12, 30
	var ids []string
	for i := range jobs {
		id, err := s.submit(i, "/lohu930/", map[string]any{
			"specification": "work=2000 how=done",
			"steps":         []map[string]any{{"count": tasks, "cpu": 4000, "taskMemoryMb": 2000, "estimatedMs": 2000, "requirements": "a"}},
		})
		if err != nil {
			return verdict{}, err
		}
		ids = append(ids, id)
	}
	time.Sleep(3 * time.Second)
	if trouble {
		e := s.executors[0]
		s.kill(e.process)
		time.Sleep(time.Second)
		e.kind = "b"
		if err := s.startExecutor(e); err != nil {
			return verdict{}, err
		}
	}
	time.Sleep(25 * time.Second)
	wrong, starts := 0, 0
	for _, id := range ids {
		for _, v := range s.eventsOf(id + ".") {
			if v.Event != "start" {
				continue
			}
			if starts++; v.Kind != "a" {
				wrong++
			}
		}
	}
	if starts < jobs {
		return verdict{}, fmt.Errorf("only %d starts", starts)
	}
	return verdict{broken: wrong > 0, text: fmt.Sprintf("%d of %d starts were on an executor without the label in requirements", wrong, starts)}, nil
}

// oddEntry hands in a best-effort job at each host. With the disruption, there is one
// entry of another writer among those of the executors in tartu.
func oddEntry(s *site, trouble bool) (verdict, error) {
	if trouble {
		key := "x"
		for len(key) < oddKeyBytes {
			key += "0"
		}
		value := fmt.Sprintf(`{"service":"other","address":"%s:9","zone":"tartu","version":"v1","slots":8,"state":"ready","coldRemainingMs":0,`+
			`"capacity":{"cpu":1000,"taskMemoryMb":1000,"gpu":0},"labels":["a","r9"],"clockMs":1,"born":1,"sequence":1}`, s.newIP())
		s.store.put(topicServers, key, []byte(value))
		s.logf("another writer's entry %s: %s", key, value)
	}
	if err := s.build(3, kindA); err != nil {
		return verdict{}, err
	}
	var ids []string
	for i := range s.hosts {
		id, err := s.submit(i, "/pufi791/", map[string]any{
			"specification": "work=2000 how=done",
			"steps":         []map[string]any{{"count": 4, "cpu": 1800, "taskMemoryMb": 3200, "estimatedMs": 2000, "fills": true, "image": "img-2"}},
		})
		if err != nil {
			return verdict{}, err
		}
		ids = append(ids, id)
	}
	return s.judgeLost("/pufi791/", ids...), nil
}

// Bounds of the rule LOST for a job that isn't lasting.
const (
	finishTime = 14 * time.Second // finish_s, from the end of the traffic.
	idleTime   = 3 * time.Second
	watchTime  = 16 * time.Second // From then on.
)

// judgeLost waits until finish_s after the end of the traffic, which is now, and then
// looks for a job with nothing running.
func (s *site) judgeLost(prefix string, ids ...string) verdict {
	time.Sleep(finishTime)
	from := time.Now()
	time.Sleep(watchTime)
	to := time.Now()
	lost, text := 0, ""
	for _, id := range ids {
		state := s.state(prefix, id)
		starts, idle := s.longestPause(id, from, to)
		if state != "completed" && idle > idleTime {
			lost++
		}
		text += fmt.Sprintf("; job %s: state %q, %d starts, nothing running for %.1f s", id, state, starts, idle.Seconds())
	}
	return verdict{broken: lost > 0, text: fmt.Sprintf("%d of %d jobs lost, from 14 s after the end of the traffic on%s", lost, len(ids), text)}
}

// longestPause returns the number of starts of a job's tasks, and the longest time in a
// span in which none of them had a run.
func (s *site) longestPause(id string, from, to time.Time) (starts int, longest time.Duration) {
	alive := map[string]bool{}
	idleSince := from
	note := func(at time.Time) {
		if at.After(to) {
			at = to
		}
		longest = max(longest, at.Sub(idleSince))
	}
	for _, v := range s.eventsOf(id + ".") {
		at := time.UnixMilli(v.At)
		run := fmt.Sprint(v.Executor, v.Task, v.Run)
		switch v.Event {
		case "start":
			if starts++; len(alive) == 0 {
				note(at)
			}
			alive[run] = true
		case "end":
			if delete(alive, run); len(alive) == 0 && at.After(from) {
				idleSince = at
			}
		}
	}
	if len(alive) == 0 {
		note(to)
	}
	return starts, longest
}

// longTasks hands in a job of 24 tasks that are estimated to take 5 s. With the
// disruption, they take 40 times as long.
func longTasks(s *site, trouble bool) (verdict, error) {
	if err := s.build(3, kindA); err != nil {
		return verdict{}, err
	}
	const estimate, factor = 5 * time.Second, 40
	work := estimate
	if trouble {
		work *= factor
	}
	id, err := s.submit(0, "/pufi791/", map[string]any{
		"specification": fmt.Sprintf("work=%d how=done", work.Milliseconds()),
		"steps":         []map[string]any{{"count": 24, "cpu": 1800, "taskMemoryMb": 3200, "estimatedMs": estimate.Milliseconds(), "fills": true, "image": "img-2"}},
	})
	if err != nil {
		return verdict{}, err
	}
	return s.judgeLost("/pufi791/", id), nil
}

// bounce has executors of two kinds in each zone, on racks of their own: four of "a" and
// two of "b". Lasting tasks fill those of kind "a" in viljandi. With the disruption, two
// more lasting jobs come, which fill those of kind "b" in tartu and voru. Then a job that
// requires "b" comes to tartu.
func bounce(s *site, trouble bool) (verdict, error) {
	kind := func(n int) string {
		if n < 4 {
			return "a"
		}
		return "b"
	}
	if err := s.build(6, kind); err != nil {
		return verdict{}, err
	}
	fill := func(rack string, tasks int) error {
		_, err := s.submit(0, "/pule252/", map[string]any{
			"specification": "lasts",
			"steps": []map[string]any{{"count": tasks, "cpu": 15000, "taskMemoryMb": 6400, "estimatedMs": 320, "longRunning": true, "antiAffinity": 1,
				"requirements": rack, "image": "img-" + rack}},
		})
		return err
	}
	racks := []string{"r2-a"}
	if trouble {
		racks = append(racks, "r1-b", "r3-b")
	}
	for _, rack := range racks {
		if err := fill(rack, map[string]int{"r2-a": 4}[rack]+map[string]int{"r1-b": 2, "r3-b": 2}[rack]); err != nil {
			return verdict{}, err
		}
	}
	time.Sleep(5 * time.Second)
	id, err := s.submit(0, "/lohu930/", map[string]any{
		"specification": "work=1000 how=done",
		"steps":         []map[string]any{{"count": 2, "cpu": 4000, "taskMemoryMb": 2000, "estimatedMs": 1000, "requirements": "b"}},
	})
	if err != nil {
		return verdict{}, err
	}
	return s.judgeLost("/lohu930/", id), nil
}

// rackPower hands in a job of two tasks that last, on two executors of one zone. With the
// disruption, these two and the zone's host are killed at one moment and don't come back.
func rackPower(s *site, trouble bool) (verdict, error) {
	if err := s.build(5, kindA); err != nil {
		return verdict{}, err
	}
	const settle, watch = 5 * time.Second, 40 * time.Second
	id, err := s.submit(0, "/pule252/", map[string]any{
		"specification": "lasts",
		"steps":         []map[string]any{{"count": 2, "cpu": 3200, "taskMemoryMb": 6400, "estimatedMs": 320, "longRunning": true, "antiAffinity": 1, "image": "img-1"}},
	})
	if err != nil {
		return verdict{}, err
	}
	time.Sleep(settle)
	used := map[string]bool{}
	for _, v := range s.eventsOf(id + ".") {
		used[v.Executor] = v.Event == "start"
	}
	zone := ""
	for _, e := range s.executors {
		if !used[e.id] {
			continue
		}
		zone = e.zone
		if trouble {
			s.kill(e.process)
			s.lostRuns(e)
		}
	}
	if len(used) != 2 {
		return verdict{}, fmt.Errorf("%d executors in use, not 2", len(used))
	}
	for i, h := range s.hosts {
		if trouble && s.zones[i] == zone {
			s.kill(h)
		}
	}
	time.Sleep(watch)
	longest, _ := s.longestIdle(id)
	return verdict{broken: longest > idleSpan, text: fmt.Sprintf("longest time with no run of a lasting task: %.1f s", longest.Seconds())}, nil
}

// lostRuns notes the end of the runs on an executor that was killed.
func (s *site) lostRuns(e *executorProcess) {
	alive := map[event]bool{}
	for _, v := range s.eventsOf("") {
		if v.Executor != e.id {
			continue
		}
		k := event{Executor: v.Executor, Born: v.Born, Kind: v.Kind, Task: v.Task, Run: v.Run}
		if v.Event == "start" {
			alive[k] = true
		} else if v.Event == "end" {
			delete(alive, k)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for k := range alive {
		k.At, k.Event, k.How = time.Now().UnixMilli(), "end", "killed"
		s.events = append(s.events, k)
	}
}

// formerLife hands in a job of one task beside others. With the disruption, the executor
// leaves the first start of the task unanswered, crashes 3 s later, is back under its ID
// 0.6 s after that, and carries the order out 6 s after it was sent.
func formerLife(s *site, trouble bool) (verdict, error) {
	if err := s.build(4, kindA); err != nil {
		return verdict{}, err
	}
	const late, crashAfter, down, work = 6 * time.Second, 3 * time.Second, 600 * time.Millisecond, 20 * time.Second
	job := func(count int, work time.Duration) map[string]any {
		return map[string]any{
			"specification": fmt.Sprintf("work=%d how=done", work.Milliseconds()),
			"steps":         []map[string]any{{"count": count, "cpu": 1000, "taskMemoryMb": 2000, "estimatedMs": work.Milliseconds()}},
		}
	}
	for i := range s.hosts {
		if _, err := s.submit(i, "/lohu930/", job(8, 2*time.Second)); err != nil {
			return verdict{}, err
		}
	}
	// One task on each executor of the zone, so that what a crash sets free goes to the others.
	others := job(4, time.Minute)
	others["steps"].([]map[string]any)[0]["antiAffinity"] = 1
	if _, err := s.submit(0, "/lohu930/", others); err != nil {
		return verdict{}, err
	}
	id := newID()
	if trouble {
		s.relay.holdStart(id, late)
	}
	if status, _ := s.call(s.hosts[0], http.MethodPost, "/lohu930/"+id, job(1, work)); status != http.StatusOK {
		return verdict{}, fmt.Errorf("the job was answered with %d", status)
	}
	if trouble {
		address := ""
		select {
		case address = <-s.relay.held:
		case <-time.After(5 * time.Second):
			return verdict{}, errors.New("no start of the task was ordered")
		}
		// While the executor is passed over, this makes another one the first choice.
		time.Sleep(time.Second)
		if _, err := s.submit(0, "/lohu930/", job(1, time.Minute)); err != nil {
			return verdict{}, err
		}
		time.Sleep(crashAfter - time.Second)
		for _, e := range s.executors {
			if e.address != address {
				continue
			}
			s.kill(e.process)
			s.lostRuns(e)
			time.Sleep(down)
			if err := s.startExecutor(e); err != nil {
				return verdict{}, err
			}
		}
	}
	time.Sleep(work + 10*time.Second)
	overlap, starts := s.longestOverlap(id)
	if starts == 0 {
		return verdict{}, errors.New("the task never started")
	}
	return verdict{broken: overlap > 0, text: fmt.Sprintf("%d starts of the task; two runs of it at the same time for %d ms; state %q",
		starts, overlap.Milliseconds(), s.state("/lohu930/", id))}, nil
}

// longestOverlap returns the longest time for which two runs of one task of a job were
// alive, and the number of starts.
func (s *site) longestOverlap(id string) (longest time.Duration, starts int) {
	type span struct{ from, to int64 }
	spans := map[string][]*span{}
	open := map[string]*span{}
	for _, v := range s.eventsOf(id + ".") {
		run := fmt.Sprint(v.Executor, v.Born, v.Task, v.Run)
		switch v.Event {
		case "start":
			starts++
			n := &span{from: v.At, to: time.Now().UnixMilli()}
			open[run] = n
			spans[v.Task] = append(spans[v.Task], n)
		case "end":
			if open[run] != nil {
				open[run].to = v.At
			}
		}
	}
	for _, list := range spans {
		for i, a := range list {
			for _, b := range list[:i] {
				longest = max(longest, time.Duration(min(a.to, b.to)-max(a.from, b.from))*time.Millisecond)
			}
		}
	}
	return longest, starts
}

// cancelled hands in a job, gives up after 500 ms without an answer and cancels the job at
// another host. With the disruption, the store's answer to the first write of the job is
// lost, and the write is carried out 4 s later.
func cancelled(s *site, trouble bool) (verdict, error) {
	if err := s.build(3, kindA); err != nil {
		return verdict{}, err
	}
	const late, patience, work = 4 * time.Second, 500 * time.Millisecond, 25 * time.Second
	const cancelTime, stopTime, contactTime = 3 * time.Second, 200 * time.Millisecond, 3 * time.Second
	job := func(work time.Duration) map[string]any {
		return map[string]any{
			"specification": fmt.Sprintf("work=%d how=done", work.Milliseconds()),
			"steps":         []map[string]any{{"count": 1, "cpu": 1000, "taskMemoryMb": 2000, "estimatedMs": work.Milliseconds()}},
		}
	}
	for i := range 6 {
		if _, err := s.submit(i, "/lohu930/", job(time.Second)); err != nil {
			return verdict{}, err
		}
	}
	id := newID()
	if trouble {
		s.store.makeLate("j/"+id, late, func(key string) { s.logf("store: the write of %s gets no answer and is done %s later", key, late) })
	}
	calm := time.Now().Add(late + contactTime) // The late write and contactMs are over.
	s.callWithin(patience, s.hosts[0], http.MethodPost, "/lohu930/"+id, job(work))
	status := 0
	for i := 1; status/100 != 2 && status != http.StatusGone; i++ {
		if i > 5 {
			return verdict{}, errors.New("the cancellation was not acknowledged")
		}
		status, _ = s.call(s.hosts[i%len(s.hosts)], http.MethodDelete, "/lohu930/"+id, nil)
	}
	acknowledged := time.Now()
	time.Sleep(work + 5*time.Second)
	bound := max(acknowledged.Add(cancelTime+stopTime).UnixMilli(), calm.UnixMilli())
	ran := time.Duration(0)
	since := map[string]int64{}
	for _, v := range s.eventsOf(id + ".") {
		switch v.Event {
		case "start":
			since[v.Task] = v.At
		case "end":
			ran = max(ran, time.Duration(v.At-max(since[v.Task], bound))*time.Millisecond)
			delete(since, v.Task)
		}
	}
	for _, at := range since {
		ran = max(ran, time.Duration(time.Now().UnixMilli()-max(at, bound))*time.Millisecond)
	}
	return verdict{broken: ran > 0, text: fmt.Sprintf("cancellation acknowledged with %d; a task of the job ran for %.1f s after cancel_ms, stopMs and the disruption", status, ran.Seconds())}, nil
}
