package steward

import (
	"bytes"
	"encoding/json"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"briarspring"
	"briarspring/dispatcher"
	"briarspring/encoder"
	"briarspring/pacer"
	"briarspring/registrar"
	"briarspring/replicator"
)

// logLines returns the log lines in buffer that have a message.
func logLines(t *testing.T, buffer *bytes.Buffer, message string) []map[string]any {
	var list []map[string]any
	for _, text := range bytes.Split(bytes.TrimSpace(buffer.Bytes()), []byte("\n")) {
		var line map[string]any
		require.NoError(t, json.Unmarshal(text, &line))
		if line["@message"] == message {
			list = append(list, line)
		}
	}
	return list
}

// loggedOwnership returns an ownership whose lines are kept, after an earlier owner that
// recorded the workers w0 and w1.
func loggedOwnership(t *testing.T) (ow *ownership, replica *replicator.Replica, buffer *bytes.Buffer) {
	now := func() time.Duration { return time.Minute }
	buffer = &bytes.Buffer{}
	logger := hclog.New(&hclog.LoggerOptions{Level: hclog.Info, Output: buffer, JSONFormat: true})
	replica = replicator.New(replicator.Config{Now: now, Logger: logger})
	value, err := encoder.EncodeInventory(briarspring.Inventory{Token: 1, Workers: []briarspring.KnownWorker{
		{ID: "w0", Address: "a:1", Service: "ledger"}, {ID: "w1", Address: "a:2", Service: "ledger"},
	}})
	require.NoError(t, err)
	replica.Apply([]briarspring.KeyedRecord{
		claimRecord(t, 0, 0, "host-1"), {Key: registrar.InventoryKey("tartu"), Value: value, Offset: 1}, claimRecord(t, 2, 1, "host-2"),
	})
	owner := New(Config{
		Host: "host-2", DataCentre: "tartu", Replica: replica, Catalogue: inService{}, Now: now, Logger: logger,
		Lease: time.Second, MaxLease: time.Second, NewPacer: func() Pacer { return pacer.New() },
	})
	ow = newOwnership(owner, registrar.Claim{Token: 3, Previous: 1, Owner: "host-2"})
	ow.startDispatcher(recordedState{})
	return ow, replica, buffer
}

func TestRemovedWorkers(t *testing.T) {
	const line = "worker leaves the inventory"
	listed := []briarspring.WorkerEntry{{ID: "w1", Address: "a:2", Service: "ledger"}}
	t.Run("are not logged while they are asked", func(t *testing.T) {
		ow, _, buffer := loggedOwnership(t)
		ow.engine.SetWorkers(time.Minute, listed)
		ow.changedInventory()
		assert.Empty(t, logLines(t, buffer, line))
	})
	t.Run("are logged once, with the cause", func(t *testing.T) {
		ow, _, buffer := loggedOwnership(t)
		ow.engine.SetWorkers(time.Minute, listed)
		ow.engine.SetPredecessorsGone(0)
		for range 3 {
			require.NotEmpty(t, ow.changedInventory())
		}
		removed := lineOf(t, buffer, line)
		assert.Equal(t, "w0", removed["worker"])
		assert.Equal(t, "lease ended", removed["why"])
		assert.Equal(t, false, removed["unstored-ends"])
		assert.EqualValues(t, -1, removed["answered-ms"])
	})
	t.Run("are not those with ends that are not stored", func(t *testing.T) {
		ow, _, buffer := loggedOwnership(t)
		ow.engine.SetWorkers(time.Minute, listed)
		for _, d := range []time.Duration{0, time.Second} {
			ow.engine.HandleRenewal(time.Minute+d, time.Minute+d, "w0", briarspring.LeaseReply{
				StartedAt: 1, Clock: time.Minute + d, Ended: []briarspring.EndedTask{{Number: 1, Run: briarspring.RunRef{Task: briarspring.TaskRef{Workflow: "a"}, Run: 1}}},
			})
		}
		ow.changedInventory()
		assert.Empty(t, logLines(t, buffer, line))
		batch, _ := ow.engine.TakeBatch()
		ow.engine.Stored(batch)
		require.NotEmpty(t, ow.changedInventory())
		removed := lineOf(t, buffer, line)
		assert.Equal(t, "left the list after its report", removed["why"])
		assert.Equal(t, false, removed["unstored-ends"])
	})
}

// lineOf returns the only line with a message.
func lineOf(t *testing.T, buffer *bytes.Buffer, message string) map[string]any {
	lines := logLines(t, buffer, message)
	require.Len(t, lines, 1)
	return lines[0]
}

// submit applies the submission of a workflow.
func submit(t *testing.T, replica *replicator.Replica, w *briarspring.Workflow) {
	value, err := encoder.EncodeSubmission(w)
	require.NoError(t, err)
	replica.Apply([]briarspring.KeyedRecord{{Key: registrar.SubmissionKey(w.ID, "x"), Value: value, Offset: 3}})
}

func TestTakeoverTellsTheDispatcher(t *testing.T) {
	newWorkflow := func(id briarspring.WorkflowID) *briarspring.Workflow {
		return &briarspring.Workflow{
			ID: id, Service: "ledger", DataCentre: "tartu", Steps: []briarspring.Step{{Tasks: 1}}, Submitted: time.Now(),
		}
	}
	t.Run("which inventory named the workers", func(t *testing.T) {
		ow, _, buffer := loggedOwnership(t)
		now := 2 * time.Minute
		ow.engine.Submit(now, 0, newWorkflow("00000000000000a1"), 1, nil, nil)
		ow.engine.SetWorkers(now, nil)
		ow.engine.SetPredecessorsGone(0)
		ow.engine.ProgressWritten(now)
		ow.engine.ForcePlan()
		ow.engine.Plan(now)
		line := lineOf(t, buffer, "taking over workflows of the earlier owner")
		assert.EqualValues(t, 2, line["named"])
		assert.EqualValues(t, 1, line["inventory-token"])
		assert.Equal(t, "w0: not asked, lease ended, w1: not asked, lease ended", line["not-heard"])
	})
	t.Run("what the log says of an unknown workflow", func(t *testing.T) {
		ow, replica, buffer := loggedOwnership(t)
		submit(t, replica, newWorkflow("00000000000000a1"))
		ow.engine.HandleRenewal(time.Minute, time.Minute, "w0", briarspring.LeaseReply{StartedAt: 1, Ended: []briarspring.EndedTask{
			{Number: 1, Run: briarspring.RunRef{Task: briarspring.TaskRef{Workflow: "00000000000000a1"}, Run: 1}, End: briarspring.RunDone},
		}})
		assert.Equal(t, "queued", lineOf(t, buffer, "end waits for its task")["registered"])
	})
	t.Run("the token of the earlier owner", func(t *testing.T) {
		ow, _, buffer := loggedOwnership(t)
		now := 2 * time.Minute
		ow.engine.Submit(now, 0, newWorkflow("00000000000000a1"), 1, []briarspring.TaskProgress{{Run: 2}}, nil)
		ow.engine.SetWorkers(now, []briarspring.WorkerEntry{{ID: "w1", Address: "a:2", Service: "ledger"}})
		ow.engine.SetPredecessorsGone(0)
		ow.engine.ProgressWritten(now)
		for _, d := range []time.Duration{0, time.Second} {
			ow.engine.HandleRenewal(now+d, now+d, "w1", briarspring.LeaseReply{StartedAt: 1, Clock: now + d})
		}
		ow.engine.ForcePlan()
		ow.engine.Plan(now + time.Second)
		assert.EqualValues(t, 1, lineOf(t, buffer, "start after a run that is taken for gone")["before-token"])
	})
}

func TestRegistered(t *testing.T) {
	ow, replica, _ := loggedOwnership(t)
	w := &briarspring.Workflow{ID: "00000000000000a1", DataCentre: "tartu", Steps: []briarspring.Step{{Tasks: 1}}, Submitted: time.Now()}
	assert.Equal(t, dispatcher.Registration{State: "unknown"}, ow.registered(w.ID))
	submit(t, replica, w)
	assert.Equal(t, dispatcher.Registration{State: "queued", Local: true}, ow.registered(w.ID))
	value, err := encoder.EncodePhase(briarspring.PhaseCompleted)
	require.NoError(t, err)
	replica.Apply([]briarspring.KeyedRecord{{Key: registrar.FinalKey(w.ID), Value: value, Offset: 4}})
	assert.Equal(t, dispatcher.Registration{State: "completed", Final: true, Local: true}, ow.registered(w.ID))
}
