package dispatcher

import (
	"math"
	"time"

	"briarspring"
)

const (
	// quotaLogInterval is the time after which a step that still waits for quota is
	// logged again.
	quotaLogInterval = 5 * time.Second
	// bestEffortOvercommit is how many times its processors the runs of a worker may
	// declare: best-effort work comes on top of what is reserved.
	bestEffortOvercommit = 2
)

// unlimited is the amount of a dimension without a limit.
const unlimited = math.MaxInt64

// shareOf returns the share of a limit that parts of it are: in each dimension, or
// unlimited where the limit is zero.
func shareOf(limit briarspring.Resources, parts int) briarspring.Resources {
	return eachDimension(limit, func(n int64) int64 {
		if n == 0 {
			return unlimited
		}
		// Divided first, since the product may exceed an int64.
		return n/briarspring.QuotaParts*int64(parts) + n%briarspring.QuotaParts*int64(parts)/briarspring.QuotaParts
	})
}

// eachDimension returns an amount with a function applied to each field.
func eachDimension(r briarspring.Resources, f func(int64) int64) briarspring.Resources {
	return briarspring.NewResources(briarspring.ResourcesConfig{
		MilliCPU: f(r.MilliCPU()), MemoryMiB: f(r.MemoryMiB()), Accelerators: f(r.Accelerators()),
	})
}

// quotaView is what the decision on a start needs to know of an organisation.
type quotaView struct {
	share    briarspring.Resources // Of the limit; unlimited where there is none.
	whole    briarspring.Resources // The limit, likewise.
	used     briarspring.Resources
	possible briarspring.Resources // At most in use by unknown runs; may exceed the share.
}

// allows reports whether tasks that need the same, a single one or all of a gang, may
// start. What is larger than the whole limit by at most one task starts when all parts
// are held here and nothing is in use.
func (v quotaView) allows(task briarspring.Resources, tasks int) bool {
	need := task.Times(int64(tasks))
	total := v.used.Add(need)
	if total.Fits(v.share) {
		// Compared as differences, since what is possible may be close to the largest int64.
		return v.possible.IsZero() || v.possible.Fits(limitedDifference(v.share, total))
	}
	return v.share == v.whole && !need.Fits(v.whole) && task.Times(int64(tasks-1)).Fits(v.whole) &&
		v.used.IsZero() && v.possible.IsZero()
}

// limitedDifference returns share minus used, and unlimited where the share is.
func limitedDifference(share, used briarspring.Resources) briarspring.Resources {
	left := share.Sub(used)
	field := func(share, left int64) int64 {
		if share == unlimited {
			return unlimited
		}
		return left
	}
	return briarspring.NewResources(briarspring.ResourcesConfig{
		MilliCPU:     field(share.MilliCPU(), left.MilliCPU()),
		MemoryMiB:    field(share.MemoryMiB(), left.MemoryMiB()),
		Accelerators: field(share.Accelerators(), left.Accelerators()),
	})
}

// bounded returns the part of what is possible that is within the share: what a
// predecessor may have started beyond the use that is known. Dimensions without a
// limit are zero.
func (v quotaView) bounded() briarspring.Resources {
	left := limitedDifference(v.share, v.used)
	field := func(share, possible, left int64) int64 {
		if share == unlimited {
			return 0
		}
		return max(0, min(possible, left))
	}
	return briarspring.NewResources(briarspring.ResourcesConfig{
		MilliCPU:     field(v.share.MilliCPU(), v.possible.MilliCPU(), left.MilliCPU()),
		MemoryMiB:    field(v.share.MemoryMiB(), v.possible.MemoryMiB(), left.MemoryMiB()),
		Accelerators: field(v.share.Accelerators(), v.possible.Accelerators(), left.Accelerators()),
	})
}

// quotaView returns the view of an organisation as of the last call of updateUnseen.
func (d *Dispatcher) quotaView(o *organisation) quotaView {
	return quotaView{share: o.share, whole: o.whole, used: o.used, possible: d.unseen}
}

// possible returns what runs that are not known yet may use at most.
func (d *Dispatcher) possible(o *organisation) briarspring.Resources { return d.quotaView(o).bounded() }

// quotaAllows reports whether the quota lets the next task of a step start, or all
// tasks of a gang.
func (d *Dispatcher) quotaAllows(s *step) bool {
	tasks := 1
	if s.spec().Gang {
		tasks = s.unfinished
	}
	return d.quotaAllowsTasks(s, tasks)
}

func (d *Dispatcher) quotaAllowsTasks(s *step, tasks int) bool {
	o := s.job.organisation
	if o.name == "" {
		return true
	}
	if !d.organisationsKnown {
		return false
	}
	return o.limit.IsZero() || d.quotaView(o).allows(s.spec().Resources, tasks)
}

// quotaTasks returns how many more tasks of a step the quota lets start, up to a number,
// beside planned ones of its organisation.
func (d *Dispatcher) quotaTasks(s *step, planned briarspring.Resources, most int) int {
	o := s.job.organisation
	switch {
	case o.name == "":
		return most
	case !d.organisationsKnown:
		return 0
	case o.limit.IsZero():
		return most
	}
	v := d.quotaView(o)
	v.used = v.used.Add(planned)
	n := 0
	for n < most && v.allows(s.spec().Resources, 1) {
		v.used = v.used.Add(s.spec().Resources)
		n++
	}
	return n
}

// withinShare reports whether an organisation uses no more than its share, so that a
// run of it that stops may start again.
func (d *Dispatcher) withinShare(o *organisation) bool {
	return o.name == "" || d.organisationsKnown && o.used.Fits(o.share)
}

// maySend reports whether a run whose order waits to be sent is still within the
// quota. The limit may have been lowered meanwhile.
func (d *Dispatcher) maySend(r *run) bool {
	s := r.task.step
	o := s.job.organisation
	alone := 1
	if s.spec().Gang {
		alone = len(s.tasks)
	}
	return d.withinShare(o) || o.parts == briarspring.QuotaParts && o.used == s.spec().Resources.Times(int64(alone))
}

// updateUnseen computes what may be in use by runs that are not known yet: the
// capacity of each worker that has not reported what earlier owners started there,
// with its processors twice, and of each that lists runs of unknown workflows.
func (d *Dispatcher) updateUnseen() {
	all := eachDimension(briarspring.Resources{}, func(int64) int64 { return unlimited })
	d.unseen = briarspring.Resources{}
	if !d.limited {
		return
	}
	if d.config.Predecessor && (!d.workersListed || d.now < d.startsFrom) {
		d.unseen = all // The list of workers may be incomplete.
		return
	}
	for _, w := range d.workersByID {
		if !d.mayHoldUnseen(w) {
			continue
		}
		if w.entry.Capacity.IsZero() {
			d.unseen = all // Known by name only.
			return
		}
		d.unseen = d.unseen.Add(briarspring.NewResources(briarspring.ResourcesConfig{
			MilliCPU:     bestEffortOvercommit * w.entry.Capacity.MilliCPU(),
			MemoryMiB:    w.entry.Capacity.MemoryMiB(),
			Accelerators: w.entry.Capacity.Accelerators(),
		}))
	}
}

// mayHoldUnseen reports whether a worker may run something that is not among its runs.
func (d *Dispatcher) mayHoldUnseen(w *worker) bool {
	return (w.inherited && !w.reported || len(w.orphans) > 0) && !w.gone && !d.leaseEnded(w)
}

// beginQuotaPass prepares the state of organisations for a pass.
func (d *Dispatcher) beginQuotaPass() {
	d.passes++
	d.roomHint = nil
	d.updateUnseen()
	d.noRoom, d.noRoomReserved = unmet{}, unmet{}
	for _, o := range d.held {
		o.waiting = briarspring.Resources{}
	}
	d.held = d.held[:0]
}

// holdForQuota counts and logs the waiting tasks of a step that the quota holds back,
// unless there is no room for them either. Those that more parts would not help are
// logged alone.
func (d *Dispatcher) holdForQuota(s *step) {
	if !d.hasRoom(s) {
		return
	}
	tasks := 0
	for _, t := range s.tasks {
		if d.mayStart(t) {
			tasks++
		}
	}
	if tasks == 0 {
		return
	}
	o := s.job.organisation
	if !d.partsHelp(s) {
		d.logQuotaWait(s, tasks)
		return
	}
	if o.waiting.IsZero() {
		d.held = append(d.held, o)
	}
	o.waiting = o.waiting.Add(s.spec().Resources.Times(int64(tasks)))
	if s.heldInPass == 0 || s.heldInPass < d.passes-1 {
		d.countersOf(o).QuotaWaits += uint64(tasks)
	}
	s.heldInPass = d.passes
	d.logQuotaWait(s, tasks)
}

// partsHelp reports whether a step that the quota holds back could start with more parts
// of the limit. What unknown runs may use grows with the share, so without this a new
// owner would request more and more parts that it can't use, and its tasks would neither
// start nor be transferred until the leases of silent workers have ended.
func (d *Dispatcher) partsHelp(s *step) bool {
	tasks := 1
	if s.spec().Gang {
		tasks = s.unfinished
	}
	v := d.quotaView(s.job.organisation)
	return !d.organisationsKnown || v.possible.IsZero() ||
		v.possible.Fits(limitedDifference(v.whole, v.used.Add(s.spec().Resources.Times(int64(tasks)))))
}

// waitsForQuota reports whether in the last pass only the quota held back tasks of a
// step.
func (d *Dispatcher) waitsForQuota(s *step) bool { return s.heldInPass > 0 && s.heldInPass == d.passes }

// hasRoom reports whether a worker has room for a task of a step. The worker found
// last is tried first, so that a backlog of waiting steps costs little.
func (d *Dispatcher) hasRoom(s *step) bool {
	// Not added to the needs of the pass: a step that finds no room there doesn't stop
	// best-effort work for it either.
	known, unmet := d.noRoomReserved, d.unmetReserved
	if s.spec().BestEffort {
		known, unmet = d.noRoom, d.unmet
	}
	starving := s.spec().BestEffort && s.job.live == 0 && d.now-s.readySince() > starvationTime
	if !starving && (unmet.covers(s) || known.covers(s)) {
		return false
	}
	if d.roomHint != nil && d.roomOn(s, d.roomHint, starving) {
		return true
	}
	for _, w := range d.workersByID {
		if d.roomOn(s, w, starving) {
			d.roomHint = w
			return true
		}
	}
	known.add(s)
	return false
}

// roomOn reports whether a worker has room for a task of a step. Memory that
// best-effort work holds counts as room for a task with reserved processors, which
// may take it.
func (d *Dispatcher) roomOn(s *step, w *worker, starving bool) bool {
	switch {
	case starving:
		return d.fits(s, w)
	case s.spec().BestEffort:
		_, _, ok := d.rateBestEffort(s, w)
		return ok
	}
	free := w.free()
	room := briarspring.NewResources(briarspring.ResourcesConfig{
		MilliCPU: free.MilliCPU(), MemoryMiB: w.entry.Capacity.MemoryMiB(), Accelerators: free.Accelerators(),
	})
	return s.spec().Resources.Fits(room) && d.eligible(s, w)
}

// logQuotaWait logs that tasks of a step wait for quota, when that begins and from time
// to time. The number of lines is limited as for ends without a record.
func (d *Dispatcher) logQuotaWait(s *step, tasks int) {
	if s.quotaLoggedAt != 0 && d.now-s.quotaLoggedAt < quotaLogInterval {
		return
	}
	withheld, ok := d.quotaAudit.allow(d.now)
	if !ok {
		return
	}
	s.quotaLoggedAt = d.now
	o := s.job.organisation
	if !d.organisationsKnown {
		d.logger.Info("tasks wait until quotas are known", "workflow", s.job.workflow.ID, "step", s.number, "organisation", o.name, "tasks", tasks, "withheld", withheld)
		return
	}
	d.logger.Info("tasks wait for quota", "workflow", s.job.workflow.ID, "step", s.number, "organisation", o.name, "tasks", tasks,
		"task", s.spec().Resources.String(), "limit", o.limit.String(), "parts", o.parts, "share", formatShare(o),
		"used", o.used.String(), "possible", d.possible(o).String(), "directory-version", d.directoryVersion, "withheld", withheld)
}

// formatShare returns the share of an organisation for log lines, with zero for no limit.
func formatShare(o *organisation) string {
	return eachDimension(o.share, func(n int64) int64 {
		if n == unlimited {
			return 0
		}
		return n
	}).String()
}
