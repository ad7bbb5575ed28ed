package registrar

import (
	"crypto/sha256"
	"encoding/hex"
	"math/rand/v2"
	"net/url"
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
	prefixInventory  = "i/"
	prefixEnd        = "e/"
	// prefixEarly sorts before prefixSubmission: the pages of newest records are read in the
	// order of keys, and a page with a submission must not precede one without the
	// cancellation that was removed together with it.
	prefixEarly     = "cx/"
	prefixDirectory = "d/"

	prefixQuotaPool    = "gp/"
	prefixQuotaGrant   = "g/"
	prefixQuotaRequest = "gw/"
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

// organisationDigestBytes is the length of the digest that stands for an organisation.
const organisationDigestBytes = 16

// EarlyCancelKey returns the key of the cancellation of a workflow that was not known where
// it was requested. Repeated requests share a key, those of other organisations don't.
func EarlyCancelKey(id briarspring.WorkflowID, c briarspring.EarlyCancellation) string {
	key := prefixEarly + string(id) + "/"
	if c.Limited {
		// Of any length, and a key has 255 bytes at most.
		digest := sha256.Sum256([]byte(c.Organisation))
		key += hex.EncodeToString(digest[:organisationDigestBytes])
	}
	return key
}

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

// FinishedStepKey returns the key of the ends of all tasks of a step.
func FinishedStepKey(id briarspring.WorkflowID, occurrence, step int) string {
	return prefixEnd + string(id) + "/" + strconv.Itoa(occurrence) + "." + strconv.Itoa(step)
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

// DirectoryKey returns the key of the copy of a record of the directory stream. It has the
// record's offset, so that a copy that is stored late does not replace a newer one.
func DirectoryKey(key string, offset uint64) string {
	return prefixDirectory + key + "/" + strconv.FormatUint(offset, 10)
}

// ParseDirectoryKey returns the key and the offset of the record that a copy is of, or
// false if the key is not a copy's.
func ParseDirectoryKey(copyKey string) (key string, offset uint64, ok bool) {
	rest, ok := strings.CutPrefix(copyKey, prefixDirectory)
	last := strings.LastIndexByte(rest, '/')
	if !ok || last < 0 {
		return "", 0, false
	}
	offset, err := strconv.ParseUint(rest[last+1:], 10, 64)
	return rest[:last], offset, err == nil
}

// InventoryKey returns the key of a data centre's inventory.
func InventoryKey(dataCentre string) string { return prefixInventory + dataCentre }

// QuotaPoolKey returns the key of one attempt to record the data centres among which
// limits are split.
func QuotaPoolKey(attempt string) string { return prefixQuotaPool + attempt }

// QuotaGrantKey returns the key of one attempt to record what a data centre has given
// of an organisation's limit; number distinguishes the grants under one token.
func QuotaGrantKey(dataCentre, organisation string, token uint64, number int, attempt string) string {
	return prefixQuotaGrant + dataCentre + "/" + url.PathEscape(organisation) + "/" +
		strconv.FormatUint(token, 10) + "." + strconv.Itoa(number) + "/" + attempt
}

// QuotaRequestKey returns the key of the parts that a data centre requests.
func QuotaRequestKey(dataCentre string) string { return prefixQuotaRequest + dataCentre }
