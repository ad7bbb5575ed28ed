package scheduler

import (
	"time"

	"briarspring"
)

const (
	// decisionsKept bounds the remembered decisions.
	decisionsKept = 8192
	// watcherQueue bounds the decisions that a slow watcher is behind.
	watcherQueue = 1024
)

// Decision is one decision of the scheduler with its reasons.
type Decision struct {
	Time     time.Time
	Kind     string
	Attempt  briarspring.AttemptID
	Name     string // Of the workload.
	Worker   string
	Reason   string
	Ratio    float64 // Tail latency to baseline, where that was the reason.
	Rejected []string
}

// decisionLog keeps the last decisions and hands them to watchers.
type decisionLog struct {
	ring     []Decision
	next     int
	watchers map[chan Decision]struct{}
}

func (d *decisionLog) init() { d.watchers = map[chan Decision]struct{}{} }

func (d *decisionLog) add(x Decision) {
	if len(d.ring) < decisionsKept {
		d.ring = append(d.ring, x)
	} else {
		d.ring[d.next] = x
	}
	d.next = (d.next + 1) % decisionsKept
	for w := range d.watchers {
		select {
		case w <- x:
		default: // A watcher that is too slow misses decisions.
		}
	}
}

// last returns up to n decisions that match, newest first.
func (d *decisionLog) last(n int, match func(Decision) bool) []Decision {
	var out []Decision
	for i := range d.ring {
		x := d.ring[(d.next-1-i+2*len(d.ring))%len(d.ring)]
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
	if d.Ratio > 0 {
		args = append(args, "ratio", d.Ratio)
	}
	if len(d.Rejected) > 0 {
		args = append(args, "rejected", d.Rejected)
	}
	s.logger.Info("decision "+d.Kind, args...)
	s.decisions.add(d)
}

func (s *Scheduler) workerName(number uint32) string {
	if w := s.place.Worker(number); w != nil {
		return w.Name()
	}
	return ""
}

// waitingReasons knows why workloads wait, and when they last had to.
type waitingReasons struct {
	reasons map[briarspring.WorkloadID]string
	blocked map[briarspring.WorkloadID]time.Time
	idle    map[briarspring.WorkloadID]time.Time // Since when nothing of the workload runs.
}

// probeAfter is how long a job waits of which nothing runs here, before one of
// its tasks starts, at the lowest throttle, where it is expected to slow a
// service too much. Only a task that runs can correct an estimate; fading alone
// takes minutes.
const probeAfter = 8 * time.Second

// starves reports whether nothing of a waiting workload has run for so long that
// one of its tasks may probe.
func (w *waitingReasons) starves(id briarspring.WorkloadID, now time.Time, placed uint32) bool {
	if placed > 0 {
		delete(w.idle, id)
		return false
	}
	since, ok := w.idle[id]
	if !ok {
		w.idle[id] = now
		return false
	}
	return now.Sub(since) > probeAfter
}

func (w *waitingReasons) init() {
	w.idle = map[briarspring.WorkloadID]time.Time{}
	w.reasons = map[briarspring.WorkloadID]string{}
	w.blocked = map[briarspring.WorkloadID]time.Time{}
}

// note keeps a reason and reports whether it is new.
func (w *waitingReasons) note(id briarspring.WorkloadID, reason string) bool {
	fresh := w.reasons[id] != reason
	w.reasons[id] = reason
	w.blocked[id] = time.Now()
	return fresh
}

func (w *waitingReasons) clear(id briarspring.WorkloadID) { delete(w.reasons, id) }

// forget drops what is known of a workload that has ended.
func (w *waitingReasons) forget(id briarspring.WorkloadID) {
	delete(w.reasons, id)
	delete(w.blocked, id)
	delete(w.idle, id)
}

func (w *waitingReasons) reason(id briarspring.WorkloadID) string { return w.reasons[id] }

// blockedWithin reports whether a task of the workload found no room within the
// last time. Starts of others do not count against it.
func (w *waitingReasons) blockedWithin(id briarspring.WorkloadID, now time.Time, last time.Duration) bool {
	at, ok := w.blocked[id]
	return ok && now.Sub(at) < last
}
