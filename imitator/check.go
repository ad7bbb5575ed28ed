package imitator

import (
	"fmt"
	"slices"
	"time"

	"briarspring"
)

// maxEarlyStart is how long before its due time an occurrence may start; the
// platform guarantees this bound.
const maxEarlyStart = 250 * time.Millisecond

// startedRun is a run that has just started, with its specification.
type startedRun struct {
	worker   *poolWorker
	run      briarspring.RunRef
	workflow *briarspring.Workflow
	step     *briarspring.Step
}

// checkStart records every invariant that a start violates.
func (p *Pool) checkStart(w *poolWorker, run briarspring.RunRef) {
	s := startedRun{worker: w, run: run}
	if at, ok := p.acknowledgedAt[run.Task]; ok {
		p.recordViolation(s, "started again %s after its successful end was acknowledged", time.Since(at))
	}
	s.workflow, s.step = p.config.Spec(run.Task)
	if s.step == nil {
		p.recordViolation(s, "its workflow was never submitted")
		return
	}
	p.checkEligible(s)
	p.checkDuplicates(s)
	p.checkCapacity(s)
	p.checkQuota(s)
	p.checkDependencies(s)
	p.checkCrashes(s)
	if !s.step.LongRunning && s.workflow.MaxAttempts > 0 && p.failures[run.Task] >= s.workflow.MaxAttempts {
		p.recordViolation(s, "it has failed %d times", p.failures[run.Task])
	}
}

func (p *Pool) recordViolation(s startedRun, format string, args ...any) {
	p.violations = append(p.violations, fmt.Sprintf("%v on %s: ", s.run, s.worker.entry.ID)+fmt.Sprintf(format, args...))
}

// checkAcknowledged checks that a task whose successful end is being acknowledged has
// not been started since that end.
func (p *Pool) checkAcknowledged(w *poolWorker, e briarspring.EndedTask) {
	s := startedRun{worker: w, run: e.Run}
	_, s.step = p.config.Spec(e.Run.Task)
	if s.step == nil || s.step.Speculative {
		return
	}
	last := p.lastStart[e.Run.Task]
	if same := last.run == e.Run.Run && last.worker == w.entry.ID; !same && last.at.After(w.endedAt[0]) {
		p.recordViolation(s, "run %d was started on %s after its successful end, which is acknowledged now", last.run, last.worker)
	}
}

// checkEligible checks that the worker may run the task at all.
func (p *Pool) checkEligible(s startedRun) {
	if label := s.step.Requirement; label != "" && !slices.Contains(s.worker.entry.Labels, label) {
		p.recordViolation(s, "its worker lacks the label %s", label)
	}
}

// checkDuplicates looks for other runs of the same task, and for members of its
// gang with a different run number.
func (p *Pool) checkDuplicates(s startedRun) {
	for _, o := range p.workers {
		p.enforceLease(o)
		for other := range o.runs {
			if other.Task == s.run.Task {
				p.recordViolation(s, "also runs on %s", o.entry.ID)
			}
			if s.step.Gang && sameStep(other.Task, s.run.Task) && other.Run != s.run.Run {
				p.recordViolation(s, "a member of its gang has run number %d on %s", other.Run, o.entry.ID)
			}
		}
	}
}

// checkCapacity checks the worker's capacity and the step's limit per worker.
func (p *Pool) checkCapacity(s startedRun) {
	used := s.step.Resources
	if s.step.BestEffort {
		used = bestEffortResources(s.step)
	}
	colocated := 0
	for other := range s.worker.runs {
		if sameStep(other.Task, s.run.Task) {
			colocated++
		}
		_, step := p.config.Spec(other.Task)
		switch {
		case step == nil:
		case step.BestEffort:
			used = used.Add(bestEffortResources(step))
		default:
			used = used.Add(step.Resources)
		}
	}
	if !used.Fits(s.worker.entry.Capacity) {
		p.recordViolation(s, "uses %s of a capacity of %s", used, s.worker.entry.Capacity)
	}
	if limit := s.step.MaxPerWorker; limit > 0 && colocated >= limit {
		p.recordViolation(s, "%d other tasks of its step run on the worker", colocated)
	}
}

// bestEffortResources returns the resources that a best-effort task reserves:
// all but processors, of which it uses only idle ones.
func bestEffortResources(s *briarspring.Step) briarspring.Resources {
	return briarspring.NewResources(briarspring.ResourcesConfig{
		MemoryMiB: s.Resources.MemoryMiB(), Accelerators: s.Resources.Accelerators(),
	})
}

// checkDependencies checks that the preceding steps are done and that the
// occurrence is due.
func (p *Pool) checkDependencies(s startedRun) {
	task := s.run.Task
	for _, a := range s.step.After {
		for i := range s.workflow.Steps[a].Tasks {
			dependency := briarspring.TaskRef{Workflow: task.Workflow, Occurrence: task.Occurrence, Step: a, Index: i}
			if !p.finished[dependency] {
				p.recordViolation(s, "task %d of step %d, on which it depends, is not done", i, a)
				return
			}
		}
	}
	if s.workflow.Recurrence.Times == 0 {
		return
	}
	if early := time.Until(s.workflow.Recurrence.Due(task.Occurrence)); early > maxEarlyStart {
		p.recordViolation(s, "it is not due for another %s", early)
	}
}

func sameStep(a, b briarspring.TaskRef) bool {
	return a.Workflow == b.Workflow && a.Occurrence == b.Occurrence && a.Step == b.Step
}
