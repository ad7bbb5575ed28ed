package scheduler

import (
	"context"
	"sync"
	"time"

	"briarspring"
	"briarspring/applier"
	"briarspring/sleeper"
)

const (
	// lapseMargin covers the rounding of clock readings to milliseconds.
	lapseMargin = 50 * time.Millisecond
	// exchangePause keeps pokes from causing an exchange each.
	exchangePause = 10 * time.Millisecond
)

// agent is the owner's dealings with one worker under one epoch.
type agent struct {
	host   briarspring.Host
	epoch  uint64
	poke   chan struct{}
	cancel context.CancelFunc

	report    briarspring.WorkerReport
	received  time.Time // Of the last report; zero while the worker is not fenced.
	reported  map[briarspring.AttemptID]briarspring.TaskReport
	leaseSent time.Duration // Highest lease that the worker may hold, by its clock.
	notAfter  map[briarspring.AttemptID]time.Duration
	throttles map[briarspring.AttemptID]uint32    // In force, as far as they were sent.
	leaving   map[briarspring.AttemptID]time.Time // Since when gateways are told that an executor leaves.
	dirty     bool                                // The last report was not looked at yet.
	failures  int
	lossSince time.Time // When the operators' declaration was first seen.
}

// runAgents keeps one agent for each worker on the list of hosts.
func (s *Scheduler) runAgents(ctx context.Context, duties *sync.WaitGroup) {
	for _, a := range s.agents {
		if a.cancel != nil {
			continue
		}
		agentCtx, cancel := context.WithCancel(ctx)
		a.cancel = cancel
		a.epoch = s.place.Epoch()
		duties.Go(func() { s.runAgent(agentCtx, a) })
	}
}

// stopAgents ends the dealings of an old epoch; the hosts stay known.
func (s *Scheduler) stopAgents() {
	for name, a := range s.agents {
		if a.cancel != nil {
			a.cancel()
		}
		s.agents[name] = newAgent(a.host)
	}
}

func newAgent(host briarspring.Host) *agent {
	return &agent{
		host:      host,
		poke:      make(chan struct{}, 1),
		reported:  map[briarspring.AttemptID]briarspring.TaskReport{},
		notAfter:  map[briarspring.AttemptID]time.Duration{},
		throttles: map[briarspring.AttemptID]uint32{},
		leaving:   map[briarspring.AttemptID]time.Time{},
	}
}

func (a *agent) wake() {
	select {
	case a.poke <- struct{}{}:
	default:
	}
}

func (s *Scheduler) pokeWorker(number uint32) {
	w := s.place.Worker(number)
	if w == nil {
		return
	}
	if a := s.agents[w.Name()]; a != nil {
		a.wake()
	}
}

func (s *Scheduler) pokeAll() {
	for _, a := range s.agents {
		a.wake()
	}
}

// runAgent exchanges with a worker until its context ends.
func (s *Scheduler) runAgent(ctx context.Context, a *agent) {
	for ctx.Err() == nil {
		if s.exchange(ctx, a) {
			_ = sleeper.For(ctx, exchangePause)
			continue
		}
		t := time.NewTimer(s.config.ExchangeInterval / 2)
		select {
		case <-ctx.Done():
		case <-a.poke:
		case <-t.C:
		}
		t.Stop()
	}
}

// exchange sends the worker what the state asks for and keeps its report. It
// reports false when the worker did not answer.
func (s *Scheduler) exchange(ctx context.Context, a *agent) bool {
	s.mu.Lock()
	if a.epoch != s.place.Epoch() || !s.owns() {
		s.mu.Unlock()
		return false
	}
	e := s.commands(a)
	address := a.host.Address
	s.counters.Exchanges++
	s.mu.Unlock()

	report, poked, err := s.call(ctx, a, address, e)
	received := time.Now()

	s.mu.Lock()
	defer s.mu.Unlock()
	if a.epoch != s.place.Epoch() || ctx.Err() != nil {
		return false
	}
	if err != nil && poked {
		return true
	}
	if err != nil {
		a.failures++
		s.counters.ExchangeErrors++
		if a.failures == 1 {
			s.logger.Warn("worker did not answer", "worker", a.host.Name, "error", err)
		}
		return false
	}
	s.takeReport(a, e, report, received)
	return true
}

// call makes one exchange. While it only waits for news of the worker, a poke
// ends it, so that commands reach the worker at once.
func (s *Scheduler) call(ctx context.Context, a *agent, address string, e briarspring.Exchange) (report briarspring.WorkerReport, poked bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, s.config.ExchangeTimeout+e.Wait)
	defer cancel()
	if e.Wait == 0 {
		report, err = s.config.Workers.Exchange(ctx, address, e)
		return report, false, err
	}
	ended := make(chan struct{})
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		select {
		case <-a.poke:
			poked = true
			cancel()
		case <-ended:
		}
	}()
	report, err = s.config.Workers.Exchange(ctx, address, e)
	close(ended)
	<-watched
	return report, poked, err
}

// takeReport keeps a report, which lists all tasks or those that changed after
// the last one that arrived.
func (s *Scheduler) takeReport(a *agent, sent briarspring.Exchange, report briarspring.WorkerReport, received time.Time) {
	if report.Epoch > a.epoch {
		s.logger.Warn("worker obeys a newer owner", "worker", a.host.Name, "epoch", report.Epoch, "own-epoch", a.epoch)
		s.ownership.superseded = true
		return
	}
	if a.failures > 0 {
		s.logger.Info("worker answers again", "worker", a.host.Name, "failures", a.failures)
	}
	if a.report.Incarnation != report.Incarnation {
		a.leaseSent = 0
		clear(a.notAfter)
		clear(a.throttles)
		clear(a.leaving)
	}
	a.failures = 0
	a.report = report
	a.received = received
	a.leaseSent = max(a.leaseSent, report.LeaseUntil)
	a.dirty = true
	if report.Whole {
		clear(a.reported)
	}
	for _, attempt := range sent.Forget {
		delete(a.reported, attempt)
	}
	for _, t := range report.Tasks {
		a.reported[t.Attempt] = t
	}
	s.learn(a, report.Usage)
	s.Wake()
}

// commands returns what the state asks of a worker now.
func (s *Scheduler) commands(a *agent) briarspring.Exchange {
	e := briarspring.Exchange{Worker: a.host.Name, Epoch: a.epoch}
	w := s.place.WorkerByName(a.host.Name)
	if a.received.IsZero() || w == nil || w.Incarnation() != a.report.Incarnation || w.Gone() {
		return e
	}
	e.Incarnation = a.report.Incarnation
	e.LeaseUntil = a.report.Clock + s.lease()
	a.leaseSent = max(a.leaseSent, e.LeaseUntil)
	for attempt, r := range a.reported {
		if s.place.Open(attempt) != nil {
			continue
		}
		delete(a.leaving, attempt)
		if r.Phase.Ended() {
			e.Forget = append(e.Forget, attempt)
		} else {
			e.Stops = append(e.Stops, attempt)
		}
	}
	for _, id := range w.Tasks() {
		s.commandTask(a, &e, id)
	}
	e.Seen = a.report.Version
	if a.failures == 0 && len(e.Starts)+len(e.Stops)+len(e.Throttles) == 0 {
		e.Wait = s.config.ExchangeInterval
	}
	return e
}

// outageAfter without a read of the log lengthens leases. Nothing can be
// started anew until the log is back, so nobody needs them to end soon, and
// tasks outlive a scheduler that dies meanwhile.
const outageAfter = 5 * time.Second

func (s *Scheduler) lease() time.Duration {
	if time.Since(s.placeRead) > outageAfter {
		return s.config.OutageLease
	}
	return s.config.Lease
}

// commandTask adds what one open attempt needs.
func (s *Scheduler) commandTask(a *agent, e *briarspring.Exchange, id briarspring.TaskID) {
	t := s.place.Task(id)
	attempt := briarspring.AttemptID{Task: id, Attempt: t.Attempt()}
	r, known := a.reported[attempt]
	stop := t.Evicting() || t.Cancelled()
	switch {
	case known && stop && r.Phase == briarspring.TaskRunning:
		if !s.lingers(a, attempt) {
			e.Stops = append(e.Stops, attempt)
		}
	case known && r.Phase == briarspring.TaskRunning:
		if percent := s.guard.percent(attempt); percent != a.throttled(attempt) {
			a.throttles[attempt] = percent
			e.Throttles = append(e.Throttles, briarspring.Throttle{Attempt: attempt, Percent: percent})
		}
	case !known && !stop:
		if start, ok := s.startTask(a, t, attempt); ok {
			a.notAfter[attempt] = max(a.notAfter[attempt], start.NotAfter)
			e.Starts = append(e.Starts, start)
		}
	}
}

// lingerTime is how long an executor that is to be stopped serves on, so that
// every gateway knows that it leaves. Gateways follow the feed within tens of
// milliseconds; one that lost its scheduler finds another within this time.
const lingerTime = 1200 * time.Millisecond

// lingers reports whether an executor that is to be stopped has to serve on.
func (s *Scheduler) lingers(a *agent, attempt briarspring.AttemptID) bool {
	if l := s.place.Load(attempt.Task.Workload); l == nil || !l.Service() {
		return false
	}
	now := time.Now()
	since, known := a.leaving[attempt]
	if !known {
		a.leaving[attempt] = now
		time.AfterFunc(lingerTime, a.wake)
		return true
	}
	return now.Sub(since) < lingerTime
}

const fullSpeed = 100

func (a *agent) throttled(attempt briarspring.AttemptID) uint32 {
	if percent, ok := a.throttles[attempt]; ok {
		return percent
	}
	return fullSpeed
}

// startTask returns the command that starts an attempt, if one may start now:
// the configuration was read recently, and the bound that follows from that
// read lies in the worker's future.
func (s *Scheduler) startTask(a *agent, t *applier.Task, attempt briarspring.AttemptID) (briarspring.StartTask, bool) {
	notAfter := a.report.Clock + s.config.StartWindow - a.received.Sub(s.confRead)
	elapsed := time.Since(a.received)
	if notAfter <= a.report.Clock+elapsed || s.out() {
		return briarspring.StartTask{}, false
	}
	w := s.conf.Workload(attempt.Task.Workload)
	if w == nil {
		return briarspring.StartTask{}, false
	}
	start := briarspring.StartTask{
		Attempt: attempt, NotAfter: notAfter, Checkpoint: t.Checkpoint(),
		Name: w.Name(), Command: w.Command(), Resources: w.Resources(),
	}
	if sv := w.Service(); sv != nil {
		start.Service = true
		start.Slots = sv.Slots()
		start.Connections = sv.Connections()
	}
	return start, true
}

// out reports whether operators took this data centre out of service.
func (s *Scheduler) out() bool {
	d := s.conf.DataCentre(s.config.DataCentre)
	return d != nil && d.Out()
}

// lapsed reports whether the worker's lease has certainly ended: nobody but
// this owner can have renewed it since the worker first answered it.
func (a *agent) lapsed(now time.Time) bool {
	if a.received.IsZero() {
		return false
	}
	return now.After(a.received.Add(a.leaseSent - a.report.Clock + lapseMargin))
}
