package dispatcher

import (
	"cmp"
	"math"
	"slices"
	"time"

	"briarspring"
)

const (
	// shortRunTime is the longest expected run time of urgent tasks. Longer ones
	// would keep a long-running task away for longer than the time that it works
	// between two stops.
	shortRunTime = 10 * time.Second
	// minWorkTime is how long a long-running task has to be at work before it
	// may be stopped again for urgent work; stated in the specification.
	minWorkTime = 10 * time.Second
	// awayShare is the inverse of the largest share of the long-running tasks
	// that are away for urgent work; stated in the specification.
	awayShare = 10
	// roomInterval is the shortest time between two decisions.
	roomInterval = 50 * time.Millisecond
	// maxRoomSteps limits the steps that a decision considers, the most urgent
	// ones first; with 350 workers each costs about 35 microseconds.
	maxRoomSteps = 64
	// stopPatience is how long the room of a run that is being stopped counts as
	// coming; above the longest stated stop time of 0.9 s.
	stopPatience = 1200 * time.Millisecond
	// soonest is the least expected time until room becomes free, which covers
	// the worker's list and a planning pass.
	soonest = 100 * time.Millisecond
	// overdueShare is the share of its expected run time that a run is expected
	// to take on from that time until copyFactor times it.
	overdueShare = 0.25
	// transferTime is how long a step of a workflow without runs waits for its
	// transfer to a data centre with room before tasks are stopped for it. Without
	// a transfer in the last movingTime there is no such wait: it made 4 to 7 of
	// 67 workflows late on a full fleet.
	transferTime = reservedWait + roomInterval
	movingTime   = 10 * time.Second
	// keepTime is how long no long-running task starts on a worker after a stop
	// for urgent work there: the stop and the starts of tasks that wait.
	keepTime = 2 * time.Second
	// quietTime is how long no urgent task must have waited for room until
	// long-running tasks start again without delay.
	quietTime = 2 * time.Second
	// restartDelay and firstDelay bound that delay for tasks that have run and
	// for those that have not. They have to start within 3 s of there being room
	// twice over, the former from 6 s after their last run; the delay may begin
	// anew with a new owner.
	restartDelay = 4 * time.Second
	firstDelay   = 2 * time.Second
	// shortageTime is how long after urgent tasks have waited for room
	// long-running tasks prefer workers where they leave room.
	shortageTime = 10 * time.Second
	// lastRoomCost is the cost of a long-running task that leaves no room for an
	// urgent one, in millicores; above the cost of five tasks of other images.
	lastRoomCost = 2e4
)

// shortage is what is known of urgent tasks that wait for room.
type shortage struct {
	decided   bool          // The times are set.
	decidedAt time.Duration // When the last decision was made.
	waitedAt  time.Duration // When an urgent task last waited for room.
	need      briarspring.Resources
	moved     bool          // A workflow that isn't long-running has moved to another data centre,
	movedAt   time.Duration // last at this time.
}

// moving reports whether another data centre had room recently.
func (s *shortage) moving(now time.Duration) bool { return s.moved && now-s.movedAt < movingTime }

// within reports whether an urgent task has waited for room within a time.
func (s *shortage) within(now, limit time.Duration) bool {
	return !s.need.IsZero() && now-s.waitedAt < limit
}

// urgent reports whether long-running tasks may be stopped for tasks of a step.
func (d *Dispatcher) urgent(s *step) bool {
	spec := s.spec()
	return !spec.LongRunning && !spec.BestEffort && !spec.Gang && d.expectedRunTime(s) <= shortRunTime
}

// usefulTime returns the time until the step must start for its workflow to
// have any value.
func (c candidate) usefulTime() time.Duration {
	return c.slack + (lateLimit-1)*c.step.job.objective
}

// orderUrgent moves urgent steps with value ahead of long-running ones of their
// priority, if both wait. It returns the rank by which the candidates of a priority are
// in order.
func (d *Dispatcher) orderUrgent(reserved []candidate) (rank func(candidate) int) {
	if d.config.KeepLongRunning || !slices.ContainsFunc(reserved, func(c candidate) bool { return c.step.spec().LongRunning }) {
		return late
	}
	slices.SortStableFunc(reserved, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.step.job.workflow.Priority, b.step.job.workflow.Priority), cmp.Compare(d.urgencyRank(a), d.urgencyRank(b)))
	})
	return d.urgencyRank
}

// urgencyRank orders the candidates of a priority: urgent ones that can be in time,
// those that are late and still have value, and all others.
func (d *Dispatcher) urgencyRank(c candidate) int {
	switch {
	case !d.urgent(c.step) || c.usefulTime() < 0:
		return 2
	case c.slack < 0:
		return 1
	}
	return 0
}

// heldBack reports whether a long-running task waits although there may be room,
// so that it isn't stopped again by the next urgent step. One that came from another
// data centre has waited there: tasks that were held back anew in each data centre were
// transferred to and fro for 20 s.
func (d *Dispatcher) heldBack(t *task) bool {
	if !t.step.spec().LongRunning || t.transfers > 0 || !d.shortage.within(d.now, quietTime) {
		return false
	}
	if t.lastRun > 0 {
		return d.now-t.readySince < restartDelay
	}
	return d.now-t.readySince < firstDelay
}

// lastRoom returns the cost of a long-running task on a worker on which it
// would leave no room for an urgent one.
func (d *Dispatcher) lastRoom(spec *briarspring.Step, w *worker) float64 {
	if !d.shortage.within(d.now, shortageTime) {
		return 0
	}
	free := w.free()
	if d.shortage.need.Fits(free) && !d.shortage.need.Fits(free.Sub(spec.Resources)) {
		return lastRoomCost
	}
	return 0
}

// makeRoom stops long-running tasks for urgent steps that are left without a
// worker at the end of a planning pass.
func (d *Dispatcher) makeRoom(reserved []candidate) {
	if d.config.KeepLongRunning || d.startsLeft <= 0 || d.shortage.decided && d.now-d.shortage.decidedAt < roomInterval {
		return
	}
	var waiting []candidate
	var tasks []int // That may start, by step.
	planned := map[*organisation]briarspring.Resources{}
	for _, c := range reserved {
		if len(waiting) >= maxRoomSteps || c.step.waiting == 0 || !d.urgent(c.step) {
			continue
		}
		o := c.step.job.organisation
		if n := d.quotaTasks(c.step, planned[o], d.startable(c.step)); n > 0 {
			planned[o] = planned[o].Add(c.step.spec().Resources.Times(int64(n)))
			waiting, tasks = append(waiting, c), append(tasks, n)
		}
	}
	if len(waiting) == 0 {
		return
	}
	d.shortage.decided, d.shortage.decidedAt = true, d.now
	p := d.newRoomPass(waiting, tasks)
	if p.total == 0 {
		return
	}
	decision := decideRoom(&p.view)
	noted := false
	for i, o := range decision.outcomes {
		if o != roomTooLate && !noted {
			noted = true
			d.shortage.waitedAt, d.shortage.need = d.now, p.view.steps[i].need
		}
		d.logRoom(waiting[i], o)
	}
	for _, s := range decision.stops {
		d.stopForUrgent(p.runs[s.worker][s.candidate], waiting[s.step])
	}
}

// startable returns how many tasks of a step wait for nothing but room, and have not
// passed up any.
func (d *Dispatcher) startable(s *step) int {
	n := 0
	for _, t := range s.tasks {
		if d.mayStart(t) && t.suspicion == 0 && !d.passedUp(t) {
			n++
		}
	}
	return n
}

// stopForUrgent stops a long-running run to make room for an urgent step.
func (d *Dispatcher) stopForUrgent(r *run, c candidate) {
	w := r.worker
	d.logger.Info("long-running task makes room", "workflow", r.ref.Task.Workflow, "step", r.ref.Task.Step, "index", r.ref.Task.Index,
		"run", r.ref.Run, "worker", w.id, "at-work-ms", (d.now - r.progressAt).Milliseconds(), "size", r.task.step.spec().Resources.String(),
		"free", w.free().String(), "for", c.step.job.workflow.ID, "for-step", c.step.number, "for-size", c.step.spec().Resources.String(),
		"slack-ms", c.slack.Milliseconds())
	d.counters.UrgentStops++
	r.task.away = true
	w.keptUntil = d.now + keepTime
	d.stop(r, "makes room for urgent work")
}

// logRoom logs why an urgent step waits for room, each reason once for a step.
func (d *Dispatcher) logRoom(c candidate, o roomOutcome) {
	s := c.step
	if s.roomLogged == 0 {
		d.counters.UrgentWaits++
	}
	if s.roomLogged&(1<<o) != 0 {
		return
	}
	s.roomLogged |= 1 << o
	d.logger.Info("urgent step waits for room", "workflow", s.job.workflow.ID, "step", s.number, "tasks", s.waiting,
		"size", s.spec().Resources.String(), "slack-ms", c.slack.Milliseconds(), "why", o.String())
}

// roomPass is a view of the dispatcher's state for one decision.
type roomPass struct {
	view    roomView
	workers []*worker
	runs    [][]*run      // The candidates' runs, by worker.
	groups  map[*step]int // Index of the allowance of a long-running step.
	missing []int         // Tasks that are not at work, by group.
	total   int           // Long-running tasks of the data centre.
}

// newRoomPass returns the view for a decision about urgent steps that wait, each with a
// number of tasks.
func (d *Dispatcher) newRoomPass(waiting []candidate, tasks []int) *roomPass {
	p := &roomPass{groups: map[*step]int{}}
	away := d.addGroups(p)
	p.view.budget = max(0, p.total/awayShare-away)
	for _, w := range d.workersByID {
		if w.acceptsStarts(d.now) {
			d.addWorker(p, w)
		}
	}
	for i, c := range waiting {
		s := c.step
		p.view.steps = append(p.view.steps, roomStep{
			need: s.spec().Resources, tasks: tasks[i], priority: s.job.workflow.Priority, slack: c.slack, useful: c.usefulTime(),
			movable: d.shortage.moving(d.now) && s.job.live == 0 && d.now-s.readySince() < transferTime && c.slack > stopTime+2*roomInterval,
			limit:   func(i int) int { return d.mostOn(s, p.workers[i]) },
		})
	}
	return p
}

// addGroups adds the long-running steps of the data centre, and returns how many
// tasks are away for urgent work.
func (d *Dispatcher) addGroups(p *roomPass) (away int) {
	for _, j := range d.jobs {
		if j.inactive() {
			continue
		}
		for _, s := range j.steps {
			if !s.spec().LongRunning {
				continue
			}
			missing := 0
			for _, t := range s.tasks {
				atWork := slices.ContainsFunc(t.runs, d.atWork)
				t.away = t.away && t.local && !t.done && !atWork
				if !t.local || t.done {
					continue
				}
				p.total++
				if !atWork {
					missing++
				}
				if t.away {
					away++
				}
			}
			allowance := unboundedMissing
			if most := s.spec().MaxMissing; most > 0 {
				allowance = max(0, most-missing)
			}
			p.groups[s] = len(p.view.allowances)
			p.view.allowances = append(p.view.allowances, allowance)
			p.missing = append(p.missing, missing)
		}
	}
	return away
}

// atWork reports whether a long-running run is known to be at work. One on a worker
// that is silent or has left the list may be lost.
func (d *Dispatcher) atWork(r *run) bool {
	return r.working() && r.worker.listed && d.now-r.worker.answeredAt < silenceLimit
}

// mostOn returns how many tasks of a step a worker may take, regardless of its
// room.
func (d *Dispatcher) mostOn(s *step, w *worker) int {
	if !d.eligible(s, w) {
		return 0
	}
	if most := s.spec().MaxPerWorker; most > 0 {
		return most - s.spread[w]
	}
	return math.MaxInt32
}

// addWorker adds a worker that accepts starts to the view.
func (d *Dispatcher) addWorker(p *roomPass, w *worker) {
	view := roomWorker{free: w.free()}
	var runs []*run
	unresponsive := false // It does not carry out a stop.
	for _, r := range w.runs {
		spec := r.task.step.spec()
		switch {
		case spec.BestEffort:
			// Its memory is freed when a task needs it, see preemptFor.
			view.free = view.free.Add(reservation(spec))
		case r.stopping:
			age := d.now - r.stoppedAt
			unresponsive = unresponsive || age >= stopPatience
			if age < stopPatience {
				view.coming = append(view.coming, comingRoom{in: max(soonest, stopTime-age), amount: spec.Resources})
			}
		case spec.LongRunning:
			if d.mayMakeRoom(r) {
				runs = append(runs, r)
			}
		default:
			if in, ok := d.expectedEnd(r); ok {
				view.coming = append(view.coming, comingRoom{in: in, amount: spec.Resources})
			}
		}
	}
	if unresponsive {
		runs = nil
	}
	slices.SortFunc(runs, func(a, b *run) int {
		return cmp.Or(
			cmp.Compare(a.task.step.spec().Resources.MilliCPU(), b.task.step.spec().Resources.MilliCPU()),
			cmp.Compare(p.missing[p.groups[a.task.step]], p.missing[p.groups[b.task.step]]),
			cmp.Compare(a.progressAt, b.progressAt),
			cmp.Compare(a.ref.Task.Workflow, b.ref.Task.Workflow),
			cmp.Compare(a.ref.Task.Step, b.ref.Task.Step),
			cmp.Compare(a.ref.Task.Index, b.ref.Task.Index),
		)
	})
	for _, r := range runs {
		view.candidates = append(view.candidates, roomCandidate{
			amount: r.task.step.spec().Resources, priority: r.task.step.job.workflow.Priority, group: p.groups[r.task.step],
		})
	}
	p.view.workers = append(p.view.workers, view)
	p.workers = append(p.workers, w)
	p.runs = append(p.runs, runs)
}

// mayMakeRoom reports whether a long-running run on a worker that accepts starts
// may be stopped for urgent work, apart from the limits on tasks that are away. One of an
// organisation that uses more than its share could not start again.
func (d *Dispatcher) mayMakeRoom(r *run) bool {
	s := r.task.step
	if s.spec().Gang || s.job.inactive() || !r.working() || len(r.task.runs) != 1 || r.worker.failureStreak >= quarantineFailures ||
		!d.mayAct(s) || !d.withinShare(s.job.organisation) {
		return false
	}
	if r.ref.Run == 1 && r.origin != originOrdered {
		// The task has never been stopped, and has worked under an earlier owner.
		return true
	}
	return d.now-r.progressAt >= minWorkTime
}

// expectedEnd returns the time until a run is expected to end, or false if it
// takes so much longer than expected that nothing is known.
func (d *Dispatcher) expectedEnd(r *run) (time.Duration, bool) {
	expected := time.Duration(float64(d.expectedRunTime(r.task.step)) * d.farTimes(r))
	age := d.now - r.since
	if expected <= 0 || age > time.Duration(copyFactor*float64(expected)) {
		return 0, false
	}
	return max(expected-age, time.Duration(overdueShare*float64(expected))) + soonest, true
}

// markAway marks the long-running tasks of a service that are not at work at the
// end of a takeover: the earlier owner may have stopped them for urgent work.
func (d *Dispatcher) markAway(service string) {
	for _, j := range d.jobs {
		if j.workflow.Service != service {
			continue
		}
		for _, t := range j.tasks {
			if t.step.spec().LongRunning && t.local && t.offset < d.config.Token && t.lastRun > 0 {
				t.away = !slices.ContainsFunc(t.runs, (*run).working)
			}
		}
	}
}
