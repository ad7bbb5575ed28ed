package registrar

import (
	"math/rand/v2"
	"strconv"

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
	prefixBeat       = "b/"
	prefixHost       = "h/"
	prefixRetire     = "q/"
	prefixModel      = "p/"
)

// SubmissionKey returns the key of one try to submit a workflow.
func SubmissionKey(id briarspring.WorkflowID, try string) string {
	return prefixSubmission + string(id) + "/" + try
}

// CancelKey returns the key of a workflow's cancellation.
func CancelKey(id briarspring.WorkflowID) string { return prefixCancel + string(id) }

// RunningKey returns the key of the mark that a workflow has started.
func RunningKey(id briarspring.WorkflowID) string { return prefixRunning + string(id) }

// FinalKey returns the key of a workflow's final phase.
func FinalKey(id briarspring.WorkflowID) string { return prefixFinal + string(id) }

// TransferKey returns the key of one try to record a transfer of a workflow's
// tasks; number tells the transfers of one token apart.
func TransferKey(id briarspring.WorkflowID, token uint64, number int, try string) string {
	return prefixTransfer + string(id) + "/" + strconv.FormatUint(token, 10) + "." + strconv.Itoa(number) + "/" + try
}

// ClaimKey returns the key of one try to claim a data centre.
func ClaimKey(dataCentre, try string) string { return prefixClaim + dataCentre + "/" + try }

// NewTry returns a name for one append of a record whose place in the stream
// decides its effect. A store keeps the newest record of a key only, so a record
// that is appended again under the same key would seem to stand where the last
// try does.
func NewTry() string { return strconv.FormatUint(rand.Uint64(), 36) }

// BeatKey returns the key of the sign of life of a data centre's owner.
func BeatKey(dataCentre string) string { return prefixBeat + dataCentre }

// HostKey returns the key of a host's presence.
func HostKey(host string) string { return prefixHost + host }

// RetireKey returns the key of the retirement of the owner under a token.
func RetireKey(dataCentre string, token uint64) string {
	return prefixRetire + dataCentre + "/" + strconv.FormatUint(token, 10)
}

// ModelKey returns the key of what a data centre's owner has learned.
func ModelKey(dataCentre string) string { return prefixModel + dataCentre }
