package assembler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"briarspring"
)

// assertAllRun checks that each task of a step runs within a time.
func assertAllRun(t *testing.T, f *fleet, id briarspring.WorkflowID, step, tasks int, within time.Duration) {
	t.Helper()
	require.Eventually(t, func() bool {
		for i := range tasks {
			if f.pool.Running(briarspring.TaskRef{Workflow: id, Step: step, Index: i}) == 0 {
				return false
			}
		}
		return true
	}, within, 50*time.Millisecond)
}

// loseWorkerOf loses a worker of a data centre that runs a task of a step, for good.
func (f *fleet) loseWorkerOf(centre string, id briarspring.WorkflowID, step, tasks int) {
	for _, e := range f.pool.Entries() {
		for i := range tasks {
			if e.DataCentre == centre && f.pool.RunsOn(e.ID, briarspring.TaskRef{Workflow: id, Step: step, Index: i}) {
				f.pool.Crash(e.ID)
				return
			}
		}
	}
	require.Fail(f.t, "nothing runs in "+centre)
}

// Guards against long-running tasks that stay away for good once they have moved one by one,
// since the last data centre doesn't know that the steps before them are finished, or since
// another step of the workflow has a run.
func TestLongRunningTasksOfASplitWorkflow(t *testing.T) {
	const id = briarspring.WorkflowID("0000000000000051")
	const within = 9 * time.Second // The lease of a lost worker, and a move.
	service := longRunningStep(workersPerCentre)
	service.MaxPerWorker = 1
	after := func(steps ...int) briarspring.Step {
		s := service
		s.After = steps
		return s
	}
	long := shortStep(1)
	long.Estimate = 5 * time.Minute
	for _, c := range []struct {
		name  string
		steps []briarspring.Step
	}{
		{"behind a finished step", []briarspring.Step{shortStep(1), after(0)}},
		{"behind two finished steps in a row", []briarspring.Step{shortStep(1), shortStep(2, 0), after(1)}},
		{"beside a step that runs on", []briarspring.Step{long, service}},
		{"behind a finished step and beside one that runs on", []briarspring.Step{shortStep(1), long, after(0)}},
	} {
		inVirtualTime(t, c.name, func(t *testing.T, f *fleet) {
			for _, e := range f.pool.Entries() {
				e.Labels = []string{"in-" + e.DataCentre, e.Rack}
				f.pool.Add(e)
			}
			time.Sleep(3 * time.Second)
			last := len(c.steps) - 1
			require.True(t, f.submit(id, c.steps...))
			assertAllRun(t, f, id, last, workersPerCentre, 8*time.Second)
			home := f.centreOfStep(id, last)
			f.loseWorkerOf(home, id, last, workersPerCentre)
			assertAllRun(t, f, id, last, workersPerCentre, within)
			f.fill(f.otherCentreOf(home, id, last, workersPerCentre))
			f.loseWorkerOf(home, id, last, workersPerCentre)
			assertAllRun(t, f, id, last, workersPerCentre, within)
			f.restartInTheDark("none", 0, func() {})
			time.Sleep(10 * time.Second)
			f.loseWorkerOf(home, id, last, workersPerCentre)
			assertAllRun(t, f, id, last, workersPerCentre, within)
			assertPhase(t, f, id, briarspring.PhaseRunning, time.Second)
			assertNoViolations(t, f)
		}, tartu, viljandi, voru)
	}
}

// otherCentreOf returns a data centre other than home that runs a task of a step.
func (f *fleet) otherCentreOf(home string, id briarspring.WorkflowID, step, tasks int) string {
	for _, e := range f.pool.Entries() {
		for i := range tasks {
			if e.DataCentre != home && f.pool.RunsOn(e.ID, briarspring.TaskRef{Workflow: id, Step: step, Index: i}) {
				return e.DataCentre
			}
		}
	}
	require.Fail(f.t, "nothing runs outside of "+home)
	return ""
}

// fill occupies the workers of a data centre, so that no task of the test fits there.
func (f *fleet) fill(centre string) {
	for i := range f.size.workers {
		s := labelled(longRunningStep(1), "in-"+centre)
		s.Resources = cores(5000)
		require.True(f.t, f.submit(briarspring.WorkflowID(fmt.Sprintf("00000000000005%02x", i)), s))
		time.Sleep(500 * time.Millisecond)
	}
}

// centreOfStep returns a data centre that runs tasks of a step of a workflow.
func (f *fleet) centreOfStep(id briarspring.WorkflowID, step int) string {
	for _, e := range f.pool.Entries() {
		if f.pool.RunsOn(e.ID, briarspring.TaskRef{Workflow: id, Step: step}) {
			return e.DataCentre
		}
	}
	return ""
}
