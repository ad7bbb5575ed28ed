package assembler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"briarspring"
)

// Guards against long-running tasks that stay away once a run of them has ended as done, also
// under the next owner.
func TestLongRunningTasksThatEnd(t *testing.T) {
	inVirtualTime(t, "as done and as failed", func(t *testing.T, f *fleet) {
		const id = briarspring.WorkflowID("00000000000000d1")
		f.lasting = func(r briarspring.RunRef) (time.Duration, briarspring.RunEnd) {
			how := briarspring.RunDone
			if r.Run%2 == 0 {
				how = briarspring.RunFailed
			}
			return 3 * time.Second, how
		}
		require.True(t, f.submit(id, longRunningStep(2)))
		away := map[int]time.Duration{}
		const interval = 100 * time.Millisecond
		for i := range 400 {
			if i == 150 {
				owner := f.owner(tartu)
				owner.cancel()
				<-owner.done
			}
			time.Sleep(interval)
			for index := range 2 {
				away[index] += interval
				if f.pool.Running(briarspring.TaskRef{Workflow: id, Index: index}) > 0 {
					away[index] = 0
				}
				assert.Less(t, away[index], 9*time.Second, "task %d", index)
			}
		}
		phase, _, err := f.host(viljandi, 0).intake.Phase(t.Context(), id)
		require.NoError(t, err)
		assert.Equal(t, briarspring.PhaseRunning, phase)
		assertNoViolations(t, f)
	}, tartu, viljandi)
}
