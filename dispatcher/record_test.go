package dispatcher_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"briarspring"
	"briarspring/dispatcher"
	"briarspring/registrar"
)

// assertRecords checks which records of workers the next batch has, and stores it. Each
// is an ID, with a minus before it for a deletion.
func assertRecords(t *testing.T, s *fixture, want ...string) {
	t.Helper()
	b, _ := s.d.TakeBatch()
	var got []string
	for _, r := range b.Progress {
		if id, ok := workerOfKey(r.Key); ok && len(r.Value) > 0 {
			got = append(got, id)
		} else if ok {
			got = append(got, "-"+id)
		}
	}
	assert.Equal(t, want, got)
	s.d.Stored(b)
}

// workerOfKey returns the worker of a record, or false for another record.
func workerOfKey(key string) (string, bool) {
	return strings.CutPrefix(key, registrar.KnownWorkerKey(""))
}

// Guards against records of workers that a new owner reads and that say too little.
func TestWorkerRecords(t *testing.T) {
	config := dispatcher.Config{Token: 1, RecordedOnly: true}
	t.Run("are written once", func(t *testing.T) {
		s := newFixture(t, config, 2)
		assertRecords(t, s, "w0", "w1")
		s.advanceWithoutLog(time.Second)
		assertRecords(t, s)
	})
	t.Run("are deleted when the worker has left", func(t *testing.T) {
		s := newFixture(t, config, 2)
		s.store()
		s.d.SetWorkers(s.now, s.entries("w1"))
		assertRecords(t, s, "-w0")
		s.d.SetWorkers(s.now, s.entries("w0", "w1"))
		s.d.Submit(s.now, 0, workflow("a", step(1, 8000)), 5, nil, nil)
		assert.Empty(t, starts(s.advanceWithoutLog(time.Second))["w0"])
		assertRecords(t, s, "w0")
	})
	t.Run("stay until the ends are stored", func(t *testing.T) {
		s := newFixture(t, config, 1)
		s.store()
		s.d.Submit(s.now, 0, workflow("a", step(1, 1000)), 5, nil, nil)
		list := starts(s.advance(400 * time.Millisecond))["w0"]
		require.Len(t, list, 1)
		s.d.SetWorkers(s.now, nil)
		assertRecords(t, s)
		s.endRun("w0", list[0], briarspring.RunDone)
		s.renew("w0")
		assertRecords(t, s)
		assertRecords(t, s, "-w0")
	})
	t.Run("of an earlier owner are kept, and their workers are asked", func(t *testing.T) {
		s := newFixture(t, config, 2)
		next := &fixture{t: t, now: s.now, workers: s.workers}
		next.newOwner(dispatcher.Config{Token: 9, Predecessor: true, RecordedOnly: true})
		next.d.AddRecordedWorkers([]briarspring.KnownWorker{{ID: "w0", Address: "a", Service: "ledger"}})
		next.d.SetWorkers(s.now, next.entries("w1"))
		assert.Contains(t, next.d.Workers(), "w0")
		assertRecords(t, next, "w1")
		next.hearAll()
		assertRecords(t, next, "-w0")
	})
	t.Run("of an owner that kept the inventory alone are written again", func(t *testing.T) {
		s := newFixture(t, config, 1)
		next := &fixture{t: t, now: s.now, workers: s.workers}
		next.newOwner(dispatcher.Config{Token: 9, Predecessor: true, RecordedOnly: true})
		next.d.AddKnownWorkers([]briarspring.KnownWorker{{ID: "w0", Address: "a", Service: "ledger"}})
		next.d.SetWorkers(s.now, nil)
		assertRecords(t, next, "w0")
	})
}
