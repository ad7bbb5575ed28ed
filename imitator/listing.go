package imitator

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"briarspring"
	"briarspring/sleeper"
)

const (
	// entryInterval is the time between two writes of a worker's entry, as on the
	// platform.
	entryInterval = 1500 * time.Millisecond
	// entryTTL is how long the entry of a silent worker stays: three intervals. It
	// expires also while the store is down.
	entryTTL = 3 * entryInterval
	// entryTick is the time between two looks at all workers.
	entryTick = 100 * time.Millisecond
)

// EntryPublisher publishes the entries of a Pool's workers in a KeyedStore.
type EntryPublisher struct {
	config EntryPublisherConfig
	beatAt map[string]time.Time // When each worker last tried to write its entry.
	stored map[string]time.Time // When each worker last wrote its entry.
	done   chan struct{}

	mu       sync.Mutex
	withheld map[string]bool
}

// Withhold sets whether a worker's entry is not written although it is up.
func (p *EntryPublisher) Withhold(id string, withheld bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.withheld[id] = withheld
}

func (p *EntryPublisher) isWithheld(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.withheld[id]
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
	return &EntryPublisher{config: c, beatAt: map[string]time.Time{}, stored: map[string]time.Time{}, done: make(chan struct{}), withheld: map[string]bool{}}
}

// Done returns a channel that is closed when Run has ended.
func (p *EntryPublisher) Done() <-chan struct{} { return p.done }

// Run writes entries until the context ends.
func (p *EntryPublisher) Run(ctx context.Context) {
	defer close(p.done)
	for {
		p.writeEntries()
		if sleeper.For(ctx, entryTick) != nil {
			return
		}
	}
}

// writeEntries writes the entries of the workers that are up and whose turn it is, and
// removes those of workers that have not written theirs for entryTTL.
func (p *EntryPublisher) writeEntries() {
	now := time.Now()
	reachable := p.config.Store.reachable()
	for _, e := range p.config.Pool.Entries() {
		at, known := p.beatAt[e.ID]
		if known && now.Sub(at) < entryInterval {
			continue
		}
		p.beatAt[e.ID] = now
		if !known {
			// Workers write at different times.
			p.beatAt[e.ID] = now.Add(-time.Duration(len(p.beatAt)) * entryTick % entryInterval)
		}
		record, err := p.config.Encode(e)
		if err != nil {
			p.config.Logger.Error("worker entry can't be encoded", "worker", e.ID, "error", err)
			continue
		}
		if reachable && !p.isWithheld(e.ID) {
			p.stored[e.ID] = now
			p.config.Store.Put(briarspring.WorkersStream, record)
		}
	}
	for id, at := range p.stored {
		if now.Sub(at) > entryTTL {
			delete(p.stored, id)
			p.config.Store.Put(briarspring.WorkersStream, briarspring.KeyedRecord{Key: id})
		}
	}
}
