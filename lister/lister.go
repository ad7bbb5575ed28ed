// Package lister keeps the platform's list of workers.
package lister

import (
	"cmp"
	"slices"
	"sync"

	"github.com/hashicorp/go-hclog"

	"briarspring"
)

// Decoder turns a record of the workers' stream into an entry.
type Decoder interface {
	Worker(r briarspring.KeyedRecord) (briarspring.WorkerEntry, error)
}

// Config holds the settings of a List.
type Config struct {
	Decoder Decoder
	Logger  hclog.Logger
}

// List is the list of workers. It is a tracker's sink.
type List struct {
	config Config

	mu      sync.Mutex
	known   bool
	entries map[string]briarspring.WorkerEntry
	faulty  map[string]bool // Keys whose entry can't be decoded, each logged once.
}

// New returns an empty list.
func New(c Config) *List {
	if c.Logger == nil {
		c.Logger = hclog.NewNullLogger()
	}
	return &List{config: c, entries: map[string]briarspring.WorkerEntry{}, faulty: map[string]bool{}}
}

// Restore takes the newest record of every key.
func (l *List) Restore(records []briarspring.KeyedRecord, _ uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.known = true
	clear(l.entries)
	for _, r := range records {
		l.take(r)
	}
}

// Apply takes records in order.
func (l *List) Apply(records []briarspring.KeyedRecord) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range records {
		l.take(r)
	}
}

func (l *List) take(r briarspring.KeyedRecord) {
	if len(r.Value) == 0 {
		delete(l.entries, r.Key)
		return
	}
	e, err := l.config.Decoder.Worker(r)
	if err != nil {
		delete(l.entries, r.Key)
		if !l.faulty[r.Key] {
			l.faulty[r.Key] = true
			l.config.Logger.Warn("entry of a worker is not used", "key", r.Key, "error", err)
		}
		return
	}
	delete(l.faulty, r.Key)
	l.entries[r.Key] = e
}

// Workers returns the workers of a data centre in order of ID; false before the
// list was read.
func (l *List) Workers(dataCentre string) ([]briarspring.WorkerEntry, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []briarspring.WorkerEntry
	for _, e := range l.entries {
		if e.DataCentre == dataCentre {
			list = append(list, e)
		}
	}
	slices.SortFunc(list, func(a, b briarspring.WorkerEntry) int { return cmp.Compare(a.ID, b.ID) })
	return list, l.known
}
