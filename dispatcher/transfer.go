package dispatcher

import (
	"cmp"
	"slices"
	"time"

	"briarspring"
)

const (
	// lastingWait of a lasting task that finds no room, before it goes to another
	// data centre; well below the 3 s in which it has to be at work again.
	lastingWait = 600 * time.Millisecond
	// urgentWait is the same for a workflow whose processors are reserved and of
	// which nothing runs; half of the time that its objective leaves.
	urgentWait = 150 * time.Millisecond
	// maxTransfers bounds the workflows of one round.
	maxTransfers = 16
)

// Transfer gives waiting tasks of a workflow to another data centre.
type Transfer struct {
	Workflow briarspring.WorkflowID
	Number   int // Tells the transfers of this owner apart.
	Content  briarspring.TaskTransfer
}

// TakeTransfers returns the transfers that are due. Choose picks a data centre
// for a task of a step, or returns none. The tasks are not started here unless
// the transfer turns out to be void.
func (d *Dispatcher) TakeTransfers(now time.Duration, choose func(*briarspring.Step) string) []Transfer {
	d.now = now
	if !d.listed || !d.open() {
		// An earlier owner may have started them on workers that are not known yet.
		return nil
	}
	var list []Transfer
	for _, j := range d.waitingJobs() {
		if len(list) >= maxTransfers {
			break
		}
		tasks := d.leavers(j)
		if len(tasks) == 0 {
			continue
		}
		to := choose(tasks[0].step.spec())
		if to == "" {
			continue
		}
		list = append(list, d.transfer(j, tasks, to))
	}
	return list
}

// waitingJobs returns the jobs with tasks that may start but do not, in order.
func (d *Dispatcher) waitingJobs() []*job {
	var jobs []*job
	for _, j := range d.jobs {
		if j.over() {
			continue
		}
		for _, s := range j.steps {
			if s.waiting > 0 && s.ready(d.now) {
				jobs = append(jobs, j)
				break
			}
		}
	}
	slices.SortFunc(jobs, func(a, b *job) int { return cmp.Compare(a.workflow.ID, b.workflow.ID) })
	return jobs
}

// leavers returns the tasks of a job that should go elsewhere: single tasks of a
// lasting one, and all or none of any other and of gangs, so that its steps stay
// together.
func (d *Dispatcher) leavers(j *job) []*task {
	var tasks []*task
	due := false
	for _, t := range j.tasks {
		if !t.mine || t.leaving {
			continue
		}
		spec := t.step.spec()
		if spec.Lasting && !spec.Gang {
			if t.pending() && (d.out || d.now-t.readySince > lastingWait) {
				tasks = append(tasks, t)
				due = true
			}
			continue
		}
		if len(t.runs) > 0 {
			return nil
		}
		tasks = append(tasks, t)
		if t.pending() && t.step.ready(d.now) && (d.out || !spec.Fills && !spec.Lasting && d.now-t.readySince > urgentWait) {
			due = true
		}
	}
	if !due {
		return nil
	}
	// The first one decides where they go, so it must be one that waits.
	slices.SortStableFunc(tasks, func(a, b *task) int { return cmp.Compare(d.needOf(b), d.needOf(a)) })
	return tasks
}

// needOf returns what a task that waits needs, and less for others.
func (d *Dispatcher) needOf(t *task) int64 {
	if !t.pending() || !t.step.ready(d.now) {
		return -1
	}
	return t.step.spec().Resources.MilliCPU()
}

func (d *Dispatcher) transfer(j *job, tasks []*task, to string) Transfer {
	d.transfers++
	tr := Transfer{Workflow: j.workflow.ID, Number: d.transfers, Content: briarspring.TaskTransfer{
		Token: d.config.Token, From: d.config.DataCentre, To: to,
	}}
	for _, t := range tasks {
		t.leaving = true
		tr.Content.Tasks = append(tr.Content.Tasks, briarspring.TaskProgress{
			Position: t.position, Done: t.done, FailedRuns: slices.Clone(t.failedRuns), Run: t.lastRun, Checkpoint: t.checkpoint,
		})
	}
	d.logger.Info("tasks go to another data centre", "workflow", j.workflow.ID, "tasks", len(tasks), "to", to,
		"out", d.out, "waited-ms", (d.now - tasks[0].readySince).Milliseconds())
	return tr
}

// Place tells where a task belongs, as it is recorded.
type Place struct {
	Mine    bool // This data centre runs it.
	Moves   int  // Transfers of it so far.
	Brought briarspring.TaskProgress
}

// settleIn notes where the tasks of a new job belong.
func (j *job) settleIn(place func(position int) Place) {
	j.away = true
	for _, t := range j.tasks {
		p := place(t.position)
		t.mine, t.moves = p.Mine, p.Moves
		j.away = j.away && !t.mine
	}
}

// Moved takes what is recorded of transfers of a workflow's tasks. Tasks that
// went away are not started here any more, and a workflow without any other is
// dropped. A task may have gone and come back since the last call.
func (d *Dispatcher) Moved(now time.Duration, id briarspring.WorkflowID, place func(position int) Place) {
	d.now = now
	j := d.jobs[id]
	if j == nil {
		return
	}
	moved, arrived := 0, 0
	for _, t := range j.tasks {
		p := place(t.position)
		if p.Moves == t.moves {
			continue
		}
		moved++
		t.leaving = false
		if p.Mine {
			arrived++
			t.readySince = now
			p.Brought.Worker = ""
			d.resume(j, p.Brought)
		}
	}
	if moved == 0 {
		return
	}
	j.settleIn(place)
	d.changed = true
	d.logger.Info("tasks were transferred", "workflow", id, "tasks", moved, "arrived", arrived, "away", j.away)
	d.settle(j)
}
