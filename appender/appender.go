// Package appender batches the records that different parts of a process write
// to a keyed stream. Records must be idempotent: one whose append got no answer
// may be written again.
package appender

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"briarspring"
)

// Store appends to keyed streams.
type Store interface {
	Append(ctx context.Context, stream string, records []briarspring.KeyedRecord, fence briarspring.Fence) (next uint64, err error)
}

// Prologue provides records that an append has to begin with.
type Prologue interface {
	// Records returns the records for an append that is sent next.
	Records(ctx context.Context) []briarspring.KeyedRecord
	// Stored is called when they are stored; next is the offset after the append.
	Stored(records []briarspring.KeyedRecord, next uint64)
}

// Config holds the settings of an Appender.
type Config struct {
	Stream   string
	Store    Store
	Prologue Prologue // Optional.
}

const (
	// callTimeout is the timeout of an append. A store that is slowed down 75
	// times takes 0.8 s to answer.
	callTimeout = 1500 * time.Millisecond
	// maxInFlight bounds the concurrent appends. There are several so that one on
	// a silent connection does not hold up the others.
	maxInFlight = 4
	// batchWindow is how long a batch collects writes after its first one.
	batchWindow = 4 * time.Millisecond
	// maxBatchRecords is the number of records at which a batch is full. The last
	// write added to it may exceed it.
	maxBatchRecords = 256
	// maxBatchBytes is the same for their keys and values. The platform takes 2 MiB at
	// once, and no record is larger than an eighth of that.
	maxBatchBytes = 1 << 20
	// queueLength bounds the writes waiting for an append.
	queueLength = 1024
)

// Appender writes the records of one process to one stream.
type Appender struct {
	config Config
	queue  chan writeRequest
	done   chan struct{}
}

type writeRequest struct {
	records []briarspring.KeyedRecord
	result  chan error
	taken   *atomic.Bool // The append is sent, or the writer has withdrawn the records.
}

// bytes returns the size of the keys and values.
func (w writeRequest) bytes() int {
	n := 0
	for _, r := range w.records {
		n += len(r.Key) + len(r.Value)
	}
	return n
}

// New returns an appender; Run makes it write.
func New(c Config) *Appender {
	return &Appender{config: c, queue: make(chan writeRequest, queueLength), done: make(chan struct{})}
}

// Done returns a channel that is closed when Run has ended.
func (a *Appender) Done() <-chan struct{} { return a.done }

// Write appends records and waits for the result; without records, it appends the
// prologue alone if there is one. The error is a
// *briarspring.NotExecutedError when certainly nothing was written.
func (a *Appender) Write(ctx context.Context, records ...briarspring.KeyedRecord) error {
	w := writeRequest{records: records, result: make(chan error, 1), taken: new(atomic.Bool)}
	select {
	case a.queue <- w:
	case <-ctx.Done():
		return &briarspring.NotExecutedError{Call: "append to " + a.config.Stream, Reason: "the queue is full"}
	case <-a.done:
		return &briarspring.NotExecutedError{Call: "append to " + a.config.Stream, Reason: "the process stops"}
	}
	select {
	case err := <-w.result:
		return err
	case <-ctx.Done():
		if w.taken.CompareAndSwap(false, true) {
			return &briarspring.NotExecutedError{Call: "append to " + a.config.Stream, Reason: "it was not sent in time"}
		}
		return &briarspring.NoAnswerError{Call: "append to " + a.config.Stream, Cause: ctx.Err()}
	case <-a.done:
		return &briarspring.NoAnswerError{Call: "append to " + a.config.Stream, Cause: context.Canceled}
	}
}

// Run appends batches until the context ends.
func (a *Appender) Run(ctx context.Context) {
	defer close(a.done)
	var appends sync.WaitGroup
	defer appends.Wait()
	slots := make(chan struct{}, maxInFlight)
	for {
		select {
		case <-ctx.Done():
			return
		case slots <- struct{}{}:
		}
		batch := a.collectBatch(ctx)
		if len(batch) == 0 {
			return
		}
		appends.Go(func() {
			a.append(ctx, batch)
			<-slots
		})
	}
}

// collectBatch waits for a write and adds those that follow within batchWindow.
func (a *Appender) collectBatch(ctx context.Context) []writeRequest {
	var batch []writeRequest
	select {
	case <-ctx.Done():
		return nil
	case w := <-a.queue:
		batch = append(batch, w)
	}
	pause := time.NewTimer(batchWindow)
	defer pause.Stop()
	records, bytes := len(batch[0].records), batch[0].bytes()
	for records < maxBatchRecords && bytes < maxBatchBytes {
		select {
		case w := <-a.queue:
			batch = append(batch, w)
			records += len(w.records)
			bytes += w.bytes()
		case <-pause.C:
			return batch
		}
	}
	return batch
}

func (a *Appender) append(ctx context.Context, batch []writeRequest) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var prologue []briarspring.KeyedRecord
	if a.config.Prologue != nil {
		prologue = a.config.Prologue.Records(ctx)
	}
	records := slices.Clone(prologue)
	batch = slices.DeleteFunc(batch, func(w writeRequest) bool { return !w.taken.CompareAndSwap(false, true) })
	for _, w := range batch {
		records = append(records, w.records...)
	}
	if len(records) == 0 {
		for _, w := range batch {
			w.result <- nil
		}
		return
	}
	next, err := a.config.Store.Append(ctx, a.config.Stream, records, briarspring.Fence{})
	if err == nil && len(prologue) > 0 {
		a.config.Prologue.Stored(prologue, next)
	}
	for _, w := range batch {
		w.result <- err
	}
}
