package briarspring

import (
	"errors"
	"fmt"
)

// Verdict is a worker's answer to an order.
type Verdict uint8

// The answers to an order.
const (
	VerdictDone       Verdict = iota + 1
	VerdictUnanswered         // The order may be carried out, now or later.
	VerdictSuperseded         // The worker has accepted a newer owner's token.
	VerdictBarred             // The run's number is not above one that ended there.
	VerdictLate               // The order's time is over.
	VerdictFull               // The worker has no room.
	VerdictInvalid            // The worker can't make sense of the order.
	VerdictUnhealthy          // The worker did nothing, because it is not well.
	VerdictOtherLife          // The worker is another one by now.
)

// String returns the verdict in kebab case.
func (v Verdict) String() string {
	names := [...]string{
		"", "done", "unanswered", "superseded", "barred", "late", "full", "invalid", "unhealthy", "other-life",
	}
	if int(v) < len(names) {
		return names[v]
	}
	return fmt.Sprintf("verdict-%d", uint8(v))
}

// OrderRefusedError tells that a worker did not carry out an order.
type OrderRefusedError struct {
	Verdict Verdict
}

// Error implements error.
func (e *OrderRefusedError) Error() string { return "order refused: " + e.Verdict.String() }

// VerdictOf returns the answer that an error stands for. Errors other than
// *OrderRefusedError leave open whether the order is carried out.
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
