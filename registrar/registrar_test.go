package registrar_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"briarspring"
	"briarspring/encoder"
	"briarspring/registrar"
)

// stream is a keyed stream in memory.
type stream struct {
	t       *testing.T
	records []briarspring.KeyedRecord
}

func (s *stream) add(key string, value []byte, err error) uint64 {
	require.NoError(s.t, err)
	offset := uint64(len(s.records))
	s.records = append(s.records, briarspring.KeyedRecord{Key: key, Value: value, Offset: offset})
	return offset
}

// claim appends one attempt to claim tartu and returns the token that the claim
// has if it is accepted.
func (s *stream) claim(owner string, previous uint64) uint64 {
	value, err := encoder.EncodeDataCentreClaim(briarspring.DataCentreClaim{
		DataCentre: "tartu", Previous: previous, Owner: owner, Incarnation: 1,
	})
	return s.add(registrar.ClaimKey("tartu", registrar.NewAttemptID()), value, err) + 1
}

func (s *stream) submit(id briarspring.WorkflowID, dataCentre string) {
	value, err := encoder.EncodeSubmission(&briarspring.Workflow{
		ID: id, DataCentre: dataCentre, Queue: "urgent", Steps: []briarspring.Step{{Tasks: 2}},
	})
	s.add(registrar.SubmissionKey(id, registrar.NewAttemptID()), value, err)
}

func (s *stream) submitLongRunning(id briarspring.WorkflowID, dataCentre string) {
	needs := briarspring.NewResources(briarspring.ResourcesConfig{MilliCPU: 3000, MemoryMiB: 1})
	value, err := encoder.EncodeSubmission(&briarspring.Workflow{
		ID: id, DataCentre: dataCentre, Queue: "lasting", Steps: []briarspring.Step{{Tasks: 3, Resources: needs, LongRunning: true}},
	})
	s.add(registrar.SubmissionKey(id, registrar.NewAttemptID()), value, err)
}

func (s *stream) transfer(id briarspring.WorkflowID, token uint64, number int, from, to string) {
	value, err := encoder.EncodeTaskTransfer(briarspring.TaskTransfer{
		Token: token, From: from, To: to, Tasks: []briarspring.TaskProgress{{Position: 1, Run: 3}},
	})
	s.add(registrar.TransferKey(id, token, number, registrar.NewAttemptID()), value, err)
}

func (s *stream) addPhase(key string, p briarspring.Phase) {
	value, err := encoder.EncodePhase(p)
	s.add(key, value, err)
}

// live returns the state of a host that read every record in order.
func (s *stream) live() *registrar.Registry {
	r := registrar.New()
	for _, rec := range s.records {
		_, err := r.Apply(time.Second, rec)
		require.NoError(s.t, err)
	}
	return r
}

// restored returns the state of a host that read only the newest record of each
// key.
func (s *stream) restored() *registrar.Registry {
	newest := map[string]briarspring.KeyedRecord{}
	for _, rec := range s.records {
		newest[rec.Key] = rec
		if len(rec.Value) == 0 {
			delete(newest, rec.Key)
		}
	}
	var records []briarspring.KeyedRecord
	for _, rec := range newest {
		records = append(records, rec)
	}
	r := registrar.New()
	_, errs := r.Restore(time.Second, records, uint64(len(s.records)))
	require.Empty(s.t, errs)
	return r
}

// restoredMeanwhile returns the state of a host that started to read the pages
// of newest records when the stream had the given length, found the record at
// offset late on a later page, and then read on from that length.
func (s *stream) restoredMeanwhile(length, late int) *registrar.Registry {
	records := slices.Clone(s.records[:length])
	records = append(records, s.records[late])
	r := registrar.New()
	_, errs := r.Restore(time.Second, records, uint64(length))
	require.Empty(s.t, errs)
	for _, rec := range s.records[length:] {
		_, err := r.Apply(time.Second, rec)
		require.NoError(s.t, err)
	}
	return r
}

// assertLongRunning compares the maintained sums with sums over all workflows.
func assertLongRunning(t *testing.T, r *registrar.Registry) {
	t.Helper()
	sums := map[string]int64{"tartu": 0, "viljandi": 0, "voru": 0}
	r.Workflows(func(e *registrar.Entry) {
		if w := e.Workflow(); w.LongRunning() && !e.Phase().Final() {
			for position := range w.Steps[0].Tasks {
				sums[e.DataCentre(position)] += w.Steps[0].Resources.MilliCPU()
			}
		}
	})
	for dataCentre, want := range sums {
		assert.Equal(t, want, r.LongRunningMilliCPU(dataCentre), dataCentre)
	}
}

func TestLongRunning(t *testing.T) {
	s := &stream{t: t}
	s.submitLongRunning("a", "tartu")
	s.submitLongRunning("b", "viljandi")
	s.submitLongRunning("c", "tartu")
	token := s.claim("host-1", 0)
	s.transfer("a", token, 1, "tartu", "viljandi")
	s.addPhase(registrar.RunningKey("b"), briarspring.PhaseRunning)
	s.add(registrar.CancelKey("b"), []byte{1}, nil)
	s.transfer("c", token, 2, "tartu", "voru")
	s.add(registrar.CancelKey("c"), []byte{1}, nil)
	s.addPhase(registrar.FinalKey("a"), briarspring.PhaseFailed)
	assertBoth(t, s, assertLongRunning)
	r := registrar.New()
	for _, rec := range s.records {
		_, err := r.Apply(time.Second, rec)
		require.NoError(t, err)
		assertLongRunning(t, r)
	}
}

// assertBoth runs check on a host that read every record and on restored hosts.
func assertBoth(t *testing.T, s *stream, check func(t *testing.T, r *registrar.Registry)) {
	t.Helper()
	t.Run("live", func(t *testing.T) { check(t, s.live()) })
	t.Run("restored", func(t *testing.T) { check(t, s.restored()) })
	for length := range s.records {
		for late := length; late < len(s.records); late++ {
			name := fmt.Sprintf("restored at %d with %d from a later page", length, late)
			t.Run(name, func(t *testing.T) { check(t, s.restoredMeanwhile(length, late)) })
		}
	}
}

func TestTheFirstRecordCounts(t *testing.T) {
	t.Run("of claims, though it is appended again", func(t *testing.T) {
		s := &stream{t: t}
		first := s.claim("host-1", 0)
		s.claim("host-2", 0)
		s.claim("host-1", 0)
		assertBoth(t, s, func(t *testing.T, r *registrar.Registry) {
			assert.Equal(t, "host-1", r.Claim("tartu").Owner)
			assert.Equal(t, first, r.Claim("tartu").Token)
		})
	})
	t.Run("of submissions", func(t *testing.T) {
		s := &stream{t: t}
		s.submit("a", "tartu")
		s.submit("a", "viljandi")
		s.submit("a", "tartu")
		s.submit("a", "viljandi")
		assertBoth(t, s, func(t *testing.T, r *registrar.Registry) {
			assert.Equal(t, "tartu", r.Workflow("a").DataCentre(0))
			assert.Equal(t, 1, r.Waiting("urgent"))
		})
	})
	t.Run("of final phases", func(t *testing.T) {
		s := &stream{t: t}
		s.submit("a", "tartu")
		s.addPhase(registrar.RunningKey("a"), briarspring.PhaseRunning)
		s.addPhase(registrar.FinalKey("a"), briarspring.PhaseCompleted)
		s.addPhase(registrar.RunningKey("a"), briarspring.PhaseRunning)
		assertBoth(t, s, func(t *testing.T, r *registrar.Registry) {
			assert.Equal(t, briarspring.PhaseCompleted, r.Workflow("a").Phase())
			assert.Zero(t, r.Waiting("urgent"))
		})
	})
}

func TestTransfers(t *testing.T) {
	t.Run("take effect only under the token in force", func(t *testing.T) {
		s := &stream{t: t}
		s.submit("a", "tartu")
		token := s.claim("host-1", 0)
		s.claim("host-2", token)
		s.transfer("a", token, 1, "tartu", "viljandi")
		assertBoth(t, s, func(t *testing.T, r *registrar.Registry) {
			assert.Equal(t, "tartu", r.Workflow("a").DataCentre(1))
		})
	})
	t.Run("move only the listed tasks", func(t *testing.T) {
		s := &stream{t: t}
		s.submit("a", "tartu")
		token := s.claim("host-1", 0)
		s.transfer("a", token, 1, "tartu", "viljandi")
		s.claim("host-2", token)
		assertBoth(t, s, func(t *testing.T, r *registrar.Registry) {
			assert.Equal(t, "tartu", r.Workflow("a").DataCentre(0))
			assert.Equal(t, "viljandi", r.Workflow("a").DataCentre(1))
			assert.Equal(t, uint32(3), r.Workflow("a").TransferredTasks()[1].Progress.Run)
		})
	})
	t.Run("take effect once, also when repeated after the task was transferred back", func(t *testing.T) {
		s := &stream{t: t}
		s.submit("a", "tartu")
		there := s.claim("host-1", 0)
		value, err := encoder.EncodeDataCentreClaim(briarspring.DataCentreClaim{DataCentre: "viljandi", Owner: "host-9"})
		back := s.add(registrar.ClaimKey("viljandi", registrar.NewAttemptID()), value, err) + 1
		s.transfer("a", there, 1, "tartu", "viljandi")
		s.transfer("a", back, 1, "viljandi", "tartu")
		s.transfer("a", there, 1, "tartu", "viljandi")
		assertBoth(t, s, func(t *testing.T, r *registrar.Registry) {
			assert.Equal(t, "tartu", r.Workflow("a").DataCentre(1))
		})
	})
}

func TestEarlierOwners(t *testing.T) {
	const unreachable = 12 * time.Second
	retire := func(s *stream, token uint64, silent ...briarspring.SilentWorker) {
		value, err := encoder.EncodeRetirement(briarspring.Retirement{Token: token, Silent: silent})
		s.add(registrar.RetireKey("tartu", token), value, err)
	}
	t.Run("may give orders until the maximum time without the log has passed", func(t *testing.T) {
		s := &stream{t: t}
		s.claim("host-2", s.claim("host-1", 0))
		assertBoth(t, s, func(t *testing.T, r *registrar.Registry) {
			_, gone := r.PredecessorsGoneAt(12*time.Second, unreachable, "tartu")
			assert.False(t, gone)
			_, gone = r.PredecessorsGoneAt(13*time.Second, unreachable, "tartu")
			assert.True(t, gone)
		})
	})
	t.Run("are gone when their process restarted", func(t *testing.T) {
		s := &stream{t: t}
		s.claim("host-2", s.claim("host-1", 0))
		value, err := encoder.EncodeHostPresence(briarspring.HostPresence{DataCentre: "tartu", Incarnation: 2})
		s.add(registrar.HostKey("host-1"), value, err)
		assertBoth(t, s, func(t *testing.T, r *registrar.Registry) {
			at, gone := r.PredecessorsGoneAt(2*time.Second, unreachable, "tartu")
			assert.True(t, gone)
			assert.Equal(t, time.Second, at)
		})
	})
	// The retirement record of an owner without silent workers was encoded as an
	// empty value, which deletes the key.
	t.Run("retire also when every worker answered", func(t *testing.T) {
		s := &stream{t: t}
		token := s.claim("host-1", 0)
		s.claim("host-2", token)
		retire(s, token)
		assertBoth(t, s, func(t *testing.T, r *registrar.Registry) {
			_, gone := r.PredecessorsGoneAt(2*time.Second, unreachable, "tartu")
			assert.True(t, gone)
		})
	})
	t.Run("record on retirement which workers did not answer", func(t *testing.T) {
		s := &stream{t: t}
		token := s.claim("host-1", 0)
		retire(s, token, briarspring.SilentWorker{Worker: "w", LeaseLeft: 2 * time.Second})
		s.claim("host-2", s.claim("", token))
		assertBoth(t, s, func(t *testing.T, r *registrar.Registry) {
			_, gone := r.PredecessorsGoneAt(2*time.Second, unreachable, "tartu")
			assert.True(t, gone)
			assert.Equal(t, map[string]time.Duration{"w": 3 * time.Second}, r.SilentWorkers("tartu"))
		})
	})
	t.Run("before the previous one don't report its silent workers", func(t *testing.T) {
		s := &stream{t: t}
		token := s.claim("host-1", 0)
		retire(s, token, briarspring.SilentWorker{Worker: "w", LeaseLeft: 2 * time.Second})
		s.claim("host-3", s.claim("host-2", token))
		assertBoth(t, s, func(t *testing.T, r *registrar.Registry) { assert.Empty(t, r.SilentWorkers("tartu")) })
	})
}
