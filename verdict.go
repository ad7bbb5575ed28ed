package briarspring

import (
	"errors"
	"fmt"
)

// Verdict is a worker's reply to an order.
type Verdict uint8

// The replies to an order.
const (
	VerdictDone             Verdict = iota + 1
	VerdictUnanswered               // No reply: the order may be carried out, now or later.
	VerdictSuperseded               // The worker has accepted a newer owner's token.
	VerdictStaleRun                 // The run's number is not above that of an earlier run of the task on the worker.
	VerdictExpired                  // The order's deadline has passed.
	VerdictFull                     // The worker lacks free resources.
	VerdictInvalid                  // The worker can't parse or apply the order.
	VerdictUnhealthy                // The worker is overloaded or unavailable and did nothing.
	VerdictOtherIncarnation         // Another worker, or a new incarnation, has taken over the address.
	VerdictUnsent                   // There was no connection to the worker, so the order can't arrive later either.
)

// String returns the verdict in kebab case.
func (v Verdict) String() string {
	names := [...]string{
		"", "done", "unanswered", "superseded", "barred", "late", "full", "invalid", "unhealthy", "other-life", "unsent",
	}
	if int(v) < len(names) {
		return names[v]
	}
	return fmt.Sprintf("verdict-%d", uint8(v))
}

// OrderRefusedError reports that a worker did not carry out an order and won't.
type OrderRefusedError struct {
	Verdict Verdict
}

// Error implements error.
func (e *OrderRefusedError) Error() string { return "order refused: " + e.Verdict.String() }

// VerdictOf returns the verdict that an error stands for. With errors other than
// *OrderRefusedError, the order may or may not be carried out.
func VerdictOf(err error) Verdict {
	var refused *OrderRefusedError
	switch {
	case err == nil:
		return VerdictDone
	case errors.As(err, &refused):
		return refused.Verdict
	}
	return VerdictUnanswered
}
