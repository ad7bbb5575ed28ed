package registrar

import (
	"math/rand/v2"
	"strconv"
	"strings"

	"briarspring"
)

// Key prefixes of the shared stream.
const (
	prefixSubmission = "j/"
	prefixCancel     = "c/"
	prefixRunning    = "r/"
	prefixFinal      = "f/"
	prefixTransfer   = "t/"
	prefixClaim      = "o/"
	prefixHeartbeat  = "b/"
	prefixHost       = "h/"
	prefixRetire     = "q/"
	prefixModel      = "p/"
	prefixInventory  = "i/"
	prefixEnd        = "e/"
	prefixDirectory  = "d/"
)

// prefixKnownWorker is the prefix of workers' keys in progress streams. The other keys
// there are IDs of workflows.
const prefixKnownWorker = "w/"

// KnownWorkerKey returns the key of a worker in a progress stream.
func KnownWorkerKey(worker string) string { return prefixKnownWorker + worker }

// IsKnownWorkerKey reports whether a key of a progress stream is a worker's.
func IsKnownWorkerKey(key string) bool { return strings.HasPrefix(key, prefixKnownWorker) }

// SubmissionKey returns the key of one attempt to submit a workflow.
func SubmissionKey(id briarspring.WorkflowID, attempt string) string {
	return prefixSubmission + string(id) + "/" + attempt
}

// CancelKey returns the key of a workflow's cancellation.
func CancelKey(id briarspring.WorkflowID) string { return prefixCancel + string(id) }

// RunningKey returns the key of the record that a workflow has started.
func RunningKey(id briarspring.WorkflowID) string { return prefixRunning + string(id) }

// FinalKey returns the key of a workflow's final phase.
func FinalKey(id briarspring.WorkflowID) string { return prefixFinal + string(id) }

// TransferKey returns the key of one attempt to record a transfer of a
// workflow's tasks; number distinguishes the transfers under one token.
func TransferKey(id briarspring.WorkflowID, token uint64, number int, attempt string) string {
	return prefixTransfer + string(id) + "/" + strconv.FormatUint(token, 10) + "." + strconv.Itoa(number) + "/" + attempt
}

// EndKey returns the key of the end of a run whose task has moved to another data
// centre.
func EndKey(run briarspring.RunRef) string {
	t := run.Task
	return prefixEnd + string(t.Workflow) + "/" + strconv.Itoa(t.Occurrence) + "." + strconv.Itoa(t.Step) + "." + strconv.Itoa(t.Index) +
		"." + strconv.FormatUint(uint64(run.Run), 10)
}

// ClaimKey returns the key of one attempt to claim a data centre.
func ClaimKey(dataCentre, attempt string) string { return prefixClaim + dataCentre + "/" + attempt }

// NewAttemptID returns a unique key suffix for one append of a record whose
// effect depends on its offset. The store keeps only the newest record of each
// key, so a record appended again under the same key would appear at the offset
// of the last append.
func NewAttemptID() string { return strconv.FormatUint(rand.Uint64(), 36) }

// HeartbeatKey returns the key of the heartbeat of a data centre's owner.
func HeartbeatKey(dataCentre string) string { return prefixHeartbeat + dataCentre }

// HostKey returns the key of a host's presence.
func HostKey(host string) string { return prefixHost + host }

// RetireKey returns the key of the retirement of the owner under a token.
func RetireKey(dataCentre string, token uint64) string {
	return prefixRetire + dataCentre + "/" + strconv.FormatUint(token, 10)
}

// DirectoryKey returns the key of the copy of a record of the directory stream.
func DirectoryKey(key string) string { return prefixDirectory + key }

// CopiedDirectoryKey returns the key that a record of the directory stream has if key
// is the key of its copy, and false otherwise.
func CopiedDirectoryKey(key string) (string, bool) { return strings.CutPrefix(key, prefixDirectory) }

// InventoryKey returns the key of a data centre's inventory.
func InventoryKey(dataCentre string) string { return prefixInventory + dataCentre }

// ModelKey returns the key of the interference models that a data centre's
// owner has learned.
func ModelKey(dataCentre string) string { return prefixModel + dataCentre }
