package scheduler_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"briarspring/applier"
	"briarspring/imitator"
)

// TestEvictedExecutorServesOn checks that an executor is stopped only after
// gateways had the time to learn that it leaves. Those that were told a moment
// later sent requests on connections that the executor was closing, and could
// not tell whether these ran.
func TestEvictedExecutorServesOn(t *testing.T) {
	const told = time.Second
	synctest.Test(t, func(t *testing.T) {
		b := newPair(t, imitator.LogConfig{AppendsPerSecond: 300}, 3, "tartu")
		s := b.schedulers["tartu-s1"]
		require.NoError(t, b.submit(s, 0, ledger(t, 3)).Err)
		b.waitFor(5*time.Second, "executors start", func() bool { return b.starts("ledger") == 3 })
		b.hosts.SetLeaving("tartu-w01", true)
		b.waitFor(5*time.Second, "an executor is being evicted", func() bool {
			evicting := false
			s.View(func(_ *applier.Config, place *applier.Placement) {
				for _, id := range place.WorkerByName("tartu-w01").Tasks() {
					evicting = evicting || place.Task(id).Evicting()
				}
			})
			return evicting
		})
		began := time.Now()
		b.waitFor(5*time.Second, "it starts elsewhere", func() bool { return b.starts("ledger") == 4 })
		for _, e := range b.journal.Entries() {
			if e.Worker == "tartu-w01" && e.Kind == imitator.JournalCheckpoint {
				assert.GreaterOrEqual(t, e.Time.Sub(began), told)
			}
		}
		checkJournal(t, b.journal.Entries())
	})
}
