package admitter

import (
	"context"
	"fmt"
	"slices"
	"time"

	"briarspring"
	"briarspring/registrar"
	"briarspring/sleeper"
)

// Causes for which a call is refused for its key; they are the outcomes of the counter
// "key".
const (
	// CauseMissing is that the queue needs a key and the call has none.
	CauseMissing = "missing"
	// CauseUnknown is that no organisation of a recently read directory has the key.
	CauseUnknown = "unknown"
	// CauseUncertain is that the directory was not read recently, and a newer version
	// may have the key.
	CauseUncertain = "uncertain"
	// CauseRevocation is that the directory was not read recently, and a newer version
	// may lack the key.
	CauseRevocation = "revocation"
)

// KeyError reports that a call was refused for its key and had no effect. It does not
// contain the key.
type KeyError struct {
	Queue        string
	Cause        string
	Version      uint64        // Of the directory that was decided by.
	DirectoryAge time.Duration // Time since it was read.
	RetryAfter   time.Duration // 0 if a retry with the same key can't succeed.
}

// Error implements error.
func (e *KeyError) Error() string {
	if e.RetryAfter > 0 {
		return "refused: the directory of keys is out of reach"
	}
	return "the call has no valid key"
}

// Caller is who made a call, and the queue that the call is for.
type Caller struct {
	Queue        briarspring.Queue
	Organisation string // Empty for none.
	Version      uint64 // Of the directory that the call was accepted by.

	identified bool // False for operators.
	hasKey     bool
	digest     briarspring.KeyDigest
	limited    bool // The caller sees its organisation's workflows, and those without one.
}

// sees reports whether a workflow of an organisation exists for the caller. Workflows
// without an organisation exist for all: among them are those from before keys were
// required. The zero Caller, an operator, sees all.
func (c *Caller) sees(organisation string) bool {
	return !c.limited || organisation == "" || organisation == c.Organisation
}

// logFields appends the organisation to the fields of a log line, if there are
// organisations.
func (c *Caller) logFields(fields ...any) []any {
	if c.limited {
		fields = append(fields, "organisation", c.Organisation)
	}
	return fields
}

// Identify returns the caller who sent a key, or an empty one for none, with a call for a
// host and path, and the rest of the path as Find does. The error is a *KeyError or one
// of Find's. It computes one hash.
func (a *Admitter) Identify(host, path, key string) (c Caller, rest string, err error) {
	directory, index, ok := a.config.Catalogue.Snapshot()
	if c.Queue, rest, err = a.find(directory, ok, host, path); err != nil {
		return Caller{}, "", err
	}
	c.identified = true
	if key != "" {
		c.hasKey, c.digest = true, a.config.Digest(key)
	}
	return c, rest, a.authorise(&c, directory, index)
}

// authorise sets the caller's organisation by a version of the directory. The error is a
// *KeyError.
func (a *Admitter) authorise(c *Caller, directory briarspring.Directory, index *briarspring.KeyIndex) error {
	c.Version, c.limited, c.Organisation = directory.Version, directory.KeysRequired, ""
	if !directory.KeysRequired {
		return nil
	}
	name, known := "", false
	if c.hasKey {
		name, known = index.Organisation(c.digest)
	}
	switch {
	case known && a.mayBeRevoked():
		return a.keyError(c, CauseRevocation)
	case known:
		c.Organisation = name
		return nil
	case c.Queue.Public:
		return nil
	case !c.hasKey:
		return a.keyError(c, CauseMissing)
	case !isFresh(a.config.DirectoryReading):
		return a.keyError(c, CauseUncertain)
	}
	return a.keyError(c, CauseUnknown)
}

// mayBeRevoked reports whether the directory is so old that known keys don't count any
// more.
func (a *Admitter) mayBeRevoked() bool {
	if a.config.MaxKeyAge == 0 {
		return false
	}
	age, ok := a.config.DirectoryReading.Age()
	return !ok || age >= a.config.MaxKeyAge
}

// keyError counts a refusal and returns its error.
func (a *Admitter) keyError(c *Caller, cause string) error {
	a.outcomes.Observe("key", cause, 0)
	e := &KeyError{Queue: c.Queue.Name, Cause: cause, Version: c.Version}
	e.DirectoryAge, _ = a.config.DirectoryReading.Age()
	if cause == CauseUncertain || cause == CauseRevocation {
		e.RetryAfter = retryAfterRead(a.config.DirectoryReading)
	}
	return e
}

// renew authorises a caller by the present directory, since the key may have been removed
// while the call's body was read or its answer looked up.
func (a *Admitter) renew(c *Caller) error {
	directory, index, _ := a.config.Catalogue.Snapshot()
	for _, q := range directory.Queues {
		if q.Name == c.Queue.Name {
			c.Queue.Public = q.Public
		}
	}
	return a.authorise(c, directory, index)
}

// recheck returns a *KeyError, or a *RefusedError, unless a caller still has the key of
// the same organisation.
func (a *Admitter) recheck(c *Caller) error {
	if !c.identified {
		return nil
	}
	now := *c
	if err := a.renew(&now); err != nil {
		return err
	}
	if now.Organisation != c.Organisation || now.limited != c.limited {
		return &RefusedError{Reason: "the configuration has just changed", RetryAfter: minRetryAfter}
	}
	return nil
}

// SubmitFor accepts a caller's workflow and stores it with the caller's organisation. It
// returns what Submit does, or a *KeyError. A workflow with the ID of another
// organisation's one is refused.
func (a *Admitter) SubmitFor(ctx context.Context, c Caller, w *briarspring.Workflow) error {
	start := time.Now()
	err := a.renew(&c)
	if err == nil {
		w.Organisation = c.Organisation
		err = a.submit(ctx, c, w)
	}
	a.outcomes.Observe("submit", outcomeOf(err), time.Since(start))
	return err
}

// PhaseFor returns what Phase does. For workflows of other organisations than the
// caller's, it does what Phase does for those that don't exist. The error may also be a
// *KeyError.
func (a *Admitter) PhaseFor(ctx context.Context, c Caller, id briarspring.WorkflowID) (phase briarspring.Phase, known bool, err error) {
	phase, known, err = a.phaseFor(ctx, &c, id)
	if err := a.recheck(&c); err != nil {
		return 0, false, err
	}
	return phase, known, err
}

// ownerOf returns the organisation of a workflow, or false if this host knows no such
// workflow.
func (a *Admitter) ownerOf(id briarspring.WorkflowID) (organisation string, known bool) {
	a.config.Replica.View(func(r *registrar.Registry) {
		if e := r.Workflow(id); e != nil {
			organisation, known = e.Workflow().Organisation, true
		}
	})
	return organisation, known
}

// checkGangs returns a *RefusedError if a gang exceeds the limit of its organisation by
// more than one task, so that it could never run.
func (a *Admitter) checkGangs(c *Caller, w *briarspring.Workflow) error {
	if w.Organisation == "" {
		return nil
	}
	directory, _ := a.config.Catalogue.Directory()
	i := slices.IndexFunc(directory.Organisations, func(o briarspring.Organisation) bool { return o.Name == w.Organisation })
	if i < 0 {
		return nil
	}
	limit := directory.Organisations[i].Limit
	for number, s := range w.Steps {
		if !s.Gang || gangMayRun(s.Resources, s.Tasks, limit) {
			continue
		}
		err := &RefusedError{Reason: fmt.Sprintf("step %d needs more than its organisation may use at once", number)}
		a.config.Logger.Info("submission refused", c.logFields("workflow", w.ID, "queue", c.Queue.Name, "directory-version", directory.Version,
			"task", s.Resources.String(), "tasks", s.Tasks, "limit", limit.String(), "error", err)...)
		return err
	}
	return nil
}

// gangMayRun reports whether all tasks but one are within a limit, whose zero fields are
// no limit.
func gangMayRun(task briarspring.Resources, tasks int, limit briarspring.Resources) bool {
	// Divided, since the product may exceed an int64.
	within := func(n, limit int64) bool { return limit <= 0 || tasks <= 1 || n <= limit/int64(tasks-1) }
	return within(task.MilliCPU(), limit.MilliCPU()) && within(task.MemoryMiB(), limit.MemoryMiB()) &&
		within(task.Accelerators(), limit.Accelerators())
}

// takenError returns the refusal of a workflow whose ID another organisation's workflow
// has. It doesn't tell that such a workflow exists.
func (a *Admitter) takenError(c *Caller, id briarspring.WorkflowID, owner string) error {
	a.outcomes.Observe("key", "id-taken", 0)
	a.config.Logger.Info("submission refused", c.logFields("workflow", id, "queue", c.Queue.Name, "directory-version", c.Version,
		"error", fmt.Sprintf("the ID is a workflow's of organisation %q", owner))...)
	return &RefusedError{Reason: "the workflow can't be accepted"}
}

// confirm returns a *RefusedError if another organisation's workflow with the ID was
// stored before the caller's, at another host. It waits for at most refreshTimeout until
// this host has read the caller's one.
func (a *Admitter) confirm(ctx context.Context, c *Caller, id briarspring.WorkflowID) error {
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	for {
		if owner, known := a.ownerOf(id); known {
			if c.sees(owner) {
				return nil
			}
			return a.takenError(c, id, owner)
		}
		a.config.Reading.Refresh(ctx)
		if _, known := a.ownerOf(id); !known && sleeper.For(ctx, catchUpInterval) != nil {
			return nil
		}
	}
}
