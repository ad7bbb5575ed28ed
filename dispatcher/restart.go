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
