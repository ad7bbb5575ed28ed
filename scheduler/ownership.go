package scheduler

import (
	"hash/fnv"
	"time"

	"briarspring"
)

const (
	// maxClaimDelay bounds the delay that keeps the followers of a data centre
	// from claiming at the same time.
	maxClaimDelay = 300 * time.Millisecond
	// claimRetryInterval is the time after a claim before it is repeated, if its
	// record was not read back.
	claimRetryInterval = 2 * time.Second
)

// ownership tracks the owner of the data centre's workers.
type ownership struct {
	lastRecord      time.Time // When a record of the owner was last read.
	lastBatch       time.Time // When this process last queued a batch.
	pendingSequence uint64    // Sequence of the batch not yet read back; zero if none.
	lastClaim       time.Time
	superseded      bool // A worker has reported a higher epoch than the stream.
	ownedSince      time.Time
	resignSent      bool
}

func (o *ownership) ownerSeen() { o.lastRecord = time.Now() }

// owns reports whether this process holds the last valid claim, as far as the
// stream has been read.
func (s *Scheduler) owns() bool {
	return s.self.Name != "" && s.placement.Owner() == s.self && !s.placement.Resigned() && !s.ownership.superseded
}

// resetForEpoch discards the state that belongs to the old epoch.
func (s *Scheduler) resetForEpoch() {
	s.logger.Info("owner changed", "epoch", s.placement.Epoch(), "owner", s.placement.Owner().Name)
	s.ownership.superseded = false
	s.ownership.ownerSeen()
	s.stopAgents()
	if s.placement.Owner() == s.self {
		s.ownership.ownedSince = time.Now()
		s.conf.MarkAllDirty()
		s.reconciler.init()
		s.summary.init()
		clear(s.pendingMoves)
	}
	s.Wake()
}

// claimIfUnowned claims the data centre's workers if they have no owner, or the
// owner has been silent for OwnerTimeout while the log could be read.
func (s *Scheduler) claimIfUnowned() {
	now := time.Now()
	if s.ownership.lastRecord.IsZero() {
		s.ownership.lastRecord = now
	}
	silent := s.placementReadAt.Sub(s.ownership.lastRecord)
	unowned := s.placement.Epoch() == 0 || s.placement.Resigned() || s.placement.Owner().Name == s.self.Name
	if !unowned && silent < s.config.OwnerTimeout+s.claimDelay() {
		return
	}
	if unowned && now.Sub(s.ownership.lastRecord) < s.claimDelay() {
		return
	}
	if now.Sub(s.ownership.lastClaim) < claimRetryInterval || now.Sub(s.placementReadAt) > s.config.OwnerTimeout {
		return
	}
	s.ownership.lastClaim = now
	s.logger.Info("claiming the data centre's workers",
		"epoch", s.placement.Epoch()+1, "old-owner", s.placement.Owner().Name, "silent", silent.Round(time.Millisecond))
	s.placementCommitter.Commit(briarspring.Batch{
		Epoch: s.placement.Epoch() + 1, Events: []briarspring.Event{briarspring.Claim{}},
	})
}

// claimDelay returns this follower's delay before a claim, derived from its
// name so that followers claim at different times.
func (s *Scheduler) claimDelay() time.Duration {
	h := fnv.New32a()
	h.Write([]byte(s.config.Name))
	return time.Duration(h.Sum32()%8) * maxClaimDelay / 8
}

// resign gives up ownership, so that a follower can claim without a timeout.
func (s *Scheduler) resign() {
	if !s.owns() || s.ownership.resignSent {
		return
	}
	s.ownership.resignSent = true
	s.stopAgents()
	s.placementCommitter.Commit(briarspring.Batch{
		Epoch: s.placement.Epoch(), Events: []briarspring.Event{briarspring.Resign{}},
	})
}

// Stop makes the scheduler resign. It returns when the resignation was read
// back, when the scheduler is not the owner, or when giveUp closes or Run ends.
func (s *Scheduler) Stop(giveUp <-chan struct{}) {
	s.locked(func() { s.stopping = true })
	s.Wake()
	for {
		s.mu.Lock()
		owner := s.self.Name != "" && s.placement.Owner() == s.self && !s.placement.Resigned()
		changed := s.changed
		s.mu.Unlock()
		if !owner {
			return
		}
		select {
		case <-changed:
		case <-giveUp:
			return
		case <-s.done:
			return
		}
	}
}

// commitBatch queues a batch of events under the current epoch.
func (s *Scheduler) commitBatch(events []briarspring.Event) {
	sequence, ok := s.placementCommitter.Commit(briarspring.Batch{Epoch: s.placement.Epoch(), Events: events})
	if !ok {
		return
	}
	s.ownership.pendingSequence = sequence
	s.ownership.lastBatch = time.Now()
	s.counters.Batches++
	s.counters.Events += uint64(len(events))
}
