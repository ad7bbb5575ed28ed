package admitter

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestOutage replays an outage of the log of 6 s: a caller whose first try is
// refused makes three more, as the platform's clients do.
func TestOutage(t *testing.T) {
	const outage = 6 * time.Second
	const tries = 4
	servedAfter := func(wait func(age time.Duration) time.Duration) (time.Duration, bool) {
		at := staleAge
		for range tries {
			if at > outage {
				return at - outage, true
			}
			at += wait(at)
		}
		return 0, false
	}
	t.Run("callers outlast it", func(t *testing.T) {
		late, served := servedAfter(retryAfter)
		assert.True(t, served)
		assert.LessOrEqual(t, late, mostRetry)
	})
	t.Run("with a constant second they did not", func(t *testing.T) {
		_, served := servedAfter(func(time.Duration) time.Duration { return leastRetry })
		assert.False(t, served)
	})
	t.Run("the time is bounded", func(t *testing.T) {
		assert.Equal(t, leastRetry, retryAfter(0))
		assert.Equal(t, 2*time.Second, retryAfter(4*time.Second))
		assert.Equal(t, mostRetry, retryAfter(time.Minute))
	})
}
