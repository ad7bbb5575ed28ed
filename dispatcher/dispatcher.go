// Package dispatcher decides, for the owner of a data centre, which task runs
// on which worker. It keeps the state of workflows, runs and workers, processes
// the workers' replies and returns orders. It does no input or output and reads
// no clock.
//
// A worker's report is authoritative for what runs on it. The progress stream
// only records how runs ended, so that this is not lost with a worker. A new
// owner fences every worker with its token before it relies on the worker's
// report.
package dispatcher

import (
	"time"

	"github.com/hashicorp/go-hclog"

	"briarspring"
)

// Config holds the settings of a Dispatcher.
type Config struct {
	DataCentre string
	Token      uint64        // Fencing token: the log offset that follows the claim.
	Lease      time.Duration // Duration of a worker's lease from a renewal; the same for every owner.
	MaxLease   time.Duration // Longest lease that a worker grants.
	Logger     hclog.Logger

	// Predecessor is true if an earlier owner may have started runs that are
	// not recorded.
	Predecessor bool
	// PreviousToken is the token of the claim that this one replaced, for log lines.
	PreviousToken uint64
	// Registered returns what the log says of a workflow, for log lines. It may be nil.
	Registered func(briarspring.WorkflowID) Registration
	// Yields makes the owner order nothing while it can neither write progress nor
	// reach most workers.
	Yields bool
	// ShortLeases makes the owner give short leases unless it has stored progress and a
	// heartbeat lately, and count three fifths of the recorded workers as most. It needs
	// Yields and RecordedOnly.
	ShortLeases bool
	// RecordedOnly records workers in the progress stream, and limits starts to those
	// whose record is stored, so that a new owner knows whom to ask.
	RecordedOnly bool
	// KeepLongRunning makes the dispatcher stop no long-running task to make room
	// for urgent work.
	KeepLongRunning bool
	// FarMultiplier is the factor of the run time of tasks away from the rack of
	// their data and of gangs on several racks, at least one. Zero means that it is not
	// known; then nothing waits near data, and gangs for up to their run time.
	FarMultiplier float64
	// Pacer sets the speed of best-effort tasks. It may be nil.
	Pacer Pacer
}

// Pacer limits the speed of best-effort tasks on a worker to protect the
// long-running tasks there from interference.
type Pacer interface {
	// Decide returns the new paces of best-effort tasks on a worker.
	Decide(now time.Duration, worker string, serving []ServingTask, bestEffort []BestEffortTask) []Pace
	// Allowance returns how many cores one more task of an image could use on a
	// worker: positive infinity if it interferes with nothing there.
	Allowance(worker, image string, serving []ServingTask, bestEffort []BestEffortTask) float64
	// Interferes reports whether an image interferes with any of the
	// long-running tasks.
	Interferes(image string, serving []ServingTask) bool
	// Forget drops everything learned about a worker.
	Forget(worker string)
	// InterferingFraction returns the share of all images that interfere with
	// the long-running tasks.
	InterferingFraction(serving []ServingTask) float64
}

// ServingTask is a long-running task with a latency target, as last measured.
type ServingTask struct {
	Image     string
	TailRatio float64 // Tail latency as a share of the target; above one is too slow.
	Measured  bool    // Whether there is a recent measurement.
}

// BestEffortTask is a best-effort task.
type BestEffortTask struct {
	Run      briarspring.RunRef
	Image    string
	Cores    float64 // Declared, scaled to a worker of the reference size.
	Used     float64 // In use at the last reading, scaled alike.
	Percent  int     // Pace at present, in percent of full speed.
	Progress int     // Percent of its work.
}

// Pace is a decision about the speed of a run, in percent of full speed.
type Pace struct {
	Run     briarspring.RunRef
	Percent int
}

// Dispatcher holds the state of a data centre for its owner.
type Dispatcher struct {
	config      Config
	logger      hclog.Logger
	workers     map[string]*worker
	workersByID []*worker // All workers, sorted by ID.
	jobs        map[briarspring.WorkflowID]*job

	outOfService       bool // Operators took the data centre out of service.
	superseded         bool
	startedAt          time.Duration
	predecessorsGone   bool                     // No earlier owner gives orders any more.
	predecessorsGoneAt time.Duration            // When that became known.
	predecessorsYield  bool                     // Those that may still give orders yield.
	nameTaken          bool                     // Some are known to be gone only because a later process has their name.
	predecessors       Predecessors             // Of all earlier owners.
	progressWrittenAt  time.Duration            // When the last successful append of progress was sent.
	heartbeatWrittenAt time.Duration            // When the last heartbeat that was stored was sent.
	mostFencedAt       time.Duration            // When no earlier owner could reach most workers any more; zero before.
	silentLeaseEnds    map[string]time.Duration // Lease ends of the workers that did not answer the last owner.
	workersListed      bool                     // The list of workers was read at least once.
	startsFrom         time.Duration            // Earliest start of inherited workflows.
	takeover           map[string]bool          // Answers of takenOver in the present pass, by service.
	takeoverLogged     map[string]bool          // By service.
	inventoryToken     uint64                   // Of the inventory that named the known workers.

	startsLeft       int   // Starts that the present pass may still order.
	unmet            unmet // Needs of best-effort steps without a worker in the present pass.
	unmetReserved    unmet // The same of steps with reserved processors.
	optionBuffer     optionHeap
	claimBuffer      []claim
	noRoom           unmet   // Needs of best-effort steps that wait for quota and have no room either.
	noRoomReserved   unmet   // The same of steps with reserved processors.
	roomHint         *worker // Had room for a step that waits for quota.
	passes           uint64  // Planning passes so far.
	orders           []Order
	unsentStarts     []*run                          // Starts that are sent once they are stored.
	dirty            map[briarspring.WorkflowID]*job // Jobs whose progress records have to be stored.
	needsPlan        bool                            // Something changed since the last plan.
	phaseChanged     bool                            // A phase changed since TakePhases.
	ratios           runTimeRatios
	meanSize         map[string]float64 // Mean declared work of a workflow by queue.
	now              time.Duration
	counters         Counters
	audit            endAudit
	shortage         shortage
	farFactor        farFactor
	places           places
	lastTransfer     int             // Number of the last transfer.
	bestEffortImages map[string]bool // Images of best-effort tasks seen so far.

	organisations        map[string]*organisation
	organisationsKnown   bool // SetOrganisations was called.
	limited              bool // An organisation has a limit.
	directoryVersion     uint64
	organisationCounters namedCounters
	unseen               briarspring.Resources // At most in use by runs that are not known, see updateUnseen.
	held                 []*organisation       // Those whose tasks wait for quota.
	quotaAudit           endAudit
}

// Counters holds event counts of a dispatcher, for metrics.
type Counters struct {
	Starts    uint64
	Done      uint64
	Failed    uint64
	Lost      uint64
	Suspects  uint64 // Tasks that may have crashed a worker, once for each worker.
	Stops     uint64
	Paces     uint64
	Doubts    uint64 // Starts that got no answer.
	Unsent    uint64 // Starts that were not sent for want of a connection.
	Completed uint64

	HeldStarts     uint64 // Runs that a late start may begin after their worker's lease has ended.
	StartsAgain    uint64 // Starts after a run that ended unseen, or other than failed, stopped or refused.
	LateEnds       uint64 // Ends of runs that were given up before.
	LateDone       uint64 // Those among them that were done.
	Reappeared     uint64 // Runs that were given up and listed again.
	UnrecordedEnds uint64 // Ends that are acknowledged without a record.
	FinalEnds      uint64 // Ends of final or cancelled workflows, which need no record.
	HeldEnds       uint64 // Ends that are not acknowledged until their task is known.

	UrgentStops uint64 // Long-running tasks that were stopped to make room for urgent work.
	UrgentWaits uint64 // Urgent steps that had to wait for room while there was long-running work.

	PlaceWaits     uint64 // Tasks and gangs that waited for a good place.
	PlaceWaitMs    uint64 // Time that those waited that have started, in milliseconds.
	PlaceWaitsPaid uint64 // Those that started in the good place,
	PlaceWaitsLost uint64 // and those that started elsewhere.
}

// New returns the state of an owner whose claim took effect at now.
func New(now time.Duration, c Config) *Dispatcher {
	if c.Logger == nil {
		c.Logger = hclog.NewNullLogger()
	}
	return &Dispatcher{
		config:           c,
		logger:           c.Logger,
		workers:          map[string]*worker{},
		jobs:             map[briarspring.WorkflowID]*job{},
		dirty:            map[briarspring.WorkflowID]*job{},
		startedAt:        now,
		now:              now,
		meanSize:         map[string]float64{},
		ratios:           runTimeRatios{},
		takeover:         map[string]bool{},
		takeoverLogged:   map[string]bool{},
		bestEffortImages: map[string]bool{},
		organisations:    map[string]*organisation{},

		organisationCounters: namedCounters{},
		farFactor:            newFarFactor(c.FarMultiplier),
		places:               newPlaces(),
	}
}

// Superseded reports whether a worker has accepted the token of a newer owner.
func (d *Dispatcher) Superseded() bool { return d.superseded }

// Counters returns the event counts so far.
func (d *Dispatcher) Counters() Counters { return d.counters }

// SetOutOfService sets whether operators have taken the data centre out of
// service.
func (d *Dispatcher) SetOutOfService(now time.Duration, out bool) {
	d.now = now
	if d.outOfService == out {
		return
	}
	d.outOfService = out
	d.needsPlan = true
	d.logger.Info("data centre taken out of or returned to service", "out", out)
}

// DelayInheritedStarts delays the start of inherited workflows until a time,
// because the list of workers may be incomplete before it.
func (d *Dispatcher) DelayInheritedStarts(from time.Duration) { d.startsFrom = max(d.startsFrom, from) }

// SetPredecessorsGone records when it became known that no earlier owner gives
// orders any more.
func (d *Dispatcher) SetPredecessorsGone(at time.Duration) {
	d.predecessorsGone = true
	d.predecessorsGoneAt = at
}

// SetSilentLeaseEnds sets the workers that did not answer the last owner and
// the time by which their leases have certainly ended.
func (d *Dispatcher) SetSilentLeaseEnds(ends map[string]time.Duration) { d.silentLeaseEnds = ends }

// OrderKind is the kind of an order.
type OrderKind uint8

// The kinds of orders.
const (
	OrderStart OrderKind = 1
	OrderStop  OrderKind = 2
	OrderPace  OrderKind = 3
)

// Order is an instruction for a worker. Kind says which of Start, Stop and Pace
// is set.
type Order struct {
	Kind    OrderKind
	Worker  string
	Address string
	Start   briarspring.StartOrder
	Stop    briarspring.StopOrder
	Pace    briarspring.PaceOrder

	incarnation int64         // Of the worker, as known when a start or a stop was ordered.
	clock       time.Duration // Last reading of the worker's clock before a start was ordered.
}

// Run returns the run that the order refers to.
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
