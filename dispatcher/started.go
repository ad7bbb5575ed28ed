package dispatcher

import "briarspring"

// startSource says how the owner knows that a task of a workflow has started. An order
// alone doesn't show it: it may be refused, get no answer, or never be sent.
type startSource uint8

const (
	startUnknown     startSource = iota // None has, as far as the owner knows.
	startAccepted                       // A worker accepted an order to start.
	startListed                         // A worker lists a run.
	startEnded                          // A worker listed the end of a run.
	startRecorded                       // An earlier owner recorded one of these.
	startTransferred                    // It was recorded where the task was before.
)

// String returns the source in kebab case.
func (s startSource) String() string {
	names := [...]string{"unknown", "accepted", "listed", "ended", "recorded", "transferred"}
	if int(s) < len(names) {
		return names[s]
	}
	return "invalid"
}

// recordedSource returns the source that the origin of a progress record stands for.
func recordedSource(o runOrigin) startSource {
	if o == originTransferred {
		return startTransferred
	}
	return startRecorded
}

// noteStarted records that a worker has carried out a start of a task, and reports whether
// it is the first one known of its workflow, so that the phase has to be updated.
func (d *Dispatcher) noteStarted(t *task, s startSource, run uint32, worker string) (first bool) {
	t.started = true
	j := t.step.job
	if j.begun != startUnknown {
		return false
	}
	j.begun = s
	d.logger.Info("workflow counts as started", "workflow", j.workflow.ID, "step", t.step.number, "index", t.index, "run", run,
		"worker", worker, "known-by", s.String(), "age-ms", (d.now - j.submitted).Milliseconds(), "transfers", t.transfers)
	return true
}

// noteAccepted records that a worker has accepted a start. The run may have been taken for
// lost meanwhile.
func (d *Dispatcher) noteAccepted(w *worker, run briarspring.RunRef) {
	j := d.jobs[run.Task.Workflow]
	t := j.task(run.Task)
	if t != nil && d.noteStarted(t, startAccepted, run.Run, w.id) {
		d.updatePhase(j)
	}
}

// removeUnstarted removes a run that has certainly not started. Its task goes on waiting as if
// no start had been ordered.
func (d *Dispatcher) removeUnstarted(r *run) {
	t := r.task
	since := t.waitingSince
	d.removeRun(r)
	if len(t.runs) == 0 && !t.done {
		t.readySince = since
	}
	d.markDirty(t.step.job)
}
