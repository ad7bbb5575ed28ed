package dispatcher

import (
	"time"

	"briarspring"
)

// lateStartTime is how long after it was sent a start without an answer may still be carried
// out: as long as other calls, and a moment more since it may be sent late.
const lateStartTime = formerCallTime + time.Second

// pendingStart is a start that was sent and that may still be carried out, by the process
// that it was sent to or by the worker's next one. It outlives its run, which is given up
// once the present process has refused the start.
type pendingStart struct {
	sentAt      time.Duration
	incarnation int64 // Process that it was sent to.
	refusedBy   int64 // Last process that has answered a stop of the run.
	stopSentAt  time.Duration
	aliveUntil  time.Duration // Latest end of its run, as an earlier owner recorded it; zero for a start of this owner.
}

// startSent records that a start is on its way.
func (w *worker) startSent(now time.Duration, run briarspring.RunRef) {
	if w.pendingStarts == nil {
		w.pendingStarts = map[briarspring.RunRef]*pendingStart{}
	}
	w.pendingStarts[run] = &pendingStart{sentAt: now, incarnation: w.incarnation}
}

// absentTime is how long the entry of a silent worker must be missing until a long-running
// task doesn't wait for its start any more: the platform takes a worker for gone whose entry
// isn't back within about two seconds.
const absentTime = 2 * time.Second

// lateStartEnd returns the time at which a run whose start is pending on a silent worker has
// certainly ended, or zero if the end of the worker's lease is proof enough. The worker's next
// process, of which nobody may have heard, can carry the start out late. The deadline of the
// start, and of a renewal that arrives after it, is by the clock of the process before, so
// that each gives the longest lease. A step that may run copies doesn't depend on it, and a
// long-running task, which has to be back within seconds, waits only while the worker is
// listed or may be listed again.
func (d *Dispatcher) lateStartEnd(w *worker, r *run) time.Duration {
	p := w.pendingStarts[r.ref]
	if p == nil || w.gone || r.task.step.spec().Speculative {
		return 0
	}
	if r.task.step.spec().LongRunning && d.absent(w) {
		return 0
	}
	afterCall := lateStartTime + time.Duration(float64(d.config.MaxLease)*(1+clockSkew)) + leaseMargin
	end := p.aliveUntil
	if end == 0 {
		end = p.sentAt + afterCall
	}
	if w.leaseCallAt > 0 {
		end = max(end, w.leaseCallAt+afterCall)
	}
	return end
}

// doubtRecordInterval is the time between two records of a kept run, so that a new owner
// waits for little longer than this one would.
const doubtRecordInterval = 4 * time.Second

// doubtLeft returns for how long a run may be alive on a silent worker whose lease has ended,
// or zero if its start was answered or can't be carried out late.
func (d *Dispatcher) doubtLeft(r *run) time.Duration {
	if r.state == runOrdered {
		return 0
	}
	// At least what the record can hold.
	return max(0, (d.lateStartEnd(r.worker, r) - d.now + time.Millisecond).Truncate(time.Millisecond))
}

// startRecorded records that an earlier owner had no answer to a start when it recorded the
// run, which was before now.
func (w *worker) startRecorded(now time.Duration, run briarspring.RunRef, left time.Duration) {
	w.startSent(now, run)
	p := w.pendingStarts[run]
	p.incarnation, p.aliveUntil = 0, now+left
}

// absent reports whether a worker's entry has been missing for absentTime.
func (d *Dispatcher) absent(w *worker) bool {
	return d.workersListed && !w.listed && d.now-max(w.unlistedAt, d.startedAt) >= absentTime
}

// startSettled records that a start was carried out or refused.
func (w *worker) startSettled(run briarspring.RunRef) { delete(w.pendingStarts, run) }

// stopAnswered records the outcome of a stop, which makes a process refuse a start that
// arrives later.
func (w *worker) stopAnswered(run briarspring.RunRef, incarnation int64, done bool) {
	p := w.pendingStarts[run]
	switch {
	case p == nil:
	case done:
		p.refusedBy = incarnation
	default:
		p.stopSentAt = 0 // Sent again with the next reply.
	}
}

// stopFormerStarts stops the runs that starts for a former process of a worker may begin in
// the present one, which knows of no earlier stop. Those of known runs are stopped with
// their run.
func (d *Dispatcher) stopFormerStarts(w *worker) {
	for run, p := range w.pendingStarts {
		switch {
		case d.now-p.sentAt > lateStartTime:
			delete(w.pendingStarts, run)
		case p.incarnation == w.incarnation || p.refusedBy == w.incarnation || w.runs[run] != nil:
		case p.stopSentAt == 0 || d.now-p.stopSentAt > stopRetryInterval:
			p.stopSentAt = d.now
			d.logger.Info("stopping a start for a former process", "workflow", run.Task.Workflow, "step", run.Task.Step, "index", run.Task.Index,
				"run", run.Run, "worker", w.id, "born", w.incarnation, "sent-to", p.incarnation, "age-ms", (d.now - p.sentAt).Milliseconds())
			d.orders = append(d.orders, Order{
				Kind: OrderStop, Worker: w.id, Address: w.entry.Address,
				Stop: briarspring.StopOrder{Run: run, Token: d.config.Token}, incarnation: w.incarnation,
			})
		}
	}
}
