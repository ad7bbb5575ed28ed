package steward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"briarspring/registrar"
)

// Reading the metrics during a takeover dereferenced a dispatcher that did not
// exist yet.
func TestInspectingATakeover(t *testing.T) {
	s := New(Config{DataCentre: "tartu", Now: func() time.Duration { return time.Second }})
	s.ownership = newOwnership(s, registrar.Claim{Token: 1})
	assert.True(t, s.Owns())
	_, ok := s.Counters()
	assert.False(t, ok)
	_, ok = s.Runs("")
	assert.False(t, ok)
}
