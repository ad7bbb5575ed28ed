package dispatcher

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// planInterval is the longest time between two plans; deadlines such as the
	// end of a pause pass without an event.
	planInterval = 100 * time.Millisecond
	// longRunningUsage is the share of its reservation that a long-running task
	// is expected to use; the platform's day files state 0.42 with a swing of
	// one half.
	longRunningUsage = 0.45
	// ratioRate is the share of the error that one run corrects in the learned
	// ratio of run time to estimate.
	ratioRate = 0.05
	// maxRatio caps the ratio of run time to estimate of one run, so that a run
	// on a stalled worker does not outweigh hundreds.
	maxRatio = 10
)

// runTimeRatios holds the learned ratio of run time to estimate by queue.
type runTimeRatios map[string]float64

// learnRunTime updates the ratio of a queue after a successful run.
func (d *Dispatcher) learnRunTime(t *task, r *run) {
	estimate := t.step.spec().Estimate
	if r == nil || estimate <= 0 || r.paceSentAt != 0 {
		return
	}
	queue := t.step.job.workflow.Queue
	ratio, ok := d.ratios[queue]
	if !ok {
		ratio = 1
	}
	if d.learnFar(r, estimate) {
		return
	}
	measured := min(float64(d.now-r.since)/float64(estimate), maxRatio)
	d.ratios[queue] = ratio + ratioRate*(measured-ratio)
}

// expectedChainTime returns the expected time of the chain of steps that starts
// with a step.
func (d *Dispatcher) expectedChainTime(j *job, step int) time.Duration {
	ratio, ok := d.ratios[j.workflow.Queue]
	if !ok {
		ratio = 1
	}
	return time.Duration(ratio * float64(j.chains[step]))
}

// Plan decides which tasks start now and returns all orders that are due.
func (d *Dispatcher) Plan(now time.Duration) []Order { return d.PlanUpTo(now, math.MaxInt) }

// PlanUpTo does the same with a limit on the starts, the most urgent ones first.
// The next call continues with the others. It answers bursts of which the caller
// can't send everything at once: a start that waits to be sent may be carried out
// too late, and keeps the place of one that becomes more urgent.
func (d *Dispatcher) PlanUpTo(now time.Duration, maxStarts int) []Order {
	d.now = now
	d.startsLeft = maxStarts
	d.updateMostFenced()
	d.expireLeases()
	if d.needsPlan && maxStarts > 0 && d.mayOrder(now) {
		d.needsPlan = false
		d.assign()
		d.drainWorkers()
		// The starts of this pass make no room, so they need no further one.
		d.needsPlan = d.startsLeft <= 0
	}
	orders := d.orders
	d.orders = nil
	return orders
}

// ForcePlan makes the next call of Plan recompute all assignments.
func (d *Dispatcher) ForcePlan() { d.needsPlan = true }

// PlanInterval returns the longest time between two plans.
func PlanInterval() time.Duration { return planInterval }

// candidate is a step with waiting tasks.
type candidate struct {
	step         *step
	slack        time.Duration // Time to the objective minus the expected time of the work left.
	workPerValue float64       // Work left per unit of value of the workflow.
}

// assign starts waiting tasks on workers.
func (d *Dispatcher) assign() {
	d.beginQuotaPass()
	if d.outOfService || !d.workersListed {
		return
	}
	d.takeover = map[string]bool{}
	d.unmet, d.unmetReserved = unmet{}, unmet{}
	d.resetPlaces()
	var reserved, bestEffort []candidate
	for _, j := range d.jobs {
		if j.inactive() {
			continue
		}
		for _, s := range j.steps {
			if s.spec().Gang && d.mayAct(s) {
				d.stopPartialGang(s)
			}
			if s.waiting == 0 || !s.ready(d.now) || !d.mayAct(s) {
				continue
			}
			c := candidate{step: s, slack: s.due + j.objective - d.now - d.expectedChainTime(j, s.number)}
			c.workPerValue = d.workPerValue(s, c.slack)
			if s.spec().BestEffort {
				bestEffort = append(bestEffort, c)
			} else {
				reserved = append(reserved, c)
			}
		}
	}
	slices.SortFunc(reserved, compareReserved)
	d.assignInOrder(reserved, d.orderUrgent(reserved))
	d.makeRoom(reserved)
	for _, j := range d.jobs {
		if j.inactive() {
			continue
		}
		for _, s := range j.steps {
			if d.mayAct(s) {
				d.startCopies(s)
			}
		}
	}
	slices.SortFunc(bestEffort, compareBestEffort)
	d.assignInOrder(bestEffort, func(candidate) int { return 0 })
}

// assignStep starts the waiting tasks of a step.
func (d *Dispatcher) assignStep(s *step) {
	if !d.quotaAllows(s) {
		d.holdForQuota(s)
		return
	}
	if !s.spec().Gang {
		d.startSuspects(s)
	}
	switch {
	case d.startsLeft <= 0:
	case s.spec().Gang:
		d.assignGang(s)
	case s.spec().BestEffort:
		d.assignBestEffort(s)
	default:
		d.assignReserved(s)
	}
}

// compareReserved orders steps with reserved processors by priority, then by
// slack; late ones come last within their priority.
func compareReserved(a, b candidate) int {
	return cmp.Or(
		cmp.Compare(a.step.job.workflow.Priority, b.step.job.workflow.Priority),
		cmp.Compare(late(a), late(b)),
		cmp.Compare(a.slack, b.slack),
		cmp.Compare(a.step.job.workflow.ID, b.step.job.workflow.ID),
		cmp.Compare(a.step.occurrence, b.step.occurrence),
		cmp.Compare(a.step.number, b.step.number),
	)
}

// compareBestEffort orders best-effort steps by priority, then by work left per
// unit of value. This favours workflows that are nearly done over those that
// have just started, and those in time over late ones.
func compareBestEffort(a, b candidate) int {
	return cmp.Or(
		cmp.Compare(a.step.job.workflow.Priority, b.step.job.workflow.Priority),
		cmp.Compare(a.workPerValue, b.workPerValue),
		cmp.Compare(a.step.job.workflow.ID, b.step.job.workflow.ID),
		cmp.Compare(a.step.occurrence, b.step.occurrence),
		cmp.Compare(a.step.number, b.step.number),
	)
}

const (
	// baseValue and workValue make up the value of a workflow, as stated by the
	// platform: a part that all workflows have, and a part in proportion to its
	// work relative to the mean of its queue.
	baseValue = 0.3
	workValue = 0.7
	// lateValue is the factor of value for a workflow that misses its
	// objective, and veryLateValue the factor after lateLimit times the
	// objective.
	lateValue     = 0.15
	veryLateValue = 0.01
	// lateLimit is the multiple of the objective after which finishing has no
	// value.
	lateLimit = 3
	// meanSizeRate is the share of the difference by which one workflow moves
	// the mean work of its queue.
	meanSizeRate = 0.05
)

// workPerValue returns the work left per unit of value. In bursts that cannot
// all be served in time, ordering by it gives the processors to the workflows
// that yield the most value for the work left, and finishes started workflows
// before new ones take processors from them.
func (d *Dispatcher) workPerValue(s *step, slack time.Duration) float64 {
	j := s.job
	left := float64(j.unfinishedWork(s.occurrence))
	value := baseValue + workValue*j.size/max(1, d.meanSize[j.workflow.Queue])
	switch {
	case slack+(lateLimit-1)*j.objective < 0:
		value *= veryLateValue
	case slack < 0:
		value *= lateValue
	}
	return left / value
}

func late(c candidate) int {
	if c.slack < 0 && !c.step.spec().LongRunning {
		return 1
	}
	return 0
}

// assignReserved starts the waiting tasks of a step with reserved processors.
func (d *Dispatcher) assignReserved(s *step) {
	if d.unmetReserved.covers(s) {
		return
	}
	options := d.newStepOptions(func(w *worker) (cost, share float64, ok bool) {
		if !d.fits(s, w) {
			return 0, 0, false
		}
		return d.reservedCost(s, w), 1, true
	})
	defer options.release(d)
	for _, t := range s.tasks {
		if !d.mayStart(t) || t.suspicion > 0 || d.heldBack(t) {
			continue
		}
		if d.startsLeft <= 0 {
			return
		}
		if !d.quotaAllows(s) {
			d.holdForQuota(s)
			return
		}
		o, ok := options.take(t.avoidWorker)
		if !ok {
			if !d.preemptFor(t) {
				d.unmetReserved.add(s)
			}
			return
		}
		if d.farFactor.enabled() && d.holdForPlace(t, o, options) {
			continue
		}
		d.start(t, o.worker)
		options.putBack(o)
	}
}

// mayStart reports whether the task may start now where there is room for it.
func (d *Dispatcher) mayStart(t *task) bool {
	return t.pending() && !d.exhausted(t) && d.now >= t.readySince
}

// exhausted reports whether the task has failed or crashed its worker too often
// to start again.
func (d *Dispatcher) exhausted(t *task) bool {
	most := t.step.job.workflow.MaxAttempts
	return t.crashing() || !t.step.spec().LongRunning && most > 0 && t.failures() >= most
}

// fits reports whether a task of a step may run on a worker and has room there.
func (d *Dispatcher) fits(s *step, w *worker) bool {
	return d.eligible(s, w) && reservation(s.spec()).Fits(w.free())
}

// eligible reports whether a task of a step may run on a worker, regardless of
// free capacity.
func (d *Dispatcher) eligible(s *step, w *worker) bool {
	spec := s.spec()
	if w.entry.Service != s.job.workflow.Service || !w.acceptsStarts(d.now) {
		return false
	}
	if spec.LongRunning && d.now < w.keptUntil {
		return false
	}
	if spec.Requirement != "" && !slices.Contains(w.entry.Labels, spec.Requirement) {
		return false
	}
	if s.rack != "" && s.rack != w.entry.Rack {
		return false
	}
	if spec.Gang && slices.ContainsFunc(s.tasks, (*task).isolated) && w.unsettled() > 0 {
		return false
	}
	return spec.MaxPerWorker <= 0 || s.spread[w] < spec.MaxPerWorker
}

// avoidanceCost returns the cost of the worker where the task failed last.
func (t *task) avoidanceCost(w *worker) float64 {
	if t.avoidWorker == w {
		return avoidCost
	}
	return 0
}

// bestReserved returns the best worker for a task with reserved processors, or
// nil if none fits. Short tasks go where they leave the least room, so that
// large gaps stay for large tasks; long-running tasks go next to others of
// their image.
func (d *Dispatcher) bestReserved(t *task) *worker {
	var best *worker
	var bestCost float64
	for _, w := range d.workersByID {
		if !d.fits(t.step, w) {
			continue
		}
		cost := d.reservedCost(t.step, w) + t.avoidanceCost(w)
		if best == nil || cost < bestCost {
			best, bestCost = w, cost
		}
	}
	return best
}

const (
	// avoidCost keeps a task from the worker where it failed last if there is
	// another one; larger than the cost of any free capacity.
	avoidCost = 1e6
	// rackCost keeps a task on the rack with its data.
	rackCost = 1e5
	// freeWeight weighs a worker's free processors against the costs and gains
	// below.
	freeWeight = 0.1
	// spreadCost is the cost of each task of the same step on a worker, in
	// millicores.
	spreadCost = 1.5e3
	// mixCost is the cost of each long-running task of another image on a
	// worker, and groupGain the gain of each of the same image, in millicores.
	// Images differ in what interferes with them, so workers with a single
	// image leave room for most best-effort tasks.
	mixCost   = 4e3
	groupGain = 3e3
)

// reservedCost returns the cost of a task of a step on a worker.
func (d *Dispatcher) reservedCost(s *step, w *worker) float64 {
	spec := s.spec()
	cost := float64(w.free().MilliCPU())
	if spec.LongRunning {
		v := w.runView(d.now)
		same := v.longRunning[spec.Image]
		cost = -freeWeight*cost + spreadCost*float64(s.spread[w]) + mixCost*float64(v.total-same) - groupGain*float64(same) +
			d.lastRoom(spec, w)
	}
	if spec.Rack != "" && spec.Rack != w.entry.Rack {
		cost += rackCost
	}
	if len(d.places.wanted) > 0 && d.wants(spec, w) {
		cost += wantedCost
	}
	return cost
}
