package briarspring

import "time"

// LogEntry is a record of a stream with its offset.
type LogEntry struct {
	Offset uint64
	Record []byte
}

// LogPage is the result of reading a stream.
type LogPage struct {
	Oldest  uint64 // Oldest offset that is retained.
	Next    uint64 // Offset of the next append.
	Entries []LogEntry
}

// Host is an entry of the platform's list of hosts, which lags behind the actual
// hosts.
type Host struct {
	Name       string
	DataCentre string
	Rack       string
	Address    string // Address of the worker's control port, "IP:port".
	Leaving    bool
}

// Exchange is the owner's call to a worker: it renews the lease, sends commands
// and asks for a report.
type Exchange struct {
	Worker      string
	Epoch       uint64        // Commands of lower epochs are refused.
	LeaseUntil  time.Duration // By the worker's clock; zero doesn't renew the lease.
	Incarnation uint64        // Incarnation that the commands are for; zero only asks for a report.
	Starts      []StartTask
	Stops       []AttemptID
	Forget      []AttemptID // Attempts whose end is recorded and that the worker can drop.
	Throttles   []Throttle
	Wait        time.Duration // Longest time to wait for a version other than Seen.
	Seen        uint64        // Version of the last report received.
}

// StartTask starts an attempt on a worker.
type StartTask struct {
	Attempt     AttemptID
	NotAfter    time.Duration // Deadline of the start by the worker's clock.
	Checkpoint  uint64        // Checkpoint to resume from; zero for none.
	Name        string        // Name of the workload.
	Command     string
	Resources   Resources
	Service     bool
	Slots       uint32
	Connections uint32
}

// Throttle limits the processor use of an attempt.
type Throttle struct {
	Attempt AttemptID
	Percent uint32 // Share of the attempt's declared processors.
}

// WorkerReport is a worker's reply to an Exchange.
type WorkerReport struct {
	Clock       time.Duration // The worker's monotonic clock.
	Incarnation uint64
	Epoch       uint64 // Highest epoch seen; above the request's if it was refused.
	LeaseUntil  time.Duration
	Rack        string
	Capacity    Resources
	Tasks       []TaskReport
	Usage       []Usage
	Version     uint64 // Increases when a task changes phase or gets its address.
	Whole       bool   // Tasks lists all tasks, not only those changed since Seen.
}

// TaskPhase is the state of an attempt on its worker.
type TaskPhase uint8

// The phases of an attempt.
const (
	TaskRunning      TaskPhase = 1
	TaskStopping     TaskPhase = 2
	TaskDone         TaskPhase = 3
	TaskFailed       TaskPhase = 4
	TaskCheckpointed TaskPhase = 5
	TaskNotStarted   TaskPhase = 6
	TaskLapsed       TaskPhase = 7
)

// Ended reports whether the attempt has ended and will not run again.
func (p TaskPhase) Ended() bool { return p >= TaskDone }

// TaskReport is a worker's report on one attempt.
type TaskReport struct {
	Attempt    AttemptID
	Phase      TaskPhase
	Checkpoint uint64
	Address    string // Address of a service's executor; empty until it accepts requests.
}

// Usage is a past measurement of an attempt.
type Usage struct {
	Attempt   AttemptID
	Taken     time.Duration // Time of the measurement by the worker's clock.
	MilliCPU  int64
	MemoryMiB int64
	P99       time.Duration // 99th percentile latency of a service's executor.
	Requests  uint32
}
