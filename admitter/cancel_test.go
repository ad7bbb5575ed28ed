package admitter

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"briarspring"
	"briarspring/registrar"
)

// lateStream is a shared stream that gives the first write no answer and carries it out
// only when it is told to.
type lateStream struct {
	*fakeStream
	late []briarspring.KeyedRecord
	lost bool
	next func() // Called after the write without an answer.
}

func (s *lateStream) Write(ctx context.Context, records ...briarspring.KeyedRecord) error {
	if s.lost {
		return s.fakeStream.Write(ctx, records...)
	}
	s.lost, s.late = true, records
	if s.next != nil {
		s.next()
	}
	return &briarspring.NoAnswerError{Call: "append", Cause: errors.New("lost")}
}

func (b *bench) assertCancelled(t *testing.T, id briarspring.WorkflowID) {
	t.Helper()
	phase, known, err := b.Phase(t.Context(), id)
	require.NoError(t, err)
	assert.True(t, known)
	assert.Equal(t, briarspring.PhaseCancelled, phase)
}

// Guards against a workflow that runs after its cancellation was acknowledged where it was not
// known, since a write of its submission was still under way.
func TestCancellationOfAnUnknownWorkflow(t *testing.T) {
	t.Run("holds for a write that is carried out later", func(t *testing.T) {
		b := newBench(t)
		acme := b.mustIdentify(t, "closed", keyOfAcme)
		shared := &lateStream{fakeStream: b.shared}
		b.config.Shared = shared
		ctx, cancel := context.WithCancel(t.Context())
		shared.next = cancel
		require.Error(t, b.SubmitFor(ctx, acme, workflow("1")))
		known, err := b.CancelFor(t.Context(), acme, "1")
		require.NoError(t, err)
		require.False(t, known)
		require.NoError(t, b.shared.Write(t.Context(), shared.late...))
		b.assertCancelled(t, "1")
	})
	t.Run("ends the attempts to store it", func(t *testing.T) {
		b := newBench(t)
		acme := b.mustIdentify(t, "closed", keyOfAcme)
		shared := &lateStream{fakeStream: b.shared}
		b.config.Shared = shared
		shared.next = func() {
			_, err := b.CancelFor(t.Context(), acme, "1")
			require.NoError(t, err)
		}
		assertRefused(t, b.SubmitFor(t.Context(), acme, workflow("1")))
		_, known, err := b.Phase(t.Context(), "1")
		require.NoError(t, err)
		assert.False(t, known)
	})
	t.Run("refuses a later submission, which can't be retried", func(t *testing.T) {
		b := newBench(t)
		acme, birch := b.mustIdentify(t, "closed", keyOfAcme), b.mustIdentify(t, "closed", keyOfBirch)
		_, err := b.CancelFor(t.Context(), acme, "1")
		require.NoError(t, err)
		err = b.SubmitFor(t.Context(), acme, workflow("1"))
		assertRefused(t, err)
		var refused *RefusedError
		require.ErrorAs(t, err, &refused)
		assert.Zero(t, refused.RetryAfter)
		assert.NoError(t, b.SubmitFor(t.Context(), birch, workflow("1")), "another organisation's workflow")
	})
	t.Run("is recorded once", func(t *testing.T) {
		b := newBench(t)
		acme := b.mustIdentify(t, "closed", keyOfAcme)
		writes := b.shared.writes
		for range 3 {
			known, err := b.CancelFor(t.Context(), acme, "1")
			require.NoError(t, err)
			assert.False(t, known)
		}
		assert.Equal(t, writes+1, b.shared.writes)
	})
	t.Run("is not recorded for an ID that no workflow can have", func(t *testing.T) {
		b := newBench(t)
		writes := b.shared.writes
		for _, id := range []briarspring.WorkflowID{"", "a/b", briarspring.WorkflowID(strings.Repeat("a", 300))} {
			known, err := b.Cancel(t.Context(), id)
			require.NoError(t, err)
			assert.False(t, known)
		}
		assert.Equal(t, writes, b.shared.writes)
	})
	t.Run("is not acknowledged if it can't be recorded", func(t *testing.T) {
		b := newBench(t)
		acme := b.mustIdentify(t, "closed", keyOfAcme)
		ctx, cancel := context.WithCancel(t.Context())
		b.config.Shared = &lateStream{fakeStream: b.shared, next: cancel}
		_, err := b.CancelFor(ctx, acme, "1")
		var unanswered *briarspring.NoAnswerError
		assert.ErrorAs(t, err, &unanswered)
	})
	t.Run("is refused to an organisation that has cancelled too many", func(t *testing.T) {
		b := newBench(t)
		acme, birch := b.mustIdentify(t, "closed", keyOfAcme), b.mustIdentify(t, "closed", keyOfBirch)
		for i := range maxEarlyCancellations {
			_, err := b.CancelFor(t.Context(), acme, briarspring.WorkflowID(fmt.Sprint(i)))
			require.NoError(t, err)
		}
		_, err := b.CancelFor(t.Context(), acme, "x")
		assertRefused(t, err)
		_, err = b.CancelFor(t.Context(), birch, "x")
		assert.NoError(t, err)
		count := 0
		b.ReadRegistry(func(r *registrar.Registry) { count = r.EarlyCancellations("acme") })
		assert.Equal(t, maxEarlyCancellations, count)
	})
}
