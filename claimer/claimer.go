// Package claimer decides when a host claims a data centre's workers. It does
// no input or output.
//
// It answers owners that die, freeze, stop or lose the log: hosts of the data
// centre claim it after a short silence, hosts of others after a longer one,
// and a host of the data centre takes it back. Where hosts differ much in size,
// small ones leave data centres to large ones, also to those of others.
package claimer

import (
	"hash/fnv"
	"time"
)

const (
	// localSilence of an owner lets hosts of its data centre claim. A beat is due
	// every 0.4 s; what a slow log adds is counted apart.
	localSilence = 1800 * time.Millisecond
	// beatCalls is how many calls to the log a beat may be late for.
	beatCalls = 4
	// remoteSilence lets hosts of other data centres claim, after all local ones
	// could claim and before leases of 5.5 s lapse.
	remoteSilence = 3600 * time.Millisecond
	// spread of claims over hosts, so that few claim at once.
	spread = 600 * time.Millisecond
	// startSpread is the same for a data centre without an owner.
	startSpread = 120 * time.Millisecond
	// retryAfter a claim that was not read back.
	retryAfter = 1500 * time.Millisecond
	// returnAfter is how long a host must have read the log without a gap before
	// it takes its data centre back from another one's host.
	returnAfter = 2500 * time.Millisecond
	// strongRemoteDelay after localSilence lets large hosts of other data centres
	// claim, before small local ones, which can't renew the leases of a hundred
	// workers.
	strongRemoteDelay = 900 * time.Millisecond
	// strongRemoteWait is the same for a data centre without an owner; a large local
	// host that begins a new life is back within that time or not soon.
	strongRemoteWait = 500 * time.Millisecond
	// weakWait of a small host for a data centre without an owner.
	weakWait = 1500 * time.Millisecond
	// shares is the number of different delays that names of hosts give.
	shares = 16
	// maxReadAge of the state on which a claim may be based.
	maxReadAge = 400 * time.Millisecond
)

// Situation is what a host knows when it decides.
type Situation struct {
	Now         time.Duration
	Host        string
	Local       bool // The host is in the data centre.
	Weak        bool // Hosts that are much larger are known.
	Mixed       bool // Hosts of very different sizes are known.
	Owner       string
	Token       uint64        // Of the claim in force; zero when there never was one.
	OwnerLocal  bool          // The owner is in the data centre.
	OwnerWeak   bool          // Hosts that are much larger than the owner are known.
	LastBeat    time.Duration // When the owner's last sign of life was read.
	ClaimedAt   time.Duration // When the claim in force was read.
	LastRead    time.Duration // When the last successful read was sent.
	ReadSince   time.Duration // Since when reads succeed without a gap.
	StoreDelay  time.Duration // How long the log takes to answer.
	LastAttempt time.Duration // When this host last claimed; zero for never.
	Restarted   bool          // The owner's process has begun a new life.
}

// ShouldClaim reports whether the host claims now, and why.
func ShouldClaim(s Situation) (bool, string) {
	if s.Now-s.LastRead > maxReadAge {
		return false, ""
	}
	if s.LastAttempt != 0 && s.Now-s.LastAttempt < retryAfter {
		return false, ""
	}
	// Hosts of the data centre come first after a restart, too.
	vacant := s.Token == 0 || s.Owner == "" || s.Restarted && s.Local
	if vacant {
		return vacantClaim(s)
	}
	// A beat goes through two calls, and waits for the one before it. While the log
	// could not be read nobody could beat.
	silence := s.LastRead - max(s.LastBeat, s.ClaimedAt, s.ReadSince) - beatCalls*s.StoreDelay
	if silence > patience(s)+share(s.Host, spread) {
		if s.Local {
			return true, "the owner is silent"
		}
		return true, "the owner is silent and no host of its data centre claims"
	}
	if !s.Local || s.Weak || s.Now-s.ReadSince <= returnAfter+share(s.Host, spread) {
		return false, ""
	}
	switch {
	case !s.OwnerLocal:
		return true, "the owner is in another data centre"
	case s.OwnerWeak:
		return true, "the owner is a small host"
	}
	return false, ""
}

// patience returns the silence of an owner after which a host may claim.
func patience(s Situation) time.Duration {
	switch {
	case s.Local && !s.Weak:
		return localSilence
	case s.Mixed && !s.Weak:
		return localSilence + strongRemoteDelay
	case s.Local || !s.Weak:
		return remoteSilence
	}
	return remoteSilence + spread
}

// vacantClaim decides about a data centre that certainly has no owner.
func vacantClaim(s Situation) (bool, string) {
	since := s.Now - max(s.ReadSince, s.ClaimedAt)
	if s.Restarted {
		since = s.Now - s.ReadSince
	}
	if since >= vacantWait(s) {
		return true, "there is no owner"
	}
	return false, ""
}

// vacantWait returns how long a host leaves a data centre without an owner to
// others.
func vacantWait(s Situation) time.Duration {
	switch {
	case s.Local && !s.Weak:
		return share(s.Host, startSpread)
	case s.Mixed && !s.Weak:
		return strongRemoteWait + share(s.Host, startSpread)
	case s.Local:
		return weakWait + share(s.Host, spread)
	case s.Weak:
		return remoteSilence + spread + share(s.Host, spread)
	}
	return remoteSilence + share(s.Host, spread)
}

// share returns a part of d that depends on the host's name alone.
func share(host string, d time.Duration) time.Duration {
	h := fnv.New32a()
	h.Write([]byte(host))
	return d * time.Duration(h.Sum32()%shares) / shares
}
