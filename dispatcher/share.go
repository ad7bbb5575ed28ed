package dispatcher

import (
	"cmp"
	"container/heap"
	"slices"

	"briarspring"
)

const (
	// leastTurn is how many tasks of one organisation start at least before it is
	// another's turn. Each turn looks at every worker anew, and turns of single tasks
	// would make a start several times as expensive. Where there is much room, turns are
	// longer: an equal part of it.
	leastTurn = 8
	// amplePart is the part of the free room up to which the needs of all waiting steps
	// count as fitting, whatever the order: not all room is where a task can use it.
	amplePart = 0.5
)

// useClass is a kind of work for which shares are compared. Long-running tasks are apart
// from others: they hold their room for as long as the service exists, so an organisation
// with services would otherwise get no room for anything else while others wait.
type useClass struct {
	priority    int
	longRunning bool
}

// classUse is what an organisation uses for a kind of work.
type classUse struct {
	class useClass
	used  briarspring.Resources
}

func classOf(s *step) useClass {
	return useClass{priority: s.job.workflow.Priority, longRunning: s.spec().LongRunning}
}

// countUse adds an amount to the use for a kind of work.
func (o *organisation) countUse(c useClass, amount briarspring.Resources) {
	for i := range o.uses {
		if u := &o.uses[i]; u.class == c {
			u.used = u.used.Add(amount)
			if u.used.IsZero() {
				o.uses = slices.Delete(o.uses, i, i+1)
			}
			return
		}
	}
	o.uses = append(o.uses, classUse{class: c, used: amount})
}

func (o *organisation) usedFor(c useClass) briarspring.Resources {
	for _, u := range o.uses {
		if u.class == c {
			return u.used
		}
	}
	return briarspring.Resources{}
}

// assignInOrder starts the waiting tasks of sorted candidates. Where there isn't room for
// all, organisations share it within each priority, apart for work of different urgency:
// late work of one must not delay what others still have in time, and urgent work of all
// comes before long-running work. The candidates of each priority must be in the order of
// rank: where ranks alternate, shares would hold among neighbours alone.
func (d *Dispatcher) assignInOrder(list []candidate, rank func(candidate) int) {
	for len(list) > 0 {
		n := 1
		several := false
		first := rank(list[0])
		for n < len(list) && list[n].step.job.workflow.Priority == list[0].step.job.workflow.Priority && rank(list[n]) == first {
			several = several || list[n].step.job.organisation != list[0].step.job.organisation
			n++
		}
		d.assignPriority(list[:n], several)
		list = list[n:]
	}
}

// assignPriority starts the waiting tasks of the candidates of one priority; several says
// whether they are of more than one organisation.
func (d *Dispatcher) assignPriority(list []candidate, several bool) {
	var room briarspring.Resources
	if several {
		room = d.room(list[0].step.spec().BestEffort)
	}
	if !several || d.fitsAmply(list, room) {
		for _, c := range list {
			d.assignStep(c.step)
		}
		return
	}
	// Sorted stably, so that each class keeps its order.
	slices.SortStableFunc(list, func(a, b candidate) int {
		return cmp.Compare(beyondWeight(a), beyondWeight(b))
	})
	n := 0
	for n < len(list) && beyondWeight(list[n]) == 0 {
		n++
	}
	capacity := d.capacity()
	d.assignFairly(list[:n], room, capacity)
	// Little of the room is left after the others.
	d.assignFairly(list[n:], briarspring.Resources{}, capacity)
}

// beyondWeight returns 1 for work that its organisation submitted beyond its weight.
func beyondWeight(c candidate) int {
	if c.step.job.beyondWeight {
		return 1
	}
	return 0
}

// fitsAmply reports whether there is so much room for the waiting tasks of candidates that
// their order doesn't matter.
func (d *Dispatcher) fitsAmply(list []candidate, room briarspring.Resources) bool {
	var need briarspring.Resources
	tasks := 0
	for _, c := range list {
		need = need.Add(c.step.spec().Resources.Times(int64(c.step.waiting)))
		tasks += c.step.waiting
	}
	return tasks <= d.startsLeft && within(need, room, amplePart)
}

// room returns the free room of all workers that take starts.
func (d *Dispatcher) room(bestEffort bool) briarspring.Resources {
	var sum briarspring.Resources
	for _, w := range d.workersByID {
		if !w.acceptsStarts(d.now) {
			continue
		}
		free := w.free().Max(briarspring.Resources{})
		if bestEffort {
			free = briarspring.NewResources(briarspring.ResourcesConfig{
				MilliCPU: max(0, int64(w.idle())), MemoryMiB: free.MemoryMiB(), Accelerators: free.Accelerators(),
			})
		}
		sum = sum.Add(free)
	}
	return sum
}

// capacity returns the capacity of all listed workers.
func (d *Dispatcher) capacity() briarspring.Resources {
	var sum briarspring.Resources
	for _, w := range d.workersByID {
		if w.listed {
			sum = sum.Add(w.entry.Capacity)
		}
	}
	return sum
}

// assignFairly starts the waiting tasks of sorted candidates, in turn those of the
// organisation that uses least by its weight. The room determines how long a turn is.
func (d *Dispatcher) assignFairly(list []candidate, room, capacity briarspring.Resources) {
	claims := claimHeap(d.claimBuffer[:0])
	weights := 0.0
	for rank, c := range list {
		o := c.step.job.organisation
		if len(o.queue) == 0 {
			claims = append(claims, claim{organisation: o})
			weights += o.weight
		}
		o.queue = append(o.queue, rankedStep{step: c.step, rank: rank})
	}
	d.claimBuffer = claims
	for i := range claims {
		claims[i].update(capacity)
	}
	heap.Init(&claims)
	part := equalPart(room, capacity, weights)
	for len(claims) > 0 {
		c := &claims[0]
		o := c.organisation
		s := o.queue[c.first].step
		if !d.assignTurn(s, turn(c.share, claims.next(), part, dominantShare(s.spec().Resources, capacity, o.weight), leastTurn)) {
			c.first++
		}
		if c.first == len(o.queue) {
			clear(o.queue) // Keeps no finished job in memory.
			o.queue = o.queue[:0]
			last := len(claims) - 1
			claims[0], claims = claims[last], claims[:last] // Without the allocation of heap.Pop.
		} else {
			c.update(capacity)
		}
		if len(claims) > 1 {
			heap.Fix(&claims, 0)
		}
	}
}

// rankedStep is a step with its place in the order without organisations.
type rankedStep struct {
	step *step
	rank int
}

// update computes the claim of an organisation's first waiting step.
func (c *claim) update(capacity briarspring.Resources) {
	first := c.organisation.queue[c.first]
	c.rank = first.rank
	c.share = dominantShare(c.organisation.usedFor(classOf(first.step)), capacity, c.organisation.weight)
}

// assignTurn starts at most so many waiting tasks of a step, or all of a gang, and reports
// whether more of them could start at the next turn.
func (d *Dispatcher) assignTurn(s *step, most int) bool {
	left := d.startsLeft
	d.startsLeft = min(left, most)
	given := d.startsLeft
	d.assignStep(s)
	started := given - d.startsLeft
	d.startsLeft = left - started
	return started >= most && s.waiting > 0 && d.startsLeft > 0
}
