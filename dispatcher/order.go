package dispatcher

import (
	"math"
	"time"

	"briarspring"
)

// HandleVerdict processes a worker's verdict on an order.
func (d *Dispatcher) HandleVerdict(now time.Duration, o Order, v briarspring.Verdict) {
	d.now = now
	if v == briarspring.VerdictSuperseded {
		d.logger.Warn("worker accepted a newer token", "worker", o.Worker, "token", d.config.Token)
		d.superseded = true
		return
	}
	w := d.workers[o.Worker]
	if w == nil {
		return
	}
	if o.Kind == OrderStart && v == briarspring.VerdictDone {
		d.noteAccepted(w, o.Start.Run)
	}
	if o.Kind == OrderStart && v != briarspring.VerdictUnanswered {
		w.startSettled(o.Start.Run)
	}
	if o.Kind == OrderStop {
		w.stopAnswered(o.Stop.Run, o.incarnation, v == briarspring.VerdictDone || v == briarspring.VerdictStaleRun)
	}
	r := w.runs[o.Run()]
	if r == nil {
		return
	}
	switch o.Kind {
	case OrderStart:
		d.startAnswered(w, r, v)
	case OrderStop:
		// The next process of the worker knows of no stop.
		if (v == briarspring.VerdictDone || v == briarspring.VerdictStaleRun) && o.incarnation == w.incarnation {
			r.stopAnsweredAt = now
		}
	case OrderPace:
		if v != briarspring.VerdictDone {
			r.paceSent = -1 // Differs from every pace, so that the pace is sent again.
		}
	}
}

func (d *Dispatcher) startAnswered(w *worker, r *run, v briarspring.Verdict) {
	if r.state != runOrdered {
		return
	}
	r.startAnsweredAt = d.now
	w.runsChanged()
	if v == briarspring.VerdictDone {
		r.state = runAlive
		if r.pace != r.paceSent {
			d.sendPace(r)
		}
		return
	}
	d.logger.Warn("start not carried out", "workflow", r.ref.Task.Workflow, "step", r.ref.Task.Step, "index", r.ref.Task.Index,
		"run", r.ref.Run, "worker", w.id, "verdict", v.String())
	if v == briarspring.VerdictStaleRun {
		// A run of this number or a higher one has ended there; its end may not be listed yet.
		r.state, r.unreported = runAlive, true
		return
	}
	if v == briarspring.VerdictUnanswered {
		d.counters.Doubts++
		r.state = runUnanswered
		d.markDirty(r.task.step.job) // For a new owner.
		w.pausedUntil = d.now + startPause
		return
	}
	switch v {
	case briarspring.VerdictUnhealthy, briarspring.VerdictFull:
		w.pausedUntil = d.now + startPause
		r.task.avoidWorker = w
	case briarspring.VerdictUnsent:
		d.counters.Unsent++
		w.pausedUntil = d.now + startPause
	}
	d.removeUnstarted(r)
	if v == briarspring.VerdictInvalid {
		r.task.countFailure(r.ref.Run)
	}
	d.updatePhase(r.task.step.job)
}

// startAt orders the next run of a task at a share of full speed.
func (d *Dispatcher) startAt(t *task, w *worker, share float64) {
	d.setPace(d.start(t, w), percentOf(share))
}

// percentOf converts a share of full speed to percent.
func percentOf(share float64) int { return int(math.Round(fullSpeed * share)) }

// start orders the next run of a task on a worker.
func (d *Dispatcher) start(t *task, w *worker) *run { return d.startRun(t, w, t.lastRun+1) }

// startRun orders a run of a task with a given number on a worker.
func (d *Dispatcher) startRun(t *task, w *worker, number uint32) *run {
	r := &run{
		ref:  briarspring.RunRef{Task: t.ref(), Run: number},
		task: t, worker: w, state: runOrdered, since: d.now, pace: fullSpeed, paceSent: fullSpeed,
	}
	if w.failureStreak >= quarantineFailures {
		w.probe = r
	}
	d.logStart(t, w, number)
	waited := d.now - t.readySince
	d.addRun(r)
	if d.farFactor.enabled() {
		d.endPlaceWait(t, r.far())
	}
	d.counters.Starts++
	d.startsLeft--
	j := t.step.job
	if o := j.organisation; o.name != "" {
		d.countersOf(o).Starts++
	}
	d.markDirty(j)
	d.logger.Info("start", "workflow", j.workflow.ID, "step", t.step.number, "index", t.index, "run", r.ref.Run,
		"worker", w.id, "waited-ms", waited.Milliseconds(), "free", w.free().String(), "checkpoint", t.checkpoint != "", "suspicion", t.suspicion)
	if t.isolated() {
		w.isolatedRun = r
	}
	if t.suspicion > 0 {
		// Sent once it is stored, so that a new owner knows of it.
		d.unsentStarts = append(d.unsentStarts, r)
		return r
	}
	d.sendStart(r)
	return r
}

// sendStart sends the order to start a run.
func (d *Dispatcher) sendStart(r *run) {
	t, w := r.task, r.worker
	r.since = d.now
	r.startBy = w.clockNow(d.now) + startWindow
	w.leaseUntil = max(w.leaseUntil, r.startBy)
	w.leaseCallAt = d.now
	w.startSent(d.now, r.ref)
	d.orders = append(d.orders, Order{
		Kind: OrderStart, Worker: w.id, Address: w.entry.Address,
		Start: briarspring.StartOrder{
			Run: r.ref, Specification: t.step.job.workflow.Specification, Until: r.startBy, Token: d.config.Token, Checkpoint: t.checkpoint,
		},
		incarnation: w.incarnation, clock: w.clock,
	})
}
