// Package claimer decides when a host claims ownership of a data centre's
// workers. It does no I/O.
//
// It handles owners that crash, freeze, stop or lose access to the log: hosts
// in the data centre claim it after a short silence, hosts in other data
// centres after a longer one, and a host in the data centre later reclaims it.
// Where host sizes differ widely, small hosts yield to large ones, including
// those in other data centres.
package claimer

import (
	"hash/fnv"
	"time"
)

const (
	// localSilence is the owner's silence after which hosts in its data centre
	// claim it. A heartbeat is due every 0.4 s; the delay of a slow log is
	// allowed for separately, see heartbeatStoreCalls.
	localSilence = 1800 * time.Millisecond
	// heartbeatStoreCalls is the number of store calls by which a heartbeat may
	// be late.
	heartbeatStoreCalls = 4
	// remoteSilence is the silence after which hosts in other data centres claim:
	// after every local host had its chance and before leases of 5.5 s expire.
	remoteSilence = 3600 * time.Millisecond
	// claimSpread staggers the claims of different hosts, so that few claim at
	// once.
	claimSpread = 600 * time.Millisecond
	// vacantSpread does the same for a data centre without an owner.
	vacantSpread = 120 * time.Millisecond
	// claimRetryDelay is the time before a claim that was not read back is
	// repeated.
	claimRetryDelay = 1500 * time.Millisecond
	// reclaimAfter is how long a host must have read the log without a gap before
	// it reclaims its data centre from a host elsewhere or from a small one.
	reclaimAfter = 2500 * time.Millisecond
	// largeRemoteDelay is added to localSilence for large hosts in other data
	// centres. They claim before small local hosts, which can't renew the leases
	// of a hundred workers.
	largeRemoteDelay = 900 * time.Millisecond
	// vacantLargeRemoteDelay is the delay of large hosts in other data centres
	// when there is no owner. A large local host that restarts is either back
	// within that time or not for a while.
	vacantLargeRemoteDelay = 500 * time.Millisecond
	// vacantSmallLocalDelay is the delay of a small local host when there is no
	// owner.
	vacantSmallLocalDelay = 1500 * time.Millisecond
	// staggerSteps is the number of distinct delays that host names map to.
	staggerSteps = 16
	// maxReadAge bounds the age of the state that a claim may be based on.
	maxReadAge = 400 * time.Millisecond
)

// State is the input of a host's decision.
type State struct {
	Now           time.Duration
	Host          string
	Local         bool // The host is in the data centre.
	Small         bool // Much larger hosts than this one are known.
	SizesDiffer   bool // Known hosts differ widely in size.
	Owner         string
	Token         uint64        // Token of the claim in force; zero if there never was one.
	OwnerLocal    bool          // The owner is in the data centre.
	OwnerSmall    bool          // Much larger hosts than the owner are known.
	LastHeartbeat time.Duration // When the owner's last heartbeat was read.
	ClaimedAt     time.Duration // When the claim in force was read.
	LastRead      time.Duration // When the last successful read was sent.
	ReadSince     time.Duration // Start of the present period of reads without a gap.
	StoreDelay    time.Duration // How long the log takes to answer.
	LastAttempt   time.Duration // When this host last claimed; zero for never.
	Restarted     bool          // The owner's process has restarted.
}

// ShouldClaim reports whether the host should claim now, and why.
func ShouldClaim(s State) (bool, string) {
	if s.Now-s.LastRead > maxReadAge {
		return false, ""
	}
	if s.LastAttempt != 0 && s.Now-s.LastAttempt < claimRetryDelay {
		return false, ""
	}
	// A restarted owner makes the data centre vacant for local hosts only, which
	// gives them precedence.
	vacant := s.Token == 0 || s.Owner == "" || s.Restarted && s.Local
	if vacant {
		return shouldClaimVacant(s)
	}
	// A heartbeat takes two calls and waits for the previous one. Time during
	// which the log was unreadable doesn't count, since no owner could send
	// heartbeats.
	silence := s.LastRead - max(s.LastHeartbeat, s.ClaimedAt, s.ReadSince) - heartbeatStoreCalls*s.StoreDelay
	if silence > requiredSilence(s)+stagger(s.Host, claimSpread) {
		if s.Local {
			return true, "the owner is silent"
		}
		return true, "the owner is silent and no host in its data centre has claimed"
	}
	if !s.Local || s.Small || s.Now-s.ReadSince <= reclaimAfter+stagger(s.Host, claimSpread) {
		return false, ""
	}
	switch {
	case !s.OwnerLocal:
		return true, "the owner is in another data centre"
	case s.OwnerSmall:
		return true, "the owner is a small host"
	}
	return false, ""
}

// requiredSilence returns the owner's silence after which a host may claim.
func requiredSilence(s State) time.Duration {
	switch {
	case s.Local && !s.Small:
		return localSilence
	case s.SizesDiffer && !s.Small:
		return localSilence + largeRemoteDelay
	case s.Local || !s.Small:
		return remoteSilence
	}
	return remoteSilence + claimSpread
}

// shouldClaimVacant decides on a data centre that certainly has no owner.
func shouldClaimVacant(s State) (bool, string) {
	since := s.Now - max(s.ReadSince, s.ClaimedAt)
	if s.Restarted {
		since = s.Now - s.ReadSince
	}
	if since >= vacantDelay(s) {
		return true, "there is no owner"
	}
	return false, ""
}

// vacantDelay returns how long a host waits for others to claim a data centre
// without an owner.
func vacantDelay(s State) time.Duration {
	switch {
	case s.Local && !s.Small:
		return stagger(s.Host, vacantSpread)
	case s.SizesDiffer && !s.Small:
		return vacantLargeRemoteDelay + stagger(s.Host, vacantSpread)
	case s.Local:
		return vacantSmallLocalDelay + stagger(s.Host, claimSpread)
	case s.Small:
		return remoteSilence + claimSpread + stagger(s.Host, claimSpread)
	}
	return remoteSilence + stagger(s.Host, claimSpread)
}

// stagger returns a fraction of d that depends only on the host's name.
func stagger(host string, d time.Duration) time.Duration {
	h := fnv.New32a()
	h.Write([]byte(host))
	return d * time.Duration(h.Sum32()%staggerSteps) / staggerSteps
}
