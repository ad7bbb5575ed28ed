package applier

import (
	"slices"

	"briarspring"
)

// hashMultiplier spreads consecutive workload ids over the data centres
// (Knuth's multiplicative hashing, 2^64 divided by the golden ratio).
const hashMultiplier = 0x9E3779B97F4A7C15

// assign distributes n new tasks of a workload over the data centres: executors
// evenly, batch tasks in proportion to free processors.
func (c *Config) assign(offset uint64, w *Workload, n uint32) {
	if n == 0 {
		return
	}
	first := w.nextIndex
	w.nextIndex += n
	c.dirty[w.id] = struct{}{}
	c.assignSpan(offset, w, Span{First: first, End: first + n})
}

// assignSpan distributes a range of fresh tasks over the data centres that can
// run them. The tasks stay unassigned when there is none.
func (c *Config) assignSpan(offset uint64, w *Workload, span Span) {
	names, weights := c.candidates(w)
	if len(names) == 0 {
		w.shares = append(w.shares, Share{Offset: offset, Span: span})
		c.unassigned[w.id] = struct{}{}
		return
	}
	var total uint64
	for _, weight := range weights {
		total += weight
	}
	n := uint64(span.Len())
	phase := (uint64(w.id) * hashMultiplier >> 32) % total
	var below, start uint64
	for i, name := range names {
		below += weights[i]
		end := countBelow(below, total, phase, n)
		if i == len(names)-1 {
			end = n
		}
		if end > start {
			part := Span{First: span.First + uint32(start), End: span.First + uint32(end)}
			w.shares = append(w.shares, Share{DataCentre: name, Offset: offset, Span: part})
		}
		start = max(start, end)
	}
}

// countBelow returns how many of n tasks have a position less than below, where
// task k has position (k*total+phase)/n.
func countBelow(below, total, phase, n uint64) uint64 {
	// (k*total+phase)/n < below holds for k < (below*n-phase)/total, rounded up.
	if below*n <= phase {
		return 0
	}
	return min(n, (below*n-phase+total-1)/total)
}

// candidates returns the data centres that can run tasks of a workload, sorted
// by name, with their weights.
func (c *Config) candidates(w *Workload) ([]string, []uint64) {
	var names []string
	var weights []uint64
	for _, name := range sortedKeys(c.dataCentres) {
		d := c.dataCentres[name]
		if d.outOfService || (d.summary.Workers > 0 && !w.Resources().Fits(d.summary.Largest)) {
			continue
		}
		names = append(names, name)
		weights = append(weights, d.weight(w.service != nil))
	}
	return names, weights
}

// weight returns the data centre's weight for new tasks, at least one. It is
// the same for all data centres if equal is set.
func (d *DataCentre) weight(equal bool) uint64 {
	if equal {
		return 1
	}
	free := d.summary.Capacity.Sub(d.summary.Committed).MilliCPU()
	return uint64(max(free, 0)) + uint64(d.summary.Capacity.MilliCPU())/16 + 1
}

// assignPending assigns the tasks that no data centre could run so far.
func (c *Config) assignPending(offset uint64) {
	for _, id := range sortedKeys(c.unassigned) {
		w := c.workloads[id]
		if w == nil {
			delete(c.unassigned, id)
			continue
		}
		if names, _ := c.candidates(w); len(names) == 0 {
			continue
		}
		delete(c.unassigned, id)
		c.assignPendingOf(offset, w)
	}
}

func (c *Config) assignPendingOf(offset uint64, w *Workload) {
	old := w.shares
	w.shares = nil
	for _, s := range old {
		if s.DataCentre == "" {
			c.assignSpan(offset, w, s.Span)
		} else {
			w.shares = append(w.shares, s)
		}
	}
	c.dirty[w.id] = struct{}{}
}

// applyTransfer reassigns tasks from one data centre to another. Tasks that are
// not assigned to the source, or were assigned to it after it decided on the
// transfer, stay where they are.
func (c *Config) applyTransfer(offset uint64, t briarspring.Transfer) {
	w := c.workloads[t.Workload]
	if w == nil || t.From == t.To {
		return
	}
	states := make(map[uint32]briarspring.TaskState, len(t.Tasks))
	for _, task := range t.Tasks {
		states[task.Index] = task
	}
	removed := w.removeTasks(states, func(s Share) bool { return s.DataCentre == t.From && s.Offset <= t.Granted })
	if len(removed) == 0 {
		return
	}
	w.shares = append(w.shares, Share{DataCentre: t.To, Offset: offset, Tasks: removed})
	c.dirty[w.id] = struct{}{}
}

// removeTasks removes the given tasks, by index, from the matching shares. It
// returns the states of the removed ones, sorted by index.
func (w *Workload) removeTasks(states map[uint32]briarspring.TaskState, match func(Share) bool) []briarspring.TaskState {
	indexes := sortedKeys(states)
	var kept []Share
	var removed []briarspring.TaskState
	for _, s := range w.shares {
		if !match(s) {
			kept = append(kept, s)
			continue
		}
		rest := spans{}
		rest.add(s.Span.First, s.Span.End)
		at, _ := slices.BinarySearch(indexes, s.Span.First)
		for ; at < len(indexes) && indexes[at] < s.Span.End; at++ {
			rest.remove(indexes[at])
			removed = append(removed, states[indexes[at]])
		}
		for _, span := range rest {
			kept = append(kept, Share{DataCentre: s.DataCentre, Offset: s.Offset, Span: span})
		}
		var list []briarspring.TaskState
		for _, t := range s.Tasks {
			if state, ok := states[t.Index]; ok {
				removed = append(removed, state)
			} else {
				list = append(list, t)
			}
		}
		if len(list) > 0 {
			kept = append(kept, Share{DataCentre: s.DataCentre, Offset: s.Offset, Tasks: list})
		}
	}
	w.shares = kept
	slices.SortFunc(removed, func(a, b briarspring.TaskState) int { return int(a.Index) - int(b.Index) })
	return removed
}

// sortedValues returns the values of m sorted by key.
func sortedValues[V any](m map[string]V) []V {
	values := make([]V, 0, len(m))
	for _, k := range sortedKeys(m) {
		values = append(values, m[k])
	}
	return values
}
