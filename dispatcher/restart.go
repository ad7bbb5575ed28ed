package dispatcher

import "time"

// formerCallTime is how long after its start a worker may carry out calls that were meant
// for the process that had its ID before. Deadlines in these calls are times by that
// process's clock, which was far ahead, so that they give the longest lease.
const formerCallTime = 12 * time.Second

// boundFormerCalls takes into account that calls which were meant for a worker's earlier
// process may have extended the lease of the present one.
func (d *Dispatcher) boundFormerCalls(w *worker) {
	switch {
	case !w.restarted:
	case w.clock > formerCallTime+d.config.MaxLease:
		w.restarted = false
	default:
		w.leaseUntil = max(w.leaseUntil, min(w.clock, formerCallTime)+d.config.MaxLease)
	}
}

// HandleOrderClock processes the worker's clock in the answer to a start, zero if it is not
// known. A reading before the last one known when the start was sent is of a next process,
// which has given the longest lease, as the deadline was by the clock of the one before.
func (d *Dispatcher) HandleOrderClock(now time.Duration, o Order, clock time.Duration) {
	d.now = now
	w := d.workers[o.Worker]
	if w == nil || clock == 0 || clock >= o.clock || o.incarnation != w.incarnation {
		return
	}
	d.logger.Info("start answered by a process of the worker that has not been heard", "worker", w.id, "workflow", o.Start.Run.Task.Workflow,
		"run", o.Start.Run.Run, "clock-ms", clock.Milliseconds(), "known-ms", o.clock.Milliseconds(), "born", w.incarnation)
	w.restartSeenAt = now
	d.needsPlan = true
}

// unheardLeaseEnd returns the time at which the lease of an incarnation of a worker that has
// not answered a renewal yet has certainly ended, if the worker's entry or the answer to a
// start tells of one. From then on nothing that extends a lease is sent to it.
func (d *Dispatcher) unheardLeaseEnd(w *worker) time.Duration {
	if w.restartSeenAt == 0 {
		return 0
	}
	return w.restartSeenAt + time.Duration(float64(d.config.MaxLease)*(1+clockSkew)) + leaseMargin
}
