package briarspring

import "fmt"

// InvalidError reports why an object or command is not valid.
type InvalidError struct {
	Object string // Kind and name, such as "service/ledger".
	Reason string
}

// Error implements error.
func (e *InvalidError) Error() string { return fmt.Sprintf("%s: %s", e.Object, e.Reason) }

// ConflictError reports that a command was based on a version that is no longer
// current.
type ConflictError struct {
	Object   string
	Expected uint64 // Version that the command was based on.
	InForce  uint64 // Current version according to the log.
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s: based on version %d, but version %d is in force", e.Object, e.Expected, e.InForce)
}

// NotFoundError reports that an object does not exist.
type NotFoundError struct {
	Object string
}

// Error implements error.
func (e *NotFoundError) Error() string { return e.Object + " does not exist" }

// VoidError reports why a placement event has no effect.
type VoidError struct {
	Event  string
	Reason string
}

// Error implements error.
func (e *VoidError) Error() string { return fmt.Sprintf("%s is void: %s", e.Event, e.Reason) }
