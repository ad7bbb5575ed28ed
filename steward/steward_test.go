package steward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"briarspring/registrar"
)

// Metrics that were asked for while an owner took a data centre over ended in a
// nil pointer.
func TestInspectingATakeover(t *testing.T) {
	s := New(Config{DataCentre: "tartu", Now: func() time.Duration { return time.Second }})
	s.term = newTerm(s, registrar.Claim{Token: 1})
	assert.True(t, s.Owns())
	_, ok := s.Counters()
	assert.False(t, ok)
	_, ok = s.Runs("")
	assert.False(t, ok)
}
