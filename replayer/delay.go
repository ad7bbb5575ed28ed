package replayer

import (
	"context"
	"hash/fnv"
	"math/rand/v2"
	"sync"
	"time"

	"briarspring"
	"briarspring/scheduler"
	"briarspring/sleeper"
)

const (
	maxDelay      = time.Millisecond      // Of a call, and of its answer.
	maxStartDelay = 25 * time.Millisecond // Of a scheduler, so that no two tick at the same instant.
)

// delays delays the calls of one scheduler. Calls that take effect at the same
// instant do so in the order in which goroutines happen to run. Random delays
// with the precision of nanoseconds keep them apart, and since each kind of call
// has its own seeded source, no other call changes them.
type delays struct {
	seed   uint64
	caller string

	mu      sync.Mutex
	sources map[string]*rand.Rand // By kind of call; a scheduler makes one call of a kind at a time.
}

func newDelays(seed uint64, caller string) *delays {
	return &delays{seed: seed, caller: caller, sources: map[string]*rand.Rand{}}
}

// draw returns a delay that depends only on the seed, the caller, the kind of
// call and the number of earlier calls of this kind.
func (d *delays) draw(kind string, most time.Duration) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	random := d.sources[kind]
	if random == nil {
		h := fnv.New64a()
		h.Write([]byte(d.caller + " " + kind))
		random = rand.New(rand.NewPCG(d.seed, h.Sum64()))
		d.sources[kind] = random
	}
	return 1 + time.Duration(random.Int64N(int64(most)))
}

// begin delays a call. The function that it returns delays the answer, also that
// of a call that was given up, since the caller goes on with it.
func (d *delays) begin(ctx context.Context, kind string) (end func(), err error) {
	there, back := d.draw(kind, maxDelay), d.draw(kind, maxDelay)
	return func() { time.Sleep(back) }, sleeper.For(ctx, there)
}

// delayedLog is a scheduler's access to the log.
type delayedLog struct {
	scheduler.Log
	delays *delays
}

// Append implements scheduler.Log.
func (l delayedLog) Append(ctx context.Context, stream string, record []byte) (uint64, error) {
	end, err := l.delays.begin(ctx, "append "+stream)
	defer end()
	if err != nil {
		return 0, err
	}
	return l.Log.Append(ctx, stream, record)
}

// Read implements scheduler.Log.
func (l delayedLog) Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (briarspring.LogPage, error) {
	end, err := l.delays.begin(ctx, "read "+stream)
	defer end()
	if err != nil {
		return briarspring.LogPage{}, err
	}
	return l.Log.Read(ctx, stream, from, limit, wait)
}

// delayedWorkers is a scheduler's access to the workers.
type delayedWorkers struct {
	scheduler.Workers
	delays *delays
}

// Exchange implements scheduler.Workers.
func (w delayedWorkers) Exchange(ctx context.Context, address string, e briarspring.Exchange) (briarspring.WorkerReport, error) {
	end, err := w.delays.begin(ctx, "exchange "+e.Worker)
	defer end()
	if err != nil {
		return briarspring.WorkerReport{}, err
	}
	return w.Workers.Exchange(ctx, address, e)
}

// delayedHosts is a scheduler's access to the list of hosts.
type delayedHosts struct {
	list   scheduler.Hosts
	delays *delays
}

// Hosts implements scheduler.Hosts.
func (h delayedHosts) Hosts(ctx context.Context, dataCentre string) ([]briarspring.Host, error) {
	end, err := h.delays.begin(ctx, "hosts")
	defer end()
	if err != nil {
		return nil, err
	}
	return h.list.Hosts(ctx, dataCentre)
}
