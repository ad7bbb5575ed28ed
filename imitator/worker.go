package imitator

import (
	"cmp"
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"briarspring"
)

// slowdownSteps in one is the precision of slowdowns: profiles give shares with
// at most four decimals, throttles whole percent.
const slowdownSteps = 1e6

// WorkerConfig holds the settings of a Worker.
type WorkerConfig struct {
	Name           string
	Rack           string
	Capacity       briarspring.Resources
	Incarnation    uint64        // Grows with every restart.
	ClockOffset    time.Duration // Reading of the worker's clock at its start.
	CheckpointTime time.Duration // That stopping a task takes.
	ReportInterval time.Duration // Between measurements.
	ReportLag      time.Duration // Until a measurement is reported.
	Serve          bool          // Whether executors open real HTTP servers.
	Address        string        // IP number that executors listen on.
	Journal        *Journal
}

// Worker runs tasks under leases on its own monotonic clock.
type Worker struct {
	config WorkerConfig
	start  time.Time

	mu      sync.Mutex
	epoch   uint64
	lease   time.Duration
	lapse   *time.Timer
	tasks   map[briarspring.AttemptID]*workerTask
	latest  map[briarspring.TaskID]uint32
	usage   []briarspring.Usage
	sampler *time.Timer
	failing bool
	closed  bool
	version uint64
	grown   chan struct{} // Closed when the version grows.

	leaseEnded bool
}

type workerTask struct {
	start    briarspring.StartTask
	profile  profile
	phase    briarspring.TaskPhase
	done     time.Duration // Work done before the task was last resumed.
	resumed  time.Time
	speed    float64
	throttle float64
	timer    *time.Timer
	executor *executor
	ckpt     uint64
	version  uint64 // Of the worker when the task last changed.
}

// NewWorker returns a running worker without tasks.
func NewWorker(c WorkerConfig) *Worker {
	w := &Worker{
		config: c,
		start:  time.Now().Add(-c.ClockOffset),
		tasks:  map[briarspring.AttemptID]*workerTask{},
		latest: map[briarspring.TaskID]uint32{},
		grown:  make(chan struct{}),
	}
	if c.ReportInterval > 0 {
		w.sampler = time.AfterFunc(c.ReportInterval, w.sample)
	}
	return w
}

// Name returns the worker's name.
func (w *Worker) Name() string { return w.config.Name }

func (w *Worker) clock() time.Duration { return time.Since(w.start) }

// SetFailing makes every task that starts from now on fail.
func (w *Worker) SetFailing(failing bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failing = failing
}

// Exchange takes commands and reports, waiting for a change if it is asked to.
func (w *Worker) Exchange(ctx context.Context, e briarspring.Exchange) briarspring.WorkerReport {
	changed := w.take(e)
	t := time.NewTimer(e.Wait)
	defer t.Stop()
	select {
	case <-changed:
	case <-t.C:
	case <-ctx.Done():
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.checkLease()
	if e.Epoch < w.epoch || w.closed {
		return briarspring.WorkerReport{Clock: w.clock(), Incarnation: w.config.Incarnation, Epoch: w.epoch}
	}
	return w.report(e.Seen == 0 || e.Incarnation != w.config.Incarnation, e.Seen)
}

// take takes the commands. The channel is closed when there is something new
// to report.
func (w *Worker) take(e briarspring.Exchange) <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := make(chan struct{})
	close(now)
	w.checkLease()
	if e.Epoch < w.epoch || w.closed {
		return now
	}
	if e.Epoch > w.epoch {
		w.epoch = e.Epoch
		w.changed(nil)
	}
	if e.Incarnation == w.config.Incarnation {
		w.obey(e)
	}
	if w.version != e.Seen {
		return now
	}
	return w.grown
}

// changed tells everyone who waits that there is something new to report, of a
// task or, when it is nil, of the worker.
func (w *Worker) changed(t *workerTask) {
	w.version++
	if t != nil {
		t.version = w.version
	}
	close(w.grown)
	w.grown = make(chan struct{})
}

func (w *Worker) obey(e briarspring.Exchange) {
	if e.LeaseUntil > w.lease {
		w.lease = e.LeaseUntil
		w.leaseEnded = false
		w.armLapse()
	}
	for _, key := range e.Forget {
		w.forget(key)
	}
	for _, key := range e.Stops {
		w.stop(key)
	}
	for _, s := range e.Starts {
		w.startTask(s)
	}
	for _, t := range e.Throttles {
		w.throttle(t)
	}
}

// report lists all tasks, or those that changed after a version.
func (w *Worker) report(whole bool, seen uint64) briarspring.WorkerReport {
	r := briarspring.WorkerReport{
		Clock: w.clock(), Incarnation: w.config.Incarnation, Epoch: w.epoch, LeaseUntil: w.lease,
		Rack: w.config.Rack, Capacity: w.config.Capacity, Version: w.version, Whole: whole,
	}
	for key, t := range w.tasks {
		if !whole && t.version <= seen {
			continue
		}
		report := briarspring.TaskReport{Attempt: key, Phase: t.phase, Checkpoint: t.ckpt}
		if t.executor != nil && t.phase == briarspring.TaskRunning {
			report.Address = t.executor.address
		}
		r.Tasks = append(r.Tasks, report)
	}
	slices.SortFunc(r.Tasks, func(a, b briarspring.TaskReport) int { return compareAttempts(a.Attempt, b.Attempt) })
	keep := 0
	for _, u := range w.usage {
		if u.Taken+w.config.ReportLag <= w.clock() {
			r.Usage = append(r.Usage, u)
			continue
		}
		w.usage[keep] = u
		keep++
	}
	w.usage = w.usage[:keep]
	return r
}

func compareAttempts(a, b briarspring.AttemptID) int {
	return cmp.Or(
		cmp.Compare(a.Task.Workload, b.Task.Workload),
		cmp.Compare(a.Task.Index, b.Task.Index),
		cmp.Compare(a.Attempt, b.Attempt),
	)
}

// armLapse sets the timer that ends all tasks when the lease ends.
func (w *Worker) armLapse() {
	if w.lapse != nil {
		w.lapse.Stop()
	}
	w.lapse = time.AfterFunc(w.lease-w.clock(), func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.checkLease()
	})
}

// checkLease ends every running task when the lease has ended. It stands
// before anything else that looks at tasks, since the worker may have been
// paused.
func (w *Worker) checkLease() {
	if w.clock() < w.lease {
		return
	}
	w.noteLeaseEnd()
	for _, key := range w.keys() {
		t := w.tasks[key]
		if !t.phase.Ended() {
			w.finish(t, briarspring.TaskLapsed)
		}
	}
}

// noteLeaseEnd writes down, once, that the lease has ended.
func (w *Worker) noteLeaseEnd() {
	if w.leaseEnded || w.config.Journal == nil {
		return
	}
	w.leaseEnded = true
	w.config.Journal.add(JournalEntry{Time: time.Now(), Worker: w.config.Name, Kind: JournalLeaseEnd})
}

func (w *Worker) keys() []briarspring.AttemptID {
	keys := make([]briarspring.AttemptID, 0, len(w.tasks))
	for key := range w.tasks {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, compareAttempts)
	return keys
}

func (w *Worker) startTask(s briarspring.StartTask) {
	if w.latest[s.Attempt.Task] >= s.Attempt.Attempt {
		return
	}
	w.latest[s.Attempt.Task] = s.Attempt.Attempt
	t := &workerTask{start: s, profile: parseProfile(s.Command), throttle: 1}
	w.tasks[s.Attempt] = t
	defer w.changed(t)
	if w.clock() > s.NotAfter || w.clock() >= w.lease {
		t.phase = briarspring.TaskNotStarted
		return
	}
	t.phase = briarspring.TaskRunning
	t.done = time.Duration(s.Checkpoint) * time.Millisecond
	w.note(JournalStart, t)
	if s.Service {
		w.startExecutor(t)
	}
	w.resume(t)
	w.disturb()
}

func (w *Worker) startExecutor(t *workerTask) {
	if !w.config.Serve {
		return
	}
	x, err := newExecutor(w.config.Name, w.config.Address, t.start, t.profile)
	if err != nil {
		w.finish(t, briarspring.TaskFailed)
		return
	}
	t.executor = x
}

// resume arms the timer of a batch task's end at its present speed.
func (w *Worker) resume(t *workerTask) {
	if t.start.Service || t.phase != briarspring.TaskRunning {
		return
	}
	t.resumed = time.Now()
	t.speed = t.throttle
	failed := w.failing || t.profile.fail
	work := t.profile.time
	if failed {
		work = min(work, t.done+failAfter)
	}
	left := max(0, work-t.done)
	t.timer = time.AfterFunc(time.Duration(float64(left)/t.speed), func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.checkLease()
		if t.phase != briarspring.TaskRunning {
			return
		}
		phase := briarspring.TaskDone
		if failed {
			phase = briarspring.TaskFailed
		}
		w.finish(t, phase)
	})
}

// pause stops the timer of a batch task and counts the work done so far.
func (t *workerTask) pause() {
	if t.timer == nil {
		return
	}
	t.timer.Stop()
	t.done += time.Duration(float64(time.Since(t.resumed)) * t.speed)
	t.timer = nil
}

// finish ends an attempt for good.
func (w *Worker) finish(t *workerTask, phase briarspring.TaskPhase) {
	t.pause()
	t.phase = phase
	if t.executor != nil {
		t.executor.close(phase == briarspring.TaskCheckpointed)
	}
	w.note(journalKinds[phase], t)
	w.changed(t)
	w.disturb()
}

func (w *Worker) stop(key briarspring.AttemptID) {
	t := w.tasks[key]
	if t == nil {
		if w.latest[key.Task] < key.Attempt {
			// A start that still is on its way must not run.
			w.latest[key.Task] = key.Attempt
			t = &workerTask{
				start: briarspring.StartTask{Attempt: key}, phase: briarspring.TaskNotStarted,
			}
			w.tasks[key] = t
			w.changed(t)
		}
		return
	}
	if t.phase != briarspring.TaskRunning {
		return
	}
	t.pause()
	t.phase = briarspring.TaskStopping
	w.changed(t)
	stopped := func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.checkLease()
		if t.phase != briarspring.TaskStopping {
			return
		}
		t.ckpt = uint64(t.done.Milliseconds())
		w.finish(t, briarspring.TaskCheckpointed)
	}
	if t.executor != nil {
		go func() {
			t.executor.drain()
			stopped()
		}()
		return
	}
	time.AfterFunc(w.config.CheckpointTime, stopped)
}

func (w *Worker) forget(key briarspring.AttemptID) {
	t := w.tasks[key]
	if t == nil || !t.phase.Ended() {
		return
	}
	delete(w.tasks, key)
}

func (w *Worker) throttle(c briarspring.Throttle) {
	t := w.tasks[c.Attempt]
	if t == nil || t.phase != briarspring.TaskRunning {
		return
	}
	t.pause()
	t.throttle = max(0.01, float64(c.Percent)/100)
	w.resume(t)
	w.disturb()
}

// disturb sets how much slower each executor answers beside the batch tasks
// that run now.
func (w *Worker) disturb() {
	for _, t := range w.tasks {
		if t.executor != nil {
			t.executor.setSlowdown(w.slowdown(t))
		}
	}
}

func (w *Worker) slowdown(service *workerTask) float64 {
	var shares []float64
	for _, t := range w.tasks {
		if t.start.Service || t.phase != briarspring.TaskRunning {
			continue
		}
		shares = append(shares, t.profile.noiseFor(service.start.Name)*t.throttle)
	}
	return sumSlowdown(shares)
}

// sumSlowdown adds the shares by which tasks slow an executor. The shares are
// decimal fractions; rounding the sum takes off their binary representation
// error, which depends on the order of the tasks.
func sumSlowdown(shares []float64) float64 {
	sum := 1.0
	for _, s := range shares {
		sum += s
	}
	return math.Round(sum*slowdownSteps) / slowdownSteps
}

// sample takes a measurement of each running attempt.
func (w *Worker) sample() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return
	}
	w.checkLease()
	for _, key := range w.keys() {
		t := w.tasks[key]
		if t.phase != briarspring.TaskRunning {
			continue
		}
		u := briarspring.Usage{
			Attempt: key, Taken: w.clock(),
			MilliCPU:  int64(float64(t.start.Resources.MilliCPU()) * t.profile.use * t.throttle),
			MemoryMiB: int64(float64(t.start.Resources.MemoryMiB()) * t.profile.use),
		}
		if t.executor != nil {
			u.P99, u.Requests = t.executor.measure()
		} else if t.start.Service {
			u.P99 = time.Duration(float64(t.profile.time) * w.slowdown(t))
			u.Requests = 1
		}
		w.usage = append(w.usage, u)
	}
	w.sampler.Reset(w.config.ReportInterval)
}

// Close ends the worker at once, as a dying host does.
func (w *Worker) Close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	w.noteLeaseEnd()
	if w.lapse != nil {
		w.lapse.Stop()
	}
	if w.sampler != nil {
		w.sampler.Stop()
	}
	for _, key := range w.keys() {
		t := w.tasks[key]
		if !t.phase.Ended() {
			w.finish(t, briarspring.TaskLapsed)
		}
	}
}

func (w *Worker) note(kind JournalKind, t *workerTask) {
	if w.config.Journal == nil {
		return
	}
	w.config.Journal.add(JournalEntry{
		Time: time.Now(), Worker: w.config.Name, Kind: kind, Attempt: t.start.Attempt,
		Name: t.start.Name, Resources: t.start.Resources, Capacity: w.config.Capacity,
		Checkpoint: t.start.Checkpoint, Saved: t.ckpt, Work: t.done,
	})
}
