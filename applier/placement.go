package applier

import (
	"fmt"

	"briarspring"
)

// Phase is the state of a task in its data centre.
type Phase uint8

// The phases of a task. Finished tasks are not kept.
const (
	PhaseWaiting  Phase = iota // No attempt is open.
	PhasePlaced                // An attempt is open on a worker.
	PhaseReleased              // The task waits for its transfer to another data centre.
	PhaseFailed                // The task failed too often and is not retried.
)

// String returns the phase in kebab case.
func (p Phase) String() string {
	switch p {
	case PhaseWaiting:
		return "waiting"
	case PhasePlaced:
		return "placed"
	case PhaseReleased:
		return "released"
	case PhaseFailed:
		return "failed"
	}
	return fmt.Sprintf("phase-%d", uint8(p))
}

// Task is a task that has been started, released, transferred or has failed for
// good. Fresh tasks, which were never started, exist only as spans of indexes.
type Task struct {
	index      uint32
	attempt    uint32
	worker     uint32
	failures   uint32
	checkpoint uint64
	phase      Phase
	cancelled  bool
	evicting   bool
	address    string
	releasedTo string
}

// Index returns the task's index in its workload.
func (t *Task) Index() uint32 { return t.index }

// Attempt returns the number of the last attempt, or zero when none was started.
func (t *Task) Attempt() uint32 { return t.attempt }

// Worker returns the number of the worker that runs the open attempt.
func (t *Task) Worker() uint32 { return t.worker }

// Failures returns how many attempts ended with EndFailed.
func (t *Task) Failures() uint32 { return t.failures }

// Checkpoint returns the checkpoint to resume from, or zero.
func (t *Task) Checkpoint() uint64 { return t.checkpoint }

// Phase returns the task's phase.
func (t *Task) Phase() Phase { return t.phase }

// Cancelled reports whether the task is removed when its open attempt ends.
func (t *Task) Cancelled() bool { return t.cancelled }

// Evicting reports whether the open attempt is being evicted.
func (t *Task) Evicting() bool { return t.evicting }

// Address returns the address on which an executor serves requests, once it is
// ready.
func (t *Task) Address() string { return t.address }

// ReleasedTo returns the destination data centre of a released task.
func (t *Task) ReleasedTo() string { return t.releasedTo }

// Worker is the state of a worker in the placement stream.
type Worker struct {
	number         uint32
	name           string
	incarnation    uint64
	rack           string
	capacity       briarspring.Resources
	committed      briarspring.Resources
	gone           bool
	declaredLostAt uint64
	tasks          map[briarspring.TaskID]*Task
}

// Number returns the number that identifies the worker in placement events.
func (w *Worker) Number() uint32 { return w.number }

// Name returns the worker's name.
func (w *Worker) Name() string { return w.name }

// Incarnation returns the worker's last recorded incarnation.
func (w *Worker) Incarnation() uint64 { return w.incarnation }

// Rack returns the worker's rack.
func (w *Worker) Rack() string { return w.rack }

// Capacity returns the worker's total resources.
func (w *Worker) Capacity() briarspring.Resources { return w.capacity }

// Committed returns the resources of the open attempts.
func (w *Worker) Committed() briarspring.Resources { return w.committed }

// Free returns the resources that are not committed.
func (w *Worker) Free() briarspring.Resources { return w.capacity.Sub(w.committed) }

// Gone reports whether the worker is unusable until it joins again.
func (w *Worker) Gone() bool { return w.gone }

// DeclaredLostAt returns the offset of the last handled command that declared
// the worker lost.
func (w *Worker) DeclaredLostAt() uint64 { return w.declaredLostAt }

// Len returns the number of open attempts.
func (w *Worker) Len() int { return len(w.tasks) }

// Tasks returns the sorted ids of the tasks with an open attempt.
func (w *Worker) Tasks() []briarspring.TaskID {
	ids := make([]briarspring.TaskID, 0, len(w.tasks))
	for id := range w.tasks {
		ids = append(ids, id)
	}
	sortTaskIDs(ids)
	return ids
}

// AdoptedWorkload is the part of a workload that is adopted by a data centre.
type AdoptedWorkload struct {
	id        briarspring.WorkloadID
	offset    uint64
	resources briarspring.Resources
	service   bool
	maxTries  uint32
	fresh     spans
	tasks     map[uint32]*Task
	waiting   map[uint32]struct{} // Indexes in tasks whose phase is PhaseWaiting.
	placed    uint32
	released  uint32
	done      uint32
	failed    uint32
	evictions uint32
}

// ID returns the workload's id.
func (aw *AdoptedWorkload) ID() briarspring.WorkloadID { return aw.id }

// Offset returns the offset of the last configuration record that was adopted.
func (aw *AdoptedWorkload) Offset() uint64 { return aw.offset }

// Resources returns the resource needs of one task.
func (aw *AdoptedWorkload) Resources() briarspring.Resources { return aw.resources }

// Service reports whether the tasks are executors of a service.
func (aw *AdoptedWorkload) Service() bool { return aw.service }

// Waiting returns the number of tasks that wait for an attempt.
func (aw *AdoptedWorkload) Waiting() uint32 { return aw.fresh.count() + uint32(len(aw.waiting)) }

// Placed returns the number of open attempts.
func (aw *AdoptedWorkload) Placed() uint32 { return aw.placed }

// Released returns the number of tasks that wait for their transfer.
func (aw *AdoptedWorkload) Released() uint32 { return aw.released }

// Evictions returns how many attempts ended by eviction.
func (aw *AdoptedWorkload) Evictions() uint32 { return aw.evictions }

// Progress returns the counts that the data centre publishes.
func (aw *AdoptedWorkload) Progress() briarspring.Progress {
	return briarspring.Progress{
		Workload: aw.id, Running: aw.placed, Done: aw.done, Failed: aw.failed, Evictions: aw.evictions,
	}
}

// Task returns a task that is not fresh, or nil.
func (aw *AdoptedWorkload) Task(index uint32) *Task { return aw.tasks[index] }

// Tasks returns all tasks that are not fresh and not done, sorted by index.
func (aw *AdoptedWorkload) Tasks() []*Task {
	tasks := make([]*Task, 0, len(aw.tasks))
	for _, i := range sortedKeys(aw.tasks) {
		tasks = append(tasks, aw.tasks[i])
	}
	return tasks
}

// UnstartedSpans returns the spans of tasks that were never started.
func (aw *AdoptedWorkload) UnstartedSpans() []Span { return aw.fresh }

// IsFresh reports whether the task waits and was never started.
func (aw *AdoptedWorkload) IsFresh(index uint32) bool { return aw.fresh.find(index) >= 0 }

// NextWaiting returns up to n waiting tasks: first those that ran before, then
// fresh ones, each sorted by index.
func (aw *AdoptedWorkload) NextWaiting(n int) []briarspring.TaskState {
	var out []briarspring.TaskState
	for _, i := range sortedKeys(aw.waiting) {
		if len(out) == n {
			return out
		}
		t := aw.tasks[i]
		out = append(out, briarspring.TaskState{Index: i, Attempt: t.attempt, Checkpoint: t.checkpoint})
	}
	for _, sp := range aw.fresh {
		for i := sp.First; i < sp.End; i++ {
			if len(out) == n {
				return out
			}
			out = append(out, briarspring.TaskState{Index: i})
		}
	}
	return out
}

// Placement is the state built from one data centre's placement stream.
type Placement struct {
	applied  uint64
	writers  writers
	epoch    uint64
	owner    briarspring.Writer
	resigned bool
	minSeen  uint64 // Configuration offset up to which a writer must have read to adopt tasks.
	workers  []*Worker
	byName   map[string]*Worker
	adopted  map[briarspring.WorkloadID]*AdoptedWorkload
	counts   Counts
}

// Counts counts events since the state was created or restored.
type Counts struct {
	Starts    uint64
	Void      uint64
	Ends      uint64
	Evictions uint64
}

// NewPlacement returns the state before the first record.
func NewPlacement() *Placement {
	return &Placement{
		writers: writers{},
		byName:  map[string]*Worker{},
		adopted: map[briarspring.WorkloadID]*AdoptedWorkload{},
	}
}

// Applied returns the offset of the last applied record.
func (p *Placement) Applied() uint64 { return p.applied }

// Epoch returns the epoch of the last valid claim.
func (p *Placement) Epoch() uint64 { return p.epoch }

// Owner returns the writer of the last valid claim.
func (p *Placement) Owner() briarspring.Writer { return p.owner }

// Resigned reports whether the owner has resigned.
func (p *Placement) Resigned() bool { return p.resigned }

// Counts returns the event counts since the state was created or restored.
func (p *Placement) Counts() Counts { return p.counts }

// Sequence returns the last applied incarnation and sequence number of a writer.
func (p *Placement) Sequence(writer string) (incarnation, sequence uint64) {
	s := p.writers[writer]
	return s.incarnation, s.sequence
}

// Workers returns all workers sorted by number.
func (p *Placement) Workers() []*Worker { return p.workers }

// Worker returns the worker with the given number, or nil.
func (p *Placement) Worker(number uint32) *Worker {
	if number < 1 || int(number) > len(p.workers) {
		return nil
	}
	return p.workers[number-1]
}

// WorkerByName returns the worker with the given name, or nil.
func (p *Placement) WorkerByName(name string) *Worker { return p.byName[name] }

// Workload returns the adopted part of a workload, or nil.
func (p *Placement) Workload(id briarspring.WorkloadID) *AdoptedWorkload { return p.adopted[id] }

// Workloads returns the sorted ids of all adopted workloads.
func (p *Placement) Workloads() []briarspring.WorkloadID { return sortedKeys(p.adopted) }

// Task returns a task that is not fresh, or nil.
func (p *Placement) Task(id briarspring.TaskID) *Task {
	l := p.adopted[id.Workload]
	if l == nil {
		return nil
	}
	return l.tasks[id.Index]
}

// Open returns the task of an attempt if that attempt is open, or nil.
func (p *Placement) Open(a briarspring.AttemptID) *Task {
	t := p.Task(a.Task)
	if t == nil || t.phase != PhasePlaced || t.attempt != a.Attempt {
		return nil
	}
	return t
}

// Totals returns the total capacity and commitments of all workers that are not
// gone, their number, and the maximum capacity of a worker for each resource.
func (p *Placement) Totals() (capacity, committed, largest briarspring.Resources, workers uint32) {
	for _, w := range p.workers {
		if w.gone {
			continue
		}
		workers++
		capacity = capacity.Add(w.capacity)
		committed = committed.Add(w.committed)
		largest = largest.Max(w.capacity)
	}
	return capacity, committed, largest, workers
}
