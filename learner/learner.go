// Package learner estimates from delayed measurements how much each class of
// batch tasks slows each service on the same worker. It reads no clock and does
// no I/O.
package learner

import "time"

// Config holds the settings of a Learner. Zero fields get defaults.
type Config struct {
	LearningRate  float64 // Fraction of the prediction error that one measurement corrects.
	MinWeight     float64 // Number of measurements from which an estimate counts in full.
	Retention     float64 // Factor applied to estimates by each call of Decay.
	BaselineRate  float64 // Weight of one measurement in the moving average of the baseline.
	BaselineDrift float64 // Relative rise of the baseline per measurement before the first one without batch tasks.
}

// Learner holds the estimates of one data centre.
type Learner struct {
	config   Config
	services map[string]*service
}

type service struct {
	baseline      float64 // Tail latency without batch tasks on the worker, in seconds.
	baselineCount int     // Measurements without batch tasks.
	slopes        map[string]*slope
}

// slope is the rise of a service's tail latency per task of one class, as a
// fraction of its baseline.
type slope struct {
	value  float64
	weight float64 // Number of measurements, reduced by Decay.
}

// New returns a learner without estimates.
func New(c Config) *Learner {
	set := func(f *float64, value float64) {
		if *f == 0 {
			*f = value
		}
	}
	set(&c.LearningRate, 0.3)
	set(&c.MinWeight, 3)
	set(&c.Retention, 0.98)
	set(&c.BaselineRate, 0.1)
	set(&c.BaselineDrift, 0.002)
	return &Learner{config: c, services: map[string]*service{}}
}

// Colocated is the number of tasks of a class that ran on an executor's worker
// when a measurement was taken. A throttled task counts as a fraction.
type Colocated struct {
	Class string
	Tasks float64
}

// Observe updates the estimates with a measurement of an executor's tail latency
// and the batch tasks on its worker at that time, which must be sorted by class.
func (l *Learner) Observe(name string, p99 time.Duration, colocated []Colocated) {
	s := l.services[name]
	if s == nil {
		s = &service{baseline: p99.Seconds(), slopes: map[string]*slope{}}
		l.services[name] = s
	}
	if len(colocated) == 0 {
		s.observeAlone(p99.Seconds(), l.config)
		return
	}
	s.observeColocated(p99.Seconds(), colocated, l.config)
}

// observeAlone updates the baseline from a measurement without batch tasks.
func (s *service) observeAlone(p99 float64, c Config) {
	s.baselineCount++
	rate := max(c.BaselineRate, 1/float64(s.baselineCount))
	s.baseline += rate * (p99 - s.baseline)
}

// observeColocated corrects the slopes of the classes on the executor's worker,
// in proportion to their tasks (normalized least mean squares).
func (s *service) observeColocated(p99 float64, colocated []Colocated, c Config) {
	if p99 < s.baseline {
		s.baseline += c.BaselineRate * (p99 - s.baseline)
	} else if s.baselineCount == 0 {
		s.baseline *= 1 + c.BaselineDrift
	}
	if s.baseline <= 0 {
		return
	}
	predicted, norm := 0.0, 0.0
	for _, b := range colocated {
		predicted += s.slope(b.Class).value * b.Tasks
		norm += b.Tasks * b.Tasks
	}
	if norm == 0 {
		return
	}
	residual := max(p99/s.baseline-1, 0) - predicted
	for _, b := range colocated {
		k := s.slope(b.Class)
		k.value = max(0, k.value+c.LearningRate*residual*b.Tasks/norm)
		k.weight++
	}
}

func (s *service) slope(class string) *slope {
	k := s.slopes[class]
	if k == nil {
		k = &slope{}
		s.slopes[class] = k
	}
	return k
}

// Slowdown returns the relative increase of the service's tail latency that one
// task of the class causes. The estimate is scaled down while it rests on less
// than MinWeight measurements.
func (l *Learner) Slowdown(name, class string) float64 {
	s := l.services[name]
	if s == nil {
		return 0
	}
	k := s.slopes[class]
	if k == nil {
		return 0
	}
	return k.value * min(1, k.weight/l.config.MinWeight)
}

// Ratio returns a measurement as a multiple of the service's baseline.
func (l *Learner) Ratio(name string, p99 time.Duration) float64 {
	s := l.services[name]
	if s == nil || s.baseline <= 0 {
		return 1
	}
	return p99.Seconds() / s.baseline
}

// Decay reduces all estimates, so that a pair of service and class that the
// placer avoids is tried again.
func (l *Learner) Decay() {
	for _, s := range l.services {
		for _, k := range s.slopes {
			k.value *= l.config.Retention
			k.weight *= l.config.Retention
		}
	}
}
