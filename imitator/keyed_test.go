package imitator

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"briarspring"
)

func TestStreamOutage(t *testing.T) {
	s := NewKeyedStore(1)
	read := func(caller, stream string) error {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := s.Client(caller).Read(ctx, stream, 0, 0)
		return err
	}
	var down *briarspring.NotExecutedError
	var silent *briarspring.NoAnswerError

	end := s.BeginOutage(StreamOutage{Stream: "x", Caller: "a"})
	require.ErrorAs(t, read("a", "x"), &down)
	require.NoError(t, read("b", "x"), "of another caller")
	require.NoError(t, read("a", "y"), "of another stream")
	endSilent := s.BeginOutage(StreamOutage{Silent: true})
	synctest.Test(t, func(t *testing.T) { require.ErrorAs(t, read("b", "y"), &silent) })
	assert.False(t, s.reachable(), "for workers while all streams are down")
	endSilent()
	assert.True(t, s.reachable())
	require.ErrorAs(t, read("a", "x"), &down, "outages that overlap end one by one")
	end()
	require.NoError(t, read("a", "x"))
}

func TestLastWriter(t *testing.T) {
	s := NewKeyedStore(1)
	appendAs := func(caller string, epoch uint64) error {
		_, err := s.Client(caller).Append(t.Context(), "x", nil, briarspring.Fence{Epoch: epoch})
		return err
	}
	assert.Empty(t, s.LastWriter("x"))
	require.NoError(t, appendAs("a", 1))
	require.NoError(t, appendAs("b", 2))
	require.Error(t, appendAs("a", 1))
	assert.Equal(t, "b", s.LastWriter("x"))
}
