package dispatcher

import (
	"cmp"
	"slices"
	"time"

	"github.com/hashicorp/go-hclog"

	"briarspring"
)

const (
	// unansweredDelay is how long after an unanswered start a stop is sent, so
	// that the run cannot start any more; a worker that is only slow lists the
	// run before that.
	unansweredDelay = 250 * time.Millisecond
	// missingTime is how long a run that its worker had accepted must be missing from the
	// worker's lists until it counts as lost: the worker may list its end a moment after
	// it has left the list of what runs. This and the next two count by the worker's
	// clock, since answers may be processed late.
	missingTime = 1500 * time.Millisecond
	// unstartedTime is the same for a start that was not answered and that can't take
	// effect any more. The run may have been alive until it was stopped.
	unstartedTime = 300 * time.Millisecond
	// reportTime is how long after its first answer to a new owner a worker is heard
	// until its report counts as complete, for the same reason.
	reportTime = 100 * time.Millisecond
	// reportSlack makes up for a slow clock and for readings in whole milliseconds.
	reportSlack = 5 * time.Millisecond
	// stopRetryInterval is the time after which a stop without effect is sent
	// again; above the longest stated stop time of 0.9 s.
	stopRetryInterval = 1200 * time.Millisecond
)

// NextRenewal returns the next lease renewal for a worker.
func (d *Dispatcher) NextRenewal(now time.Duration, id string) (briarspring.LeaseRequest, bool) {
	w := d.workers[id]
	if w == nil {
		return briarspring.LeaseRequest{}, false
	}
	w.asked = true
	req := briarspring.LeaseRequest{Token: d.config.Token}
	if !w.fenced {
		// No inherited workflow starts before every worker has answered, so the
		// first renewal does not wait for the end of a run.
		return req, true
	}
	req.Wait = w.renewalWait()
	if w.inherited && !w.reported {
		req.Wait = reportTime + reportSlack
	}
	if w.renewalFailed || w.restartSeenAt > 0 {
		// Extending the lease without an answer would keep it from ever ending, and a deadline
		// by the clock of an earlier process gives the longest lease. An answer at once tells
		// of a new process before a start for the earlier one reaches it.
		req.Wait = 0
		return req, true
	}
	req.LastSeenEnd = w.lastEndStored
	if !d.mayOrder(now) {
		return req, true
	}
	lease := d.leaseLength(now)
	if lease < d.config.Lease {
		req.Wait = min(req.Wait, shortLeaseWait)
	}
	req.Until = w.clockNow(now) + lease
	w.leaseUntil = max(w.leaseUntil, req.Until)
	w.leaseCallAt = now
	return req, true
}

// RenewalFailed records that a renewal failed, and reports whether this is the
// first failure in a row. The worker may have restarted and begun to number its
// ends from the start, so the next renewal must not acknowledge any.
func (d *Dispatcher) RenewalFailed(now time.Duration, id string, v briarspring.Verdict) bool {
	d.now = now
	w := d.workers[id]
	if w == nil {
		return false
	}
	if v == briarspring.VerdictSuperseded {
		d.superseded = true
	}
	if v == briarspring.VerdictOtherIncarnation && !w.gone && d.replaced(w) {
		w.gone = true
		d.needsPlan = true
		d.loseWorker(w, "another process has the worker's address")
	}
	first := !w.renewalFailed
	w.renewalFailed = true
	return first
}

// HasUnstoredEnds reports whether a worker has reported ends that are not in
// the log yet.
func (d *Dispatcher) HasUnstoredEnds(id string) bool {
	w := d.workers[id]
	return w != nil && w.hasUnstoredEnds()
}

// HandleRenewal processes a worker's reply to a renewal that was sent at sent.
func (d *Dispatcher) HandleRenewal(now, sent time.Duration, id string, reply briarspring.LeaseReply) {
	d.now = now
	w := d.workers[id]
	if w == nil || sent < w.acceptedAt {
		// Answers on different connections may overtake each other.
		return
	}
	if w.incarnation != reply.StartedAt {
		d.resetIncarnation(w, sent, reply)
	} else {
		d.clearSuspects(w, 0)
	}
	w.renewalFailed = false
	for _, r := range w.runs {
		r.held = false
	}
	if sent >= w.restartSeenAt {
		w.restartSeenAt = 0
	}
	if !w.fenced {
		d.logger.Info("worker accepted this owner's token", "worker", w.id, "token", d.config.Token, "running", len(reply.Running), "ended", len(reply.Ended))
		d.needsPlan = true
		w.fencedAt, w.heardSince = now, reply.Clock
		// It may have restarted under an earlier owner.
		w.restarted = w.restarted || d.config.Predecessor
	}
	w.fenced = true
	w.clock = reply.Clock
	w.clockAt = now
	w.leaseUntil = max(w.leaseUntil, reply.Clock)
	if w.fencedAt == now && d.config.Predecessor {
		// An earlier owner may have renewed the lease a moment ago.
		w.leaseUntil = max(w.leaseUntil, reply.Clock+d.config.Lease+leaseMargin)
	}
	d.boundFormerCalls(w)
	if now-w.answeredAt >= silenceLimit {
		d.needsPlan = true
	}
	w.answeredAt = now
	w.acceptedAt = max(w.acceptedAt, sent)
	w.moreEnds = reply.MoreEnds
	for _, e := range reply.Ended {
		if e.Number > w.lastEndSeen {
			w.lastEndSeen = e.Number
			w.startSettled(e.Run)
			d.handleEnd(w, e)
		}
	}
	listed := map[briarspring.RunRef]bool{}
	for _, t := range reply.Running {
		listed[t.Run] = true
		w.startSettled(t.Run)
		d.handleRunning(w, sent, t)
	}
	d.checkUnlisted(w, sent, listed)
	d.stopFormerStarts(w)
	if !w.reported && !w.moreEnds && w.clock-w.heardSince >= reportTime {
		w.reported = true
		d.needsPlan = true
	}
	w.runsChanged()
	d.stopStalled(w)
	d.endProbe(w)
	for ref := range w.orphans {
		if !listed[ref] {
			delete(w.orphans, ref)
			d.needsPlan = true
		}
	}
	d.adjustPaces(w)
}

// resetIncarnation resets what was known of the worker before it restarted. Its
// runs are kept until a list without them shows that they are gone.
func (d *Dispatcher) resetIncarnation(w *worker, sent time.Duration, reply briarspring.LeaseReply) {
	first := w.incarnation == 0
	born := d.now - reply.Clock // At the latest.
	if !first {
		d.suspectRuns(w, born)
		d.logger.Warn("worker restarted", "worker", w.id, "born", reply.StartedAt, "before", w.incarnation, "runs", len(w.runs))
	}
	d.clearSuspects(w, born)
	w.startedSince = d.now
	w.heardSince = reply.Clock
	for _, r := range w.runs {
		r.missingSince = 0
	}
	if !first {
		for _, r := range w.runs {
			// A start may still reach the new process, which knows of no stop.
			r.stopSentAt, r.stopAnsweredAt = 0, 0
		}
		// Its clock counts from its start and may be slow.
		w.bornAfter = sent - time.Duration(float64(reply.Clock)*(1+clockSkew)) - leaseMargin
	}
	w.restarted = w.restarted || !first
	w.incarnation = reply.StartedAt
	w.lastEndSeen = 0
	w.lastEndStored = 0
	w.held = nil
	w.failureStreak = 0
	// The restarted worker's clock starts anew, and a renewal computed with the
	// earlier clock may have reached it, so its lease may be of any length up
	// to MaxLease.
	if !first {
		w.leaseUntil = reply.Clock + d.config.MaxLease
	}
}

// handleEnd processes the end of a run.
func (d *Dispatcher) handleEnd(w *worker, e briarspring.EndedTask) {
	j := d.jobs[e.Run.Task.Workflow]
	if d.mustHold(j, e) {
		d.hold(w, e)
		return
	}
	t := j.task(e.Run.Task)
	if t == nil {
		d.logUnknownEnd(w, j, e)
		return
	}
	d.checkEnd(w, t, e)
	d.checkPlace(w, t, e)
	j.newEnds = append(j.newEnds, newEnd{worker: w.id, end: e})
	r := w.runs[e.Run]
	t.lastRun = max(t.lastRun, e.Run.Run)
	d.noteStarted(t, startEnded, e.Run.Run, w.id)
	d.markDirty(j)
	level := hclog.Debug
	if e.End != briarspring.RunDone && (r == nil || !r.stopping) {
		level = hclog.Info
	}
	d.logger.Log(level, "run ended", "workflow", j.workflow.ID, "step", t.step.number, "index", t.index, "run", e.Run.Run,
		"end", e.End.String(), "worker", w.id, "took-ms", r.age(d.now).Milliseconds())
	if e.Checkpoint != "" {
		t.saveCheckpoint(e.Checkpoint)
	}
	switch e.End {
	case briarspring.RunDone:
		if t.step.spec().LongRunning {
			break
		}
		d.counters.Done++
		w.failureStreak = 0
		d.learnRunTime(t, r)
		t.markDone(d.now)
	case briarspring.RunFailed:
		d.counters.Failed++
		t.countFailure(e.Run.Run)
		t.avoidWorker = w
		if r != nil && !r.stopping && t.quickEnds < blameEnds {
			d.countWorkerFailure(w, r)
		}
	}
	d.noteEnd(w, t, r, e)
	if r != nil {
		d.removeRun(r)
	}
	d.delayRestart(t, r, e.End)
	if t.done {
		for _, other := range t.runs {
			d.stop(other, "another copy finished first")
		}
	}
	d.updatePhase(j)
}

// age returns the time since the run was ordered, or zero if the run is nil.
func (r *run) age(now time.Duration) time.Duration {
	if r == nil {
		return 0
	}
	return now - r.since
}

// task returns the task for a reference, or nil if there is none.
func (j *job) task(ref briarspring.TaskRef) *task {
	if j == nil || ref.Step < 0 || ref.Step >= len(j.workflow.Steps) {
		return nil
	}
	if ref.Occurrence < 0 || ref.Occurrence >= j.workflow.Occurrences() {
		return nil
	}
	tasks := j.stepOf(ref.Occurrence, ref.Step).tasks
	if ref.Index < 0 || ref.Index >= len(tasks) {
		return nil
	}
	return tasks[ref.Index]
}

// handleRunning processes the report that a run is alive.
func (d *Dispatcher) handleRunning(w *worker, sent time.Duration, listed briarspring.RunningTask) {
	r := w.runs[listed.Run]
	if r == nil {
		r = d.adopt(w, sent, listed)
	}
	if r == nil {
		return
	}
	if r.state != runAlive {
		if r.state == runUnanswered {
			d.markDirty(r.task.step.job) // The record says that the start is in doubt.
		}
		r.state = runAlive
		r.startAnsweredAt = d.now
	}
	if d.noteStarted(r.task, startListed, listed.Run.Run, w.id) {
		d.updatePhase(r.task.step.job)
	}
	r.unreported, r.missingSince = false, 0
	if !r.listed {
		r.listed = true
		r.progressAt = d.now
	}
	if listed.Checkpoint != "" && listed.Checkpoint != r.checkpoint {
		r.task.saveCheckpoint(listed.Checkpoint)
	}
	r.checkpoint = listed.Checkpoint
	if r.progress != listed.Percent {
		r.progress = listed.Percent
		r.progressAt = d.now
	}
	d.settle(r)
	r.usage = listed.Usage
	r.usageAt = d.now
	if r.task.done || !r.task.local || r.task.step.job.inactive() {
		d.stop(r, "task finished or moved, or workflow ended")
	}
	if r.stopping && d.now-r.stopSentAt > stopRetryInterval {
		d.sendStop(r)
	}
}

// adopt takes over a run that an earlier owner started. A run of an unknown
// task is stopped instead.
func (d *Dispatcher) adopt(w *worker, sent time.Duration, listed briarspring.RunningTask) *run {
	t := d.jobs[listed.Run.Task.Workflow].task(listed.Run.Task)
	if t == nil {
		stopAt, known := w.orphans[listed.Run]
		if !known || d.now-stopAt > stopRetryInterval {
			w.orphans[listed.Run] = d.now
			d.logger.Warn("stopping unknown run", "worker", w.id, "workflow", listed.Run.Task.Workflow, "run", listed.Run.Run)
			d.orders = append(d.orders, Order{
				Kind: OrderStop, Worker: w.id, Address: w.entry.Address,
				Stop: briarspring.StopOrder{Run: listed.Run, Token: d.config.Token},
			})
		}
		return nil
	}
	for _, other := range t.runs {
		if other.state == runUnknown && other.ref == listed.Run {
			d.removeRun(other)
			break
		}
	}
	r := &run{
		ref: listed.Run, task: t, worker: w, state: runAlive, since: d.now, startAnsweredAt: sent,
		progress: listed.Percent, pace: fullSpeed, paceSent: fullSpeed, origin: d.checkReappearance(w, t, listed.Run.Run),
	}
	d.addRun(r)
	d.markDirty(t.step.job)
	d.stopDuplicates(t)
	return r
}

// stopDuplicates stops all but one of the runs of a task that must run once, after one
// appeared that had been taken for lost. The one with most progress goes on.
func (d *Dispatcher) stopDuplicates(t *task) {
	if t.step.spec().Speculative {
		return
	}
	better := func(a, b *run) bool {
		return a.state == runAlive && !a.stopping && cmp.Or(cmp.Compare(b.progress, a.progress), cmp.Compare(a.ref.Run, b.ref.Run)) < 0
	}
	for _, r := range t.runs {
		if slices.ContainsFunc(t.runs, func(o *run) bool { return better(o, r) }) {
			d.stop(r, "another run of the task is alive")
		}
	}
}

// checkUnlisted handles the runs that are missing from a worker's list. A run
// whose start was answered before the list was requested has ended without a
// report: the worker crashed or has dropped the end. While the list of ends is cut
// short, and for a moment in any case, the end may also follow in a later one.
func (d *Dispatcher) checkUnlisted(w *worker, sent time.Duration, listed map[briarspring.RunRef]bool) {
	for ref, r := range w.runs {
		if listed[ref] || r.state == runOrdered {
			continue
		}
		if r.missingSince == 0 && r.startAnsweredAt < sent && (r.state != runUnanswered || w.prevents(r, sent)) {
			r.missingSince = max(w.clock, 1) // Zero means listed.
			r.unreported = r.state == runAlive
		}
		missing := w.clock - r.missingSince
		if r.missingSince == 0 || w.moreEnds {
			missing = 0
		}
		switch {
		case r.state == runUnanswered:
			d.checkUnstarted(r, missing >= unstartedTime)
		case r.state == runUnknown && missing >= missingTime && r.missingSince < d.config.MaxLease:
			// The worker may have restarted since its last renewal by the earlier owner.
			d.suspect(r)
			d.markLost(r, "not listed by the recorded worker, which has restarted")
		case r.state == runUnknown && missing >= missingTime:
			d.markLost(r, "not listed by the recorded worker")
		case r.state == runAlive && r.startAnsweredAt < w.bornAfter:
			d.markLost(r, "the worker has restarted")
		case r.state == runAlive && missing >= missingTime:
			d.markLost(r, "missing from the worker's list")
		}
	}
}

// prevents reports whether a list that was requested at sent shows that an unanswered
// start can't be carried out any more.
func (w *worker) prevents(r *run, sent time.Duration) bool {
	return r.stopAnsweredAt != 0 && r.stopAnsweredAt < sent || w.clock > r.startBy+leaseMargin || w.pendingStarts[r.ref] == nil
}

// checkUnstarted handles a run whose start was not answered and that its worker does
// not list. It is lost once it can't start any more and has been missing for long enough
// since then.
func (d *Dispatcher) checkUnstarted(r *run, sure bool) {
	switch {
	case sure && r.stopAnsweredAt != 0:
		d.markLost(r, "stopped before it started")
	case sure:
		d.markLost(r, "start order expired")
	case !r.stopping && d.now-r.startAnsweredAt > unansweredDelay:
		d.stop(r, "start was not answered")
	case r.stopping && d.now-r.stopSentAt > stopRetryInterval:
		d.sendStop(r)
	}
}

// markLost records that a run is not alive any more although no end was
// reported.
func (d *Dispatcher) markLost(r *run, why string) {
	j := r.task.step.job
	d.counters.Lost++
	d.logger.Info("run lost", "workflow", j.workflow.ID, "step", r.task.step.number, "index", r.task.index,
		"run", r.ref.Run, "worker", r.worker.id, "state", r.state.String(), "listed", r.listed, "age-ms", r.age(d.now).Milliseconds(), "why", why)
	d.noteLost(r, why)
	d.removeRun(r)
	d.markDirty(j)
	d.updatePhase(j)
}

// stop orders the stop of a run, once.
func (d *Dispatcher) stop(r *run, why string) {
	if r.stopping {
		return
	}
	r.stopping, r.stoppedAt = true, d.now
	r.worker.runsChanged()
	d.counters.Stops++
	d.logger.Info("stopping run", "workflow", r.ref.Task.Workflow, "step", r.ref.Task.Step, "index", r.ref.Task.Index,
		"run", r.ref.Run, "worker", r.worker.id, "why", why)
	d.sendStop(r)
}

func (d *Dispatcher) sendStop(r *run) {
	r.stopSentAt = d.now
	d.orders = append(d.orders, Order{
		Kind: OrderStop, Worker: r.worker.id, Address: r.worker.entry.Address,
		Stop: briarspring.StopOrder{Run: r.ref, Token: d.config.Token}, incarnation: r.worker.incarnation,
	})
}

// expireLeases marks as lost all runs on workers whose lease has certainly
// ended, except those that a late start may still begin.
func (d *Dispatcher) expireLeases() {
	for _, w := range d.workersByID {
		if len(w.runs) == 0 || d.now-w.answeredAt < silenceLimit {
			continue
		}
		if !d.leaseEnded(w) {
			continue
		}
		d.loseWorker(w, "the worker's lease ended")
	}
}

// leaseEnded reports whether everything that was alive on a silent worker has
// certainly ended.
func (d *Dispatcher) leaseEnded(w *worker) bool {
	at, ok := d.silentLeaseEnd(w)
	return ok && d.now > at
}
