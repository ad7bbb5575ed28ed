package claimer_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"briarspring/claimer"
)

const second = time.Second

// healthy returns a host that follows the log while the owner sends heartbeats.
func healthy(now time.Duration) claimer.State {
	return claimer.State{
		Now: now, Host: "host-1", Local: true, Owner: "host-2", Token: 9, OwnerLocal: true,
		LastHeartbeat: now - 300*time.Millisecond, LastRead: now - 20*time.Millisecond, ReadSince: now - 20*second,
	}
}

func assertClaims(t *testing.T, want bool, s claimer.State) {
	t.Helper()
	got, why := claimer.ShouldClaim(s)
	assert.Equal(t, want, got, why)
}

func TestShouldClaim(t *testing.T) {
	t.Run("not while the owner sends heartbeats", func(t *testing.T) { assertClaims(t, false, healthy(60*second)) })
	t.Run("when the owner is silent", func(t *testing.T) {
		s := healthy(60 * second)
		s.LastHeartbeat = s.Now - 3*second
		assertClaims(t, true, s)
	})
	t.Run("later in another data centre", func(t *testing.T) {
		s := healthy(60 * second)
		s.Local = false
		s.LastHeartbeat = s.Now - 3*second
		assertClaims(t, false, s)
		s.LastHeartbeat = s.Now - 5*second
		assertClaims(t, true, s)
	})
	t.Run("not on a stale read", func(t *testing.T) {
		s := healthy(60 * second)
		s.LastHeartbeat, s.LastRead = s.Now-5*second, s.Now-second
		assertClaims(t, false, s)
	})
	// A log that is 75 times slower delays heartbeats, and every takeover costs a
	// barrier. Rolling stops with such a log changed the owner of one data centre
	// four times.
	t.Run("not because the log is slow", func(t *testing.T) {
		s := healthy(60 * second)
		s.LastHeartbeat, s.StoreDelay = s.Now-2600*time.Millisecond, 350*time.Millisecond
		assertClaims(t, false, s)
	})
	// After an outage of the log, every host claimed every data centre at once.
	t.Run("not because the log was unreadable", func(t *testing.T) {
		s := healthy(60 * second)
		s.LastHeartbeat, s.ReadSince = s.Now-6*second, s.Now-second
		assertClaims(t, false, s)
	})
	t.Run("soon when the owner's process restarted", func(t *testing.T) {
		s := healthy(60 * second)
		s.Restarted = true
		assertClaims(t, true, s)
		s.Local = false
		assertClaims(t, false, s)
	})
	t.Run("when a host of another data centre is the owner", func(t *testing.T) {
		s := healthy(60 * second)
		s.OwnerLocal = false
		assertClaims(t, true, s)
		s.ReadSince = s.Now - second
		assertClaims(t, false, s)
	})
	t.Run("not again before the last attempt can have been read", func(t *testing.T) {
		s := healthy(60 * second)
		s.LastHeartbeat, s.LastAttempt = s.Now-5*second, s.Now-second
		assertClaims(t, false, s)
	})
}

// With a few large hosts and many small ones, small hosts took over data
// centres that large ones had just given up, and could not renew the leases of
// their workers.
func TestSmallHosts(t *testing.T) {
	small := func(s claimer.State) claimer.State {
		s.Small, s.SizesDiffer = true, true
		return s
	}
	large := func(s claimer.State) claimer.State {
		s.SizesDiffer = true
		return s
	}
	vacant := func(since time.Duration) claimer.State {
		s := healthy(60 * second)
		s.Owner, s.LastHeartbeat, s.ClaimedAt = "", 0, s.Now-since
		return s
	}
	elsewhere := func(s claimer.State) claimer.State {
		s.Local, s.OwnerLocal = false, false
		return s
	}
	t.Run("leave a vacant data centre to large ones, also remote ones", func(t *testing.T) {
		assertClaims(t, true, large(vacant(200*time.Millisecond)))
		assertClaims(t, false, small(vacant(time.Second)))
		assertClaims(t, false, elsewhere(large(vacant(200*time.Millisecond))))
		assertClaims(t, true, elsewhere(large(vacant(700*time.Millisecond))))
		assertClaims(t, true, small(vacant(2200*time.Millisecond)))
	})
	t.Run("wait longer for a silent owner", func(t *testing.T) {
		s := healthy(60 * second)
		s.LastHeartbeat = s.Now - 3400*time.Millisecond
		assertClaims(t, true, large(s))
		assertClaims(t, true, elsewhere(large(s)))
		assertClaims(t, false, small(s))
		s.LastHeartbeat = s.Now - 4300*time.Millisecond
		assertClaims(t, true, small(s))
		assertClaims(t, false, elsewhere(small(s)))
	})
	t.Run("are replaced by a large local one", func(t *testing.T) {
		s := healthy(60 * second)
		s.OwnerSmall = true
		assertClaims(t, true, large(s))
		assertClaims(t, false, small(s))
		assertClaims(t, false, elsewhere(large(s)))
	})
	t.Run("do not reclaim from a large one elsewhere", func(t *testing.T) {
		s := healthy(60 * second)
		s.OwnerLocal = false
		assertClaims(t, true, large(s))
		assertClaims(t, false, small(s))
	})
	t.Run("wait as long as any remote host if all hosts have the same size", func(t *testing.T) {
		assertClaims(t, false, elsewhere(vacant(700*time.Millisecond)))
		assertClaims(t, true, elsewhere(vacant(4300*time.Millisecond)))
	})
}
