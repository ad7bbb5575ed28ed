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

// claim appends one try of a claim and returns the token that it would have.
func (s *stream) claim(owner string, previous uint64) uint64 {
	value, err := encoder.DataCentreClaim(briarspring.DataCentreClaim{
		DataCentre: "tartu", Previous: previous, Owner: owner, Incarnation: 1,
	})
	return s.add(registrar.ClaimKey("tartu", registrar.NewTry()), value, err) + 1
}

func (s *stream) submit(id briarspring.WorkflowID, dataCentre string) {
	value, err := encoder.Submission(&briarspring.Workflow{
		ID: id, DataCentre: dataCentre, Queue: "urgent", Steps: []briarspring.Step{{Tasks: 2}},
	})
	s.add(registrar.SubmissionKey(id, registrar.NewTry()), value, err)
}

func (s *stream) submitLasting(id briarspring.WorkflowID, dataCentre string) {
	needs := briarspring.NewResources(briarspring.ResourcesConfig{MilliCPU: 3000, MemoryMiB: 1})
	value, err := encoder.Submission(&briarspring.Workflow{
		ID: id, DataCentre: dataCentre, Queue: "lasting", Steps: []briarspring.Step{{Tasks: 3, Resources: needs, Lasting: true}},
	})
	s.add(registrar.SubmissionKey(id, registrar.NewTry()), value, err)
}

func (s *stream) transfer(id briarspring.WorkflowID, token uint64, number int, from, to string) {
	value, err := encoder.TaskTransfer(briarspring.TaskTransfer{
		Token: token, From: from, To: to, Tasks: []briarspring.TaskProgress{{Position: 1, Run: 3}},
	})
	s.add(registrar.TransferKey(id, token, number, registrar.NewTry()), value, err)
}

func (s *stream) phase(key string, p briarspring.Phase) {
	value, err := encoder.PhaseMark(p)
	s.add(key, value, err)
}

// live returns the state of a host that read everything in order.
func (s *stream) live() *registrar.Registry {
	r := registrar.New()
	for _, rec := range s.records {
		_, err := r.Apply(time.Second, rec)
		require.NoError(s.t, err)
	}
	return r
}

// restored returns the state of a host that read the newest record of each key.
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

// restoredMeanwhile returns the state of a host that began to read pages of the
// newest records when the stream had a length, and read one of the later records
// on a later page, before it read on from that length.
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

// assertLasting compares the sums that are kept with those of all workflows.
func assertLasting(t *testing.T, r *registrar.Registry) {
	t.Helper()
	sums := map[string]int64{"tartu": 0, "viljandi": 0, "voru": 0}
	r.Workflows(func(e *registrar.Entry) {
		if w := e.Workflow(); w.Lasting() && !e.Phase().Final() {
			for position := range w.Steps[0].Tasks {
				sums[e.DataCentre(position)] += w.Steps[0].Resources.MilliCPU()
			}
		}
	})
	for dataCentre, want := range sums {
		assert.Equal(t, want, r.Lasting(dataCentre), dataCentre)
	}
}

func TestLasting(t *testing.T) {
	s := &stream{t: t}
	s.submitLasting("a", "tartu")
	s.submitLasting("b", "viljandi")
	s.submitLasting("c", "tartu")
	token := s.claim("host-1", 0)
	s.transfer("a", token, 1, "tartu", "viljandi")
	s.phase(registrar.RunningKey("b"), briarspring.PhaseRunning)
	s.add(registrar.CancelKey("b"), []byte{1}, nil)
	s.transfer("c", token, 2, "tartu", "voru")
	s.add(registrar.CancelKey("c"), []byte{1}, nil)
	s.phase(registrar.FinalKey("a"), briarspring.PhaseFailed)
	assertBoth(t, s, assertLasting)
	r := registrar.New()
	for _, rec := range s.records {
		_, err := r.Apply(time.Second, rec)
		require.NoError(t, err)
		assertLasting(t, r)
	}
}

// assertBoth checks a host that read everything and ones that were restored.
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
		s.phase(registrar.RunningKey("a"), briarspring.PhaseRunning)
		s.phase(registrar.FinalKey("a"), briarspring.PhaseCompleted)
		s.phase(registrar.RunningKey("a"), briarspring.PhaseRunning)
		assertBoth(t, s, func(t *testing.T, r *registrar.Registry) {
			assert.Equal(t, briarspring.PhaseCompleted, r.Workflow("a").Phase())
			assert.Zero(t, r.Waiting("urgent"))
		})
	})
}

func TestTransfers(t *testing.T) {
	t.Run("count under the token in force only", func(t *testing.T) {
		s := &stream{t: t}
		s.submit("a", "tartu")
		token := s.claim("host-1", 0)
		s.claim("host-2", token)
		s.transfer("a", token, 1, "tartu", "viljandi")
		assertBoth(t, s, func(t *testing.T, r *registrar.Registry) {
			assert.Equal(t, "tartu", r.Workflow("a").DataCentre(1))
		})
	})
	t.Run("move the tasks that they name", func(t *testing.T) {
		s := &stream{t: t}
		s.submit("a", "tartu")
		token := s.claim("host-1", 0)
		s.transfer("a", token, 1, "tartu", "viljandi")
		s.claim("host-2", token)
		assertBoth(t, s, func(t *testing.T, r *registrar.Registry) {
			assert.Equal(t, "tartu", r.Workflow("a").DataCentre(0))
			assert.Equal(t, "viljandi", r.Workflow("a").DataCentre(1))
			assert.Equal(t, uint32(3), r.Workflow("a").Moved()[1].Progress.Run)
		})
	})
	t.Run("count once, also when they are recorded again after the way back", func(t *testing.T) {
		s := &stream{t: t}
		s.submit("a", "tartu")
		there := s.claim("host-1", 0)
		value, err := encoder.DataCentreClaim(briarspring.DataCentreClaim{DataCentre: "viljandi", Owner: "host-9"})
		back := s.add(registrar.ClaimKey("viljandi", registrar.NewTry()), value, err) + 1
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
		value, err := encoder.Retirement(briarspring.Retirement{Token: token, Silent: silent})
		s.add(registrar.RetireKey("tartu", token), value, err)
	}
	t.Run("may live on until the longest time without the log is over", func(t *testing.T) {
		s := &stream{t: t}
		s.claim("host-2", s.claim("host-1", 0))
		assertBoth(t, s, func(t *testing.T, r *registrar.Registry) {
			_, gone := r.EarlierGone(12*time.Second, unreachable, "tartu")
			assert.False(t, gone)
			_, gone = r.EarlierGone(13*time.Second, unreachable, "tartu")
			assert.True(t, gone)
		})
	})
	t.Run("are gone when their process began a new life", func(t *testing.T) {
		s := &stream{t: t}
		s.claim("host-2", s.claim("host-1", 0))
		value, err := encoder.HostPresence(briarspring.HostPresence{DataCentre: "tartu", Incarnation: 2})
		s.add(registrar.HostKey("host-1"), value, err)
		assertBoth(t, s, func(t *testing.T, r *registrar.Registry) {
			at, gone := r.EarlierGone(2*time.Second, unreachable, "tartu")
			assert.True(t, gone)
			assert.Equal(t, time.Second, at)
		})
	})
	// The record of an owner that met no silent worker was empty, and an empty
	// record drops its key.
	t.Run("retire also when every worker answered", func(t *testing.T) {
		s := &stream{t: t}
		token := s.claim("host-1", 0)
		s.claim("host-2", token)
		retire(s, token)
		assertBoth(t, s, func(t *testing.T, r *registrar.Registry) {
			_, gone := r.EarlierGone(2*time.Second, unreachable, "tartu")
			assert.True(t, gone)
		})
	})
	t.Run("tell when they retire which workers did not answer", func(t *testing.T) {
		s := &stream{t: t}
		token := s.claim("host-1", 0)
		retire(s, token, briarspring.SilentWorker{Worker: "w", LeaseLeft: 2 * time.Second})
		s.claim("host-2", s.claim("", token))
		assertBoth(t, s, func(t *testing.T, r *registrar.Registry) {
			_, gone := r.EarlierGone(2*time.Second, unreachable, "tartu")
			assert.True(t, gone)
			assert.Equal(t, map[string]time.Duration{"w": 3 * time.Second}, r.Silent("tartu"))
		})
	})
	t.Run("before the last one tell nothing of what it did", func(t *testing.T) {
		s := &stream{t: t}
		token := s.claim("host-1", 0)
		retire(s, token, briarspring.SilentWorker{Worker: "w", LeaseLeft: 2 * time.Second})
		s.claim("host-3", s.claim("host-2", token))
		assertBoth(t, s, func(t *testing.T, r *registrar.Registry) { assert.Empty(t, r.Silent("tartu")) })
	})
}
