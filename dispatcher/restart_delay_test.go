package dispatcher_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"briarspring"
	"briarspring/dispatcher"
)

// Guards against a long-running task that takes starts and records many times a second, or
// that stays away for long, because its program exits at once.
func TestRestartDelay(t *testing.T) {
	const watched, longestAway = 60 * time.Second, 9 * time.Second
	for _, how := range []briarspring.RunEnd{briarspring.RunDone, briarspring.RunFailed} {
		t.Run(how.String(), func(t *testing.T) {
			s := newFixture(t, dispatcher.Config{Token: 1}, 2)
			s.d.Submit(s.now, 0, workflow("a", longRunning(1, 1000)), 5, nil, nil)
			var startedAt []time.Duration
			for end := s.now + watched; s.now < end; {
				for id, runs := range starts(s.advance(200 * time.Millisecond)) {
					for _, run := range runs {
						startedAt = append(startedAt, s.now)
						s.endRun(id, run, how)
					}
				}
			}
			assert.Less(t, len(startedAt), 30)
			for i, at := range startedAt[1:] {
				assert.Less(t, at-startedAt[i], longestAway)
			}
			assert.False(t, s.phases()["a"].Final())
		})
	}
	t.Run("ends once a run has lasted", func(t *testing.T) {
		s := newFixture(t, dispatcher.Config{Token: 1}, 2)
		s.d.Submit(s.now, 0, workflow("a", longRunning(1, 1000)), 5, nil, nil)
		for i := range 12 {
			lasts := time.Duration(0)
			if i >= 10 {
				lasts = 5 * time.Second
			}
			list := starts(s.advance(5 * time.Second))
			require.Equal(t, 1, countRuns(list), "start %d", i)
			s.advance(lasts)
			for id, runs := range list {
				s.endRun(id, runs[0], briarspring.RunFailed)
			}
		}
		assert.Equal(t, 1, countRuns(starts(s.advance(400*time.Millisecond))))
	})
}

// Guards against sound workers that are quarantined because a program exits at once on each.
func TestQuarantineByAProgramThatExits(t *testing.T) {
	s := newFixture(t, dispatcher.Config{Token: 1}, 2)
	s.d.Submit(s.now, 0, workflow("a", longRunning(1, 1000)), 5, nil, nil)
	for range 100 {
		for id, runs := range starts(s.advance(200 * time.Millisecond)) {
			s.endRun(id, runs[0], briarspring.RunFailed)
		}
	}
	s.d.Submit(s.now, 0, workflow("b", step(1, 7500), step(1, 7500)), 6, nil, nil)
	assert.Len(t, starts(s.planAndApply()), 2)
}
