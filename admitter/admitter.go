// Package admitter takes workflows from callers: it finds the queue, decides
// whether a workflow is accepted and which data centre runs it, and answers
// when the acceptance is stored.
package admitter

import (
	"context"
	"errors"
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
	Out(dataCentre string) bool
}

// Freshness tells how current a followed stream is.
type Freshness interface {
	// Fresh returns when the last successful read was sent.
	Fresh() (time.Duration, bool)
	// Age returns the time since then.
	Age() (time.Duration, bool)
}

// Config holds the settings of an Admitter.
type Config struct {
	DataCentre  string
	DataCentres []string
	Shared      Writer
	Catalogue   Catalogue
	Replica     *replicator.Replica
	Reading     Freshness
	Now         func() time.Duration
	Logger      hclog.Logger
}

const (
	// staleAge of the shared state from which the log counts as out of reach;
	// reads wait up to 1 s and take up to 0.8 s through a slow store.
	staleAge = 2200 * time.Millisecond
	// retryPause between two tries to store an acceptance.
	retryPause = 60 * time.Millisecond
	// catchUpLimit bounds the wait for a read of the shared state: hosts begin one
	// every 0.2 s, and it waits up to 1 s for a record.
	catchUpLimit = 1600 * time.Millisecond
	// catchUpPause between two looks at the last read.
	catchUpPause = 10 * time.Millisecond
)

// RefusedError tells that a request was refused and has no effect.
type RefusedError struct {
	Reason     string
	RetryAfter time.Duration // Zero when trying again is of no use.
}

// Error implements error.
func (e *RefusedError) Error() string { return "refused: " + e.Reason }

// UnknownQueueError tells that no queue takes requests of that host and path.
type UnknownQueueError struct {
	Host string
	Path string
}

// Error implements error.
func (e *UnknownQueueError) Error() string { return "no queue for " + e.Host + e.Path }

// Admitter takes workflows from callers.
type Admitter struct {
	config   Config
	outcomes *counter.Counter
}

// New returns an admitter.
func New(c Config) *Admitter {
	if c.Logger == nil {
		c.Logger = hclog.NewNullLogger()
	}
	return &Admitter{config: c, outcomes: counter.New()}
}

// Reachable reports whether the log was read recently.
func (a *Admitter) Reachable() bool {
	age, ok := a.config.Reading.Age()
	return ok && age < staleAge
}

// retryAfter returns when a refused caller should try again.
func (a *Admitter) retryAfter() time.Duration {
	age, ok := a.config.Reading.Age()
	if !ok {
		return leastRetry
	}
	return retryAfter(age)
}

// Ready reports whether this host can accept work, and else why not.
func (a *Admitter) Ready() (bool, string) {
	if _, ok := a.config.Catalogue.Directory(); !ok {
		return false, "no directory was read yet"
	}
	if !a.Reachable() {
		return false, "the log is out of reach"
	}
	return true, ""
}

// Find returns the queue with the longest prefix of a path, and what follows
// the prefix. Errors are *RefusedError before a directory was read, and
// *UnknownQueueError.
func (a *Admitter) Find(host, path string) (queue briarspring.Queue, rest string, err error) {
	directory, ok := a.config.Catalogue.Directory()
	if !ok {
		return briarspring.Queue{}, "", &RefusedError{Reason: "no directory was read yet", RetryAfter: leastRetry}
	}
	found := false
	for _, q := range directory.Queues {
		if q.Host == host && strings.HasPrefix(path, q.Prefix) && (!found || len(q.Prefix) > len(queue.Prefix)) {
			queue, found = q, true
		}
	}
	if !found {
		return briarspring.Queue{}, "", &UnknownQueueError{Host: host, Path: path}
	}
	return queue, path[len(queue.Prefix):], nil
}

// Queue returns the queue of a name. Errors are *RefusedError before a directory
// was read, and *briarspring.NotFoundError.
func (a *Admitter) Queue(name string) (briarspring.Queue, error) {
	directory, ok := a.config.Catalogue.Directory()
	if !ok {
		return briarspring.Queue{}, &RefusedError{Reason: "no directory was read yet", RetryAfter: leastRetry}
	}
	for _, q := range directory.Queues {
		if q.Name == name {
			return q, nil
		}
	}
	return briarspring.Queue{}, &briarspring.NotFoundError{Object: "queue/" + name}
}

// Directory returns the operators' configuration of queues; false before it was
// read.
func (a *Admitter) Directory() (briarspring.Directory, bool) { return a.config.Catalogue.Directory() }

// DataCentres returns the data centres as this host sees them.
func (a *Admitter) DataCentres() []balancer.Option { return a.options() }

// View calls f with the shared state, which must not be used afterwards.
func (a *Admitter) View(f func(*registrar.Registry)) { a.config.Replica.View(f) }

// Submit accepts a workflow. It returns nil when the workflow is stored, now or
// before, a *RefusedError when it never runs, and a *briarspring.DoubtError when
// it may run.
func (a *Admitter) Submit(ctx context.Context, q briarspring.Queue, w *briarspring.Workflow) error {
	began := time.Now()
	err := a.submit(ctx, q, w)
	a.outcomes.Observe("submit", outcomeOf(err), time.Since(began))
	return err
}

// Outcomes returns the counts and times of requests by outcome.
func (a *Admitter) Outcomes() map[string]map[string]float64 { return a.outcomes.Snapshot() }

func outcomeOf(err error) string {
	var refused *RefusedError
	switch {
	case err == nil:
		return "accepted"
	case errors.As(err, &refused):
		return "refused"
	}
	return "doubt"
}

func (a *Admitter) submit(ctx context.Context, q briarspring.Queue, w *briarspring.Workflow) error {
	if a.known(w.ID) {
		a.config.Logger.Info("submission repeated", "workflow", w.ID)
		return nil
	}
	w.Queue, w.Service, w.Priority = q.Name, q.Service, q.Priority
	w.MaxAttempts, w.Stretch, w.Allowance = q.MaxAttempts, q.Stretch, q.Allowance
	w.Submitted = time.Now()
	if len(w.Steps) > 0 {
		w.DataCentre = a.choose(w)
	}
	if err := a.admit(q, w); err != nil {
		age, _ := a.config.Reading.Age()
		a.config.Logger.Info("submission refused", "workflow", w.ID, "queue", q.Name, "state-age-ms", age.Milliseconds(), "error", err)
		return err
	}
	value, err := encoder.Submission(w)
	if err != nil {
		return &RefusedError{Reason: err.Error()}
	}
	err = a.store(ctx, w.ID, func() briarspring.KeyedRecord {
		return briarspring.KeyedRecord{Key: registrar.SubmissionKey(w.ID, registrar.NewTry()), Value: value}
	})
	age, _ := a.config.Reading.Age()
	a.config.Logger.Info("submission", "workflow", w.ID, "queue", q.Name, "data-centre", w.DataCentre, "tasks", w.TaskCount(),
		"state-age-ms", age.Milliseconds(), "took-ms", time.Since(w.Submitted).Milliseconds(), "stored", err == nil, "error", err)
	return err
}

// choose picks the data centre for a new workflow.
func (a *Admitter) choose(w *briarspring.Workflow) string {
	return balancer.Choose(a.config.DataCentre, w, a.options())
}

func (a *Admitter) options() (options []balancer.Option) {
	a.config.Replica.View(func(r *registrar.Registry) {
		options = balancer.Options(a.config.Now(), a.config.DataCentres, r, a.config.Catalogue)
	})
	return options
}

func (a *Admitter) known(id briarspring.WorkflowID) bool {
	known := false
	a.config.Replica.View(func(r *registrar.Registry) { known = r.Workflow(id) != nil })
	return known
}

// admit returns why a workflow can't be accepted, or nil.
func (a *Admitter) admit(q briarspring.Queue, w *briarspring.Workflow) error {
	switch {
	case q.Advised:
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

// store writes a record until it is stored, the context ends, or the workflow
// is known after a try to submit it had no answer. Each try asks for the record
// anew.
func (a *Admitter) store(ctx context.Context, id briarspring.WorkflowID, record func() briarspring.KeyedRecord) error {
	doubt := false
	known := a.known(id)
	for {
		err := a.config.Shared.Write(ctx, record())
		if err == nil {
			return nil
		}
		var refused *briarspring.NotDoneError
		doubt = doubt || !errors.As(err, &refused)
		if doubt && !known && a.known(id) {
			return nil
		}
		if !doubt && !a.Reachable() {
			return &RefusedError{Reason: "the log is out of reach", RetryAfter: a.retryAfter()}
		}
		if sleeper.For(ctx, retryPause) == nil {
			continue
		}
		if doubt {
			return &briarspring.DoubtError{Call: "store a decision on " + string(id), Cause: err}
		}
		return &RefusedError{Reason: refused.Reason, RetryAfter: a.retryAfter()}
	}
}

// Phase returns how far a workflow has come; false for one that does not exist.
// The error is a *RefusedError while the state is too old to tell.
func (a *Admitter) Phase(ctx context.Context, id briarspring.WorkflowID) (phase briarspring.Phase, known bool, err error) {
	if phase, known = a.phase(id); known {
		return phase, true, nil
	}
	// Another host may have accepted it a moment ago.
	if err := a.catchUp(ctx); err != nil {
		return 0, false, err
	}
	phase, known = a.phase(id)
	return phase, known, nil
}

func (a *Admitter) phase(id briarspring.WorkflowID) (phase briarspring.Phase, known bool) {
	a.config.Replica.View(func(r *registrar.Registry) {
		if e := r.Workflow(id); e != nil {
			phase, known = e.Phase(), true
		}
	})
	return phase, known
}

// catchUp waits until the state covers everything that was stored before the
// call. The error is a *RefusedError when that takes too long.
func (a *Admitter) catchUp(ctx context.Context) error {
	asked := a.config.Now()
	ctx, cancel := context.WithTimeout(ctx, catchUpLimit)
	defer cancel()
	for a.Reachable() {
		if fresh, ok := a.config.Reading.Fresh(); ok && fresh >= asked {
			return nil
		}
		if sleeper.For(ctx, catchUpPause) != nil {
			break
		}
	}
	return &RefusedError{Reason: "the shared state is too old to tell", RetryAfter: a.retryAfter()}
}

// Cancel ends a workflow; false for one that does not exist. Errors are
// *RefusedError and *briarspring.DoubtError.
func (a *Admitter) Cancel(ctx context.Context, id briarspring.WorkflowID) (known bool, err error) {
	phase, known, err := a.Phase(ctx, id)
	if err != nil || !known || phase.Final() {
		return known, err
	}
	began := time.Now()
	defer func() { a.outcomes.Observe("cancel", outcomeOf(err), time.Since(began)) }()
	err = a.store(ctx, id, func() briarspring.KeyedRecord {
		return briarspring.KeyedRecord{Key: registrar.CancelKey(id), Value: []byte{1}}
	})
	a.config.Logger.Info("cancellation", "workflow", id, "phase", phase.String(), "stored", err == nil, "error", err)
	return true, err
}

// Waiting returns the number of a queue's workflows of which no task has
// started.
func (a *Admitter) Waiting(q briarspring.Queue) int {
	n := 0
	a.config.Replica.View(func(r *registrar.Registry) { n = r.Waiting(q.Name) })
	return n
}
