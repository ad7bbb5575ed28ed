package scheduler

import (
	"briarspring"
	"briarspring/applier"
	"briarspring/follower"
)

// applyConfigItem applies one item of the configuration stream.
func (s *Scheduler) applyConfigItem(item follower.Item) {
	switch {
	case item.Snapshot != nil:
		s.restoreConfig(item)
	case !item.CaughtUp.IsZero():
		s.configReadAt = item.CaughtUp
		return
	case item.DecodeErr != nil:
		s.conf.Skip(item.Offset)
	default:
		s.observeSnapshotChunk(briarspring.ConfigStream, item)
		answer, ok := s.conf.Apply(item.Offset, item.Record)
		if ok {
			s.deliver(answer)
		}
		s.roundDue = true
	}
	s.notify()
}

// restoreConfig replaces the state with a snapshot unless the snapshot is older.
func (s *Scheduler) restoreConfig(item follower.Item) {
	if item.Offset < s.conf.Applied() {
		return
	}
	restored, err := applier.RestoreConfig(item.Snapshot)
	if err != nil {
		s.logger.Error("snapshot can't be restored", "stream", briarspring.ConfigStream, "error", err)
		return
	}
	s.conf = restored
	for id := range s.answers {
		if a, ok := s.conf.Answer(id); ok {
			s.deliver(a)
		}
	}
}

// deliver sends an answer to the Submit calls that wait for it.
func (s *Scheduler) deliver(a applier.Answer) {
	for _, ch := range s.answers[a.RequestID] {
		ch <- a
	}
	delete(s.answers, a.RequestID)
	if a.Err != nil {
		s.logger.Info("command refused", "request-id", a.RequestID, "offset", a.Offset, "error", a.Err)
		return
	}
	s.logger.Info("command applied", "request-id", a.RequestID, "offset", a.Offset, "version", a.Version)
}

// applyPlacementItem applies one item of the placement stream.
func (s *Scheduler) applyPlacementItem(item follower.Item) {
	switch {
	case item.Snapshot != nil:
		s.restorePlacement(item)
	case !item.CaughtUp.IsZero():
		s.placementReadAt = item.CaughtUp
		return
	case item.DecodeErr != nil:
		s.placement.Skip(item.Offset)
	default:
		s.observeSnapshotChunk(briarspring.PlacementStream(s.config.DataCentre), item)
		s.applyPlacementRecord(item)
	}
	s.notify()
}

func (s *Scheduler) restorePlacement(item follower.Item) {
	if item.Offset < s.placement.Applied() {
		return
	}
	restored, err := applier.RestorePlacement(item.Snapshot)
	if err != nil {
		s.logger.Error("snapshot can't be restored", "stream", "placement", "error", err)
		return
	}
	s.placement = restored
	s.ownership.ownerSeen()
}

func (s *Scheduler) applyPlacementRecord(item follower.Item) {
	epoch := s.placement.Epoch()
	outcomes := s.placement.Apply(item.Offset, item.Record)
	if item.Record.Writer == s.self && item.Record.Sequence >= s.ownership.pendingSequence {
		s.ownership.pendingSequence = 0
	}
	if item.Record.Writer == s.placement.Owner() {
		s.ownership.ownerSeen()
	}
	if s.placement.Epoch() != epoch {
		s.resetForEpoch()
	}
	for _, o := range outcomes {
		if o.Err != nil {
			s.logger.Info("event has no effect", "offset", item.Offset, "writer", item.Record.Writer.Name, "error", o.Err)
			continue
		}
		s.handleAppliedEvent(o.Event)
	}
}

// handleAppliedEvent wakes the agents that an applied event concerns and updates
// the state that is not stored in the streams.
func (s *Scheduler) handleAppliedEvent(event briarspring.Event) {
	if _, idle := event.(briarspring.Beat); !idle {
		s.roundDue = true
	}
	switch e := event.(type) {
	case briarspring.Start:
		s.wakeWorker(e.Worker)
	case briarspring.EvictIntent:
		if t := s.placement.Open(e.Attempt); t != nil {
			s.wakeWorker(t.Worker())
		}
	case briarspring.End:
		s.handleEnd(e)
	case briarspring.Cancel:
		s.wakeAllAgents()
	case briarspring.Forget:
		s.waiting.forget(e.Workload)
		s.quarantine.forget(e.Workload)
	}
}
