package dispatcher

import (
	"cmp"
	"math"
	"time"

	"briarspring"
)

const (
	// stopTime is the expected time from the stop of a long-running task to the
	// start of another task in its room. The platform states 200 to 400 ms for
	// the stop; the rest covers the orders and the worker's list.
	stopTime = 500 * time.Millisecond
	// maxStopsPerTask limits the tasks that are stopped for one urgent task.
	// The largest urgent tasks declare 11 cores, long-running ones 6.4 on
	// average.
	maxStopsPerTask = 3
	// unboundedMissing is the allowance of a step without MaxMissing.
	unboundedMissing = math.MaxInt
)

// roomView is what the decision to stop long-running tasks for urgent ones
// needs to know. Times are relative to the decision.
type roomView struct {
	workers    []roomWorker
	steps      []roomStep // Most urgent first.
	allowances []int      // By group: how many of its tasks may still be stopped.
	budget     int        // How many tasks of the data centre may still be stopped.
}

// roomWorker is a worker in a roomView.
type roomWorker struct {
	free       briarspring.Resources
	coming     []comingRoom
	candidates []roomCandidate // Those to be stopped first come first.
}

// comingRoom is room that is expected to become free.
type comingRoom struct {
	in     time.Duration
	amount briarspring.Resources
}

// roomCandidate is a long-running task that may be stopped, as far as its worker
// and its own run are concerned.
type roomCandidate struct {
	amount   briarspring.Resources
	priority int // Of its workflow.
	group    int // Its step, as an index of the allowances.
}

// roomStep is an urgent step with tasks that wait for room.
type roomStep struct {
	need     briarspring.Resources // Of one task.
	tasks    int
	priority int
	slack    time.Duration        // Time until all tasks must start for the workflow to be in time.
	useful   time.Duration        // Time until they must start for it to have any value.
	movable  bool                 // It may still move to another data centre, so nothing is stopped for it yet.
	limit    func(worker int) int // How many tasks a worker may take, regardless of its room.
}

// roomOutcome says what is done for an urgent step.
type roomOutcome uint8

const (
	roomExpected  roomOutcome = iota // Enough room is expected to become free in time.
	roomMade                         // Tasks are stopped, so that there is enough.
	roomBudget                       // More tasks would have to be stopped than may be.
	roomProtected                    // No other task may be stopped.
	roomElsewhere                    // The workflow may still move to another data centre with room.
	roomTooLate                      // Finishing would have no value any more.
	roomOutcomes                     // Number of outcomes.
)

// String returns the outcome for logs.
func (o roomOutcome) String() string {
	return [...]string{
		"room is expected in time", "room is being made", "the most long-running tasks are away",
		"no other long-running task may be stopped", "another data centre may have room", "it would finish too late", "invalid",
	}[min(o, roomOutcomes)]
}

// roomStop is a decision to stop a candidate for a step.
type roomStop struct {
	worker, candidate, step int
}

// roomDecision is the result of decideRoom. Outcomes are by step.
type roomDecision struct {
	stops    []roomStop
	outcomes []roomOutcome
}

// decideRoom decides which long-running tasks are stopped for urgent ones. It
// uses up the allowances, the budget and the room of the view.
func decideRoom(v *roomView) roomDecision {
	n := len(v.workers)
	r := roomDecider{view: v, stopped: map[[2]int]bool{}, limits: make([]int, n), taken: make([]int, n), plans: make([]stopPlan, n)}
	for i := range v.steps {
		r.outcomes = append(r.outcomes, r.decideStep(i))
	}
	return r.roomDecision
}

// roomDecider holds the state of one decision.
type roomDecider struct {
	roomDecision
	view    *roomView
	stopped map[[2]int]bool // By worker and candidate.
	limits  []int           // Tasks of the present step that each worker may take, regardless of room.
	taken   []int           // Tasks of the present step that got room, by worker.
	plans   []stopPlan      // Best plans for the present step, by worker.
}

// decideStep decides for one step. If stops can bring the whole step in time,
// they do; otherwise room has to come while finishing has any value.
func (r *roomDecider) decideStep(i int) roomOutcome {
	s := &r.view.steps[i]
	if s.useful < stopTime {
		return roomTooLate
	}
	for w := range r.limits {
		r.limits[w] = s.limit(w)
	}
	if s.slack >= stopTime {
		if o := r.findRoom(i, s.slack); o == roomExpected || o == roomMade {
			return o
		}
		if s.movable {
			return roomElsewhere
		}
		r.undo(i)
	}
	return r.findRoom(i, s.useful)
}

// findRoom claims room for the tasks of a step that is there by a time, and has
// tasks stopped for the others.
func (r *roomDecider) findRoom(i int, by time.Duration) roomOutcome {
	s := &r.view.steps[i]
	clear(r.taken)
	left := s.tasks
	for w := range r.view.workers {
		n := min(left, r.fit(s, w, by, briarspring.Resources{}))
		r.claim(s, w, n)
		if left -= n; left == 0 {
			return roomExpected
		}
	}
	if s.movable {
		return roomElsewhere
	}
	plans := r.plans
	for w := range plans {
		plans[w] = r.plan(s, w, by)
	}
	for left > 0 {
		best := -1
		for w := range plans {
			if plans[w].gain > 0 && (best < 0 || plans[w].compare(plans[best], left) < 0) {
				best = w
			}
		}
		if best < 0 {
			if r.view.budget <= 0 {
				return roomBudget
			}
			return roomProtected
		}
		// Stops on other workers may have used up allowances or the budget.
		if !r.allowed(best, plans[best].candidates) {
			plans[best] = r.plan(s, best, by)
			continue
		}
		for _, c := range plans[best].candidates {
			r.stop(roomStop{worker: best, candidate: c, step: i})
		}
		n := min(left, plans[best].gain)
		r.claim(s, best, n)
		left -= n
		plans[best] = r.plan(s, best, by)
	}
	return roomMade
}

// fit returns how many more tasks of a step fit on a worker at a time, with more
// room.
func (r *roomDecider) fit(s *roomStep, w int, by time.Duration, more briarspring.Resources) int {
	worker := &r.view.workers[w]
	most := r.limits[w] - r.taken[w]
	if most <= 0 {
		return 0
	}
	room := worker.free.Add(more)
	for _, c := range worker.coming {
		if c.in <= by {
			room = room.Add(c.amount)
		}
	}
	return min(most, times(room, s.need))
}

// times returns how often an amount is contained in room.
func times(room, amount briarspring.Resources) int {
	n := int64(math.MaxInt32)
	for _, pair := range [...][2]int64{
		{room.MilliCPU(), amount.MilliCPU()}, {room.MemoryMiB(), amount.MemoryMiB()}, {room.Accelerators(), amount.Accelerators()},
	} {
		if pair[1] > 0 {
			n = min(n, max(0, pair[0])/pair[1])
		}
	}
	return int(n)
}

// claim sets room aside for tasks of a step.
func (r *roomDecider) claim(s *roomStep, w, n int) {
	r.taken[w] += n
	r.view.workers[w].free = r.view.workers[w].free.Sub(s.need.Times(int64(n)))
}

func (r *roomDecider) stop(s roomStop) {
	c := r.candidate(s)
	if r.view.allowances[c.group] != unboundedMissing {
		r.view.allowances[c.group]--
	}
	r.view.budget--
	r.view.workers[s.worker].free = r.view.workers[s.worker].free.Add(c.amount)
	r.stopped[[2]int{s.worker, s.candidate}] = true
	r.stops = append(r.stops, s)
}

func (r *roomDecider) candidate(s roomStop) *roomCandidate {
	return &r.view.workers[s.worker].candidates[s.candidate]
}

// undo takes back the stops and claims of the present step.
func (r *roomDecider) undo(step int) {
	for w, n := range r.taken {
		r.claim(&r.view.steps[step], w, -n)
	}
	for len(r.stops) > 0 && r.stops[len(r.stops)-1].step == step {
		s := r.stops[len(r.stops)-1]
		c := r.candidate(s)
		if r.view.allowances[c.group] != unboundedMissing {
			r.view.allowances[c.group]++
		}
		r.view.budget++
		r.view.workers[s.worker].free = r.view.workers[s.worker].free.Sub(c.amount)
		delete(r.stopped, [2]int{s.worker, s.candidate})
		r.stops = r.stops[:len(r.stops)-1]
	}
}

// allowed reports whether all of a worker's candidates may be stopped.
func (r *roomDecider) allowed(w int, candidates []int) bool {
	if len(candidates) > r.view.budget {
		return false
	}
	for i, c := range candidates {
		group := r.view.workers[w].candidates[c].group
		before := 0
		for _, o := range candidates[:i] {
			if r.view.workers[w].candidates[o].group == group {
				before++
			}
		}
		if r.view.allowances[group] <= before {
			return false
		}
	}
	return true
}

// stopPlan is a set of tasks of one worker that could be stopped.
type stopPlan struct {
	candidates []int
	gain       int // Urgent tasks that fit in addition.
	cpu        int64
}

// compare returns a negative number if the plan is better than another one while
// tasks are left: it makes room for more of them for each stop; with fewer
// stops; with more room for steps that follow; and with smaller tasks.
func (p stopPlan) compare(o stopPlan, left int) int {
	return cmp.Or(
		cmp.Compare(min(o.gain, left)*len(p.candidates), min(p.gain, left)*len(o.candidates)),
		cmp.Compare(len(p.candidates), len(o.candidates)),
		cmp.Compare(o.gain, p.gain),
		cmp.Compare(p.cpu, o.cpu),
	)
}

// plan returns the best plan for a worker: a single task, or the largest ones if
// none alone makes enough room.
func (r *roomDecider) plan(s *roomStep, w int, by time.Duration) stopPlan {
	worker := &r.view.workers[w]
	var best stopPlan
	if len(worker.candidates) == 0 || r.view.budget <= 0 || r.limits[w] <= r.taken[w] {
		return best
	}
	before := r.fit(s, w, by, briarspring.Resources{})
	consider := func(candidates ...int) {
		if !r.allowed(w, candidates) {
			return
		}
		var sum briarspring.Resources
		for _, c := range candidates {
			sum = sum.Add(worker.candidates[c].amount)
		}
		p := stopPlan{candidates: candidates, gain: r.fit(s, w, by, sum) - before, cpu: sum.MilliCPU()}
		if p.gain > 0 && (best.gain == 0 || p.compare(best, math.MaxInt32) < 0) {
			best = p
		}
	}
	for c := range worker.candidates {
		if r.stoppable(s, w, c) {
			consider(c)
		}
	}
	if best.gain > 0 {
		return best
	}
	var largest []int
	for len(largest) < maxStopsPerTask && best.gain == 0 {
		next := r.nextLargest(s, w, largest)
		if next < 0 {
			break
		}
		largest = append(largest, next)
		consider(append([]int(nil), largest...)...)
	}
	return best
}

// stoppable reports whether a candidate may be stopped for a step, apart from
// allowances.
func (r *roomDecider) stoppable(s *roomStep, w, c int) bool {
	return r.view.workers[w].candidates[c].priority >= s.priority && !r.stopped[[2]int{w, c}]
}

// nextLargest returns the largest candidate of a worker that may be stopped in
// addition to others, or -1 if there is none.
func (r *roomDecider) nextLargest(s *roomStep, w int, others []int) int {
	best := -1
	candidates := r.view.workers[w].candidates
next:
	for c := range candidates {
		for _, o := range others {
			if o == c {
				continue next
			}
		}
		if !r.stoppable(s, w, c) || !r.allowed(w, append(others[:len(others):len(others)], c)) {
			continue
		}
		if best < 0 || candidates[c].amount.MilliCPU() > candidates[best].amount.MilliCPU() {
			best = c
		}
	}
	return best
}
