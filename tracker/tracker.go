// Package tracker follows a keyed stream: it begins with the newest record of
// every key, reads on from there, and begins anew when records that it has not
// read are no longer kept.
package tracker

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"briarspring"
	"briarspring/sleeper"
)

// Store reads keyed streams.
type Store interface {
	// Read returns the records from an offset on, as soon as there is one or the
	// wait is over. The error is a *briarspring.TrimmedError when records from
	// there on are no longer kept.
	Read(ctx context.Context, stream string, from uint64, wait time.Duration) (briarspring.KeyedPage, error)
	// Newest returns the newest record of every key after a key, in order of key,
	// and whether there are more. End is that of the stream.
	Newest(ctx context.Context, stream, after string) (page briarspring.KeyedPage, more bool, err error)
}

// Sink takes what a tracker reads. The calls come from one goroutine.
type Sink interface {
	// Restore takes the newest record of every key.
	Restore(records []briarspring.KeyedRecord, end uint64)
	// Apply takes records in order.
	Apply(records []briarspring.KeyedRecord)
}

// Config holds the settings of a Tracker.
type Config struct {
	Stream   string
	Store    Store
	Sink     Sink
	Wait     time.Duration        // Of a read for the next record.
	Interval func() time.Duration // Least time between two reads; nil for none.
	Enabled  func() bool          // Whether to read at all; nil for always.
	Now      func() time.Duration
	Logger   hclog.Logger
}

const (
	// callSlack is added to the wait of a read for its time-out; above the 0.8 s
	// that a store takes that is slowed down 75 times.
	callSlack = 1200 * time.Millisecond
	// retryPause after a failed call.
	retryPause = 100 * time.Millisecond
	// delayReads is the number of reads of which the shortest tells how fast the
	// store answers; others may have waited for a record.
	delayReads = 4
	// disabledPause between two looks whether to read again.
	disabledPause = 20 * time.Millisecond
)

// Tracker follows one stream.
type Tracker struct {
	config   Config
	next     uint64
	restored bool
	failures int
	fresh    atomic.Int64 // When the last successful read was sent, by Now.
	delay    atomic.Int64 // Least time of the last reads.
	took     [delayReads]time.Duration
	reads    int
	done     chan struct{}
}

// New returns a tracker; Run makes it read.
func New(c Config) *Tracker {
	if c.Logger == nil {
		c.Logger = hclog.NewNullLogger()
	}
	t := &Tracker{config: c, done: make(chan struct{})}
	t.fresh.Store(-1)
	return t
}

// Done returns a channel that is closed when Run has ended.
func (t *Tracker) Done() <-chan struct{} { return t.done }

// Fresh returns when the last successful read was sent; false before the first
// one.
func (t *Tracker) Fresh() (time.Duration, bool) {
	at := t.fresh.Load()
	return time.Duration(at), at >= 0
}

// Age returns the time since the last successful read was sent; false before
// the first one.
func (t *Tracker) Age() (time.Duration, bool) {
	at, ok := t.Fresh()
	return t.config.Now() - at, ok
}

// Run reads until the context ends.
func (t *Tracker) Run(ctx context.Context) {
	defer close(t.done)
	for ctx.Err() == nil {
		if t.config.Enabled != nil && !t.config.Enabled() {
			t.restored = false
			_ = sleeper.For(ctx, disabledPause)
			continue
		}
		started := t.config.Now()
		if err := t.turn(ctx); err != nil {
			t.failed(ctx, err)
			_ = sleeper.For(ctx, retryPause)
			continue
		}
		if t.failures > 0 {
			t.config.Logger.Info("stream is read again", "stream", t.config.Stream, "failures", t.failures, "offset", t.next)
			t.failures = 0
		}
		t.fresh.Store(int64(started))
		t.measure(t.config.Now() - started)
		if t.config.Interval != nil {
			_ = sleeper.For(ctx, t.config.Interval()-(t.config.Now()-started))
		}
	}
}

// measure notes how long a read took.
func (t *Tracker) measure(took time.Duration) {
	t.took[t.reads%delayReads] = took
	t.reads++
	t.delay.Store(int64(slices.Min(t.took[:min(t.reads, delayReads)])))
}

// Delay returns how long the store takes to answer at present.
func (t *Tracker) Delay() time.Duration { return time.Duration(t.delay.Load()) }

func (t *Tracker) failed(ctx context.Context, err error) {
	t.failures++
	if t.failures == 1 && ctx.Err() == nil {
		t.config.Logger.Warn("stream can't be read", "stream", t.config.Stream, "offset", t.next, "error", err)
	}
}

// turn makes one read.
func (t *Tracker) turn(ctx context.Context) error {
	if !t.restored {
		return t.restore(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, t.config.Wait+callSlack)
	defer cancel()
	page, err := t.config.Store.Read(ctx, t.config.Stream, t.next, t.config.Wait)
	var trimmed *briarspring.TrimmedError
	if errors.As(err, &trimmed) {
		t.config.Logger.Info("stream is read anew", "stream", t.config.Stream, "offset", t.next, "first-kept", trimmed.First)
		t.restored = false
		return t.restore(ctx)
	}
	if err != nil {
		return err
	}
	if page.End < t.next {
		return &StaleError{Stream: t.config.Stream, End: page.End, Known: t.next}
	}
	if len(page.Records) > 0 {
		t.config.Sink.Apply(page.Records)
	}
	t.next = max(t.next, page.Next)
	return nil
}

// StaleError tells that an answer is older than one that came before.
type StaleError struct {
	Stream string
	End    uint64
	Known  uint64
}

// Error implements error.
func (e *StaleError) Error() string {
	return "stream " + e.Stream + ": the answer is older than an earlier one"
}

// restore reads the newest record of every key.
func (t *Tracker) restore(ctx context.Context) error {
	records, end, err := Newest(ctx, t.config.Store, t.config.Stream)
	if err != nil {
		return err
	}
	if end < t.next {
		return &StaleError{Stream: t.config.Stream, End: end, Known: t.next}
	}
	t.config.Sink.Restore(records, end)
	t.next = end
	t.restored = true
	return nil
}

// Newest reads the newest record of every key of a stream, and the stream's end
// when the reading began. Pages are read one after the other, so records at or
// after the end may be among them. The error is a *StaleError when a page is older
// than the first.
func Newest(ctx context.Context, store Store, stream string) (records []briarspring.KeyedRecord, end uint64, err error) {
	after := ""
	for first := true; ; first = false {
		callCtx, cancel := context.WithTimeout(ctx, callSlack)
		page, more, err := store.Newest(callCtx, stream, after)
		cancel()
		if err != nil {
			return nil, 0, err
		}
		if first {
			end = page.End
		}
		if page.End < end {
			// A record before the end may be missing from this page for good.
			return nil, 0, &StaleError{Stream: stream, End: page.End, Known: end}
		}
		records = append(records, page.Records...)
		if !more || len(page.Records) == 0 {
			return records, end, nil
		}
		after = page.Records[len(page.Records)-1].Key
	}
}
