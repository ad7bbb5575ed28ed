package scheduler

import (
	"hash/fnv"
	"time"

	"briarspring"
	"briarspring/applier"
	"briarspring/committer"
	"briarspring/follower"
)

const (
	// maxSnapshotDelay bounds the delay before a due snapshot is written. The
	// delay depends on the process's name, so that usually only one process
	// writes the snapshot.
	maxSnapshotDelay = 2 * time.Second
)

// snapshotTimer tracks when a stream's next snapshot is due.
type snapshotTimer struct {
	coveredOffset uint64    // Offset covered by the newest snapshot in the stream.
	coveredAt     time.Time // When a chunk of it was last read or queued.
	writeAt       time.Time // When this process writes one unless another has; zero if none is due.
}

func (s *Scheduler) snapshotTimer(stream string) *snapshotTimer {
	t := s.snapshots[stream]
	if t == nil {
		t = &snapshotTimer{coveredAt: time.Now()}
		s.snapshots[stream] = t
	}
	return t
}

// observeSnapshotChunk resets the timer when any process writes a snapshot.
func (s *Scheduler) observeSnapshotChunk(stream string, item follower.Item) {
	chunk, ok := item.Record.Body.(briarspring.SnapshotChunk)
	if !ok {
		return
	}
	t := s.snapshotTimer(stream)
	t.coveredOffset = max(t.coveredOffset, chunk.Covers)
	t.coveredAt = time.Now()
	t.writeAt = time.Time{}
}

// writeSnapshots appends the snapshots that are due, well before the log drops
// the records that they cover.
func (s *Scheduler) writeSnapshots() {
	s.writeSnapshot(briarspring.ConfigStream, s.conf.Applied(), s.conf.Snapshot, s.configCommitter)
	if s.owns() {
		s.writeSnapshot(briarspring.PlacementStream(s.config.DataCentre), s.placement.Applied(), s.placement.Snapshot, s.placementCommitter)
	}
}

func (s *Scheduler) writeSnapshot(stream string, applied uint64, encode func() ([]byte, error), c *committer.Committer) {
	now := time.Now()
	t := s.snapshotTimer(stream)
	grown := applied > t.coveredOffset+s.config.SnapshotRecords
	old := applied > t.coveredOffset && now.Sub(t.coveredAt) > s.config.SnapshotInterval
	if !grown && !old || c.Pending() > 0 {
		return
	}
	if t.writeAt.IsZero() {
		t.writeAt = now.Add(s.snapshotDelay(stream))
	}
	if now.Before(t.writeAt) {
		return
	}
	data, err := encode()
	if err != nil {
		s.logger.Error("snapshot can't be encoded", "stream", stream, "error", err)
		return
	}
	for _, chunk := range applier.Chunks(applied, data) {
		c.Commit(chunk)
	}
	t.coveredOffset, t.coveredAt, t.writeAt = applied, now, time.Time{}
	s.logger.Info("writing a snapshot", "stream", stream, "covers", applied, "bytes", len(data))
}

func (s *Scheduler) snapshotDelay(stream string) time.Duration {
	h := fnv.New32a()
	h.Write([]byte(stream + s.config.Name))
	return time.Duration(h.Sum32()%16) * maxSnapshotDelay / 16
}
