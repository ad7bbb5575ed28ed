package imitator

import (
	"math"
	"time"

	"briarspring"
)

// slowdownPrecision is the number of steps per 1.0 to which slowdowns are
// rounded: profiles give shares with at most four decimals and throttles are
// whole percents, so that products have at most six decimals.
const slowdownPrecision = 1e6

// updateSlowdowns sets the slowdown that the running batch tasks cause to each
// executor.
func (w *Worker) updateSlowdowns() {
	for _, t := range w.tasks {
		if t.executor != nil {
			t.executor.setSlowdown(w.slowdown(t))
		}
	}
}

func (w *Worker) slowdown(service *workerTask) float64 {
	var shares []float64
	for _, t := range w.tasks {
		if t.start.Service || t.phase != briarspring.TaskRunning {
			continue
		}
		shares = append(shares, t.profile.noiseFor(service.start.Name)*t.throttle)
	}
	return sumSlowdown(shares)
}

// sumSlowdown returns 1 plus the shares by which tasks slow an executor. The
// shares are decimal fractions; rounding the sum removes their binary
// representation error, which depends on the order of the tasks.
func sumSlowdown(shares []float64) float64 {
	sum := 1.0
	for _, s := range shares {
		sum += s
	}
	return math.Round(sum*slowdownPrecision) / slowdownPrecision
}

// sampleUsage records the usage of each running attempt.
func (w *Worker) sampleUsage() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return
	}
	w.endDueTasks()
	for _, key := range w.sortedAttempts() {
		t := w.tasks[key]
		if t.phase != briarspring.TaskRunning {
			continue
		}
		u := briarspring.Usage{
			Attempt: key, Taken: w.clock(),
			MilliCPU:  int64(float64(t.start.Resources.MilliCPU()) * t.profile.usedShare * t.throttle),
			MemoryMiB: int64(float64(t.start.Resources.MemoryMiB()) * t.profile.usedShare),
		}
		if t.executor != nil {
			u.P99, u.Requests = t.executor.measure()
		} else if t.start.Service {
			u.P99 = time.Duration(float64(t.profile.time) * w.slowdown(t))
			u.Requests = 1
		}
		w.usage = append(w.usage, u)
	}
	w.sampler.Reset(w.config.ReportInterval)
}
