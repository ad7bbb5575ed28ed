package dispatcher

// startSource says how the owner knows that a task of a workflow has started.
type startSource uint8

const (
	startUnknown     startSource = iota // None has, as far as the owner knows.
	startOrdered                        // The owner ordered a start.
	startListed                         // A worker lists a run.
	startEnded                          // A worker listed the end of a run.
	startRecorded                       // An earlier owner recorded a run.
	startTransferred                    // A run was recorded where the task was before.
)

// String returns the source in kebab case.
func (s startSource) String() string {
	names := [...]string{"unknown", "ordered", "listed", "ended", "recorded", "transferred"}
	if int(s) < len(names) {
		return names[s]
	}
	return "invalid"
}

// sourceOf returns the source that corresponds to the origin of a run.
func sourceOf(o runOrigin) startSource {
	return [...]startSource{
		originOrdered: startOrdered, originListed: startListed, originRecorded: startRecorded, originTransferred: startTransferred,
	}[o]
}

// noteStarted records that a task of a workflow has started.
func (d *Dispatcher) noteStarted(t *task, s startSource, run uint32, worker string) {
	j := t.step.job
	if j.begun != startUnknown {
		return
	}
	j.begun = s
	d.logger.Info("workflow counts as started", "workflow", j.workflow.ID, "step", t.step.number, "index", t.index, "run", run,
		"worker", worker, "known-by", s.String(), "age-ms", (d.now - j.submitted).Milliseconds(), "transfers", t.transfers)
}
