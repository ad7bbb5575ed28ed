package dispatcher

import (
	"slices"
	"time"

	"briarspring"
)

// authorityTime is how long an owner may go on after the last sign that no newer one
// has taken over; above the longest time between two renewals of a lease.
const authorityTime = 1500 * time.Millisecond

const (
	// shortLease is the length of a lease while no heartbeat could be stored lately. A
	// successor can't see when the last one of these was given, so it waits for a whole one.
	shortLease = 2 * time.Second
	// shortLeaseWait is how long a renewal waits for the end of a run meanwhile, so that a
	// lease outlasts a renewal that fails and the next one, which names no deadline.
	shortLeaseWait = 220 * time.Millisecond
)

// ProgressWritten records that an append of progress that was sent at a time has
// succeeded. A newer owner fences the stream first, so none had taken over by then.
func (d *Dispatcher) ProgressWritten(sent time.Duration) {
	d.progressWrittenAt = max(d.progressWrittenAt, sent)
}

// HeartbeatWritten records that a heartbeat that was sent at a time was stored. Every host
// reads those, so that a successor knows when the owner can last have given a full lease.
func (d *Dispatcher) HeartbeatWritten(sent time.Duration) {
	d.heartbeatWrittenAt = max(d.heartbeatWrittenAt, sent)
}

// Predecessors is what the log says of the earlier owners that may have given leases.
type Predecessors struct {
	// ShortLeases is true if all that may still give orders give short leases unless they
	// have stored a heartbeat lately, see Config.ShortLeases.
	ShortLeases   bool
	LastHeartbeat time.Duration // When the last one of their heartbeats was read.
	ReadTo        time.Duration // A time before which all that was stored has been read.
	Tokens        []uint64      // Of those that may still give orders.
}

// SetPredecessors sets what the log says of the earlier owners.
func (d *Dispatcher) SetPredecessors(s Predecessors) { d.predecessors = s }

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

// leaseLength returns the length of the leases that the owner gives. They are short unless
// both progress and a heartbeat were stored lately: a successor fences the progress stream
// and reads the heartbeats, so that it knows when the last full lease was given.
func (d *Dispatcher) leaseLength(now time.Duration) time.Duration {
	if !d.config.ShortLeases || now-min(d.progressWrittenAt, d.heartbeatWrittenAt) <= authorityTime {
		return d.config.Lease
	}
	return min(shortLease, d.config.Lease)
}

// mostAccept reports whether most workers have lately accepted the owner's token. One that
// has restarted since the last append of progress has forgotten the token of a newer owner.
// Most are more than three fifths of the workers that the log may name, so that a newer
// owner that holds two fifths of those knows that the earlier one doesn't.
func (d *Dispatcher) mostAccept(now time.Duration) bool {
	counted, accepting := 0, 0
	for _, w := range d.workersByID {
		named, usable := w.inLog, w.recorded
		if !d.config.ShortLeases {
			named = w.listed && !w.gone
			usable = named
		}
		if !named {
			continue
		}
		counted++
		if usable && now-w.acceptedAt <= authorityTime && w.startedSince <= d.progressWrittenAt {
			accepting++
		}
	}
	if d.config.ShortLeases {
		return 5*accepting > 3*counted
	}
	return 2*accepting > counted
}

// updateMostFenced notes when enough of the inherited workers have accepted this owner's
// token or are gone, so that no earlier owner can reach most workers any more.
func (d *Dispatcher) updateMostFenced() {
	if d.mostFencedAt > 0 || !d.workersListed {
		return
	}
	enough := d.fencedShare()
	if d.predecessors.ShortLeases {
		enough = !slices.ContainsFunc(d.predecessors.Tokens, func(token uint64) bool { return !d.excludes(token) })
	}
	if enough {
		d.mostFencedAt = d.now
		d.logger.Info("no earlier owner can reach most workers", "after-ms", (d.now - d.startedAt).Milliseconds(),
			"short-leases", d.predecessors.ShortLeases, "predecessors", len(d.predecessors.Tokens))
	}
}

// fencedShare reports whether two thirds of the inherited workers are fenced or gone: more
// than half, since owners of an earlier version count the workers that they see listed, which
// may be a few less or more.
func (d *Dispatcher) fencedShare() bool {
	inherited, fenced := 0, 0
	for _, w := range d.workersByID {
		if w.inherited {
			inherited++
			if w.fenced || w.gone {
				fenced++
			}
		}
	}
	return inherited > 0 && 3*fenced >= 2*inherited
}

// excludes reports whether two fifths of the workers that the owner with a token has recorded,
// or found recorded, are fenced or gone. Later owners have removed only those from the
// record that had accepted their token, or whose lease had ended.
func (d *Dispatcher) excludes(token uint64) bool {
	recorded, fenced := 0, 0
	for _, w := range d.workersByID {
		if w.inheritedRecord && w.recordSince <= token {
			recorded++
			if w.fenced || w.gone {
				fenced++
			}
		}
	}
	return 5*fenced >= 2*recorded
}

// predecessorLeaseEnd returns the time at which all leases that earlier owners gave a worker
// have certainly ended, or false while that is not known. They end when the owners are known
// to be gone, or when those that are not have yielded. One that is known to be gone only
// because a later process has its name must have yielded as well.
func (d *Dispatcher) predecessorLeaseEnd(w *worker) (time.Duration, bool) {
	end, known := time.Duration(0), d.predecessorsGone
	if known {
		end = d.leaseEndAfter(w, d.predecessorsGoneAt)
	}
	if d.predecessorsYield && d.mostFencedAt > 0 {
		yielded := d.leaseEndAfter(w, max(d.mostFencedAt, d.startedAt)+authorityTime+leaseMargin)
		switch {
		case known && d.nameTaken:
			end = max(end, yielded)
		case !known || yielded < end:
			end, known = yielded, true
		}
	}
	return end, known
}

// leaseEndAfter returns when the last lease of a worker ends if no earlier owner has given
// one after a time.
func (d *Dispatcher) leaseEndAfter(w *worker, last time.Duration) time.Duration {
	after := func(from, lease time.Duration) time.Duration {
		return from + time.Duration(float64(lease)*(1+clockSkew)) + leaseMargin
	}
	switch {
	case w.restarted:
		// A call for its earlier process, by that one's clock, gives the longest lease.
		return after(last, d.config.MaxLease)
	case !d.predecessors.ShortLeases:
		return after(last, d.config.Lease)
	}
	full := min(last, d.lastFullLease())
	return max(after(full, d.config.Lease), after(last, min(shortLease, d.config.Lease)))
}

// lastFullLease returns the time after which no earlier owner that gives short leases can
// have given a full one. That takes a heartbeat and progress of the last authorityTime, and
// no progress was stored any more when this owner started.
func (d *Dispatcher) lastFullLease() time.Duration {
	last := d.startedAt
	if s := d.predecessors; s.ReadTo >= d.startedAt+authorityTime {
		last = min(last, s.LastHeartbeat)
	}
	return last + authorityTime + leaseMargin
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
	return d.predecessorLeaseEnd(w)
}
