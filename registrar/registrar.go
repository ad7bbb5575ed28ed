// Package registrar holds the replicated state of workflows, owners and hosts.
// It is built from the shared stream alone and does no I/O: the same records in
// the same order give the same state on every host.
package registrar

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"briarspring"
	"briarspring/encoder"
)

// Entry is the registry's state of one workflow.
type Entry struct {
	workflow    *briarspring.Workflow
	offset      uint64
	phase       briarspring.Phase
	cancelled   bool
	finalAt     time.Duration
	transferred map[int]TransferredTask
	keys        []string        // Keys of its submission and transfer records.
	transfers   map[string]bool // Applied transfers, by token and number.
	ends        map[int]briarspring.TaskProgress
}

// TransferredTask is the data centre that a task was transferred to, and the
// progress that was transferred with it.
type TransferredTask struct {
	To       string
	Progress briarspring.TaskProgress
	Count    int    // Number of the task's transfers so far.
	Offset   uint64 // Log offset of the last transfer.
}

// Workflow returns the workflow as it was accepted.
func (e *Entry) Workflow() *briarspring.Workflow { return e.workflow }

// Offset returns the offset of the submission that was accepted.
func (e *Entry) Offset() uint64 { return e.offset }

// Phase returns the workflow's phase.
func (e *Entry) Phase() briarspring.Phase {
	if !e.phase.Final() && e.cancelled {
		return briarspring.PhaseCancelled
	}
	return e.phase
}

// Cancelled reports whether the workflow's cancellation is recorded.
func (e *Entry) Cancelled() bool { return e.cancelled }

// TransferredTasks returns the transferred tasks by position.
func (e *Entry) TransferredTasks() map[int]TransferredTask { return e.transferred }

// DataCentre returns the data centre that runs the task at a position.
func (e *Entry) DataCentre(position int) string {
	if m, ok := e.transferred[position]; ok {
		return m.To
	}
	return e.workflow.DataCentre
}

// Change names the workflow or data centre that a record changed.
type Change struct {
	Workflow   briarspring.WorkflowID
	DataCentre string // Data centre with a new claim.
}

// Registry is the state built from the shared stream.
type Registry struct {
	applied     uint64 // Offset after the last applied record.
	workflows   map[briarspring.WorkflowID]*Entry
	owners      map[string]*ownership // By data centre.
	hosts       map[string]briarspring.HostPresence
	waiting     map[string]int       // By queue.
	longRunning map[string]int64     // By data centre; see LongRunningMilliCPU.
	inventories map[string]Inventory // By data centre.
	directory   map[string][]uint64  // See DirectoryCopies.
	quota       *quotaState
	early       *earlyCancellations
}

// New returns the state before the first record.
func New() *Registry {
	return &Registry{
		workflows:   map[briarspring.WorkflowID]*Entry{},
		owners:      map[string]*ownership{},
		hosts:       map[string]briarspring.HostPresence{},
		waiting:     map[string]int{},
		longRunning: map[string]int64{},
		inventories: map[string]Inventory{},
		directory:   map[string][]uint64{},
		quota:       newQuotaState(),
		early:       newEarlyCancellations(),
	}
}

// Applied returns the offset after the last applied record.
func (r *Registry) Applied() uint64 { return r.applied }

// Workflow returns the entry of a workflow, or nil before its submission was
// read.
func (r *Registry) Workflow(id briarspring.WorkflowID) *Entry {
	if e := r.workflows[id]; e != nil && e.workflow != nil {
		return e
	}
	return nil
}

// Workflows calls f for every submitted workflow.
func (r *Registry) Workflows(f func(*Entry)) {
	for _, e := range r.workflows {
		if e.workflow != nil {
			f(e)
		}
	}
}

// Waiting returns the number of accepted workflows in a queue that have not
// started any task.
func (r *Registry) Waiting(queue string) int { return r.waiting[queue] }

// LongRunningMilliCPU returns how many thousandths of a core the first steps of
// unfinished long-running workflows reserve in a data centre. The sum is
// maintained with every record, since owners query it several hundred times a
// second.
func (r *Registry) LongRunningMilliCPU(dataCentre string) int64 { return r.longRunning[dataCentre] }

// DirectoryCopies returns the offsets, in ascending order, of those records of a key of
// the directory stream that the shared stream has copies of.
func (r *Registry) DirectoryCopies(key string) []uint64 { return r.directory[key] }

func (r *Registry) applyDirectoryCopy(rec briarspring.KeyedRecord) {
	key, offset, ok := ParseDirectoryKey(rec.Key)
	if !ok {
		return
	}
	i, found := slices.BinarySearch(r.directory[key], offset)
	switch dropped := len(rec.Value) == 0; {
	case found && dropped:
		r.directory[key] = slices.Delete(r.directory[key], i, i+1)
	case !found && !dropped:
		r.directory[key] = slices.Insert(r.directory[key], i, offset)
	}
}

// Apply applies a record that was read at time now. It ignores records at
// offsets that are already applied. Errors are *encoder.MalformedError.
func (r *Registry) Apply(now time.Duration, rec briarspring.KeyedRecord) (Change, error) {
	if rec.Offset < r.applied {
		return Change{}, nil
	}
	r.applied = rec.Offset + 1
	return r.applyRecord(now, rec)
}

// Restore applies the newest record of every key and removes workflows that are
// no longer in the stream. The records must have been read after everything
// that is already applied; end is the stream's end offset when that read began.
//
// The pages of newest records are not a consistent snapshot: a later page may
// hold a record at or after end whose predecessors belong on a page that was
// read earlier. Restore therefore skips records at or after end whose effect
// depends on their order; the caller passes them to Apply, which receives
// everything from end on.
func (r *Registry) Restore(now time.Duration, records []briarspring.KeyedRecord, end uint64) ([]Change, []error) {
	clear(r.directory)
	r.early = newEarlyCancellations()
	records = slices.Clone(records)
	slices.SortFunc(records, func(a, b briarspring.KeyedRecord) int { return cmp.Compare(a.Offset, b.Offset) })
	kept := map[briarspring.WorkflowID]bool{}
	quotaKeys := map[string]bool{}
	var changes []Change
	var errs []error
	for _, rec := range records {
		if rest, ok := strings.CutPrefix(rec.Key, prefixSubmission); ok {
			kept[workflowIDOf(rest)] = true
		}
		if rec.Offset >= end && isOrderSensitive(rec.Key) {
			continue
		}
		if isQuotaLedger(rec.Key) {
			quotaKeys[rec.Key] = true
			if rec.Offset < r.applied {
				// The claim that was in force then may have been replaced.
				continue
			}
		}
		change, err := r.applyRecord(now, rec)
		if err != nil {
			errs = append(errs, err)
		}
		if change != (Change{}) {
			changes = append(changes, change)
		}
	}
	for id, e := range r.workflows {
		if !kept[id] && e.offset < end {
			r.removeWorkflow(id)
		}
	}
	r.quota.prune(quotaKeys, end)
	r.countAsHeard(now)
	r.applied = max(r.applied, end)
	return changes, errs
}

// isOrderSensitive reports whether the effect of a key's record depends on
// earlier records, for example because only the first of several counts.
func isOrderSensitive(key string) bool {
	for _, prefix := range []string{prefixSubmission, prefixTransfer, prefixClaim, prefixQuotaPool, prefixQuotaGrant} {
		if strings.HasPrefix(key, prefix) {
			return true
		}
	}
	return false
}

func (r *Registry) applyRecord(now time.Duration, rec briarspring.KeyedRecord) (Change, error) {
	kind, rest, found := strings.Cut(rec.Key, "/")
	if !found {
		return Change{}, nil
	}
	kind += "/"
	if kind == prefixDirectory {
		r.applyDirectoryCopy(rec)
		return Change{}, nil
	}
	if kind == prefixEarly {
		return r.applyEarlyCancellation(now, workflowIDOf(rest), rec)
	}
	if kind == prefixQuotaPool || kind == prefixQuotaGrant || kind == prefixQuotaRequest {
		return Change{}, r.applyQuota(kind, rest, rec)
	}
	if len(rec.Value) == 0 {
		if kind == prefixSubmission {
			r.removeWorkflow(workflowIDOf(rest))
		}
		return Change{}, nil
	}
	switch kind {
	case prefixSubmission:
		return r.applySubmission(now, workflowIDOf(rest), rec)
	case prefixCancel:
		return r.applyCancellation(now, briarspring.WorkflowID(rest))
	case prefixRunning, prefixFinal:
		return r.applyPhase(now, briarspring.WorkflowID(rest), rec)
	case prefixTransfer:
		return r.applyTransfer(rest, rec)
	case prefixEnd:
		return r.applyEnd(workflowIDOf(rest), rec)
	case prefixClaim:
		return r.applyClaim(now, rec)
	case prefixHeartbeat:
		return Change{}, r.applyHeartbeat(now, rest, rec)
	case prefixHost:
		return Change{}, r.applyHost(now, rest, rec)
	case prefixRetire:
		return Change{}, r.applyRetirement(now, rest, rec)
	case prefixInventory:
		return Change{}, r.applyInventory(rest, rec)
	}
	return Change{}, nil
}

// workflowIDOf returns the workflow ID at the start of a key without its prefix.
func workflowIDOf(rest string) briarspring.WorkflowID {
	id, _, _ := strings.Cut(rest, "/")
	return briarspring.WorkflowID(id)
}

// entry returns the entry of a workflow; it creates one when there is none.
func (r *Registry) entry(id briarspring.WorkflowID) *Entry {
	e := r.workflows[id]
	if e == nil {
		e = &Entry{}
		r.workflows[id] = e
	}
	return e
}

// applySubmission keeps the first submission of a workflow ID and ignores later
// ones as retries.
func (r *Registry) applySubmission(now time.Duration, id briarspring.WorkflowID, rec briarspring.KeyedRecord) (Change, error) {
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
	r.addWaiting(e, 1)
	r.addLongRunning(e, 1)
	if r.early.cancels(w) {
		return r.applyCancellation(now, id)
	}
	return Change{Workflow: id}, nil
}

// addWaiting adds n to the queue's count if no task of the workflow has
// started.
func (r *Registry) addWaiting(e *Entry, n int) {
	if e.workflow != nil && e.Phase() == briarspring.PhaseQueued {
		r.waiting[e.workflow.Queue] += n
	}
}

// addLongRunning adds n times the reservation of e to the sums by data centre
// if e is an unfinished long-running workflow.
func (r *Registry) addLongRunning(e *Entry, n int64) {
	if e.workflow == nil || !e.workflow.LongRunning() || e.Phase().Final() {
		return
	}
	first := e.workflow.Steps[0]
	for position := range first.Tasks {
		r.longRunning[e.DataCentre(position)] += n * first.Resources.MilliCPU()
	}
}

func (r *Registry) applyCancellation(now time.Duration, id briarspring.WorkflowID) (Change, error) {
	e := r.entry(id)
	if e.cancelled {
		return Change{}, nil
	}
	r.addWaiting(e, -1)
	r.addLongRunning(e, -1)
	e.cancelled = true
	if !e.phase.Final() {
		e.finalAt = now
	}
	return Change{Workflow: id}, nil
}

func (r *Registry) applyPhase(now time.Duration, id briarspring.WorkflowID, rec briarspring.KeyedRecord) (Change, error) {
	phase, err := encoder.DecodePhase(rec.Value)
	if err != nil {
		return Change{}, err
	}
	e := r.entry(id)
	if e.phase >= phase || e.phase.Final() {
		return Change{}, nil
	}
	r.addWaiting(e, -1)
	r.addLongRunning(e, -1)
	e.phase = phase
	r.addLongRunning(e, 1)
	if phase.Final() {
		e.finalAt = now
	}
	return Change{Workflow: id}, nil
}

// applyTransfer moves tasks if the transferring owner's claim is in force.
func (r *Registry) applyTransfer(rest string, rec briarspring.KeyedRecord) (Change, error) {
	t, err := encoder.DecodeTaskTransfer(rec.Value)
	if err != nil {
		return Change{}, err
	}
	e := r.Workflow(workflowIDOf(rest))
	if e == nil {
		return Change{}, nil
	}
	e.keys = append(e.keys, rec.Key)
	transferID, _, _ := strings.Cut(strings.TrimPrefix(rest, string(e.workflow.ID)+"/"), "/")
	if e.transfers[transferID] {
		return Change{}, nil
	}
	if r.ownershipOf(t.From).claim.Token != t.Token {
		return Change{}, nil
	}
	if e.transferred == nil {
		e.transferred = map[int]TransferredTask{}
		e.transfers = map[string]bool{}
	}
	e.transfers[transferID] = true
	r.addLongRunning(e, -1)
	defer r.addLongRunning(e, 1)
	for _, p := range t.Tasks {
		if e.DataCentre(p.Position) == t.From {
			e.transferred[p.Position] = TransferredTask{To: t.To, Progress: p, Count: e.transferred[p.Position].Count + 1, Offset: rec.Offset}
		}
	}
	return Change{Workflow: e.workflow.ID}, nil
}

func (r *Registry) removeWorkflow(id briarspring.WorkflowID) {
	if e := r.workflows[id]; e != nil {
		r.addWaiting(e, -1)
		r.addLongRunning(e, -1)
		delete(r.workflows, id)
	}
}

// Expired returns the keys of at most limit workflows of a data centre whose
// final phase was read at least keep ago.
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
		keys = append(keys, r.early.keysFor(e.workflow)...)
	}
	return append(keys, r.expiredEarly(now, keep, dataCentre, limit)...)
}
