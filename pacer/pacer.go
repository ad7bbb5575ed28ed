// Package pacer throttles best-effort tasks, which use idle reserved cores, so
// that they don't slow the serving tasks on the same worker, and learns which
// images interfere with which. It is built for loads where some images raise the
// tail latency of some others and most of none, by amounts that drift within
// seconds, while tails are only known for the last half second. It does no I/O.
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
	// throttleTail is the highest tail, as a fraction of the target, that
	// interfering tasks may cause.
	throttleTail = 0.75
	// stopTail is the tail, as a fraction of the target, from which interfering
	// tasks are stopped.
	stopTail = 0.95
	// recoverTail is the tail, as a fraction of the target, below which
	// interfering tasks are throttled less.
	recoverTail = 0.6
	// maxOverTime is how long a tail may stay at stopTail or above before all
	// best-effort tasks of the worker are stopped, whatever the models predict.
	// The platform allows 4 s above the target.
	maxOverTime = 900 * time.Millisecond
	// interferingRise is the rise per core, as a fraction of the target, from
	// which an image counts as interfering.
	interferingRise = 0.06
	// peakFactor is the ratio of peak to average interference that is assumed at
	// a gain of one; interference drifts.
	peakFactor = 2.0
	// minGain and maxGain limit the gain that measurements apply to the headroom.
	minGain = 0.1
	maxGain = 1.0
	// gainDecrease applies after a tail of throttleTail or more, gainIncrease
	// after one below recoverTail.
	gainDecrease = 0.5
	gainIncrease = 1.15
	// usageWeight is the weight of the newest measurement in the moving average
	// of the cores in use; tails lag them by about half a second.
	usageWeight = 0.6
	// fullSpeed is the pace of an unthrottled task, in percent.
	fullSpeed = 100
	// minUsage is the number of cores below which an image counts as idle.
	minUsage = 0.001
	// suspectPaceFactor multiplies the pace of a task that may be the cause of a
	// high tail, as the model can't rule it out.
	suspectPaceFactor = 0.5
)

// Pacer holds the interference models of one data centre.
type Pacer struct {
	models  map[string]*tailModel // By serving image.
	workers map[string]*workerState
	images  map[string]bool // Images that ran next to serving tasks.
}

// workerState is the state of a worker between two measurements.
type workerState struct {
	usage     map[string]float64 // Moving average of the cores in use, by image.
	overSince time.Duration      // Time since which a tail is at stopTail or above; 0 for none.
	gain      float64            // Factor of the headroom, from the last measurements.
}

// New returns a pacer without measurements.
func New() *Pacer {
	return &Pacer{models: map[string]*tailModel{}, workers: map[string]*workerState{}, images: map[string]bool{}}
}

// RisePerCore returns the rise of a serving image's tail for each core that
// another image uses, as a fraction of the target.
func (p *Pacer) RisePerCore(serving, image string) float64 {
	model := p.models[serving]
	if model == nil {
		return 0
	}
	rise, stdErr := model.rise(image)
	return max(0, rise-stdErr/4)
}

// InterferingFraction returns the fraction of the known images that interfere
// with any of the serving tasks.
func (p *Pacer) InterferingFraction(serving []dispatcher.ServingTask) float64 {
	if len(p.images) == 0 {
		return 0
	}
	n := 0
	for image := range p.images {
		if p.Interferes(image, serving) {
			n++
		}
	}
	return float64(n) / float64(len(p.images))
}

// Interferes reports whether an image interferes with any of the serving tasks.
func (p *Pacer) Interferes(image string, serving []dispatcher.ServingTask) bool {
	return slices.ContainsFunc(serving, func(s dispatcher.ServingTask) bool { return p.RisePerCore(s.Image, image) >= interferingRise })
}

// Allowance returns how many cores one more task of an image could use on a
// worker: positive infinity if it interferes with nothing there.
func (p *Pacer) Allowance(worker, image string, serving []dispatcher.ServingTask, bestEffort []dispatcher.BestEffortTask) float64 {
	allowance := math.Inf(1)
	for _, s := range serving {
		if s.TailRatio >= stopTail {
			// The cause of the high tail isn't certain, so no task is added.
			return 0
		}
		rise := p.RisePerCore(s.Image, image)
		if rise < interferingRise {
			continue
		}
		headroom := p.headroom(worker, s)
		for _, f := range bestEffort {
			headroom -= p.fullSpeedRise(f, s) * float64(f.Percent) / fullSpeed
		}
		allowance = min(allowance, headroom/rise)
	}
	return max(0, allowance)
}

// headroom returns how much interfering tasks may raise a tail on average.
func (p *Pacer) headroom(worker string, s dispatcher.ServingTask) float64 {
	if s.TailRatio >= stopTail {
		return 0
	}
	base := s.TailRatio
	if model := p.models[s.Image]; model != nil {
		base = min(base, max(model.value[0], s.TailRatio-p.explainedRise(worker, s)))
	}
	gain := 1.0
	if w := p.workers[worker]; w != nil {
		gain = w.gain
	}
	return max(0, throttleTail-base) / peakFactor * gain
}

// explainedRise returns the part of a tail that the cores in use explain.
func (p *Pacer) explainedRise(worker string, s dispatcher.ServingTask) float64 {
	w := p.workers[worker]
	if w == nil {
		return 0
	}
	sum := 0.0
	for image, n := range w.usage {
		sum += p.RisePerCore(s.Image, image) * n
	}
	return sum
}

// fullSpeedRise returns the average rise that a task causes at full speed, or
// zero if it doesn't interfere.
func (p *Pacer) fullSpeedRise(f dispatcher.BestEffortTask, s dispatcher.ServingTask) float64 {
	if rise := p.RisePerCore(s.Image, f.Image); rise >= interferingRise {
		return rise * f.Cores
	}
	return 0
}

// Forget drops the state of a worker.
func (p *Pacer) Forget(worker string) { delete(p.workers, worker) }

// Decide updates the models with a worker's measurements and returns the changes
// of pace.
func (p *Pacer) Decide(now time.Duration, worker string, serving []dispatcher.ServingTask, bestEffort []dispatcher.BestEffortTask) []dispatcher.Pace {
	w := p.workers[worker]
	if w == nil {
		w = &workerState{usage: map[string]float64{}, gain: 1}
		p.workers[worker] = w
	}
	w.updateUsage(bestEffort)
	worst := 0.0
	for _, s := range serving {
		if s.Measured {
			worst = max(worst, s.TailRatio)
			p.learn(now, s, w.usage)
		}
	}
	w.adjustGain(now, worst)
	if w.overSince != 0 && now-w.overSince > maxOverTime {
		return limitPace(bestEffort, 0)
	}
	return p.assignPaces(worker, serving, bestEffort)
}

// adjustGain adjusts the gain of the headroom to the worst tail.
func (w *workerState) adjustGain(now time.Duration, worst float64) {
	switch {
	case worst >= throttleTail:
		w.gain = max(minGain, w.gain*gainDecrease)
	case worst < recoverTail:
		w.gain = min(maxGain, w.gain*gainIncrease)
	}
	if worst < stopTail {
		w.overSince = 0
	} else if w.overSince == 0 {
		w.overSince = now
	}
}

// assignPaces divides the headroom among the interfering tasks, those with most
// progress first, and lets the others run at full speed.
func (p *Pacer) assignPaces(worker string, serving []dispatcher.ServingTask, bestEffort []dispatcher.BestEffortTask) []dispatcher.Pace {
	headrooms := make([]float64, len(serving))
	for i, s := range serving {
		headrooms[i] = p.headroom(worker, s)
	}
	order := slices.Clone(bestEffort)
	slices.SortStableFunc(order, func(a, b dispatcher.BestEffortTask) int { return cmp.Compare(b.Progress, a.Progress) })
	var paces []dispatcher.Pace
	for _, f := range order {
		share := 1.0
		for i, s := range serving {
			if rise := p.fullSpeedRise(f, s); rise > 0 {
				share = min(share, headrooms[i]/rise)
			} else if s.TailRatio >= stopTail && !p.harmless(s.Image, f.Image) {
				share = min(share, suspectPaceFactor*float64(f.Percent)/fullSpeed)
			}
		}
		for i, s := range serving {
			headrooms[i] -= p.fullSpeedRise(f, s) * share
		}
		if percent := int(math.Round(fullSpeed * share)); percent != f.Percent {
			paces = append(paces, dispatcher.Pace{Run: f.Run, Percent: percent})
		}
	}
	return paces
}

// learn updates the model of a serving image with a measured tail.
func (p *Pacer) learn(now time.Duration, s dispatcher.ServingTask, usage map[string]float64) {
	model := p.models[s.Image]
	if model == nil {
		model = newTailModel()
		p.models[s.Image] = model
	}
	for image := range usage {
		p.images[image] = true
	}
	model.observe(now, s.TailRatio, usage)
}

// updateUsage updates the moving average of the cores in use by image.
func (w *workerState) updateUsage(bestEffort []dispatcher.BestEffortTask) {
	used := map[string]float64{}
	for _, f := range bestEffort {
		used[f.Image] += f.Used
	}
	for image, before := range w.usage {
		w.usage[image] = before + usageWeight*(used[image]-before)
		if w.usage[image] < minUsage {
			delete(w.usage, image)
		}
	}
	for image, n := range used {
		if _, ok := w.usage[image]; !ok && n > 0 {
			w.usage[image] = usageWeight * n
		}
	}
}

// harmless reports whether an image is known not to interfere with a serving
// one.
func (p *Pacer) harmless(serving, image string) bool {
	model := p.models[serving]
	if model == nil {
		return false
	}
	rise, stdErr := model.rise(image)
	return rise+2*stdErr < 2*interferingRise
}

// limitPace returns the paces that limit every faster task to a percentage.
func limitPace(bestEffort []dispatcher.BestEffortTask, percent int) []dispatcher.Pace {
	var paces []dispatcher.Pace
	for _, f := range bestEffort {
		if f.Percent > percent {
			paces = append(paces, dispatcher.Pace{Run: f.Run, Percent: percent})
		}
	}
	return paces
}

// Models returns the coefficients with a low standard error, to share them with
// other owners.
func (p *Pacer) Models() []briarspring.InterferenceModel {
	var models []briarspring.InterferenceModel
	for _, serving := range slices.Sorted(maps.Keys(p.models)) {
		if m := p.models[serving].export(serving); len(m.Pairs) > 0 {
			models = append(models, m)
		}
	}
	return models
}

// AdoptModels replaces coefficients that other owners have estimated much more
// precisely. Without them a new owner would have to let every pair interfere
// once to learn its effect.
func (p *Pacer) AdoptModels(models []briarspring.InterferenceModel) {
	for _, m := range models {
		model := p.models[m.Serving]
		if model == nil {
			model = newTailModel()
			p.models[m.Serving] = model
		}
		model.adopt(m)
		for _, pair := range m.Pairs {
			p.images[pair.Image] = true
		}
	}
}
