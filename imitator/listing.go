package imitator

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"

	"briarspring"
	"briarspring/sleeper"
)

const (
	// entryInterval is the time between two writes of a worker's entry.
	entryInterval = time.Second
	// entryTTL is how long the entry of a silent worker stays: three intervals.
	entryTTL = 3 * entryInterval
)

// Listing publishes the entries of a Pool's workers in a KeyedStore.
type Listing struct {
	config ListingConfig
	lastUp map[string]time.Time // When each worker was last up.
	done   chan struct{}
}

// ListingConfig holds the settings of a Listing.
type ListingConfig struct {
	Pool   *Pool
	Store  *KeyedStore
	Encode func(briarspring.WorkerEntry) (briarspring.KeyedRecord, error) // Nil means WorkerRecord.
	Logger hclog.Logger
}

// NewListing returns a listing that publishes entries while Run runs.
func NewListing(c ListingConfig) *Listing {
	if c.Encode == nil {
		c.Encode = WorkerRecord
	}
	if c.Logger == nil {
		c.Logger = hclog.NewNullLogger()
	}
	return &Listing{config: c, lastUp: map[string]time.Time{}, done: make(chan struct{})}
}

// Done returns a channel that is closed when Run has ended.
func (l *Listing) Done() <-chan struct{} { return l.done }

// Run writes entries until the context ends.
func (l *Listing) Run(ctx context.Context) {
	defer close(l.done)
	for {
		l.writeEntries()
		if sleeper.For(ctx, entryInterval) != nil {
			return
		}
	}
}

// writeEntries writes the entries of all workers that are up and removes those of
// workers that have been silent for longer than entryTTL.
func (l *Listing) writeEntries() {
	now := time.Now()
	for _, e := range l.config.Pool.Entries() {
		record, err := l.config.Encode(e)
		if err != nil {
			l.config.Logger.Error("worker entry can't be encoded", "worker", e.ID, "error", err)
			continue
		}
		l.lastUp[e.ID] = now
		l.config.Store.Put(briarspring.WorkersStream, record)
	}
	for id, at := range l.lastUp {
		if now.Sub(at) > entryTTL {
			delete(l.lastUp, id)
			l.config.Store.Put(briarspring.WorkersStream, briarspring.KeyedRecord{Key: id})
		}
	}
}
