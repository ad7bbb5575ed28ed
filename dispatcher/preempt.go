package dispatcher

import (
	"cmp"
	"slices"
	"time"
)

// starvationTime is how long a workflow without live runs waits for a worker
// where its tasks may run at minShare of full speed. After that, one of them
// starts on the worker where it may run fastest, however slow that is.
const starvationTime = 1200 * time.Millisecond

// preemptFor stops best-effort tasks to free memory for a task with reserved
// processors, and reports whether that frees enough. It guards against best-effort
// work that holds the memory of every worker while long-running tasks have to start
// again.
func (d *Dispatcher) preemptFor(t *task) bool {
	var best []*run
	found := false
	for _, w := range d.workersByID {
		victims, ok := d.victims(t, w)
		if ok && (!found || len(victims) < len(best)) {
			best, found = victims, true
		}
	}
	for _, r := range best {
		d.stop(r, "preempted to free memory for reserved work")
	}
	return found
}

// victims returns the runs that must stop so that a task fits on a worker, or
// false if stopping them is not enough. The memory of runs that are already
// stopping counts as free.
func (d *Dispatcher) victims(t *task, w *worker) ([]*run, bool) {
	spec := t.step.spec()
	if !d.eligible(t.step, w) || spec.Resources.MilliCPU() > w.free().MilliCPU() {
		return nil, false
	}
	missingMiB := spec.Resources.MemoryMiB() - w.free().MemoryMiB()
	var bestEffort []*run
	for _, r := range w.runs {
		switch {
		case r.stopping:
			missingMiB -= reservation(r.task.step.spec()).MemoryMiB()
		case r.task.step.spec().BestEffort:
			bestEffort = append(bestEffort, r)
		}
	}
	slices.SortFunc(bestEffort, compareVictims)
	var victims []*run
	for _, r := range bestEffort {
		if missingMiB <= 0 {
			break
		}
		missingMiB -= r.task.step.spec().Resources.MemoryMiB()
		victims = append(victims, r)
	}
	return victims, missingMiB <= 0
}

// compareVictims sorts runs that lose least first: those with checkpoints, then
// those with the least progress.
func compareVictims(a, b *run) int {
	unsaved := func(r *run) int {
		if r.task.step.spec().Checkpoints {
			return 0
		}
		return 1
	}
	return cmp.Or(
		cmp.Compare(unsaved(a), unsaved(b)),
		cmp.Compare(a.progress, b.progress),
		cmp.Compare(a.ref.Task.Workflow, b.ref.Task.Workflow),
		cmp.Compare(a.ref.Task.Step, b.ref.Task.Step),
		cmp.Compare(a.ref.Task.Index, b.ref.Task.Index),
	)
}

// starving reports whether a task has waited too long while nothing of its
// workflow runs.
func (d *Dispatcher) starving(t *task) bool {
	return d.now-t.readySince > starvationTime && t.step.job.live == 0
}

// fastestWorker returns the worker on which a best-effort task may work
// fastest, however slow that is, and the share of full speed there.
func (d *Dispatcher) fastestWorker(t *task) (*worker, float64) {
	spec := t.step.spec()
	var best *worker
	bestShare := -1.0
	for _, w := range d.workersByID {
		if !d.fits(t.step, w) {
			continue
		}
		if share := d.speedFraction(w, spec.Image, spec.Resources.MilliCPU()); share > bestShare {
			best, bestShare = w, share
		}
	}
	return best, max(0, bestShare)
}
