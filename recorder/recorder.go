// Package recorder writes log lines without blocking the caller. Lines are
// buffered in a bounded queue; lines that find it full are dropped and counted.
package recorder

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// queueLength bounds the buffered lines.
	queueLength = 2048
	// reportInterval is the time between two reports of dropped lines.
	reportInterval = time.Second
	// maxBatch is the size in bytes from which a write takes no more lines.
	maxBatch = 64 << 10
)

// Recorder is an io.Writer that never blocks.
type Recorder struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Uint64
	done    chan struct{}
}

// New returns a Recorder that writes to out once Run is called.
func New(out io.Writer) *Recorder {
	return &Recorder{out: out, lines: make(chan []byte, queueLength), done: make(chan struct{})}
}

// Write queues a copy of the line, or drops it if the queue is full. It never
// fails.
func (r *Recorder) Write(line []byte) (int, error) {
	kept := append([]byte(nil), line...)
	select {
	case r.lines <- kept:
	default:
		r.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of dropped lines that were not reported yet.
func (r *Recorder) Dropped() uint64 { return r.dropped.Load() }

// Done returns a channel that is closed when Run has ended.
func (r *Recorder) Done() <-chan struct{} { return r.done }

// Run writes queued lines until the context ends, and then one last batch of the
// remaining ones.
func (r *Recorder) Run(ctx context.Context) {
	defer close(r.done)
	report := time.NewTicker(reportInterval)
	defer report.Stop()
	for {
		select {
		case <-ctx.Done():
			r.flush(nil)
			return
		case line := <-r.lines:
			r.flush(line)
		case <-report.C:
			r.report()
		}
	}
}

// flush writes a batch together with queued lines, up to maxBatch.
func (r *Recorder) flush(batch []byte) {
	for len(batch) < maxBatch {
		select {
		case line := <-r.lines:
			batch = append(batch, line...)
			continue
		default:
		}
		break
	}
	// There is no other log to report a failed write to.
	_, _ = r.out.Write(batch)
}

// report writes a log line with the number of dropped lines, if there are any.
func (r *Recorder) report() {
	if n := r.dropped.Swap(0); n > 0 {
		fmt.Fprintf(r.out, "{\"@level\":\"warn\",\"@message\":\"log lines dropped\",\"count\":%d}\n", n)
	}
}
