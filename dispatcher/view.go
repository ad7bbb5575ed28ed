package dispatcher

import (
	"math"
	"time"
)

// maxAllowanceAge is the age from which an allowance is computed anew although
// nothing changed on its worker: the interference models learn from the readings
// of all workers.
const maxAllowanceAge = 250 * time.Millisecond

// runView is what decisions on a worker need to know of its runs. It is computed
// when it is first needed and kept until a run, a pace or a reading of that
// worker changes, so that one change does not cost a look at every worker's
// runs. It answers bursts that start hundreds of tasks on hundreds of workers.
type runView struct {
	serving     []ServingTask
	bestEffort  []BestEffortTask
	longRunning map[string]int // Numbers of long-running tasks by image.
	total       int            // Number of long-running tasks.

	allowances   map[string]float64 // In cores of the reference size, by image.
	interfering  float64            // Share of all images that interfere with a serving task; negative if not computed.
	allowancesAt time.Duration
}

// runsChanged drops the view of the worker's runs.
func (w *worker) runsChanged() { w.view = nil }

// runAdded keeps the view up to date with a new run. A run that is only ordered
// is neither measured nor paced yet.
func (w *worker) runAdded(r *run) {
	switch {
	case w.view == nil:
	case r.state == runOrdered:
		w.view.countRun(r)
	default:
		w.runsChanged()
	}
}

// countRun counts a long-running run.
func (v *runView) countRun(r *run) {
	if spec := r.task.step.spec(); spec.LongRunning {
		v.longRunning[spec.Image]++
		v.total++
	}
}

// runView returns the view of the worker's runs.
func (w *worker) runView(now time.Duration) *runView {
	if w.view != nil {
		return w.view
	}
	v := &runView{
		serving: w.latencyTasks(now), bestEffort: w.bestEffortTasks(), longRunning: map[string]int{},
		allowances: map[string]float64{}, interfering: -1, allowancesAt: now,
	}
	for _, r := range w.runs {
		v.countRun(r)
	}
	w.view = v
	return v
}

// pacedView returns the view of a worker's runs, with allowances that follow the
// models.
func (d *Dispatcher) pacedView(w *worker) *runView {
	v := w.runView(d.now)
	if d.now-v.allowancesAt > maxAllowanceAge {
		clear(v.allowances)
		v.interfering = -1
		v.allowancesAt = d.now
	}
	return v
}

// speedFraction returns the share of full speed at which a best-effort task of
// an image could work on a worker.
func (d *Dispatcher) speedFraction(w *worker, image string, milliCPU int64) float64 {
	if d.config.Pacer == nil {
		return 1
	}
	v := d.pacedView(w)
	allowance, ok := v.allowances[image]
	if !ok {
		allowance = d.config.Pacer.Allowance(w.id, image, v.serving, v.bestEffort)
		v.allowances[image] = allowance
	}
	if math.IsInf(allowance, 1) {
		return 1
	}
	return min(1, allowance/w.referenceCores(float64(max(1, milliCPU))))
}

// interferingFraction returns the share of all images that interfere with a
// serving task on a worker.
func (d *Dispatcher) interferingFraction(w *worker) float64 {
	if d.config.Pacer == nil {
		return 0
	}
	v := d.pacedView(w)
	if v.interfering < 0 {
		v.interfering = d.config.Pacer.InterferingFraction(v.serving)
	}
	return v.interfering
}
