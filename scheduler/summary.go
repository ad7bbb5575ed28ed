package scheduler

import (
	"time"

	"briarspring"
	"briarspring/applier"
)

const (
	// summaryRepeatInterval is the time after which an unchanged summary is
	// repeated.
	summaryRepeatInterval = 10 * time.Second
	// maxSummaryProgress limits the workloads with progress in one summary.
	maxSummaryProgress = 2000
)

// sentState holds what the owner has published to the other data centres.
type sentState struct {
	sentAt        time.Time
	sent          briarspring.Summary
	progress      map[briarspring.WorkloadID]briarspring.Progress
	transferSent  map[briarspring.WorkloadID]time.Time
	lastRebalance time.Time
}

func (m *sentState) init() {
	m.sentAt = time.Time{}
	m.progress = map[briarspring.WorkloadID]briarspring.Progress{}
	m.transferSent = map[briarspring.WorkloadID]time.Time{}
}

// stale reports whether a workload's published progress is out of date.
func (m *sentState) stale(l *applier.AdoptedWorkload) bool { return m.progress[l.ID()] != l.Progress() }

// publishSummary appends a summary of this data centre for the others, if it has
// changed or is due again.
func (s *Scheduler) publishSummary() {
	now := time.Now()
	if now.Sub(s.summary.sentAt) < s.config.SummaryInterval || s.configCommitter.Pending() > 0 {
		return
	}
	sum := s.currentSummary()
	progress := s.changedProgress()
	if len(progress) == 0 && equalTotals(sum, s.summary.sent) && now.Sub(s.summary.sentAt) < summaryRepeatInterval {
		return
	}
	s.summary.sentAt = now
	s.summary.sent = sum
	sum.Progress = progress
	if _, ok := s.configCommitter.Commit(sum); !ok {
		return
	}
	for _, p := range progress {
		s.summary.progress[p.Workload] = p
	}
}

func (s *Scheduler) currentSummary() briarspring.Summary {
	capacity, committed, largest, workers := s.placement.Totals()
	return briarspring.Summary{
		DataCentre: s.config.DataCentre, Epoch: s.placement.Epoch(), Owner: s.config.Name,
		Capacity: capacity, Committed: committed, Largest: largest, Workers: workers,
	}
}

func equalTotals(a, b briarspring.Summary) bool {
	return a.DataCentre == b.DataCentre && a.Epoch == b.Epoch && a.Capacity == b.Capacity &&
		a.Committed == b.Committed && a.Workers == b.Workers && a.Largest == b.Largest
}

func (s *Scheduler) changedProgress() []briarspring.Progress {
	var out []briarspring.Progress
	for _, id := range s.placement.Workloads() {
		l := s.placement.Workload(id)
		if s.summary.stale(l) {
			out = append(out, l.Progress())
		}
		if len(out) == maxSummaryProgress {
			break
		}
	}
	return out
}
