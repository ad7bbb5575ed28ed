package assembler_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"briarspring"
	"briarspring/imitator"
)

// Guards against a cancelled workflow that runs, since its submission took effect after a host
// that did not know it had acknowledged the cancellation.
func TestCancellationBeforeALateSubmission(t *testing.T) {
	const id = briarspring.WorkflowID("00000000000000c1")
	inVirtualTime(t, "at another host", func(t *testing.T, f *fleet) {
		f.mu.Lock()
		f.workflows[id] = &briarspring.Workflow{ID: id, Steps: []briarspring.Step{longRunningStep(1)}, MaxAttempts: testQueue.MaxAttempts}
		f.mu.Unlock()
		const latency = 5 * time.Millisecond
		f.store.SetFaults(imitator.KeyedFaults{Latency: latency, LostAnswerShare: 1, LateAppendShare: 1})
		f.goroutines.Go(func() {
			ctx, cancel := context.WithTimeout(t.Context(), submitTimeout)
			defer cancel()
			err := f.host(tartu, 0).intake.Submit(ctx, testQueue, &briarspring.Workflow{ID: id, Steps: []briarspring.Step{longRunningStep(1)}})
			assert.Error(t, err)
		})
		time.Sleep(100 * time.Millisecond)
		f.store.SetFaults(imitator.KeyedFaults{Latency: latency})
		known, err := f.host(viljandi, 1).intake.Cancel(t.Context(), id)
		require.NoError(t, err)
		require.False(t, known)
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			assert.Zero(t, f.pool.Running(briarspring.TaskRef{Workflow: id}))
		}
		phase, known, err := f.host(viljandi, 1).intake.Phase(t.Context(), id)
		require.NoError(t, err)
		assert.True(t, known, "the late write has landed")
		assert.Equal(t, briarspring.PhaseCancelled, phase)
	}, tartu, viljandi)
}
