package counter_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"briarspring/counter"
)

func TestCounter(t *testing.T) {
	t.Run("counts by kind and outcome", func(t *testing.T) {
		c := counter.New()
		for range 99 {
			c.Observe("append", "done", 10*time.Millisecond)
		}
		c.Observe("append", "done", time.Second)
		c.Observe("append", "doubt", time.Hour)
		s := c.Snapshot()
		assert.InDelta(t, 100, s["append/done"]["count"], 0)
		assert.InDelta(t, 10, s["append/done"]["p50-ms"], 0.2)
		assert.InDelta(t, 1000, s["append/done"]["max-ms"], 10)
		assert.InDelta(t, 60000, s["append/doubt"]["max-ms"], 600)
	})
	t.Run("bounds the kinds", func(t *testing.T) {
		c := counter.New()
		for i := range 1000 {
			c.Observe(fmt.Sprint(i), "done", time.Millisecond)
		}
		assert.LessOrEqual(t, len(c.Snapshot()), 65)
		assert.InDelta(t, 936, c.Snapshot()["others"]["count"], 0)
	})
}
