package admitter

import (
	"context"
	"time"

	"briarspring"
	"briarspring/encoder"
	"briarspring/registrar"
)

// maxEarlyCancellations is the number of recorded cancellations of unknown workflows for
// each organisation. Every host holds them, and anybody can cancel what never was.
const maxEarlyCancellations = 4096

// Cancel cancels a workflow; known is false if no host knew it. A submission of it that is
// stored later is cancelled as well. The error is a *RefusedError or a
// *briarspring.NoAnswerError.
func (a *Admitter) Cancel(ctx context.Context, id briarspring.WorkflowID) (known bool, err error) {
	phase, known, err := a.Phase(ctx, id)
	return a.cancel(ctx, &Caller{}, id, phase, known, err)
}

// CancelFor cancels a caller's workflow as Cancel does; those of other organisations
// don't exist. The error may also be a *KeyError.
func (a *Admitter) CancelFor(ctx context.Context, c Caller, id briarspring.WorkflowID) (known bool, err error) {
	phase, known, err := a.PhaseFor(ctx, c, id)
	return a.cancel(ctx, &c, id, phase, known, err)
}

// cancel cancels a workflow whose phase was looked up.
func (a *Admitter) cancel(ctx context.Context, c *Caller, id briarspring.WorkflowID, phase briarspring.Phase, known bool, err error) (bool, error) {
	if err != nil || known && phase.Final() {
		return known, err
	}
	start := time.Now()
	outcome := "cancel"
	if known {
		err = a.store(ctx, c, decision{
			workflow: id,
			record: func() briarspring.KeyedRecord {
				return briarspring.KeyedRecord{Key: registrar.CancelKey(id), Value: []byte{1}}
			},
			stored: func() bool {
				phase, known := a.phase(c, id)
				return !known || phase.Final()
			},
		})
	} else {
		outcome, err = "cancel-unknown", a.cancelUnknown(ctx, c, id)
	}
	a.outcomes.Observe(outcome, outcomeOf(err), time.Since(start))
	a.config.Logger.Info("cancellation", c.logFields("workflow", id, "known", known, "phase", phase.String(), "stored", err == nil, "error", err)...)
	return known, err
}

// cancelUnknown records the cancellation of a workflow that is not in the log yet. A
// write of its submission may still be under way, here or at another host, and the
// caller may rely on the cancellation.
func (a *Admitter) cancelUnknown(ctx context.Context, c *Caller, id briarspring.WorkflowID) error {
	if _, err := briarspring.NewWorkflowID(string(id)); err != nil {
		return nil // No submission can have this ID, and the log may not take a key with it.
	}
	content := briarspring.EarlyCancellation{DataCentre: a.config.DataCentre, Organisation: c.Organisation, Limited: c.limited}
	recorded, count := false, 0
	a.config.Replica.View(func(r *registrar.Registry) {
		recorded, count = r.HasEarlyCancellation(id, content), r.EarlyCancellations(c.Organisation)
	})
	switch {
	case recorded:
		return nil
	case count >= maxEarlyCancellations:
		return &RefusedError{Reason: "too many unknown workflows were cancelled lately", RetryAfter: maxRetryAfter}
	}
	value, err := encoder.EncodeEarlyCancellation(content)
	if err != nil {
		return &RefusedError{Reason: err.Error()}
	}
	return a.store(ctx, c, decision{
		workflow: id,
		record: func() briarspring.KeyedRecord {
			return briarspring.KeyedRecord{Key: registrar.EarlyCancelKey(id, content), Value: value}
		},
		stored: func() (stored bool) {
			a.config.Replica.View(func(r *registrar.Registry) { stored = r.HasEarlyCancellation(id, content) })
			return stored
		},
	})
}

// checkCancelled returns a *RefusedError if a workflow was cancelled before it was known.
// None of its submissions can run, including those that were written before.
func (a *Admitter) checkCancelled(w *briarspring.Workflow) error {
	cancelled := false
	a.config.Replica.View(func(r *registrar.Registry) { cancelled = r.CancelledEarly(w.ID, w.Organisation) })
	if cancelled {
		return &RefusedError{Reason: "the workflow was cancelled before it was accepted"}
	}
	return nil
}
