// Package counter counts events by kind and outcome and keeps a histogram of how
// long they took, for a process's metrics.
package counter

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// longest time that a histogram tells apart; calls time out before.
	longest = 60 * time.Second
	// digits of precision of a histogram.
	digits = 2
	// maxKinds bounds the pairs of kind and outcome; later ones are counted
	// together.
	maxKinds = 64
	// others is the kind of events beyond maxKinds.
	others = "others"
)

// Counter counts events.
type Counter struct {
	mu     sync.Mutex
	events map[event]*series
}

type event struct {
	kind    string
	outcome string
}

type series struct {
	count uint64
	took  *hdrhistogram.Histogram
}

// New returns a counter without events.
func New() *Counter { return &Counter{events: map[event]*series{}} }

// Observe counts an event that took some time.
func (c *Counter) Observe(kind, outcome string, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := event{kind: kind, outcome: outcome}
	s := c.events[e]
	if s == nil {
		if len(c.events) >= maxKinds {
			e = event{kind: others}
		}
		if s = c.events[e]; s == nil {
			s = &series{took: hdrhistogram.New(1, longest.Microseconds(), digits)}
			c.events[e] = s
		}
	}
	s.count++
	// A value beyond the longest is counted as the longest.
	_ = s.took.RecordValue(min(took, longest).Microseconds())
}

// Snapshot returns the counts and quantiles by kind and outcome, in a form for
// expvar.
func (c *Counter) Snapshot() map[string]map[string]float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := map[string]map[string]float64{}
	for e, s := range c.events {
		name := e.kind
		if e.outcome != "" {
			name += "/" + e.outcome
		}
		milli := func(q float64) float64 { return float64(s.took.ValueAtQuantile(q)) / 1000 }
		list[name] = map[string]float64{
			"count": float64(s.count), "p50-ms": milli(50), "p90-ms": milli(90), "p99-ms": milli(99), "max-ms": milli(100),
		}
	}
	return list
}
