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

// meteredStore records metrics of the calls to the platform's log.
type meteredStore struct {
	steward.Store
	calls *counter.Counter
}

// Append forwards the call and records its outcome and duration.
func (m *meteredStore) Append(ctx context.Context, stream string, records []briarspring.KeyedRecord, fence briarspring.Fence) (uint64, error) {
	start := time.Now()
	next, err := m.Store.Append(ctx, stream, records, fence)
	m.calls.Observe("append", outcomeOf(err), time.Since(start))
	return next, err
}

// Read forwards the call and records its outcome and duration.
func (m *meteredStore) Read(ctx context.Context, stream string, from uint64, wait time.Duration) (briarspring.KeyedPage, error) {
	start := time.Now()
	page, err := m.Store.Read(ctx, stream, from, wait)
	m.calls.Observe("read-"+stream, outcomeOf(err), time.Since(start))
	return page, err
}

// Newest forwards the call and records its outcome and duration.
func (m *meteredStore) Newest(ctx context.Context, stream, after string) (briarspring.KeyedPage, bool, error) {
	start := time.Now()
	page, more, err := m.Store.Newest(ctx, stream, after)
	m.calls.Observe("newest", outcomeOf(err), time.Since(start))
	return page, more, err
}

// outcomeOf returns the metric name of the outcome of a call to the log.
func outcomeOf(err error) string {
	var notExecuted *briarspring.NotExecutedError
	var fenced *briarspring.FencedError
	var trimmed *briarspring.TrimmedError
	switch {
	case err == nil:
		return "done"
	case errors.As(err, &notExecuted):
		return "not-done"
	case errors.As(err, &fenced):
		return "fenced"
	case errors.As(err, &trimmed):
		return "trimmed"
	}
	return "doubt"
}

// addMetrics adds the metrics server. A host keeps serving callers if it can't
// listen on the port.
func addMetrics(l *launcher.Launcher, c HostConfig, intake *admitter.Admitter, calls *counter.Counter, streams map[string]*tracker.Tracker, owners map[string]*steward.Owner) {
	if c.MetricsAddr == "" {
		return
	}
	m, err := monitor.New(monitor.Config{Address: c.MetricsAddr, Ready: intake.Ready, Protect: c.doors.protect(metricsDoor), Logger: c.Logger})
	if err != nil {
		c.Logger.Error("metrics are not served", "address", c.MetricsAddr, "error", err)
		return
	}
	m.Publish("log-calls", expvar.Func(func() any { return calls.Snapshot() }))
	m.Publish("requests", expvar.Func(func() any { return intake.Outcomes() }))
	if c.doors != nil {
		m.Publish("clients", expvar.Func(func() any { return c.doors.limiter.Snapshot() }))
	}
	m.Publish("stream-age-ms", expvar.Func(func() any {
		ages := map[string]int64{}
		for name, t := range streams {
			if age, ok := t.Age(); ok {
				ages[name] = age.Milliseconds()
			}
		}
		return ages
	}))
	m.Publish("directory-version", expvar.Func(func() any {
		directory, _ := intake.Directory()
		return directory.Version
	}))
	m.Publish("owner-of", expvar.Func(func() any {
		owned := map[string]any{}
		for name, s := range owners {
			if c, ok := s.Counters(); ok {
				owned[name] = countersOf(c)
			}
		}
		return owned
	}))
	m.Publish("organisations", expvar.Func(func() any {
		owned := map[string]any{}
		for name, s := range owners {
			if counters, ok := s.OrganisationCounters(); ok && len(counters) > 0 {
				owned[name] = organisationCountersOf(counters)
			}
		}
		return owned
	}))
	l.Add("metrics", m)
}

// organisationCountersOf returns an owner's counters by organisation and metric name.
func organisationCountersOf(counters map[string]dispatcher.OrganisationCounters) map[string]map[string]uint64 {
	list := make(map[string]map[string]uint64, len(counters))
	for name, c := range counters {
		list[name] = map[string]uint64{"starts": c.Starts, "quota-waits": c.QuotaWaits}
	}
	return list
}

// countersOf returns an owner's counters by metric name.
func countersOf(c dispatcher.Counters) map[string]uint64 {
	return map[string]uint64{
		"starts": c.Starts, "done": c.Done, "failed": c.Failed, "lost": c.Lost, "stops": c.Stops,
		"paces": c.Paces, "suspects": c.Suspects, "doubts": c.Doubts, "unsent": c.Unsent, "completed": c.Completed,
		"starts-again": c.StartsAgain, "late-ends": c.LateEnds, "late-done": c.LateDone, "reappeared": c.Reappeared,
		"unrecorded-ends": c.UnrecordedEnds, "final-ends": c.FinalEnds, "held-ends": c.HeldEnds, "held-starts": c.HeldStarts,
		"urgent-stops": c.UrgentStops, "urgent-waits": c.UrgentWaits,
		"place-waits": c.PlaceWaits, "place-wait-ms": c.PlaceWaitMs, "place-waits-paid": c.PlaceWaitsPaid, "place-waits-lost": c.PlaceWaitsLost,
	}
}
