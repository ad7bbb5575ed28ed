package admitter

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestOutage simulates a 6 s outage of the log: a caller whose first attempt is
// refused makes three more, like the platform's clients.
func TestOutage(t *testing.T) {
	const outage = 6 * time.Second
	const attempts = 4
	servedAfter := func(wait func(age time.Duration) time.Duration) (time.Duration, bool) {
		at := staleAge
		for range attempts {
			if at > outage {
				return at - outage, true
			}
			at += wait(at)
		}
		return 0, false
	}
	t.Run("callers outlast it", func(t *testing.T) {
		delay, served := servedAfter(retryAfter)
		assert.True(t, served)
		assert.LessOrEqual(t, delay, maxRetryAfter)
	})
	t.Run("a constant delay of 1 s fails", func(t *testing.T) {
		_, served := servedAfter(func(time.Duration) time.Duration { return minRetryAfter })
		assert.False(t, served)
	})
	t.Run("the delay is limited", func(t *testing.T) {
		assert.Equal(t, minRetryAfter, retryAfter(0))
		assert.Equal(t, 2*time.Second, retryAfter(4*time.Second))
		assert.Equal(t, maxRetryAfter, retryAfter(time.Minute))
	})
}
