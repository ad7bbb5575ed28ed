package dispatcher

import (
	"time"
)

const (
	// stallTime without any progress after which a run counts as standing still.
	// The shortest tasks of the sheets last 0.6 s on average, so that a run at
	// full speed shows progress several times meanwhile.
	stallTime = 1500 * time.Millisecond
	// stallPace is the least pace in percent at which progress is expected.
	stallPace = 50
	// copyFactor of the expected time after which a run gets a copy, where copies
	// are allowed; estimates are off by up to two times.
	copyFactor = 2.0
	// copyDelay is added to that, for orders and renewals on the way.
	copyDelay = 200 * time.Millisecond
	// maxCopies bounds the runs of a task at a time.
	maxCopies = 2
)

// stalls stops runs that stand still, and sets workers aside on which several
// do. It answers workers whose tasks make no progress although they answer.
func (d *Dispatcher) stalls(w *worker) {
	for _, r := range w.runs {
		spec := r.task.step.spec()
		if spec.Lasting || r.stopping || !r.listed || r.pace < stallPace || d.now-r.percentAt < stallTime {
			continue
		}
		if d.now-r.pacedAt < stallTime || spec.Gang && !r.task.step.atSpeed(d.now) {
			continue
		}
		r.task.avoid = w
		d.stop(r, "stands still")
		d.failedOn(w, r)
	}
}

// copies starts second runs of tasks that take much longer than expected, where
// copies may run at the same time. It answers slow workers under urgent work.
func (d *Dispatcher) copies(s *step) {
	if !s.spec().Speculative || s.spec().Fills || s.spec().Gang || s.left == 0 {
		return
	}
	limit := time.Duration(copyFactor*float64(d.expectedStep(s))) + copyDelay
	for _, t := range s.tasks {
		if t.done || !t.mine || t.leaving || len(t.runs) == 0 || len(t.runs) >= maxCopies || d.exhausted(t) {
			continue
		}
		first := t.runs[0]
		if first.stopping || d.now-first.since < limit {
			continue
		}
		t.avoid = first.worker
		w := d.bestReserved(t)
		if w == nil || w == first.worker {
			continue
		}
		d.logger.Info("copy of a slow run", "workflow", first.ref.Task.Workflow, "step", s.number, "index", t.index,
			"worker", first.worker.id, "age-ms", (d.now - first.since).Milliseconds(), "limit-ms", limit.Milliseconds())
		d.start(t, w)
	}
}

// expectedStep returns the expected time of one task of a step.
func (d *Dispatcher) expectedStep(s *step) time.Duration {
	ratio, ok := d.averages[s.job.workflow.Queue]
	if !ok {
		ratio = 1
	}
	return time.Duration(ratio * float64(s.spec().Estimate))
}
