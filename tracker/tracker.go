// Package tracker follows a keyed stream: it starts with the newest record of
// every key, reads on from there, and starts over when records that it has not
// read are no longer kept.
package tracker

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"briarspring"
	"briarspring/sleeper"
)

// Store reads keyed streams.
type Store interface {
	// Read returns the records from an offset on. It returns as soon as there is
	// one, or after wait. The error is a *briarspring.TrimmedError when records
	// from that offset on are no longer kept.
	Read(ctx context.Context, stream string, from uint64, wait time.Duration) (briarspring.KeyedPage, error)
	// Newest returns a page of the newest records of the keys greater than after,
	// in key order, and whether there are more. The page's End is the end of the
	// stream.
	Newest(ctx context.Context, stream, after string) (page briarspring.KeyedPage, more bool, err error)
}

// Sink receives what a tracker reads. All calls come from one goroutine.
type Sink interface {
	// Restore receives the newest record of every key.
	Restore(records []briarspring.KeyedRecord, end uint64)
	// Apply receives records in order.
	Apply(records []briarspring.KeyedRecord)
}

// Config holds the settings of a Tracker.
type Config struct {
	Stream   string
	Store    Store
	Sink     Sink
	Wait     time.Duration        // How long a read waits for the next record.
	Interval func() time.Duration // Minimum time between two reads; nil for none.
	Enabled  func() bool          // Whether to read at all; nil for always.
	Now      func() time.Duration
	Logger   hclog.Logger
}

const (
	// callMargin is added to the wait of a read to get its timeout, and is the
	// timeout of other calls. A store that is slowed down 75 times takes 0.8 s to
	// answer.
	callMargin = 1200 * time.Millisecond
	// retryPause is the pause after a failed call.
	retryPause = 100 * time.Millisecond
	// responseTimeReads is the number of recent reads whose shortest is taken as the
	// store's response time; longer ones may have waited for a record.
	responseTimeReads = 4
	// disabledPause is the interval of polling Enabled while it reports false.
	disabledPause = 20 * time.Millisecond
)

// Tracker follows one stream.
type Tracker struct {
	config       Config
	next         uint64
	restored     bool
	failures     int          // In a row.
	lastError    error        // Of the last failure.
	lastReadAt   atomic.Int64 // See LastReadSent; -1 before the first read.
	responseTime atomic.Int64 // Shortest of the last reads.
	readTimes    [responseTimeReads]time.Duration
	reads        int
	waiting      atomic.Bool   // A read is waiting for the next record.
	wake         chan struct{} // Ends the pause between two reads.
	done         chan struct{}

	mu    sync.Mutex
	ended chan struct{} // Closed and replaced when a read has succeeded.
}

// New returns a tracker; Run makes it read.
func New(c Config) *Tracker {
	if c.Logger == nil {
		c.Logger = hclog.NewNullLogger()
	}
	t := &Tracker{config: c, wake: make(chan struct{}, 1), done: make(chan struct{}), ended: make(chan struct{})}
	t.lastReadAt.Store(-1)
	return t
}

// Done returns a channel that is closed when Run has ended.
func (t *Tracker) Done() <-chan struct{} { return t.done }

// LastReadSent returns a time before which everything that was stored has been read,
// and false before the first read: when the last read that reached the end of the
// stream was sent or, if it waited for a record in vain, when that wait ended.
func (t *Tracker) LastReadSent() (time.Duration, bool) {
	at := t.lastReadAt.Load()
	return time.Duration(at), at >= 0
}

// Age returns the time since LastReadSent, and false before the first read.
func (t *Tracker) Age() (time.Duration, bool) {
	at, ok := t.LastReadSent()
	return t.config.Now() - at, ok
}

// Refresh makes the tracker read at once, and returns when everything that was
// stored before the call has been read, or when the context ends. While a read is
// waiting for the next record there is nothing to wait for.
func (t *Tracker) Refresh(ctx context.Context) {
	since := t.config.Now()
	for !t.waiting.Load() {
		t.mu.Lock()
		ended := t.ended
		t.mu.Unlock()
		if at, ok := t.LastReadSent(); ok && at >= since {
			return
		}
		select {
		case t.wake <- struct{}{}:
		default:
		}
		select {
		case <-ended:
		case <-ctx.Done():
			return
		}
	}
}

// readResult is what a successful read says about how current the state is.
type readResult struct {
	behind bool          // There was more than one answer holds.
	waited time.Duration // How long the store waited for a record in vain.
}

// recordRead records a successful read that was sent at started.
func (t *Tracker) recordRead(started time.Duration, r readResult) {
	if !r.behind {
		t.lastReadAt.Store(int64(started + r.waited))
	}
	t.recordReadTime(t.config.Now() - started - r.waited)
	t.mu.Lock()
	defer t.mu.Unlock()
	close(t.ended)
	t.ended = make(chan struct{})
}

// pause waits for the rest of the interval after a read that was sent at started.
// It reports whether Refresh ended the pause.
func (t *Tracker) pause(ctx context.Context, started time.Duration) bool {
	if t.config.Interval == nil {
		return false
	}
	timer := time.NewTimer(t.config.Interval() - (t.config.Now() - started))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-t.wake:
		return true
	}
	return false
}

// Run reads until the context ends.
func (t *Tracker) Run(ctx context.Context) {
	defer close(t.done)
	refresh := false
	for ctx.Err() == nil {
		if t.config.Enabled != nil && !t.config.Enabled() {
			t.restored = false
			_ = sleeper.For(ctx, disabledPause)
			continue
		}
		started := t.config.Now()
		wait := t.config.Wait
		if refresh {
			wait = 0
		}
		result, err := t.readOnce(ctx, wait)
		if err != nil {
			t.recordFailure(ctx, err)
			_ = sleeper.For(ctx, retryPause)
			continue
		}
		if t.failures > 0 {
			age, _ := t.Age()
			t.config.Logger.Info("stream can be read again", "stream", t.config.Stream, "failures", t.failures, "offset", t.next,
				"read-age-ms", age.Milliseconds(), "last-error", t.lastError)
			t.failures = 0
		}
		t.recordRead(started, result)
		if result.behind {
			continue
		}
		refresh = t.pause(ctx, started)
	}
}

// recordReadTime updates the store's response time with the duration of a read.
func (t *Tracker) recordReadTime(took time.Duration) {
	t.readTimes[t.reads%responseTimeReads] = took
	t.reads++
	t.responseTime.Store(int64(slices.Min(t.readTimes[:min(t.reads, responseTimeReads)])))
}

// StoreLatency returns the store's current response time.
func (t *Tracker) StoreLatency() time.Duration { return time.Duration(t.responseTime.Load()) }

func (t *Tracker) recordFailure(ctx context.Context, err error) {
	t.failures++
	t.lastError = err
	if t.failures == 1 && ctx.Err() == nil {
		t.config.Logger.Warn("stream can't be read", "stream", t.config.Stream, "offset", t.next, "error", err)
	}
}

// readOnce makes one read, or restores the state if that is still to be done.
func (t *Tracker) readOnce(ctx context.Context, wait time.Duration) (readResult, error) {
	if !t.restored {
		return readResult{}, t.restore(ctx)
	}
	started := t.config.Now()
	ctx, cancel := context.WithTimeout(ctx, wait+callMargin)
	defer cancel()
	t.waiting.Store(wait > 0)
	page, err := t.config.Store.Read(ctx, t.config.Stream, t.next, wait)
	t.waiting.Store(false)
	var trimmed *briarspring.TrimmedError
	if errors.As(err, &trimmed) {
		t.config.Logger.Info("records are no longer kept, restoring", "stream", t.config.Stream, "offset", t.next, "first-kept", trimmed.First)
		t.restored = false
		return readResult{}, t.restore(ctx)
	}
	if err != nil {
		return readResult{}, err
	}
	if page.End < t.next {
		return readResult{}, &StaleError{Stream: t.config.Stream, End: page.End, Known: t.next}
	}
	if len(page.Records) > 0 {
		t.config.Sink.Apply(page.Records)
	}
	t.next = max(t.next, page.Next)
	result := readResult{behind: t.next < page.End}
	if len(page.Records) == 0 && t.config.Now()-started >= wait {
		result.waited = wait
	}
	return result, nil
}

// StaleError is returned for an answer that is older than an earlier one.
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

// Newest returns the newest record of every key of a stream, and the stream's
// end offset at the first page. Pages are read one after the other, so records
// at or after that end may be among them. The error is a *StaleError when a page
// is older than the first.
func Newest(ctx context.Context, store Store, stream string) (records []briarspring.KeyedRecord, end uint64, err error) {
	after := ""
	for first := true; ; first = false {
		callCtx, cancel := context.WithTimeout(ctx, callMargin)
		page, more, err := store.Newest(callCtx, stream, after)
		cancel()
		if err != nil {
			return nil, 0, err
		}
		if first {
			end = page.End
		}
		if page.End < end {
			// This page may lack a record before end, and it would never be read.
			return nil, 0, &StaleError{Stream: stream, End: page.End, Known: end}
		}
		records = append(records, page.Records...)
		if !more || len(page.Records) == 0 {
			return records, end, nil
		}
		after = page.Records[len(page.Records)-1].Key
	}
}
