package briarspring

import "time"

// Names of the keyed streams that hosts share.
const (
	// SharedStream holds the records on workflows, owners and hosts, such as
	// submissions, phases, claims and heartbeats.
	SharedStream = "shared"
	// DirectoryStream holds the operators' queues and the list of data centres
	// out of service.
	DirectoryStream = "directory"
	// WorkersStream holds the workers' entries.
	WorkersStream = "workers"
	// ModelsStream holds the interference models of the data centres' owners, by data
	// centre. Only owners read it.
	ModelsStream = "models"
)

// ProgressStream returns the name of the stream with the progress of tasks in a
// data centre.
func ProgressStream(dataCentre string) string { return "progress." + dataCentre }

// KeyedRecord is the latest record of a key. A record without a value deletes
// the key.
type KeyedRecord struct {
	Key    string
	Value  []byte
	Offset uint64
}

// KeyedPage is the result of reading a keyed stream.
type KeyedPage struct {
	Records []KeyedRecord
	Next    uint64 // Offset at which the next read starts.
	End     uint64 // Offset of the next append at the time of the reply.
}

// Fence identifies the only writer of a stream. With a zero epoch, appends are
// not fenced.
type Fence struct {
	Epoch    uint64 // Appends of lower epochs are refused once a higher one was seen.
	Sequence uint64 // Increases by one with each append in the epoch.
}

// EarlyCancellation cancels a workflow that was not known where its cancellation was
// requested. The submission may follow in the stream, as late as a write may take effect.
type EarlyCancellation struct {
	DataCentre   string // Its owner removes the record once it has expired.
	Organisation string // Of the caller; empty for none.
	Limited      bool   // The caller sees only workflows of its organisation, and those without one.
}

// AppliesTo reports whether a workflow of an organisation, empty for none, is cancelled.
func (c EarlyCancellation) AppliesTo(organisation string) bool {
	return !c.Limited || organisation == "" || organisation == c.Organisation
}

// DataCentreClaim makes a host the owner of a data centre's workers if it
// follows the current claim.
type DataCentreClaim struct {
	DataCentre  string
	Previous    uint64 // Token of the preceding claim; zero for the first one.
	Owner       string // Name of the host.
	Incarnation int64
	Yields      bool // The owner orders nothing while it can neither write progress nor reach most workers.
	// ShortLeases is true if the owner gives short leases unless it has stored a heartbeat
	// lately, and counts three fifths of its recorded workers as most.
	ShortLeases bool
}

// OwnerHeartbeat is an owner's heartbeat with the load of its workers.
type OwnerHeartbeat struct {
	Token       uint64
	Backlog     int64            // Declared work that is waiting, in thousandths of a core times seconds.
	Free        int64            // Unreserved thousandths of a core on all workers.
	Largest     int64            // Unreserved thousandths of a core on the worker with the most.
	Total       int64            // Capacity of all usable workers in thousandths of a core.
	IdleByImage map[string]int64 // Idle thousandths of a core by image that may use them, minus its waiting demand.
}

// HostPresence describes one incarnation of a host's process.
type HostPresence struct {
	DataCentre  string
	Incarnation int64 // Start time of the process in Unix milliseconds.
	MilliCPU    int   // Processors of the host in thousandths of a core.
}

// TaskProgress is the state of a task of which a start was ordered.
type TaskProgress struct {
	Position   int // Index of the task across all steps.
	Done       bool
	FailedRuns []uint32 // Without duplicates, even if the end of a run was reported repeatedly.
	Suspicion  int      // That the task crashes its workers; zero for none.
	Run        uint32   // Highest run number used so far, also by starts that no worker carried out.
	Started    bool     // A worker has carried out a start.
	Checkpoint string
	Worker     string // Worker of the live run; empty if there is none.
	// DoubtLeft is for how long the live run may be alive although its worker is silent, since
	// its start got no answer and may be carried out late; zero if it was answered.
	DoubtLeft time.Duration
}

// TaskTransfer moves waiting tasks of a workflow to another data centre.
type TaskTransfer struct {
	Token uint64 // Token of the owner of From.
	From  string
	To    string
	Tasks []TaskProgress
}

// Retirement records that an owner sends no more orders.
type Retirement struct {
	Token  uint64 // Token of the claim that ended.
	Silent []SilentWorker
}

// SilentWorker is a worker that did not respond when its owner retired.
type SilentWorker struct {
	Worker    string
	LeaseLeft time.Duration // After this time all its runs have certainly ended.
}

// InterferenceModel is an owner's estimate of the interference that the tasks
// of an image suffer: how their tail latency depends on the tasks on the same
// worker.
type InterferenceModel struct {
	Serving  string  // Image that suffers the interference.
	Constant float64 // Tail latency without other tasks, as a share of the target.
	Pairs    []InterferencePair
}

// InterferencePair is the estimated rise in tail latency that an image causes.
type InterferencePair struct {
	Image    string
	Rise     float64 // Share of the target per core in use.
	Variance float64 // Variance of the estimate of Rise.
}
