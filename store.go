package briarspring

import "fmt"

// TrimmedError tells that records that were asked for are no longer kept.
type TrimmedError struct {
	Stream string
	First  uint64 // Oldest offset that is kept.
}

// Error implements error.
func (e *TrimmedError) Error() string {
	return fmt.Sprintf("stream %s: records before offset %d are no longer kept", e.Stream, e.First)
}

// FencedError tells that a newer writer has taken a stream over.
type FencedError struct {
	Stream string
	Epoch  uint64 // Of the refused append.
}

// Error implements error.
func (e *FencedError) Error() string {
	return fmt.Sprintf("stream %s: epoch %d was replaced by a newer one", e.Stream, e.Epoch)
}

// NotDoneError tells that the platform certainly did nothing.
type NotDoneError struct {
	Call   string
	Reason string
}

// Error implements error.
func (e *NotDoneError) Error() string { return e.Call + " was refused: " + e.Reason }

// DoubtError tells that a call may have been carried out, or may be later.
type DoubtError struct {
	Call  string
	Cause error
}

// Error implements error.
func (e *DoubtError) Error() string { return fmt.Sprintf("%s got no answer: %v", e.Call, e.Cause) }

// Unwrap returns the cause.
func (e *DoubtError) Unwrap() error { return e.Cause }

// NewConnectionError tells that a call was not sent, because its connection is
// new and the worker may have begun a new life.
type NewConnectionError struct {
	Address string
}

// Error implements error.
func (e *NewConnectionError) Error() string { return "the connection to " + e.Address + " is new" }

// SequenceError tells that an append does not follow the writer's last one.
type SequenceError struct {
	Stream   string
	Sent     uint64
	Expected uint64
}

// Error implements error.
func (e *SequenceError) Error() string {
	return fmt.Sprintf("stream %s: sequence %d does not follow, expected %d", e.Stream, e.Sent, e.Expected)
}
