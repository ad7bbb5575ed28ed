// Package appender groups the records that the parts of a process write to a
// keyed stream into few appends. The records must be idempotent: one whose
// append got no answer may be written again.
package appender

import (
	"context"
	"sync"
	"time"

	"briarspring"
)

// Store appends to keyed streams.
type Store interface {
	Append(ctx context.Context, stream string, records []briarspring.KeyedRecord, fence briarspring.Fence) (next uint64, err error)
}

// Config holds the settings of an Appender.
type Config struct {
	Stream string
	Store  Store
}

const (
	// callTimeout of an append; above the 0.8 s that a store takes that is
	// slowed down 75 times.
	callTimeout = 1500 * time.Millisecond
	// maxInFlight bounds the appends at a time, so that one on a silent
	// connection does not hold up the others.
	maxInFlight = 4
	// groupPause lets records that come together share an append.
	groupPause = 4 * time.Millisecond
	// maxGroup bounds the records of an append.
	maxGroup = 256
	// queueLength bounds the writes that wait for an append.
	queueLength = 1024
)

// Appender writes the records of one process to one stream.
type Appender struct {
	config Config
	queue  chan write
	done   chan struct{}
}

type write struct {
	records []briarspring.KeyedRecord
	answer  chan error
}

// New returns an appender; Run makes it write.
func New(c Config) *Appender {
	return &Appender{config: c, queue: make(chan write, queueLength), done: make(chan struct{})}
}

// Done returns a channel that is closed when Run has ended.
func (a *Appender) Done() <-chan struct{} { return a.done }

// Write appends records and returns when the outcome is known. The error is a
// *briarspring.NotDoneError when certainly nothing was written.
func (a *Appender) Write(ctx context.Context, records ...briarspring.KeyedRecord) error {
	w := write{records: records, answer: make(chan error, 1)}
	select {
	case a.queue <- w:
	case <-ctx.Done():
		return &briarspring.NotDoneError{Call: "append to " + a.config.Stream, Reason: "the queue is full"}
	case <-a.done:
		return &briarspring.NotDoneError{Call: "append to " + a.config.Stream, Reason: "the process stops"}
	}
	select {
	case err := <-w.answer:
		return err
	case <-ctx.Done():
		return &briarspring.DoubtError{Call: "append to " + a.config.Stream, Cause: ctx.Err()}
	case <-a.done:
		return &briarspring.DoubtError{Call: "append to " + a.config.Stream, Cause: context.Canceled}
	}
}

// Run writes until the context ends.
func (a *Appender) Run(ctx context.Context) {
	defer close(a.done)
	var flights sync.WaitGroup
	defer flights.Wait()
	slots := make(chan struct{}, maxInFlight)
	for {
		select {
		case <-ctx.Done():
			return
		case slots <- struct{}{}:
		}
		group := a.gather(ctx)
		if len(group) == 0 {
			return
		}
		flights.Go(func() {
			a.append(ctx, group)
			<-slots
		})
	}
}

// gather waits for a write and takes those that follow at once.
func (a *Appender) gather(ctx context.Context) []write {
	var group []write
	select {
	case <-ctx.Done():
		return nil
	case w := <-a.queue:
		group = append(group, w)
	}
	pause := time.NewTimer(groupPause)
	defer pause.Stop()
	records := len(group[0].records)
	for records < maxGroup {
		select {
		case w := <-a.queue:
			group = append(group, w)
			records += len(w.records)
		case <-pause.C:
			return group
		}
	}
	return group
}

func (a *Appender) append(ctx context.Context, group []write) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var records []briarspring.KeyedRecord
	for _, w := range group {
		records = append(records, w.records...)
	}
	_, err := a.config.Store.Append(ctx, a.config.Stream, records, briarspring.Fence{})
	for _, w := range group {
		w.answer <- err
	}
}
