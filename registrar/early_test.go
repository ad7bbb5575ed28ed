package registrar_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"briarspring"
	"briarspring/encoder"
	"briarspring/registrar"
)

func (s *stream) cancelEarly(id briarspring.WorkflowID, c briarspring.EarlyCancellation) {
	value, err := encoder.EncodeEarlyCancellation(c)
	s.add(registrar.EarlyCancelKey(id, c), value, err)
}

func (s *stream) submitFor(organisation string, id briarspring.WorkflowID) {
	value, err := encoder.EncodeSubmission(&briarspring.Workflow{
		ID: id, DataCentre: "tartu", Queue: "urgent", Organisation: organisation, Steps: []briarspring.Step{{Tasks: 2}},
	})
	s.add(registrar.SubmissionKey(id, registrar.NewAttemptID()), value, err)
}

func assertPhase(t *testing.T, r *registrar.Registry, want briarspring.Phase, id briarspring.WorkflowID) {
	t.Helper()
	e := r.Workflow(id)
	require.NotNil(t, e)
	assert.Equal(t, want, e.Phase())
}

// Guards against a workflow that runs after its cancellation was acknowledged, because its
// submission was stored later.
func TestEarlyCancellation(t *testing.T) {
	everybody := briarspring.EarlyCancellation{DataCentre: "tartu"}
	of := func(organisation string) briarspring.EarlyCancellation {
		return briarspring.EarlyCancellation{DataCentre: "tartu", Organisation: organisation, Limited: true}
	}
	t.Run("cancels a submission that follows, and its repeats", func(t *testing.T) {
		s := &stream{t: t}
		s.cancelEarly("a", everybody)
		s.submit("a", "tartu")
		s.submit("a", "tartu")
		assertBoth(t, s, func(t *testing.T, r *registrar.Registry) {
			assertPhase(t, r, briarspring.PhaseCancelled, "a")
			assert.Zero(t, r.Waiting("urgent"))
		})
	})
	t.Run("cancels a submission that was stored just before", func(t *testing.T) {
		s := &stream{t: t}
		s.submit("a", "tartu")
		s.cancelEarly("a", everybody)
		assertBoth(t, s, func(t *testing.T, r *registrar.Registry) {
			assertPhase(t, r, briarspring.PhaseCancelled, "a")
			assert.Zero(t, r.Waiting("urgent"))
		})
	})
	t.Run("does not cancel another organisation's workflow", func(t *testing.T) {
		s := &stream{t: t}
		s.cancelEarly("a", of("birch"))
		s.submitFor("acme", "a")
		s.submitFor("acme", "b")
		s.cancelEarly("b", of("birch"))
		s.cancelEarly("c", of("birch"))
		s.submitFor("birch", "c")
		assertBoth(t, s, func(t *testing.T, r *registrar.Registry) {
			assertPhase(t, r, briarspring.PhaseQueued, "a")
			assertPhase(t, r, briarspring.PhaseQueued, "b")
			assertPhase(t, r, briarspring.PhaseCancelled, "c")
			assert.Equal(t, 3, r.EarlyCancellations("birch"))
			assert.Zero(t, r.EarlyCancellations("acme"))
		})
	})
	t.Run("survives a host that starts between its record and the submission", func(t *testing.T) {
		s := &stream{t: t}
		s.cancelEarly("a", everybody)
		s.submit("a", "tartu")
		assertPhase(t, s.restoredMeanwhile(1, 1), briarspring.PhaseCancelled, "a")
	})
	t.Run("is on an earlier page of newest records than the submission", func(t *testing.T) {
		assert.Less(t, registrar.EarlyCancelKey("z", of("birch")), registrar.SubmissionKey("a", "1"))
	})
	t.Run("has a key that the log takes, whatever the organisation's name", func(t *testing.T) {
		const maxKeyBytes = 255
		id := briarspring.WorkflowID(strings.Repeat("a", 63))
		assert.LessOrEqual(t, len(registrar.EarlyCancelKey(id, of(strings.Repeat("/", 300)))), maxKeyBytes)
		assert.NotEqual(t, registrar.EarlyCancelKey(id, of("acme")), registrar.EarlyCancelKey(id, of("birch")))
	})
	t.Run("survives a host that reads the newest records once more", func(t *testing.T) {
		s := &stream{t: t}
		s.cancelEarly("a", everybody)
		r := s.live()
		_, errs := r.Restore(time.Second, s.records, uint64(len(s.records)))
		require.Empty(t, errs)
		s.submit("a", "tartu")
		_, err := r.Apply(time.Second, s.records[1])
		require.NoError(t, err)
		assertPhase(t, r, briarspring.PhaseCancelled, "a")
	})
}

// Guards against cancellations of workflows that never were, which nobody removes, and against
// one that is removed before the submission that it cancels.
func TestExpiredEarlyCancellations(t *testing.T) {
	const keep = 10 * time.Second
	c := briarspring.EarlyCancellation{DataCentre: "tartu"}
	foreign := briarspring.EarlyCancellation{DataCentre: "tartu", Organisation: "birch", Limited: true}
	s := &stream{t: t}
	s.cancelEarly("never", c)
	s.cancelEarly("a", c)
	s.cancelEarly("b", foreign)
	s.submit("a", "viljandi")
	s.submitFor("acme", "b")
	assertBoth(t, s, func(t *testing.T, r *registrar.Registry) {
		assert.Empty(t, r.Expired(keep, keep, "tartu", 20))
		own := r.Expired(time.Second+keep, keep, "tartu", 20)
		assert.ElementsMatch(t, []string{registrar.EarlyCancelKey("never", c), registrar.EarlyCancelKey("b", foreign)}, own)
		assert.Len(t, r.Expired(time.Second+keep, keep, "tartu", 1), 1)
		assert.Contains(t, r.Expired(time.Second+keep, keep, "viljandi", 20), registrar.EarlyCancelKey("a", c))
		for i, key := range own {
			_, err := r.Apply(time.Second+keep, briarspring.KeyedRecord{Key: key, Offset: uint64(len(s.records) + i)})
			require.NoError(t, err)
		}
		assert.Empty(t, r.Expired(time.Second+keep, keep, "tartu", 20))
		assert.Zero(t, r.EarlyCancellations("birch"))
	})
}
