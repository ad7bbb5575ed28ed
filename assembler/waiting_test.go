package assembler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"briarspring"
)

const (
	waitingWorkflows = 8
	restartTime      = 600 * time.Millisecond
	// countAfter is the age from which the platform expects a workflow in the count of
	// those that wait.
	countAfter = 5 * time.Second
)

// cutOffRestartedWorkers restarts all workers of a data centre under their IDs, cuts them
// off after a while, and submits workflows just then, while their owner takes them for
// reachable. It returns a function that ends the cut.
func (f *fleet) cutOffRestartedWorkers(centre string) (end func()) {
	for i := range f.size.workers {
		f.pool.Crash(fmt.Sprintf("worker-%s-%d", centre, i))
	}
	time.Sleep(restartTime)
	for i := range f.size.workers {
		f.pool.Restart(fmt.Sprintf("worker-%s-%d", centre, i))
	}
	time.Sleep(2 * time.Second)
	cut := func(cut bool) {
		for i := range f.size.hosts {
			f.cutOff(f.host(centre, i), false, true, cut)
		}
	}
	cut(true)
	for i := range waitingWorkflows {
		require.True(f.t, f.submit(briarspring.WorkflowID(fmt.Sprintf("%016x", 0x51+i)), shortStep(2)))
	}
	return func() { cut(false) }
}

// assertWaiting checks that every host counts a number of workflows that wait.
func assertWaiting(t *testing.T, f *fleet, want int) {
	t.Helper()
	for name, h := range f.hosts {
		assert.Equal(t, want, h.intake.UnstartedWorkflows(testQueue), "count of %s", name)
	}
}

// Guards against workflows that leave the count of those that wait when a start is ordered,
// though no worker has carried it out.
func TestWaitingBesideUnansweredStarts(t *testing.T) {
	inVirtualTime(t, "workers that have restarted are cut off", func(t *testing.T, f *fleet) {
		end := f.cutOffRestartedWorkers(tartu)
		time.Sleep(countAfter)
		require.Zero(t, f.pool.Starts())
		assertWaiting(t, f, waitingWorkflows)
		end()
		time.Sleep(10 * time.Second)
		assertWaiting(t, f, 0)
		assertNoViolations(t, f)
	}, tartu)

	inVirtualTime(t, "their owner is replaced meanwhile", func(t *testing.T, f *fleet) {
		end := f.cutOffRestartedWorkers(tartu)
		time.Sleep(time.Second)
		f.remove(f.owner(tartu))
		time.Sleep(countAfter)
		require.Zero(t, f.pool.Starts())
		assert.Equal(t, waitingWorkflows, f.owner(tartu).intake.UnstartedWorkflows(testQueue))
		end()
		time.Sleep(20 * time.Second)
		assert.Zero(t, f.owner(tartu).intake.UnstartedWorkflows(testQueue))
		assertNoViolations(t, f)
	}, tartu)
}
