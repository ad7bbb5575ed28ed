package assembler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"briarspring"
	"briarspring/admitter"
	"briarspring/imitator"
)

// addedQueue is the queue that version 2 of the directory adds.
var addedQueue = briarspring.Queue{Name: "added", Host: testQueue.Host, Prefix: "/added/", Service: "ledger", MaxAttempts: 3}

// loseDirectory makes the directory unreachable for one host and returns a function
// that ends that.
func (f *fleet) loseDirectory(h *testHost) (end func()) {
	return f.store.BeginOutage(imitator.StreamOutage{Stream: briarspring.DirectoryStream, Caller: h.caller, Silent: true})
}

// other returns a host of a data centre that isn't its owner.
func (f *fleet) other(centre string) *testHost {
	owner := f.owner(centre)
	for i := range f.size.hosts {
		if h := f.host(centre, i); h != owner {
			return h
		}
	}
	return nil
}

// submitTo submits a workflow of short tasks to a queue of one host, as callers do:
// the host must know the queue.
func (f *fleet) submitTo(h *testHost, q briarspring.Queue, id briarspring.WorkflowID) {
	f.mu.Lock()
	f.workflows[id] = &briarspring.Workflow{ID: id, Steps: []briarspring.Step{shortStep(2)}, MaxAttempts: q.MaxAttempts}
	f.mu.Unlock()
	found, _, err := h.intake.Find(q.Host, q.Prefix)
	require.NoError(f.t, err)
	require.NoError(f.t, h.intake.Submit(f.t.Context(), found, &briarspring.Workflow{ID: id, Steps: []briarspring.Step{shortStep(2)}}))
}

// Guards against an owner that starts the tasks of a queue of a newer directory and
// then answers callers by an older one.
func TestAnswerOlderThanAStart(t *testing.T) {
	const slack = 250 * time.Millisecond // The platform's bound from a start to answers that follow it.
	inVirtualTime(t, "the owner can't read the directory", func(t *testing.T, f *fleet) {
		owner := f.owner(tartu)
		defer f.loseDirectory(owner)()
		f.store.Put(briarspring.DirectoryStream, directoryRecord(t, 2))
		time.Sleep(300 * time.Millisecond)
		f.submitTo(f.other(tartu), addedQueue, "0000000000000042")
		require.Eventually(t, func() bool { return f.pool.Starts() > 0 }, 2*time.Second, time.Millisecond)
		time.Sleep(slack)
		_, _, err := owner.intake.Find(addedQueue.Host, addedQueue.Prefix)
		assert.NoError(t, err)
		assertNoViolations(t, f)
	}, tartu)
}

// Guards against a new owner that starts tasks in a data centre that is out of service,
// because nobody told it so yet.
func TestOutOfServiceAfterARestartWithoutTheDirectory(t *testing.T) {
	for _, delay := range []time.Duration{100 * time.Millisecond, 300 * time.Millisecond, 2 * time.Second} {
		inVirtualTime(t, "all hosts restart after "+delay.String(), func(t *testing.T, f *fleet) {
			const id = "0000000000000043"
			f.submit(id, shortStep(1), shortStep(2, 0))
			time.Sleep(300 * time.Millisecond)
			f.store.Put(briarspring.DirectoryStream, imitator.OutOfServiceRecord(tartu, true))
			time.Sleep(delay)
			require.Equal(t, 1, f.pool.Starts(), "the second step waits")
			defer f.store.BeginOutage(imitator.StreamOutage{Stream: briarspring.DirectoryStream, Silent: true})()
			for i := range hostsPerCentre {
				go f.kill(f.host(tartu, i), time.Second)
			}
			time.Sleep(15 * time.Second)
			assert.Equal(t, 1, f.pool.Starts())
			assertNoViolations(t, f)
		}, tartu)
	}
}

// Guards against an owner that goes on starting tasks in a data centre that was taken out
// of service, because it can't read the directory itself.
func TestOutOfServiceWithoutTheDirectory(t *testing.T) {
	inVirtualTime(t, "the owner can't read the directory", func(t *testing.T, f *fleet) {
		const id = "0000000000000044"
		owner := f.owner(tartu)
		defer f.loseDirectory(owner)()
		second := shortStep(2, 0)
		second.Estimate = 5 * time.Second
		f.mu.Lock()
		f.workflows[id] = &briarspring.Workflow{ID: id, Steps: []briarspring.Step{shortStep(1), second}, MaxAttempts: testQueue.MaxAttempts}
		f.mu.Unlock()
		require.NoError(t, owner.intake.Submit(t.Context(), testQueue, &briarspring.Workflow{ID: id, Steps: []briarspring.Step{shortStep(1), second}}))
		time.Sleep(100 * time.Millisecond)
		require.Equal(t, tartu, f.centreOf(id))
		f.store.Put(briarspring.DirectoryStream, imitator.OutOfServiceRecord(tartu, true))
		task := briarspring.TaskRef{Workflow: id, Step: 1}
		require.Eventually(t, func() bool { return f.pool.Running(task) > 0 }, 10*time.Second, 10*time.Millisecond)
		for _, e := range f.pool.Entries() {
			if f.pool.RunsOn(e.ID, task) {
				assert.NotEqual(t, tartu, e.DataCentre)
			}
		}
		assertNoViolations(t, f)
	}, tartu, viljandi)
}

// Guards against a host that answers "no such queue" as if it knew, when it has not been
// able to read the directory for seconds.
func TestUnknownQueueWithoutTheDirectory(t *testing.T) {
	inVirtualTime(t, "one host can't read the directory", func(t *testing.T, f *fleet) {
		h := f.host(tartu, 1)
		end := f.loseDirectory(h)
		time.Sleep(3 * time.Second)
		_, _, err := h.intake.Find(addedQueue.Host, addedQueue.Prefix)
		var refused *admitter.RefusedError
		require.ErrorAs(t, err, &refused)
		assert.Positive(t, refused.RetryAfter)
		_, err = h.intake.Queue(addedQueue.Name)
		assert.ErrorAs(t, err, &refused)
		_, _, err = h.intake.Find(testQueue.Host, testQueue.Prefix)
		assert.NoError(t, err, "queues that it knows are served")
		end()
		time.Sleep(2 * time.Second)
		_, _, err = h.intake.Find(addedQueue.Host, addedQueue.Prefix)
		var unknown *admitter.UnknownQueueError
		assert.ErrorAs(t, err, &unknown)
	}, tartu)
}
