package assembler

import (
	"context"
	"time"

	"briarspring/sleeper"
)

const (
	// copyTimeout bounds the write of copies; if it fails, the host's next append
	// begins with them.
	copyTimeout = 1500 * time.Millisecond
	// copyStagger is the delay between the owners of two data centres, so that those
	// that come later find that the stream has the copies. It exceeds the 10 ms of an
	// append and the 6 ms of a read.
	copyStagger = 25 * time.Millisecond
)

// directoryCopies writes copies of the directory's records to the shared stream as soon
// as they change, if the host owns a data centre. A change then outlives the hosts that
// have read it even if none of them has anything else to write.
type directoryCopies struct {
	changed chan struct{}
	write   func(ctx context.Context) error // Appends what is missing.
	rank    func() (int, bool)              // Position of the data centre that the host owns, or false without one.
	done    chan struct{}
}

func newDirectoryCopies(write func(context.Context) error, rank func() (int, bool)) *directoryCopies {
	return &directoryCopies{changed: make(chan struct{}, 1), write: write, rank: rank, done: make(chan struct{})}
}

// notify records that the directory has changed. It doesn't block.
func (d *directoryCopies) notify() {
	select {
	case d.changed <- struct{}{}:
	default:
	}
}

// Done returns a channel that is closed when Run has ended.
func (d *directoryCopies) Done() <-chan struct{} { return d.done }

// Run writes copies after each change until the context ends.
func (d *directoryCopies) Run(ctx context.Context) {
	defer close(d.done)
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.changed:
		}
		rank, owns := d.rank()
		if !owns || sleeper.For(ctx, time.Duration(rank)*copyStagger) != nil {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, copyTimeout)
		_ = d.write(callCtx)
		cancel()
	}
}
