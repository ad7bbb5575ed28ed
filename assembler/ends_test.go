package assembler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"briarspring"
	"briarspring/imitator"
)

// Guards against a task that runs to its end a second time although its first run is done:
// the worker can list that end only after the task has moved to another data centre.
func TestEndAfterItsTaskHasMoved(t *testing.T) {
	inVirtualTime(t, "once its worker is in reach again", func(t *testing.T, f *fleet) {
		const id = "0000000000000051"
		long := shortStep(1)
		long.Estimate = 20 * time.Second
		f.submit(id, long)
		time.Sleep(17 * time.Second)
		home, worker := f.centreOf(id), f.workerOf(id)
		cut := func(on bool) {
			for _, h := range f.hosts {
				f.pool.Cut(h.caller, worker, on)
			}
		}
		cut(true)
		f.store.Put(briarspring.DirectoryStream, imitator.OutOfServiceRecord(home, true))
		time.Sleep(8 * time.Second)
		assert.Equal(t, 2, f.pool.Starts(), "the lease has ended, and the task has moved")
		assert.NotEqual(t, home, f.centreOf(id))
		cut(false)
		assertPhase(t, f, id, briarspring.PhaseCompleted, 3*time.Second)
		time.Sleep(time.Second)
		assert.Zero(t, f.pool.Running(briarspring.TaskRef{Workflow: id}))
		assertNoViolations(t, f)
	}, tartu, viljandi)
}
