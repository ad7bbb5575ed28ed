// Package admitter accepts workflows from callers: it finds the queue, accepts or
// refuses the workflow, chooses its data centre, and returns once the acceptance
// is stored.
package admitter

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"

	"briarspring"
	"briarspring/balancer"
	"briarspring/counter"
	"briarspring/encoder"
	"briarspring/registrar"
	"briarspring/replicator"
	"briarspring/sleeper"
)

// Writer writes idempotent records to the shared stream.
type Writer interface {
	Write(ctx context.Context, records ...briarspring.KeyedRecord) error
}

// Catalogue is the operators' configuration.
type Catalogue interface {
	Directory() (briarspring.Directory, bool)
	// Snapshot returns the directory with the index of its keys.
	Snapshot() (briarspring.Directory, *briarspring.KeyIndex, bool)
	OutOfService(dataCentre string) bool
}

// Freshness is the age of the local state of a followed stream.
type Freshness interface {
	// LastReadSent returns the send time of the last successful read, or false
	// if there was none.
	LastReadSent() (time.Duration, bool)
	// Age returns the time since that read was sent.
	Age() (time.Duration, bool)
	// Refresh reads at once, and returns when everything that was stored before
	// the call has been read, or when the context ends.
	Refresh(ctx context.Context)
}

// Config holds the settings of an Admitter.
type Config struct {
	DataCentre       string
	DataCentres      []string
	Shared           Writer
	Catalogue        Catalogue
	Replica          *replicator.Replica
	Reading          Freshness // Of the shared state.
	DirectoryReading Freshness // Of the catalogue.
	Now              func() time.Duration
	Logger           hclog.Logger
	// MaxRecordBytes is the largest record that the log stores, with its key. Zero
	// means no limit.
	MaxRecordBytes int
	// MaxKeyAge is the age of the directory from which calls with a key are refused. Zero
	// means never.
	MaxKeyAge time.Duration
	// Digest is the digest of a key. Optional; tests count the calls.
	Digest func(key string) briarspring.KeyDigest
}

const (
	// staleAge is the age of the shared state, or of the directory, from which the log
	// counts as out of reach: reads wait up to 1 s and take up to 0.8 s through a slow
	// store.
	staleAge = 2200 * time.Millisecond
	// retryPause is the pause between two attempts to store a record.
	retryPause = 60 * time.Millisecond
	// refreshTimeout limits the wait for a read before a status is answered from
	// the state at hand; a read takes a tenth of it.
	refreshTimeout = 150 * time.Millisecond
	// catchUpTimeout limits the wait for a read of the shared state, which may follow
	// one that waits up to 0.6 s for a record.
	catchUpTimeout = 1600 * time.Millisecond
	// maxSubmitTime limits the attempts to store a submission. It is well below the time
	// for which a cancellation of an unknown workflow is remembered.
	maxSubmitTime = 30 * time.Second
	// catchUpInterval is the polling interval of catchUp.
	catchUpInterval = 10 * time.Millisecond
)

// RefusedError reports that a request was refused and has no effect.
type RefusedError struct {
	Reason     string
	RetryAfter time.Duration // 0 if a retry can't succeed.
}

// Error implements error.
func (e *RefusedError) Error() string { return "refused: " + e.Reason }

// UnknownQueueError reports that no queue accepts requests for a host and path.
type UnknownQueueError struct {
	Host string
	Path string
}

// Error implements error.
func (e *UnknownQueueError) Error() string { return "no queue for " + e.Host + e.Path }

// Admitter accepts workflows from callers.
type Admitter struct {
	config   Config
	outcomes *counter.Counter
	counts   countAudit
}

// New returns an admitter.
func New(c Config) *Admitter {
	if c.Logger == nil {
		c.Logger = hclog.NewNullLogger()
	}
	if c.Digest == nil {
		c.Digest = briarspring.DigestKey
	}
	return &Admitter{config: c, outcomes: counter.New(), counts: newCountAudit()}
}

// Reachable reports whether the shared state was read within staleAge.
func (a *Admitter) Reachable() bool { return isFresh(a.config.Reading) }

func isFresh(f Freshness) bool {
	age, ok := f.Age()
	return ok && age < staleAge
}

// retryAfter returns when a refused caller should try again.
func (a *Admitter) retryAfter() time.Duration { return retryAfterRead(a.config.Reading) }

// retryAfterRead returns when to try again what needs a read of a stream.
func retryAfterRead(f Freshness) time.Duration {
	age, ok := f.Age()
	if !ok {
		return minRetryAfter
	}
	return retryAfter(age)
}

// Ready reports whether this host can accept workflows, and if not, the reason.
func (a *Admitter) Ready() (bool, string) {
	if _, ok := a.config.Catalogue.Directory(); !ok {
		return false, "no directory was read yet"
	}
	if !a.Reachable() {
		return false, "the log is out of reach"
	}
	return true, ""
}

// Find returns the queue with the longest matching prefix for a path, and the rest
// of the path. The error is an *UnknownQueueError, or a *RefusedError if the directory
// is too old to tell.
func (a *Admitter) Find(host, path string) (queue briarspring.Queue, rest string, err error) {
	directory, ok := a.config.Catalogue.Directory()
	return a.find(directory, ok, host, path)
}

// find is Find in a given directory; ok is false if there is none.
func (a *Admitter) find(directory briarspring.Directory, ok bool, host, path string) (queue briarspring.Queue, rest string, err error) {
	if !ok {
		return briarspring.Queue{}, "", &RefusedError{Reason: "no directory was read yet", RetryAfter: minRetryAfter}
	}
	found := false
	for _, q := range directory.Queues {
		if q.Host == host && strings.HasPrefix(path, q.Prefix) && (!found || len(q.Prefix) > len(queue.Prefix)) {
			queue, found = q, true
		}
	}
	if !found {
		age, _ := a.config.DirectoryReading.Age()
		a.config.Logger.Info("unknown queue", "host", host, "path", path, "directory-version", directory.Version, "directory-age-ms", age.Milliseconds())
		return briarspring.Queue{}, "", a.notFound(&UnknownQueueError{Host: host, Path: path})
	}
	return queue, path[len(queue.Prefix):], nil
}

// notFound returns err, or a *RefusedError with a time for a retry if the directory may
// since have got what was not found: another host may know it.
func (a *Admitter) notFound(err error) error {
	if isFresh(a.config.DirectoryReading) {
		return err
	}
	return &RefusedError{Reason: "the directory is out of reach", RetryAfter: retryAfterRead(a.config.DirectoryReading)}
}

// Queue returns the queue with a name. The error is a *briarspring.NotFoundError, or a
// *RefusedError if the directory is too old to tell.
func (a *Admitter) Queue(name string) (briarspring.Queue, error) {
	directory, ok := a.config.Catalogue.Directory()
	if !ok {
		return briarspring.Queue{}, &RefusedError{Reason: "no directory was read yet", RetryAfter: minRetryAfter}
	}
	for _, q := range directory.Queues {
		if q.Name == name {
			return q, nil
		}
	}
	return briarspring.Queue{}, a.notFound(&briarspring.NotFoundError{Object: "queue/" + name})
}

// Directory returns the operators' configuration of queues, or false if none was
// read yet.
func (a *Admitter) Directory() (briarspring.Directory, bool) { return a.config.Catalogue.Directory() }

// DataCentreOptions returns the data centres as known to this host.
func (a *Admitter) DataCentreOptions() []balancer.Option { return a.options() }

// ReadRegistry calls f with the shared state, which f must not retain.
func (a *Admitter) ReadRegistry(f func(*registrar.Registry)) { a.config.Replica.View(f) }

// Submit accepts a workflow for an operator, without an organisation. It returns nil if the workflow is stored, by this call
// or an earlier one, a *RefusedError if it won't run, and a
// *briarspring.NoAnswerError if it may run.
func (a *Admitter) Submit(ctx context.Context, q briarspring.Queue, w *briarspring.Workflow) error {
	start := time.Now()
	err := a.submit(ctx, Caller{Queue: q}, w)
	a.outcomes.Observe("submit", outcomeOf(err), time.Since(start))
	return err
}

// Outcomes returns the counts and durations of requests by outcome.
func (a *Admitter) Outcomes() map[string]map[string]float64 { return a.outcomes.Snapshot() }

func outcomeOf(err error) string {
	var refused *RefusedError
	var noKey *KeyError
	var unanswered *briarspring.NoAnswerError // Its cause may be a refusal of a later try.
	switch {
	case err == nil:
		return "accepted"
	case errors.As(err, &unanswered):
		return "doubt"
	case errors.As(err, &refused), errors.As(err, &noKey):
		return "refused"
	}
	return "doubt"
}

func (a *Admitter) submit(ctx context.Context, c Caller, w *briarspring.Workflow) error {
	q := c.Queue
	owner, known := a.ownerOf(w.ID)
	if known && c.sees(owner) {
		a.config.Logger.Info("submission repeated", c.logFields("workflow", w.ID)...)
		return nil
	}
	if err := a.checkCancelled(w); err != nil {
		a.config.Logger.Info("submission refused", c.logFields("workflow", w.ID, "queue", q.Name, "error", err)...)
		return err
	}
	if known {
		return a.takenError(&c, w.ID, owner)
	}
	// The queue may have been found in an earlier version, not in a later one.
	version := a.directoryVersion()
	w.Queue, w.Service, w.Priority = q.Name, q.Service, q.Priority
	w.MaxAttempts, w.Stretch, w.Allowance = q.MaxAttempts, q.Stretch, q.Allowance
	w.Submitted = time.Now()
	if len(w.Steps) > 0 {
		w.DataCentre = a.choose(w)
	}
	if err := a.admit(q, w); err != nil {
		age, _ := a.config.Reading.Age()
		a.config.Logger.Info("submission refused", c.logFields("workflow", w.ID, "queue", q.Name, "directory-version", version,
			"state-age-ms", age.Milliseconds(), "error", err)...)
		return err
	}
	value, err := encoder.EncodeSubmission(w)
	if err != nil {
		return &RefusedError{Reason: err.Error()}
	}
	if err := a.checkSize(w, value); err != nil {
		return err
	}
	if err := a.checkGangs(&c, w); err != nil {
		return err
	}
	storeCtx, cancel := context.WithTimeout(ctx, maxSubmitTime)
	defer cancel()
	err = a.store(storeCtx, &c, decision{
		workflow: w.ID,
		record: func() briarspring.KeyedRecord {
			return briarspring.KeyedRecord{Key: registrar.SubmissionKey(w.ID, registrar.NewAttemptID()), Value: value}
		},
		stored:    func() bool { return a.isKnown(w.ID) },
		withdrawn: func() error { return a.checkCancelled(w) },
	})
	age, _ := a.config.Reading.Age()
	a.config.Logger.Info("submission", c.logFields("workflow", w.ID, "queue", q.Name, "data-centre", w.DataCentre, "tasks", w.TaskCount(),
		"directory-version", version, "state-age-ms", age.Milliseconds(), "took-ms", time.Since(w.Submitted).Milliseconds(), "stored", err == nil, "error", err)...)
	if err == nil && c.limited {
		return a.confirm(ctx, &c, w.ID)
	}
	return err
}

// directoryVersion returns the version of the directory in force, 0 for none.
func (a *Admitter) directoryVersion() uint64 {
	directory, _ := a.config.Catalogue.Directory()
	return directory.Version
}

// usualAttempts is the number of failed runs of each task that progress must have room
// for, if the queue allows as many.
const usualAttempts = 16

// checkSize returns a *RefusedError if the workflow's submission, or later the
// progress of all its tasks, would not fit into a record of the log.
func (a *Admitter) checkSize(w *briarspring.Workflow, value []byte) error {
	most := a.config.MaxRecordBytes
	if most == 0 {
		return nil
	}
	if n := recordBytes(w.ID, value); n > most {
		return &RefusedError{Reason: fmt.Sprintf("the workflow needs a record of %d bytes, allowed are %d", n, most)}
	}
	tasks := most / (encoder.TaskProgressBytes + encoder.FailedRunBytes*min(max(0, w.MaxAttempts), usualAttempts))
	if n := w.TaskCount(); n > tasks {
		return &RefusedError{Reason: fmt.Sprintf("the workflow has %d tasks, allowed are %d", n, tasks)}
	}
	return nil
}

// maxAttemptIDBytes is the length of the longest attempt ID.
const maxAttemptIDBytes = 13

// recordBytes returns the size of the record of a submission: the length of the key
// in one byte, the key and the value.
func recordBytes(id briarspring.WorkflowID, value []byte) int {
	return 1 + len(registrar.SubmissionKey(id, "")) + maxAttemptIDBytes + len(value)
}

// choose returns the data centre for a new workflow.
func (a *Admitter) choose(w *briarspring.Workflow) string {
	return balancer.Choose(a.config.DataCentre, w, a.options())
}

func (a *Admitter) options() (options []balancer.Option) {
	a.config.Replica.View(func(r *registrar.Registry) {
		options = balancer.Options(a.config.Now(), a.config.DataCentres, r, a.config.Catalogue)
	})
	return options
}

func (a *Admitter) isKnown(id briarspring.WorkflowID) bool {
	_, known := a.ownerOf(id)
	return known
}

// admit returns a *RefusedError if the workflow can't be accepted.
func (a *Admitter) admit(q briarspring.Queue, w *briarspring.Workflow) error {
	switch {
	case q.ExternallyAdvised:
		return &RefusedError{Reason: "queues with an advisory service are not supported"}
	case len(w.Steps) == 0:
		return &RefusedError{Reason: "the workflow has no steps"}
	case !a.Reachable():
		return &RefusedError{Reason: "the log is out of reach", RetryAfter: a.retryAfter()}
	case w.DataCentre == "":
		return &RefusedError{Reason: "no data centre is in service", RetryAfter: a.retryAfter()}
	}
	return nil
}

// decision is a record of a workflow that has to be stored.
type decision struct {
	workflow briarspring.WorkflowID
	record   func() briarspring.KeyedRecord // Called for each attempt.
	stored   func() bool                    // Reports whether the shared state shows it.
	// withdrawn returns why the record has no effect any more, wherever it was written
	// before, or nil. Optional.
	withdrawn func() error
}

// store retries a write until the record is stored, the context ends, or, after an
// attempt without a definite answer, the shared state shows it. Each attempt needs that
// the caller's key still counts.
func (a *Admitter) store(ctx context.Context, c *Caller, d decision) error {
	unknown := false
	for {
		if d.withdrawn != nil {
			if err := d.withdrawn(); err != nil {
				return err
			}
		}
		if err := a.recheck(c); err != nil && unknown {
			return &briarspring.NoAnswerError{Call: "store a decision on " + string(d.workflow), Cause: err}
		} else if err != nil {
			return err
		}
		err := a.config.Shared.Write(ctx, d.record())
		if err == nil {
			return nil
		}
		var refused *briarspring.NotExecutedError
		unknown = unknown || !errors.As(err, &refused)
		if unknown && d.stored() {
			return nil
		}
		if !unknown && !a.Reachable() {
			return &RefusedError{Reason: "the log is out of reach", RetryAfter: a.retryAfter()}
		}
		if sleeper.For(ctx, retryPause) == nil {
			continue
		}
		if unknown {
			return &briarspring.NoAnswerError{Call: "store a decision on " + string(d.workflow), Cause: err}
		}
		return &RefusedError{Reason: refused.Reason, RetryAfter: a.retryAfter()}
	}
}

// Phase returns the phase of a workflow, or false if it doesn't exist. The error is
// a *RefusedError if the local state is too old to decide that.
func (a *Admitter) Phase(ctx context.Context, id briarspring.WorkflowID) (phase briarspring.Phase, known bool, err error) {
	return a.phaseFor(ctx, &Caller{}, id)
}

// phaseFor is Phase for the workflows that a caller sees.
func (a *Admitter) phaseFor(ctx context.Context, c *Caller, id briarspring.WorkflowID) (phase briarspring.Phase, known bool, err error) {
	if phase, known = a.phase(c, id); known {
		return a.refreshed(ctx, c, id, phase), true, nil
	}
	// Another host may just have accepted it.
	if err := a.catchUp(ctx); err != nil {
		return 0, false, err
	}
	phase, known = a.phase(c, id)
	return phase, known, nil
}

// refreshed returns the phase of a workflow after a read, unless it is final
// already. Callers ask when they expect the end, and reading then spares a poll
// several times a second on every host.
func (a *Admitter) refreshed(ctx context.Context, c *Caller, id briarspring.WorkflowID, phase briarspring.Phase) briarspring.Phase {
	if phase.Final() {
		return phase
	}
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	a.config.Reading.Refresh(ctx)
	if newer, known := a.phase(c, id); known {
		return newer
	}
	return phase
}

func (a *Admitter) phase(c *Caller, id briarspring.WorkflowID) (phase briarspring.Phase, known bool) {
	a.config.Replica.View(func(r *registrar.Registry) {
		if e := r.Workflow(id); e != nil && c.sees(e.Workflow().Organisation) {
			phase, known = e.Phase(), true
		}
	})
	return phase, known
}

// catchUp waits until the state includes everything that was stored before the
// call. The error is a *RefusedError if that takes too long.
func (a *Admitter) catchUp(ctx context.Context) error {
	start := a.config.Now()
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	for a.Reachable() {
		a.config.Reading.Refresh(ctx)
		if fresh, ok := a.config.Reading.LastReadSent(); ok && fresh >= start {
			return nil
		}
		if sleeper.For(ctx, catchUpInterval) != nil {
			break
		}
	}
	return &RefusedError{Reason: "the shared state is too old to tell", RetryAfter: a.retryAfter()}
}
