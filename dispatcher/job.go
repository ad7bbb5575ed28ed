package dispatcher

import (
	"slices"
	"time"

	"briarspring"
)

// job is a workflow, as far as this data centre runs it.
type job struct {
	workflow  *briarspring.Workflow
	offset    uint64        // Of the submission.
	submitted time.Duration // By this process's clock.
	steps     []*step       // Of all occurrences, one after the other.
	tasks     []*task       // Of all steps, by position.
	cancelled bool
	phase     briarspring.Phase
	published briarspring.Phase // Last phase that was handed out for the log.
	recorded  bool              // The final phase is in the log.
	hasRecord bool              // A progress record exists or is on its way.
	size      float64           // Declared work of one occurrence, in thousandths of a core times seconds.
	away      bool              // All tasks were transferred to other data centres.
}

// step is a group of equal tasks of a job.
type step struct {
	job        *job
	occurrence int
	number     int
	due        time.Duration // By this process's clock; nothing starts before.
	tasks      []*task
	left       int // Tasks that are not done.
	waiting    int // Tasks that are not done and have no run.
	spread     map[*worker]int
	within     string // Rack to which the placement of a gang is bound at the moment.
}

// task is one task of a step.
type task struct {
	step       *step
	index      int
	position   int
	mine       bool // This data centre runs it.
	moves      int  // Transfers of it that are recorded, as far as they were read.
	leaving    bool // One more is on its way.
	done       bool
	failedRuns []uint32
	lastRun    uint32
	checkpoint string
	runs       []*run
	readySince time.Duration
	avoid      *worker // Where it failed last.
}

func newJob(now, age time.Duration, w *briarspring.Workflow, offset uint64) *job {
	j := &job{workflow: w, offset: offset, submitted: now - age}
	for k := range w.Occurrences() {
		due := j.submitted
		if w.Recurrence.Times > 0 {
			due += w.Recurrence.Due(k).Sub(w.Submitted)
		}
		for i := range w.Steps {
			j.addStep(&step{job: j, occurrence: k, number: i, due: due, spread: map[*worker]int{}}, now)
		}
	}
	return j
}

// addStep adds a step with its tasks.
func (j *job) addStep(s *step, now time.Duration) {
	s.left = s.spec().Tasks
	s.waiting = s.left
	for i := range s.left {
		t := &task{step: s, index: i, position: len(j.tasks), mine: true, readySince: max(now, s.due)}
		s.tasks = append(s.tasks, t)
		j.tasks = append(j.tasks, t)
	}
	j.steps = append(j.steps, s)
}

// stepOf returns a step of an occurrence.
func (j *job) stepOf(occurrence, number int) *step {
	return j.steps[occurrence*len(j.workflow.Steps)+number]
}

// spec returns the declared properties of the step.
func (s *step) spec() *briarspring.Step { return &s.job.workflow.Steps[s.number] }

// ready reports whether the step's occurrence is due and all steps before it are
// done.
func (s *step) ready(now time.Duration) bool {
	if now < s.due {
		return false
	}
	for _, a := range s.spec().After {
		if s.job.stepOf(s.occurrence, a).left > 0 {
			return false
		}
	}
	return true
}

// over reports whether no task of the job may start any more.
func (j *job) over() bool { return j.cancelled || j.away || j.phase.Final() }

// alive returns the number of runs that may be alive.
func (j *job) alive() int {
	n := 0
	for _, t := range j.tasks {
		n += len(t.runs)
	}
	return n
}

// work returns the declared work that is left of one occurrence, in thousandths
// of a core times seconds.
func (j *job) work(occurrence int) int64 {
	var sum int64
	for i := range j.workflow.Steps {
		s := j.stepOf(occurrence, i)
		sum += int64(s.left) * s.spec().Resources.MilliCPU() * s.spec().Estimate.Milliseconds() / 1000
	}
	return sum
}

// dueWork returns the declared work that is left of all occurrences that are due.
func (j *job) dueWork(now time.Duration) int64 {
	var sum int64
	for k := range j.workflow.Occurrences() {
		if now >= j.stepOf(k, 0).due {
			sum += j.work(k)
		}
	}
	return sum
}

// ref returns the task's name.
func (t *task) ref() briarspring.TaskRef {
	return briarspring.TaskRef{
		Workflow: t.step.job.workflow.ID, Occurrence: t.step.occurrence, Step: t.step.number, Index: t.index,
	}
}

// pending reports whether the task needs a run.
func (t *task) pending() bool { return t.mine && !t.leaving && !t.done && len(t.runs) == 0 }

// failures returns how many runs of the task have failed.
func (t *task) failures() int { return len(t.failedRuns) }

// fail counts a failed run. An end may be listed again to a new owner, so each
// run counts once.
func (t *task) fail(run uint32) {
	if slices.Contains(t.failedRuns, run) {
		return
	}
	t.failedRuns = append(t.failedRuns, run)
	if t.step.spec().Gang {
		// A gang fails as a whole.
		for _, o := range t.step.tasks {
			o.fail(run)
		}
	}
}

// started notes a run of the task.
func (t *task) started(r *run) {
	if len(t.runs) == 0 {
		t.step.waiting--
	}
	t.runs = append(t.runs, r)
	t.lastRun = max(t.lastRun, r.ref.Run)
	t.step.spread[r.worker]++
}

// stopped notes that a run of the task is alive no more.
func (t *task) stopped(now time.Duration, r *run) {
	for i, other := range t.runs {
		if other != r {
			continue
		}
		t.runs = append(t.runs[:i], t.runs[i+1:]...)
		if t.step.spread[r.worker]--; t.step.spread[r.worker] == 0 {
			delete(t.step.spread, r.worker)
		}
		if len(t.runs) == 0 && !t.done {
			t.step.waiting++
			t.readySince = now
		}
		return
	}
}

// Submit takes over a workflow whose submission stands at an offset, with what
// is recorded of its tasks. Its age is the time since it was accepted; place is
// nil for one of which no task was transferred. Workflows that are known already
// are left alone.
func (d *Dispatcher) Submit(now, age time.Duration, w *briarspring.Workflow, offset uint64, progress []briarspring.TaskProgress, place func(position int) Place) {
	d.now = now
	if d.jobs[w.ID] != nil {
		return
	}
	j := newJob(now, age, w, offset)
	j.size = float64(j.work(0))
	if mean, ok := d.meanSize[w.Queue]; ok {
		d.meanSize[w.Queue] = mean + meanRate*(j.size-mean)
	} else {
		d.meanSize[w.Queue] = j.size
	}
	d.jobs[w.ID] = j
	d.changed = true
	if place != nil {
		j.settleIn(place)
	}
	for _, p := range progress {
		d.resume(j, p)
	}
	d.settle(j)
}

// resume takes over a task that has run before.
func (d *Dispatcher) resume(j *job, p briarspring.TaskProgress) {
	if p.Position >= len(j.tasks) {
		d.logger.Warn("progress of a task that does not exist", "workflow", j.workflow.ID, "position", p.Position)
		return
	}
	j.hasRecord = true
	t := j.tasks[p.Position]
	t.failedRuns = slices.Clone(p.FailedRuns)
	t.lastRun = p.Run
	t.checkpoint = p.Checkpoint
	if p.Done {
		t.finish(d.now)
		return
	}
	if p.Worker == "" {
		return
	}
	w := d.worker(p.Worker)
	w.early = w.early || !w.fenced
	d.addRun(&run{
		ref: briarspring.RunRef{Task: t.ref(), Run: p.Run}, task: t, worker: w, state: runUnknown, pace: fullSpeed,
		paceSent: fullSpeed, since: d.now,
	})
}

// finish marks the task done. Steps that waited for it wait for workers from now
// on.
func (t *task) finish(now time.Duration) {
	if t.done {
		return
	}
	t.done = true
	t.step.left--
	if len(t.runs) == 0 {
		t.step.waiting--
	}
	if t.step.spec().Gang {
		// One end that is done stands for all.
		for _, o := range t.step.tasks {
			o.finish(now)
		}
	}
	if t.step.left == 0 {
		t.step.job.markReady(t.step, now)
	}
}

// markReady notes since when the tasks of the steps after one could start.
func (j *job) markReady(done *step, now time.Duration) {
	for i := range j.workflow.Steps {
		s := j.stepOf(done.occurrence, i)
		if !slices.Contains(s.spec().After, done.number) || !s.ready(now) {
			continue
		}
		for _, t := range s.tasks {
			t.readySince = max(t.readySince, now)
		}
	}
}

// Cancel ends a workflow.
func (d *Dispatcher) Cancel(now time.Duration, id briarspring.WorkflowID) {
	d.now = now
	j := d.jobs[id]
	if j == nil || j.cancelled {
		return
	}
	j.cancelled = true
	d.changed = true
	d.logger.Info("workflow cancelled", "workflow", id, "runs", j.alive(), "phase", j.phase.String())
	d.stopAll(j)
}

// Finished tells that a workflow's final phase is in the log.
func (d *Dispatcher) Finished(now time.Duration, id briarspring.WorkflowID, phase briarspring.Phase) {
	d.now = now
	j := d.jobs[id]
	if j == nil {
		return
	}
	if !j.phase.Final() {
		j.phase = phase
		d.stopAll(j)
	}
	j.published = j.phase
	j.recorded = true
	d.changed = true
}

// Knows reports whether a workflow is held here.
func (d *Dispatcher) Knows(id briarspring.WorkflowID) bool { return d.jobs[id] != nil }

func (d *Dispatcher) stopAll(j *job) {
	for _, t := range j.tasks {
		for _, r := range t.runs {
			d.stop(r, "workflow is over")
		}
	}
}

// settle works out the phase of a job after one of its tasks changed.
func (d *Dispatcher) settle(j *job) {
	if j.over() {
		return
	}
	phase := j.phase
	left := 0
	for _, s := range j.steps {
		left += s.left
	}
	for _, t := range j.tasks {
		if !t.done && !t.step.spec().Lasting && j.workflow.MaxAttempts > 0 && t.failures() >= j.workflow.MaxAttempts && len(t.runs) == 0 {
			phase = briarspring.PhaseFailed
		}
		if phase == briarspring.PhaseQueued && (t.done || len(t.runs) > 0 || t.lastRun > 0) {
			phase = briarspring.PhaseRunning
		}
	}
	if left == 0 {
		phase = briarspring.PhaseCompleted
		d.counters.Completed++
	}
	if phase == j.phase {
		return
	}
	j.phase = phase
	d.changed = true
	if phase.Final() {
		d.logger.Info("workflow over", "workflow", j.workflow.ID, "phase", phase.String(), "age-ms", (d.now - j.submitted).Milliseconds(),
			"objective-ms", j.workflow.Objective().Milliseconds())
		d.stopAll(j)
	}
}
