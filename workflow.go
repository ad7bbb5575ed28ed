package briarspring

import (
	"fmt"
	"time"
)

// WorkflowID identifies a workflow; the submitter chooses it.
type WorkflowID string

// NewWorkflowID validates a name that an operator chose and returns it as an ID,
// or an *InvalidError.
func NewWorkflowID(name string) (WorkflowID, error) {
	if !nameRe.MatchString(name) {
		return "", &InvalidError{Object: "workflow/" + name, Reason: "its ID must be 1 to 63 lower-case letters, digits and hyphens"}
	}
	return WorkflowID(name), nil
}

// Workflow is an accepted job of steps that depend on each other.
type Workflow struct {
	ID            WorkflowID
	Queue         string // Queue that accepted it.
	Service       string // Pool of workers that may run its tasks.
	Specification string // Input of the workers; opaque to the scheduler.
	Steps         []Step
	Priority      int           // Zero is the most urgent.
	MaxAttempts   int           // Failed runs of a task after which the workflow fails.
	Stretch       float64       // Factor applied to the longest chain in the latency objective.
	Allowance     time.Duration // Constant part of the latency objective.
	Organisation  string        // Organisation of the caller; empty for none.
	DataCentre    string        // Data centre that runs the workflow.
	Submitted     time.Time     // Time by the accepting host's clock.
	Recurrence    Recurrence    // The zero value runs the steps once, immediately.
}

// Recurrence is the schedule on which the steps of a workflow run.
type Recurrence struct {
	Times    int           // Number of occurrences; zero runs the steps once, immediately.
	First    time.Time     // Due time of the first occurrence.
	Interval time.Duration // Time between the due times of two occurrences, which may overlap.
}

const (
	// maxSpan is the longest time from the first to the last occurrence, and
	// latestFirstYear the last year in which the first one may be due. They keep
	// all due times within 292 years from now, the range of time.Duration.
	maxSpan         = 100 * 365 * 24 * time.Hour
	latestFirstYear = 2100
)

// NewRecurrence returns a recurrence from a Unix time and an interval in
// milliseconds, or an *InvalidError if a value is out of range.
func NewRecurrence(times int, firstMs, intervalMs int64) (Recurrence, error) {
	if times < 1 || times > MaxTasks || firstMs < 0 || intervalMs < 0 || intervalMs > maxSpan.Milliseconds() {
		reason := fmt.Sprintf("%d occurrences from %d ms on, every %d ms", times, firstMs, intervalMs)
		return Recurrence{}, &InvalidError{Object: "recurrence", Reason: reason}
	}
	return Recurrence{
		Times: times, First: time.UnixMilli(firstMs), Interval: time.Duration(intervalMs) * time.Millisecond,
	}, nil
}

// check returns why the recurrence is invalid, or "".
func (r Recurrence) check() string {
	switch {
	case r.Times == 0:
		return ""
	case r.Times < 0 || r.Interval < 0 || r.Interval > maxSpan/time.Duration(r.Times):
		return fmt.Sprintf("its %d occurrences every %s span more than %s", r.Times, r.Interval, maxSpan)
	case r.First.UTC().Year() > latestFirstYear:
		return fmt.Sprintf("its first occurrence is due after the year %d", latestFirstYear)
	}
	return ""
}

// Due returns the due time of an occurrence, counted from zero.
func (r Recurrence) Due(occurrence int) time.Time {
	return r.First.Add(time.Duration(occurrence) * r.Interval)
}

// Step is a group of tasks with equal properties.
type Step struct {
	Tasks        int
	Resources    Resources     // Requirements of one task.
	Estimate     time.Duration // Declared run time of one task.
	After        []int         // Steps whose tasks must all be done before.
	Requirement  string        // Label that the worker must have; empty for none.
	Rack         string        // Rack on which the tasks run fastest; empty for any.
	Image        string        // Tasks of an image have the same load and interference.
	MaxPerWorker int           // Maximum number of tasks on one worker; zero for no limit.
	TailTarget   time.Duration // Target of the tail latency of long-running tasks.
	Checkpoints  bool          // Tasks write checkpoints.
	Speculative  bool          // Several runs of a task may run at the same time.
	LongRunning  bool          // Tasks run until the workflow is cancelled.
	BestEffort   bool          // Tasks use processors that others reserved and leave idle.
	Gang         bool          // Tasks make progress only while all of them run, and end together.
	OneRack      bool          // Tasks run faster if all of them are on one rack.
	MaxMissing   int           // Tasks of a long-running step that may be stopped at once; zero for no limit.
}

// TaskCount returns the number of tasks in all steps and occurrences.
func (w *Workflow) TaskCount() int {
	n := 0
	for _, s := range w.Steps {
		n += s.Tasks
	}
	return n * w.Occurrences()
}

// Position returns the index of a task across all steps of all occurrences, or false if
// there is no such task.
func (w *Workflow) Position(t TaskRef) (int, bool) {
	if t.Occurrence < 0 || t.Occurrence >= w.Occurrences() || t.Step < 0 || t.Step >= len(w.Steps) {
		return 0, false
	}
	position := t.Occurrence * (w.TaskCount() / w.Occurrences())
	for _, s := range w.Steps[:t.Step] {
		position += s.Tasks
	}
	return position + t.Index, t.Index >= 0 && t.Index < w.Steps[t.Step].Tasks
}

// Occurrences returns the number of times that the steps run.
func (w *Workflow) Occurrences() int { return max(1, w.Recurrence.Times) }

// ReservesProcessors reports whether processors are reserved for the tasks, as
// opposed to best effort.
func (w *Workflow) ReservesProcessors() bool { return len(w.Steps) > 0 && !w.Steps[0].BestEffort }

// LongRunning reports whether the workflow is long-running: it runs until it is
// cancelled.
func (w *Workflow) LongRunning() bool { return len(w.Steps) > 0 && w.Steps[0].LongRunning }

// Phase is the state of a workflow.
type Phase uint8

// The phases of a workflow.
const (
	PhaseQueued    Phase = 0 // No task was started.
	PhaseRunning   Phase = 1
	PhaseCompleted Phase = 2 // All tasks are done.
	PhaseFailed    Phase = 3 // A task failed too often.
	PhaseCancelled Phase = 4
)

// Final reports whether the phase never changes again.
func (p Phase) Final() bool { return p >= PhaseCompleted }

// String returns the phase in kebab case.
func (p Phase) String() string {
	switch p {
	case PhaseQueued:
		return "queued"
	case PhaseRunning:
		return "running"
	case PhaseCompleted:
		return "completed"
	case PhaseFailed:
		return "failed"
	case PhaseCancelled:
		return "cancelled"
	}
	return "unknown"
}

// Queue accepts workflows and gives them their priority and objective.
type Queue struct {
	Name              string
	Host              string // Host name in callers' requests.
	Prefix            string // Path prefix of callers' requests.
	Service           string // Pool of workers that run the tasks.
	Priority          int    // Zero is the most urgent.
	MaxAttempts       int
	Stretch           float64
	Allowance         time.Duration
	ExternallyAdvised bool // An external service selects the workers that may run a step.
	Public            bool // Calls need no key.
}

// Directory is the operators' configuration of queues.
type Directory struct {
	Version       uint64
	Queues        []Queue
	Organisations []Organisation
	KeysRequired  bool // Calls on queues that aren't public need an organisation's key.
}

// TaskRef identifies a task of a workflow.
type TaskRef struct {
	Workflow   WorkflowID
	Occurrence int
	Step       int
	Index      int
}

// RunRef identifies one start of a task. Runs are numbered from one.
type RunRef struct {
	Task TaskRef
	Run  uint32
}

// RunEnd is the way in which a run ended.
type RunEnd uint8

// The ways in which a run ends.
const (
	RunDone        RunEnd = 1
	RunFailed      RunEnd = 2 // The run or its worker failed.
	RunStopped     RunEnd = 3
	RunLapsed      RunEnd = 4 // The worker's lease expired.
	RunBroken      RunEnd = 5 // Another member of its gang ended, or another cause.
	RunGangTimeout RunEnd = 6 // The run waited too long for the other members of its gang.
)

// String returns the end in kebab case.
func (e RunEnd) String() string {
	names := [...]string{"", "done", "failed", "stopped", "lapsed", "broken", "alone"}
	if int(e) < len(names) {
		return names[e]
	}
	return "unknown"
}

// WorkerEntry is a worker's entry in the platform's list.
type WorkerEntry struct {
	ID         string
	Service    string
	Address    string
	DataCentre string
	Rack       string
	Labels     []string
	Capacity   Resources
	Draining   bool
	Remaining  time.Duration // Shortest time until a draining worker leaves.
	StartedAt  int64         // Start time of the worker's process in Unix milliseconds.
	Clock      time.Duration // Worker's monotonic clock when it wrote the entry.
}

// RunningTask is a live run on a worker.
type RunningTask struct {
	Run        RunRef
	Checkpoint string
	Percent    int     // Current speed of the run in percent of full speed.
	Usage      float64 // Tail latency in ms of a long-running task; cores in use of others.
}

// EndedTask is a run that has ended on a worker.
type EndedTask struct {
	Number     uint64 // Counts from one after each start of the worker.
	Run        RunRef
	End        RunEnd
	Checkpoint string
}

// LeaseRequest renews a worker's lease and asks for its runs.
type LeaseRequest struct {
	Token       uint64        // The worker refuses orders with lower tokens from now on.
	Until       time.Duration // End of the lease by the worker's clock.
	LastSeenEnd uint64        // The worker can drop ends up to and including this number.
	Wait        time.Duration // Longest time to wait for a new end.
}

// LeaseReply lists a worker's runs.
type LeaseReply struct {
	StartedAt int64 // Start time of the worker's process in Unix milliseconds.
	Clock     time.Duration
	Running   []RunningTask
	Ended     []EndedTask // The oldest unacknowledged ends, in order.
	MoreEnds  bool        // Ended may lack later ends. They follow once those listed are acknowledged.
}

// StartOrder starts a run.
type StartOrder struct {
	Run           RunRef
	Specification string
	Until         time.Duration // Deadline by the worker's clock; afterwards the order is refused.
	Token         uint64
	Checkpoint    string
}

// StopOrder stops a run or prevents it from starting.
type StopOrder struct {
	Run   RunRef
	Token uint64
}

// PaceOrder sets the speed of a run in percent of full speed.
type PaceOrder struct {
	Run     RunRef
	Percent int
	Token   uint64
}
