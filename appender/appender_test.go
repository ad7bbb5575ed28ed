package appender

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"briarspring"
)

// heldStore is a store whose appends wait until they are released.
type heldStore struct {
	release chan struct{}
	keys    []string
}

// Append implements Store.
func (s *heldStore) Append(ctx context.Context, _ string, records []briarspring.KeyedRecord, _ briarspring.Fence) (uint64, error) {
	select {
	case <-s.release:
	case <-ctx.Done():
		return 0, &briarspring.NoAnswerError{Call: "append", Cause: ctx.Err()}
	}
	for _, r := range records {
		s.keys = append(s.keys, r.Key)
	}
	return uint64(len(s.keys)), nil
}

// Guards against a caller that is told that its workflow may run, although the append
// was never sent, and against one that is told that it won't run although it may.
func TestWriteAtTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &heldStore{release: make(chan struct{})}
		a := New(Config{Stream: "shared", Store: store})
		ctx, stop := context.WithCancel(t.Context())
		go a.Run(ctx)
		write := func(key string) error {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			return a.Write(ctx, briarspring.KeyedRecord{Key: key, Value: []byte("x")})
		}
		sent := make(chan error, maxInFlight)
		for range maxInFlight {
			go func() { sent <- write("sent") }()
			time.Sleep(2 * batchWindow)
		}
		var refused *briarspring.NotExecutedError
		require.ErrorAs(t, write("withdrawn"), &refused)
		var unanswered *briarspring.NoAnswerError
		for range maxInFlight {
			require.ErrorAs(t, <-sent, &unanswered)
		}
		time.Sleep(callTimeout)
		close(store.release)
		require.NoError(t, write("later"))
		assert.Equal(t, []string{"later"}, store.keys)
		stop()
		<-a.Done()
	})
}
