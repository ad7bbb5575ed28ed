package scheduler

import (
	"time"

	"briarspring"
)

const (
	// maxKeptDecisions limits the decisions kept in memory.
	maxKeptDecisions = 8192
	// watcherQueueLength is the number of decisions buffered for a watcher.
	watcherQueueLength = 1024
)

// Decision describes one decision of the scheduler and its reason.
type Decision struct {
	Time            time.Time
	Kind            string
	Attempt         briarspring.AttemptID
	Name            string // Name of the workload.
	Worker          string
	Reason          string
	LatencyRatio    float64 // Tail latency divided by its baseline, if that was the reason.
	RejectedWorkers []string
}

// decisionLog keeps the latest decisions and sends new ones to watchers.
type decisionLog struct {
	ring     []Decision
	nextSlot int
	watchers map[chan Decision]struct{}
}

func (d *decisionLog) init() { d.watchers = map[chan Decision]struct{}{} }

func (d *decisionLog) add(x Decision) {
	if len(d.ring) < maxKeptDecisions {
		d.ring = append(d.ring, x)
	} else {
		d.ring[d.nextSlot] = x
	}
	d.nextSlot = (d.nextSlot + 1) % maxKeptDecisions
	for w := range d.watchers {
		select {
		case w <- x:
		default: // A slow watcher misses decisions rather than blocking the scheduler.
		}
	}
}

// newest returns up to n matching decisions, newest first.
func (d *decisionLog) newest(n int, match func(Decision) bool) []Decision {
	var out []Decision
	for i := range d.ring {
		x := d.ring[(d.nextSlot-1-i+2*len(d.ring))%len(d.ring)]
		if match(x) {
			out = append(out, x)
		}
		if len(out) == n {
			break
		}
	}
	return out
}

// recordDecision logs a decision and keeps it for explanations.
func (s *Scheduler) recordDecision(d Decision) {
	d.Time = time.Now()
	if c := s.conf.Workload(d.Attempt.Task.Workload); c != nil && d.Name == "" {
		d.Name = c.Name()
	}
	args := []any{
		"workload", d.Name, "index", d.Attempt.Task.Index, "attempt", d.Attempt.Attempt,
		"worker", d.Worker, "reason", d.Reason,
	}
	if d.LatencyRatio > 0 {
		args = append(args, "ratio", d.LatencyRatio)
	}
	if len(d.RejectedWorkers) > 0 {
		args = append(args, "rejected", d.RejectedWorkers)
	}
	s.logger.Info("decision "+d.Kind, args...)
	s.decisions.add(d)
}

func (s *Scheduler) workerName(number uint32) string {
	if w := s.placement.Worker(number); w != nil {
		return w.Name()
	}
	return ""
}

// waitingReasons records why workloads wait and when one of their tasks last
// found no room.
type waitingReasons struct {
	reasons     map[briarspring.WorkloadID]string
	lastBlocked map[briarspring.WorkloadID]time.Time
	idleSince   map[briarspring.WorkloadID]time.Time // Since when no task of a waiting workload runs here.
}

// probeAfter is how long a job without a running task waits here before one of
// its tasks may start at the lowest throttle beside a service that it is
// expected to slow too much. Only a running task can correct the estimate; its
// decay alone takes minutes.
const probeAfter = 8 * time.Second

// mayProbe reports whether a waiting workload has had no running task for long
// enough to start one as a probe.
func (w *waitingReasons) mayProbe(id briarspring.WorkloadID, now time.Time, placed uint32) bool {
	if placed > 0 {
		delete(w.idleSince, id)
		return false
	}
	since, ok := w.idleSince[id]
	if !ok {
		w.idleSince[id] = now
		return false
	}
	return now.Sub(since) > probeAfter
}

func (w *waitingReasons) init() {
	w.idleSince = map[briarspring.WorkloadID]time.Time{}
	w.reasons = map[briarspring.WorkloadID]string{}
	w.lastBlocked = map[briarspring.WorkloadID]time.Time{}
}

// record stores why a workload waits and reports whether the reason is new.
func (w *waitingReasons) record(id briarspring.WorkloadID, reason string) bool {
	isNew := w.reasons[id] != reason
	w.reasons[id] = reason
	w.lastBlocked[id] = time.Now()
	return isNew
}

func (w *waitingReasons) clear(id briarspring.WorkloadID) { delete(w.reasons, id) }

// forget removes the entries of a workload that has ended.
func (w *waitingReasons) forget(id briarspring.WorkloadID) {
	delete(w.reasons, id)
	delete(w.lastBlocked, id)
	delete(w.idleSince, id)
}

func (w *waitingReasons) reason(id briarspring.WorkloadID) string { return w.reasons[id] }

// blockedWithin reports whether a task of the workload found no room within the
// given time, even if other tasks of it have started since.
func (w *waitingReasons) blockedWithin(id briarspring.WorkloadID, now time.Time, within time.Duration) bool {
	at, ok := w.lastBlocked[id]
	return ok && now.Sub(at) < within
}
