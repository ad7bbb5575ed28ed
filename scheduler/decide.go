package scheduler

import (
	"time"

	"briarspring"
	"briarspring/applier"
	"briarspring/placer"
)

const (
	// maxBatchEvents bounds the events of one record.
	maxBatchEvents = 2000
	// roundInterval is the time between two rounds while no record changes what
	// placement depends on: workers that answer again, backoffs that end.
	roundInterval = 500 * time.Millisecond
	// maxRoundStarts bounds the starts of one round.
	maxRoundStarts = 500
)

// decide queues the next batch of events, unless the last one was not read back
// yet: decisions are taken on what is in force, one batch at a time.
func (s *Scheduler) decide() {
	now := time.Now()
	if s.ownership.outstanding != 0 || now.Sub(s.ownership.lastBatch) < s.config.CommitInterval {
		return
	}
	events := s.reportEvents(now)
	events = append(events, s.reconcileEvents()...)
	events = append(events, s.leavingEvents()...)
	switch {
	case s.out():
		events = append(events, s.moveEvents()...)
	case s.mayStart(now):
		events = append(events, s.guardEvents()...)
		events = append(events, s.rebalanceEvents()...)
		events = append(events, s.moveReleases()...)
		events = append(events, s.placeEvents(now)...)
	}
	if len(events) == 0 && now.Sub(s.ownership.lastBatch) >= s.config.BeatInterval {
		events = append(events, briarspring.Beat{})
	}
	if len(events) > 0 {
		s.commitBatch(events[:min(len(events), maxBatchEvents)])
	}
}

// mayStart reports whether the log was read recently enough for a start to
// reach its worker in time.
func (s *Scheduler) mayStart(now time.Time) bool {
	return now.Sub(s.confRead) < s.config.StartWindow && now.Sub(s.placeRead) < s.config.StartWindow
}

// placeEvents runs one round of placement.
func (s *Scheduler) placeEvents(now time.Time) []briarspring.Event {
	if !s.roundDue && now.Sub(s.lastRound) < roundInterval {
		return nil
	}
	s.roundDue = false
	s.lastRound = now
	queue := s.newQueue(now)
	if queue.empty() {
		return nil
	}
	begin := time.Now()
	round := s.placer.NewRound(s.view(now))
	queue.run(round)
	s.counters.Rounds++
	s.counters.RoundTime += time.Since(begin)
	return s.roundEvents(round)
}

// roundEvents maps the decisions of a round to events.
func (s *Scheduler) roundEvents(round *placer.Round) []briarspring.Event {
	var events []briarspring.Event
	for _, d := range round.Decisions() {
		switch d.Kind {
		case placer.KindStart:
			events = append(events, briarspring.Start{Attempt: d.Attempt, Worker: d.Worker})
			s.waiting.clear(d.Attempt.Task.Workload)
			if d.Probe {
				s.guard.throttle[d.Attempt] = lowestThrottle
			}
		case placer.KindEvict:
			events = append(events, briarspring.EvictIntent{Attempt: d.Attempt})
		case placer.KindWait:
			if !s.waiting.note(d.Attempt.Task.Workload, d.Reason) {
				continue
			}
		}
		s.recordDecision(Decision{
			Kind: string(d.Kind), Attempt: d.Attempt, Worker: d.Host, Reason: d.Reason, Rejected: d.Rejected,
		})
	}
	return events
}

// view returns the workers as the placer sees them.
func (s *Scheduler) view(now time.Time) []*placer.Worker {
	workers := make([]*placer.Worker, 0, len(s.place.Workers()))
	for _, w := range s.place.Workers() {
		v := &placer.Worker{
			Number: w.Number(), Name: w.Name(), Rack: w.Rack(),
			Free: w.Free(), Soon: w.Free(), Size: w.Capacity(),
		}
		v.Why = s.whyUnusable(w, now)
		v.Usable = v.Why == ""
		if v.Usable {
			s.viewTasks(v, w)
		}
		workers = append(workers, v)
	}
	return workers
}

func (s *Scheduler) viewTasks(v *placer.Worker, w *applier.Worker) {
	for _, id := range w.Tasks() {
		t := s.place.Task(id)
		l := s.place.Load(id.Workload)
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
			v.Soon = v.Soon.Add(r.Resources)
		}
		v.Running = append(v.Running, r)
	}
}

// whyUnusable returns why a worker takes no new task, or "".
func (s *Scheduler) whyUnusable(w *applier.Worker, now time.Time) string {
	a := s.agents[w.Name()]
	switch {
	case w.Gone():
		return "is gone"
	case a == nil || a.received.IsZero():
		return "was not reached under this epoch"
	case a.failures > 0:
		return "does not answer"
	case a.host.Leaving:
		return "is leaving"
	case s.quarantine.closed(w.Number(), w.Len(), now):
		return "is quarantined, it failed everything it started"
	}
	return ""
}

// leavingEvents evicts what runs on workers whose hosts are leaving.
func (s *Scheduler) leavingEvents() []briarspring.Event {
	var events []briarspring.Event
	for _, name := range s.agentNames() {
		if !s.agents[name].host.Leaving {
			continue
		}
		w := s.place.WorkerByName(name)
		if w == nil || w.Gone() {
			continue
		}
		for _, id := range w.Tasks() {
			t := s.place.Task(id)
			if !t.Evicting() && !t.Cancelled() {
				events = append(events, s.evictIntent(s.place.Load(id.Workload), t, "its host is leaving"))
			}
		}
	}
	return events
}

// noteEnd learns from how an attempt ended.
func (s *Scheduler) noteEnd(e briarspring.End) {
	delete(s.guard.throttle, e.Attempt)
	s.recordDecision(Decision{Kind: "end", Attempt: e.Attempt, Reason: e.Reason.String()})
}
