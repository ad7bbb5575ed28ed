// Package replicator maintains a host's replica of the shared state and notifies
// subscribers of changes.
package replicator

import (
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"briarspring"
	"briarspring/registrar"
)

// maxPending bounds the changes queued for a subscriber. One that falls behind
// must read the whole state again.
const maxPending = 4096

// Directory receives the copies of the directory's records that hosts write to the
// shared stream before what they decided by them.
type Directory interface {
	ApplyCopy(key string, value []byte)
}

// Config holds the settings of a Replica.
type Config struct {
	Directory Directory // Optional.
	Now       func() time.Duration
	Logger    hclog.Logger
}

// Replica is a host's replica of the shared state. It implements tracker.Sink.
type Replica struct {
	config Config

	mu          sync.Mutex
	registry    *registrar.Registry
	subscribers []*Subscription
}

// New returns an empty replica.
func New(c Config) *Replica {
	if c.Logger == nil {
		c.Logger = hclog.NewNullLogger()
	}
	return &Replica{config: c, registry: registrar.New()}
}

// View calls f with the state, which f must not retain.
func (r *Replica) View(f func(*registrar.Registry)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r.registry)
}

// Restore applies the newest record of every key.
func (r *Replica) Restore(records []briarspring.KeyedRecord, end uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, rec := range records {
		r.applyDirectoryCopy(rec)
	}
	changes, errs := r.registry.Restore(r.config.Now(), records, end)
	for _, err := range errs {
		r.config.Logger.Warn("ignoring malformed record", "error", err)
	}
	for _, s := range r.subscribers {
		s.all = true
		s.notify()
	}
	r.config.Logger.Info("shared state restored", "records", len(records), "end", end, "changes", len(changes))
}

// Apply applies records in order.
func (r *Replica) Apply(records []briarspring.KeyedRecord) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.config.Now()
	for _, rec := range records {
		r.applyDirectoryCopy(rec)
		change, err := r.registry.Apply(now, rec)
		if err != nil {
			r.config.Logger.Warn("ignoring malformed record", "key", rec.Key, "offset", rec.Offset, "error", err)
		}
		if change == (registrar.Change{}) {
			continue
		}
		for _, s := range r.subscribers {
			s.enqueue(change)
		}
	}
	for _, s := range r.subscribers {
		s.notify()
	}
}

// applyDirectoryCopy passes on a copy of a record of the directory. Callers hold mu, so
// that nobody sees a decision without the directory that it was made under.
func (r *Replica) applyDirectoryCopy(rec briarspring.KeyedRecord) {
	if key, _, ok := registrar.ParseDirectoryKey(rec.Key); ok && len(rec.Value) > 0 && r.config.Directory != nil {
		r.config.Directory.ApplyCopy(key, rec.Value)
	}
}

// Subscription queues changes for one subscriber.
type Subscription struct {
	replica *Replica
	changed chan struct{}
	pending []registrar.Change
	all     bool // The subscriber must read the whole state.
}

// Subscribe returns a subscription whose first Drain asks to read the whole
// state.
func (r *Replica) Subscribe() *Subscription {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := &Subscription{replica: r, changed: make(chan struct{}, 1), all: true}
	s.notify()
	r.subscribers = append(r.subscribers, s)
	return s
}

// Close ends the subscription.
func (s *Subscription) Close() {
	s.replica.mu.Lock()
	defer s.replica.mu.Unlock()
	for i, o := range s.replica.subscribers {
		if o == s {
			s.replica.subscribers = append(s.replica.subscribers[:i], s.replica.subscribers[i+1:]...)
			return
		}
	}
}

// Changed returns a channel that receives a value after records were applied.
func (s *Subscription) Changed() <-chan struct{} { return s.changed }

// Drain returns the changes since the last call, or true when the caller must
// read the whole state instead.
func (s *Subscription) Drain() (changes []registrar.Change, all bool) {
	s.replica.mu.Lock()
	defer s.replica.mu.Unlock()
	changes, all = s.pending, s.all
	s.pending, s.all = nil, false
	return changes, all
}

func (s *Subscription) enqueue(c registrar.Change) {
	if s.all {
		return
	}
	if len(s.pending) >= maxPending {
		s.pending, s.all = nil, true
		return
	}
	s.pending = append(s.pending, c)
}

func (s *Subscription) notify() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}
