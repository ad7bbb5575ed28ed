// Package registrar holds what every host knows of workflows, owners and hosts.
// It is built from the shared stream alone and does no input or output: the
// same records in the same order give the same state on every host.
package registrar

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"briarspring"
	"briarspring/encoder"
)

// Entry is what the registry knows of a workflow.
type Entry struct {
	workflow  *briarspring.Workflow
	offset    uint64
	phase     briarspring.Phase
	cancelled bool
	finalAt   time.Duration
	moved     map[int]Moved
	keys      []string        // Of its submissions and transfers.
	transfers map[string]bool // That were applied, by token and number.
}

// Moved is where a transferred task went and what it brought along.
type Moved struct {
	To       string
	Progress briarspring.TaskProgress
	Count    int // Transfers of the task so far.
}

// Workflow returns the workflow as it was accepted.
func (e *Entry) Workflow() *briarspring.Workflow { return e.workflow }

// Offset returns the offset of the submission that is in force.
func (e *Entry) Offset() uint64 { return e.offset }

// Phase returns how far the workflow has come.
func (e *Entry) Phase() briarspring.Phase {
	if !e.phase.Final() && e.cancelled {
		return briarspring.PhaseCancelled
	}
	return e.phase
}

// Cancelled reports whether the workflow's cancellation is recorded.
func (e *Entry) Cancelled() bool { return e.cancelled }

// Moved returns the tasks that were transferred, by position.
func (e *Entry) Moved() map[int]Moved { return e.moved }

// DataCentre returns the data centre that runs the task at a position.
func (e *Entry) DataCentre(position int) string {
	if m, ok := e.moved[position]; ok {
		return m.To
	}
	return e.workflow.DataCentre
}

// Change tells which workflow or data centre a record changed.
type Change struct {
	Workflow   briarspring.WorkflowID
	DataCentre string // Whose claim changed.
}

// Registry is the state of the shared stream.
type Registry struct {
	applied   uint64 // Offset that follows the last applied record.
	workflows map[briarspring.WorkflowID]*Entry
	owners    map[string]*owners // By data centre.
	hosts     map[string]briarspring.HostPresence
	waiting   map[string]int                      // By queue.
	lasting   map[string]int64                    // By data centre; see Lasting.
	models    map[string][]briarspring.PressModel // By data centre.
}

// New returns the state before the first record.
func New() *Registry {
	return &Registry{
		workflows: map[briarspring.WorkflowID]*Entry{},
		owners:    map[string]*owners{},
		hosts:     map[string]briarspring.HostPresence{},
		waiting:   map[string]int{},
		lasting:   map[string]int64{},
		models:    map[string][]briarspring.PressModel{},
	}
}

// Applied returns the offset that follows the last applied record.
func (r *Registry) Applied() uint64 { return r.applied }

// Workflow returns what is known of a workflow, or nil before its submission
// was read.
func (r *Registry) Workflow(id briarspring.WorkflowID) *Entry {
	if e := r.workflows[id]; e != nil && e.workflow != nil {
		return e
	}
	return nil
}

// Workflows calls f for every workflow.
func (r *Registry) Workflows(f func(*Entry)) {
	for _, e := range r.workflows {
		if e.workflow != nil {
			f(e)
		}
	}
}

// Waiting returns the number of a queue's accepted workflows of which no task
// has started.
func (r *Registry) Waiting(queue string) int { return r.waiting[queue] }

// Lasting returns how many thousandths of a core the first steps of lasting
// workflows reserve in a data centre, as far as these are not over. It is kept up
// with every record, since owners ask several hundred times a second.
func (r *Registry) Lasting(dataCentre string) int64 { return r.lasting[dataCentre] }

// Models returns what the owners of all data centres have learned last.
func (r *Registry) Models() []briarspring.PressModel {
	var all []briarspring.PressModel
	for _, name := range slices.Sorted(maps.Keys(r.models)) {
		all = append(all, r.models[name]...)
	}
	return all
}

// Apply applies a record that was read at a time. Records at offsets that were
// applied before have no effect. Errors are *encoder.MalformedError.
func (r *Registry) Apply(now time.Duration, rec briarspring.KeyedRecord) (Change, error) {
	if rec.Offset < r.applied {
		return Change{}, nil
	}
	r.applied = rec.Offset + 1
	return r.apply(now, rec)
}

// Restore applies the newest record of every key and drops workflows that are
// no longer kept. The records must have been read after everything that was
// applied before; end is the offset that followed the last record when the
// reading began. Pages of newest records are no snapshot: a later page may hold a
// record from the end on whose predecessors were on an earlier page that was read
// before. Records whose order decides are therefore left to Apply, which gets
// everything from the end on.
func (r *Registry) Restore(now time.Duration, records []briarspring.KeyedRecord, end uint64) ([]Change, []error) {
	records = slices.Clone(records)
	slices.SortFunc(records, func(a, b briarspring.KeyedRecord) int { return cmp.Compare(a.Offset, b.Offset) })
	kept := map[briarspring.WorkflowID]bool{}
	var changes []Change
	var errs []error
	for _, rec := range records {
		if rest, ok := strings.CutPrefix(rec.Key, prefixSubmission); ok {
			kept[idOf(rest)] = true
		}
		if rec.Offset >= end && orderDecides(rec.Key) {
			continue
		}
		change, err := r.apply(now, rec)
		if err != nil {
			errs = append(errs, err)
		}
		if change != (Change{}) {
			changes = append(changes, change)
		}
	}
	for id, e := range r.workflows {
		if !kept[id] && e.offset < end {
			r.forget(id)
		}
	}
	r.applied = max(r.applied, end)
	return changes, errs
}

// orderDecides reports whether the first of several records has effect, or whether
// one has depends on those before.
func orderDecides(key string) bool {
	for _, prefix := range []string{prefixSubmission, prefixTransfer, prefixClaim} {
		if strings.HasPrefix(key, prefix) {
			return true
		}
	}
	return false
}

func (r *Registry) apply(now time.Duration, rec briarspring.KeyedRecord) (Change, error) {
	kind, rest, found := strings.Cut(rec.Key, "/")
	if !found {
		return Change{}, nil
	}
	kind += "/"
	if len(rec.Value) == 0 {
		if kind == prefixSubmission {
			r.forget(idOf(rest))
		}
		return Change{}, nil
	}
	switch kind {
	case prefixSubmission:
		return r.submit(idOf(rest), rec)
	case prefixCancel:
		return r.cancel(now, briarspring.WorkflowID(rest))
	case prefixRunning, prefixFinal:
		return r.mark(now, briarspring.WorkflowID(rest), rec)
	case prefixTransfer:
		return r.transfer(rest, rec)
	case prefixClaim:
		return r.applyClaim(now, rec)
	case prefixBeat:
		return Change{}, r.applyBeat(now, rest, rec)
	case prefixHost:
		return Change{}, r.applyHost(now, rest, rec)
	case prefixRetire:
		return Change{}, r.applyRetirement(now, rest, rec)
	case prefixModel:
		models, err := encoder.DecodePressModels(rec.Value)
		if err == nil {
			r.models[rest] = models
		}
		return Change{}, err
	}
	return Change{}, nil
}

// idOf returns the workflow that a key is about, whose kind was cut off.
func idOf(rest string) briarspring.WorkflowID {
	id, _, _ := strings.Cut(rest, "/")
	return briarspring.WorkflowID(id)
}

// entry returns the entry of a workflow and makes it when there is none.
func (r *Registry) entry(id briarspring.WorkflowID) *Entry {
	e := r.workflows[id]
	if e == nil {
		e = &Entry{}
		r.workflows[id] = e
	}
	return e
}

// submit keeps the first submission of an ID; later ones are repeats.
func (r *Registry) submit(id briarspring.WorkflowID, rec briarspring.KeyedRecord) (Change, error) {
	e := r.entry(id)
	e.keys = append(e.keys, rec.Key)
	if e.workflow != nil {
		return Change{}, nil
	}
	w, err := encoder.DecodeSubmission(id, rec.Value)
	if err != nil {
		return Change{}, err
	}
	e.workflow = w
	e.offset = rec.Offset
	r.countWaiting(e, 1)
	r.countLasting(e, 1)
	return Change{Workflow: id}, nil
}

// countWaiting adds n to the queue's count while e is a waiting workflow.
func (r *Registry) countWaiting(e *Entry, n int) {
	if e.workflow != nil && e.Phase() == briarspring.PhaseQueued {
		r.waiting[e.workflow.Queue] += n
	}
}

// countLasting adds n times what a lasting workflow reserves that is not over.
func (r *Registry) countLasting(e *Entry, n int64) {
	if e.workflow == nil || !e.workflow.Lasting() || e.Phase().Final() {
		return
	}
	first := e.workflow.Steps[0]
	for position := range first.Tasks {
		r.lasting[e.DataCentre(position)] += n * first.Resources.MilliCPU()
	}
}

func (r *Registry) cancel(now time.Duration, id briarspring.WorkflowID) (Change, error) {
	e := r.entry(id)
	if e.cancelled {
		return Change{}, nil
	}
	r.countWaiting(e, -1)
	r.countLasting(e, -1)
	e.cancelled = true
	if !e.phase.Final() {
		e.finalAt = now
	}
	return Change{Workflow: id}, nil
}

func (r *Registry) mark(now time.Duration, id briarspring.WorkflowID, rec briarspring.KeyedRecord) (Change, error) {
	phase, err := encoder.DecodePhaseMark(rec.Value)
	if err != nil {
		return Change{}, err
	}
	e := r.entry(id)
	if e.phase >= phase || e.phase.Final() {
		return Change{}, nil
	}
	r.countWaiting(e, -1)
	r.countLasting(e, -1)
	e.phase = phase
	r.countLasting(e, 1)
	if phase.Final() {
		e.finalAt = now
	}
	return Change{Workflow: id}, nil
}

// transfer moves tasks when the giving owner's claim is in force.
func (r *Registry) transfer(rest string, rec briarspring.KeyedRecord) (Change, error) {
	t, err := encoder.DecodeTaskTransfer(rec.Value)
	if err != nil {
		return Change{}, err
	}
	e := r.Workflow(idOf(rest))
	if e == nil {
		return Change{}, nil
	}
	e.keys = append(e.keys, rec.Key)
	name, _, _ := strings.Cut(strings.TrimPrefix(rest, string(e.workflow.ID)+"/"), "/")
	if e.transfers[name] {
		return Change{}, nil
	}
	if r.of(t.From).claim.Token != t.Token {
		return Change{}, nil
	}
	if e.moved == nil {
		e.moved = map[int]Moved{}
		e.transfers = map[string]bool{}
	}
	e.transfers[name] = true
	r.countLasting(e, -1)
	defer r.countLasting(e, 1)
	for _, p := range t.Tasks {
		if e.DataCentre(p.Position) == t.From {
			e.moved[p.Position] = Moved{To: t.To, Progress: p, Count: e.moved[p.Position].Count + 1}
		}
	}
	return Change{Workflow: e.workflow.ID}, nil
}

func (r *Registry) forget(id briarspring.WorkflowID) {
	if e := r.workflows[id]; e != nil {
		r.countWaiting(e, -1)
		r.countLasting(e, -1)
		delete(r.workflows, id)
	}
}

// Expired returns the keys of workflows of a data centre whose final phase was
// read at least keep ago, at most limit workflows.
func (r *Registry) Expired(now, keep time.Duration, dataCentre string, limit int) []string {
	var keys []string
	for id, e := range r.workflows {
		if limit == 0 {
			break
		}
		if e.workflow == nil || e.workflow.DataCentre != dataCentre || !e.Phase().Final() || now-e.finalAt < keep {
			continue
		}
		limit--
		keys = append(keys, CancelKey(id), RunningKey(id), FinalKey(id))
		keys = append(keys, e.keys...)
	}
	return keys
}
