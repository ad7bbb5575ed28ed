package dispatcher

import (
	"slices"
	"time"

	"briarspring"
)

// job is a workflow and the part of it that this data centre runs.
type job struct {
	workflow          *briarspring.Workflow
	organisation      *organisation
	beyondWeight      bool            // Submitted beyond the rate that the organisation's weight stands for.
	offset            uint64          // Log offset of the submission.
	submitted         time.Duration   // Time of the submission by this process's clock.
	chains            []time.Duration // Longest chain that starts with each step of an occurrence.
	objective         time.Duration
	steps             []*step            // Steps of all occurrences, one after the other.
	tasks             []*task            // Tasks of all steps, by position.
	followers         [][]int32          // For each step of an occurrence, the steps that depend on it.
	unfinished        int                // Tasks that are not done.
	begun             startSource        // How the owner knows that a task has started; zero if none has.
	failing           map[*task]struct{} // Tasks with failed runs or under suspicion.
	workLeft          []int64            // Of each occurrence, see unfinishedWork; negative if it has to be computed.
	cancelled         bool
	phase             briarspring.Phase
	publishedPhase    briarspring.Phase // Last phase handed out for the log.
	finalPhaseStored  bool              // The final phase is in the log.
	hasProgressRecord bool              // A progress record is stored or on its way.
	size              float64           // Declared work of one occurrence, in millicore seconds.
	transferredAway   bool              // All tasks were transferred to other data centres.
	split             bool              // Some task was, or is about to be.
	live              int               // Runs that may be alive.
	newEnds           []newEnd          // Ends since the last record.
}

// step is a group of identical tasks of a job.
type step struct {
	job        *job
	occurrence int
	number     int
	due        time.Duration // By this process's clock; no task starts earlier.
	tasks      []*task
	blockers   int             // Dependencies on steps that are not finished.
	unfinished int             // Tasks that are not done.
	waiting    int             // Tasks that are not done and have no run.
	spread     map[*worker]int // Live runs by worker.
	roomLogged uint8           // Bits of the outcomes of decisions about room that were logged.
	farLogged  uint8           // Bits of the outcomes of decisions about places that were logged.
	rack       string          // Rack to which the placement of a gang is limited at the moment.

	heldInPass    uint64        // Last pass in which only the quota held back tasks of it.
	quotaLoggedAt time.Duration // When that was last logged.
}

// task is one task of a step.
type task struct {
	step         *step
	index        int
	position     int
	local        bool   // This data centre runs it.
	offset       uint64 // Log offset at which it came to this data centre.
	transfers    int    // Recorded transfers of the task that were read so far.
	transferring bool   // Another transfer is on its way.
	done         bool
	doneShared   bool // The shared stream says that it is done.
	failedRuns   []uint32
	suspicion    int    // That it crashes its workers; see crash.go.
	lastRun      uint32 // Highest run number used, also by starts that no worker carried out.
	started      bool   // A worker has carried out a start.
	checkpoint   string
	runs         []*run
	past         []pastRun // By run number, see maxPastRuns.
	readySince   time.Duration
	waitingSince time.Duration // Value of readySince when the last start was ordered.
	avoidWorker  *worker       // Worker of its last failure.
	quickEnds    int           // Runs in a row that ended by themselves at once, see delayRestart.
	place        *placeWaiting // Its wait for a good place; nil for none.
	away         bool          // It was stopped for urgent work and is not at work yet.
}

func newJob(now, age time.Duration, w *briarspring.Workflow, offset uint64) *job {
	j := &job{workflow: w, offset: offset, submitted: now - age, chains: w.Chains(), objective: w.Objective(), failing: map[*task]struct{}{}}
	j.followers = make([][]int32, len(w.Steps))
	for i, s := range w.Steps {
		for _, a := range s.After {
			j.followers[a] = append(j.followers[a], int32(i))
		}
	}
	for k := range w.Occurrences() {
		j.workLeft = append(j.workLeft, -1)
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

// addStep appends a step and creates its tasks.
func (j *job) addStep(s *step, now time.Duration) {
	s.blockers = len(s.spec().After)
	s.unfinished = s.spec().Tasks
	s.waiting = s.unfinished
	j.unfinished += s.unfinished
	for i := range s.unfinished {
		t := &task{step: s, index: i, position: len(j.tasks), local: true, offset: j.offset, readySince: max(now, s.due)}
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

// ready reports whether the step's occurrence is due and all steps it depends
// on are done.
func (s *step) ready(now time.Duration) bool { return s.blockers == 0 && now >= s.due }

// inactive reports whether no task of the job may start any more.
func (j *job) inactive() bool { return j.cancelled || j.transferredAway || j.phase.Final() }

// unfinishedWork returns the declared work of the unfinished tasks of an
// occurrence, in millicore seconds.
func (j *job) unfinishedWork(occurrence int) int64 {
	if j.workLeft[occurrence] >= 0 {
		return j.workLeft[occurrence]
	}
	var sum int64
	for i := range j.workflow.Steps {
		sum += j.stepOf(occurrence, i).unfinishedWork()
	}
	j.workLeft[occurrence] = sum
	return sum
}

// maxStepWork keeps the sum over all steps of a workflow in the range of int64.
const maxStepWork = 1e13

func (s *step) unfinishedWork() int64 {
	cpu, ms := s.spec().Resources.MilliCPU(), s.spec().Estimate.Milliseconds()
	if float64(s.unfinished)*float64(cpu)*float64(ms)/1000 > maxStepWork {
		return maxStepWork
	}
	return int64(s.unfinished) * cpu * ms / 1000
}

// unfinishedDueWork returns the unfinished work of all occurrences that are
// due.
func (j *job) unfinishedDueWork(now time.Duration) int64 {
	var sum int64
	for k := range j.workflow.Occurrences() {
		if now >= j.stepOf(k, 0).due {
			sum += j.unfinishedWork(k)
		}
	}
	return sum
}

// ref returns the task's reference.
func (t *task) ref() briarspring.TaskRef {
	return briarspring.TaskRef{
		Workflow: t.step.job.workflow.ID, Occurrence: t.step.occurrence, Step: t.step.number, Index: t.index,
	}
}

// pending reports whether the task needs a run.
func (t *task) pending() bool { return t.local && !t.transferring && !t.done && len(t.runs) == 0 }

// failures returns how many runs of the task have failed.
func (t *task) failures() int { return len(t.failedRuns) }

// countFailure counts a failed run, which fails a whole gang. A worker may list an
// end again to a new owner, so each run counts once. Those of long-running tasks don't
// count: they have no limit, and a record would have to hold them all.
func (t *task) countFailure(run uint32) {
	if !t.step.spec().Gang {
		t.addFailure(run)
		return
	}
	for _, o := range t.step.tasks {
		o.addFailure(run)
	}
}

func (t *task) addFailure(run uint32) {
	if t.step.spec().LongRunning || slices.Contains(t.failedRuns, run) {
		return
	}
	t.failedRuns = append(t.failedRuns, run)
	t.step.job.failing[t] = struct{}{}
}

// attachRun records that a run of the task may be alive.
func (t *task) attachRun(r *run) {
	if len(t.runs) == 0 {
		t.step.waiting--
		t.waitingSince = t.readySince
	}
	t.runs = append(t.runs, r)
	t.step.job.live++
	t.lastRun = max(t.lastRun, r.ref.Run)
	t.step.spread[r.worker]++
}

// detachRun records that a run of the task is not alive any more.
func (t *task) detachRun(now time.Duration, r *run) {
	for i, other := range t.runs {
		if other != r {
			continue
		}
		t.runs = append(t.runs[:i], t.runs[i+1:]...)
		t.step.job.live--
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

// Submit adds a workflow whose submission is at offset, with the recorded
// progress of its tasks. Its age is the time since it was accepted. place is
// nil if no task was transferred. A workflow that is already known is left as
// it is.
func (d *Dispatcher) Submit(now, age time.Duration, w *briarspring.Workflow, offset uint64, progress []briarspring.TaskProgress, place func(position int) Place) {
	d.now = now
	if d.jobs[w.ID] != nil {
		return
	}
	j := newJob(now, age, w, offset)
	j.size = float64(j.unfinishedWork(0))
	if mean, ok := d.meanSize[w.Queue]; ok {
		d.meanSize[w.Queue] = mean + meanSizeRate*(j.size-mean)
	} else {
		d.meanSize[w.Queue] = j.size
	}
	d.jobs[w.ID] = j
	d.joinOrganisation(j)
	d.needsPlan = true
	if place != nil {
		j.setPlaces(place)
		j.learnDone(now, place)
	}
	for _, p := range progress {
		d.restoreProgress(j, p, originRecorded)
	}
	d.resumeEnds(w.ID)
	d.updatePhase(j)
}

// restoreProgress restores the recorded state of a task of which a start was ordered before.
func (d *Dispatcher) restoreProgress(j *job, p briarspring.TaskProgress, origin runOrigin) {
	if p.Position >= len(j.tasks) {
		d.logger.Warn("progress record of a task that does not exist", "workflow", j.workflow.ID, "position", p.Position)
		return
	}
	j.hasProgressRecord = true
	t := j.tasks[p.Position]
	for _, run := range p.FailedRuns {
		t.addFailure(run)
	}
	t.suspicion = p.Suspicion
	t.lastRun = p.Run
	t.checkpoint = p.Checkpoint
	if p.Started || p.Done {
		d.noteStarted(t, recordedSource(origin), p.Run, p.Worker)
	}
	if t.suspicion > 0 {
		j.failing[t] = struct{}{}
	}
	if p.Done {
		t.markDone(d.now)
	}
	if t.done {
		return
	}
	if p.Worker == "" {
		d.noteRecorded(t, p, origin)
		return
	}
	w := d.worker(p.Worker)
	w.inherited = w.inherited || !w.fenced
	r := &run{
		ref: briarspring.RunRef{Task: t.ref(), Run: p.Run}, task: t, worker: w, state: runUnknown, pace: fullSpeed,
		paceSent: fullSpeed, since: d.now, origin: origin,
	}
	d.addRun(r)
	if p.DoubtLeft > 0 {
		w.startRecorded(d.now, r.ref, p.DoubtLeft)
	}
}

// markDone marks the task done; one finished member finishes a whole gang. The
// waiting time of steps that become ready by this is counted from now. A long-running
// task is never done, however its runs end, and whatever earlier versions recorded.
func (t *task) markDone(now time.Duration) {
	if t.done || t.step.spec().LongRunning {
		return
	}
	t.finish()
	if t.step.spec().Gang {
		for _, o := range t.step.tasks {
			o.finish()
		}
	}
	if t.step.unfinished == 0 {
		t.step.job.unblockFollowers(t.step, now)
	}
}

func (t *task) finish() {
	if t.done {
		return
	}
	t.done = true
	t.step.unfinished--
	if len(t.runs) == 0 {
		t.step.waiting--
	}
	j := t.step.job
	j.unfinished--
	j.workLeft[t.step.occurrence] = -1
}

// unblockFollowers removes a finished step from the dependencies of others, and sets
// the ready time of the tasks of those that become ready.
func (j *job) unblockFollowers(done *step, now time.Duration) {
	for _, i := range j.followers[done.number] {
		s := j.stepOf(done.occurrence, int(i))
		s.blockers--
		if !s.ready(now) {
			continue
		}
		for _, t := range s.tasks {
			t.readySince = max(t.readySince, now)
		}
	}
}

// Cancel stops the runs of a workflow and starts no more of its tasks.
func (d *Dispatcher) Cancel(now time.Duration, id briarspring.WorkflowID) {
	d.now = now
	j := d.jobs[id]
	if j == nil || j.cancelled {
		return
	}
	j.cancelled = true
	d.needsPlan = true
	d.logger.Info("workflow cancelled", "workflow", id, "runs", j.live, "phase", j.phase.String())
	d.stopAll(j)
}

// Finished records that a workflow's final phase is in the log.
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
	j.publishedPhase = j.phase
	j.finalPhaseStored = true
	d.needsPlan = true
}

// Knows reports whether the dispatcher holds a workflow.
func (d *Dispatcher) Knows(id briarspring.WorkflowID) bool { return d.jobs[id] != nil }

func (d *Dispatcher) stopAll(j *job) {
	for _, t := range j.tasks {
		for _, r := range t.runs {
			d.stop(r, "workflow finished or cancelled")
		}
	}
}

// updatePhase recomputes the phase of a job after a change of one of its tasks.
func (d *Dispatcher) updatePhase(j *job) {
	if j.inactive() {
		return
	}
	phase := j.phase
	if phase == briarspring.PhaseQueued && j.begun != startUnknown {
		phase = briarspring.PhaseRunning
	}
	for t := range j.failing {
		if !t.done && len(t.runs) == 0 && d.exhausted(t) {
			phase = briarspring.PhaseFailed
		}
	}
	if j.unfinished == 0 {
		phase = briarspring.PhaseCompleted
		d.counters.Completed++
	}
	if phase == j.phase {
		return
	}
	j.phase = phase
	d.needsPlan = true
	d.phaseChanged = true
	if phase.Final() {
		d.logger.Info("workflow finished", "workflow", j.workflow.ID, "phase", phase.String(), "age-ms", (d.now - j.submitted).Milliseconds(),
			"objective-ms", j.objective.Milliseconds())
		d.stopAll(j)
	}
}
