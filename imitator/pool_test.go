package imitator

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"briarspring"
)

// secondRun is what happens to a task that has run to its end on one worker.
type secondRun struct {
	pause        time.Duration // Until the end is acknowledged.
	number       uint32        // Of the run on another worker.
	acknowledged bool          // The end is acknowledged before that run, not after it.
}

// runTaskTwice runs a task to its end on one worker and starts it again on
// another. It returns the violations that the pool recorded.
func runTaskTwice(t *testing.T, second secondRun) []string {
	t.Helper()
	var violations []string
	synctest.Test(t, func(t *testing.T) {
		work := time.Second
		step := briarspring.Step{Tasks: 1, Resources: briarspring.NewResources(briarspring.ResourcesConfig{MilliCPU: 1, MemoryMiB: 1})}
		workflow := &briarspring.Workflow{ID: "w", Steps: []briarspring.Step{step}}
		p := NewPool(PoolConfig{
			SimulateRun: func(briarspring.RunRef) (time.Duration, briarspring.RunEnd) { return work, briarspring.RunDone },
			Spec:        func(briarspring.TaskRef) (*briarspring.Workflow, *briarspring.Step) { return workflow, &step },
		})
		for _, id := range []string{"a", "b"} {
			p.Add(briarspring.WorkerEntry{ID: id, Capacity: step.Resources})
		}
		ctx := context.Background()
		c := p.Client("owner")
		run := briarspring.RunRef{Task: briarspring.TaskRef{Workflow: "w"}, Run: 1}
		_, err := c.Start(ctx, "", "a", briarspring.StartOrder{Run: run, Until: 3 * time.Second, Token: 1})
		require.NoError(t, err)
		time.Sleep(work + second.pause)
		run.Run = second.number
		acknowledge := func() {
			_, err := c.RenewLease(ctx, "", "a", briarspring.LeaseRequest{Token: 1, Until: 10 * time.Second, LastSeenEnd: 1})
			require.NoError(t, err)
		}
		if second.acknowledged {
			acknowledge()
		}
		_, err = c.Start(ctx, "", "b", briarspring.StartOrder{Run: run, Until: 30 * time.Second, Token: 1})
		require.NoError(t, err)
		if !second.acknowledged {
			acknowledge()
		}
		violations = p.Violations()
	})
	return violations
}

func TestPoolTellsSecondRuns(t *testing.T) {
	t.Run("after an end that was acknowledged before the lease expired", func(t *testing.T) {
		assert.Len(t, runTaskTwice(t, secondRun{pause: time.Second, number: 2, acknowledged: true}), 1)
	})
	t.Run("but not after one that was unacknowledged when the lease expired", func(t *testing.T) {
		assert.Empty(t, runTaskTwice(t, secondRun{pause: 4 * time.Second, number: 2, acknowledged: true}))
	})
	t.Run("after an end that is acknowledged later", func(t *testing.T) {
		assert.Len(t, runTaskTwice(t, secondRun{pause: time.Second, number: 2}), 1)
	})
	t.Run("also under the number of the first run", func(t *testing.T) {
		assert.Len(t, runTaskTwice(t, secondRun{pause: time.Second, number: 1}), 1)
	})
}
