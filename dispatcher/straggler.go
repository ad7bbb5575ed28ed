package dispatcher

import (
	"time"
)

const (
	// stallTime is the time without progress after which a run counts as
	// stalled. The shortest tasks take 0.6 s on average, so a run at full speed
	// reports progress several times in this time.
	stallTime = 1500 * time.Millisecond
	// stallPace is the lowest pace in percent at which progress is expected.
	stallPace = 50
	// copyFactor times the expected run time is the age at which a run gets a
	// speculative copy; estimates are off by a factor of up to two.
	copyFactor = 2.0
	// copyDelay is added to that age to cover the transit of orders and
	// renewals.
	copyDelay = 200 * time.Millisecond
	// maxCopies limits the concurrent runs of a task.
	maxCopies = 2
)

// stopStalled stops runs that make no progress and quarantines workers with
// several of them. It guards against workers that answer while their tasks are
// stuck.
func (d *Dispatcher) stopStalled(w *worker) {
	for _, r := range w.runs {
		spec := r.task.step.spec()
		if spec.LongRunning || r.stopping || !r.listed || r.unreported || r.pace < stallPace || d.now-r.progressAt < stallTime {
			continue
		}
		if d.now-r.paceChangedAt < stallTime || spec.Gang && !r.task.step.atSpeed(d.now) {
			continue
		}
		r.task.avoidWorker = w
		d.stop(r, "no progress")
		d.countWorkerFailure(w, r)
	}
}

// startCopies starts speculative copies of tasks that take much longer than
// expected, where the step allows copies. It guards urgent work against slow
// workers.
func (d *Dispatcher) startCopies(s *step) {
	if !s.spec().Speculative || s.spec().BestEffort || s.spec().Gang || s.unfinished == 0 {
		return
	}
	expected := copyFactor * float64(d.expectedRunTime(s))
	for _, t := range s.tasks {
		if t.done || !t.local || t.transferring || len(t.runs) == 0 || len(t.runs) >= maxCopies || t.suspicion > 0 || d.exhausted(t) {
			continue
		}
		first := t.runs[0]
		limit := time.Duration(expected*d.farTimes(first)) + copyDelay
		if first.stopping || first.unreported || d.now-first.since < limit {
			continue
		}
		if !d.quotaAllows(s) {
			return
		}
		t.avoidWorker = first.worker
		w := d.bestReserved(t)
		if w == nil || w == first.worker {
			continue
		}
		d.logger.Info("starting copy of a slow run", "workflow", first.ref.Task.Workflow, "step", s.number, "index", t.index,
			"worker", first.worker.id, "age-ms", (d.now - first.since).Milliseconds(), "limit-ms", limit.Milliseconds())
		d.start(t, w)
	}
}

// expectedRunTime returns the expected run time of one task of a step.
func (d *Dispatcher) expectedRunTime(s *step) time.Duration {
	ratio, ok := d.ratios[s.job.workflow.Queue]
	if !ok {
		ratio = 1
	}
	return time.Duration(ratio * float64(s.spec().Estimate))
}
