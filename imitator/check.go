package imitator

import (
	"fmt"
	"time"

	"briarspring"
)

// earlyStart is how much before its time an occurrence may start, as the platform
// states it.
const earlyStart = 250 * time.Millisecond

// poolStart is a start, for the account of what must hold.
type poolStart struct {
	worker   *poolWorker
	run      briarspring.RunRef
	workflow *briarspring.Workflow
	step     *briarspring.Step
}

// check notes what a start breaks.
func (p *Pool) check(w *poolWorker, run briarspring.RunRef) {
	s := poolStart{worker: w, run: run}
	if at, ok := p.done[run.Task]; ok {
		p.note(s, "started again %s after its end was acknowledged", time.Since(at))
	}
	s.workflow, s.step = p.config.Spec(run.Task)
	if s.step == nil {
		p.note(s, "nobody submitted it")
		return
	}
	p.checkRuns(s)
	p.checkRoom(s)
	p.checkTurn(s)
	if !s.step.Lasting && s.workflow.MaxAttempts > 0 && p.failures[run.Task] >= s.workflow.MaxAttempts {
		p.note(s, "it has failed %d times", p.failures[run.Task])
	}
}

func (p *Pool) note(s poolStart, format string, args ...any) {
	p.broken = append(p.broken, fmt.Sprintf("%v on %s: ", s.run, s.worker.entry.ID)+fmt.Sprintf(format, args...))
}

// checkRuns looks for other runs of the task, and for members of its gang with
// another number.
func (p *Pool) checkRuns(s poolStart) {
	for _, o := range p.workers {
		p.lapse(o)
		for other := range o.runs {
			if other.Task == s.run.Task {
				p.note(s, "runs on %s as well", o.entry.ID)
			}
			if s.step.Gang && sameStep(other.Task, s.run.Task) && other.Run != s.run.Run {
				p.note(s, "a member of its gang carries the number %d on %s", other.Run, o.entry.ID)
			}
		}
	}
}

// checkRoom looks at the worker's capacity and the bounds of the step.
func (p *Pool) checkRoom(s poolStart) {
	used := s.step.Resources
	if s.step.Fills {
		used = memoryOf(s.step)
	}
	beside := 0
	for other := range s.worker.runs {
		if sameStep(other.Task, s.run.Task) {
			beside++
		}
		_, step := p.config.Spec(other.Task)
		switch {
		case step == nil:
		case step.Fills:
			used = used.Add(memoryOf(step))
		default:
			used = used.Add(step.Resources)
		}
	}
	if !used.Fits(s.worker.entry.Capacity) {
		p.note(s, "%s would be in use of %s", used, s.worker.entry.Capacity)
	}
	if most := s.step.MaxPerWorker; most > 0 && beside >= most {
		p.note(s, "%d others of its step are there", beside)
	}
}

// memoryOf returns what a task holds that uses idle processors.
func memoryOf(s *briarspring.Step) briarspring.Resources {
	return briarspring.NewResources(briarspring.ResourcesConfig{
		MemoryMiB: s.Resources.MemoryMiB(), Accelerators: s.Resources.Accelerators(),
	})
}

// checkTurn looks at the steps before and at the time at which an occurrence is
// due.
func (p *Pool) checkTurn(s poolStart) {
	task := s.run.Task
	for _, a := range s.step.After {
		for i := range s.workflow.Steps[a].Tasks {
			before := briarspring.TaskRef{Workflow: task.Workflow, Occurrence: task.Occurrence, Step: a, Index: i}
			if !p.finished[before] {
				p.note(s, "task %d of step %d before it is not done", i, a)
				return
			}
		}
	}
	if s.workflow.Recurrence.Times == 0 {
		return
	}
	if early := time.Until(s.workflow.Recurrence.Due(task.Occurrence)); early > earlyStart {
		p.note(s, "it is due in %s", early)
	}
}

func sameStep(a, b briarspring.TaskRef) bool {
	return a.Workflow == b.Workflow && a.Occurrence == b.Occurrence && a.Step == b.Step
}
