package briarspring

// ConfigStream is the name of the stream of operators' commands, summaries and
// transfers.
const ConfigStream = "config"

// PlacementStream returns the name of a data centre's placement stream.
func PlacementStream(dataCentre string) string { return "placement-" + dataCentre }

// Writer identifies one incarnation of a process.
type Writer struct {
	Name        string
	Incarnation uint64 // Increases with every restart.
}

// Record is an entry of the platform's log.
type Record struct {
	Writer   Writer
	Sequence uint64 // Increases by one with each of the writer's records in a stream.
	Body     Body
}

// Body is the content of a record: a Command, Summary, Transfer, Batch or
// SnapshotChunk.
type Body interface{ body() }

// Command is a change that an operator requested.
type Command struct {
	RequestID       string
	ExpectedVersion uint64 // Zero when the object must not exist yet.
	Change          Change
}

// Change is the change that a command makes.
type Change interface{ change() }

// The changes that operators can request.
type (
	// PutService creates or updates a service.
	PutService struct{ Service Service }
	// PutJob creates or updates a job.
	PutJob struct{ Job Job }
	// PutQuota creates or updates a team's quota.
	PutQuota struct{ Quota Quota }
	// DeleteService stops a service and deletes it.
	DeleteService struct{ Name string }
	// DeleteJob stops a job and deletes it.
	DeleteJob struct{ Name string }
	// DeleteQuota deletes a team's quota.
	DeleteQuota struct{ Team string }
	// CancelJobs cancels several jobs in one record.
	CancelJobs struct{ Names []string }
	// TakeOut takes a data centre out of service.
	TakeOut struct{ DataCentre string }
	// Return puts a data centre back into service.
	Return struct{ DataCentre string }
	// DeclareLost asserts that a worker will never run its tasks again.
	DeclareLost struct{ Worker string }
)

func (PutService) change()    {}
func (PutJob) change()        {}
func (PutQuota) change()      {}
func (DeleteService) change() {}
func (DeleteJob) change()     {}
func (DeleteQuota) change()   {}
func (CancelJobs) change()    {}
func (TakeOut) change()       {}
func (Return) change()        {}
func (DeclareLost) change()   {}

// Progress counts the tasks of a workload in one data centre.
type Progress struct {
	Workload  WorkloadID
	Running   uint32
	Done      uint32
	Failed    uint32
	Evictions uint32
}

// Summary is the state of a data centre that its owner publishes to the other
// data centres.
type Summary struct {
	DataCentre string
	Epoch      uint64
	Owner      string
	Capacity   Resources
	Committed  Resources
	Workers    uint32
	Largest    Resources // Largest capacity among the workers, for each resource separately.
	Progress   []Progress
}

// Transfer moves tasks from one data centre to another.
type Transfer struct {
	Workload WorkloadID
	From     string
	To       string
	Granted  uint64 // Tasks assigned to From after this offset don't move.
	Tasks    []TaskState
}

// Batch is a group of placement events of one epoch.
type Batch struct {
	Epoch  uint64
	Events []Event
}

// SnapshotChunk is a part of a snapshot of the stream that contains it.
type SnapshotChunk struct {
	Covers   uint64 // Offset of the last record that the snapshot covers.
	Index    uint32
	Count    uint32
	Data     []byte
	Checksum uint64 // Checksum of the whole snapshot.
}

func (Command) body()       {}
func (Summary) body()       {}
func (Transfer) body()      {}
func (Batch) body()         {}
func (SnapshotChunk) body() {}

// Event is a placement decision or observation.
type Event interface{ event() }

// The events of a placement stream.
type (
	// Claim makes its writer the owner in the next epoch.
	Claim struct{}
	// Beat is the owner's heartbeat.
	Beat struct{}
	// Resign records that the owner does nothing more in its epoch.
	Resign struct{}
	// WorkerJoin makes a worker usable. A new incarnation ends all attempts on it.
	WorkerJoin struct {
		Name        string
		Incarnation uint64
		Rack        string
		Capacity    Resources
	}
	// WorkerGone ends all attempts on a worker whose lease has expired.
	WorkerGone struct {
		Worker   uint32
		Declared uint64 // Offset of the DeclareLost command; zero if there was none.
	}
	// Adopt makes tasks placeable that the configuration assigned to the data
	// centre.
	Adopt struct {
		Workload  WorkloadID
		Offset    uint64 // Offset of the configuration record that assigned the tasks.
		Resources Resources
		Service   bool
		MaxTries  uint32
		First     uint32 // Start of the half-open range of tasks that never ran.
		End       uint32
		Tasks     []TaskState // Tasks that may have run before.
		Seen      uint64      // Last configuration offset that the writer had applied.
	}
	// Start places an attempt on a worker.
	Start struct {
		Attempt AttemptID
		Worker  uint32
	}
	// Ready records the address of a service's executor.
	Ready struct {
		Attempt AttemptID
		Address string
	}
	// End records that an attempt ended, as its worker reported.
	End struct {
		Attempt    AttemptID
		Reason     EndReason
		Checkpoint uint64
	}
	// EvictIntent records that an attempt will be checkpointed and stopped.
	EvictIntent struct{ Attempt AttemptID }
	// Release makes waiting tasks unplaceable before they are transferred.
	Release struct {
		Workload WorkloadID
		To       string
		Indexes  []uint32
	}
	// Cancel makes a half-open range of tasks unplaceable.
	Cancel struct {
		Workload WorkloadID
		First    uint32
		End      uint32
	}
	// Forget drops a workload that has no tasks left in the data centre.
	Forget struct {
		Workload WorkloadID
		Seen     uint64 // Last configuration offset that the writer had applied.
	}
)

func (Claim) event()       {}
func (Beat) event()        {}
func (Resign) event()      {}
func (WorkerJoin) event()  {}
func (WorkerGone) event()  {}
func (Adopt) event()       {}
func (Start) event()       {}
func (Ready) event()       {}
func (End) event()         {}
func (EvictIntent) event() {}
func (Release) event()     {}
func (Cancel) event()      {}
func (Forget) event()      {}
