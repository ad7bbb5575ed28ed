package assembler_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"briarspring"
)

const (
	waitingWorkflows = 8
	restartTime      = 600 * time.Millisecond
	// countAfter is the age from which the platform expects a workflow in the count of
	// those that wait.
	countAfter = 5 * time.Second
)

// cutOffRestartedWorkers restarts all workers of a data centre under their IDs, cuts them
// off after a while, and submits workflows just then, while their owner takes them for
// reachable. It returns a function that ends the cut.
func (f *fleet) cutOffRestartedWorkers(centre string) (end func()) {
	for i := range f.size.workers {
		f.pool.Crash(fmt.Sprintf("worker-%s-%d", centre, i))
	}
	time.Sleep(restartTime)
	for i := range f.size.workers {
		f.pool.Restart(fmt.Sprintf("worker-%s-%d", centre, i))
	}
	time.Sleep(2 * time.Second)
	f.setWorkersCut(centre, true)
	for i := range waitingWorkflows {
		require.True(f.t, f.submit(briarspring.WorkflowID(fmt.Sprintf("%016x", 0x51+i)), shortStep(2)))
	}
	return func() { f.setWorkersCut(centre, false) }
}

// assertWaiting checks that every host counts a number of workflows that wait.
func assertWaiting(t *testing.T, f *fleet, want int) {
	t.Helper()
	for name, h := range f.hosts {
		assert.Equal(t, want, h.intake.UnstartedWorkflows(testQueue), "count of %s", name)
	}
}

// Guards against workflows that leave the count of those that wait when a start is ordered,
// though no worker has carried it out.
func TestWaitingBesideUnansweredStarts(t *testing.T) {
	inVirtualTime(t, "workers that have restarted are cut off", func(t *testing.T, f *fleet) {
		end := f.cutOffRestartedWorkers(tartu)
		time.Sleep(countAfter)
		require.Zero(t, f.pool.Starts())
		assertWaiting(t, f, waitingWorkflows)
		end()
		time.Sleep(10 * time.Second)
		assertWaiting(t, f, 0)
		assertNoViolations(t, f)
	}, tartu)

	inVirtualTime(t, "their owner is replaced meanwhile", func(t *testing.T, f *fleet) {
		end := f.cutOffRestartedWorkers(tartu)
		time.Sleep(time.Second)
		f.remove(f.owner(tartu))
		time.Sleep(countAfter)
		require.Zero(t, f.pool.Starts())
		assert.Equal(t, waitingWorkflows, f.owner(tartu).intake.UnstartedWorkflows(testQueue))
		end()
		time.Sleep(20 * time.Second)
		assert.Zero(t, f.owner(tartu).intake.UnstartedWorkflows(testQueue))
		assertNoViolations(t, f)
	}, tartu)
}

// countWatch checks what the hosts of a history count.
type countWatch struct {
	acceptedAt map[briarspring.WorkflowID]time.Time
	done       chan struct{}
}

func newCountWatch() *countWatch {
	return &countWatch{acceptedAt: map[briarspring.WorkflowID]time.Time{}, done: make(chan struct{})}
}

func (c *countWatch) accept(id briarspring.WorkflowID) {
	if _, ok := c.acceptedAt[id]; !ok {
		c.acceptedAt[id] = time.Now()
	}
}

// noteAccepted records the outcome of a submission.
func (h *history) noteAccepted(id briarspring.WorkflowID, ok bool) {
	if !ok {
		return
	}
	h.accepted = append(h.accepted, id)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.counts.accept(id)
}

func (c *countWatch) end() { close(c.done) }

// watchCounts checks until the end of a history that no host that can read the log counts
// fewer workflows than have waited for countAfter.
func (h *history) watchCounts() {
	ticker := time.NewTicker(100 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-h.counts.done:
			return
		case <-ticker.C:
		}
		unstarted := h.unstarted()
		h.mu.Lock()
		hosts := slices.Collect(maps.Values(h.hosts))
		h.mu.Unlock()
		for _, host := range hosts {
			if !host.intake.Reachable() {
				continue
			}
			if n := host.intake.UnstartedWorkflows(testQueue); n < len(unstarted) {
				assert.Fail(h.t, "count too low", "%s at %s: %d workflows are said to wait; %v have waited for %s", host.caller, time.Since(h.began), n, unstarted, countAfter)
				return
			}
		}
	}
}

// unstarted returns the workflows that were accepted countAfter ago, and of which no worker
// has started a task. Those that recur may not be due.
func (h *history) unstarted() []briarspring.WorkflowID {
	h.mu.Lock()
	var list []briarspring.WorkflowID
	for id, at := range h.counts.acceptedAt {
		if time.Since(at) > countAfter && !h.cancelled[id] && h.workflows[id].Recurrence.Times == 0 {
			list = append(list, id)
		}
	}
	h.mu.Unlock()
	return slices.DeleteFunc(list, h.pool.Started)
}
