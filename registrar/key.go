package registrar

import (
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
)

// SubmissionKey returns the key of one try to submit a workflow. Every append
// has a name of its own, so that all of them stay readable and the first one is
// known for good.
func SubmissionKey(id briarspring.WorkflowID, try string) string {
	return prefixSubmission + string(id) + "/" + try
}

// CancelKey returns the key of a workflow's cancellation.
func CancelKey(id briarspring.WorkflowID) string { return prefixCancel + string(id) }

// RunningKey returns the key of the mark that a workflow has started.
func RunningKey(id briarspring.WorkflowID) string { return prefixRunning + string(id) }

// FinalKey returns the key of a workflow's final phase.
func FinalKey(id briarspring.WorkflowID) string { return prefixFinal + string(id) }

// TransferKey returns the key of a transfer of a workflow's tasks; number tells
// the transfers of one token apart.
func TransferKey(id briarspring.WorkflowID, token uint64, number int) string {
	return prefixTransfer + string(id) + "/" + strconv.FormatUint(token, 10) + "." + strconv.Itoa(number)
}

// ClaimKey returns the key of a claim. Claims that compete have different keys,
// so that the first one stays readable.
func ClaimKey(c briarspring.DataCentreClaim) string {
	return prefixClaim + c.DataCentre + "/" + strconv.FormatUint(c.Previous, 10) + "/" + c.Owner + "/" +
		strconv.FormatInt(c.Incarnation, 10)
}

// BeatKey returns the key of the sign of life of a data centre's owner.
func BeatKey(dataCentre string) string { return prefixBeat + dataCentre }

// HostKey returns the key of a host's presence.
func HostKey(host string) string { return prefixHost + host }

// RetireKey returns the key of an owner's last word under a token.
func RetireKey(dataCentre string, token uint64) string {
	return prefixRetire + dataCentre + "/" + strconv.FormatUint(token, 10)
}
