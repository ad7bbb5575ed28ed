package scheduler

import (
	"context"
	"slices"
	"sync"
	"time"

	"briarspring"
	"briarspring/applier"
	"briarspring/sleeper"
)

const (
	// leaseMargin covers the rounding of clock readings to milliseconds.
	leaseMargin = 50 * time.Millisecond
	// minExchangeGap combines wake-ups in quick succession into one exchange.
	minExchangeGap = 10 * time.Millisecond
)

// agent holds the owner's exchange state for one worker under one epoch.
type agent struct {
	host   briarspring.Host
	epoch  uint64
	wakeup chan struct{}
	cancel context.CancelFunc

	report        briarspring.WorkerReport
	receivedAt    time.Time // When the last report arrived; zero until the worker is fenced.
	reported      map[briarspring.AttemptID]briarspring.TaskReport
	maxLeaseUntil time.Duration // Latest lease end that the worker may hold, by its clock.
	notAfter      map[briarspring.AttemptID]time.Duration
	sentThrottles map[briarspring.AttemptID]uint32    // Throttles last sent to the worker.
	leavingSince  map[briarspring.AttemptID]time.Time // Since when the feed shows an executor as leaving.
	unprocessed   bool                                // The last report was not yet turned into events.
	failures      int
	lossSeenAt    time.Time // When the operators' declaration of loss was first seen.
}

// startAgents starts the agents that are not running yet, one for each worker.
func (s *Scheduler) startAgents(ctx context.Context, wg *sync.WaitGroup) {
	for _, a := range s.agents {
		if a.cancel != nil {
			continue
		}
		agentCtx, cancel := context.WithCancel(ctx)
		a.cancel = cancel
		a.epoch = s.placement.Epoch()
		wg.Go(func() { s.runAgent(agentCtx, a) })
	}
}

// stopAgents stops all agents and resets their state, but keeps their hosts.
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
		host:          host,
		wakeup:        make(chan struct{}, 1),
		reported:      map[briarspring.AttemptID]briarspring.TaskReport{},
		notAfter:      map[briarspring.AttemptID]time.Duration{},
		sentThrottles: map[briarspring.AttemptID]uint32{},
		leavingSince:  map[briarspring.AttemptID]time.Time{},
	}
}

func (a *agent) wake() {
	select {
	case a.wakeup <- struct{}{}:
	default:
	}
}

func (s *Scheduler) wakeWorker(number uint32) {
	w := s.placement.Worker(number)
	if w == nil {
		return
	}
	if a := s.agents[w.Name()]; a != nil {
		a.wake()
	}
}

func (s *Scheduler) wakeAllAgents() {
	for _, a := range s.agents {
		a.wake()
	}
}

// runAgent exchanges with a worker until its context ends.
func (s *Scheduler) runAgent(ctx context.Context, a *agent) {
	for ctx.Err() == nil {
		if s.exchange(ctx, a) {
			_ = sleeper.For(ctx, minExchangeGap)
			continue
		}
		t := time.NewTimer(s.config.ExchangeInterval / 2)
		select {
		case <-ctx.Done():
		case <-a.wakeup:
		case <-t.C:
		}
		t.Stop()
	}
}

// exchange sends the worker its commands and applies its report. It returns
// false if the worker did not answer or the agent's epoch has ended.
func (s *Scheduler) exchange(ctx context.Context, a *agent) bool {
	s.mu.Lock()
	if a.epoch != s.placement.Epoch() || !s.owns() {
		s.mu.Unlock()
		return false
	}
	e := s.buildExchange(a)
	address := a.host.Address
	s.counters.Exchanges++
	s.mu.Unlock()

	report, woken, err := s.call(ctx, a, address, e)
	received := time.Now()

	s.mu.Lock()
	defer s.mu.Unlock()
	if a.epoch != s.placement.Epoch() || ctx.Err() != nil {
		return false
	}
	if err != nil && woken {
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
	s.applyReport(a, e, report, received)
	return true
}

// call makes one exchange. A wake-up cancels an exchange that waits for changes
// on the worker, so that new commands are sent at once.
func (s *Scheduler) call(ctx context.Context, a *agent, address string, e briarspring.Exchange) (report briarspring.WorkerReport, woken bool, err error) {
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
		case <-a.wakeup:
			woken = true
			cancel()
		case <-ended:
		}
	}()
	report, err = s.config.Workers.Exchange(ctx, address, e)
	close(ended)
	<-watched
	return report, woken, err
}

// applyReport stores a report, which lists all tasks or only those that changed
// since the last report received.
func (s *Scheduler) applyReport(a *agent, sent briarspring.Exchange, report briarspring.WorkerReport, received time.Time) {
	if report.Epoch > a.epoch {
		s.logger.Warn("worker has accepted a newer owner", "worker", a.host.Name, "epoch", report.Epoch, "own-epoch", a.epoch)
		s.ownership.superseded = true
		return
	}
	if a.failures > 0 {
		s.logger.Info("worker answers again", "worker", a.host.Name, "failures", a.failures)
	}
	if a.report.Incarnation != report.Incarnation {
		a.maxLeaseUntil = 0
		clear(a.notAfter)
		clear(a.sentThrottles)
		clear(a.leavingSince)
	}
	a.failures = 0
	a.report = report
	a.receivedAt = received
	a.maxLeaseUntil = max(a.maxLeaseUntil, report.LeaseUntil)
	a.unprocessed = true
	if report.Whole {
		clear(a.reported)
	}
	for _, attempt := range sent.Forget {
		delete(a.reported, attempt)
	}
	for _, t := range report.Tasks {
		a.reported[t.Attempt] = t
	}
	s.learnFromUsage(a, report.Usage)
	s.Wake()
}

// buildExchange returns the lease and the commands to send to a worker now.
func (s *Scheduler) buildExchange(a *agent) briarspring.Exchange {
	e := briarspring.Exchange{Worker: a.host.Name, Epoch: a.epoch}
	w := s.placement.WorkerByName(a.host.Name)
	if a.receivedAt.IsZero() || w == nil || w.Incarnation() != a.report.Incarnation || w.Gone() {
		return e
	}
	e.Incarnation = a.report.Incarnation
	e.LeaseUntil = a.report.Clock + s.leaseDuration()
	a.maxLeaseUntil = max(a.maxLeaseUntil, e.LeaseUntil)
	for attempt, r := range a.reported {
		if s.placement.Open(attempt) != nil {
			continue
		}
		delete(a.leavingSince, attempt)
		if r.Phase.Ended() {
			e.Forget = append(e.Forget, attempt)
		} else {
			e.Stops = append(e.Stops, attempt)
		}
	}
	for _, id := range w.Tasks() {
		s.addTaskCommands(a, &e, id)
	}
	slices.SortFunc(e.Forget, compareAttempts)
	slices.SortFunc(e.Stops, compareAttempts)
	e.Seen = a.report.Version
	if a.failures == 0 && len(e.Starts)+len(e.Stops)+len(e.Throttles) == 0 {
		e.Wait = s.config.ExchangeInterval
	}
	return e
}

// outageThreshold is the time without a read of the log after which leases are
// extended to OutageLeaseDuration. Nothing can be restarted elsewhere until the
// log is back, so short leases have no use then, and tasks survive a scheduler
// that dies meanwhile.
const outageThreshold = 5 * time.Second

func (s *Scheduler) leaseDuration() time.Duration {
	if time.Since(s.placementReadAt) > outageThreshold {
		return s.config.OutageLeaseDuration
	}
	return s.config.LeaseDuration
}

// addTaskCommands adds the commands for one open attempt.
func (s *Scheduler) addTaskCommands(a *agent, e *briarspring.Exchange, id briarspring.TaskID) {
	t := s.placement.Task(id)
	attempt := briarspring.AttemptID{Task: id, Attempt: t.Attempt()}
	r, known := a.reported[attempt]
	stop := t.Evicting() || t.Cancelled()
	switch {
	case known && stop && r.Phase == briarspring.TaskRunning:
		if !s.draining(a, attempt) {
			e.Stops = append(e.Stops, attempt)
		}
	case known && r.Phase == briarspring.TaskRunning:
		if percent := s.interference.throttlePercent(attempt); percent != a.sentThrottle(attempt) {
			a.sentThrottles[attempt] = percent
			e.Throttles = append(e.Throttles, briarspring.Throttle{Attempt: attempt, Percent: percent})
		}
	case !known && !stop:
		if start, ok := s.startCommand(a, t, attempt); ok {
			a.notAfter[attempt] = max(a.notAfter[attempt], start.NotAfter)
			e.Starts = append(e.Starts, start)
		}
	}
}

// executorDrainTime is how long an executor keeps serving before it is stopped,
// so that every gateway learns that it is leaving. Gateways see a change of the
// feed within tens of milliseconds; one that lost its scheduler finds another
// within this time.
const executorDrainTime = 1200 * time.Millisecond

// draining reports whether an executor to be stopped must keep serving for now.
func (s *Scheduler) draining(a *agent, attempt briarspring.AttemptID) bool {
	if l := s.placement.Workload(attempt.Task.Workload); l == nil || !l.Service() {
		return false
	}
	now := time.Now()
	since, known := a.leavingSince[attempt]
	if !known {
		a.leavingSince[attempt] = now
		time.AfterFunc(executorDrainTime, a.wake)
		return true
	}
	return now.Sub(since) < executorDrainTime
}

const unthrottledPercent = 100

func (a *agent) sentThrottle(attempt briarspring.AttemptID) uint32 {
	if percent, ok := a.sentThrottles[attempt]; ok {
		return percent
	}
	return unthrottledPercent
}

// startCommand returns the command that starts an attempt, and false if it must
// not start now. The latest start is the start window after the last read of the
// configuration, and must lie in the future by the worker's clock.
func (s *Scheduler) startCommand(a *agent, t *applier.Task, attempt briarspring.AttemptID) (briarspring.StartTask, bool) {
	notAfter := a.report.Clock + s.config.StartWindow - a.receivedAt.Sub(s.configReadAt)
	elapsed := time.Since(a.receivedAt)
	if notAfter <= a.report.Clock+elapsed || s.outOfService() {
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

// outOfService reports whether operators took this data centre out of service.
func (s *Scheduler) outOfService() bool {
	d := s.conf.DataCentre(s.config.DataCentre)
	return d != nil && d.Out()
}

// leaseExpired reports whether the worker's lease has certainly expired. Since
// the worker first answered this owner, no other owner can have renewed it.
func (a *agent) leaseExpired(now time.Time) bool {
	if a.receivedAt.IsZero() {
		return false
	}
	return now.After(a.receivedAt.Add(a.maxLeaseUntil - a.report.Clock + leaseMargin))
}
