// Package placer assigns tasks to workers and chooses batch tasks to evict. It
// reads no clock and does no I/O, and its decisions are deterministic.
package placer

import (
	"fmt"

	"briarspring"
)

// InterferenceModel predicts how much a class of batch tasks slows a service on
// the same worker.
type InterferenceModel interface {
	// Slowdown returns the relative increase of the service's tail latency that
	// one task of the class causes; 0 means no effect.
	Slowdown(service, class string) float64
}

// Rule selects the placement algorithm.
type Rule string

// Placement rules. The last two are baselines for benchmarks.
const (
	RuleInterference Rule = "interference" // Pack workers, limit the slowdown of services.
	RuleFirstFit     Rule = "first-fit"    // First worker with enough free resources.
	RuleStaticSplit  Rule = "static-split" // Separate workers for services and batch.
)

// staticSplitInterval is the interval of worker numbers that a static split
// reserves for services: one worker in three.
const staticSplitInterval = 3

// Config holds the settings of a Placer.
type Config struct {
	Rule         Rule // Defaults to RuleInterference.
	Interference InterferenceModel
	MaxSlowdown  float64 // Highest accepted relative increase of a service's tail latency.
	MaxEvictions int     // Maximum per round.
	MaxRejected  int     // Maximum number of rejected workers listed in a decision.
}

// Placer places tasks by the configured rule.
type Placer struct {
	config Config
}

// New returns a placer.
func New(c Config) *Placer { return &Placer{config: c} }

// Running is an attempt that occupies resources on a worker.
type Running struct {
	Attempt   briarspring.AttemptID
	Service   string // Name of the service; empty for a batch task.
	Class     string // Empty for a service.
	Resources briarspring.Resources
	Weight    uint32
	Elapsed   int64 // Milliseconds since the start, if known.
	Evicting  bool
}

// Worker is the placer's view of a worker. Place updates Free and
// FreeAfterEvictions with each decision.
type Worker struct {
	Number             uint32
	Name               string
	Rack               string
	Free               briarspring.Resources
	FreeAfterEvictions briarspring.Resources // Free once pending evictions have finished.
	Size               briarspring.Resources
	Usable             bool
	UnusableReason     string // Reason if it is not usable.
	Running            []Running

	services []string
	slowdown float64
}

// Task is a task that waits to be placed.
type Task struct {
	State     briarspring.TaskState
	Workload  briarspring.WorkloadID
	Name      string
	Service   bool
	Class     string
	Resources briarspring.Resources
	Weight    uint32
	Avoid     uint32 // Worker on which the task last failed; 0 for none.
	Probe     bool   // It may exceed MaxSlowdown, to refresh the estimate.
}

// Attempt returns the ID of the task's next attempt.
func (t Task) Attempt() briarspring.AttemptID {
	return briarspring.AttemptID{
		Task:    briarspring.TaskID{Workload: t.Workload, Index: t.State.Index},
		Attempt: t.State.Attempt + 1,
	}
}

// Kind is the type of a decision.
type Kind string

// Kinds of decisions.
const (
	KindStart Kind = "start"
	KindEvict Kind = "evict"
	KindWait  Kind = "wait"
)

// Decision starts a task, evicts one or leaves one waiting, with the reason.
type Decision struct {
	Kind     Kind
	Attempt  briarspring.AttemptID
	Name     string // Name of the workload.
	Worker   uint32
	Host     string // Name of the worker.
	Reason   string
	Rejected []string // Next best workers with their costs.
	Probe    bool     // The predicted slowdown at full speed exceeds MaxSlowdown.
}

// Round holds the state of one scheduling round.
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

// NewRound starts a round over the workers of a data centre, which must be
// sorted by number.
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
				w.slowdown += r.worstSlowdown(w, t.Class)
			}
		}
	}
	return r
}

// Decisions returns the round's decisions so far, in order.
func (r *Round) Decisions() []Decision { return r.decisions }

// worstSlowdown returns the highest slowdown that one task of a class causes to
// any service on the worker.
func (r *Round) worstSlowdown(w *Worker, class string) float64 {
	highest := 0.0
	if r.placer.config.Interference == nil {
		return 0
	}
	for _, s := range w.services {
		highest = max(highest, r.placer.config.Interference.Slowdown(s, class))
	}
	return highest
}

// Place tries to place a task and reports whether it starts. It may record
// evictions instead.
func (r *Round) Place(t Task) bool {
	switch {
	case r.placer.config.Rule == RuleFirstFit || r.placer.config.Rule == RuleStaticSplit:
		return r.placeFirstFit(t)
	case t.Service:
		return r.placeExecutor(t)
	}
	return r.placeBatch(t)
}

// start records the decision and deducts the task's resources from the worker.
func (r *Round) start(t Task, w *Worker, reason string, rejected []string) {
	w.Free = w.Free.Sub(t.Resources)
	w.FreeAfterEvictions = w.FreeAfterEvictions.Sub(t.Resources)
	if t.Service {
		w.services = append(w.services, t.Name)
		r.racks[spreadKey{t.Name, w.Rack}]++
	} else {
		w.slowdown += r.worstSlowdown(w, t.Class)
	}
	r.decisions = append(r.decisions, Decision{
		Kind: KindStart, Attempt: t.Attempt(), Name: t.Name, Worker: w.Number, Host: w.Name,
		Reason: reason, Rejected: rejected,
	})
}

// recordWait records that the task stays in the queue, with the reason.
func (r *Round) recordWait(t Task, reason string) {
	r.decisions = append(r.decisions, Decision{
		Kind: KindWait, Attempt: t.Attempt(), Name: t.Name, Reason: reason,
	})
}

// placeBatch starts a batch task on the worker where it leaves the least unused
// and slows services least.
func (r *Round) placeBatch(t Task) bool {
	top := newRanking(r.placer.config.MaxRejected + 1)
	tooSlow := 0
	leastSlowed := newRanking(1)
	for _, w := range r.workers {
		if !w.Usable || !t.Resources.Fits(w.Free) {
			continue
		}
		slowdown := r.worstSlowdown(w, t.Class)
		if slowdown > 0 && w.slowdown+slowdown > r.placer.config.MaxSlowdown {
			tooSlow++
			leastSlowed.add(candidate{worker: w, score: w.slowdown + slowdown})
			continue
		}
		top.add(candidate{worker: w, score: batchScore(w, t, slowdown)})
	}
	best := top.best()
	if best == nil && t.Probe {
		if q := leastSlowed.best(); q != nil {
			r.start(t, q.worker, fmt.Sprintf("probes an expected slowdown of %.2f", q.score), nil)
			r.decisions[len(r.decisions)-1].Probe = true
			return true
		}
	}
	if best == nil {
		r.recordWait(t, r.noFitReason(t, tooSlow))
		return false
	}
	r.start(t, best.worker, fmt.Sprintf("lowest cost %.3f", best.score), top.rejected())
	return true
}

// batchScore is the cost of a batch task on a worker: lower the less it leaves
// unused and the less it slows services.
func batchScore(w *Worker, t Task, slowdown float64) float64 {
	const (
		slowdownCost = 10.0
		serviceCost  = 0.05 // Per service, as its sensitivity may be unknown.
		avoidCost    = 5.0
	)
	left := w.Free.Sub(t.Resources)
	score := fraction(left.MilliCPU(), w.Size.MilliCPU()) + 0.1*fraction(left.MemoryMiB(), w.Size.MemoryMiB())
	// Accelerators are kept for the tasks that need them.
	if t.Resources.Accelerators() == 0 {
		score += float64(left.Accelerators())
	}
	if w.Number == t.Avoid {
		score += avoidCost
	}
	return score + slowdownCost*slowdown + serviceCost*float64(len(w.services))
}

func fraction(part, whole int64) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

func (r *Round) noFitReason(t Task, tooSlow int) string {
	if tooSlow > 0 {
		return fmt.Sprintf("%d workers have room, but %s would slow a service there too much", tooSlow, t.Class)
	}
	return fmt.Sprintf("no worker has %s free", t.Resources)
}

// placeExecutor starts an executor, spread over workers and racks, or evicts
// batch tasks to make it fit.
func (r *Round) placeExecutor(t Task) bool {
	top := newRanking(r.placer.config.MaxRejected + 1)
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
	if w := r.workerAfterEvictions(t); w != nil {
		r.reserve(t, w)
		r.recordWait(t, "waits for evictions on "+w.Name)
		return false
	}
	r.evictForTask(t)
	return false
}

// executorScore is the cost of an executor on a worker: lower on workers and
// racks without the service, with little interference and much free CPU.
func (r *Round) executorScore(w *Worker, t Task) float64 {
	const (
		sameWorkerCost = 10.0
		sameRackCost   = 1.0
		slowdownCost   = 2.0
	)
	same := 0
	for _, s := range w.services {
		if s == t.Name {
			same++
		}
	}
	slowdown := 0.0
	if r.placer.config.Interference != nil {
		for _, o := range w.Running {
			if o.Service == "" {
				slowdown += r.placer.config.Interference.Slowdown(t.Name, o.Class)
			}
		}
	}
	used := 1 - fraction(w.Free.MilliCPU(), w.Size.MilliCPU())
	return sameWorkerCost*float64(same) + sameRackCost*float64(r.racks[spreadKey{t.Name, w.Rack}]) +
		slowdownCost*slowdown + used
}

// workerAfterEvictions returns the first worker on which the task fits once
// pending evictions have finished, or nil.
func (r *Round) workerAfterEvictions(t Task) *Worker {
	for _, w := range r.workers {
		if w.Usable && t.Resources.Fits(w.FreeAfterEvictions) {
			return w
		}
	}
	return nil
}

// reserve deducts the task's resources from the worker, so that no other task
// takes what the evictions free.
func (r *Round) reserve(t Task, w *Worker) {
	w.FreeAfterEvictions = w.FreeAfterEvictions.Sub(t.Resources)
	w.Free = w.Free.Sub(t.Resources)
}
