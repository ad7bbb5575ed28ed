package briarspring

import "time"

// Names of the keyed streams that hosts share.
const (
	// SharedStream holds submissions, cancellations, phases, claims and beats.
	SharedStream = "shared"
	// DirectoryStream holds the operators' queues and the data centres out of
	// service.
	DirectoryStream = "directory"
	// WorkersStream holds the entries of the workers.
	WorkersStream = "workers"
)

// ProgressStream returns the stream of the runs of a data centre.
func ProgressStream(dataCentre string) string { return "progress." + dataCentre }

// KeyedRecord is the newest word on a key. A record without a value drops the
// key.
type KeyedRecord struct {
	Key    string
	Value  []byte
	Offset uint64
}

// KeyedPage is the answer to a read of a keyed stream.
type KeyedPage struct {
	Records []KeyedRecord
	Next    uint64 // Offset to read on from.
	End     uint64 // Offset of the next append, as far as the answer knows.
}

// Fence identifies the single writer of a stream. A zero epoch is no fence.
type Fence struct {
	Epoch    uint64 // Lower epochs are refused once a higher one was seen.
	Sequence uint64 // Grows by one with each append of the epoch.
}

// DataCentreClaim makes a host the owner of a data centre's workers, if it
// follows the claim that is in force.
type DataCentreClaim struct {
	DataCentre  string
	Previous    uint64 // Token of the claim that it follows; zero for the first one.
	Owner       string // Name of the host.
	Incarnation int64
}

// OwnerBeat is an owner's sign of life, with its load.
type OwnerBeat struct {
	Token   uint64
	Backlog int64            // Declared work that waits, in thousandths of a core times seconds.
	Free    int64            // Thousandths of a core that are not reserved.
	Largest int64            // The same of the worker with most of them.
	Total   int64            // Thousandths of a core of all usable workers.
	Rooms   map[string]int64 // By image: idle thousandths of a core that its tasks could use, less what waits for them.
}

// HostPresence is one life of a host's process.
type HostPresence struct {
	DataCentre  string
	Incarnation int64 // Start of the process, Unix milliseconds.
	MilliCPU    int   // Processors of the host, in thousandths of a core.
}

// TaskProgress is where a task stands that has run at least once.
type TaskProgress struct {
	Position   int // Of the task, counting through all steps.
	Done       bool
	FailedRuns []uint32 // Each run counts once, however often its end is listed.
	Run        uint32   // Highest number that was used.
	Checkpoint string
	Worker     string // Of the run that is alive; empty for none.
}

// TaskTransfer gives waiting tasks of a workflow to another data centre.
type TaskTransfer struct {
	Token uint64 // Of the owner that gives them.
	From  string
	To    string
	Tasks []TaskProgress
}

// Retirement records that an owner gives no more orders.
type Retirement struct {
	Token  uint64 // Of the claim that is over.
	Silent []SilentWorker
}

// SilentWorker is a worker that did not answer an owner when it retired.
type SilentWorker struct {
	Worker    string
	LeaseLeft time.Duration // After that all its runs have certainly ended.
}

// PressModel tells how the tails of the tasks of an image follow from what works
// beside them, as an owner has learned it.
type PressModel struct {
	Serving  string
	Constant float64 // Share of the target without anything beside.
	Pairs    []PressPair
}

// PressPair is the rise that an image causes.
type PressPair struct {
	Image    string
	Rise     float64 // Share of the target for each core in use.
	Variance float64
}
