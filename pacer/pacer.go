// Package pacer decides how fast the tasks that use idle reservations may work
// beside tasks that serve, and learns which image presses which. It answers
// this load: images that press the tails of others by very different amounts,
// which drift within seconds, while the tails are only known for the last half
// second. It does no input or output.
package pacer

import (
	"cmp"
	"slices"
	"time"

	"briarspring"
	"briarspring/dispatcher"
	"briarspring/learner"
)

const (
	// brakeRatio of a tail to its target starts the braking; it leaves room for
	// what a tail rises until the next reading.
	brakeRatio = 0.8
	// stopRatio of a tail to its target brings everything beside it to the
	// slowest pace at once.
	stopRatio = 1.0
	// calmRatio of a tail to its target lets tasks speed up again.
	calmRatio = 0.6
	// slowestPercent is the slowest pace of a task beside a tail that is too
	// slow. Tasks keep their memory, so stopping them altogether gains little.
	slowestPercent = 0
	// brakeFactor of the pace for each reading above brakeRatio.
	brakeFactor = 0.5
	// speedUp in percent points for each calm reading.
	speedUp = 15
	// blamedShare of the heaviest pressure makes a task be slowed as well.
	blamedShare = 0.4
	// readingInterval is the time over which the platform averages a tail; a
	// decision shows in full only after it.
	readingInterval = 500 * time.Millisecond
	// decayInterval is the time between two fadings of the estimates.
	decayInterval = 5 * time.Second
	// fullSpeed is the pace of a task that is not slowed, in percent.
	fullSpeed = 100
	// tailUnit turns ratios of tails into the learner's unit.
	tailUnit = time.Second
)

// Pacer holds the estimates of one data centre.
type Pacer struct {
	learner *learner.Learner
	braked  map[string]time.Duration // By worker, when it was last slowed.
	decayed time.Duration
}

// New returns a pacer without estimates.
func New() *Pacer {
	return &Pacer{learner: learner.New(learner.Config{}), braked: map[string]time.Duration{}}
}

// Pressure returns by how much of their targets a task of an image is expected
// to raise the tails of the tasks that serve, for the one that is pressed most.
func (p *Pacer) Pressure(image string, serving []dispatcher.Serving) float64 {
	worst := 0.0
	for _, s := range serving {
		worst = max(worst, s.Tail+p.rise(s, image))
	}
	return worst
}

// rise returns the expected rise of a tail, as a share of its target.
func (p *Pacer) rise(s dispatcher.Serving, image string) float64 {
	slowdown := p.learner.Slowdown(s.Image, image)
	base := s.Tail / max(1e-9, p.learner.Ratio(s.Image, duration(s.Tail)))
	return slowdown * base
}

func duration(ratio float64) time.Duration { return time.Duration(ratio * float64(tailUnit)) }

// Decide returns the changes of pace on a worker after a reading.
func (p *Pacer) Decide(now time.Duration, worker string, serving []dispatcher.Serving, filling []dispatcher.Filling) []dispatcher.Pace {
	worst := 0.0
	beside := besideOf(filling)
	for _, s := range serving {
		if !s.Marked {
			continue
		}
		worst = max(worst, s.Tail)
		p.learner.Observe(s.Image, duration(s.Tail), beside)
	}
	p.decay(now)
	if len(filling) == 0 {
		return nil
	}
	switch {
	case worst >= stopRatio:
		p.braked[worker] = now
		return all(filling, slowestPercent)
	case worst >= brakeRatio:
		p.braked[worker] = now
		return p.brake(serving, filling)
	case worst < calmRatio && now-p.braked[worker] > readingInterval:
		return p.release(serving, filling, worst)
	}
	return nil
}

func (p *Pacer) decay(now time.Duration) {
	if now-p.decayed > decayInterval {
		p.decayed = now
		p.learner.Decay()
	}
}

// besideOf returns the tasks that fill by image, at their pace, in order.
func besideOf(filling []dispatcher.Filling) []learner.Beside {
	cores := map[string]float64{}
	for _, f := range filling {
		cores[f.Image] += f.Cores * float64(f.Percent) / fullSpeed
	}
	var beside []learner.Beside
	for image, n := range cores {
		if n > 0 {
			beside = append(beside, learner.Beside{Class: image, Tasks: n})
		}
	}
	slices.SortFunc(beside, func(a, b learner.Beside) int { return cmp.Compare(a.Class, b.Class) })
	return beside
}

func all(filling []dispatcher.Filling, percent int) []dispatcher.Pace {
	var paces []dispatcher.Pace
	for _, f := range filling {
		if f.Percent > percent {
			paces = append(paces, dispatcher.Pace{Run: f.Run, Percent: percent})
		}
	}
	return paces
}

// brake slows the tasks that press most.
func (p *Pacer) brake(serving []dispatcher.Serving, filling []dispatcher.Filling) []dispatcher.Pace {
	pressure := make([]float64, len(filling))
	heaviest := 0.0
	for i, f := range filling {
		for _, s := range serving {
			pressure[i] = max(pressure[i], s.Tail*p.learner.Slowdown(s.Image, f.Image)*f.Cores*float64(f.Percent)/fullSpeed)
		}
		heaviest = max(heaviest, pressure[i])
	}
	var paces []dispatcher.Pace
	for i, f := range filling {
		percent := int(float64(f.Percent) * brakeFactor)
		if f.Percent > slowestPercent && pressure[i] >= blamedShare*heaviest {
			paces = append(paces, dispatcher.Pace{Run: f.Run, Percent: max(percent, slowestPercent)})
		}
	}
	return paces
}

// release speeds tasks up, the lightest first, as far as the expected rise
// leaves the tails below the point of braking.
func (p *Pacer) release(serving []dispatcher.Serving, filling []dispatcher.Filling, worst float64) []dispatcher.Pace {
	order := slices.Clone(filling)
	slices.SortStableFunc(order, func(a, b dispatcher.Filling) int {
		return cmp.Compare(p.heaviness(a, serving), p.heaviness(b, serving))
	})
	var paces []dispatcher.Pace
	rise := 0.0
	for _, f := range order {
		if f.Percent >= fullSpeed {
			continue
		}
		percent := min(fullSpeed, f.Percent+speedUp)
		rise += p.heaviness(f, serving) * float64(percent-f.Percent) / fullSpeed
		if worst+rise > brakeRatio && len(paces) > 0 {
			break
		}
		paces = append(paces, dispatcher.Pace{Run: f.Run, Percent: percent})
	}
	return paces
}

// heaviness returns the expected rise of the tails at full speed.
func (p *Pacer) heaviness(f dispatcher.Filling, serving []dispatcher.Serving) float64 {
	worst := 0.0
	for _, s := range serving {
		worst = max(worst, p.rise(s, f.Image))
	}
	return worst * f.Cores
}

// Known reports whether a run is among those that fill.
func Known(filling []dispatcher.Filling, run briarspring.RunRef) bool {
	return slices.ContainsFunc(filling, func(f dispatcher.Filling) bool { return f.Run == run })
}
