package dispatcher

import (
	"time"

	"briarspring"
)

// authorityTime is how long an owner may go on after the last sign that no newer one
// has taken over; above the longest time between two renewals of a lease.
const authorityTime = 1500 * time.Millisecond

// ProgressWritten records that an append of progress that was sent at a time has
// succeeded. A newer owner fences the stream first, so none had taken over by then.
func (d *Dispatcher) ProgressWritten(sent time.Duration) {
	d.progressWrittenAt = max(d.progressWrittenAt, sent)
}

// SetPredecessorsYield sets whether the earlier owners that may still give orders yield
// when they have lost their authority.
func (d *Dispatcher) SetPredecessorsYield(yield bool) { d.predecessorsYield = yield }

// SetPredecessorsNameTaken sets whether some earlier owner is known to be gone only
// because a later process has its name.
func (d *Dispatcher) SetPredecessorsNameTaken(taken bool) { d.nameTaken = taken }

// mayOrder reports whether the owner may extend leases and start tasks. Once a newer
// owner has fenced the progress stream and most of the workers, an owner that is cut
// off from the log meets neither condition, so that the newer one knows when the last
// leases end.
func (d *Dispatcher) mayOrder(now time.Duration) bool {
	return !d.config.Yields || now-d.progressWrittenAt <= authorityTime || d.mostAccept(now)
}

// mostAccept reports whether more than half of the listed workers have lately accepted
// the owner's token. One that has restarted since the last append of progress has
// forgotten the token of a newer owner.
func (d *Dispatcher) mostAccept(now time.Duration) bool {
	listed, accepting := 0, 0
	for _, w := range d.workersByID {
		if !w.listed || w.gone {
			continue
		}
		listed++
		if now-w.acceptedAt <= authorityTime && w.startedSince <= d.progressWrittenAt {
			accepting++
		}
	}
	return 2*accepting > listed
}

// updateMostFenced notes when two thirds of the inherited workers have accepted this
// owner's token or are gone. It is more than half, since the earlier owner may have
// known a few workers less or more.
func (d *Dispatcher) updateMostFenced() {
	if d.mostFencedAt > 0 || !d.workersListed {
		return
	}
	inherited, fenced := 0, 0
	for _, w := range d.workersByID {
		if w.inherited {
			inherited++
			if w.fenced || w.gone {
				fenced++
			}
		}
	}
	if inherited > 0 && 3*fenced >= 2*inherited {
		d.mostFencedAt = d.now
	}
}

// predecessorLeaseEnd returns the time at which all leases of a length given by earlier
// owners have certainly ended, or false while that is not known. They end when the owners
// are known to be gone, or when those that are not have yielded. One that is known to be
// gone only because a later process has its name must have yielded as well.
func (d *Dispatcher) predecessorLeaseEnd(lease time.Duration) (time.Duration, bool) {
	end, known := d.predecessorsGoneAt, d.predecessorsGone
	if d.predecessorsYield && d.mostFencedAt > 0 {
		yielded := max(d.mostFencedAt, d.startedAt) + authorityTime + leaseMargin
		switch {
		case known && d.nameTaken:
			end = max(end, yielded)
		case !known || yielded < end:
			end, known = yielded, true
		}
	}
	return end + time.Duration(float64(lease)*(1+clockSkew)) + leaseMargin, known
}

// Silent returns the workers that do not answer, each with the time left until
// its lease, and with it every run there, has certainly ended. It omits workers
// whose lease an earlier owner may still renew.
func (d *Dispatcher) Silent(now time.Duration) []briarspring.SilentWorker {
	var list []briarspring.SilentWorker
	for _, w := range d.workersByID {
		if w.fenced && now-w.answeredAt < silenceLimit {
			continue
		}
		if at, ok := d.silentLeaseEnd(w); ok {
			list = append(list, briarspring.SilentWorker{Worker: w.id, LeaseLeft: max(0, at-now)})
		}
	}
	return list
}

// silentLeaseEnd returns the time at which the lease of a silent worker has
// certainly ended, or false while an earlier owner may still renew it.
func (d *Dispatcher) silentLeaseEnd(w *worker) (time.Duration, bool) {
	if w.fenced {
		return max(w.leaseEnd(), d.unheardLeaseEnd(w)), true
	}
	if at, ok := d.silentLeaseEnds[w.id]; ok {
		return at, true
	}
	if w.restarted {
		return d.predecessorLeaseEnd(d.config.MaxLease)
	}
	return d.predecessorLeaseEnd(d.config.Lease)
}
