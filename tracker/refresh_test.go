package tracker_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"briarspring"
	"briarspring/tracker"
)

// readCounter is a store whose reads take readTime, or wait for a record that
// never comes.
type readCounter struct {
	mu    sync.Mutex
	reads int
}

const readTime = 5 * time.Millisecond

func (c *readCounter) Read(ctx context.Context, _ string, from uint64, wait time.Duration) (briarspring.KeyedPage, error) {
	c.mu.Lock()
	c.reads++
	c.mu.Unlock()
	select {
	case <-ctx.Done():
		return briarspring.KeyedPage{}, ctx.Err()
	case <-time.After(readTime + wait):
	}
	return briarspring.KeyedPage{Next: from, End: from}, nil
}

func (c *readCounter) Newest(context.Context, string, string) (briarspring.KeyedPage, bool, error) {
	time.Sleep(readTime)
	return briarspring.KeyedPage{}, false, nil
}

func (c *readCounter) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reads
}

type discard struct{}

func (discard) Restore([]briarspring.KeyedRecord, uint64) {}
func (discard) Apply([]briarspring.KeyedRecord)           {}

// withTracker runs a test in virtual time with a tracker that reads each second.
func withTracker(t *testing.T, wait time.Duration, test func(t *testing.T, tr *tracker.Tracker, store *readCounter)) {
	synctest.Test(t, func(t *testing.T) {
		store := &readCounter{}
		began := time.Now()
		tr := tracker.New(tracker.Config{
			Stream: "s", Store: store, Sink: discard{}, Wait: wait, Interval: func() time.Duration { return time.Second },
			Now: func() time.Duration { return time.Since(began) },
		})
		ctx, cancel := context.WithCancel(t.Context())
		go tr.Run(ctx)
		time.Sleep(100 * time.Millisecond)
		test(t, tr, store)
		cancel()
		<-tr.Done()
	})
}

func TestRefresh(t *testing.T) {
	t.Run("reads at once", func(t *testing.T) {
		withTracker(t, 0, func(t *testing.T, tr *tracker.Tracker, _ *readCounter) {
			began := time.Now()
			tr.Refresh(t.Context())
			assert.Equal(t, readTime, time.Since(began))
			age, _ := tr.Age()
			assert.Equal(t, readTime, age, "the read was sent after the call")
		})
	})
	// Guards against a read for each of many callers that ask at the same time.
	t.Run("reads once for callers that ask together", func(t *testing.T) {
		withTracker(t, 0, func(t *testing.T, tr *tracker.Tracker, store *readCounter) {
			before := store.count()
			var callers sync.WaitGroup
			for range 50 {
				callers.Go(func() { tr.Refresh(t.Context()) })
			}
			callers.Wait()
			assert.LessOrEqual(t, store.count()-before, 2)
		})
	})
	t.Run("returns at once while a read waits for the next record", func(t *testing.T) {
		withTracker(t, 10*time.Second, func(t *testing.T, tr *tracker.Tracker, store *readCounter) {
			time.Sleep(2 * time.Second)
			before, began := store.count(), time.Now()
			tr.Refresh(t.Context())
			assert.Zero(t, time.Since(began))
			assert.Equal(t, before, store.count())
		})
	})
	t.Run("ends with its context when the store does not answer", func(t *testing.T) {
		withTracker(t, 0, func(t *testing.T, tr *tracker.Tracker, _ *readCounter) {
			ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
			defer cancel()
			began := time.Now()
			tr.Refresh(ctx)
			assert.Equal(t, time.Millisecond, time.Since(began))
		})
	})
}
