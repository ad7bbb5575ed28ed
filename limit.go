package briarspring

import (
	"fmt"
	"math"
	"time"
)

// Limits of a workflow. Every host must be able to read an accepted workflow from
// the log, and an owner must be able to plan it without delaying its renewals.
const (
	// MaxSteps is the maximum number of steps, not counting occurrences.
	MaxSteps = 5000
	// MaxDependencies is the maximum number of dependencies of all steps together.
	MaxDependencies = 100000
	// MaxGangTasks is the maximum number of tasks of a gang.
	MaxGangTasks = 1000
	// MaxStepMilliCPU is the maximum of one task's processors, in thousandths of a
	// core.
	MaxStepMilliCPU = 1 << 30
	// MaxStepMemoryMiB is the maximum of one task's memory, in mebibytes.
	MaxStepMemoryMiB = 1 << 30
	// MaxStepAccelerators is the maximum of one task's accelerators.
	MaxStepAccelerators = 1 << 20
	// MaxStepTime is the maximum of a declared run time or tail latency.
	MaxStepTime = 365 * 24 * time.Hour
)

// Check returns an *InvalidError that names the limit if the workflow exceeds one.
func (w *Workflow) Check() error {
	problem := w.checkSteps()
	if problem == "" {
		problem = w.Recurrence.check()
	}
	if problem == "" {
		// A step has at most MaxTasks, so the sum can't overflow.
		problem = checkLimit("tasks", int64(w.TaskCount()), 1, MaxTasks)
	}
	if problem != "" {
		return &InvalidError{Object: "workflow/" + string(w.ID), Reason: problem}
	}
	return nil
}

// checkSteps returns which limit the steps exceed, or "".
func (w *Workflow) checkSteps() string {
	if problem := checkLimit("steps", int64(len(w.Steps)), 1, MaxSteps); problem != "" {
		return problem
	}
	dependencies := 0
	for i := range w.Steps {
		if problem := w.Steps[i].check(i); problem != "" {
			return fmt.Sprintf("step %d: %s", i, problem)
		}
		dependencies += len(w.Steps[i].After)
	}
	return checkLimit("dependencies", int64(dependencies), 0, MaxDependencies)
}

// check returns which limit the step with a number exceeds, or "".
func (s *Step) check(number int) string {
	for _, a := range s.After {
		if a < 0 || a >= number {
			return fmt.Sprintf("depends on step %d, which is not an earlier step", a)
		}
	}
	most := int64(MaxTasks)
	if s.Gang {
		most = MaxGangTasks
	}
	return firstProblem(
		checkLimit("tasks", int64(s.Tasks), 1, most),
		checkLimit("millicores", s.Resources.MilliCPU(), 0, MaxStepMilliCPU),
		checkLimit("mebibytes of memory", s.Resources.MemoryMiB(), 0, MaxStepMemoryMiB),
		checkLimit("accelerators", s.Resources.Accelerators(), 0, MaxStepAccelerators),
		checkLimit("ms of estimated run time", s.Estimate.Milliseconds(), 0, MaxStepTime.Milliseconds()),
		checkLimit("ms of target tail latency", s.TailTarget.Milliseconds(), 0, MaxStepTime.Milliseconds()),
		checkLimit("tasks on one worker", int64(s.MaxPerWorker), 0, math.MaxInt32),
		checkLimit("missing tasks", int64(s.MaxMissing), 0, math.MaxInt32),
	)
}

// checkLimit returns why a number is out of range, or "".
func checkLimit(what string, value, least, most int64) string {
	if value < least || value > most {
		return fmt.Sprintf("%d %s, allowed are %d to %d", value, what, least, most)
	}
	return ""
}
