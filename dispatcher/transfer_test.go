package dispatcher_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"briarspring"
	"briarspring/dispatcher"
)

func TestTransfers(t *testing.T) {
	elsewhere := func(*briarspring.Step) string { return "viljandi" }
	lasting := step(2, 1000)
	lasting.Lasting = true
	t.Run("of single tasks of a lasting workflow", func(t *testing.T) {
		s := newSite(t, dispatcher.Config{Token: 1}, 1)
		s.d.Submit(s.now, 0, workflow("a", lasting), 5, nil, nil)
		run := starts(s.plan())["w0"][0]
		s.d.SetOut(s.now, true)
		s.end("w0", run, briarspring.RunFailed)
		s.holdAll()
		list := s.d.TakeTransfers(s.now, elsewhere)
		require.Len(t, list, 1)
		require.Len(t, list[0].Content.Tasks, 1)
		assert.Equal(t, run.Task.Index, list[0].Content.Tasks[0].Position)
	})
	// The batch that drops a workflow may be on its way when a task comes back.
	t.Run("and back before the dropping is stored", func(t *testing.T) {
		s := newSite(t, dispatcher.Config{Token: 1}, 1)
		s.d.Submit(s.now, 0, workflow("a", lasting), 5, nil, nil)
		s.d.Moved(s.now, "a", func(int) dispatcher.Place { return dispatcher.Place{Moves: 1} })
		batch, due := s.d.TakeBatch()
		require.True(t, due)
		s.d.Moved(s.now, "a", func(position int) dispatcher.Place {
			return dispatcher.Place{Mine: true, Moves: 2, Brought: briarspring.TaskProgress{Position: position, Run: 4}}
		})
		s.d.Stored(batch)
		list := starts(s.plan())["w0"]
		require.Len(t, list, 2)
		assert.Equal(t, uint32(5), list[0].Run)
	})
}

// A new owner that had not read the list of workers yet gave tasks away that the
// earlier one had just started.
func TestTransfersAfterTakeover(t *testing.T) {
	elsewhere := func(*briarspring.Step) string { return "viljandi" }
	old := newSite(t, dispatcher.Config{Token: 1}, 1)
	old.d.Submit(old.now, 0, workflow("a", step(1, 1000)), 5, nil, nil)
	old.plan()
	s := old.successor(9)
	s.d.SetOut(s.now, true)
	s.d.Submit(s.now, 0, workflow("a", step(1, 1000)), 5, nil, nil)
	s.plan()
	assert.Empty(t, s.d.TakeTransfers(s.now, elsewhere), "no worker is known")
	s.d.SetWorkers(s.now, []briarspring.WorkerEntry{s.workers["w0"].entry})
	s.plan()
	assert.Empty(t, s.d.TakeTransfers(s.now, elsewhere), "the worker has not answered")
	s.hold("w0")
	s.plan()
	assert.Empty(t, s.d.TakeTransfers(s.now, elsewhere), "the task runs")
}

// A task that left and came back while the owner read nothing counted as leaving
// for good.
func TestTaskThatLeftAndCameBack(t *testing.T) {
	s := newSite(t, dispatcher.Config{Token: 1}, 1)
	lasting := step(1, 9000) // More than the worker has.
	lasting.Lasting = true
	s.d.Submit(s.now, 0, workflow("a", lasting), 5, nil, nil)
	assert.Empty(t, starts(s.plan()))
	elsewhere := func(*briarspring.Step) string { return "viljandi" }
	s.now += time.Second
	require.Len(t, s.d.TakeTransfers(s.now, elsewhere), 1)
	s.now += time.Second
	require.Empty(t, s.d.TakeTransfers(s.now, elsewhere), "one is on its way")
	s.d.Moved(s.now, "a", func(int) dispatcher.Place { return dispatcher.Place{Mine: true, Moves: 2} })
	s.now += time.Second
	assert.Len(t, s.d.TakeTransfers(s.now, elsewhere), 1)
}
