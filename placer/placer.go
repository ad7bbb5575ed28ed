// Package placer decides which task starts on which worker and which task is
// evicted for it. It knows no clock, does no I/O, and decides alike for equal
// views.
package placer

import (
	"fmt"

	"briarspring"
)

// Noise predicts how much a class of batch tasks slows a service beside it.
type Noise interface {
	// Slowdown returns the share by which one task of the class raises the tail
	// latency of the service, zero for no effect.
	Slowdown(service, class string) float64
}

// Rule chooses the workers of tasks.
type Rule string

// The rules. The last two are baselines for measurements.
const (
	RuleInterference Rule = "interference" // Fill workers, keep noise from services.
	RuleFirstFit     Rule = "first-fit"    // The first worker with room.
	RuleStaticSplit  Rule = "static-split" // Services and batch on workers of their own.
)

// splitEvery is how many workers stand for one that a static split keeps for
// services.
const splitEvery = 3

// Config holds the settings of a Placer.
type Config struct {
	Rule         Rule // Empty for RuleInterference.
	Noise        Noise
	MaxSlowdown  float64 // Predicted rise of a service's tail latency that is accepted.
	MaxEvictions int     // Evictions in one round.
	Rejected     int     // Rejected workers named with each decision.
}

// Placer decides on placement.
type Placer struct {
	config Config
}

// New returns a placer.
func New(c Config) *Placer { return &Placer{config: c} }

// Running is an open attempt on a worker.
type Running struct {
	Attempt   briarspring.AttemptID
	Service   string // Name of the service; empty for a batch task.
	Class     string // Of a batch task.
	Resources briarspring.Resources
	Weight    uint32
	Elapsed   int64 // Milliseconds since the start, as far as known.
	Evicting  bool
}

// Worker is a worker as the placer sees it. Place changes Free and Soon as it
// decides.
type Worker struct {
	Number  uint32
	Name    string
	Rack    string
	Free    briarspring.Resources
	Soon    briarspring.Resources // Free once the evictions under way have ended.
	Size    briarspring.Resources
	Usable  bool
	Why     string // Why it is not usable.
	Running []Running

	services []string
	slowdown float64
}

// Task is a task that waits for an attempt.
type Task struct {
	State     briarspring.TaskState
	Workload  briarspring.WorkloadID
	Name      string
	Service   bool
	Class     string
	Resources briarspring.Resources
	Weight    uint32
	Avoid     uint32 // Worker that the task failed on last; zero for none.
	Probe     bool   // It may start where it is expected to slow services too much.
}

// Attempt returns the attempt that a start of the task would be.
func (t Task) Attempt() briarspring.AttemptID {
	return briarspring.AttemptID{
		Task:    briarspring.TaskID{Workload: t.Workload, Index: t.State.Index},
		Attempt: t.State.Attempt + 1,
	}
}

// Kind tells what a decision does.
type Kind string

// What a decision does.
const (
	KindStart Kind = "start"
	KindEvict Kind = "evict"
	KindWait  Kind = "wait"
)

// Decision is one decision with its reasons.
type Decision struct {
	Kind     Kind
	Attempt  briarspring.AttemptID
	Name     string // Of the workload.
	Worker   uint32
	Host     string // Name of the worker.
	Reason   string
	Rejected []string // Other workers and why they were not chosen.
	Probe    bool     // The task is expected to slow a service too much at full speed.
}

// Round holds the state of one round of decisions.
type Round struct {
	placer    *Placer
	workers   []*Worker
	evictions int
	racks     map[spreadKey]int
	decisions []Decision
}

type spreadKey struct {
	service string
	rack    string
}

// NewRound begins a round over the workers of a data centre, which must be in
// order of number.
func (p *Placer) NewRound(workers []*Worker) *Round {
	r := &Round{placer: p, workers: workers, racks: map[spreadKey]int{}}
	for _, w := range workers {
		for _, t := range w.Running {
			if t.Service == "" {
				continue
			}
			w.services = append(w.services, t.Service)
			r.racks[spreadKey{t.Service, w.Rack}]++
		}
		for _, t := range w.Running {
			if t.Service == "" && !t.Evicting {
				w.slowdown += r.noiseOn(w, t.Class)
			}
		}
	}
	return r
}

// Decisions returns what was decided so far, in order.
func (r *Round) Decisions() []Decision { return r.decisions }

// noiseOn returns the highest slowdown that one task of a class causes to a
// service on the worker.
func (r *Round) noiseOn(w *Worker, class string) float64 {
	highest := 0.0
	if r.placer.config.Noise == nil {
		return 0
	}
	for _, s := range w.services {
		highest = max(highest, r.placer.config.Noise.Slowdown(s, class))
	}
	return highest
}

// Place decides on one waiting task and reports whether it starts.
func (r *Round) Place(t Task) bool {
	switch {
	case r.placer.config.Rule == RuleFirstFit || r.placer.config.Rule == RuleStaticSplit:
		return r.placeFirst(t)
	case t.Service:
		return r.placeExecutor(t)
	}
	return r.placeBatch(t)
}

// start records the decision and takes the task's resources from the worker.
func (r *Round) start(t Task, w *Worker, reason string, rejected []string) {
	w.Free = w.Free.Sub(t.Resources)
	w.Soon = w.Soon.Sub(t.Resources)
	if t.Service {
		w.services = append(w.services, t.Name)
		r.racks[spreadKey{t.Name, w.Rack}]++
	} else {
		w.slowdown += r.noiseOn(w, t.Class)
	}
	r.decisions = append(r.decisions, Decision{
		Kind: KindStart, Attempt: t.Attempt(), Name: t.Name, Worker: w.Number, Host: w.Name,
		Reason: reason, Rejected: rejected,
	})
}

func (r *Round) wait(t Task, reason string) {
	r.decisions = append(r.decisions, Decision{
		Kind: KindWait, Attempt: t.Attempt(), Name: t.Name, Reason: reason,
	})
}

// placeBatch starts a batch task where it leaves the least room unused and
// slows services least.
func (r *Round) placeBatch(t Task) bool {
	top := newRanking(r.placer.config.Rejected + 1)
	noisy := 0
	quietest := newRanking(1)
	for _, w := range r.workers {
		if !w.Usable || !t.Resources.Fits(w.Free) {
			continue
		}
		noise := r.noiseOn(w, t.Class)
		if noise > 0 && w.slowdown+noise > r.placer.config.MaxSlowdown {
			noisy++
			quietest.add(candidate{worker: w, score: w.slowdown + noise})
			continue
		}
		top.add(candidate{worker: w, score: batchScore(w, t, noise)})
	}
	best := top.best()
	if best == nil && t.Probe {
		if q := quietest.best(); q != nil {
			r.start(t, q.worker, fmt.Sprintf("probes an expected slowdown of %.2f", q.score), nil)
			r.decisions[len(r.decisions)-1].Probe = true
			return true
		}
	}
	if best == nil {
		r.wait(t, r.whyNone(t, noisy))
		return false
	}
	r.start(t, best.worker, fmt.Sprintf("lowest cost %.3f", best.score), top.rejected())
	return true
}

// batchScore is lower for workers that the task fills up and does not disturb.
func batchScore(w *Worker, t Task, noise float64) float64 {
	const (
		noiseCost   = 10.0
		serviceCost = 0.05 // Beside a service whose sensitivity is not known.
		avoidCost   = 5.0
	)
	left := w.Free.Sub(t.Resources)
	score := share(left.MilliCPU(), w.Size.MilliCPU()) + 0.1*share(left.MemoryMiB(), w.Size.MemoryMiB())
	// Accelerators are kept for the tasks that need them.
	if t.Resources.Accelerators() == 0 {
		score += float64(left.Accelerators())
	}
	if w.Number == t.Avoid {
		score += avoidCost
	}
	return score + noiseCost*noise + serviceCost*float64(len(w.services))
}

func share(part, whole int64) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

func (r *Round) whyNone(t Task, noisy int) string {
	if noisy > 0 {
		return fmt.Sprintf("%d workers have room, but %s would slow a service there too much", noisy, t.Class)
	}
	return fmt.Sprintf("no worker has %s free", t.Resources)
}

// placeExecutor starts an executor away from others of its service, or makes
// room for it by evicting batch tasks.
func (r *Round) placeExecutor(t Task) bool {
	top := newRanking(r.placer.config.Rejected + 1)
	for _, w := range r.workers {
		if !w.Usable || !t.Resources.Fits(w.Free) {
			continue
		}
		top.add(candidate{worker: w, score: r.executorScore(w, t)})
	}
	if best := top.best(); best != nil {
		r.start(t, best.worker, fmt.Sprintf("lowest cost %.3f", best.score), top.rejected())
		return true
	}
	if w := r.soonest(t); w != nil {
		r.reserve(t, w)
		r.wait(t, "waits for evictions on "+w.Name)
		return false
	}
	r.makeRoom(t)
	return false
}

// executorScore is lower for workers and racks without the service, with
// little noise and much room.
func (r *Round) executorScore(w *Worker, t Task) float64 {
	const (
		sameWorkerCost = 10.0
		sameRackCost   = 1.0
		noiseCost      = 2.0
	)
	same := 0
	for _, s := range w.services {
		if s == t.Name {
			same++
		}
	}
	noise := 0.0
	if r.placer.config.Noise != nil {
		for _, o := range w.Running {
			if o.Service == "" {
				noise += r.placer.config.Noise.Slowdown(t.Name, o.Class)
			}
		}
	}
	used := 1 - share(w.Free.MilliCPU(), w.Size.MilliCPU())
	return sameWorkerCost*float64(same) + sameRackCost*float64(r.racks[spreadKey{t.Name, w.Rack}]) +
		noiseCost*noise + used
}

// soonest returns a worker where the task fits once evictions have ended.
func (r *Round) soonest(t Task) *Worker {
	for _, w := range r.workers {
		if w.Usable && t.Resources.Fits(w.Soon) {
			return w
		}
	}
	return nil
}

// reserve keeps room that evictions free for the task that they were made for.
func (r *Round) reserve(t Task, w *Worker) {
	w.Soon = w.Soon.Sub(t.Resources)
	w.Free = w.Free.Sub(t.Resources)
}
