package limiter

import (
	"runtime"
	"sync"
	"time"
)

const (
	// minRest keeps rests long enough for the timers of the system.
	minRest = time.Millisecond
	// maxRest bounds the rest after a turn during which the process was suspended.
	maxRest = 20 * time.Millisecond
)

// lane bounds the processor time for decoding bodies in chunks, of which small ones
// cost many times what their bytes do. A body has a turn for what has arrived of it.
// After turns, a rest of the same length leaves the processors to other requests.
type lane struct {
	turns chan struct{}
	mu    sync.Mutex
	debt  time.Duration // Rest that is due. Guarded by mu.
}

func newLane() *lane { return &lane{turns: make(chan struct{}, max(1, runtime.GOMAXPROCS(0)/2))} }

// enter waits for a turn. Turns are given in the order of the calls.
func (l *lane) enter() { l.turns <- struct{}{} }

// leave ends a turn that took some time.
func (l *lane) leave(took time.Duration) {
	if rest := l.restAfter(took); rest > 0 {
		time.AfterFunc(rest, func() { <-l.turns })
		return
	}
	<-l.turns
}

// restAfter returns how long to rest after a turn.
func (l *lane) restAfter(took time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.debt += took
	if l.debt < minRest {
		return 0
	}
	rest := min(l.debt, maxRest)
	l.debt = 0
	return rest
}
