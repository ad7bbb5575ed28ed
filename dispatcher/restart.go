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

// unheardLeaseEnd returns the time at which the lease of an incarnation of a worker that has
// not answered yet has certainly ended, if the worker's entry tells of one. From then on
// nothing that extends a lease is sent to it.
func (d *Dispatcher) unheardLeaseEnd(w *worker) time.Duration {
	if w.restartSeenAt == 0 {
		return 0
	}
	return w.restartSeenAt + time.Duration(float64(d.config.MaxLease)*(1+clockSkew)) + leaseMargin
}
