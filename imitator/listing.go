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

// EntryPublisher publishes the entries of a Pool's workers in a KeyedStore.
type EntryPublisher struct {
	config EntryPublisherConfig
	lastUp map[string]time.Time // When each worker was last up.
	done   chan struct{}
}

// EntryPublisherConfig holds the settings of an EntryPublisher.
type EntryPublisherConfig struct {
	Pool   *Pool
	Store  *KeyedStore
	Encode func(briarspring.WorkerEntry) (briarspring.KeyedRecord, error) // Nil means WorkerRecord.
	Logger hclog.Logger
}

// NewEntryPublisher returns an EntryPublisher that writes entries while Run
// runs.
func NewEntryPublisher(c EntryPublisherConfig) *EntryPublisher {
	if c.Encode == nil {
		c.Encode = WorkerRecord
	}
	if c.Logger == nil {
		c.Logger = hclog.NewNullLogger()
	}
	return &EntryPublisher{config: c, lastUp: map[string]time.Time{}, done: make(chan struct{})}
}

// Done returns a channel that is closed when Run has ended.
func (p *EntryPublisher) Done() <-chan struct{} { return p.done }

// Run writes entries until the context ends.
func (p *EntryPublisher) Run(ctx context.Context) {
	defer close(p.done)
	for {
		p.writeEntries()
		if sleeper.For(ctx, entryInterval) != nil {
			return
		}
	}
}

// writeEntries writes the entries of all workers that are up and removes those of
// workers that have been silent for longer than entryTTL.
func (p *EntryPublisher) writeEntries() {
	now := time.Now()
	for _, e := range p.config.Pool.Entries() {
		record, err := p.config.Encode(e)
		if err != nil {
			p.config.Logger.Error("worker entry can't be encoded", "worker", e.ID, "error", err)
			continue
		}
		p.lastUp[e.ID] = now
		p.config.Store.Put(briarspring.WorkersStream, record)
	}
	for id, at := range p.lastUp {
		if now.Sub(at) > entryTTL {
			delete(p.lastUp, id)
			p.config.Store.Put(briarspring.WorkersStream, briarspring.KeyedRecord{Key: id})
		}
	}
}
