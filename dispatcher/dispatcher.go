// Package dispatcher decides for the owner of a data centre which task runs on
// which worker. It holds the state of workflows, runs and workers, takes what
// the workers answer, and returns orders. It does no input or output: the same
// calls give the same orders.
//
// The workers are the authority on what runs. The progress stream only keeps
// ends, so that they are not lost with a worker; a new owner fences every
// worker with its token, and takes its report as authoritative.
package dispatcher

import (
	"time"

	"github.com/hashicorp/go-hclog"

	"briarspring"
)

// Config holds the settings of a Dispatcher.
type Config struct {
	DataCentre string
	Token      uint64        // Of the claim; also the offset that follows it.
	Lease      time.Duration // Of a worker, from a renewal on; every owner uses the same.
	MaxLease   time.Duration // Longest lease that a worker grants.
	Logger     hclog.Logger

	// Predecessor tells that an earlier owner may have started runs that are
	// not recorded.
	Predecessor bool
	// Pacer decides how fast tasks that fill may work.
	Pacer Pacer
}

// Pacer decides how fast the tasks that fill may work on a worker.
type Pacer interface {
	Decide(now time.Duration, worker string, serving []Serving, filling []Filling) []Pace
	// Share returns the share of full speed at which one more task of an image
	// could work on a worker.
	Share(worker, image string, cores float64, serving []Serving, filling []Filling) float64
	// Presses reports whether an image presses any of the tasks that serve.
	Presses(image string, serving []Serving) bool
	// Forget drops what is remembered of a worker.
	Forget(worker string)
	// Burden returns the share of all images that press tasks that serve.
	Burden(serving []Serving) float64
}

// Serving is a lasting task with a target, as it was last measured.
type Serving struct {
	Image  string
	Tail   float64 // Of the target; above one is too slow.
	Marked bool    // A measurement was made.
}

// Filling is a task that fills.
type Filling struct {
	Run      briarspring.RunRef
	Image    string
	Cores    float64 // Declared.
	Used     float64 // Cores in use at the last reading.
	Percent  int     // Of full speed at present.
	Progress int     // In percent of its work.
}

// Pace is a decision on the speed of a run.
type Pace struct {
	Run     briarspring.RunRef
	Percent int
}

// Dispatcher is the owner's state of a data centre.
type Dispatcher struct {
	config  Config
	logger  hclog.Logger
	workers map[string]*worker
	order   []*worker // All workers, by ID.
	jobs    map[briarspring.WorkflowID]*job

	out          bool // Operators took the data centre out of service.
	superseded   bool
	startedAt    time.Duration
	gone         bool                     // Every earlier owner gives no more orders.
	goneAt       time.Duration            // When that became known.
	silent       map[string]time.Duration // When the leases of workers have ended that did not answer the last owner.
	listed       bool                     // The list of workers was read once.
	holdStarts   time.Duration            // No workflow of the predecessor's time starts before.
	barrierNoted bool

	orders     []Order
	dirty      map[briarspring.WorkflowID]*job
	changed    bool
	averages   averages
	meanSize   map[string]float64 // Mean work of a workflow by queue.
	now        time.Duration
	counters   Counters
	transfers  int             // Number of the last transfer.
	imagesSeen map[string]bool // Of tasks that fill.
}

// Counters counts what a dispatcher did, for metrics.
type Counters struct {
	Starts    uint64
	Done      uint64
	Failed    uint64
	Lost      uint64
	Stops     uint64
	Paces     uint64
	Doubts    uint64
	Completed uint64
}

// New returns the state of an owner whose claim came into force at a time.
func New(now time.Duration, c Config) *Dispatcher {
	if c.Logger == nil {
		c.Logger = hclog.NewNullLogger()
	}
	return &Dispatcher{
		config:     c,
		logger:     c.Logger,
		workers:    map[string]*worker{},
		jobs:       map[briarspring.WorkflowID]*job{},
		dirty:      map[briarspring.WorkflowID]*job{},
		startedAt:  now,
		now:        now,
		meanSize:   map[string]float64{},
		averages:   averages{},
		imagesSeen: map[string]bool{},
	}
}

// Superseded reports whether a worker has accepted a newer owner's token.
func (d *Dispatcher) Superseded() bool { return d.superseded }

// Counters returns what the dispatcher did so far.
func (d *Dispatcher) Counters() Counters { return d.counters }

// SetOut tells whether operators took the data centre out of service.
func (d *Dispatcher) SetOut(now time.Duration, out bool) {
	d.now = now
	if d.out == out {
		return
	}
	d.out = out
	d.changed = true
	d.logger.Info("data centre's service changed", "out", out)
}

// HoldStarts keeps workflows of the predecessor's time from starting before a
// time, because the list of workers may be incomplete until then.
func (d *Dispatcher) HoldStarts(until time.Duration) { d.holdStarts = max(d.holdStarts, until) }

// EarlierGone tells when it became known that every earlier owner gives no more
// orders.
func (d *Dispatcher) EarlierGone(at time.Duration) {
	d.gone = true
	d.goneAt = at
}

// EarlierSilent tells which workers did not answer the last owner, and when
// their leases have certainly ended.
func (d *Dispatcher) EarlierSilent(lapses map[string]time.Duration) { d.silent = lapses }

// OrderKind tells orders apart.
type OrderKind uint8

// The kinds of orders.
const (
	OrderStart OrderKind = 1
	OrderStop  OrderKind = 2
	OrderPace  OrderKind = 3
)

// Order is something that a worker is to do.
type Order struct {
	Kind    OrderKind
	Worker  string
	Address string
	Start   briarspring.StartOrder
	Stop    briarspring.StopOrder
	Pace    briarspring.PaceOrder
}

// Run returns the run that the order is about.
func (o Order) Run() briarspring.RunRef {
	switch o.Kind {
	case OrderStart:
		return o.Start.Run
	case OrderStop:
		return o.Stop.Run
	default:
		return o.Pace.Run
	}
}
