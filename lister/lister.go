// Package lister maintains the platform's list of workers.
package lister

import (
	"cmp"
	"slices"
	"sync"

	"github.com/hashicorp/go-hclog"

	"briarspring"
)

// Decoder decodes records of the workers' stream.
type Decoder interface {
	DecodeWorker(r briarspring.KeyedRecord) (briarspring.WorkerEntry, error)
}

// Config holds the settings of a List.
type Config struct {
	Decoder Decoder
	Logger  hclog.Logger
}

// List is the list of workers. It implements tracker.Sink.
type List struct {
	config Config

	mu        sync.Mutex
	loaded    bool
	entries   map[string]briarspring.WorkerEntry
	malformed map[string]bool // Keys of malformed entries, to log each only once.
}

// New returns an empty list.
func New(c Config) *List {
	if c.Logger == nil {
		c.Logger = hclog.NewNullLogger()
	}
	return &List{config: c, entries: map[string]briarspring.WorkerEntry{}, malformed: map[string]bool{}}
}

// Restore replaces the list with the latest record of every key.
func (l *List) Restore(records []briarspring.KeyedRecord, _ uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.loaded = true
	clear(l.entries)
	for _, r := range records {
		l.applyRecord(r)
	}
}

// Apply applies records in order. A record that is empty or malformed removes
// its worker.
func (l *List) Apply(records []briarspring.KeyedRecord) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range records {
		l.applyRecord(r)
	}
}

func (l *List) applyRecord(r briarspring.KeyedRecord) {
	if len(r.Value) == 0 {
		delete(l.entries, r.Key)
		return
	}
	e, err := l.config.Decoder.DecodeWorker(r)
	if err != nil {
		delete(l.entries, r.Key)
		if !l.malformed[r.Key] {
			l.malformed[r.Key] = true
			l.config.Logger.Warn("ignoring malformed worker entry", "key", r.Key, "error", err)
		}
		return
	}
	delete(l.malformed, r.Key)
	l.entries[r.Key] = e
}

// Workers returns the workers of a data centre sorted by ID. It returns false
// before the list has been loaded.
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
	return list, l.loaded
}
