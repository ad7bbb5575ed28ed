package recorder_test

import (
	"bytes"
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"briarspring/recorder"
)

// slowWriter takes a second for each write.
type slowWriter struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (w *slowWriter) Write(p []byte) (int, error) {
	time.Sleep(time.Second)
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(p)
}

func TestRecorder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		to := &slowWriter{}
		r := recorder.New(to)
		ctx, cancel := context.WithCancel(t.Context())
		go r.Run(ctx)
		_, err := r.Write([]byte("line\n"))
		assert.NoError(t, err)
		// The writer is now busy for a second, so the queue fills up.
		synctest.Wait()
		began := time.Now()
		for range 5000 {
			_, err := r.Write([]byte("line\n"))
			assert.NoError(t, err)
		}
		assert.Zero(t, time.Since(began), "Write must not wait for the writer")
		time.Sleep(10 * time.Second)
		cancel()
		<-r.Done()
		assert.Contains(t, to.text.String(), "log lines dropped")
		assert.Zero(t, r.Dropped())
	})
}
