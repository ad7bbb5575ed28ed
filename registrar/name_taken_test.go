package registrar_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"briarspring"
	"briarspring/encoder"
	"briarspring/registrar"
)

// Guards against a presence record that is taken for the word of the earlier process of
// its host.
func TestOwnerWithANewName(t *testing.T) {
	const unreachable = 12 * time.Second
	newStream := func() (s *stream, token uint64) {
		s = &stream{t: t}
		value, err := encoder.EncodeDataCentreClaim(briarspring.DataCentreClaim{DataCentre: "tartu", Owner: "host-1", Incarnation: 1, Yields: true})
		token = s.add(registrar.ClaimKey("tartu", registrar.NewAttemptID()), value, err) + 1
		s.claim("host-2", token)
		value, err = encoder.EncodeHostPresence(briarspring.HostPresence{DataCentre: "tartu", Incarnation: 2})
		s.add(registrar.HostKey("host-1"), value, err)
		return s, token
	}
	t.Run("may have a process beside it", func(t *testing.T) {
		s, _ := newStream()
		assertBoth(t, s, func(t *testing.T, r *registrar.Registry) {
			assert.True(t, r.PredecessorsNameTaken(2*time.Second, unreachable, "tartu"))
			assert.False(t, r.PredecessorsNameTaken(14*time.Second, unreachable, "tartu"))
		})
	})
	t.Run("is gone when it says so", func(t *testing.T) {
		s, token := newStream()
		value, err := encoder.EncodeRetirement(briarspring.Retirement{Token: token})
		s.add(registrar.RetireKey("tartu", token), value, err)
		assertBoth(t, s, func(t *testing.T, r *registrar.Registry) {
			assert.False(t, r.PredecessorsNameTaken(2*time.Second, unreachable, "tartu"))
		})
	})
}
