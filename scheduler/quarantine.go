package scheduler

import (
	"maps"
	"time"

	"briarspring"
)

const (
	// A worker is quarantined after minFailures failures in a row, if they come
	// from at least minFailedWorkloads workloads.
	minFailures        = 3
	minFailedWorkloads = 2
	firstQuarantine    = 30 * time.Second
	longestQuarantine  = 10 * time.Minute
	firstBackoff       = time.Second
	longestBackoff     = time.Minute
)

// quarantine tracks the workers that fail every task and the backoff of failed
// tasks.
type quarantine struct {
	workers   map[uint32]*failingWorker
	notBefore map[briarspring.TaskID]time.Time
	avoid     map[briarspring.TaskID]uint32 // Worker that the task last failed on.
}

type failingWorker struct {
	failures     int
	workloads    map[briarspring.WorkloadID]struct{}
	until        time.Time
	nextDuration time.Duration
	probing      bool
}

func (q *quarantine) init() {
	q.workers = map[uint32]*failingWorker{}
	q.notBefore = map[briarspring.TaskID]time.Time{}
	q.avoid = map[briarspring.TaskID]uint32{}
}

// failed records that an attempt ran on a worker and failed.
func (q *quarantine) failed(worker uint32, id briarspring.TaskID, failures uint32, now time.Time) {
	backoff := min(firstBackoff<<min(failures, 6), longestBackoff)
	q.notBefore[id] = now.Add(backoff)
	q.avoid[id] = worker
	w := q.workers[worker]
	if w == nil {
		w = &failingWorker{workloads: map[briarspring.WorkloadID]struct{}{}, nextDuration: firstQuarantine}
		q.workers[worker] = w
	}
	w.failures++
	w.workloads[id.Workload] = struct{}{}
	if w.probing || w.failures >= minFailures && len(w.workloads) >= minFailedWorkloads {
		w.until = now.Add(w.nextDuration)
		w.nextDuration = min(2*w.nextDuration, longestQuarantine)
		w.probing = true
	}
}

// succeeded records that an attempt on a worker succeeded.
func (q *quarantine) succeeded(worker uint32, id briarspring.TaskID) {
	delete(q.workers, worker)
	delete(q.notBefore, id)
	delete(q.avoid, id)
}

// isSuspect reports whether failures on the worker count as the worker's fault.
func (q *quarantine) isSuspect(worker uint32) bool {
	w := q.workers[worker]
	return w != nil && w.probing
}

// unavailable reports whether a worker can't take a task now. After its
// quarantine it takes one at a time, until one succeeds.
func (q *quarantine) unavailable(worker uint32, open int, now time.Time) bool {
	w := q.workers[worker]
	if w == nil || !w.probing {
		return false
	}
	return now.Before(w.until) || open > 0
}

// inBackoff reports whether a failed task must not start again yet.
func (q *quarantine) inBackoff(id briarspring.TaskID, now time.Time) bool {
	at, ok := q.notBefore[id]
	return ok && now.Before(at)
}

// forget removes the entries for the tasks of a workload that has ended.
func (q *quarantine) forget(workload briarspring.WorkloadID) {
	ended := func(id briarspring.TaskID) bool { return id.Workload == workload }
	maps.DeleteFunc(q.notBefore, func(id briarspring.TaskID, _ time.Time) bool { return ended(id) })
	maps.DeleteFunc(q.avoid, func(id briarspring.TaskID, _ uint32) bool { return ended(id) })
}
