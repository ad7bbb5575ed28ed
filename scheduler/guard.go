package scheduler

import (
	"cmp"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"briarspring"
	"briarspring/learner"
	"briarspring/placer"
)

const (
	// throttleRatio is the ratio of a service's tail latency to its baseline
	// above which batch tasks are throttled.
	throttleRatio = 1.15
	// loosenRatio is the ratio below which throttles are loosened. Loosening
	// doubles the processors of the throttled tasks; if that doubles the excess
	// over the baseline, the ratio still stays below throttleRatio.
	loosenRatio = 1 + (throttleRatio-1)/2
	// minInterferenceShare is the fraction of the highest interference on a worker
	// that another task must reach to be throttled too.
	minInterferenceShare = 0.5
	// reportsToLoosen is the number of consecutive reports below loosenRatio
	// before throttles are loosened.
	reportsToLoosen = 5
	// maxCompositions limits the compositions kept for a worker.
	maxCompositions = 64
	// decayInterval is the time between two decays of the estimates.
	decayInterval = 10 * time.Second
	// minThrottlePercent is the lowest throttle before an eviction.
	minThrottlePercent = 25
)

// interferenceControl throttles and evicts batch tasks that slow a service on
// the same worker.
type interferenceControl struct {
	workers          map[string]*workerInterference
	throttles        map[briarspring.AttemptID]uint32
	limiter          *rate.Limiter
	lastDecay        time.Time
	pendingEvictions []briarspring.AttemptID // Chosen but not yet in a batch.
}

// workerInterference holds the recent compositions of a worker and the number of
// its consecutive reports below loosenRatio.
type workerInterference struct {
	history      []composition
	reportsBelow int
}

// composition holds the batch tasks that ran on a worker, starting at a reading
// of its clock.
type composition struct {
	clock time.Duration
	batch []learner.Colocated
}

func (g *interferenceControl) init() {
	g.workers = map[string]*workerInterference{}
	g.throttles = map[briarspring.AttemptID]uint32{}
}

// throttlePercent returns the share of its processors that an attempt may use,
// in percent.
func (g *interferenceControl) throttlePercent(attempt briarspring.AttemptID) uint32 {
	if p, ok := g.throttles[attempt]; ok {
		return p
	}
	return unthrottledPercent
}

func (g *interferenceControl) worker(name string) *workerInterference {
	w := g.workers[name]
	if w == nil {
		w = &workerInterference{}
		g.workers[name] = w
	}
	return w
}

// learnFromUsage feeds the measurements of a report to the learner, each with
// the batch tasks that ran on the worker when it was taken, and adjusts the
// worker's throttles to the slowest service.
func (s *Scheduler) learnFromUsage(a *agent, usage []briarspring.Usage) {
	w := s.interference.worker(a.host.Name)
	w.addComposition(a.report.Clock, s.runningBatch(a))
	highestRatio := 0.0
	for _, u := range usage {
		c := s.conf.Workload(u.Attempt.Task.Workload)
		if c == nil || c.Service() == nil || u.Requests == 0 {
			continue
		}
		batch, stable := w.compositionAt(u.Taken)
		if !stable {
			continue
		}
		s.learner.Observe(c.Name(), u.P99, batch)
		highestRatio = max(highestRatio, s.learner.Ratio(c.Name(), u.P99))
	}
	if highestRatio > 0 && (s.config.PlacementRule == "" || s.config.PlacementRule == placer.RuleInterference) {
		s.adjustThrottles(a, w, highestRatio)
	}
	if now := time.Now(); now.Sub(s.interference.lastDecay) > decayInterval {
		s.interference.lastDecay = now
		s.learner.Decay()
	}
}

// runningBatch returns the running batch tasks on a worker by class, sorted by
// class. A throttled task counts as its throttle's fraction of a task.
func (s *Scheduler) runningBatch(a *agent) []learner.Colocated {
	counts := map[string]float64{}
	for attempt, r := range a.reported {
		if r.Phase != briarspring.TaskRunning {
			continue
		}
		c := s.conf.Workload(attempt.Task.Workload)
		if c == nil || c.Job() == nil {
			continue
		}
		counts[c.Job().Class()] += float64(s.interference.throttlePercent(attempt)) / unthrottledPercent
	}
	var batch []learner.Colocated
	for class, n := range counts {
		batch = append(batch, learner.Colocated{Class: class, Tasks: n})
	}
	slices.SortFunc(batch, func(x, y learner.Colocated) int { return cmp.Compare(x.Class, y.Class) })
	return batch
}

// addComposition stores the batch tasks that run as of a clock reading.
func (w *workerInterference) addComposition(clock time.Duration, batch []learner.Colocated) {
	w.history = append(w.history, composition{clock: clock, batch: batch})
	if len(w.history) > maxCompositions {
		w.history = w.history[len(w.history)-maxCompositions:]
	}
}

// compositionAt returns the batch tasks that ran at a clock reading. It returns
// false if they are not known or the next composition has other classes. A
// worker reports every change, so the task counts are those of that moment.
func (w *workerInterference) compositionAt(clock time.Duration) ([]learner.Colocated, bool) {
	i := len(w.history) - 1
	for i >= 0 && w.history[i].clock > clock {
		i--
	}
	if i < 0 {
		return nil, false
	}
	batch := w.history[i].batch
	if i+1 < len(w.history) && !slices.EqualFunc(batch, w.history[i+1].batch, equalClass) {
		return nil, false
	}
	return batch, true
}

func equalClass(a, b learner.Colocated) bool { return a.Class == b.Class }

// adjustThrottles tightens or loosens the throttles on a worker by one step.
func (s *Scheduler) adjustThrottles(a *agent, w *workerInterference, ratio float64) {
	switch {
	case ratio > throttleRatio:
		w.reportsBelow = 0
		s.tightenThrottles(a, ratio)
	case ratio < loosenRatio:
		w.reportsBelow++
		if w.reportsBelow >= reportsToLoosen {
			w.reportsBelow = 0
			s.loosenThrottles(a)
		}
	default:
		w.reportsBelow = 0
	}
}

// batchByInterference returns the running batch attempts on a worker and their
// estimated interference with its services, highest first.
func (s *Scheduler) batchByInterference(a *agent) (attempts []briarspring.AttemptID, interference map[briarspring.AttemptID]float64) {
	interference = map[briarspring.AttemptID]float64{}
	var services []string
	for attempt, r := range a.reported {
		c := s.conf.Workload(attempt.Task.Workload)
		if c == nil || r.Phase != briarspring.TaskRunning {
			continue
		}
		if c.Service() != nil {
			services = append(services, c.Name())
		} else {
			attempts = append(attempts, attempt)
		}
	}
	for _, attempt := range attempts {
		class := s.conf.Workload(attempt.Task.Workload).Job().Class()
		for _, name := range services {
			interference[attempt] = max(interference[attempt], s.learner.Slowdown(name, class))
		}
	}
	slices.SortFunc(attempts, func(x, y briarspring.AttemptID) int {
		return cmp.Or(
			cmp.Compare(interference[y], interference[x]),
			compareAttempts(x, y),
		)
	})
	return attempts, interference
}

// tightenThrottles halves the processors of the tasks that interfere most. If
// the first of them is at the lowest throttle afterwards, it is evicted, unless
// the rate limit on evictions is exhausted.
func (s *Scheduler) tightenThrottles(a *agent, ratio float64) {
	attempts, interference := s.batchByInterference(a)
	for _, attempt := range attempts {
		percent := s.interference.throttlePercent(attempt)
		if percent <= minThrottlePercent || interference[attempt] < minInterferenceShare*interference[attempts[0]] {
			continue
		}
		s.interference.throttles[attempt] = percent / 2
		s.recordDecision(Decision{
			Kind: "throttle", Attempt: attempt, Worker: a.host.Name,
			Reason: "a service beside it answers slowly", LatencyRatio: ratio,
		})
	}
	if s.interference.limiter == nil {
		perSecond := rate.Limit(float64(s.config.EvictionsPerMin) / 60)
		s.interference.limiter = rate.NewLimiter(perSecond, max(1, s.config.EvictionsPerMin/6))
	}
	if len(attempts) == 0 || s.interference.throttlePercent(attempts[0]) > minThrottlePercent || !s.interference.limiter.Allow() {
		a.wake()
		return
	}
	s.interference.pendingEvictions = append(s.interference.pendingEvictions, attempts[0])
	a.wake()
}

// loosenThrottles doubles the throttle percentages on a worker.
func (s *Scheduler) loosenThrottles(a *agent) {
	for attempt := range a.reported {
		percent, throttled := s.interference.throttles[attempt]
		if !throttled {
			continue
		}
		if 2*percent >= unthrottledPercent {
			delete(s.interference.throttles, attempt)
		} else {
			s.interference.throttles[attempt] = 2 * percent
		}
	}
	a.wake()
}

// interferenceEvictions returns the evictions chosen by tightenThrottles.
func (s *Scheduler) interferenceEvictions() []briarspring.Event {
	var events []briarspring.Event
	for _, attempt := range s.interference.pendingEvictions {
		t := s.placement.Open(attempt)
		if t == nil || t.Evicting() {
			continue
		}
		events = append(events, s.evictIntent(s.placement.Workload(attempt.Task.Workload), t, "slows a service on the same worker"))
	}
	s.interference.pendingEvictions = nil
	return events
}
