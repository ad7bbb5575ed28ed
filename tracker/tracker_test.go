package tracker_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"briarspring"
	"briarspring/tracker"
)

// pages is a store that returns the given pages in turn.
type pages []briarspring.KeyedPage

func (p *pages) Read(context.Context, string, uint64, time.Duration) (briarspring.KeyedPage, error) {
	return briarspring.KeyedPage{}, nil
}

func (p *pages) Newest(context.Context, string, string) (briarspring.KeyedPage, bool, error) {
	page := (*p)[0]
	*p = (*p)[1:]
	return page, len(*p) > 0, nil
}

func page(end uint64, keys ...string) briarspring.KeyedPage {
	m := briarspring.KeyedPage{End: end}
	for i, k := range keys {
		m.Records = append(m.Records, briarspring.KeyedRecord{Key: k, Value: []byte{1}, Offset: uint64(i)})
	}
	return m
}

func TestNewest(t *testing.T) {
	t.Run("reads on from the end of the first page", func(t *testing.T) {
		records, end, err := tracker.Newest(t.Context(), &pages{page(10, "a", "b"), page(14, "c")}, "s")
		require.NoError(t, err)
		assert.Len(t, records, 3)
		assert.EqualValues(t, 10, end)
	})
	// Records appended between the two ends would never be read.
	t.Run("refuses a page that is older than the first", func(t *testing.T) {
		_, _, err := tracker.Newest(t.Context(), &pages{page(10, "a", "b"), page(9, "c")}, "s")
		var stale *tracker.StaleError
		require.ErrorAs(t, err, &stale)
		assert.EqualValues(t, 9, stale.End)
	})
}
