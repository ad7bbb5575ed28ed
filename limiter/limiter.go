package limiter

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/time/rate"
)

const (
	// sweepInterval is the time between two checks for requests without progress.
	sweepInterval = 500 * time.Millisecond
	// releaseWait bounds how long a request waits for the bytes of those that were
	// shed for it. They release them as soon as their goroutines run.
	releaseWait = 2 * time.Second
	// logRate and logBurst bound the log lines; the metrics count everything.
	logRate  = 5 // Per second.
	logBurst = 20
)

// Config holds the settings of a Limiter.
type Config struct {
	Grace   time.Duration // Younger requests are shed only if there is no older one.
	Stall   time.Duration // Longest time without a byte from a client, or without one that it reads.
	Request time.Duration // Longest time for a whole request to arrive.
	Now     func() time.Duration
	Logger  hclog.Logger
}

// DoorConfig holds the limits of one listening address.
type DoorConfig struct {
	Name            string
	Bytes           int64 // For connections, unfinished requests and unread responses together.
	Connections     int
	ConnectionBytes int64  // Reserved for each connection.
	RefusalHeader   string // Further header line of refusals that are sent before a request is read; empty for none.
}

// Limiter limits the clients of a process. Each address that clients connect to is
// a Door with a part of the whole, so that no door takes the room of another.
type Limiter struct {
	config Config
	lines  *rate.Limiter
	lane   *lane
	done   chan struct{}

	mu       sync.Mutex
	doors    []*Door
	counts   map[string]uint64
	withheld int // Log lines since the last one.
}

// New returns a Limiter without doors.
func New(c Config) *Limiter {
	if c.Logger == nil {
		c.Logger = hclog.NewNullLogger()
	}
	if c.Now == nil {
		start := time.Now()
		c.Now = func() time.Duration { return time.Since(start) }
	}
	return &Limiter{
		config: c, lines: rate.NewLimiter(logRate, logBurst), lane: newLane(), done: make(chan struct{}),
		counts: map[string]uint64{},
	}
}

// NewDoor adds a door.
func (l *Limiter) NewDoor(c DoorConfig) *Door {
	d := &Door{limiter: l, config: c, conns: map[*holding]*Conn{}, pool: newPool(poolConfig{
		bytes: c.Bytes, connections: c.Connections, connectionBytes: c.ConnectionBytes, grace: l.config.Grace,
	})}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.doors = append(l.doors, d)
	return d
}

// Done returns a channel that is closed when Run has ended.
func (l *Limiter) Done() <-chan struct{} { return l.done }

// Run ends requests without progress until the context ends.
func (l *Limiter) Run(ctx context.Context) {
	defer close(l.done)
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-sweep.C:
			l.sweep()
		}
	}
}

func (l *Limiter) sweep() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.config.Now()
	for _, d := range l.doors {
		d.evict(d.pool.expired(now, l.config.Stall, l.config.Request), "no progress", now)
	}
}

// Snapshot returns the counters by door and event, and what each door holds, for
// expvar.
func (l *Limiter) Snapshot() map[string]uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := map[string]uint64{}
	for name, n := range l.counts {
		list[name] = n
	}
	for _, d := range l.doors {
		list[d.config.Name+"/connections"] = uint64(len(d.pool.holdings))
		list[d.config.Name+"/bytes"] = uint64(d.pool.bytes)
	}
	return list
}

// record counts an event and logs it, within the rate of log lines.
func (l *Limiter) record(event string, d *Door, args ...any) {
	l.counts[d.config.Name+"/"+event]++
	if !l.lines.Allow() {
		l.withheld++
		return
	}
	args = append([]any{"event", event, "address", d.config.Name}, args...)
	l.config.Logger.Warn("client limited", append(args, "withheld", l.withheld)...)
	l.withheld = 0
}

// RefusedError reports a request that was refused for lack of room. It has not run.
type RefusedError struct {
	Reason     string
	RetryAfter time.Duration // Whole seconds.
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("refused: %s; try again in %d s", e.Reason, int(e.RetryAfter/time.Second))
}
