package dispatcher

import (
	"cmp"
	"slices"
	"time"
)

// starveTime that a workflow of which nothing runs waits for a worker that its
// image does not press, before one of its tasks starts where it slows others least.
const starveTime = 1200 * time.Millisecond

// makeRoom stops tasks that fill where a task whose processors are reserved
// would fit but for their memory. It answers lasting tasks that must come back
// while work that fills holds the memory of every worker.
func (d *Dispatcher) makeRoom(t *task) {
	var best []*run
	found := false
	for _, w := range d.order {
		victims, ok := d.victims(t, w)
		if ok && (!found || len(victims) < len(best)) {
			best, found = victims, true
		}
	}
	for _, r := range best {
		d.stop(r, "gives its memory to reserved work")
	}
}

// victims returns the runs that have to stop so that a task fits on a worker;
// false when that does not help. Runs that are stopping already count as gone.
func (d *Dispatcher) victims(t *task, w *worker) ([]*run, bool) {
	spec := t.step.spec()
	if !d.eligible(t, w) || spec.Resources.MilliCPU() > w.free().MilliCPU() {
		return nil, false
	}
	lack := spec.Resources.MemoryMiB() - w.free().MemoryMiB()
	var filling []*run
	for _, r := range w.runs {
		switch {
		case r.stopping:
			lack -= reservation(r.task.step.spec()).MemoryMiB()
		case r.task.step.spec().Fills:
			filling = append(filling, r)
		}
	}
	slices.SortFunc(filling, compareVictims)
	var victims []*run
	for _, r := range filling {
		if lack <= 0 {
			break
		}
		lack -= r.task.step.spec().Resources.MemoryMiB()
		victims = append(victims, r)
	}
	return victims, lack <= 0
}

// compareVictims puts first what loses least: runs with checkpoints, then those
// that have come least far.
func compareVictims(a, b *run) int {
	saves := func(r *run) int {
		if r.task.step.spec().Checkpoints {
			return 0
		}
		return 1
	}
	return cmp.Or(
		cmp.Compare(saves(a), saves(b)),
		cmp.Compare(a.percent, b.percent),
		cmp.Compare(a.ref.Task.Workflow, b.ref.Task.Workflow),
		cmp.Compare(a.ref.Task.Step, b.ref.Task.Step),
		cmp.Compare(a.ref.Task.Index, b.ref.Task.Index),
	)
}

// starves reports whether a task waits of whose workflow nothing runs.
func (d *Dispatcher) starves(t *task) bool {
	return d.now-t.readySince > starveTime && t.step.job.alive() == 0
}

// leastHarm returns the worker on which a task that fills may work fastest,
// however slowly, and the share of full speed.
func (d *Dispatcher) leastHarm(t *task) (*worker, float64) {
	var best *worker
	bestShare := -1.0
	for _, w := range d.order {
		if !d.fits(t, w) {
			continue
		}
		if share, _ := d.shareOn(t, w); share > bestShare {
			best, bestShare = w, share
		}
	}
	return best, max(0, bestShare)
}
