package dispatcher

import (
	"cmp"
	"slices"
	"time"

	"briarspring"
)

const (
	// longRunningWait is how long a long-running task waits for room before it
	// is transferred to another data centre; well below the 3 s within which it
	// has to be at work again.
	longRunningWait = 600 * time.Millisecond
	// reservedWait is the same for a workflow with reserved processors and no
	// live runs; half of the time that its objective leaves.
	reservedWait = 150 * time.Millisecond
	// unrunnableWait is the same for a best-effort workflow that no worker here could
	// run even if it were idle.
	unrunnableWait = time.Second
	// freeTransfers is the number of transfers of a task after which each further one
	// doubles the wait for the next, up to maxTransferWait: a task that was moved that
	// often would do no better elsewhere.
	freeTransfers   = 2
	maxTransferWait = 2 * time.Second
	// maxTransfers limits the transfers that one call of TakeTransfers returns.
	maxTransfers = 16
)

// Transfer moves waiting tasks of a workflow to another data centre.
type Transfer struct {
	Workflow briarspring.WorkflowID
	Number   int // Unique among the transfers of this owner.
	Content  briarspring.TaskTransfer
}

// TakeTransfers returns the transfers that are due. choose returns a data centre
// that can run tasks of all steps and has room for one of the first, or the empty
// string for none. The tasks are not started here unless the transfer turns out to
// be void. Long-running tasks that are ready move without the others of their job.
func (d *Dispatcher) TakeTransfers(now time.Duration, choose func(service string, steps []*briarspring.Step) string) []Transfer {
	d.now = now
	if !d.workersListed {
		return nil
	}
	d.takeover = map[string]bool{}
	var list []Transfer
	for _, j := range d.waitingJobs() {
		if len(list) >= maxTransfers {
			break
		}
		for _, due := range []func(*job) []*task{d.transferableAlone, d.transferable} {
			tasks := due(j)
			if len(tasks) == 0 {
				continue
			}
			if to := choose(j.workflow.Service, stepsOf(tasks)); to != "" {
				list = append(list, d.transfer(j, tasks, to))
			}
		}
	}
	return list
}

// stepsOf returns the steps of unfinished tasks, in the order of their first tasks.
func stepsOf(tasks []*task) []*briarspring.Step {
	var steps []*briarspring.Step
	seen := map[int]bool{}
	for _, t := range tasks {
		if !t.done && !seen[t.step.number] {
			seen[t.step.number] = true
			steps = append(steps, t.step.spec())
		}
	}
	return steps
}

// waitingJobs returns the jobs with tasks that are ready but have no run,
// sorted by ID.
func (d *Dispatcher) waitingJobs() []*job {
	var jobs []*job
	for _, j := range d.jobs {
		if j.inactive() {
			continue
		}
		for _, s := range j.steps {
			if s.waiting > 0 && s.ready(d.now) && d.mayAct(s) {
				jobs = append(jobs, j)
				break
			}
		}
	}
	slices.SortFunc(jobs, func(a, b *job) int { return cmp.Compare(a.workflow.ID, b.workflow.ID) })
	return jobs
}

// movesAlone reports whether a task may move without the others of its job: no step
// waits for it, and it waits for none.
func (t *task) movesAlone(now time.Duration) bool {
	spec := t.step.spec()
	return spec.LongRunning && !spec.Gang && t.step.ready(now)
}

// transferableAlone returns the ready long-running tasks of a job that should move to
// another data centre, and the finished tasks of the steps that they follow as far as
// those are here: every host reads from a transfer which tasks are done.
func (d *Dispatcher) transferableAlone(j *job) []*task {
	var tasks []*task
	follows := map[*step]bool{}
	for _, t := range j.tasks {
		if !t.movesAlone(d.now) || !t.pending() || !d.mayAct(t.step) {
			continue
		}
		if d.outOfService || !t.waitsForPlace(d.now) && d.waitedFor(t, longRunningWait) && !d.waitsForQuota(t.step) {
			tasks = append(tasks, t)
			j.addPrecursors(t.step, follows)
		}
	}
	if len(tasks) == 0 {
		return nil
	}
	for _, t := range j.tasks {
		if follows[t.step] && t.done && t.local && !t.transferring && len(t.runs) == 0 {
			tasks = append(tasks, t)
		}
	}
	return tasks
}

// addPrecursors adds the steps that a step follows, directly or not.
func (j *job) addPrecursors(s *step, to map[*step]bool) {
	for _, number := range s.spec().After {
		if before := j.stepOf(s.occurrence, number); !to[before] {
			to[before] = true
			j.addPrecursors(before, to)
		}
	}
}

// transferable returns the tasks of a job that should move to another data centre: all
// or none of those that may not move alone, so that steps that follow each other stay
// together.
func (d *Dispatcher) transferable(j *job) []*task {
	var tasks []*task
	due := false
	for _, t := range j.tasks {
		if !t.local || t.transferring || t.movesAlone(d.now) {
			continue
		}
		if len(t.runs) > 0 || !d.mayAct(t.step) {
			return nil
		}
		tasks = append(tasks, t)
		due = due || t.pending() && t.step.ready(d.now) && d.shouldTransfer(t)
	}
	if !due {
		return nil
	}
	// The first task determines the destination, so it must be one that waits.
	slices.SortStableFunc(tasks, func(a, b *task) int { return cmp.Compare(d.waitingCPU(b), d.waitingCPU(a)) })
	return tasks
}

// shouldTransfer reports whether a ready task makes its whole job move.
func (d *Dispatcher) shouldTransfer(t *task) bool {
	spec := t.step.spec()
	switch {
	case d.outOfService:
		return true
	case t.waitsForPlace(d.now):
		return false
	case d.waitsForQuota(t.step):
		// Parts of the limit come to the task sooner than it to the parts.
		return false
	case spec.BestEffort || spec.LongRunning:
		return d.waitedFor(t, unrunnableWait) && !d.runnable(t.step)
	}
	return d.waitedFor(t, reservedWait)
}

// waitedFor reports whether a task has waited long enough for another transfer.
func (d *Dispatcher) waitedFor(t *task, wait time.Duration) bool {
	for i := freeTransfers; i < t.transfers && wait < maxTransferWait; i++ {
		wait *= 2
	}
	return d.now-t.readySince > wait
}

// waitingCPU returns the declared processors of a task that is ready and waits,
// and -1 for any other task.
func (d *Dispatcher) waitingCPU(t *task) int64 {
	if !t.pending() || !t.step.ready(d.now) {
		return -1
	}
	return t.step.spec().Resources.MilliCPU()
}

func (d *Dispatcher) transfer(j *job, tasks []*task, to string) Transfer {
	d.lastTransfer++
	if !j.workflow.LongRunning() {
		d.shortage.moved, d.shortage.movedAt = true, d.now
	}
	tr := Transfer{Workflow: j.workflow.ID, Number: d.lastTransfer, Content: briarspring.TaskTransfer{
		Token: d.config.Token, From: d.config.DataCentre, To: to,
	}}
	j.split = true
	for _, t := range tasks {
		t.transferring = true
		t.doneShared = t.doneShared || t.done
		tr.Content.Tasks = append(tr.Content.Tasks, briarspring.TaskProgress{
			Position: t.position, Done: t.done, FailedRuns: slices.Clone(t.failedRuns), Suspicion: t.suspicion,
			Run: t.lastRun, Started: t.started, Checkpoint: t.checkpoint,
		})
	}
	d.logger.Info("transferring tasks to another data centre", "workflow", j.workflow.ID, "tasks", len(tasks), "to", to,
		"out", d.outOfService, "waited-ms", (d.now - tasks[0].readySince).Milliseconds())
	return tr
}

// Place is the recorded location of a task.
type Place struct {
	Local     bool                     // This data centre runs it.
	Offset    uint64                   // Log offset of the last transfer; zero without one.
	Transfers int                      // Number of transfers so far.
	Progress  briarspring.TaskProgress // Progress that came with the last transfer.
}

// setPlaces sets which of the job's tasks this data centre runs.
func (j *job) setPlaces(place func(position int) Place) {
	j.transferredAway = true
	for _, t := range j.tasks {
		p := place(t.position)
		t.local, t.transfers = p.Local, p.Transfers
		t.offset = max(t.offset, p.Offset)
		j.transferredAway = j.transferredAway && !t.local
		j.split = j.split || !t.local
	}
}

// ApplyTransfers applies the recorded transfers of a workflow's tasks. Tasks
// that were transferred away are not started here any more, and a workflow
// without any local task is dropped. A task may have left and come back since
// the last call.
func (d *Dispatcher) ApplyTransfers(now time.Duration, id briarspring.WorkflowID, place func(position int) Place) {
	d.now = now
	j := d.jobs[id]
	if j == nil {
		return
	}
	moved, arrived := 0, 0
	for _, t := range j.tasks {
		p := place(t.position)
		if p.Transfers == t.transfers {
			continue
		}
		moved++
		t.transferring = false
		if p.Local {
			arrived++
			t.readySince = now
			p.Progress.Worker = ""
			d.restoreProgress(j, p.Progress, originTransferred)
		}
	}
	if moved == 0 {
		return
	}
	j.setPlaces(place)
	j.learnDone(now, place)
	d.needsPlan = true
	d.logger.Info("tasks transferred", "workflow", id, "tasks", moved, "arrived", arrived, "away", j.transferredAway)
	d.resumeEnds(id)
	d.updatePhase(j)
}
