package dispatcher

import (
	"cmp"
	"slices"
	"time"

	"briarspring"
)

const (
	// planInterval is the longest time between two plans; times pass without
	// any event, such as the end of a pause.
	planInterval = 100 * time.Millisecond
	// servingShare of its reservation is what a lasting task is expected to
	// use; the platform's day files state 0.42 with a swing of a half.
	servingShare = 0.45
	// fillLimit is how far declared processors of tasks that fill may exceed
	// what is expected to be idle.
	fillLimit = 1.0
	// estimateRate is the share of an error that one run corrects in the learned
	// ratio of run time to estimate.
	estimateRate = 0.05
	// maxRatio of run time to estimate that one run counts for, so that a run on a
	// standing worker does not outweigh hundreds.
	maxRatio = 10
)

// averages holds the learned ratio of run time to declared time by queue.
type averages map[string]float64

// learnTime corrects the ratio of a queue after a run that is done.
func (d *Dispatcher) learnTime(t *task, r *run) {
	estimate := t.step.spec().Estimate
	if r == nil || estimate <= 0 || r.paceAt != 0 {
		return
	}
	queue := t.step.job.workflow.Queue
	ratio, ok := d.averages[queue]
	if !ok {
		ratio = 1
	}
	measured := min(float64(d.now-r.since)/float64(estimate), maxRatio)
	d.averages[queue] = ratio + estimateRate*(measured-ratio)
}

// expected returns the expected time of the chain of steps from a step on.
func (d *Dispatcher) expected(j *job, step int) time.Duration {
	ratio, ok := d.averages[j.workflow.Queue]
	if !ok {
		ratio = 1
	}
	return time.Duration(ratio * float64(j.workflow.Chain(step)))
}

// Plan decides what is to start now, and returns all orders that are due.
func (d *Dispatcher) Plan(now time.Duration) []Order {
	d.now = now
	d.lapses()
	if d.changed {
		d.changed = false
		d.assign()
		d.clearDraining()
	}
	orders := d.orders
	d.orders = nil
	return orders
}

// Tick makes the next plan look at everything again.
func (d *Dispatcher) Tick() { d.changed = true }

// PlanInterval is the longest time between two plans.
func PlanInterval() time.Duration { return planInterval }

// candidate is a step with tasks that wait.
type candidate struct {
	step  *step
	slack time.Duration // To the objective, after the work that is expected.
	price float64       // Work that is left for each unit of what finishing it is worth.
}

// assign starts waiting tasks on workers.
func (d *Dispatcher) assign() {
	if d.out || !d.listed {
		return
	}
	open := d.open()
	var reserved, filling []candidate
	for _, j := range d.jobs {
		if j.over() || !open && d.inherited(j) {
			continue
		}
		for _, s := range j.steps {
			if s.spec().Gang {
				d.breakPartial(s)
			}
			if s.waiting == 0 || !s.ready(d.now) {
				continue
			}
			c := candidate{step: s, slack: s.due + j.workflow.Objective() - d.now - d.expected(j, s.number)}
			c.price = d.price(s, c.slack)
			if s.spec().Fills {
				filling = append(filling, c)
			} else {
				reserved = append(reserved, c)
			}
		}
	}
	slices.SortFunc(reserved, compareReserved)
	for _, c := range reserved {
		d.assignStep(c.step)
	}
	for _, j := range d.jobs {
		if j.over() || !open && d.inherited(j) {
			continue
		}
		for _, s := range j.steps {
			d.copies(s)
		}
	}
	slices.SortFunc(filling, compareFilling)
	for _, c := range filling {
		d.assignStep(c.step)
	}
}

// assignStep starts the waiting tasks of a step.
func (d *Dispatcher) assignStep(s *step) {
	switch {
	case s.spec().Gang:
		d.assignGang(s)
	case s.spec().Fills:
		d.assignFilling(s)
	default:
		d.assignReserved(s)
	}
}

// compareReserved orders steps whose processors are reserved: by priority, then
// by slack, and what is late already comes last.
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

// compareFilling orders steps that fill: by priority, then by the work that
// brings most. Workflows that are nearly done come before those that have just
// begun, and what is late comes after what is not.
func compareFilling(a, b candidate) int {
	return cmp.Or(
		cmp.Compare(a.step.job.workflow.Priority, b.step.job.workflow.Priority),
		cmp.Compare(a.price, b.price),
		cmp.Compare(a.step.job.workflow.ID, b.step.job.workflow.ID),
		cmp.Compare(a.step.occurrence, b.step.occurrence),
		cmp.Compare(a.step.number, b.step.number),
	)
}

const (
	// baseWorth and workWorth make up what a workflow is worth: a part that all
	// have, and a part in proportion to its work against the mean of its queue, as
	// the platform states it.
	baseWorth = 0.3
	workWorth = 0.7
	// lateWorth is what a workflow is worth that misses its objective, and
	// hopelessWorth what it is worth after three times the objective.
	lateWorth     = 0.15
	hopelessWorth = 0.01
	// lateLimit of the objective, after which finishing brings nothing.
	lateLimit = 3
	// meanRate is the share of a difference by which one workflow moves the mean
	// work of its queue.
	meanRate = 0.05
)

// price returns the work that is left for each unit of worth. It answers bursts
// that can't all be served in time: the processors go to what earns most with
// them, and started workflows finish before new ones dilute them.
func (d *Dispatcher) price(s *step, slack time.Duration) float64 {
	j := s.job
	left := float64(j.work(s.occurrence))
	worth := baseWorth + workWorth*j.size/max(1, d.meanSize[j.workflow.Queue])
	objective := j.workflow.Objective()
	switch {
	case slack+(lateLimit-1)*objective < 0:
		worth *= hopelessWorth
	case slack < 0:
		worth *= lateWorth
	}
	return left / worth
}

func late(c candidate) int {
	if c.slack < 0 && !c.step.spec().Lasting {
		return 1
	}
	return 0
}

// inherited reports whether an earlier owner may have started tasks of the job.
func (d *Dispatcher) inherited(j *job) bool { return d.config.Predecessor && j.offset < d.config.Token }

// open reports whether workflows of the predecessor's time may start: every
// worker that it may have used holds to this owner, or has lost its runs.
func (d *Dispatcher) open() bool {
	if !d.config.Predecessor {
		return true
	}
	if d.now < d.holdStarts {
		return false
	}
	for _, w := range d.order {
		if w.early && !w.fenced && !d.certain(w) {
			return false
		}
	}
	if !d.barrierNoted {
		d.barrierNoted = true
		d.logger.Info("takes over workflows of the earlier owner", "after-ms", (d.now - d.startedAt).Milliseconds(), "workflows", len(d.jobs))
	}
	return true
}

// assignReserved starts the waiting tasks of a step whose processors are
// reserved.
func (d *Dispatcher) assignReserved(s *step) {
	for _, t := range s.tasks {
		if !t.pending() || d.exhausted(t) {
			continue
		}
		w := d.bestReserved(t)
		if w == nil {
			d.makeRoom(t)
			return
		}
		d.start(t, w)
	}
}

// exhausted reports whether the task has failed too often to start again.
func (d *Dispatcher) exhausted(t *task) bool {
	most := t.step.job.workflow.MaxAttempts
	return !t.step.spec().Lasting && most > 0 && t.failures() >= most
}

// fits reports whether a task may run on a worker and has room there.
func (d *Dispatcher) fits(t *task, w *worker) bool {
	return d.eligible(t, w) && reservation(t.step.spec()).Fits(w.free())
}

// eligible reports whether a task may run on a worker, room aside.
func (d *Dispatcher) eligible(t *task, w *worker) bool {
	spec := t.step.spec()
	if w.entry.Service != t.step.job.workflow.Service || !w.takesStarts(d.now) {
		return false
	}
	if spec.Requirement != "" && !slices.Contains(w.entry.Labels, spec.Requirement) {
		return false
	}
	if t.step.within != "" && t.step.within != w.entry.Rack {
		return false
	}
	return spec.MaxPerWorker <= 0 || t.step.spread[w] < spec.MaxPerWorker
}

// bestReserved returns the worker for a task whose processors are reserved, or
// nil. Short tasks go where they leave the least room, so that large holes stay
// for wide ones; lasting tasks go beside others of their image.
func (d *Dispatcher) bestReserved(t *task) *worker {
	var best *worker
	var bestCost float64
	for _, w := range d.order {
		if !d.fits(t, w) {
			continue
		}
		cost := d.reservedCost(t, w)
		if best == nil || cost < bestCost {
			best, bestCost = w, cost
		}
	}
	return best
}

const (
	// avoidCost keeps a task from the worker where it failed last, unless there
	// is no other; larger than the cost of any free capacity.
	avoidCost = 1e6
	// rackCost keeps a task from other racks than the one with its data.
	rackCost = 1e5
	// freeWeight of a worker's free processors against the gains below.
	freeWeight = 0.1
	// spreadCost of each task of the same step on a worker, in thousandths of a
	// core.
	spreadCost = 1.5e3
	// mixCost of each lasting task of another image on a worker and groupGain of
	// each of the same, in thousandths of a core. Images differ in what presses
	// them, so workers with one image leave room for most of what fills.
	mixCost   = 4e3
	groupGain = 3e3
)

// lastingImages returns the numbers of lasting tasks of an image and of others.
func (w *worker) lastingImages(image string) (same, others int) {
	for _, r := range w.runs {
		spec := r.task.step.spec()
		switch {
		case !spec.Lasting:
		case spec.Image == image:
			same++
		default:
			others++
		}
	}
	return same, others
}

func (d *Dispatcher) reservedCost(t *task, w *worker) float64 {
	spec := t.step.spec()
	cost := float64(w.free().MilliCPU())
	if spec.Lasting {
		same, others := w.lastingImages(spec.Image)
		cost = -freeWeight*cost + spreadCost*float64(t.step.spread[w]) + mixCost*float64(others) - groupGain*float64(same)
	}
	if t.avoid == w {
		cost += avoidCost
	}
	if spec.Rack != "" && spec.Rack != w.entry.Rack {
		cost += rackCost
	}
	return cost
}

// assignFilling starts the waiting tasks of a step that fills.
func (d *Dispatcher) assignFilling(s *step) {
	for _, t := range s.tasks {
		if !t.pending() || d.exhausted(t) {
			continue
		}
		w, share := d.chooseFilling(t)
		if w == nil {
			d.explainWaiting(t)
			return
		}
		d.startAt(t, w, share)
	}
}

// chooseFilling returns the worker for a task that fills and the share of full
// speed at which it may work; nil while there is none.
func (d *Dispatcher) chooseFilling(t *task) (*worker, float64) {
	w, share := d.bestFilling(t)
	if w == nil && d.starves(t) {
		return d.leastHarm(t)
	}
	return w, share
}

// explainWaiting logs why no worker takes a task that fills.
func (d *Dispatcher) explainWaiting(t *task) {
	if !d.logger.IsDebug() {
		return
	}
	unfit, busy, pressed := 0, 0, 0
	for _, w := range d.order {
		switch {
		case !d.fits(t, w):
			unfit++
		case w.idle() < float64(t.step.spec().Resources.MilliCPU())*fillLimit:
			busy++
		default:
			pressed++
		}
	}
	d.logger.Debug("task waits", "workflow", t.step.job.workflow.ID, "step", t.step.number, "index", t.index,
		"waited-ms", (d.now - t.readySince).Milliseconds(), "image", t.step.spec().Image, "unfit", unfit, "busy", busy, "pressed", pressed)
}

// idle returns the processors that are expected to be unused on a worker, in
// thousandths of a core.
func (w *worker) idle() float64 {
	reserved := w.reserved.MilliCPU()
	used := float64(reserved-w.serving) + servingShare*float64(w.serving)
	return float64(w.entry.Capacity.MilliCPU()) - used - float64(w.filling)
}

const (
	// leastShare of full speed at which a task that fills is worth starting; it
	// holds the rate of its workflow back below.
	leastShare = 0.4
	// slowCost of a worker on which a task works at no speed, against one whose
	// processors are all in use.
	slowCost = 1.5
	// burdenGain of a worker on which every image presses something, for tasks
	// that press nothing there: they leave the others to those that do elsewhere.
	burdenGain = 0.8
)

// bestFilling returns the worker for a task that fills and the share of full
// speed at which it may work; nil while none has enough idle processors that it
// may use.
func (d *Dispatcher) bestFilling(t *task) (*worker, float64) {
	spec := t.step.spec()
	need := float64(spec.Resources.MilliCPU())
	var best *worker
	var bestCost, bestShare float64
	for _, w := range d.order {
		if !d.fits(t, w) || w.idle() < need*fillLimit {
			continue
		}
		share, burden := d.shareOn(t, w)
		if share < leastShare {
			continue
		}
		cost := d.fillingCost(t, w) + slowCost*(1-share)
		if share == 1 {
			cost -= burdenGain * burden
		}
		if best == nil || cost < bestCost {
			best, bestCost, bestShare = w, cost, share
		}
	}
	return best, bestShare
}

// shareOn returns the share of full speed at which a task that fills could work
// on a worker, and the share of all images that press something there.
func (d *Dispatcher) shareOn(t *task, w *worker) (share, burden float64) {
	if d.config.Pacer == nil {
		return 1, 0
	}
	spec := t.step.spec()
	cores := float64(spec.Resources.MilliCPU()) / briarspring.MilliCPUPerCore
	serving := w.servingTasks(d.now)
	return d.config.Pacer.Share(w.id, spec.Image, cores, serving, w.fillingTasks()), d.config.Pacer.Burden(serving)
}

// fillingCost grows with the share of idle processors that is used.
func (d *Dispatcher) fillingCost(t *task, w *worker) float64 {
	spec := t.step.spec()
	cost := 1 - w.idle()/float64(max(1, w.entry.Capacity.MilliCPU()))
	if t.avoid == w {
		cost += avoidCost
	}
	if spec.Rack != "" && spec.Rack != w.entry.Rack {
		cost++
	}
	return cost
}
