package briarspring

import (
	"fmt"
	"time"
)

// WorkflowID names a workflow; its submitter chooses it.
type WorkflowID string

// NewWorkflowID checks a name that an operator chose, and returns it or an
// *InvalidError.
func NewWorkflowID(name string) (WorkflowID, error) {
	if !nameRe.MatchString(name) {
		return "", &InvalidError{Object: "workflow/" + name, Reason: "its ID must be 1 to 63 lower-case letters, digits and hyphens"}
	}
	return WorkflowID(name), nil
}

// Workflow is a job of steps that depend on each other, as it was accepted.
type Workflow struct {
	ID            WorkflowID
	Queue         string // Name of the queue that accepted it.
	Service       string // Pool of workers that may run its tasks.
	Specification string // What the workers run; opaque to the scheduler.
	Steps         []Step
	Priority      int           // Zero is the most urgent.
	MaxAttempts   int           // Failed runs of a task before the workflow fails.
	Stretch       float64       // Factor of the longest chain in the latency objective.
	Allowance     time.Duration // Added to the stretched chain in the latency objective.
	DataCentre    string        // That runs the workflow.
	Submitted     time.Time     // By the accepting host's clock.
	Recurrence    Recurrence    // The zero value runs the steps once, at once.
}

// Recurrence tells how often and when the steps of a workflow run.
type Recurrence struct {
	Times    int           // Zero for once, at once.
	First    time.Time     // When the first occurrence is due.
	Interval time.Duration // Between two occurrences, which may overlap.
}

const (
	// maxSpan from the first to the last occurrence, and lastFirst, the latest that
	// the first may be due, keep times within what a time.Duration from now holds,
	// which is 292 years.
	maxSpan   = 100 * 365 * 24 * time.Hour
	lastFirst = 2100 // Year.
)

// NewRecurrence returns a recurrence of times in milliseconds, the first of them
// Unix, or an *InvalidError for one that no time.Duration holds.
func NewRecurrence(times int, firstMs, intervalMs int64) (Recurrence, error) {
	if times < 1 || times > MaxTasks || firstMs < 0 || intervalMs < 0 || intervalMs > maxSpan.Milliseconds() {
		reason := fmt.Sprintf("%d occurrences from %d ms on, every %d ms", times, firstMs, intervalMs)
		return Recurrence{}, &InvalidError{Object: "recurrence", Reason: reason}
	}
	return Recurrence{
		Times: times, First: time.UnixMilli(firstMs), Interval: time.Duration(intervalMs) * time.Millisecond,
	}, nil
}

func (r Recurrence) check() string {
	switch {
	case r.Times == 0:
		return ""
	case r.Times < 0 || r.Interval < 0 || r.Interval > maxSpan/time.Duration(r.Times):
		return fmt.Sprintf("its %d occurrences every %s span more than %s", r.Times, r.Interval, maxSpan)
	case r.First.UTC().Year() > lastFirst:
		return fmt.Sprintf("its first occurrence is due after the year %d", lastFirst)
	}
	return ""
}

// Due returns when an occurrence is due, counted from zero.
func (r Recurrence) Due(occurrence int) time.Time {
	return r.First.Add(time.Duration(occurrence) * r.Interval)
}

// Step is a group of equal tasks.
type Step struct {
	Tasks        int
	Resources    Resources // Needs of one task.
	Estimate     time.Duration
	After        []int  // Steps whose tasks must all be done first.
	Requirement  string // Label that the worker must carry; empty for none.
	Rack         string // Where the tasks run fastest; empty for anywhere.
	Image        string // Tasks of one image behave alike.
	MaxPerWorker int    // Tasks of the step on one worker; zero for no bound.
	TailTarget   time.Duration
	Checkpoints  bool // Tasks save their progress.
	Speculative  bool // Copies of a task may run at the same time.
	Lasting      bool // Tasks run until the workflow is cancelled.
	Fills        bool // Tasks use processors that others reserve and leave idle.
	Gang         bool // Tasks work only while all of them are present, and end together.
	OneRack      bool // Tasks work faster when all of them run on one rack.
	MaxMissing   int  // Tasks of a lasting step that may be stopped at the same time; zero for no bound.
}

// TaskCount returns the number of tasks of all steps in all occurrences.
func (w *Workflow) TaskCount() int {
	n := 0
	for _, s := range w.Steps {
		n += s.Tasks
	}
	return n * w.Occurrences()
}

// Check returns an *InvalidError for a workflow that can't be run as it stands.
func (w *Workflow) Check() error {
	if n := w.TaskCount(); n < 1 || n > MaxTasks {
		return &InvalidError{Object: "workflow/" + string(w.ID), Reason: fmt.Sprintf("it has %d tasks, allowed are 1 to %d", n, MaxTasks)}
	}
	if why := w.Recurrence.check(); why != "" {
		return &InvalidError{Object: "workflow/" + string(w.ID), Reason: why}
	}
	return nil
}

// Occurrences returns how often the steps run.
func (w *Workflow) Occurrences() int { return max(1, w.Recurrence.Times) }

// Urgent reports whether the tasks' processors are reserved for them.
func (w *Workflow) Urgent() bool { return len(w.Steps) > 0 && !w.Steps[0].Fills }

// Lasting reports whether the workflow runs until it is cancelled.
func (w *Workflow) Lasting() bool { return len(w.Steps) > 0 && w.Steps[0].Lasting }

// Chain returns the declared time of the longest chain of steps from a step on,
// that step included.
func (w *Workflow) Chain(step int) time.Duration {
	longest := time.Duration(0)
	for i := step + 1; i < len(w.Steps); i++ {
		for _, a := range w.Steps[i].After {
			if a == step {
				longest = max(longest, w.Chain(i))
			}
		}
	}
	return w.Steps[step].Estimate + longest
}

// LongestChain returns the declared time of the longest chain of steps.
func (w *Workflow) LongestChain() time.Duration {
	longest := time.Duration(0)
	for i := range w.Steps {
		if len(w.Steps[i].After) == 0 {
			longest = max(longest, w.Chain(i))
		}
	}
	return longest
}

// Objective returns the time from submission, or from when an occurrence is due,
// within which callers are served well.
func (w *Workflow) Objective() time.Duration {
	return time.Duration(w.Stretch*float64(w.LongestChain())) + w.Allowance
}

// Phase is how far a workflow has come.
type Phase uint8

// The phases of a workflow.
const (
	PhaseQueued    Phase = 0 // No task has started.
	PhaseRunning   Phase = 1
	PhaseCompleted Phase = 2 // All tasks are done.
	PhaseFailed    Phase = 3 // A task has failed too often.
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

// Queue takes workflows of one kind.
type Queue struct {
	Name        string
	Host        string // Of callers' requests.
	Prefix      string // Of the paths of callers' requests.
	Service     string // Pool of workers that runs the tasks.
	Priority    int    // Zero is the most urgent.
	MaxAttempts int
	Stretch     float64
	Allowance   time.Duration
	Advised     bool // Only an outside service tells which workers may run a step.
}

// Directory is the operators' configuration of queues.
type Directory struct {
	Version uint64
	Queues  []Queue
}

// TaskRef names a task of a workflow.
type TaskRef struct {
	Workflow   WorkflowID
	Occurrence int
	Step       int
	Index      int
}

// RunRef names one start of a task. Runs count from one.
type RunRef struct {
	Task TaskRef
	Run  uint32
}

// RunEnd tells how a run ended.
type RunEnd uint8

// How a run ended.
const (
	RunDone    RunEnd = 1
	RunFailed  RunEnd = 2 // By its own fault or the worker's.
	RunStopped RunEnd = 3
	RunLapsed  RunEnd = 4 // The worker's lease ended.
	RunBroken  RunEnd = 5 // Another member of its gang ended, or any other cause.
	RunAlone   RunEnd = 6 // It waited too long for the other members of its gang.
)

// String returns the end in kebab case.
func (e RunEnd) String() string {
	names := [...]string{"", "done", "failed", "stopped", "lapsed", "broken", "alone"}
	if int(e) < len(names) {
		return names[e]
	}
	return "unknown"
}

// WorkerEntry is a worker's registration in the platform's list.
type WorkerEntry struct {
	ID         string
	Service    string
	Address    string
	DataCentre string
	Rack       string
	Labels     []string
	Capacity   Resources
	Draining   bool
	Remaining  time.Duration // Least time before a draining worker leaves.
	Born       int64         // Start of this life, Unix milliseconds.
	Clock      time.Duration // The worker's steady clock when it wrote the entry.
}

// RunningTask is a run that is alive on a worker.
type RunningTask struct {
	Run        RunRef
	Checkpoint string
	Percent    int     // Of full speed at which the task is at work.
	Usage      float64 // Tail in ms of a lasting task, cores in use of others.
}

// EndedTask is a run that has ended on a worker.
type EndedTask struct {
	Number     uint64 // Counts from one in each life of the worker.
	Run        RunRef
	End        RunEnd
	Checkpoint string
}

// HoldRequest renews a worker's lease and asks what runs there.
type HoldRequest struct {
	Token      uint64 // Orders with lower ones are refused from now on.
	Until      time.Duration
	EndsBefore uint64        // Ends up to this number may be forgotten.
	Wait       time.Duration // For an end.
}

// HoldReply tells what runs on a worker.
type HoldReply struct {
	Born    int64 // Start of the worker's life, Unix milliseconds.
	Clock   time.Duration
	Running []RunningTask
	Ended   []EndedTask
}

// StartOrder starts a run.
type StartOrder struct {
	Run           RunRef
	Specification string
	Until         time.Duration // By the worker's clock; later the order is void.
	Token         uint64
	Checkpoint    string
}

// StopOrder ends a run, or keeps it from ever starting.
type StopOrder struct {
	Run   RunRef
	Token uint64
}

// PaceOrder sets the share of full speed at which a run works.
type PaceOrder struct {
	Run     RunRef
	Percent int
	Token   uint64
}
