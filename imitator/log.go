// Package imitator contains in-memory stand-ins for the platform: the log, the
// keyed streams, the list of hosts and the workers. Tests and the dev command use
// them within a process or over the platform's protocol.
package imitator

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"briarspring"
	"briarspring/sleeper"
)

// OutageError reports a call to a stand-in that was set to be down.
type OutageError struct {
	Part string
}

// Error implements error.
func (e *OutageError) Error() string { return e.Part + " is down" }

// LostAnswerError reports that a stand-in dropped its answer; the call may have
// been carried out.
type LostAnswerError struct {
	Part string
}

// Error implements error.
func (e *LostAnswerError) Error() string { return "the answer of " + e.Part + " was lost" }

// LogConfig holds the settings of a Log.
type LogConfig struct {
	KeepRecords      int           // Records kept per stream; zero keeps all.
	KeepFor          time.Duration // Age of the oldest record kept; zero keeps all.
	AppendsPerSecond float64       // Zero means no limit.
	Seed             uint64        // Determines which requests and answers are lost.
}

// LogFaults are the faults that can be injected into a Log while it runs.
type LogFaults struct {
	Down         bool
	Latency      time.Duration // Added to each call.
	LoseAnswers  float64       // Share of appends whose answer is lost, 0 to 1.
	CutCallers   []string      // Callers whose calls fail, by name.
	LoseRequests float64       // Share of appends that never arrive, 0 to 1.
}

// Log is an append-only log of named streams.
type Log struct {
	config  LogConfig
	limiter *rate.Limiter

	mu      sync.Mutex
	random  *rand.Rand
	faults  LogFaults
	streams map[string]*stream
	appends uint64
	bytes   map[string]uint64
}

type stream struct {
	oldest   uint64
	records  [][]byte
	times    []time.Time
	appended chan struct{} // Closed when a record is appended.
}

// NewLog returns an empty log.
func NewLog(c LogConfig) *Log {
	l := &Log{
		config:  c,
		streams: map[string]*stream{},
		bytes:   map[string]uint64{},
		random:  rand.New(rand.NewPCG(c.Seed, c.Seed)),
	}
	if c.AppendsPerSecond > 0 {
		l.limiter = rate.NewLimiter(rate.Limit(c.AppendsPerSecond), max(1, int(c.AppendsPerSecond/10)))
	}
	return l
}

// SetFaults replaces the injected faults.
func (l *Log) SetFaults(f LogFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

// Faults returns the injected faults.
func (l *Log) Faults() LogFaults {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults
}

// Appends returns the number of records appended since the start.
func (l *Log) Appends() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}

// Bytes returns the bytes appended to a stream since the start.
func (l *Log) Bytes(stream string) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.bytes[stream]
}

// simulateFaults waits for the injected latency and fails when the log is down.
func (l *Log) simulateFaults(ctx context.Context) error {
	f := l.Faults()
	if f.Latency > 0 {
		if err := sleeper.For(ctx, f.Latency); err != nil {
			return err
		}
	}
	if f.Down || l.Faults().Down {
		return &OutageError{Part: "log"}
	}
	return nil
}

// Append appends a record and returns its offset.
func (l *Log) Append(ctx context.Context, name string, record []byte) (uint64, error) {
	if err := l.simulateFaults(ctx); err != nil {
		return 0, err
	}
	if l.limiter != nil {
		if err := l.limiter.Wait(ctx); err != nil {
			return 0, err
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.random.Float64() < l.faults.LoseRequests {
		return 0, &LostAnswerError{Part: "log"}
	}
	s := l.stream(name)
	s.records = append(s.records, record)
	s.times = append(s.times, time.Now())
	l.appends++
	l.bytes[name] += uint64(len(record))
	offset := s.nextOffset() - 1
	close(s.appended)
	s.appended = make(chan struct{})
	l.trim(s)
	if l.random.Float64() < l.faults.LoseAnswers {
		return 0, &LostAnswerError{Part: "log"}
	}
	return offset, nil
}

// Read returns up to limit records starting at an offset. It waits up to wait
// for the first one.
func (l *Log) Read(ctx context.Context, name string, from uint64, limit int, wait time.Duration) (briarspring.LogPage, error) {
	if err := l.simulateFaults(ctx); err != nil {
		return briarspring.LogPage{}, err
	}
	deadline := time.Now().Add(wait)
	for {
		page, appended := l.page(name, from, limit)
		remaining := time.Until(deadline)
		if len(page.Entries) > 0 || from < page.Oldest || remaining <= 0 {
			return page, nil
		}
		t := time.NewTimer(remaining)
		select {
		case <-ctx.Done():
			t.Stop()
			return briarspring.LogPage{}, ctx.Err()
		case <-appended:
		case <-t.C:
		}
		t.Stop()
		if l.Faults().Down {
			return briarspring.LogPage{}, &OutageError{Part: "log"}
		}
	}
}

func (l *Log) page(name string, from uint64, limit int) (briarspring.LogPage, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	l.trim(s)
	page := briarspring.LogPage{Oldest: s.oldest, Next: s.nextOffset()}
	if from >= s.oldest {
		for offset := from; offset < s.nextOffset() && len(page.Entries) < limit; offset++ {
			page.Entries = append(page.Entries, briarspring.LogEntry{
				Offset: offset, Record: s.records[offset-s.oldest],
			})
		}
	}
	return page, s.appended
}

func (l *Log) stream(name string) *stream {
	s := l.streams[name]
	if s == nil {
		s = &stream{oldest: 1, appended: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

func (s *stream) nextOffset() uint64 { return s.oldest + uint64(len(s.records)) }

// trim drops the records that exceed the retention limits.
func (l *Log) trim(s *stream) {
	drop := 0
	if l.config.KeepRecords > 0 {
		drop = max(0, len(s.records)-l.config.KeepRecords)
	}
	if l.config.KeepFor > 0 {
		limit := time.Now().Add(-l.config.KeepFor)
		for drop < len(s.records) && s.times[drop].Before(limit) {
			drop++
		}
	}
	s.oldest += uint64(drop)
	s.records = s.records[drop:]
	s.times = s.times[drop:]
}

// String lists the streams and their offsets, for debugging.
func (l *Log) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := ""
	for name, s := range l.streams {
		out += fmt.Sprintf("%s: offsets %d to %d\n", name, s.oldest, s.nextOffset()-1)
	}
	return out
}
