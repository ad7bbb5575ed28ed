package dispatcher

// bestEffortLimit is how many idle processors a best-effort task needs, as a
// multiple of those it declares.
const bestEffortLimit = 1.0

// assignBestEffort starts the waiting tasks of a best-effort step.
func (d *Dispatcher) assignBestEffort(s *step) {
	var options *stepOptions
	for _, t := range s.tasks {
		if !d.mayStart(t) || t.suspicion > 0 {
			continue
		}
		if d.startsLeft <= 0 {
			return
		}
		if !d.quotaAllows(s) {
			d.holdForQuota(s)
			return
		}
		if options == nil {
			options = d.bestEffortOptions(s)
			defer options.release(d)
		}
		if o, ok := options.take(t.avoidWorker); ok {
			if d.farFactor.enabled() && d.holdForPlace(t, o, options) {
				continue
			}
			d.startAt(t, o.worker, o.share)
			options.putBack(o)
			continue
		}
		d.unmet.add(s)
		w, share := d.starvedWorker(t)
		if w == nil {
			d.logWaiting(t)
			return
		}
		d.startAt(t, w, share)
	}
}

// bestEffortOptions returns the workers for the tasks of a best-effort step,
// none if a step that needs no more found none in this pass.
func (d *Dispatcher) bestEffortOptions(s *step) *stepOptions {
	if d.unmet.covers(s) {
		return &stepOptions{heap: d.optionBuffer[:0]}
	}
	return d.newStepOptions(func(w *worker) (cost, share float64, ok bool) { return d.rateBestEffort(s, w) })
}

// starvedWorker returns the fastest worker for a starving task, however slow it
// is, and the share of full speed there.
func (d *Dispatcher) starvedWorker(t *task) (*worker, float64) {
	if !d.starving(t) {
		return nil, 0
	}
	return d.fastestWorker(t)
}

// chooseBestEffort returns the worker for a best-effort task and the share of
// full speed at which it may work, or nil if there is none. A starving task
// takes the fastest worker even if it is slow.
func (d *Dispatcher) chooseBestEffort(t *task) (*worker, float64) {
	w, share := d.cheapestBestEffort(t)
	if w == nil {
		return d.starvedWorker(t)
	}
	return w, share
}

// logWaiting logs why no worker takes a best-effort task.
func (d *Dispatcher) logWaiting(t *task) {
	if !d.logger.IsDebug() {
		return
	}
	noFit, busy, interfering := 0, 0, 0
	for _, w := range d.workersByID {
		switch {
		case !d.fits(t.step, w):
			noFit++
		case w.idle() < float64(t.step.spec().Resources.MilliCPU())*bestEffortLimit:
			busy++
		default:
			interfering++
		}
	}
	d.logger.Debug("task waits", "workflow", t.step.job.workflow.ID, "step", t.step.number, "index", t.index,
		"waited-ms", (d.now - t.readySince).Milliseconds(), "image", t.step.spec().Image, "unfit", noFit, "busy", busy, "pressed", interfering)
}

// idle returns the processors of a worker that are expected to be unused, in
// millicores.
func (w *worker) idle() float64 {
	reserved := w.reserved.MilliCPU()
	used := float64(reserved-w.longRunningCPU) + longRunningUsage*float64(w.longRunningCPU)
	return float64(w.entry.Capacity.MilliCPU()) - used - float64(w.bestEffortCPU)
}

const (
	// minShare is the lowest share of full speed at which a best-effort task is
	// worth starting; a slower task holds back the rate of its workflow.
	minShare = 0.4
	// slowdownCost is the cost of a worker on which a task makes no progress; a
	// worker whose processors are all in use costs one.
	slowdownCost = 1.5
	// interferenceGain is the gain of a worker on which every image interferes
	// with something, for tasks that interfere with nothing there: they leave
	// the other workers to tasks that do.
	interferenceGain = 0.8
)

// rateBestEffort returns the cost of a best-effort task on a worker and the share
// of full speed at which it may work there, or false if the worker does not have
// enough idle processors that it may use. The cost grows with the share of
// processors in use.
func (d *Dispatcher) rateBestEffort(s *step, w *worker) (cost, share float64, ok bool) {
	spec := s.spec()
	if !d.fits(s, w) || w.idle() < float64(spec.Resources.MilliCPU())*bestEffortLimit {
		return 0, 0, false
	}
	share = d.speedFraction(w, spec.Image, spec.Resources.MilliCPU())
	if share < minShare {
		return 0, 0, false
	}
	cost = 1 - w.idle()/float64(max(1, w.entry.Capacity.MilliCPU())) + slowdownCost*(1-share)
	if share == 1 {
		cost -= interferenceGain * d.interferingFraction(w)
	}
	if spec.Rack != "" && spec.Rack != w.entry.Rack {
		cost += d.farCost()
	}
	if len(d.places.wanted) > 0 && d.wants(spec, w) {
		cost += wantedGain
	}
	return cost, share, true
}

// cheapestBestEffort returns the worker for a best-effort task and the share of
// full speed at which it may work, or nil if no worker takes it.
func (d *Dispatcher) cheapestBestEffort(t *task) (*worker, float64) {
	var best *worker
	var bestCost, bestShare float64
	for _, w := range d.workersByID {
		cost, share, ok := d.rateBestEffort(t.step, w)
		if !ok {
			continue
		}
		cost += t.avoidanceCost(w)
		if best == nil || cost < bestCost {
			best, bestCost, bestShare = w, cost, share
		}
	}
	return best, bestShare
}
