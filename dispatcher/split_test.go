package dispatcher_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"briarspring"
	"briarspring/dispatcher"
)

// following returns a step of long-running tasks that follows others.
func following(tasks int, after ...int) briarspring.Step {
	s := longRunning(tasks, 1000)
	s.After = after
	return s
}

// elsewhere places the tasks at some positions elsewhere, where those in done were done
// when they moved, and all others here.
func elsewhere(done map[int]bool) func(int) dispatcher.Place {
	return func(position int) dispatcher.Place {
		isDone, moved := done[position]
		if !moved {
			return dispatcher.Place{Local: true, Transfers: 1, Progress: briarspring.TaskProgress{Position: position}}
		}
		return dispatcher.Place{Transfers: 1, Progress: briarspring.TaskProgress{Position: position, Done: isDone}}
	}
}

func toViljandi(string, []*briarspring.Step) string { return "viljandi" }

// positions returns the positions of a transfer's tasks.
func positions(tr dispatcher.Transfer) (list []int) {
	for _, p := range tr.Content.Tasks {
		list = append(list, p.Position)
	}
	return list
}

// finishSteps lets the runs of a workflow's first steps end as done, and those of the next one
// start.
func (s *fixture) finishSteps(steps int) {
	for range steps {
		for id, runs := range starts(s.advance(400 * time.Millisecond)) {
			for _, run := range runs {
				if run.Task.Step < steps {
					s.endRun(id, run, briarspring.RunDone)
				}
			}
		}
	}
	s.advance(400 * time.Millisecond)
}

// Guards against a long-running task that never starts again because it moved to a data
// centre that doesn't know that the steps before it are finished.
func TestTaskBehindAStepThatFinishedElsewhere(t *testing.T) {
	w := workflow("a", step(1, 1000), step(1, 1000), following(2, 0, 1))
	t.Run("starts in a data centre that gets it alone", func(t *testing.T) {
		s := newFixture(t, dispatcher.Config{Token: 1}, 1)
		s.d.Submit(s.now, 0, w, 5, nil, elsewhere(map[int]bool{0: true, 1: true, 3: false}))
		assert.Equal(t, 1, countRuns(starts(s.advance(400*time.Millisecond))))
	})
	t.Run("starts where another task of the job was before", func(t *testing.T) {
		s := newFixture(t, dispatcher.Config{Token: 1}, 1)
		s.d.Submit(s.now, 0, w, 5, nil, elsewhere(map[int]bool{0: false, 1: false, 3: false}))
		require.Empty(t, starts(s.advance(400*time.Millisecond)))
		s.d.ApplyTransfers(s.now, "a", func(position int) dispatcher.Place {
			p := elsewhere(map[int]bool{0: true, 1: true, 3: false})(position)
			p.Transfers++
			return p
		})
		assert.Equal(t, 1, countRuns(starts(s.advance(400*time.Millisecond))))
	})
	t.Run("starts once the end of the last one is recorded", func(t *testing.T) {
		s := newFixture(t, dispatcher.Config{Token: 1}, 1)
		s.d.Submit(s.now, 0, w, 5, nil, elsewhere(map[int]bool{0: true, 1: false, 3: false}))
		require.Empty(t, starts(s.advance(400*time.Millisecond)))
		s.d.ApplyEnds(s.now, "a", map[int]briarspring.TaskProgress{1: {Position: 1, Done: true, Run: 1}})
		assert.Equal(t, 1, countRuns(starts(s.advance(400*time.Millisecond))))
	})
	t.Run("waits for one that is not finished", func(t *testing.T) {
		s := newFixture(t, dispatcher.Config{Token: 1}, 1)
		s.d.Submit(s.now, 0, w, 5, nil, elsewhere(map[int]bool{0: true, 1: false, 3: false}))
		assert.Empty(t, starts(s.advance(5*time.Second)))
		s.d.SetOutOfService(s.now, true)
		assert.Empty(t, s.d.TakeTransfers(s.now, toViljandi), "it would be blocked anywhere")
	})
}

// Guards against finished steps that only the data centre where they ran knows of.
func TestFinishedStepsOfSplitWorkflows(t *testing.T) {
	w := workflow("a", step(2, 1000), following(2, 0))
	t.Run("move with the first task that follows them", func(t *testing.T) {
		s := newFixture(t, dispatcher.Config{Token: 1}, 2)
		s.d.Submit(s.now, 0, w, 5, nil, nil)
		s.finishSteps(1)
		s.d.SetOutOfService(s.now, true)
		var moved [][]int
		for _, worker := range []string{"w0", "w1"} {
			for run := range s.workers[worker].running {
				s.endRun(worker, run, briarspring.RunFailed)
				s.renewAll()
				for _, tr := range s.d.TakeTransfers(s.now, toViljandi) {
					moved = append(moved, positions(tr))
				}
			}
		}
		require.Len(t, moved, 2)
		assert.Len(t, moved[0], 3)
		assert.Subset(t, moved[0], []int{0, 1})
		assert.Len(t, moved[1], 1)
		assert.Empty(t, s.d.TakeFinishedSteps(), "the transfer tells of them")
	})
	t.Run("are recorded if they finish after a task that follows has left", func(t *testing.T) {
		s := newFixture(t, dispatcher.Config{Token: 1}, 1)
		s.d.Submit(s.now, 0, w, 5, nil, elsewhere(map[int]bool{2: false, 3: false}))
		assert.Empty(t, s.d.TakeFinishedSteps())
		s.finishSteps(1)
		want := []dispatcher.FinishedStep{{Workflow: "a", Tasks: []briarspring.TaskProgress{{Position: 0, Done: true, Run: 1}, {Position: 1, Done: true, Run: 1}}}}
		assert.Equal(t, want, s.d.TakeFinishedSteps())
		assert.Empty(t, s.d.TakeFinishedSteps(), "once")
		t.Run("and by a new owner that can't tell whether they are", func(t *testing.T) {
			next := s.successor(9)
			next.d.SetWorkers(next.now, next.entries("w0"))
			next.d.Submit(next.now, 0, w, 5, want[0].Tasks, elsewhere(map[int]bool{2: false, 3: false}))
			assert.Equal(t, want, next.d.TakeFinishedSteps())
		})
	})
	t.Run("are not recorded while the workflow is in one data centre", func(t *testing.T) {
		s := newFixture(t, dispatcher.Config{Token: 1}, 1)
		s.d.Submit(s.now, 0, w, 5, nil, nil)
		s.finishSteps(1)
		assert.Empty(t, s.d.TakeFinishedSteps())
	})
}

// Guards against a long-running task that can't leave its data centre while another step
// of its workflow, on which it doesn't depend, has a run there.
func TestTransferBesideAnotherStep(t *testing.T) {
	long := step(1, 1000)
	long.Estimate = time.Minute
	t.Run("of a task that is ready", func(t *testing.T) {
		s := newFixture(t, dispatcher.Config{Token: 1}, 1)
		s.d.Submit(s.now, 0, workflow("a", long, following(2)), 5, nil, nil)
		require.Equal(t, 3, countRuns(starts(s.planAndApply())))
		s.d.SetOutOfService(s.now, true)
		s.endRun("w0", briarspring.RunRef{Task: briarspring.TaskRef{Workflow: "a", Step: 1, Index: 1}, Run: 1}, briarspring.RunFailed)
		s.renewAll()
		list := s.d.TakeTransfers(s.now, toViljandi)
		require.Len(t, list, 1)
		assert.Equal(t, []int{2}, positions(list[0]))
	})
	t.Run("but not of one that follows it", func(t *testing.T) {
		s := newFixture(t, dispatcher.Config{Token: 1}, 1)
		s.d.Submit(s.now, 0, workflow("a", long, following(2, 0)), 5, nil, nil)
		require.Equal(t, 1, countRuns(starts(s.planAndApply())))
		s.d.SetOutOfService(s.now, true)
		s.now += 3 * time.Second
		assert.Empty(t, s.d.TakeTransfers(s.now, toViljandi))
	})
	t.Run("together with the step that it follows, if that has to leave", func(t *testing.T) {
		s := newFixture(t, dispatcher.Config{Token: 1}, 1)
		large := step(1, 9000) // More than the worker has.
		s.d.Submit(s.now, 0, workflow("a", large, following(2, 0)), 5, nil, nil)
		require.Empty(t, starts(s.planAndApply()))
		s.now += 200 * time.Millisecond
		s.renewAll()
		list := s.d.TakeTransfers(s.now, toViljandi)
		require.Len(t, list, 1)
		assert.Equal(t, []int{0, 1, 2}, positions(list[0]))
	})
}
