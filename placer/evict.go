package placer

import (
	"cmp"
	"fmt"
	"slices"

	"briarspring"
)

// evictionPlan is a set of batch tasks to evict from one worker.
type evictionPlan struct {
	worker  *Worker
	victims []Running
	cost    int64
}

// evictForTask evicts the cheapest set of batch tasks on a single worker that
// makes an executor fit, and reserves the freed resources for it.
func (r *Round) evictForTask(t Task) {
	var best *evictionPlan
	for _, w := range r.workers {
		p := r.planEvictions(t, w)
		if p != nil && (best == nil || p.cost < best.cost) {
			best = p
		}
	}
	if best == nil {
		r.recordWait(t, fmt.Sprintf("no worker has %s free, even after evictions", t.Resources))
		return
	}
	if r.evictions+len(best.victims) > r.placer.config.MaxEvictions {
		r.recordWait(t, "limit of evictions per round reached")
		return
	}
	r.evictions += len(best.victims)
	w := best.worker
	for _, v := range best.victims {
		w.FreeAfterEvictions = w.FreeAfterEvictions.Add(v.Resources)
		r.evict(v, w, fmt.Sprintf("makes room for %s/%d at cost %d", t.Name, t.State.Index, best.cost))
	}
	r.reserve(t, w)
	r.recordWait(t, "waits for evictions on "+w.Name)
}

// evict records an eviction and marks the attempt so that it isn't evicted
// twice.
func (r *Round) evict(v Running, w *Worker, reason string) {
	for i := range w.Running {
		if w.Running[i].Attempt == v.Attempt {
			w.Running[i].Evicting = true
		}
	}
	r.decisions = append(r.decisions, Decision{
		Kind: KindEvict, Attempt: v.Attempt, Name: v.Class, Worker: w.Number, Host: w.Name, Reason: reason,
	})
}

// planEvictions returns the cheapest evictions found on one worker, or nil if no
// evictions there make the task fit.
func (r *Round) planEvictions(t Task, w *Worker) *evictionPlan {
	if !w.Usable || !t.Resources.Fits(w.Size) {
		return nil
	}
	var batch []Running
	for _, v := range w.Running {
		if v.Service == "" && !v.Evicting {
			batch = append(batch, v)
		}
	}
	slices.SortFunc(batch, func(a, b Running) int {
		return cmp.Or(
			cmp.Compare(evictionCost(a), evictionCost(b)),
			cmp.Compare(a.Attempt.Task.Workload, b.Attempt.Task.Workload),
			cmp.Compare(a.Attempt.Task.Index, b.Attempt.Task.Index),
		)
	})
	p := &evictionPlan{worker: w}
	free := w.FreeAfterEvictions
	for _, v := range batch {
		if t.Resources.Fits(free) {
			break
		}
		free = free.Add(v.Resources)
		p.victims = append(p.victims, v)
		p.cost += evictionCost(v)
	}
	if !t.Resources.Fits(free) {
		return nil
	}
	return p.prune(t, w.FreeAfterEvictions)
}

// prune removes victims that the task doesn't need, most expensive first.
func (p *evictionPlan) prune(t Task, freeAfterEvictions briarspring.Resources) *evictionPlan {
	free := freeAfterEvictions
	for _, v := range p.victims {
		free = free.Add(v.Resources)
	}
	for i := len(p.victims) - 1; i >= 0; i-- {
		v := p.victims[i]
		without := free.Sub(v.Resources)
		if t.Resources.Fits(without) {
			free = without
			p.cost -= evictionCost(v)
			p.victims = slices.Delete(p.victims, i, i+1)
		}
	}
	return p
}

// evictionCost grows with the weight of a task. An evicted task loses the time
// for its checkpoint and for waiting, so its reserved CPU counts too.
func evictionCost(v Running) int64 {
	return int64(v.Weight)*1000 + v.Resources.MilliCPU()
}
