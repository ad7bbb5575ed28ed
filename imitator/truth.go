package imitator

import "briarspring"

// GroundTruth is the actual load of a worker, which is not reported to
// schedulers.
type GroundTruth struct {
	Capacity  int64     // In thousandths of a core.
	Executors int64     // CPU that running executors reserve, in thousandths of a core.
	Batch     int64     // CPU that running batch tasks use, in thousandths of a core.
	Slowdowns []float64 // Of each running executor; 1 means no interference.
}

// GroundTruth returns the actual load of the worker.
func (w *Worker) GroundTruth() GroundTruth {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return GroundTruth{}
	}
	w.endDueTasks()
	t := GroundTruth{Capacity: w.config.Capacity.MilliCPU()}
	for _, key := range w.sortedAttempts() {
		task := w.tasks[key]
		if task.phase != briarspring.TaskRunning {
			continue
		}
		if task.start.Service {
			t.Executors += task.start.Resources.MilliCPU()
			t.Slowdowns = append(t.Slowdowns, w.slowdown(task))
			continue
		}
		t.Batch += int64(float64(task.start.Resources.MilliCPU()) * task.throttle)
	}
	return t
}
