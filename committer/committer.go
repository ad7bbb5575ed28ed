// Package committer appends records to a stream in order, with effect exactly
// once: a record whose append got no answer is appended again with the same
// sequence number, and readers drop the duplicate.
package committer

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"

	"briarspring"
	"briarspring/encoder"
	"briarspring/sleeper"
)

const (
	queueLength   = 1024
	callTimeout   = 3 * time.Second
	minRetryDelay = 20 * time.Millisecond
	maxRetryDelay = time.Second
)

// Appender appends a record to a stream of the platform's log.
type Appender interface {
	Append(ctx context.Context, stream string, record []byte) (uint64, error)
}

// Config holds the settings of a Committer.
type Config struct {
	Stream   string
	Appender Appender
	Writer   briarspring.Writer
	Interval time.Duration // Minimum time between two appends.
	Logger   hclog.Logger
}

// Committer writes to one stream. A process has only one for each stream.
type Committer struct {
	config   Config
	queue    chan entry
	done     chan struct{}
	sequence uint64
}

type entry struct {
	body     briarspring.Body
	sequence uint64
}

// New returns a committer; Run makes it append.
func New(c Config) *Committer {
	if c.Logger == nil {
		c.Logger = hclog.NewNullLogger()
	}
	return &Committer{config: c, queue: make(chan entry, queueLength), done: make(chan struct{})}
}

// Done returns a channel that is closed when Run has ended.
func (c *Committer) Done() <-chan struct{} { return c.done }

// Commit queues a record and returns its sequence number. It returns false when
// the queue is full. Only one goroutine may call it at a time.
func (c *Committer) Commit(body briarspring.Body) (sequence uint64, ok bool) {
	select {
	case c.queue <- entry{body: body, sequence: c.sequence + 1}:
		c.sequence++
		return c.sequence, true
	default:
		return 0, false
	}
}

// Pending returns the number of queued records.
func (c *Committer) Pending() int { return len(c.queue) }

// Run appends until the context ends.
func (c *Committer) Run(ctx context.Context) {
	defer close(c.done)
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-c.queue:
			c.append(ctx, e)
			_ = sleeper.For(ctx, c.config.Interval)
		}
	}
}

func (c *Committer) append(ctx context.Context, e entry) {
	data, err := encoder.EncodeRecord(briarspring.Record{Writer: c.config.Writer, Sequence: e.sequence, Body: e.body})
	if err != nil {
		c.config.Logger.Error("record can't be encoded", "stream", c.config.Stream, "error", err)
		return
	}
	wait := minRetryDelay
	for ctx.Err() == nil {
		err := c.appendOnce(ctx, data)
		if err == nil {
			return
		}
		if wait == minRetryDelay && ctx.Err() == nil {
			c.config.Logger.Warn("append failed, retrying",
				"stream", c.config.Stream, "sequence", e.sequence, "error", err)
		}
		_ = sleeper.For(ctx, wait)
		wait = min(2*wait, maxRetryDelay)
	}
}

func (c *Committer) appendOnce(ctx context.Context, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := c.config.Appender.Append(ctx, c.config.Stream, data)
	return err
}
