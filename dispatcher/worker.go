package dispatcher

import (
	"cmp"
	"slices"
	"time"

	"briarspring"
)

const (
	// clockSkew is the fraction by which a worker's clock may run slower than
	// this process's; the platform states two percent, the rest covers
	// rounding.
	clockSkew = 0.025
	// leaseMargin covers the rounding of clock readings to milliseconds.
	leaseMargin = 50 * time.Millisecond
	// startWindow limits how late a start order may be carried out, by the
	// worker's clock; below the shortest drain time of 2 s.
	startWindow = 1500 * time.Millisecond
	// silenceLimit is the time without an answer after which a worker gets no
	// starts; above the longest wait of a renewal plus its round trip.
	silenceLimit = 1200 * time.Millisecond
	// startPause is the delay before the next start on a worker after a refused
	// or unanswered one.
	startPause = 500 * time.Millisecond
)

// worker is the owner's state of one worker.
type worker struct {
	id         string
	entry      briarspring.WorkerEntry
	listed     bool
	listedAt   time.Duration // When it last joined the list.
	unlistedAt time.Duration // When it left the list; zero while listed.
	leavesAt   time.Duration // Earliest time at which it leaves; zero unless draining.
	gone       bool          // Another process has its address.
	named      bool          // The inventory of an earlier owner named it when the claim took effect.
	asked      bool          // This owner has asked what it runs.
	inherited  bool          // Known when the claim took effect, so an earlier owner may have used it.

	recorded bool                    // Its record is in the progress stream, so that it may be used.
	record   briarspring.KnownWorker // Its last record, stored or on its way; zero without one.
	inLog    bool                    // The progress stream may name it: until the deletion of its record is stored.

	inheritedRecord bool   // An earlier owner has recorded it.
	recordSince     uint64 // Token of the owner that first did; zero if not known.

	fenced        bool // Has answered under this owner's token in its present incarnation.
	incarnation   int64
	clock         time.Duration // The worker's clock at clockAt.
	clockAt       time.Duration
	leaseUntil    time.Duration // Latest lease deadline ever sent, by the worker's clock.
	leaseCallAt   time.Duration // When the last call with such a deadline was sent.
	answeredAt    time.Duration
	fencedAt      time.Duration // When it first answered.
	heardSince    time.Duration // The worker's clock in its first answer in its present incarnation.
	reported      bool          // Has listed everything that runs or has ended under earlier owners.
	bornAfter     time.Duration // Earliest start of its present incarnation; zero for the first one known.
	restarted     bool          // A call that was meant for its last incarnation may have extended its lease.
	restartSeenAt time.Duration // When its entry, or a start, told of an incarnation that has not answered yet; zero for none.
	acceptedAt    time.Duration // When the last renewal that it accepted was sent.
	startedSince  time.Duration // When its present incarnation first answered.
	lastEndSeen   uint64        // Highest number of an end that was processed.
	lastEndStored uint64        // Highest number of an end that is in the log.
	held          []HeldEnd     // By number.
	moreEnds      bool          // The last reply may lack ends.
	renewalFailed bool          // The next renewal must not acknowledge ends.

	runs           map[briarspring.RunRef]*run
	orphans        map[briarspring.RunRef]time.Duration // Runs of unknown tasks, with the time their stop was sent.
	pendingStarts  map[briarspring.RunRef]*pendingStart
	reserved       briarspring.Resources
	view           *runView // Nil if it has to be computed.
	bestEffortCPU  int64    // Declared millicores of best-effort tasks, scaled by their pace.
	longRunningCPU int64    // Declared millicores of long-running tasks.

	suspects         []suspect // Tasks under which it was lost since its last answer.
	isolatedRun      *run      // Run of an isolated task, until it has settled.
	failureStreak    int       // Failed runs since the last successful one.
	quarantinedUntil time.Duration
	probe            *run
	pausedUntil      time.Duration
	keptUntil        time.Duration // No long-running task starts before; see keepTime.
	slow             float64       // Learned factor of run times; one is normal.
	pacesDecidedAt   time.Duration
	interference     bool // A best-effort task interferes with a long-running one.
}

// worker returns the worker with an ID and adds it if it is unknown.
func (d *Dispatcher) worker(id string) *worker {
	w := d.workers[id]
	if w != nil {
		return w
	}
	w = &worker{
		id: id, runs: map[briarspring.RunRef]*run{}, orphans: map[briarspring.RunRef]time.Duration{}, slow: 1,
	}
	if !d.workersListed && d.config.Predecessor {
		w.inherited = true
	}
	d.workers[id] = w
	i, _ := slices.BinarySearchFunc(d.workersByID, id, func(o *worker, id string) int { return cmp.Compare(o.id, id) })
	d.workersByID = slices.Insert(d.workersByID, i, w)
	return w
}

// SetWorkers applies the platform's list of the data centre's workers, and reports
// whether one joined or left it.
func (d *Dispatcher) SetWorkers(now time.Duration, entries []briarspring.WorkerEntry) (changed bool) {
	d.now = now
	present := map[string]bool{}
	for _, e := range entries {
		present[e.ID] = true
		changed = d.setWorker(e) || changed
	}
	for _, w := range d.workersByID {
		if w.listed && !present[w.id] {
			changed = true
			w.listed = false
			w.unlistedAt = now
			d.needsPlan = true
			d.logger.Info("worker left the list", "worker", w.id, "runs", len(w.runs))
		}
	}
	d.workersListed = true
	d.forgetWorkers()
	return changed
}

// unlistedRetention is how long a worker stays known after it left the list.
// Entries that expire during an outage of the log return within seconds, and if
// the worker had been forgotten, its ends would be processed a second time.
const unlistedRetention = 5 * time.Minute

// forgetWorkers drops workers that left the list long ago and have no runs. It
// bounds memory while hosts are replaced continuously.
func (d *Dispatcher) forgetWorkers() {
	d.workersByID = slices.DeleteFunc(d.workersByID, func(w *worker) bool {
		if w.listed || len(w.runs) > 0 || len(w.orphans) > 0 || w.hasUnstoredEnds() || w.record != (briarspring.KnownWorker{}) || w.unlistedAt == 0 || d.now-w.unlistedAt < unlistedRetention {
			return false
		}
		delete(d.workers, w.id)
		if d.config.Pacer != nil {
			d.config.Pacer.Forget(w.id)
		}
		return true
	})
}

// setWorker applies a worker's entry, and reports whether the worker joined the list.
func (d *Dispatcher) setWorker(e briarspring.WorkerEntry) (joined bool) {
	w := d.worker(e.ID)
	joined = !w.listed || w.entry.Address != e.Address
	if !w.listed {
		d.needsPlan = true
		w.listedAt = d.now
		d.logger.Info("worker listed", "worker", e.ID, "address", e.Address, "capacity", e.Capacity.String(), "rack", e.Rack, "draining", e.Draining)
	} else if e.Draining != w.entry.Draining {
		d.needsPlan = true
		d.logger.Info("worker's state changed", "worker", e.ID, "draining", e.Draining, "remaining-ms", e.Remaining.Milliseconds())
	}
	w.gone = w.gone && e.StartedAt == w.entry.StartedAt && e.Address == w.entry.Address
	if w.incarnation > 0 && e.StartedAt > w.incarnation && e.StartedAt != w.entry.StartedAt {
		w.restartSeenAt = d.now
	}
	w.listed = true
	w.unlistedAt = 0
	w.entry = e
	w.recorded = w.recorded && w.record.Names(w.known()) || !d.config.RecordedOnly
	d.updateLeaveTime(w)
	return joined
}

// Workers returns the addresses of the workers whose leases have to be renewed, by
// ID. A new owner also needs to hear of workers that have left the list, and of ends
// that their worker alone can repeat until they are stored.
func (d *Dispatcher) Workers() map[string]string {
	list := map[string]string{}
	for _, w := range d.workersByID {
		if d.unasked(w) == "" {
			list[w.id] = w.entry.Address
		}
	}
	return list
}

// unasked returns why a worker's lease is not renewed, so that it is not asked what it
// runs, or an empty string if it is.
func (d *Dispatcher) unasked(w *worker) string {
	switch {
	case w.entry.Address == "":
		return "address unknown"
	case w.gone:
		return "another process has its address"
	case w.listed || len(w.runs) > 0 || w.hasUnstoredEnds():
		return ""
	case !w.inherited:
		return "left the list without runs"
	case w.reported:
		return "left the list after its report"
	case d.leaseEnded(w):
		return "lease ended"
	}
	return ""
}

// hasUnstoredEnds reports whether the worker has reported ends that are not in the log
// yet.
func (w *worker) hasUnstoredEnds() bool { return w.lastEndSeen > w.lastEndStored }

// clockNow estimates the present reading of the worker's clock.
func (w *worker) clockNow(now time.Duration) time.Duration { return w.clock + now - w.clockAt }

// free returns the unreserved capacity.
func (w *worker) free() briarspring.Resources { return w.entry.Capacity.Sub(w.reserved) }

// usable reports whether the worker may get starts, apart from quarantine.
func (w *worker) usable(now time.Duration) bool {
	return w.listed && w.recorded && !w.entry.Draining && w.fenced && len(w.orphans) == 0 && !w.renewalFailed && w.restartSeenAt == 0 &&
		now-w.answeredAt < silenceLimit && now >= w.pausedUntil
}

// leaseEnd returns the time at which the lease has certainly ended, unless
// another owner renews it.
func (w *worker) leaseEnd() time.Duration {
	left := w.leaseUntil - w.clock
	return w.clockAt + time.Duration(float64(left)*(1+clockSkew)) + leaseMargin
}

// runState is what is known about whether a run is alive.
type runState uint8

const (
	runOrdered    runState = iota + 1 // The start was sent and is not answered yet.
	runAlive                          // The worker accepted the start or listed the run.
	runUnanswered                     // The start was not answered; the run may be alive.
	runUnknown                        // An earlier owner recorded the run.
)

// String returns the state in kebab case.
func (s runState) String() string {
	names := [...]string{"", "ordered", "alive", "doubt", "unknown"}
	if int(s) < len(names) {
		return names[s]
	}
	return "invalid"
}

// run is one attempt to run a task.
type run struct {
	ref             briarspring.RunRef
	task            *task
	worker          *worker
	state           runState
	origin          runOrigin
	since           time.Duration // When it was ordered.
	startAnsweredAt time.Duration // When the start was answered, or counted as unanswered.
	startBy         time.Duration // Deadline for carrying out the start, by the worker's clock.
	listed          bool          // Was in a list of running tasks.
	missingSince    time.Duration // Since when, by the worker's clock, it is in neither list; zero for listed.
	unreported      bool          // Is not in the list of running tasks any more, and its end may not be listed yet.
	settled         bool          // Was in such a list settleTime after its start.
	held            bool          // Its worker is gone, but its start may still be carried out.
	doubtMarkedAt   time.Duration // When the record was last told for how long.
	stopping        bool
	stoppedAt       time.Duration // When the first stop was sent.
	stopSentAt      time.Duration // When the last stop was sent.
	stopAnsweredAt  time.Duration // When a stop was answered; zero for never.
	checkpoint      string
	progress        int
	progressAt      time.Duration
	usage           float64
	usageAt         time.Duration
	pace            int // Last decision, in percent of full speed.
	paceSent        int // Last pace sent to the worker.
	paceSentAt      time.Duration
	slowedAt        time.Duration // When its pace fell to slowPercent or below.
	paceChangedAt   time.Duration // When its pace last changed.
	bestEffortCPU   int64         // Its part of the worker's bestEffortCPU.
}

const fullSpeed = 100

// addRun reserves what a run needs on its worker.
func (d *Dispatcher) addRun(r *run) {
	r.worker.runs[r.ref] = r
	r.bestEffortCPU = r.worker.reserve(r.task.step.spec())
	r.task.attachRun(r)
	r.task.step.job.organisation.countRun(r, 1)
	r.worker.runAdded(r)
	d.needsPlan = true
}

// reserve reserves what a task needs and returns its part of the worker's
// bestEffortCPU.
func (w *worker) reserve(spec *briarspring.Step) (bestEffortCPU int64) {
	w.reserved = w.reserved.Add(reservation(spec))
	if spec.BestEffort {
		bestEffortCPU = spec.Resources.MilliCPU()
	}
	w.bestEffortCPU += bestEffortCPU
	if spec.LongRunning {
		w.longRunningCPU += spec.Resources.MilliCPU()
	}
	return bestEffortCPU
}

// release frees what a task has reserved, including its part of the worker's
// bestEffortCPU.
func (w *worker) release(spec *briarspring.Step, bestEffortCPU int64) {
	w.reserved = w.reserved.Sub(reservation(spec))
	w.bestEffortCPU -= bestEffortCPU
	if spec.LongRunning {
		w.longRunningCPU -= spec.Resources.MilliCPU()
	}
}

// removeRun frees what a run has reserved.
func (d *Dispatcher) removeRun(r *run) {
	w := r.worker
	delete(w.runs, r.ref)
	w.runsChanged()
	w.release(r.task.step.spec(), r.bestEffortCPU)
	if w.probe == r {
		w.probe = nil
	}
	if w.isolatedRun == r {
		w.isolatedRun = nil
	}
	r.task.detachRun(d.now, r)
	r.task.step.job.organisation.countRun(r, -1)
	d.needsPlan = true
}

// reservation returns what a task reserves of a worker's capacity. Best-effort
// tasks reserve no processors.
func reservation(s *briarspring.Step) briarspring.Resources {
	if !s.BestEffort {
		return s.Resources
	}
	return briarspring.NewResources(briarspring.ResourcesConfig{
		MemoryMiB: s.Resources.MemoryMiB(), Accelerators: s.Resources.Accelerators(),
	})
}
