// Package pacer decides how fast the tasks that use idle reservations may work
// beside tasks that serve, and learns which image presses which. It answers
// this load: some images press the tails of some others, most press none, by
// amounts that drift within seconds, while tails are only known for the last
// half second. It does no input or output.
package pacer

import (
	"cmp"
	"math"
	"slices"
	"time"

	"briarspring/dispatcher"
)

const (
	// brakeTail of the target, from which what presses is slowed.
	brakeTail = 0.75
	// stopTail of the target, from which what presses is stopped.
	stopTail = 0.95
	// calmTail of the target, below which tasks speed up again.
	calmTail = 0.6
	// patience with a tail above its target before everything beside it is
	// stopped, whatever the estimates say; a fraction of the 4 s that the platform
	// allows.
	patience = 900 * time.Millisecond
	// brakeFactor of the pace for each reading above brakeTail.
	brakeFactor = 0.5
	// speedUp in percent points for each calm reading.
	speedUp = 34
	// pressingRise per core, as a share of the target, from which an image counts
	// as pressing.
	pressingRise = 0.06
	// peakFactor of the present pressure to the average one: amounts drift.
	peakFactor = 2.5
	// usageWeight of the newest reading of the processors in use; tails follow
	// them with about half a second of lag.
	usageWeight = 0.6
	// fullSpeed is the pace of a task that is not slowed, in percent.
	fullSpeed = 100
	// milliPerCore turns readings into cores.
	milliPerCore = 1000
)

// Pacer holds the estimates of one data centre.
type Pacer struct {
	estimates map[string]*estimate // By image that serves.
	workers   map[string]*workerState
}

// workerState is what is remembered of a worker between two readings.
type workerState struct {
	usage map[string]float64 // Smoothed cores in use by image.
	over  time.Duration      // Since when a tail is above its target; zero for none.
}

// New returns a pacer without estimates.
func New() *Pacer {
	return &Pacer{estimates: map[string]*estimate{}, workers: map[string]*workerState{}}
}

// Rise returns by which share of its target each core used by an image raises
// the tail of an image that serves.
func (p *Pacer) Rise(serving, image string) float64 {
	e := p.estimates[serving]
	if e == nil {
		return 0
	}
	rise, spread := e.rise(image)
	return max(0, rise-spread/2)
}

// Expected returns the tail that is to be expected when a task of an image
// works beside tasks that serve, for the one that is worst off among those that
// it presses, as a share of its target. It is zero when it presses none.
func (p *Pacer) Expected(image string, cores float64, serving []dispatcher.Serving) float64 {
	worst := 0.0
	for _, s := range serving {
		if rise := p.Rise(s.Image, image); rise >= pressingRise {
			worst = max(worst, s.Tail+peakFactor*rise*cores)
		}
	}
	return worst
}

// Decide takes a reading of a worker and returns the changes of pace.
func (p *Pacer) Decide(now time.Duration, worker string, serving []dispatcher.Serving, filling []dispatcher.Filling) []dispatcher.Pace {
	w := p.workers[worker]
	if w == nil {
		w = &workerState{usage: map[string]float64{}}
		p.workers[worker] = w
	}
	w.smooth(filling)
	worst := 0.0
	for _, s := range serving {
		if s.Marked {
			worst = max(worst, s.Tail)
			p.learn(s, w.usage)
		}
	}
	if worst < stopTail {
		w.over = 0
	} else if w.over == 0 {
		w.over = now
	}
	if w.over != 0 && now-w.over > patience {
		return slowTo(filling, 0)
	}
	var paces []dispatcher.Pace
	for _, f := range filling {
		if percent := p.paceOf(f, serving); percent != f.Percent {
			paces = append(paces, dispatcher.Pace{Run: f.Run, Percent: percent})
		}
	}
	return paces
}

func (p *Pacer) learn(s dispatcher.Serving, usage map[string]float64) {
	e := p.estimates[s.Image]
	if e == nil {
		e = newEstimate()
		p.estimates[s.Image] = e
	}
	e.observe(s.Tail, usage)
}

// smooth takes in the processors that are in use by image.
func (w *workerState) smooth(filling []dispatcher.Filling) {
	used := map[string]float64{}
	for _, f := range filling {
		used[f.Image] += f.Used
	}
	for image, before := range w.usage {
		w.usage[image] = before + usageWeight*(used[image]-before)
		if w.usage[image] < 1.0/milliPerCore {
			delete(w.usage, image)
		}
	}
	for image, n := range used {
		if _, ok := w.usage[image]; !ok && n > 0 {
			w.usage[image] = usageWeight * n
		}
	}
}

// paceOf returns the pace of a task after a reading.
func (p *Pacer) paceOf(f dispatcher.Filling, serving []dispatcher.Serving) int {
	percent := min(fullSpeed, f.Percent+speedUp)
	for _, s := range serving {
		if s.Marked {
			percent = min(percent, p.paceBeside(f, s))
		}
	}
	return percent
}

// paceBeside returns the pace that one task that serves allows.
func (p *Pacer) paceBeside(f dispatcher.Filling, s dispatcher.Serving) int {
	rise := p.Rise(s.Image, f.Image)
	switch {
	case rise < pressingRise && s.Tail < stopTail:
		return fullSpeed
	case rise < pressingRise:
		if p.certain(s.Image, f.Image) {
			return fullSpeed
		}
		return int(float64(f.Percent) * brakeFactor)
	case s.Tail >= stopTail:
		return 0
	case s.Tail >= brakeTail:
		return int(float64(f.Percent) * brakeFactor)
	case s.Tail >= calmTail:
		return f.Percent
	}
	room := (brakeTail - s.Tail) / (peakFactor * rise * max(f.Cores, 1.0/milliPerCore))
	return min(f.Percent+speedUp, max(f.Percent, int(math.Floor(fullSpeed*room))))
}

// certain reports whether an image is known not to press another one.
func (p *Pacer) certain(serving, image string) bool {
	e := p.estimates[serving]
	if e == nil {
		return false
	}
	rise, spread := e.rise(image)
	return rise+2*spread < 2*pressingRise
}

func slowTo(filling []dispatcher.Filling, percent int) []dispatcher.Pace {
	var paces []dispatcher.Pace
	for _, f := range filling {
		if f.Percent > percent {
			paces = append(paces, dispatcher.Pace{Run: f.Run, Percent: percent})
		}
	}
	return paces
}

// Table returns the estimated rises for logs, in order.
func (p *Pacer) Table() []Pair {
	var list []Pair
	for serving, e := range p.estimates {
		for image := range e.index {
			if rise, spread := e.rise(image); rise >= pressingRise {
				list = append(list, Pair{Serving: serving, Image: image, Rise: rise, Spread: spread})
			}
		}
	}
	slices.SortFunc(list, func(a, b Pair) int {
		return cmp.Or(cmp.Compare(a.Serving, b.Serving), cmp.Compare(a.Image, b.Image))
	})
	return list
}

// Pair is an image that presses another one.
type Pair struct {
	Serving string
	Image   string
	Rise    float64 // Of the tail for each core, as a share of the target.
	Spread  float64 // Standard error of the rise.
}
