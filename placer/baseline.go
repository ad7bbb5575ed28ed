package placer

// placeFirstFit starts a task on the first worker with enough free resources.
// Under a static split, services and batch tasks use separate workers. Under
// first-fit, batch tasks are evicted for an executor that fits nowhere.
func (r *Round) placeFirstFit(t Task) bool {
	for _, w := range r.workers {
		if !w.Usable || !r.allows(t, w) || !t.Resources.Fits(w.Free) {
			continue
		}
		r.start(t, w, "first worker with room", nil)
		return true
	}
	if !t.Service || r.placer.config.Rule == RuleStaticSplit {
		r.recordWait(t, "no worker has "+t.Resources.String()+" free")
		return false
	}
	if w := r.workerAfterEvictions(t); w != nil {
		r.reserve(t, w)
		r.recordWait(t, "waits for evictions on "+w.Name)
		return false
	}
	r.evictForTask(t)
	return false
}

// allows reports whether the rule permits the task on the worker. Only a static
// split restricts it.
func (r *Round) allows(t Task, w *Worker) bool {
	if r.placer.config.Rule != RuleStaticSplit {
		return true
	}
	return t.Service == (w.Number%staticSplitInterval == 0)
}
