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

// TestEvictedExecutorServesOn checks that an executor is stopped only after the
// gateways had time to learn that it is leaving. A gateway that learnt it too
// late sent requests on connections that the executor was closing, and could not
// know whether they had run.
func TestEvictedExecutorServesOn(t *testing.T) {
	const noticeTime = time.Second
	synctest.Test(t, func(t *testing.T) {
		cl := newPair(t, imitator.LogConfig{AppendsPerSecond: 300}, 3, "tartu")
		s := cl.schedulers["tartu-s1"]
		require.NoError(t, cl.submit(s, 0, ledger(t, 3)).Err)
		cl.waitFor(5*time.Second, "executors start", func() bool { return cl.starts("ledger") == 3 })
		cl.hosts.SetLeaving("tartu-w01", true)
		cl.waitFor(5*time.Second, "an executor is being evicted", func() bool {
			evicting := false
			s.ReadStates(func(_ *applier.Config, placement *applier.Placement) {
				for _, id := range placement.WorkerByName("tartu-w01").Tasks() {
					evicting = evicting || placement.Task(id).Evicting()
				}
			})
			return evicting
		})
		began := time.Now()
		cl.waitFor(5*time.Second, "it starts elsewhere", func() bool { return cl.starts("ledger") == 4 })
		for _, e := range cl.journal.Entries() {
			if e.Worker == "tartu-w01" && e.Kind == imitator.JournalCheckpoint {
				assert.GreaterOrEqual(t, e.Time.Sub(began), noticeTime)
			}
		}
		checkJournal(t, cl.journal.Entries())
	})
}
