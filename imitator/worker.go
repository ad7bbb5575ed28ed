package imitator

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"briarspring"
)

// WorkerConfig holds the settings of a Worker.
type WorkerConfig struct {
	Name           string
	Rack           string
	Capacity       briarspring.Resources
	Incarnation    uint64        // Increases with every restart.
	ClockOffset    time.Duration // Reading of the worker's clock at its start.
	CheckpointTime time.Duration // Time that it takes to stop a task.
	ReportInterval time.Duration // Time between measurements.
	ReportLag      time.Duration // Time until a measurement is reported.
	Serve          bool          // Whether executors open real HTTP servers.
	Address        string        // IP address that executors listen on.
	Journal        *Journal
}

// Worker runs tasks under leases on its own monotonic clock.
type Worker struct {
	config WorkerConfig
	start  time.Time

	mu            sync.Mutex
	epoch         uint64
	leaseEnd      time.Duration
	leaseTimer    *time.Timer
	tasks         map[briarspring.AttemptID]*workerTask
	latestAttempt map[briarspring.TaskID]uint32
	usage         []briarspring.Usage
	sampler       *time.Timer
	failing       bool
	closed        bool
	version       uint64
	updated       chan struct{} // Closed when the version increases.

	leaseEndRecorded bool
}

type workerTask struct {
	start           briarspring.StartTask
	profile         profile
	phase           briarspring.TaskPhase
	workDone        time.Duration // Work done until the task was last resumed.
	resumedAt       time.Time
	speed           float64
	throttle        float64
	timer           *time.Timer
	endsAt          time.Time // When it ends by itself or its checkpoint is saved; zero if neither.
	endPhase        briarspring.TaskPhase
	executor        *executor
	savedCheckpoint uint64
	version         uint64 // Version of the worker when the task last changed.
}

// NewWorker returns a running worker without tasks.
func NewWorker(c WorkerConfig) *Worker {
	w := &Worker{
		config:        c,
		start:         time.Now().Add(-c.ClockOffset),
		tasks:         map[briarspring.AttemptID]*workerTask{},
		latestAttempt: map[briarspring.TaskID]uint32{},
		updated:       make(chan struct{}),
	}
	if c.ReportInterval > 0 {
		w.sampler = time.AfterFunc(c.ReportInterval, w.sampleUsage)
	}
	return w
}

// Name returns the worker's name.
func (w *Worker) Name() string { return w.config.Name }

func (w *Worker) clock() time.Duration { return time.Since(w.start) }

// SetFailing sets whether batch tasks that start or resume from now on fail.
func (w *Worker) SetFailing(failing bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failing = failing
}

// Exchange applies commands and returns a report. It waits up to e.Wait for a
// change that the caller has not seen.
func (w *Worker) Exchange(ctx context.Context, e briarspring.Exchange) briarspring.WorkerReport {
	changed := w.applyExchange(e)
	t := time.NewTimer(e.Wait)
	defer t.Stop()
	select {
	case <-changed:
	case <-t.C:
	case <-ctx.Done():
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endDueTasks()
	if e.Epoch < w.epoch || w.closed {
		return briarspring.WorkerReport{Clock: w.clock(), Incarnation: w.config.Incarnation, Epoch: w.epoch}
	}
	return w.report(e.Seen == 0 || e.Incarnation != w.config.Incarnation, e.Seen)
}

// applyExchange applies the commands. The channel is closed when there is
// something new to report.
func (w *Worker) applyExchange(e briarspring.Exchange) <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	ready := make(chan struct{})
	close(ready)
	w.endDueTasks()
	if e.Epoch < w.epoch || w.closed {
		return ready
	}
	if e.Epoch > w.epoch {
		w.epoch = e.Epoch
		w.markChanged(nil)
	}
	if e.Incarnation == w.config.Incarnation {
		w.applyCommands(e)
	}
	if w.version != e.Seen {
		return ready
	}
	return w.updated
}

// markChanged increases the version and wakes up waiting exchanges, after a change
// of a task or, if t is nil, of the worker.
func (w *Worker) markChanged(t *workerTask) {
	w.version++
	if t != nil {
		t.version = w.version
	}
	close(w.updated)
	w.updated = make(chan struct{})
}

func (w *Worker) applyCommands(e briarspring.Exchange) {
	if e.LeaseUntil > w.leaseEnd {
		w.leaseEnd = e.LeaseUntil
		w.leaseEndRecorded = false
		w.armLeaseTimer()
	}
	for _, key := range e.Forget {
		w.forgetTask(key)
	}
	for _, key := range e.Stops {
		w.stopTask(key)
	}
	for _, s := range e.Starts {
		w.startTask(s)
	}
	for _, t := range e.Throttles {
		w.throttleTask(t)
	}
}

// report returns all tasks if whole is set, otherwise those that changed after
// version seen. It removes the measurements that it reports.
func (w *Worker) report(whole bool, seen uint64) briarspring.WorkerReport {
	r := briarspring.WorkerReport{
		Clock: w.clock(), Incarnation: w.config.Incarnation, Epoch: w.epoch, LeaseUntil: w.leaseEnd,
		Rack: w.config.Rack, Capacity: w.config.Capacity, Version: w.version, Whole: whole,
	}
	for key, t := range w.tasks {
		if !whole && t.version <= seen {
			continue
		}
		report := briarspring.TaskReport{Attempt: key, Phase: t.phase, Checkpoint: t.savedCheckpoint}
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

// armLeaseTimer sets the timer that ends all tasks when the lease expires.
func (w *Worker) armLeaseTimer() {
	if w.leaseTimer != nil {
		w.leaseTimer.Stop()
	}
	w.leaseTimer = time.AfterFunc(w.leaseEnd-w.clock(), w.runDueTasks)
}

// runDueTasks is called by the timers.
func (w *Worker) runDueTasks() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endDueTasks()
}

// endDueTasks ends the tasks whose lease or time has ended. It is called before
// anything else that reads tasks: a paused process may miss a timer, and tasks
// that end at the same instant are reported together, whichever timer is first.
func (w *Worker) endDueTasks() {
	w.enforceLease()
	now := time.Now()
	var due []briarspring.AttemptID
	for key, t := range w.tasks {
		if !t.endsAt.IsZero() && !now.Before(t.endsAt) {
			due = append(due, key)
		}
	}
	slices.SortFunc(due, compareAttempts)
	for _, key := range due {
		w.finish(w.tasks[key], w.tasks[key].endPhase)
	}
}

// enforceLease ends every live task if the lease has expired.
func (w *Worker) enforceLease() {
	if w.clock() < w.leaseEnd {
		return
	}
	w.recordLeaseEnd()
	for _, key := range w.sortedAttempts() {
		t := w.tasks[key]
		if !t.phase.Ended() {
			w.finish(t, briarspring.TaskLapsed)
		}
	}
}

// recordLeaseEnd adds the end of the lease to the journal, once per lease.
func (w *Worker) recordLeaseEnd() {
	if w.leaseEndRecorded || w.config.Journal == nil {
		return
	}
	w.leaseEndRecorded = true
	w.config.Journal.add(JournalEntry{Time: time.Now(), Worker: w.config.Name, Kind: JournalLeaseEnd})
}

func (w *Worker) sortedAttempts() []briarspring.AttemptID {
	attempts := make([]briarspring.AttemptID, 0, len(w.tasks))
	for key := range w.tasks {
		attempts = append(attempts, key)
	}
	slices.SortFunc(attempts, compareAttempts)
	return attempts
}

func (w *Worker) startTask(s briarspring.StartTask) {
	if w.latestAttempt[s.Attempt.Task] >= s.Attempt.Attempt {
		return
	}
	w.latestAttempt[s.Attempt.Task] = s.Attempt.Attempt
	t := &workerTask{start: s, profile: parseProfile(s.Command), throttle: 1}
	w.tasks[s.Attempt] = t
	defer w.markChanged(t)
	if w.clock() > s.NotAfter || w.clock() >= w.leaseEnd {
		t.phase = briarspring.TaskNotStarted
		return
	}
	t.phase = briarspring.TaskRunning
	t.workDone = time.Duration(s.Checkpoint) * time.Millisecond
	w.record(JournalStart, t)
	if s.Service {
		w.startExecutor(t)
	}
	w.resume(t)
	w.updateSlowdowns()
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

// resume sets the timer that ends a batch task, according to its present speed.
func (w *Worker) resume(t *workerTask) {
	if t.start.Service || t.phase != briarspring.TaskRunning {
		return
	}
	t.resumedAt = time.Now()
	t.speed = t.throttle
	failed := w.failing || t.profile.fail
	work := t.profile.time
	if failed {
		work = min(work, t.workDone+failAfter)
	}
	remaining := max(0, work-t.workDone)
	t.endPhase = briarspring.TaskDone
	if failed {
		t.endPhase = briarspring.TaskFailed
	}
	d := time.Duration(float64(remaining) / t.speed)
	t.endsAt = t.resumedAt.Add(d)
	t.timer = time.AfterFunc(d, w.runDueTasks)
}

// pause stops the timer of a batch task and adds up the work done so far.
func (t *workerTask) pause() {
	t.endsAt = time.Time{}
	if t.timer == nil {
		return
	}
	t.timer.Stop()
	t.workDone += time.Duration(float64(time.Since(t.resumedAt)) * t.speed)
	t.timer = nil
}

// finish ends an attempt with its final phase.
func (w *Worker) finish(t *workerTask, phase briarspring.TaskPhase) {
	t.pause()
	t.phase = phase
	if phase == briarspring.TaskCheckpointed {
		t.savedCheckpoint = uint64(t.workDone.Milliseconds())
	}
	if t.executor != nil {
		t.executor.close(phase == briarspring.TaskCheckpointed)
	}
	w.record(journalKindByPhase[phase], t)
	w.markChanged(t)
	w.updateSlowdowns()
}

func (w *Worker) stopTask(key briarspring.AttemptID) {
	t := w.tasks[key]
	if t == nil {
		if w.latestAttempt[key.Task] < key.Attempt {
			// A start that arrives after this stop must not run.
			w.latestAttempt[key.Task] = key.Attempt
			t = &workerTask{
				start: briarspring.StartTask{Attempt: key}, phase: briarspring.TaskNotStarted,
			}
			w.tasks[key] = t
			w.markChanged(t)
		}
		return
	}
	if t.phase != briarspring.TaskRunning {
		return
	}
	t.pause()
	t.phase = briarspring.TaskStopping
	w.markChanged(t)
	if t.executor != nil {
		go w.drainExecutor(t)
		return
	}
	t.endPhase = briarspring.TaskCheckpointed
	t.endsAt = time.Now().Add(w.config.CheckpointTime)
	time.AfterFunc(w.config.CheckpointTime, w.runDueTasks)
}

// drainExecutor ends a stopping task once its executor has no request in flight.
func (w *Worker) drainExecutor(t *workerTask) {
	t.executor.drain()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endDueTasks()
	if t.phase == briarspring.TaskStopping {
		w.finish(t, briarspring.TaskCheckpointed)
	}
}

func (w *Worker) forgetTask(key briarspring.AttemptID) {
	t := w.tasks[key]
	if t == nil || !t.phase.Ended() {
		return
	}
	delete(w.tasks, key)
}

func (w *Worker) throttleTask(c briarspring.Throttle) {
	t := w.tasks[c.Attempt]
	if t == nil || t.phase != briarspring.TaskRunning {
		return
	}
	t.pause()
	t.throttle = max(0.01, float64(c.Percent)/100)
	w.resume(t)
	w.updateSlowdowns()
}

// Close stops the worker at once and ends its tasks, as the death of its host
// would.
func (w *Worker) Close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	w.recordLeaseEnd()
	if w.leaseTimer != nil {
		w.leaseTimer.Stop()
	}
	if w.sampler != nil {
		w.sampler.Stop()
	}
	for _, key := range w.sortedAttempts() {
		t := w.tasks[key]
		if !t.phase.Ended() {
			w.finish(t, briarspring.TaskLapsed)
		}
	}
}

func (w *Worker) record(kind JournalKind, t *workerTask) {
	if w.config.Journal == nil {
		return
	}
	w.config.Journal.add(JournalEntry{
		Time: time.Now(), Worker: w.config.Name, Kind: kind, Attempt: t.start.Attempt,
		Name: t.start.Name, Resources: t.start.Resources, Capacity: w.config.Capacity,
		Checkpoint: t.start.Checkpoint, Saved: t.savedCheckpoint, Work: t.workDone,
	})
}
