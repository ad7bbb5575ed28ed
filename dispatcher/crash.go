package dispatcher

import (
	"slices"
	"time"
)

// The suspicion against a task is the number of workers in a row that were lost
// under it and may have crashed because of it.
const (
	// isolateAt is the suspicion from which a task is isolated: it starts on a worker
	// on which nothing else has just started, so that one more loss is proof.
	isolateAt = 2
	// maxSuspicion is the suspicion from which a task is given up even without that
	// proof. The platform allows two starts more after three crashes.
	maxSuspicion = 4
	// settleTime is how long after its start a run must be listed to show that the
	// start has not crashed the worker: a reply may list a run that is about to do
	// so. Starts crash a worker at once.
	settleTime = 500 * time.Millisecond
)

// evidence is how strongly the loss of its worker speaks against a run. Only the
// runs with the strongest evidence on a worker are suspected.
type evidence uint8

const (
	evidenceNone       evidence = iota // A long-running task that was at work, or a run that had ended.
	evidencePresent                    // The run had settled.
	evidenceUnanswered                 // The start may not have arrived before the loss.
	evidenceStarted                    // The worker had just started the run.
)

func (r *run) evidence() evidence {
	switch {
	case r.unreported:
		return evidenceNone
	case r.task.step.spec().LongRunning && r.settled && r.progress == atWork:
		return evidenceNone
	case r.settled:
		return evidencePresent
	case r.state != runAlive:
		return evidenceUnanswered
	default:
		return evidenceStarted
	}
}

// suspect is a task under which a worker was lost, and what that added to the
// suspicion.
type suspect struct {
	task    *task
	added   int
	ordered time.Duration // When the run was.
}

// suspectRuns counts the loss of a worker against the tasks that are most likely
// to have caused it, and returns them. Its other runs are lost as well. A worker
// that had announced that it leaves has not crashed. Starts sent after the latest time at
// which it can have been lost are innocent.
func (d *Dispatcher) suspectRuns(w *worker, latest time.Duration) []suspect {
	if w.entry.Draining {
		return nil
	}
	strongest := evidenceNone
	for _, r := range w.runs {
		if r.since <= latest && !w.innocent(r) {
			strongest = max(strongest, r.evidence())
		}
	}
	var suspects []suspect
	for _, r := range w.runs {
		if strongest != evidenceNone && r.since <= latest && !w.innocent(r) && r.evidence() == strongest {
			suspects = append(suspects, d.suspect(r))
		}
	}
	return suspects
}

// innocent reports whether a run has nothing to do with the loss of a worker's process: its
// start was sent to an earlier one and hasn't been carried out, or it was kept when that
// process was lost, and counted then, maybe by an earlier owner.
func (w *worker) innocent(r *run) bool {
	p := w.pendingStarts[r.ref]
	if r.held || p != nil && p.aliveUntil > 0 {
		return true
	}
	return r.state == runUnanswered && (p == nil || p.incarnation != w.incarnation)
}

// suspect adds to the suspicion against the task of a run that was lost with its
// worker.
func (d *Dispatcher) suspect(r *run) suspect {
	t := r.task
	before := t.suspicion
	if t.isolated() && r.evidence() == evidenceStarted {
		t.suspicion = maxSuspicion
	} else {
		t.suspicion++
	}
	t.step.job.failing[t] = struct{}{}
	d.counters.Suspects++
	d.markDirty(t.step.job)
	d.logger.Warn("worker lost under a task", "workflow", r.ref.Task.Workflow, "step", r.ref.Task.Step, "index", r.ref.Task.Index,
		"run", r.ref.Run, "worker", r.worker.id, "settled", r.settled, "state", r.state.String(), "suspicion", t.suspicion, "given-up", t.crashing())
	return suspect{task: t, added: t.suspicion - before, ordered: r.since}
}

// clearSuspects withdraws the suspicion against the tasks under which a worker was
// lost and whose runs were ordered after a time: it answers again, and has not restarted
// since then.
func (d *Dispatcher) clearSuspects(w *worker, after time.Duration) {
	for _, s := range w.suspects {
		if s.ordered < after {
			continue
		}
		t := s.task
		t.suspicion = max(0, t.suspicion-s.added)
		d.markDirty(t.step.job)
		d.logger.Info("worker was only silent under a task", "workflow", t.step.job.workflow.ID, "step", t.step.number, "index", t.index,
			"worker", w.id, "suspicion", t.suspicion)
	}
	w.suspects = nil
}

// crashing reports whether the task is given up because of the workers lost under
// it.
func (t *task) crashing() bool { return t.suspicion >= maxSuspicion }

// isolated reports whether the task must start alone, see isolateAt.
func (t *task) isolated() bool { return t.suspicion >= isolateAt && !t.crashing() }

// settle records that a worker lists a run long enough after its start. A
// long-running task that is at work then is no suspect any more.
func (d *Dispatcher) settle(r *run) {
	if !r.settled && d.now-r.startAnsweredAt >= settleTime {
		r.settled = true
		if r.worker.isolatedRun == r {
			r.worker.isolatedRun = nil
			d.needsPlan = true
		}
	}
	if r.task.suspicion > 0 && r.evidence() == evidenceNone {
		r.task.suspicion = 0
		d.markDirty(r.task.step.job)
	}
}

// startSuspects starts the suspected tasks of a step, before all others and each
// where it is with the fewest others that may crash the worker, so that the next
// loss tells them apart. An isolated task gets a worker on which all runs have
// settled, and nothing else starts there until it has settled as well.
func (d *Dispatcher) startSuspects(s *step) {
	for _, t := range s.tasks {
		if t.suspicion == 0 || !d.mayStart(t) || d.startsLeft <= 0 {
			continue
		}
		if !d.quotaAllows(s) {
			return
		}
		w := d.quietestWorker(t)
		switch {
		case w != nil && s.spec().BestEffort:
			d.startAt(t, w, d.speedFraction(w, s.spec().Image, s.spec().Resources.MilliCPU()))
		case w != nil:
			d.start(t, w)
		case !s.spec().BestEffort:
			d.preemptFor(t)
		}
	}
}

// quietestWorker returns the worker for a suspected task, or nil if there is none:
// on the rack with its data if possible, the one with the fewest runs that have not
// settled, and of these the one with the fewest runs.
func (d *Dispatcher) quietestWorker(t *task) *worker {
	var best *worker
	var lowest [3]int
	for _, w := range d.workersByID {
		unsettled := w.unsettled()
		if t.isolated() && unsettled > 0 || !d.takes(w, t) {
			continue
		}
		cost := [3]int{0, unsettled, len(w.runs)}
		if rack := t.step.spec().Rack; rack != "" && rack != w.entry.Rack {
			cost[0] = 1
		}
		if best == nil || slices.Compare(cost[:], lowest[:]) < 0 {
			best, lowest = w, cost
		}
	}
	return best
}

// takes reports whether a suspected task may start on a worker at present.
func (d *Dispatcher) takes(w *worker, t *task) bool {
	if !t.step.spec().BestEffort || d.starving(t) {
		return d.fits(t.step, w)
	}
	_, _, ok := d.rateBestEffort(t.step, w)
	return ok
}

// unsettled returns the number of runs of the worker that have not settled.
func (w *worker) unsettled() int {
	n := 0
	for _, r := range w.runs {
		if !r.settled {
			n++
		}
	}
	return n
}
