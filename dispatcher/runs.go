package dispatcher

import (
	"cmp"
	"slices"
	"time"

	"briarspring"
)

// RunInfo describes a run that may be alive, for operators.
type RunInfo struct {
	Run    briarspring.RunRef
	Worker string
	State  string // In kebab case.
	Age    time.Duration
	Pace   int // In percent of full speed.
	Image  string
	Tail   float64 // Tail latency of a long-running task as a share of its target; zero for none.
}

// stateStopping is the state shown for runs whose stop was ordered.
const stateStopping = "stopping"

// Runs returns the runs of a workflow that may be alive, sorted by reference.
// An empty ID selects all workflows.
func (d *Dispatcher) Runs(id briarspring.WorkflowID) []RunInfo {
	var list []RunInfo
	for _, w := range d.workersByID {
		for ref, r := range w.runs {
			if id == "" || ref.Task.Workflow == id {
				list = append(list, d.describe(r))
			}
		}
	}
	slices.SortFunc(list, func(a, b RunInfo) int {
		return cmp.Or(
			cmp.Compare(a.Run.Task.Workflow, b.Run.Task.Workflow),
			cmp.Compare(a.Run.Task.Step, b.Run.Task.Step),
			cmp.Compare(a.Run.Task.Index, b.Run.Task.Index),
			cmp.Compare(a.Run.Run, b.Run.Run),
		)
	})
	return list
}

func (d *Dispatcher) describe(r *run) RunInfo {
	spec := r.task.step.spec()
	info := RunInfo{
		Run: r.ref, Worker: r.worker.id, State: r.state.String(), Age: d.now - r.since, Pace: r.pace, Image: spec.Image,
	}
	if r.stopping {
		info.State = stateStopping
	}
	if spec.LongRunning && spec.TailTarget > 0 {
		info.Tail = r.usage / float64(spec.TailTarget.Milliseconds())
	}
	return info
}
