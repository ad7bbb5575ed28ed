package dispatcher

import (
	"container/heap"

	"briarspring"
)

// option is a worker on which a task of a step could start.
type option struct {
	worker *worker
	rank   int     // Position of the worker by ID; decides between equal costs.
	cost   float64 // Lower is better.
	share  float64 // Share of full speed at which a best-effort task could work there.
}

// optionHeap is a heap of options with the lowest cost first.
type optionHeap []option

func (h optionHeap) Len() int { return len(h) }
func (h optionHeap) Less(i, j int) bool {
	if h[i].cost != h[j].cost {
		return h[i].cost < h[j].cost
	}
	return h[i].rank < h[j].rank
}
func (h optionHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push adds an option, for the package heap.
func (h *optionHeap) Push(x any) { *h = append(*h, x.(option)) }

// Pop removes the last option, for the package heap.
func (h *optionHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// stepOptions holds the workers for the tasks of a step. Tasks of one step need
// the same, and a start changes only its own worker, so every worker is looked at
// once for a step and then only after a start there. It answers bursts of steps
// with up to 160 tasks.
type stepOptions struct {
	rate func(w *worker) (cost, share float64, ok bool)
	heap optionHeap

	decided bool // Which tasks of the step wait for its rack in this pass is decided.
}

// newStepOptions rates all workers; rate returns false for those that take no
// task.
func (d *Dispatcher) newStepOptions(rate func(w *worker) (cost, share float64, ok bool)) *stepOptions {
	o := &stepOptions{rate: rate, heap: d.optionBuffer[:0]}
	for i, w := range d.workersByID {
		if cost, share, ok := rate(w); ok {
			o.heap = append(o.heap, option{worker: w, rank: i, cost: cost, share: share})
		}
	}
	heap.Init(&o.heap)
	return o
}

// take removes the best option for a task, which is not the worker to avoid
// unless there is no other.
func (o *stepOptions) take(avoid *worker) (option, bool) {
	if len(o.heap) == 0 {
		return option{}, false
	}
	best := heap.Pop(&o.heap).(option)
	if best.worker != avoid || len(o.heap) == 0 {
		return best, true
	}
	next := heap.Pop(&o.heap).(option)
	heap.Push(&o.heap, best)
	return next, true
}

// putBack rates the worker of an option anew after a start there.
func (o *stepOptions) putBack(used option) {
	var ok bool
	if used.cost, used.share, ok = o.rate(used.worker); ok {
		heap.Push(&o.heap, used)
	}
}

// release keeps the memory of the options for the next step.
func (o *stepOptions) release(d *Dispatcher) { d.optionBuffer = o.heap[:0] }

// need is what a task needs to start.
type need struct {
	service, requirement, image string
}

// unmet holds the needs for which no worker was found in a planning pass. Room
// only shrinks during a pass, so a step that needs as much or more waits without
// another look at every worker. It answers backlogs of hundreds of waiting
// steps.
type unmet map[need][]briarspring.Resources

// covers reports whether a step needs at least as much as one that found no
// worker.
func (u unmet) covers(s *step) bool {
	for _, r := range u[needOf(s)] {
		if r.Fits(s.spec().Resources) {
			return true
		}
	}
	return false
}

// add records that a step found no worker. A step with a limit per worker may
// have found none because of its own tasks, which says nothing about others.
func (u unmet) add(s *step) {
	if s.spec().MaxPerWorker == 0 && !u.covers(s) {
		u[needOf(s)] = append(u[needOf(s)], s.spec().Resources)
	}
}

func needOf(s *step) need {
	return need{service: s.job.workflow.Service, requirement: s.spec().Requirement, image: s.spec().Image}
}
