// Package recorder writes log lines without ever holding up who logs: lines
// wait in a bounded ring, and those that find it full are counted.
package recorder

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// ringLength bounds the lines that wait to be written.
	ringLength = 2048
	// reportInterval is the least time between two reports of dropped lines.
	reportInterval = time.Second
	// maxBatch bounds the bytes of one write.
	maxBatch = 64 << 10
)

// Recorder is a writer that never blocks.
type Recorder struct {
	to      io.Writer
	lines   chan []byte
	dropped atomic.Uint64
	done    chan struct{}
}

// New returns a recorder; Run makes it write.
func New(to io.Writer) *Recorder {
	return &Recorder{to: to, lines: make(chan []byte, ringLength), done: make(chan struct{})}
}

// Write takes a line. It never fails.
func (r *Recorder) Write(line []byte) (int, error) {
	kept := append([]byte(nil), line...)
	select {
	case r.lines <- kept:
	default:
		r.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that found the ring full and were not
// reported yet.
func (r *Recorder) Dropped() uint64 { return r.dropped.Load() }

// Done returns a channel that is closed when Run has ended.
func (r *Recorder) Done() <-chan struct{} { return r.done }

// Run writes until the context ends, and then what still waits.
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

// flush writes a line and those that wait behind it.
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
	// A log that can't be written leaves nobody to tell.
	_, _ = r.to.Write(batch)
}

func (r *Recorder) report() {
	if n := r.dropped.Swap(0); n > 0 {
		fmt.Fprintf(r.to, "{\"@level\":\"warn\",\"@message\":\"log lines dropped\",\"count\":%d}\n", n)
	}
}
