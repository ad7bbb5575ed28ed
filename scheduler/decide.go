package scheduler

import (
	"time"

	"briarspring"
	"briarspring/applier"
	"briarspring/placer"
)

const (
	// maxBatchEvents limits the events in one record.
	maxBatchEvents = 2000
	// roundInterval is the time between two placement rounds while no record
	// changes their input. Workers that answer again and backoffs that end
	// change it without a record.
	roundInterval = 500 * time.Millisecond
	// maxRoundStarts limits the starts in one round.
	maxRoundStarts = 500
)

// queueNextBatch queues the next batch of events. It waits until the last batch
// was read back, so that every decision is based on the applied state.
func (s *Scheduler) queueNextBatch() {
	now := time.Now()
	if s.ownership.pendingSequence != 0 || now.Sub(s.ownership.lastBatch) < s.config.CommitInterval {
		return
	}
	events := s.reportEvents(now)
	events = append(events, s.reconcileEvents()...)
	events = append(events, s.leavingHostEvents()...)
	switch {
	case s.outOfService():
		events = append(events, s.evacuationEvents()...)
	case s.mayStart(now):
		events = append(events, s.interferenceEvictions()...)
		events = append(events, s.rebalanceEvents()...)
		events = append(events, s.moveReleaseEvents()...)
		events = append(events, s.placementEvents(now)...)
	}
	if len(events) == 0 && now.Sub(s.ownership.lastBatch) >= s.config.IdleBatchInterval {
		events = append(events, briarspring.Beat{})
	}
	if len(events) > 0 {
		s.commitBatch(events[:min(len(events), maxBatchEvents)])
	}
}

// mayStart reports whether both streams were read recently enough for a start
// to reach its worker within the start window.
func (s *Scheduler) mayStart(now time.Time) bool {
	return now.Sub(s.configReadAt) < s.config.StartWindow && now.Sub(s.placementReadAt) < s.config.StartWindow
}

// placementEvents runs one round of placement.
func (s *Scheduler) placementEvents(now time.Time) []briarspring.Event {
	if !s.roundDue && now.Sub(s.lastRound) < roundInterval {
		return nil
	}
	s.roundDue = false
	s.lastRound = now
	queue := s.newQueue(now)
	if queue.empty() {
		return nil
	}
	began := time.Now()
	round := s.placer.NewRound(s.placerWorkers(now))
	queue.placeAll(round)
	s.counters.Rounds++
	s.counters.RoundTime += time.Since(began)
	return s.roundEvents(round)
}

// roundEvents converts the decisions of a round to events.
func (s *Scheduler) roundEvents(round *placer.Round) []briarspring.Event {
	var events []briarspring.Event
	for _, d := range round.Decisions() {
		switch d.Kind {
		case placer.KindStart:
			events = append(events, briarspring.Start{Attempt: d.Attempt, Worker: d.Worker})
			s.waiting.clear(d.Attempt.Task.Workload)
			if d.Probe {
				s.interference.throttles[d.Attempt] = minThrottlePercent
			}
		case placer.KindEvict:
			events = append(events, briarspring.EvictIntent{Attempt: d.Attempt})
		case placer.KindWait:
			if !s.waiting.record(d.Attempt.Task.Workload, d.Reason) {
				continue
			}
		}
		s.recordDecision(Decision{
			Kind: string(d.Kind), Attempt: d.Attempt, Worker: d.Host, Reason: d.Reason, RejectedWorkers: d.Rejected,
		})
	}
	return events
}

// placerWorkers returns the workers in the placer's form.
func (s *Scheduler) placerWorkers(now time.Time) []*placer.Worker {
	workers := make([]*placer.Worker, 0, len(s.placement.Workers()))
	for _, w := range s.placement.Workers() {
		v := &placer.Worker{
			Number: w.Number(), Name: w.Name(), Rack: w.Rack(),
			Free: w.Free(), FreeAfterEvictions: w.Free(), Size: w.Capacity(),
		}
		v.UnusableReason = s.unusableReason(w, now)
		v.Usable = v.UnusableReason == ""
		if v.Usable {
			s.addRunningTasks(v, w)
		}
		workers = append(workers, v)
	}
	return workers
}

func (s *Scheduler) addRunningTasks(v *placer.Worker, w *applier.Worker) {
	for _, id := range w.Tasks() {
		t := s.placement.Task(id)
		l := s.placement.Workload(id.Workload)
		r := placer.Running{
			Attempt:   briarspring.AttemptID{Task: id, Attempt: t.Attempt()},
			Resources: l.Resources(),
			Evicting:  t.Evicting() || t.Cancelled(),
		}
		if c := s.conf.Workload(id.Workload); c != nil && c.Job() != nil {
			r.Class = c.Job().Class()
			r.Weight = c.Job().Weight()
		} else if c != nil {
			r.Service = c.Name()
		}
		if r.Evicting {
			v.FreeAfterEvictions = v.FreeAfterEvictions.Add(r.Resources)
		}
		v.Running = append(v.Running, r)
	}
}

// unusableReason returns why a worker can't take a new task, or "" if it can.
func (s *Scheduler) unusableReason(w *applier.Worker, now time.Time) string {
	a := s.agents[w.Name()]
	switch {
	case w.Gone():
		return "is gone"
	case a == nil || a.receivedAt.IsZero():
		return "has not answered under this epoch yet"
	case a.failures > 0:
		return "does not answer"
	case a.host.Leaving:
		return "is leaving"
	case s.quarantine.unavailable(w.Number(), w.Len(), now):
		return "is quarantined, it failed everything it started"
	}
	return ""
}

// leavingHostEvents evicts the tasks on workers whose hosts are leaving.
func (s *Scheduler) leavingHostEvents() []briarspring.Event {
	var events []briarspring.Event
	for _, name := range s.agentNames() {
		if !s.agents[name].host.Leaving {
			continue
		}
		w := s.placement.WorkerByName(name)
		if w == nil || w.Gone() {
			continue
		}
		for _, id := range w.Tasks() {
			t := s.placement.Task(id)
			if !t.Evicting() && !t.Cancelled() {
				events = append(events, s.evictIntent(s.placement.Workload(id.Workload), t, "its host is leaving"))
			}
		}
	}
	return events
}

// handleEnd drops the throttle of an attempt that ended and records the end.
func (s *Scheduler) handleEnd(e briarspring.End) {
	delete(s.interference.throttles, e.Attempt)
	s.recordDecision(Decision{Kind: "end", Attempt: e.Attempt, Reason: e.Reason.String()})
}
