// Package pacer decides how fast the tasks that use idle reservations may work
// beside tasks that serve, and learns which image presses which. It answers
// this load: some images press the tails of some others, most press none, by
// amounts that drift within seconds, while tails are only known for the last
// half second. It does no input or output.
package pacer

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"briarspring"
	"briarspring/dispatcher"
)

const (
	// brakeTail of the target, up to which tasks that press may raise a tail.
	brakeTail = 0.75
	// stopTail of the target, from which what presses is stopped.
	stopTail = 0.95
	// calmTail of the target, below which tasks that press get more room.
	calmTail = 0.6
	// patience with a tail above its target before everything beside it is
	// stopped, whatever the estimates say; a fraction of the 4 s that the platform
	// allows.
	patience = 900 * time.Millisecond
	// pressingRise per core, as a share of the target, from which an image counts
	// as pressing.
	pressingRise = 0.06
	// usualPeak is the ratio of the present pressure to the average one that is
	// reckoned with at first: amounts drift.
	usualPeak = 3.0
	// leastGain and mostGain bound the factor by which readings change the room.
	leastGain = 0.1
	mostGain  = 1.0
	// gainCut after a reading above brakeTail, and gainStep after a calm one.
	gainCut  = 0.5
	gainStep = 1.15
	// usageWeight of the newest reading of the processors in use; tails follow
	// them with about half a second of lag.
	usageWeight = 0.6
	// fullSpeed is the pace of a task that is not slowed, in percent.
	fullSpeed = 100
	// leastUsage in cores below which an image counts as idle.
	leastUsage = 0.001
	// slowdownOfUnknown is the pace factor of a task that may be the cause of a
	// slow tail for all that is known.
	slowdownOfUnknown = 0.5
)

// Pacer holds the estimates of one data centre.
type Pacer struct {
	estimates map[string]*estimate // By image that serves.
	workers   map[string]*workerState
	images    map[string]bool // That were seen to work beside tasks that serve.
}

// workerState is what is remembered of a worker between two readings.
type workerState struct {
	usage map[string]float64 // Smoothed cores in use by image.
	over  time.Duration      // Since when a tail is above its target; zero for none.
	gain  float64            // Of the room for tasks that press, from the last readings.
}

// New returns a pacer without estimates.
func New() *Pacer {
	return &Pacer{estimates: map[string]*estimate{}, workers: map[string]*workerState{}, images: map[string]bool{}}
}

// Rise returns by which share of its target each core used by an image raises
// the tail of an image that serves.
func (p *Pacer) Rise(serving, image string) float64 {
	e := p.estimates[serving]
	if e == nil {
		return 0
	}
	rise, spread := e.rise(image)
	return max(0, rise-spread/4)
}

// Burden returns the share of the known images that press a task that serves.
func (p *Pacer) Burden(serving []dispatcher.Serving) float64 {
	if len(p.images) == 0 {
		return 0
	}
	n := 0
	for image := range p.images {
		if p.Presses(image, serving) {
			n++
		}
	}
	return float64(n) / float64(len(p.images))
}

// Presses reports whether an image presses any of the tasks that serve.
func (p *Pacer) Presses(image string, serving []dispatcher.Serving) bool {
	return slices.ContainsFunc(serving, func(s dispatcher.Serving) bool { return p.Rise(s.Image, image) >= pressingRise })
}

// Share returns the share of full speed at which one more task of an image could
// work on a worker.
func (p *Pacer) Share(worker, image string, cores float64, serving []dispatcher.Serving, filling []dispatcher.Filling) float64 {
	share := 1.0
	for _, s := range serving {
		if s.Tail >= stopTail {
			// What raises this tail is not known for certain, so nothing is added.
			return 0
		}
		rise := p.Rise(s.Image, image)
		if rise < pressingRise {
			continue
		}
		room := p.room(worker, s)
		for _, f := range filling {
			room -= p.pressure(f, s) * float64(f.Percent) / fullSpeed
		}
		share = min(share, room/(rise*cores))
	}
	return max(0, share)
}

// room returns by how much tasks that press may raise a tail on average.
func (p *Pacer) room(worker string, s dispatcher.Serving) float64 {
	if s.Tail >= stopTail {
		return 0
	}
	base := s.Tail
	if e := p.estimates[s.Image]; e != nil {
		base = min(base, max(e.value[0], s.Tail-p.present(worker, s)))
	}
	gain := 1.0
	if w := p.workers[worker]; w != nil {
		gain = w.gain
	}
	return max(0, brakeTail-base) / usualPeak * gain
}

// present returns the rise that the processors in use explain.
func (p *Pacer) present(worker string, s dispatcher.Serving) float64 {
	w := p.workers[worker]
	if w == nil {
		return 0
	}
	sum := 0.0
	for image, n := range w.usage {
		sum += p.Rise(s.Image, image) * n
	}
	return sum
}

// pressure returns the average rise that a task causes at full speed; zero when
// it does not press.
func (p *Pacer) pressure(f dispatcher.Filling, s dispatcher.Serving) float64 {
	if rise := p.Rise(s.Image, f.Image); rise >= pressingRise {
		return rise * f.Cores
	}
	return 0
}

// Forget drops what is remembered of a worker.
func (p *Pacer) Forget(worker string) { delete(p.workers, worker) }

// Decide takes a reading of a worker and returns the changes of pace.
func (p *Pacer) Decide(now time.Duration, worker string, serving []dispatcher.Serving, filling []dispatcher.Filling) []dispatcher.Pace {
	w := p.workers[worker]
	if w == nil {
		w = &workerState{usage: map[string]float64{}, gain: 1}
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
	w.adapt(now, worst)
	if w.over != 0 && now-w.over > patience {
		return slowTo(filling, 0)
	}
	return p.allot(worker, serving, filling)
}

// adapt changes the room for tasks that press by the worst tail.
func (w *workerState) adapt(now time.Duration, worst float64) {
	switch {
	case worst >= brakeTail:
		w.gain = max(leastGain, w.gain*gainCut)
	case worst < calmTail:
		w.gain = min(mostGain, w.gain*gainStep)
	}
	if worst < stopTail {
		w.over = 0
	} else if w.over == 0 {
		w.over = now
	}
}

// allot shares the room out among the tasks that press, to those first that
// have come furthest, and lets the others work at full speed.
func (p *Pacer) allot(worker string, serving []dispatcher.Serving, filling []dispatcher.Filling) []dispatcher.Pace {
	rooms := make([]float64, len(serving))
	for i, s := range serving {
		rooms[i] = p.room(worker, s)
	}
	order := slices.Clone(filling)
	slices.SortStableFunc(order, func(a, b dispatcher.Filling) int { return cmp.Compare(b.Progress, a.Progress) })
	var paces []dispatcher.Pace
	for _, f := range order {
		share := 1.0
		for i, s := range serving {
			if pressure := p.pressure(f, s); pressure > 0 {
				share = min(share, rooms[i]/pressure)
			} else if s.Tail >= stopTail && !p.harmless(s.Image, f.Image) {
				share = min(share, slowdownOfUnknown*float64(f.Percent)/fullSpeed)
			}
		}
		for i, s := range serving {
			rooms[i] -= p.pressure(f, s) * share
		}
		if percent := int(math.Round(fullSpeed * share)); percent != f.Percent {
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
	for image := range usage {
		p.images[image] = true
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
		if w.usage[image] < leastUsage {
			delete(w.usage, image)
		}
	}
	for image, n := range used {
		if _, ok := w.usage[image]; !ok && n > 0 {
			w.usage[image] = usageWeight * n
		}
	}
}

// harmless reports whether an image is known not to press another one.
func (p *Pacer) harmless(serving, image string) bool {
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

// Model returns what is known well, for other owners.
func (p *Pacer) Model() []briarspring.PressModel {
	var models []briarspring.PressModel
	for _, serving := range slices.Sorted(maps.Keys(p.estimates)) {
		if m := p.estimates[serving].tell(serving); len(m.Pairs) > 0 {
			models = append(models, m)
		}
	}
	return models
}

// Adopt takes over what other owners know much better. It answers changes of
// owners: a new one would let every pair press once to learn it.
func (p *Pacer) Adopt(models []briarspring.PressModel) {
	for _, m := range models {
		e := p.estimates[m.Serving]
		if e == nil {
			e = newEstimate()
			p.estimates[m.Serving] = e
		}
		e.adopt(m)
		for _, pair := range m.Pairs {
			p.images[pair.Image] = true
		}
	}
}
