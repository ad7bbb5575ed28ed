package dispatcher_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"briarspring"
	"briarspring/dispatcher"
)

// Guards against a task that starts again because its start was carried out late and its
// end was listed a moment after the run had left the list of what runs.
func TestLateStartWithLateEnd(t *testing.T) {
	s := newFixture(t, dispatcher.Config{Token: 1}, 2)
	s.d.Submit(s.now, 0, workflow("a", step(1, 1000)), 5, nil, nil)
	s.now += 200 * time.Millisecond
	s.renewAll()
	s.d.ForcePlan()
	var run briarspring.RunRef
	worker := ""
	unanswered := func() (started []briarspring.RunRef) {
		for _, o := range s.d.Plan(s.now) {
			if o.Kind == dispatcher.OrderStart {
				worker, run = o.Worker, o.Start.Run
				started = append(started, run)
			}
			s.d.HandleVerdict(s.now, o, briarspring.VerdictUnanswered)
		}
		return started
	}
	require.Len(t, unanswered(), 1)
	first := run
	for range 13 { // 1.3 s without the run.
		s.now += 100 * time.Millisecond
		s.renewAll()
		s.store()
		require.Empty(t, unanswered())
	}
	// Carried out after 1.35 s, ended after 1.54 s; the end is listed 60 ms later.
	s.now += 260 * time.Millisecond
	s.renewAll()
	s.store()
	s.d.ForcePlan()
	again := unanswered()
	s.now += 40 * time.Millisecond
	s.endRun(worker, first, briarspring.RunDone)
	assert.Empty(t, again, "started again before its end was listed")
}
