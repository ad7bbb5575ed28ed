package applier_test

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"briarspring"
	"briarspring/applier"
)

const (
	testWorkload = briarspring.WorkloadID(7)
	testOffset   = uint64(7)
)

var (
	owner = briarspring.Writer{Name: "tartu-host0", Incarnation: 1}
	rival = briarspring.Writer{Name: "tartu-host1", Incarnation: 1}
)

// stream appends records to a placement state as the log would.
type stream struct {
	t         *testing.T
	placement *applier.Placement
	sequences map[briarspring.Writer]uint64
}

func newStream(t *testing.T) *stream {
	s := &stream{t: t, placement: applier.NewPlacement(), sequences: map[briarspring.Writer]uint64{}}
	s.ok(owner, 1, briarspring.Claim{})
	s.ok(owner, 1, briarspring.WorkerJoin{Name: "w1", Incarnation: 1, Rack: "r0", Capacity: amount(16, 60000, 2)})
	s.ok(owner, 1, briarspring.WorkerJoin{Name: "w2", Incarnation: 1, Rack: "r0", Capacity: amount(16, 60000, 0)})
	s.ok(owner, 1, adopt(testOffset, 10, 0, 10))
	return s
}

func amount(cores, memory, accelerators int64) briarspring.Resources {
	return briarspring.NewResources(briarspring.ResourcesConfig{
		MilliCPU: cores * 1000, MemoryMiB: memory, Accelerators: accelerators,
	})
}

func adopt(offset, seen uint64, first, end uint32) briarspring.Adopt {
	return briarspring.Adopt{
		Workload: testWorkload, Offset: offset, Resources: amount(8, 1000, 1), MaxTries: 2,
		First: first, End: end, Seen: seen,
	}
}

// apply appends one record and returns the outcomes of its events.
func (s *stream) apply(w briarspring.Writer, epoch uint64, events ...briarspring.Event) []applier.Outcome {
	s.sequences[w]++
	return s.placement.Apply(s.placement.Applied()+1, briarspring.Record{
		Writer: w, Sequence: s.sequences[w], Body: briarspring.Batch{Epoch: epoch, Events: events},
	})
}

func (s *stream) ok(w briarspring.Writer, epoch uint64, events ...briarspring.Event) {
	s.t.Helper()
	for _, o := range s.apply(w, epoch, events...) {
		require.NoError(s.t, o.Err)
	}
}

func (s *stream) void(w briarspring.Writer, epoch uint64, event briarspring.Event, reason string) {
	s.t.Helper()
	before, err := s.placement.Snapshot()
	require.NoError(s.t, err)
	outcomes := s.apply(w, epoch, event)
	require.Len(s.t, outcomes, 1)
	var voidErr *briarspring.VoidError
	require.ErrorAs(s.t, outcomes[0].Err, &voidErr)
	assert.Contains(s.t, voidErr.Reason, reason)
	assert.Equal(s.t, contents(s.t, before), contents(s.t, s.snapshot()), "a void event changes no progress")
}

func (s *stream) snapshot() []byte {
	data, err := s.placement.Snapshot()
	require.NoError(s.t, err)
	return data
}

// contents returns the progress of every workload in a snapshot.
func contents(t *testing.T, snapshot []byte) map[briarspring.WorkloadID]briarspring.Progress {
	p, err := applier.RestorePlacement(snapshot)
	require.NoError(t, err)
	out := map[briarspring.WorkloadID]briarspring.Progress{}
	for _, id := range p.Workloads() {
		out[id] = p.Workload(id).Progress()
	}
	return out
}

func attempt(index, n uint32) briarspring.AttemptID {
	return briarspring.AttemptID{Task: briarspring.TaskID{Workload: testWorkload, Index: index}, Attempt: n}
}

func start(index, n, worker uint32) briarspring.Start {
	return briarspring.Start{Attempt: attempt(index, n), Worker: worker}
}

func TestPlacementRefuses(t *testing.T) {
	tests := []struct {
		name   string
		before []briarspring.Event
		writer briarspring.Writer
		epoch  uint64
		event  briarspring.Event
		reason string
	}{
		{"a start of an older epoch", nil, owner, 0, start(0, 1, 1), "is not epoch"},
		{"a start of another writer", nil, rival, 1, start(0, 1, 1), "is not epoch"},
		{"a claim that skips an epoch", nil, rival, 3, briarspring.Claim{}, "does not follow"},
		{"a claim of an epoch that is taken", nil, rival, 1, briarspring.Claim{}, "does not follow"},
		{"anything after resigning", []briarspring.Event{briarspring.Resign{}}, owner, 1, start(0, 1, 1), "resigned"},
		{"too many accelerators", []briarspring.Event{start(0, 1, 1), start(1, 1, 1)}, owner, 1, start(2, 1, 1), "free"},
		{"an accelerator where there is none", nil, owner, 1, start(0, 1, 2), "free"},
		{"a second attempt beside the first", []briarspring.Event{start(0, 1, 1)}, owner, 1, start(0, 2, 1), "placed"},
		{"a repeated attempt", []briarspring.Event{
			start(0, 1, 1), briarspring.End{Attempt: attempt(0, 1), Reason: briarspring.EndLost},
		}, owner, 1, start(0, 1, 1), "does not follow"},
		{"a task that is done", []briarspring.Event{
			start(0, 1, 1), briarspring.End{Attempt: attempt(0, 1), Reason: briarspring.EndDone},
		}, owner, 1, start(0, 2, 1), "is not waiting"},
		{"a task that was never adopted", nil, owner, 1, start(99, 1, 1), "is not waiting"},
		{"a start on a worker that is gone", []briarspring.Event{briarspring.WorkerGone{Worker: 1}}, owner, 1, start(0, 1, 1), "gone"},
		{"a start on an unknown worker", nil, owner, 1, start(0, 1, 9), "gone"},
		{"the end of an attempt that is closed", []briarspring.Event{
			start(0, 1, 1), briarspring.End{Attempt: attempt(0, 1), Reason: briarspring.EndEvicted, Checkpoint: 5},
		}, owner, 1, briarspring.End{Attempt: attempt(0, 1), Reason: briarspring.EndDone}, "not open"},
		{"an eviction of a closed attempt", nil, owner, 1, briarspring.EvictIntent{Attempt: attempt(0, 1)}, "not open"},
		{"the address of a closed attempt", nil, owner, 1, briarspring.Ready{Attempt: attempt(0, 1), Address: "x"}, "not open"},
		{"tasks that are already adopted", nil, owner, 1, adopt(testOffset, 10, 0, 10), "already adopted"},
		{"an adoption by a writer that has read too little", []briarspring.Event{
			briarspring.Cancel{Workload: testWorkload, End: 99}, briarspring.Forget{Workload: testWorkload, Seen: 20},
		}, owner, 1, adopt(8, 19, 0, 10), "had read"},
		{"forgetting tasks that wait", nil, owner, 1, briarspring.Forget{Workload: testWorkload}, "waiting"},
		{"releasing a task that runs", []briarspring.Event{start(0, 1, 1)}, owner, 1,
			briarspring.Release{Workload: testWorkload, To: "voru", Indexes: []uint32{0}}, "is not waiting"},
		{"releasing a task twice in one", nil, owner, 1,
			briarspring.Release{Workload: testWorkload, To: "voru", Indexes: []uint32{1, 1}}, "is not waiting"},
		{"starting a released task", []briarspring.Event{
			briarspring.Release{Workload: testWorkload, To: "voru", Indexes: []uint32{3}},
		}, owner, 1, start(3, 1, 1), "released"},
		{"a worker smaller than what is committed", []briarspring.Event{start(0, 1, 1)}, owner, 1,
			briarspring.WorkerJoin{Name: "w1", Incarnation: 1, Capacity: amount(1, 1, 1)}, "open attempts hold"},
		{"needs below zero", nil, owner, 1,
			briarspring.Adopt{Workload: 8, Offset: 8, Seen: 10, Resources: amount(-1, 0, 0), End: 1}, "needs"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newStream(t)
			s.ok(owner, 1, tt.before...)
			s.void(tt.writer, tt.epoch, tt.event, tt.reason)
		})
	}
}

func TestPlacementRacingOwners(t *testing.T) {
	s := newStream(t)
	s.ok(owner, 1, start(0, 1, 1))
	s.ok(rival, 2, briarspring.Claim{})
	s.void(owner, 2, briarspring.Claim{}, "does not follow")
	s.void(owner, 1, start(1, 1, 1), "is not epoch")
	s.ok(rival, 2, start(1, 1, 1))
	s.void(rival, 2, start(2, 1, 1), "free")
	assert.True(t, s.placement.Worker(1).Committed().Fits(s.placement.Worker(1).Capacity()))
}

func TestPlacementDropsRepeatedRecords(t *testing.T) {
	s := newStream(t)
	record := briarspring.Record{
		Writer: owner, Sequence: s.sequences[owner] + 1,
		Body: briarspring.Batch{Epoch: 1, Events: []briarspring.Event{start(0, 1, 1)}},
	}
	assert.Len(t, s.placement.Apply(s.placement.Applied()+1, record), 1)
	assert.Empty(t, s.placement.Apply(s.placement.Applied()+1, record), "the repeat is dropped")
	old := record
	old.Writer.Incarnation = 0
	old.Sequence = 99
	assert.Empty(t, s.placement.Apply(s.placement.Applied()+1, old), "an older incarnation of the writer is dropped")
	assert.Empty(t, s.placement.Apply(s.placement.Applied(), record), "an offset is applied once")
}

func TestPlacementEnds(t *testing.T) {
	end := func(index, n uint32, reason briarspring.EndReason, checkpoint uint64) briarspring.Event {
		return briarspring.End{Attempt: attempt(index, n), Reason: reason, Checkpoint: checkpoint}
	}
	t.Run("evicted resumes from its checkpoint", func(t *testing.T) {
		s := newStream(t)
		s.ok(owner, 1, start(0, 1, 1), end(0, 1, briarspring.EndEvicted, 55))
		next := s.placement.Workload(testWorkload).NextWaiting(1)
		assert.Equal(t, []briarspring.TaskState{{Index: 0, Attempt: 1, Checkpoint: 55}}, next)
	})
	t.Run("failing uses up the tries", func(t *testing.T) {
		s := newStream(t)
		s.ok(owner, 1, start(0, 1, 1), end(0, 1, briarspring.EndFailed, 0))
		s.ok(owner, 1, start(0, 2, 1), end(0, 2, briarspring.EndFailed, 0))
		assert.Equal(t, applier.PhaseFailed, s.placement.Workload(testWorkload).Task(0).Phase())
		s.void(owner, 1, start(0, 3, 1), "failed")
	})
	t.Run("a restarted worker has lost its tasks", func(t *testing.T) {
		s := newStream(t)
		s.ok(owner, 1, start(0, 1, 1))
		s.ok(owner, 1, briarspring.WorkerJoin{Name: "w1", Incarnation: 2, Rack: "r0", Capacity: amount(16, 60000, 2)})
		assert.Zero(t, s.placement.Worker(1).Len())
		assert.True(t, s.placement.Worker(1).Committed().IsZero())
		s.ok(owner, 1, start(0, 2, 1))
	})
	t.Run("a cancelled task ends with its attempt", func(t *testing.T) {
		s := newStream(t)
		s.ok(owner, 1, start(0, 1, 1), briarspring.Cancel{Workload: testWorkload, End: 99})
		assert.Zero(t, s.placement.Workload(testWorkload).Waiting())
		s.ok(owner, 1, end(0, 1, briarspring.EndEvicted, 9))
		s.ok(owner, 1, briarspring.Forget{Workload: testWorkload, Seen: 11})
		assert.Nil(t, s.placement.Workload(testWorkload))
	})
}

func TestPlacementSnapshot(t *testing.T) {
	s := newStream(t)
	s.ok(owner, 1, start(0, 1, 1), start(1, 1, 1),
		briarspring.End{Attempt: attempt(0, 1), Reason: briarspring.EndEvicted, Checkpoint: 9},
		briarspring.Release{Workload: testWorkload, To: "voru", Indexes: []uint32{4, 5}},
		briarspring.EvictIntent{Attempt: attempt(1, 1)})
	data := s.snapshot()
	restored, err := applier.RestorePlacement(data)
	require.NoError(t, err)
	again, err := restored.Snapshot()
	require.NoError(t, err)
	assert.Equal(t, data, again)
	assert.Equal(t, s.placement.Workload(testWorkload).NextWaiting(20), restored.Workload(testWorkload).NextWaiting(20))
	assert.Equal(t, s.placement.Worker(1).Committed(), restored.Worker(1).Committed())
	assert.EqualValues(t, 2, restored.Workload(testWorkload).Released())
}
