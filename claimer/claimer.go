// Package claimer decides when a host claims a data centre's workers. It does
// no input or output.
//
// It answers owners that die, freeze, stop or lose the log: hosts of the data
// centre claim it after a short silence, hosts of others after a longer one,
// and a host of the data centre takes it back.
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
	// could claim and before leases of 5 s lapse.
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
	Weak        bool // Larger hosts of the data centre should claim first.
	Owner       string
	Token       uint64        // Of the claim in force; zero when there never was one.
	OwnerLocal  bool          // The owner is in the data centre.
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
	delay := share(s.Host, spread)
	if s.Weak {
		delay += spread
	}
	// Hosts of the data centre come first after a restart, too.
	vacant := s.Token == 0 || s.Owner == "" || s.Restarted && s.Local
	if vacant {
		return vacantClaim(s)
	}
	// A beat goes through two calls, and waits for the one before it. While the log
	// could not be read nobody could beat.
	silence := s.LastRead - max(s.LastBeat, s.ClaimedAt, s.ReadSince) - beatCalls*s.StoreDelay
	switch {
	case s.Local && silence > localSilence+delay:
		return true, "the owner is silent"
	case !s.Local && silence > remoteSilence+delay:
		return true, "the owner is silent and no host of its data centre claims"
	case s.Local && !s.OwnerLocal && s.Now-s.ReadSince > returnAfter+delay:
		return true, "the owner is in another data centre"
	}
	return false, ""
}

// vacantClaim decides about a data centre that certainly has no owner.
func vacantClaim(s Situation) (bool, string) {
	wait := share(s.Host, startSpread)
	if s.Weak {
		wait += startSpread
	}
	if !s.Local {
		wait = remoteSilence + share(s.Host, spread)
	}
	since := s.Now - max(s.ReadSince, s.ClaimedAt)
	if s.Restarted {
		since = s.Now - s.ReadSince
	}
	if since >= wait {
		return true, "there is no owner"
	}
	return false, ""
}

// share returns a part of d that depends on the host's name alone.
func share(host string, d time.Duration) time.Duration {
	h := fnv.New32a()
	h.Write([]byte(host))
	return d * time.Duration(h.Sum32()%shares) / shares
}
