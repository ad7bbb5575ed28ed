package assembler

import (
	"context"
	"errors"
	"expvar"
	"time"

	"briarspring"
	"briarspring/admitter"
	"briarspring/counter"
	"briarspring/dispatcher"
	"briarspring/launcher"
	"briarspring/monitor"
	"briarspring/steward"
	"briarspring/tracker"
)

// meteredStore counts the calls to the platform's log.
type meteredStore struct {
	steward.Store
	calls *counter.Counter
}

// Append appends and counts.
func (m *meteredStore) Append(ctx context.Context, stream string, records []briarspring.KeyedRecord, fence briarspring.Fence) (uint64, error) {
	began := time.Now()
	next, err := m.Store.Append(ctx, stream, records, fence)
	m.calls.Observe("append", outcomeOf(err), time.Since(began))
	return next, err
}

// Read reads and counts.
func (m *meteredStore) Read(ctx context.Context, stream string, from uint64, wait time.Duration) (briarspring.KeyedPage, error) {
	began := time.Now()
	page, err := m.Store.Read(ctx, stream, from, wait)
	m.calls.Observe("read-"+stream, outcomeOf(err), time.Since(began))
	return page, err
}

// Newest reads and counts.
func (m *meteredStore) Newest(ctx context.Context, stream, after string) (briarspring.KeyedPage, bool, error) {
	began := time.Now()
	page, more, err := m.Store.Newest(ctx, stream, after)
	m.calls.Observe("newest", outcomeOf(err), time.Since(began))
	return page, more, err
}

// outcomeOf names the outcome of a call to the log.
func outcomeOf(err error) string {
	var notDone *briarspring.NotDoneError
	var fenced *briarspring.FencedError
	var trimmed *briarspring.TrimmedError
	switch {
	case err == nil:
		return "done"
	case errors.As(err, &notDone):
		return "not-done"
	case errors.As(err, &fenced):
		return "fenced"
	case errors.As(err, &trimmed):
		return "trimmed"
	}
	return "doubt"
}

// addMetrics adds the metrics port. A host serves its callers without one.
func addMetrics(l *launcher.Launcher, c HostConfig, intake *admitter.Admitter, calls *counter.Counter, streams map[string]*tracker.Tracker, stewards map[string]*steward.Steward) {
	if c.MetricsAddr == "" {
		return
	}
	m, err := monitor.New(monitor.Config{Address: c.MetricsAddr, Ready: intake.Ready, Logger: c.Logger})
	if err != nil {
		c.Logger.Error("metrics are not served", "address", c.MetricsAddr, "error", err)
		return
	}
	m.Publish("log-calls", expvar.Func(func() any { return calls.Snapshot() }))
	m.Publish("requests", expvar.Func(func() any { return intake.Outcomes() }))
	m.Publish("stream-age-ms", expvar.Func(func() any {
		ages := map[string]int64{}
		for name, t := range streams {
			if age, ok := t.Age(); ok {
				ages[name] = age.Milliseconds()
			}
		}
		return ages
	}))
	m.Publish("owner-of", expvar.Func(func() any {
		owned := map[string]any{}
		for name, s := range stewards {
			if c, ok := s.Counters(); ok {
				owned[name] = countersOf(c)
			}
		}
		return owned
	}))
	l.Add("metrics", m)
}

// countersOf names what an owner did.
func countersOf(c dispatcher.Counters) map[string]uint64 {
	return map[string]uint64{
		"starts": c.Starts, "done": c.Done, "failed": c.Failed, "lost": c.Lost, "stops": c.Stops,
		"paces": c.Paces, "doubts": c.Doubts, "completed": c.Completed,
	}
}
