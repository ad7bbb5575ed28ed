package registrar_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"briarspring"
	"briarspring/encoder"
	"briarspring/registrar"
)

func (s *stream) claimShort(owner string, previous uint64) uint64 {
	value, err := encoder.EncodeDataCentreClaim(briarspring.DataCentreClaim{
		DataCentre: "tartu", Previous: previous, Owner: owner, Incarnation: 1, Yields: true, ShortLeases: true,
	})
	return s.add(registrar.ClaimKey("tartu", registrar.NewAttemptID()), value, err) + 1
}

func (s *stream) heartbeat(token uint64) {
	value, err := encoder.EncodeHeartbeat(briarspring.OwnerHeartbeat{Token: token})
	s.add(registrar.HeartbeatKey("tartu"), value, err)
}

// timed returns the state of a host that read a record each second.
func (s *stream) timed() *registrar.Registry {
	r := registrar.New()
	for i, rec := range s.records {
		_, err := r.Apply(time.Duration(i)*time.Second, rec)
		require.NoError(s.t, err)
	}
	return r
}

// Guards against a successor that takes the last full lease for ended, since it missed a
// heartbeat of an earlier owner.
func TestPredecessorsHeardAt(t *testing.T) {
	t.Run("is the last heartbeat", func(t *testing.T) {
		s := &stream{t: t}
		first := s.claimShort("host-1", 0)
		s.heartbeat(first)
		s.claimShort("host-2", first)
		assert.Equal(t, time.Second, s.timed().PredecessorsHeardAt("tartu"))
	})
	t.Run("is one that follows the next claim", func(t *testing.T) {
		s := &stream{t: t}
		first := s.claimShort("host-1", 0)
		s.claimShort("host-2", first)
		s.heartbeat(first)
		assert.Equal(t, 2*time.Second, s.timed().PredecessorsHeardAt("tartu"))
	})
	t.Run("is the latest of several owners", func(t *testing.T) {
		s := &stream{t: t}
		first := s.claimShort("host-1", 0)
		second := s.claimShort("host-2", first)
		s.heartbeat(second)
		s.claimShort("host-3", second)
		r := s.timed()
		assert.Equal(t, 2*time.Second, r.PredecessorsHeardAt("tartu"))
		assert.Equal(t, []uint64{first, second}, r.PredecessorTokens(4*time.Second, 12*time.Second, "tartu"))
		assert.Equal(t, []uint64{second}, r.PredecessorTokens(14*time.Second, 12*time.Second, "tartu"))
	})
	t.Run("is the reading of the newest records, which lack heartbeats", func(t *testing.T) {
		s := &stream{t: t}
		first := s.claimShort("host-1", 0)
		s.heartbeat(first)
		second := s.claimShort("host-2", first)
		s.heartbeat(second)
		s.claimShort("host-3", second)
		r := registrar.New()
		for i, rec := range s.records[:2] {
			_, err := r.Apply(time.Duration(i)*time.Second, rec)
			require.NoError(t, err)
		}
		_, errs := r.Restore(9*time.Second, append(s.records[:1:1], s.records[2:]...), uint64(len(s.records)))
		require.Empty(t, errs)
		assert.Equal(t, 9*time.Second, r.PredecessorsHeardAt("tartu"))
	})
	t.Run("says nothing beside an owner of an earlier version", func(t *testing.T) {
		s := &stream{t: t}
		first := s.claim("host-1", 0)
		s.claimShort("host-2", first)
		r := s.timed()
		assert.False(t, r.PredecessorsShortLeases(2*time.Second, 20*time.Second, "tartu"))
		assert.True(t, r.PredecessorsShortLeases(22*time.Second, 20*time.Second, "tartu"))
	})
}
