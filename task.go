package briarspring

import "fmt"

// WorkloadID identifies a service or job by the offset of the configuration
// record that created it.
type WorkloadID uint64

// TaskID identifies a task of a job or an executor of a service.
type TaskID struct {
	Workload WorkloadID
	Index    uint32
}

// String formats the ID as "workload/index".
func (t TaskID) String() string { return fmt.Sprintf("%d/%d", t.Workload, t.Index) }

// AttemptID identifies one start of a task. Attempts are numbered from one.
type AttemptID struct {
	Task    TaskID
	Attempt uint32
}

// String formats the ID as "workload/index#attempt".
func (a AttemptID) String() string { return fmt.Sprintf("%s#%d", a.Task, a.Attempt) }

// TaskState is the state that moves with a task to another data centre.
type TaskState struct {
	Index      uint32
	Attempt    uint32 // Last attempt that was started; zero if there was none.
	Checkpoint uint64 // Zero if there is none.
}

// EndReason is the way in which an attempt ended.
type EndReason uint8

// The ways in which an attempt ends.
const (
	EndDone       EndReason = 1 // The task completed.
	EndFailed     EndReason = 2 // The task itself failed.
	EndEvicted    EndReason = 3 // The task was stopped with a checkpoint.
	EndNotStarted EndReason = 4 // The attempt never ran.
	EndLost       EndReason = 5 // The worker lost the attempt.
)

// String returns the reason in kebab case.
func (r EndReason) String() string {
	switch r {
	case EndDone:
		return "done"
	case EndFailed:
		return "failed"
	case EndEvicted:
		return "evicted"
	case EndNotStarted:
		return "not-started"
	case EndLost:
		return "lost"
	}
	return fmt.Sprintf("reason-%d", uint8(r))
}
