// Package counter counts events by kind and outcome and keeps histograms of their
// durations for a process's metrics.
package counter

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxDuration bounds the durations of a histogram; calls time out before.
	maxDuration = 60 * time.Second
	// significantDigits is the precision of a histogram.
	significantDigits = 2
	// maxKinds bounds the pairs of kind and outcome; further pairs are counted
	// together.
	maxKinds = 64
	// overflowKind is the kind under which pairs beyond maxKinds are counted.
	overflowKind = "others"
)

// Counter counts events and records their durations.
type Counter struct {
	mu     sync.Mutex
	events map[event]*series
}

type event struct {
	kind    string
	outcome string
}

type series struct {
	count     uint64
	durations *hdrhistogram.Histogram
}

// New returns a counter without events.
func New() *Counter { return &Counter{events: map[event]*series{}} }

// Observe counts an event and records its duration.
func (c *Counter) Observe(kind, outcome string, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := event{kind: kind, outcome: outcome}
	s := c.events[e]
	if s == nil {
		if len(c.events) >= maxKinds {
			e = event{kind: overflowKind}
		}
		if s = c.events[e]; s == nil {
			s = &series{durations: hdrhistogram.New(1, maxDuration.Microseconds(), significantDigits)}
			c.events[e] = s
		}
	}
	s.count++
	// Longer durations are recorded as maxDuration.
	_ = s.durations.RecordValue(min(took, maxDuration).Microseconds())
}

// Snapshot returns the counts and the duration quantiles by kind and outcome, for
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
		milli := func(q float64) float64 { return float64(s.durations.ValueAtQuantile(q)) / 1000 }
		list[name] = map[string]float64{
			"count": float64(s.count), "p50-ms": milli(50), "p90-ms": milli(90), "p99-ms": milli(99), "max-ms": milli(100),
		}
	}
	return list
}
