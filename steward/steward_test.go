package steward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"briarspring"
	"briarspring/dispatcher"
	"briarspring/encoder"
	"briarspring/registrar"
	"briarspring/replicator"
)

// Reading the metrics during a takeover dereferenced a dispatcher that did not
// exist yet.
func TestInspectingATakeover(t *testing.T) {
	s := New(Config{DataCentre: "tartu", Now: func() time.Duration { return time.Second }})
	s.ownership = newOwnership(s, registrar.Claim{Token: 1})
	assert.True(t, s.Owns())
	_, ok := s.Counters()
	assert.False(t, ok)
	_, ok = s.Runs("")
	assert.False(t, ok)
}

// inService is a catalogue without data centres out of service.
type inService struct{}

func (inService) Directory() (briarspring.Directory, bool) { return briarspring.Directory{}, true }

func (inService) OutOfService(string) bool { return false }

func (inService) Restored() bool { return true }

// claimRecord returns the record of a claim.
func claimRecord(t *testing.T, offset, previous uint64, owner string) briarspring.KeyedRecord {
	value, err := encoder.EncodeDataCentreClaim(briarspring.DataCentreClaim{DataCentre: "tartu", Previous: previous, Owner: owner})
	require.NoError(t, err)
	return briarspring.KeyedRecord{Key: registrar.ClaimKey("tartu", owner), Value: value, Offset: offset}
}

// Guards against an owner that checks its claim, then reads a page with a newer claim and
// a workflow that follows it, and starts that workflow beside the new owner.
func TestWorkflowAfterANewerClaim(t *testing.T) {
	now := func() time.Duration { return time.Second }
	replica := replicator.New(replicator.Config{Now: now})
	replica.Apply([]briarspring.KeyedRecord{claimRecord(t, 0, 0, "host-1")})
	sub := replica.Subscribe()
	owner := New(Config{Host: "host-1", DataCentre: "tartu", Replica: replica, Catalogue: inService{}, Now: now})
	ow := newOwnership(owner, registrar.Claim{Token: 1, Owner: "host-1"})
	ow.engine = dispatcher.New(now(), dispatcher.Config{DataCentre: "tartu", Token: 1})
	require.True(t, ow.inForce())
	w := &briarspring.Workflow{ID: "00000000000000a1", DataCentre: "tartu", Steps: []briarspring.Step{{Tasks: 1}}, Submitted: time.Now()}
	value, err := encoder.EncodeSubmission(w)
	require.NoError(t, err)
	replica.Apply([]briarspring.KeyedRecord{
		claimRecord(t, 1, 1, "host-2"), {Key: registrar.SubmissionKey(w.ID, "x"), Value: value, Offset: 2},
	})
	assert.False(t, ow.applyChanges(now(), sub))
	assert.False(t, ow.engine.Knows(w.ID))
}

// Guards against progress that the log refuses for its size, again and again.
func TestSplitRecords(t *testing.T) {
	records := make([]briarspring.KeyedRecord, 7)
	for i := range records {
		records[i] = briarspring.KeyedRecord{Key: "k", Value: make([]byte, 99)}
	}
	var sizes []int
	for _, part := range splitRecords(records, 250) {
		sizes = append(sizes, len(part))
	}
	assert.Equal(t, []int{3, 3, 1}, sizes)
	assert.Empty(t, splitRecords(nil, 250))
}
