package learner_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"briarspring/learner"
)

func colocated(class string, n float64) []learner.Colocated {
	return []learner.Colocated{{Class: class, Tasks: n}}
}

// observe feeds measurements of a service with a tail of 20 ms, which each noisy
// task raises by half.
func observe(l *learner.Learner, rounds int) {
	for range rounds {
		l.Observe("ledger", 20*time.Millisecond, nil)
		l.Observe("ledger", 30*time.Millisecond, colocated("noisy", 1))
		l.Observe("ledger", 40*time.Millisecond, colocated("noisy", 2))
		l.Observe("ledger", 20*time.Millisecond, colocated("quiet", 3))
	}
}

func TestLearnsPairs(t *testing.T) {
	l := learner.New(learner.Config{})
	observe(l, 20)
	assert.InDelta(t, 0.5, l.Slowdown("ledger", "noisy"), 0.05)
	assert.InDelta(t, 0, l.Slowdown("ledger", "quiet"), 0.02)
	assert.Zero(t, l.Slowdown("prices", "noisy"), "another service")
	assert.InDelta(t, 1.5, l.Ratio("ledger", 30*time.Millisecond), 0.05)
}

func TestLearnsWithoutQuietTimes(t *testing.T) {
	l := learner.New(learner.Config{})
	for range 30 {
		l.Observe("ledger", 20*time.Millisecond, colocated("quiet", 1))
		l.Observe("ledger", 30*time.Millisecond, colocated("noisy", 1))
	}
	assert.Greater(t, l.Slowdown("ledger", "noisy"), 0.3)
	assert.Less(t, l.Slowdown("ledger", "quiet"), 0.1)
}

func TestForgetsWhatIsAvoided(t *testing.T) {
	l := learner.New(learner.Config{})
	observe(l, 20)
	for range 100 {
		l.Decay()
	}
	assert.Less(t, l.Slowdown("ledger", "noisy"), 0.1)
}
