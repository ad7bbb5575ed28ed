package imitator

import (
	"sync"
	"time"

	"briarspring"
)

// JournalKind is the kind of a journal entry.
type JournalKind string

// Events of an attempt.
const (
	JournalStart      JournalKind = "start"
	JournalDone       JournalKind = "done"
	JournalFailed     JournalKind = "failed"
	JournalCheckpoint JournalKind = "checkpoint"
	JournalLapsed     JournalKind = "lapsed"
	JournalLeaseEnd   JournalKind = "lease-end" // Of the worker; the entry has no attempt.
)

var journalKindByPhase = map[briarspring.TaskPhase]JournalKind{
	briarspring.TaskDone:         JournalDone,
	briarspring.TaskFailed:       JournalFailed,
	briarspring.TaskCheckpointed: JournalCheckpoint,
	briarspring.TaskLapsed:       JournalLapsed,
}

// JournalEntry is one event on a worker, recorded by the worker itself.
type JournalEntry struct {
	Time       time.Time
	Worker     string
	Kind       JournalKind
	Attempt    briarspring.AttemptID
	Name       string
	Resources  briarspring.Resources
	Capacity   briarspring.Resources // Of the worker.
	Checkpoint uint64                // Checkpoint that the attempt resumed from.
	Saved      uint64                // Checkpoint that the attempt saved.
	Work       time.Duration         // Work done by the task so far; set when an attempt ends.
}

// Journal records the events on workers, independently of the scheduler, so that
// tests can check the scheduler against it.
type Journal struct {
	mu      sync.Mutex
	entries []JournalEntry
}

func (j *Journal) add(e JournalEntry) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.entries = append(j.entries, e)
}

// Entries returns all entries so far, in the order in which they were added.
func (j *Journal) Entries() []JournalEntry {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]JournalEntry(nil), j.entries...)
}
