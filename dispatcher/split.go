package dispatcher

import (
	"slices"
	"time"

	"briarspring"
)

// FinishedStep is a step of a workflow whose tasks are all done.
type FinishedStep struct {
	Workflow   briarspring.WorkflowID
	Occurrence int
	Step       int
	Tasks      []briarspring.TaskProgress
}

// learnDone marks the tasks done that were done when they moved, wherever they are now:
// steps that follow them may have tasks here.
func (j *job) learnDone(now time.Duration, place func(position int) Place) {
	for _, t := range j.tasks {
		if place(t.position).Progress.Done {
			t.doneShared = true
			t.markDone(now)
		}
	}
}

// TakeFinishedSteps returns the steps that are known to be finished here alone, though tasks
// in other data centres wait for them.
func (d *Dispatcher) TakeFinishedSteps() []FinishedStep {
	var list []FinishedStep
	for _, j := range d.jobs {
		if !j.split || j.inactive() {
			continue
		}
		for _, s := range j.steps {
			if s.unfinished == 0 && j.awaitedElsewhere(s) {
				list = append(list, s.takeFinished())
			}
		}
	}
	return list
}

// awaitedElsewhere reports whether a step is not said to be finished in the shared stream, and
// a step that follows it has tasks that are not here, or are leaving.
func (j *job) awaitedElsewhere(s *step) bool {
	if !slices.ContainsFunc(s.tasks, func(t *task) bool { return !t.doneShared }) {
		return false
	}
	return slices.ContainsFunc(j.followers[s.number], func(i int32) bool {
		return slices.ContainsFunc(j.stepOf(s.occurrence, int(i)).tasks, func(t *task) bool { return !t.local || t.transferring })
	})
}

// takeFinished returns the finished step for the shared stream.
func (s *step) takeFinished() FinishedStep {
	f := FinishedStep{Workflow: s.job.workflow.ID, Occurrence: s.occurrence, Step: s.number}
	for _, t := range s.tasks {
		t.doneShared = true
		f.Tasks = append(f.Tasks, briarspring.TaskProgress{Position: t.position, Done: true, Run: t.lastRun})
	}
	return f
}
