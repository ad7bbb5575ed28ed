package encoder_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"briarspring"
	"briarspring/encoder"
	ppb "briarspring/gen/platform/v1"
)

func testResources() briarspring.Resources {
	return briarspring.NewResources(briarspring.ResourcesConfig{MilliCPU: 2000, MemoryMiB: 512, Accelerators: 1})
}

func sampleBodies(t require.TestingT) []briarspring.Body {
	s, err := briarspring.NewService(briarspring.ServiceConfig{
		Name: "ledger", Team: "counter", Prefix: "/ledger/", Resources: testResources(), Executors: 6, Slots: 8, Connections: 64, Command: "read",
	})
	require.NoError(t, err)
	j, err := briarspring.NewJob(briarspring.JobConfig{
		Name: "index", Team: "archive", Class: "index", Tasks: 9, Resources: testResources(), Weight: 3, RunTime: time.Second, MaxTries: 2, Command: "x",
	})
	require.NoError(t, err)
	q, err := briarspring.NewQuota(briarspring.QuotaConfig{Team: "archive", Resources: testResources(), RequestsPerSecond: 5})
	require.NoError(t, err)
	a := briarspring.AttemptID{Task: briarspring.TaskID{Workload: 7, Index: 3}, Attempt: 2}
	state := []briarspring.TaskState{{Index: 4, Attempt: 1, Checkpoint: 99}}
	var out []briarspring.Body
	for _, c := range []briarspring.Change{
		briarspring.PutService{Service: s}, briarspring.PutJob{Job: j}, briarspring.PutQuota{Quota: q},
		briarspring.DeleteService{Name: "a"}, briarspring.DeleteJob{Name: "b"}, briarspring.DeleteQuota{Team: "c"},
		briarspring.CancelJobs{Names: []string{"a", "b"}}, briarspring.TakeOut{DataCentre: "voru"},
		briarspring.Return{DataCentre: "voru"}, briarspring.DeclareLost{Worker: "w1"},
	} {
		out = append(out, briarspring.Command{RequestID: "r", ExpectedVersion: 4, Change: c})
	}
	return append(out,
		briarspring.Summary{DataCentre: "voru", Epoch: 3, Owner: "o", Capacity: testResources(), Committed: testResources(), Workers: 2, Largest: testResources(),
			Progress: []briarspring.Progress{{Workload: 7, Running: 1, Done: 2, Failed: 3, Evictions: 4}}},
		briarspring.Transfer{Workload: 7, From: "voru", To: "tartu", Granted: 6, Tasks: state},
		briarspring.SnapshotChunk{Covers: 5, Index: 1, Count: 3, Data: []byte("x"), Checksum: 9},
		briarspring.Batch{Epoch: 8, Events: []briarspring.Event{
			briarspring.Claim{}, briarspring.Beat{}, briarspring.Resign{},
			briarspring.WorkerJoin{Name: "w1", Incarnation: 2, Rack: "r", Capacity: testResources()},
			briarspring.WorkerGone{Worker: 1, Declared: 2},
			briarspring.Adopt{Workload: 7, Offset: 7, Resources: testResources(), Service: true, MaxTries: 3, First: 1, End: 5, Tasks: state, Seen: 9},
			briarspring.Start{Attempt: a, Worker: 1}, briarspring.Ready{Attempt: a, Address: "127.0.0.1:1"},
			briarspring.End{Attempt: a, Reason: briarspring.EndEvicted, Checkpoint: 3}, briarspring.EvictIntent{Attempt: a},
			briarspring.Release{Workload: 7, To: "tartu", Indexes: []uint32{1, 2}},
			briarspring.Cancel{Workload: 7, First: 1, End: 2}, briarspring.Forget{Workload: 7, Seen: 3},
		}},
	)
}

func TestRecordRoundTrip(t *testing.T) {
	for _, body := range sampleBodies(t) {
		r := briarspring.Record{Writer: briarspring.Writer{Name: "w", Incarnation: 3}, Sequence: 4, Body: body}
		data, err := encoder.EncodeRecord(r)
		require.NoError(t, err)
		got, err := encoder.DecodeRecord(data)
		require.NoError(t, err)
		assert.Equal(t, r, got)
	}
}

func TestMalformedRecord(t *testing.T) {
	for _, data := range [][]byte{nil, {0xff}, []byte("no record at all")} {
		_, err := encoder.DecodeRecord(data)
		var malformed *encoder.MalformedError
		assert.ErrorAs(t, err, &malformed)
	}
}

func TestPlatformRoundTrip(t *testing.T) {
	a := briarspring.AttemptID{Task: briarspring.TaskID{Workload: 7, Index: 3}, Attempt: 2}
	e := briarspring.Exchange{
		Worker: "w", Epoch: 2, LeaseUntil: time.Second, Incarnation: 4, Wait: time.Second, Seen: 9,
		Starts: []briarspring.StartTask{{
			Attempt: a, NotAfter: time.Second, Checkpoint: 2, Name: "ledger", Command: "x", Resources: testResources(), Service: true, Slots: 8, Connections: 64,
		}},
		Stops: []briarspring.AttemptID{a}, Forget: []briarspring.AttemptID{a}, Throttles: []briarspring.Throttle{{Attempt: a, Percent: 50}},
	}
	assert.Equal(t, e, encoder.DecodeExchange(encoder.EncodeExchange(e)))
	r := briarspring.WorkerReport{
		Clock: time.Hour, Incarnation: 2, Epoch: 3, LeaseUntil: time.Minute, Rack: "r", Capacity: testResources(), Version: 5,
		Tasks: []briarspring.TaskReport{{Attempt: a, Phase: briarspring.TaskLapsed, Checkpoint: 4, Address: "x"}},
		Usage: []briarspring.Usage{{Attempt: a, Taken: time.Second, MilliCPU: 1, MemoryMiB: 2, P99: time.Millisecond, Requests: 3}},
	}
	got, err := encoder.DecodeWorkerReport(encoder.EncodeWorkerReport(r))
	require.NoError(t, err)
	assert.Equal(t, r, got)
}

// FuzzDecodeRecord checks that the decoder never panics on bytes from the log,
// and that every record that it accepts survives encoding and decoding.
func FuzzDecodeRecord(f *testing.F) {
	for _, body := range sampleBodies(f) {
		data, err := encoder.EncodeRecord(briarspring.Record{Writer: briarspring.Writer{Name: "w"}, Body: body})
		require.NoError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := encoder.DecodeRecord(data)
		if err != nil {
			return
		}
		encoded, err := encoder.EncodeRecord(r)
		require.NoError(t, err)
		decoded, err := encoder.DecodeRecord(encoded)
		require.NoError(t, err)
		assert.Equal(t, r, decoded)
	})
}

// FuzzDecodeWorkerReport checks that the decoder never panics on a worker's
// report, and that every report that it accepts can be encoded.
func FuzzDecodeWorkerReport(f *testing.F) {
	f.Add([]byte{0x08, 0x01})
	f.Fuzz(func(t *testing.T, data []byte) {
		var m ppb.ExchangeResponse
		if proto.Unmarshal(data, &m) != nil {
			return
		}
		r, err := encoder.DecodeWorkerReport(&m)
		if err == nil {
			encoder.EncodeWorkerReport(r)
		}
	})
}
