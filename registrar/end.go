package registrar

import (
	"slices"

	"briarspring"
	"briarspring/encoder"
)

// Ends returns what is recorded of runs that ended in a data centre after their task
// had moved to another one, by position of the task.
func (e *Entry) Ends() map[int]briarspring.TaskProgress { return e.ends }

// applyEnd adds the end of a run. It holds wherever the task is by now.
func (r *Registry) applyEnd(id briarspring.WorkflowID, rec briarspring.KeyedRecord) (Change, error) {
	tasks, err := encoder.DecodeRunProgress(rec.Value)
	if err != nil {
		return Change{}, err
	}
	e := r.Workflow(id)
	if e == nil {
		return Change{}, nil
	}
	e.keys = append(e.keys, rec.Key)
	if e.ends == nil {
		e.ends = map[int]briarspring.TaskProgress{}
	}
	for _, p := range tasks {
		known := e.ends[p.Position]
		for _, run := range known.FailedRuns {
			if !slices.Contains(p.FailedRuns, run) {
				p.FailedRuns = append(p.FailedRuns, run)
			}
		}
		p.Done = p.Done || known.Done
		p.Run = max(p.Run, known.Run)
		e.ends[p.Position] = p
	}
	return Change{Workflow: id}, nil
}
