package steward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"briarspring"
	"briarspring/dispatcher"
	"briarspring/encoder"
	"briarspring/pacer"
	"briarspring/registrar"
	"briarspring/replicator"
)

// Guards against an end that is acknowledged without a record because the first step of
// its workflow is long-running and its own is not.
func TestEndOfAStepThatEndsInALongRunningWorkflow(t *testing.T) {
	w := &briarspring.Workflow{
		ID: endedRun.Task.Workflow, DataCentre: "viljandi", Service: "ledger", MaxAttempts: 3, Submitted: time.Now(),
		Steps: []briarspring.Step{{Tasks: 1, LongRunning: true}, {Tasks: 2}},
	}
	require.NoError(t, w.Check())
	value, err := encoder.EncodeSubmission(w)
	require.NoError(t, err)
	run := endedRun
	run.Task.Step = 1
	defer func(r briarspring.RunRef) { endedRun = r }(endedRun)
	endedRun = run
	s := newEndFixture(t, briarspring.KeyedRecord{Key: registrar.SubmissionKey(w.ID, "x"), Value: value})
	s.assertAcknowledged(true)
	assert.Len(t, s.written.records, 1, "nothing tells viljandi that the task is done")
}

// Guards against a record of a worker's earlier address that hides where the last owner,
// which was of an earlier version and wrote the inventory alone, has used the worker.
func TestRecordOlderThanTheInventory(t *testing.T) {
	now := func() time.Duration { return time.Minute }
	replica := replicator.New(replicator.Config{Now: now})
	value, err := encoder.EncodeInventory(briarspring.Inventory{Token: 3, Workers: []briarspring.KnownWorker{{ID: "w0", Address: "a:2", Service: "ledger"}}})
	require.NoError(t, err)
	replica.Apply([]briarspring.KeyedRecord{
		claimRecord(t, 0, 0, "host-1"), claimRecord(t, 2, 1, "host-2"),
		{Key: registrar.InventoryKey("tartu"), Value: value, Offset: 3}, claimRecord(t, 4, 3, "host-1"),
	})
	owner := New(Config{
		Host: "host-1", DataCentre: "tartu", Replica: replica, Catalogue: inService{}, Now: now,
		Lease: time.Second, MaxLease: time.Second, NewPacer: func() Pacer { return pacer.New() },
	})
	ow := newOwnership(owner, registrar.Claim{Token: 5, Previous: 3, Owner: "host-1"})
	ow.startDispatcher(recordedState{workers: []briarspring.KnownWorker{{ID: "w0", Address: "a:1", Service: "ledger"}}})
	ow.engine.SetWorkers(now(), nil)
	assert.Equal(t, map[string]string{"w0": "a:2"}, ow.engine.Workers())
}

// Guards against a host that hangs for ever: an end that was held for an unknown workflow
// turns out to be of a task that the workflow hasn't, and the line about it asks the
// replica while the replica is locked for the workflow's arrival.
func TestHeldEndOfATaskThatDoesNotExist(t *testing.T) {
	s := newEndFixture(t)
	s.ow.engine = dispatcher.New(endedAt, dispatcher.Config{DataCentre: "tartu", Token: 1, Registered: s.ow.registered})
	s.ow.engine.SetWorkers(endedAt, []briarspring.WorkerEntry{{ID: "w0", Address: "a", Service: "ledger", DataCentre: "tartu"}})
	run := endedRun
	run.Task.Index = 9
	s.ow.engine.HandleRenewal(endedAt, endedAt, "w0", briarspring.LeaseReply{
		StartedAt: 1, Clock: time.Second, Ended: []briarspring.EndedTask{{Number: 1, Run: run, End: briarspring.RunDone}},
	})
	sub := s.replica.Subscribe()
	s.apply(submissionIn(t, "tartu"))
	applied := make(chan struct{})
	go func() {
		defer close(applied)
		s.ow.applyChanges(endedAt, sub)
	}()
	select {
	case <-applied:
	case <-time.After(5 * time.Second):
		t.Fatal("the ownership and the replica are locked for ever")
	}
}
