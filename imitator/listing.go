package imitator

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"

	"briarspring"
	"briarspring/sleeper"
)

const (
	// entryInterval between two writes of a worker's entry.
	entryInterval = time.Second
	// entryLife of an entry whose worker is silent: three intervals.
	entryLife = 3 * entryInterval
)

// Listing keeps the entries of a Pool's workers in a KeyedStore.
type Listing struct {
	config ListingConfig
	seen   map[string]time.Time // When a worker was last up.
	done   chan struct{}
}

// ListingConfig holds the settings of a Listing.
type ListingConfig struct {
	Pool   *Pool
	Store  *KeyedStore
	Encode func(briarspring.WorkerEntry) (briarspring.KeyedRecord, error) // Nil for WorkerRecord.
	Logger hclog.Logger
}

// NewListing returns a listing; Run keeps it up to date.
func NewListing(c ListingConfig) *Listing {
	if c.Encode == nil {
		c.Encode = WorkerRecord
	}
	if c.Logger == nil {
		c.Logger = hclog.NewNullLogger()
	}
	return &Listing{config: c, seen: map[string]time.Time{}, done: make(chan struct{})}
}

// Done returns a channel that is closed when Run has ended.
func (l *Listing) Done() <-chan struct{} { return l.done }

// Run writes entries until the context ends.
func (l *Listing) Run(ctx context.Context) {
	defer close(l.done)
	for {
		l.write()
		if sleeper.For(ctx, entryInterval) != nil {
			return
		}
	}
}

// write writes the entries of all workers that are up and drops those of workers
// that have been silent for too long.
func (l *Listing) write() {
	now := time.Now()
	for _, e := range l.config.Pool.Entries() {
		record, err := l.config.Encode(e)
		if err != nil {
			l.config.Logger.Error("entry can't be encoded", "worker", e.ID, "error", err)
			continue
		}
		l.seen[e.ID] = now
		l.config.Store.Put(briarspring.WorkersStream, record)
	}
	for id, at := range l.seen {
		if now.Sub(at) > entryLife {
			delete(l.seen, id)
			l.config.Store.Put(briarspring.WorkersStream, briarspring.KeyedRecord{Key: id})
		}
	}
}
