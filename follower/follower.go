// Package follower reads a stream of the platform's log in order. It starts from
// a snapshot when earlier records are no longer kept.
package follower

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"

	"briarspring"
	"briarspring/applier"
	"briarspring/encoder"
	"briarspring/sleeper"
)

const (
	readLimit    = 2000
	defaultWait  = 500 * time.Millisecond
	defaultPause = 100 * time.Millisecond
	queueLength  = 256
	// callMargin is added to the wait of a read to get its timeout.
	callMargin = 2 * time.Second
)

// Reader reads a stream of the platform's log.
type Reader interface {
	Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (briarspring.LogPage, error)
}

// Item is a snapshot to restore, a record to apply, or a marker that every
// record readable at a point in time has been delivered.
type Item struct {
	Snapshot  []byte // When not nil, the state to restore.
	Offset    uint64 // Offset of the record, or the last one that the snapshot covers.
	Record    briarspring.Record
	DecodeErr error     // Why the record can't be decoded; the caller skips its offset.
	CaughtUp  time.Time // When not zero, every record readable at that time was delivered.
}

// Config holds the settings of a Follower.
type Config struct {
	Stream string
	Reader Reader
	From   uint64        // First offset to deliver; zero means one.
	Wait   time.Duration // How long a read waits for the next record.
	Pause  time.Duration // Pause after a failed read.
	Logger hclog.Logger
}

// Follower delivers a stream's items in order.
type Follower struct {
	config Config
	next   uint64
	items  chan Item
	done   chan struct{}
	search *snapshotSearch // Not nil while searching for a snapshot.
}

// snapshotSearch holds the records read while searching for a snapshot.
type snapshotSearch struct {
	collector applier.Collector
	records   []Item
	oldest    uint64
}

// New returns a follower; Run makes it read.
func New(c Config) *Follower {
	if c.Wait == 0 {
		c.Wait = defaultWait
	}
	if c.Pause == 0 {
		c.Pause = defaultPause
	}
	if c.Logger == nil {
		c.Logger = hclog.NewNullLogger()
	}
	return &Follower{
		config: c,
		next:   max(c.From, 1),
		items:  make(chan Item, queueLength),
		done:   make(chan struct{}),
	}
}

// Items returns the channel of items in order.
func (f *Follower) Items() <-chan Item { return f.items }

// Done returns a channel that is closed when Run has ended.
func (f *Follower) Done() <-chan struct{} { return f.done }

// Run reads until the context ends.
func (f *Follower) Run(ctx context.Context) {
	defer close(f.done)
	failing := false
	for ctx.Err() == nil {
		sent := time.Now()
		page, err := f.read(ctx)
		if err != nil {
			if !failing && ctx.Err() == nil {
				f.config.Logger.Warn("log can't be read", "stream", f.config.Stream, "error", err)
			}
			failing = true
			_ = sleeper.For(ctx, f.config.Pause)
			continue
		}
		if failing {
			f.config.Logger.Info("log can be read again", "stream", f.config.Stream)
		}
		failing = false
		f.handlePage(ctx, page, sent)
	}
}

func (f *Follower) read(ctx context.Context) (briarspring.LogPage, error) {
	ctx, cancel := context.WithTimeout(ctx, f.config.Wait+callMargin)
	defer cancel()
	return f.config.Reader.Read(ctx, f.config.Stream, f.next, readLimit, f.config.Wait)
}

// handlePage delivers the records of one page that was requested at sent.
func (f *Follower) handlePage(ctx context.Context, page briarspring.LogPage, sent time.Time) {
	if page.Oldest > f.next {
		f.startSearch(page.Oldest)
		return
	}
	if page.Next < f.next {
		f.config.Logger.Error("log lost records that were read before",
			"stream", f.config.Stream, "wanted", f.next, "next", page.Next)
		_ = sleeper.For(ctx, f.config.Pause)
		return
	}
	for _, e := range page.Entries {
		if e.Offset != f.next {
			f.config.Logger.Error("log page has a gap", "stream", f.config.Stream, "wanted", f.next, "got", e.Offset)
			return
		}
		f.next++
		f.handleEntry(ctx, e)
	}
	if f.search == nil && f.next == page.Next {
		f.deliver(ctx, Item{CaughtUp: sent})
	}
}

func (f *Follower) startSearch(oldest uint64) {
	f.config.Logger.Info("records are no longer kept, looking for a snapshot",
		"stream", f.config.Stream, "wanted", f.next, "oldest", oldest)
	f.search = &snapshotSearch{oldest: oldest}
	f.next = oldest
}

func (f *Follower) handleEntry(ctx context.Context, e briarspring.LogEntry) {
	item := Item{Offset: e.Offset}
	record, err := encoder.DecodeRecord(e.Record)
	if err != nil {
		f.config.Logger.Error("record can't be decoded", "stream", f.config.Stream, "offset", e.Offset, "error", err)
		item.DecodeErr = err
	} else {
		item.Record = record
	}
	if f.search == nil {
		f.deliver(ctx, item)
		return
	}
	f.search.records = append(f.search.records, item)
	chunk, ok := item.Record.Body.(briarspring.SnapshotChunk)
	if !ok {
		return
	}
	data, whole := f.search.collector.Add(item.Record.Writer, chunk)
	if whole && chunk.Covers+1 >= f.search.oldest {
		f.finishSearch(ctx, data, chunk.Covers)
	}
}

// finishSearch delivers the snapshot and the records after it.
func (f *Follower) finishSearch(ctx context.Context, data []byte, covers uint64) {
	f.config.Logger.Info("snapshot found", "stream", f.config.Stream, "covers", covers, "bytes", len(data))
	records := f.search.records
	f.search = nil
	f.deliver(ctx, Item{Snapshot: data, Offset: covers})
	for _, item := range records {
		if item.Offset > covers {
			f.deliver(ctx, item)
		}
	}
}

func (f *Follower) deliver(ctx context.Context, item Item) {
	select {
	case f.items <- item:
	case <-ctx.Done():
	}
}
