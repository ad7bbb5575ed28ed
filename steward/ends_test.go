package steward

import (
	"context"
	"sync"
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

// readUntil is the time up to which the stream has been read.
type readUntil struct{ at time.Duration }

func (r *readUntil) LastReadSent() (time.Duration, bool) { return r.at, true }
func (*readUntil) StoreLatency() time.Duration           { return 0 }

// writtenRecords keeps what is written.
type writtenRecords struct{ records []briarspring.KeyedRecord }

func (w *writtenRecords) Write(_ context.Context, records ...briarspring.KeyedRecord) error {
	w.records = append(w.records, records...)
	return nil
}

// endFixture is the ownership of tartu with a worker that lists the end of a run. The
// test writes the shared stream.
type endFixture struct {
	t       *testing.T
	ow      *ownership
	replica *replicator.Replica
	read    *readUntil
	written *writtenRecords
	offset  uint64
}

const endedAt = 2 * time.Second

var endedRun = briarspring.RunRef{Task: briarspring.TaskRef{Workflow: "00000000000000a1", Index: 1}, Run: 3}

func newEndFixture(t *testing.T, records ...briarspring.KeyedRecord) *endFixture {
	now := func() time.Duration { return endedAt }
	s := &endFixture{t: t, replica: replicator.New(replicator.Config{Now: now}), read: &readUntil{at: time.Second}, written: &writtenRecords{}}
	s.apply(claimRecord(t, 0, 0, "host-1"))
	s.apply(records...)
	owner := New(Config{
		Host: "host-1", DataCentre: "tartu", Replica: s.replica, ReplicaFreshness: s.read, Shared: s.written, Catalogue: inService{}, Now: now,
	})
	s.ow = newOwnership(owner, registrar.Claim{Token: 1, Owner: "host-1"})
	s.ow.engine = dispatcher.New(now(), dispatcher.Config{DataCentre: "tartu", Token: 1})
	s.ow.engine.SetWorkers(now(), []briarspring.WorkerEntry{{ID: "w0", Address: "a", Service: "ledger", DataCentre: "tartu"}})
	s.ow.engine.HandleRenewal(now(), now(), "w0", briarspring.LeaseReply{
		StartedAt: 1, Clock: time.Second, Ended: []briarspring.EndedTask{{Number: 1, Run: endedRun, End: briarspring.RunDone}},
	})
	return s
}

// apply appends records to the shared stream.
func (s *endFixture) apply(records ...briarspring.KeyedRecord) {
	for _, r := range records {
		r.Offset = s.offset
		s.offset++
		s.replica.Apply([]briarspring.KeyedRecord{r})
	}
}

// assertAcknowledged checks whether the worker may drop the end after a pass.
func (s *endFixture) assertAcknowledged(want bool) {
	s.t.Helper()
	var goroutines sync.WaitGroup
	s.ow.settleEnds(s.t.Context(), &goroutines)
	goroutines.Wait()
	if batch, due := s.ow.engine.TakeBatch(); due {
		s.ow.engine.Stored(batch)
	}
	req, ok := s.ow.engine.NextRenewal(endedAt, "w0")
	require.True(s.t, ok)
	assert.Equal(s.t, want, req.LastSeenEnd == 1)
}

func submissionIn(t *testing.T, dataCentre string) briarspring.KeyedRecord {
	w := &briarspring.Workflow{
		ID: endedRun.Task.Workflow, DataCentre: dataCentre, Service: "ledger", Steps: []briarspring.Step{{Tasks: 2}}, MaxAttempts: 3, Submitted: time.Now(),
	}
	value, err := encoder.EncodeSubmission(w)
	require.NoError(t, err)
	return briarspring.KeyedRecord{Key: registrar.SubmissionKey(w.ID, "x"), Value: value}
}

// Guards against an owner that has not read the log for a while, takes a workflow that
// follows for unknown, and lets its worker drop the end.
func TestEndOfAnUnknownWorkflow(t *testing.T) {
	t.Run("is kept until the stream has been read", func(t *testing.T) {
		s := newEndFixture(t)
		s.assertAcknowledged(false)
	})
	t.Run("is dropped if the workflow has been removed", func(t *testing.T) {
		s := newEndFixture(t)
		s.read.at = endedAt + 1
		s.assertAcknowledged(true)
	})
	t.Run("is dropped if the workflow has finished", func(t *testing.T) {
		s := newEndFixture(t, submissionIn(t, "tartu"))
		s.assertAcknowledged(false)
		s.apply(briarspring.KeyedRecord{Key: registrar.CancelKey(endedRun.Task.Workflow), Value: []byte("x")})
		s.assertAcknowledged(true)
	})
	t.Run("is applied when the workflow appears", func(t *testing.T) {
		s := newEndFixture(t)
		sub := s.replica.Subscribe()
		s.apply(submissionIn(t, "tartu"))
		require.True(t, s.ow.applyChanges(endedAt, sub))
		s.assertAcknowledged(true)
		assert.Empty(t, s.written.records)
		assert.Equal(t, uint64(1), s.ow.engine.Counters().Done)
	})
}

// Guards against an end that is lost because the task has moved to another data centre,
// which starts it again.
func TestEndOfATaskElsewhere(t *testing.T) {
	s := newEndFixture(t, submissionIn(t, "viljandi"))
	s.assertAcknowledged(true)
	require.Len(t, s.written.records, 1)
	s.apply(s.written.records...)
	s.replica.View(func(r *registrar.Registry) {
		ends := r.Workflow(endedRun.Task.Workflow).Ends()
		assert.Equal(t, map[int]briarspring.TaskProgress{1: {Position: 1, Done: true, Run: 3}}, ends)
	})
}
