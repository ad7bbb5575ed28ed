package dispatcher

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"briarspring"
)

const (
	// paceInterval is the shortest time between two pace decisions for a
	// worker; the platform averages tail latencies over half a second.
	paceInterval = 200 * time.Millisecond
	// normalWait is how long a renewal waits for the end of a run; each reply
	// also brings new tail latencies.
	normalWait = 500 * time.Millisecond
	// interferenceWait is the same on a worker with interference; there, tail
	// latencies rise to several times their target within half a second.
	interferenceWait = 220 * time.Millisecond
)

// renewalWait returns how long a renewal waits for the end of a run.
func (w *worker) renewalWait() time.Duration {
	if w.interference {
		return interferenceWait
	}
	return normalWait
}

// adjustPaces has the pacer decide on the best-effort tasks of a worker and
// orders the changes.
func (d *Dispatcher) adjustPaces(w *worker) {
	if d.config.Pacer == nil || d.now-w.pacesDecidedAt < paceInterval {
		return
	}
	w.pacesDecidedAt = d.now
	view := w.runView(d.now)
	latency, bestEffort := view.serving, view.bestEffort
	if d.logger.IsDebug() {
		d.logger.Debug("reading", "worker", w.id, "serving", fmt.Sprint(latency), "filling", fmt.Sprint(bestEffort), "uses", w.describeUsage())
	}
	w.interference = slices.ContainsFunc(bestEffort, func(f BestEffortTask) bool {
		return f.Percent > 0 && d.config.Pacer.Interferes(f.Image, latency)
	})
	for _, p := range d.config.Pacer.Decide(d.now, w.id, latency, bestEffort) {
		r := w.runs[p.Run]
		if r == nil {
			continue
		}
		d.setPace(r, p.Percent)
	}
	for _, r := range w.runs {
		if r.pace != r.paceSent && r.state == runAlive && !r.stopping {
			d.sendPace(r)
		}
	}
	d.stopSlowed(w)
}

const (
	// slowPercent is the pace in percent up to which a task should rather wait
	// for another worker, because it holds memory that others could use.
	slowPercent = 20
	// slowLimit is how long a task with checkpoints stays at that pace before
	// it is stopped; a restart costs 0.25 to 0.6 s.
	slowLimit = 900 * time.Millisecond
	// moveShare is the share of full speed on another worker from which a move
	// is worth the restart.
	moveShare = 0.7
	// slowLimitUnsaved is the limit for a task without checkpoints, which loses
	// its work.
	slowLimitUnsaved = 2500 * time.Millisecond
	// maxUnsavedPercent is the progress up to which a task without checkpoints
	// is stopped.
	maxUnsavedPercent = 30
)

// stopSlowed stops best-effort tasks that make little progress, so that they
// start again where they interfere with nothing.
func (d *Dispatcher) stopSlowed(w *worker) {
	for _, r := range w.runs {
		spec := r.task.step.spec()
		if !spec.BestEffort || r.stopping || r.pace > slowPercent || r.state != runAlive {
			continue
		}
		slowed := d.now - r.slowedAt
		if spec.Checkpoints && slowed < slowLimit || !spec.Checkpoints && (slowed < slowLimitUnsaved || r.progress > maxUnsavedPercent) {
			continue
		}
		if r.task.step.job.live == 1 {
			// It is the only run of its workflow, so it stays unless another worker
			// is better.
			if other, share := d.cheapestBestEffort(r.task); other == nil || other == w || share < moveShare {
				continue
			}
		}
		d.stop(r, "slowed too long by interference")
	}
}

func (d *Dispatcher) setPace(r *run, percent int) {
	if r.pace == percent {
		return
	}
	d.logger.Debug("pace", "workflow", r.ref.Task.Workflow, "step", r.ref.Task.Step, "index", r.ref.Task.Index,
		"worker", r.worker.id, "image", r.task.step.spec().Image, "percent", percent, "before", r.pace)
	if percent <= slowPercent && r.pace > slowPercent {
		r.slowedAt = d.now
	}
	r.pace = percent
	r.paceChangedAt = d.now
	cpu := r.task.step.spec().Resources.MilliCPU() * int64(percent) / fullSpeed
	r.worker.bestEffortCPU += cpu - r.bestEffortCPU
	r.bestEffortCPU = cpu
	if r.state == runAlive {
		r.worker.runsChanged()
	}
	d.needsPlan = true
}

func (d *Dispatcher) sendPace(r *run) {
	r.paceSent = r.pace
	r.paceSentAt = d.now
	d.counters.Paces++
	o := Order{Kind: OrderPace, Worker: r.worker.id, Address: r.worker.entry.Address}
	o.Pace.Run = r.ref
	o.Pace.Percent = r.pace
	o.Pace.Token = d.config.Token
	d.orders = append(d.orders, o)
}

// staleReading is the age from which a tail latency is ignored.
const staleReading = 1500 * time.Millisecond

// latencyTasks returns the long-running tasks with a latency target on a
// worker.
func (w *worker) latencyTasks(now time.Duration) []ServingTask {
	var list []ServingTask
	for _, r := range w.runs {
		spec := r.task.step.spec()
		if !spec.LongRunning || spec.TailTarget <= 0 || r.state != runAlive {
			continue
		}
		tail := r.usage / float64(spec.TailTarget.Milliseconds())
		list = append(list, ServingTask{Image: spec.Image, TailRatio: tail, Measured: r.usage > 0 && now-r.usageAt < staleReading})
	}
	slices.SortFunc(list, func(a, b ServingTask) int {
		return cmp.Or(cmp.Compare(a.Image, b.Image), cmp.Compare(a.TailRatio, b.TailRatio))
	})
	return list
}

// referenceMilliCPU is the size of the worker to which cores are scaled for the
// pacer. What a task does to its neighbours depends on the share of the worker's
// processors that it uses, so a core of a worker with 64 counts a quarter.
const referenceMilliCPU = 16 * briarspring.MilliCPUPerCore

// referenceCores converts millicores of the worker to cores of a worker of the
// reference size.
func (w *worker) referenceCores(milliCPU float64) float64 {
	return milliCPU / briarspring.MilliCPUPerCore * referenceMilliCPU / float64(max(1, w.entry.Capacity.MilliCPU()))
}

// bestEffortTasks returns the best-effort tasks on a worker.
func (w *worker) bestEffortTasks() []BestEffortTask {
	var list []BestEffortTask
	for _, r := range w.runs {
		spec := r.task.step.spec()
		if !spec.BestEffort || r.stopping || r.state != runAlive {
			continue
		}
		list = append(list, BestEffortTask{
			Run: r.ref, Image: spec.Image, Cores: w.referenceCores(float64(spec.Resources.MilliCPU())), Used: w.referenceCores(r.usage),
			Percent: r.pace, Progress: r.progress,
		})
	}
	slices.SortFunc(list, func(a, b BestEffortTask) int {
		return cmp.Or(
			cmp.Compare(a.Run.Task.Workflow, b.Run.Task.Workflow),
			cmp.Compare(a.Run.Task.Step, b.Run.Task.Step),
			cmp.Compare(a.Run.Task.Index, b.Run.Task.Index),
		)
	})
	return list
}

// describeUsage formats the usage and progress of all but long-running tasks,
// for logs.
func (w *worker) describeUsage() string {
	var list []string
	for _, r := range w.runs {
		if !r.task.step.spec().LongRunning {
			list = append(list, fmt.Sprintf("%s:%.2f/%d%%", r.task.step.spec().Image, r.usage, r.progress))
		}
	}
	slices.Sort(list)
	return fmt.Sprint(list)
}
