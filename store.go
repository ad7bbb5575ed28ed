package briarspring

import "fmt"

// TrimmedError reports that requested records are no longer retained.
type TrimmedError struct {
	Stream string
	First  uint64 // Oldest offset that is retained.
}

// Error implements error.
func (e *TrimmedError) Error() string {
	return fmt.Sprintf("stream %s: records before offset %d are no longer kept", e.Stream, e.First)
}

// FencedError reports that a newer writer has taken over a stream.
type FencedError struct {
	Stream string
	Epoch  uint64 // Epoch of the refused append.
}

// Error implements error.
func (e *FencedError) Error() string {
	return fmt.Sprintf("stream %s: epoch %d was replaced by a newer one", e.Stream, e.Epoch)
}

// NotExecutedError reports that the platform certainly did not carry out a
// call.
type NotExecutedError struct {
	Call   string
	Reason string
}

// Error implements error.
func (e *NotExecutedError) Error() string { return e.Call + " was refused: " + e.Reason }

// NoAnswerError reports that the outcome of a call is unknown: it may have been
// carried out, or may still be.
type NoAnswerError struct {
	Call  string
	Cause error
}

// Error implements error.
func (e *NoAnswerError) Error() string { return fmt.Sprintf("%s got no answer: %v", e.Call, e.Cause) }

// Unwrap returns the cause.
func (e *NoAnswerError) Unwrap() error { return e.Cause }

// NewConnectionError reports that a call was not sent because its connection is
// new, so the worker may have restarted.
type NewConnectionError struct {
	Address string
}

// Error implements error.
func (e *NewConnectionError) Error() string { return "the connection to " + e.Address + " is new" }

// SequenceError reports that the sequence number of an append does not follow
// that of the writer's last append.
type SequenceError struct {
	Stream   string
	Sent     uint64
	Expected uint64
}

// Error implements error.
func (e *SequenceError) Error() string {
	return fmt.Sprintf("stream %s: sequence %d does not follow, expected %d", e.Stream, e.Sent, e.Expected)
}
