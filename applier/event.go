package applier

import (
	"cmp"
	"fmt"
	"slices"

	"briarspring"
)

// Outcome is the result of applying one event.
type Outcome struct {
	Event briarspring.Event
	Err   error // A *briarspring.VoidError when the event has no effect.
}

// Apply applies the record at an offset and returns the outcomes of its events.
// It returns nil for records at or below the applied offset and for duplicates.
func (p *Placement) Apply(offset uint64, r briarspring.Record) []Outcome {
	if offset <= p.applied {
		return nil
	}
	p.applied = offset
	if !p.writers.accept(r) {
		return nil
	}
	batch, ok := r.Body.(briarspring.Batch)
	if !ok {
		return nil
	}
	outcomes := make([]Outcome, 0, len(batch.Events))
	for _, e := range batch.Events {
		err := p.applyEvent(r.Writer, batch.Epoch, e)
		if err != nil {
			p.counts.Void++
		}
		outcomes = append(outcomes, Outcome{Event: e, Err: err})
	}
	return outcomes
}

// Skip advances the applied offset past a record that can't be decoded.
func (p *Placement) Skip(offset uint64) { p.applied = max(p.applied, offset) }

func newVoidError(e briarspring.Event, format string, args ...any) error {
	return &briarspring.VoidError{Event: fmt.Sprintf("%T", e)[len("briarspring."):], Reason: fmt.Sprintf(format, args...)}
}

func (p *Placement) applyEvent(writer briarspring.Writer, epoch uint64, event briarspring.Event) error {
	if e, ok := event.(briarspring.Claim); ok {
		return p.applyClaim(writer, epoch, e)
	}
	if epoch != p.epoch || writer != p.owner {
		return newVoidError(event, "epoch %d of %s is not epoch %d of %s", epoch, writer.Name, p.epoch, p.owner.Name)
	}
	if p.resigned {
		return newVoidError(event, "the owner resigned")
	}
	switch e := event.(type) {
	case briarspring.Beat:
		return nil
	case briarspring.Resign:
		p.resigned = true
		return nil
	case briarspring.WorkerJoin:
		return p.applyWorkerJoin(e)
	case briarspring.WorkerGone:
		return p.applyWorkerGone(e)
	case briarspring.Adopt:
		return p.applyAdopt(e)
	case briarspring.Start:
		return p.applyStart(e)
	case briarspring.Ready:
		return p.applyReady(e)
	case briarspring.End:
		return p.applyEnd(e)
	case briarspring.EvictIntent:
		return p.applyEvictIntent(e)
	case briarspring.Release:
		return p.applyRelease(e)
	case briarspring.Cancel:
		return p.applyCancel(e)
	case briarspring.Forget:
		return p.applyForget(e)
	}
	return newVoidError(event, "unknown event")
}

func (p *Placement) applyClaim(writer briarspring.Writer, epoch uint64, e briarspring.Claim) error {
	if epoch != p.epoch+1 {
		return newVoidError(e, "epoch %d does not follow epoch %d", epoch, p.epoch)
	}
	p.epoch = epoch
	p.owner = writer
	p.resigned = false
	return nil
}

func (p *Placement) applyWorkerJoin(e briarspring.WorkerJoin) error {
	w := p.byName[e.Name]
	if w == nil {
		w = &Worker{number: uint32(len(p.workers)) + 1, name: e.Name, tasks: map[briarspring.TaskID]*Task{}}
		p.workers = append(p.workers, w)
		p.byName[e.Name] = w
	}
	if w.incarnation != 0 && w.incarnation != e.Incarnation {
		p.loseTasks(w)
	}
	if !w.committed.Fits(e.Capacity) {
		return newVoidError(e, "open attempts hold %s of %s", w.committed, e.Capacity)
	}
	w.incarnation = e.Incarnation
	w.rack = e.Rack
	w.capacity = e.Capacity
	w.gone = false
	return nil
}

func (p *Placement) applyWorkerGone(e briarspring.WorkerGone) error {
	w := p.Worker(e.Worker)
	if w == nil {
		return newVoidError(e, "worker %d is unknown", e.Worker)
	}
	w.declaredLostAt = max(w.declaredLostAt, e.Declared)
	if w.gone {
		return newVoidError(e, "worker %s is already gone", w.name)
	}
	p.loseTasks(w)
	w.gone = true
	return nil
}

// loseTasks ends every open attempt on a worker with EndLost.
func (p *Placement) loseTasks(w *Worker) {
	for _, id := range w.Tasks() {
		l := p.adopted[id.Workload]
		p.closeAttempt(l, l.tasks[id.Index], briarspring.EndLost, 0)
	}
}

func (p *Placement) applyAdopt(e briarspring.Adopt) error {
	if e.Seen < p.minSeen {
		return newVoidError(e, "the writer had read the configuration up to %d, not %d", e.Seen, p.minSeen)
	}
	if !(briarspring.Resources{}).Fits(e.Resources) {
		return newVoidError(e, "negative resource needs: %s", e.Resources)
	}
	l := p.adopted[e.Workload]
	if l == nil {
		l = &AdoptedWorkload{
			id: e.Workload, resources: e.Resources, service: e.Service, maxTries: e.MaxTries,
			tasks: map[uint32]*Task{}, waiting: map[uint32]struct{}{},
		}
		p.adopted[e.Workload] = l
	}
	if e.Offset <= l.offset {
		return newVoidError(e, "offset %d was already adopted", e.Offset)
	}
	l.offset = e.Offset
	l.fresh.add(e.First, e.End)
	for _, s := range e.Tasks {
		l.adoptTask(s)
	}
	return nil
}

func (aw *AdoptedWorkload) adoptTask(s briarspring.TaskState) {
	t := aw.tasks[s.Index]
	if t == nil {
		if s.Attempt == 0 && s.Checkpoint == 0 {
			aw.fresh.add(s.Index, s.Index+1)
			return
		}
		t = &Task{index: s.Index}
		aw.tasks[s.Index] = t
	}
	if t.phase == PhaseFailed {
		return
	}
	t.attempt = max(t.attempt, s.Attempt)
	t.cancelled = false
	if t.phase == PhasePlaced {
		return
	}
	t.checkpoint = s.Checkpoint
	aw.requeue(t)
}

// requeue makes a task wait for a new attempt.
func (aw *AdoptedWorkload) requeue(t *Task) {
	if t.phase == PhaseReleased {
		aw.released--
	}
	t.phase = PhaseWaiting
	t.worker = 0
	t.address = ""
	t.evicting = false
	t.releasedTo = ""
	aw.waiting[t.index] = struct{}{}
}

func (p *Placement) applyStart(e briarspring.Start) error {
	l := p.adopted[e.Attempt.Task.Workload]
	if l == nil {
		return newVoidError(e, "workload %d is not adopted here", e.Attempt.Task.Workload)
	}
	w := p.Worker(e.Worker)
	if w == nil || w.gone {
		return newVoidError(e, "worker %d is gone", e.Worker)
	}
	index := e.Attempt.Task.Index
	t := l.tasks[index]
	if t == nil && l.fresh.find(index) < 0 {
		return newVoidError(e, "task %s is not waiting in this data centre", e.Attempt.Task)
	}
	if t != nil && t.phase != PhaseWaiting {
		return newVoidError(e, "task %s is %s", e.Attempt.Task, t.phase)
	}
	var last uint32
	if t != nil {
		last = t.attempt
	}
	if e.Attempt.Attempt != last+1 {
		return newVoidError(e, "attempt %d does not follow attempt %d", e.Attempt.Attempt, last)
	}
	if !l.resources.Fits(w.Free()) {
		return newVoidError(e, "worker %s has %s free, the task needs %s", w.name, w.Free(), l.resources)
	}
	if t == nil {
		l.fresh.remove(index)
		t = &Task{index: index}
		l.tasks[index] = t
	}
	delete(l.waiting, index)
	t.phase = PhasePlaced
	t.attempt = e.Attempt.Attempt
	t.worker = w.number
	w.committed = w.committed.Add(l.resources)
	w.tasks[e.Attempt.Task] = t
	l.placed++
	p.counts.Starts++
	return nil
}

func (p *Placement) applyReady(e briarspring.Ready) error {
	t := p.Open(e.Attempt)
	if t == nil {
		return newVoidError(e, "attempt %s is not open", e.Attempt)
	}
	t.address = e.Address
	return nil
}

func (p *Placement) applyEvictIntent(e briarspring.EvictIntent) error {
	t := p.Open(e.Attempt)
	if t == nil {
		return newVoidError(e, "attempt %s is not open", e.Attempt)
	}
	t.evicting = true
	return nil
}

func (p *Placement) applyEnd(e briarspring.End) error {
	t := p.Open(e.Attempt)
	if t == nil {
		return newVoidError(e, "attempt %s is not open", e.Attempt)
	}
	p.closeAttempt(p.adopted[e.Attempt.Task.Workload], t, e.Reason, e.Checkpoint)
	return nil
}

// closeAttempt releases the resources of a task's open attempt and sets the
// task's next phase, or removes the task.
func (p *Placement) closeAttempt(l *AdoptedWorkload, t *Task, reason briarspring.EndReason, checkpoint uint64) {
	id := briarspring.TaskID{Workload: l.id, Index: t.index}
	w := p.Worker(t.worker)
	w.committed = w.committed.Sub(l.resources)
	delete(w.tasks, id)
	l.placed--
	p.counts.Ends++
	if reason == briarspring.EndEvicted {
		l.evictions++
		p.counts.Evictions++
		t.checkpoint = checkpoint
	}
	if reason == briarspring.EndFailed {
		t.failures++
	}
	switch {
	case reason == briarspring.EndDone && !l.service:
		l.done++
		delete(l.tasks, t.index)
	case t.cancelled:
		delete(l.tasks, t.index)
	case reason == briarspring.EndFailed && !l.service && t.failures >= l.maxTries:
		t.phase = PhaseFailed
		t.worker = 0
		l.failed++
	default:
		l.requeue(t)
	}
}

func (p *Placement) applyRelease(e briarspring.Release) error {
	l := p.adopted[e.Workload]
	if l == nil {
		return newVoidError(e, "workload %d is not adopted here", e.Workload)
	}
	for i, index := range e.Indexes {
		if !l.isWaiting(index) || i > 0 && index <= e.Indexes[i-1] {
			return newVoidError(e, "task %d/%d is not waiting in this data centre", e.Workload, index)
		}
	}
	for _, index := range e.Indexes {
		t := l.tasks[index]
		if t == nil {
			l.fresh.remove(index)
			t = &Task{index: index}
			l.tasks[index] = t
		}
		delete(l.waiting, index)
		t.phase = PhaseReleased
		t.releasedTo = e.To
		l.released++
	}
	return nil
}

// isWaiting reports whether a task waits for an attempt.
func (aw *AdoptedWorkload) isWaiting(index uint32) bool {
	_, waits := aw.waiting[index]
	return waits || aw.fresh.find(index) >= 0
}

func (p *Placement) applyCancel(e briarspring.Cancel) error {
	l := p.adopted[e.Workload]
	if l == nil {
		return newVoidError(e, "workload %d is not adopted here", e.Workload)
	}
	l.fresh.removeRange(e.First, e.End)
	for index, t := range l.tasks {
		if index < e.First || index >= e.End {
			continue
		}
		switch t.phase {
		case PhasePlaced:
			t.cancelled = true
		case PhaseWaiting:
			delete(l.waiting, index)
			delete(l.tasks, index)
		case PhaseReleased:
			l.released--
			delete(l.tasks, index)
		}
	}
	return nil
}

func (p *Placement) applyForget(e briarspring.Forget) error {
	l := p.adopted[e.Workload]
	if l == nil {
		return newVoidError(e, "workload %d is not adopted here", e.Workload)
	}
	if l.placed > 0 || l.Waiting() > 0 {
		return newVoidError(e, "workload %d has %d open attempts and %d waiting tasks", e.Workload, l.placed, l.Waiting())
	}
	delete(p.adopted, e.Workload)
	p.minSeen = max(p.minSeen, e.Seen)
	return nil
}

func sortTaskIDs(ids []briarspring.TaskID) {
	slices.SortFunc(ids, func(a, b briarspring.TaskID) int {
		if c := cmp.Compare(a.Workload, b.Workload); c != 0 {
			return c
		}
		return cmp.Compare(a.Index, b.Index)
	})
}
