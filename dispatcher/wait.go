package dispatcher

import (
	"container/heap"
	"slices"
	"time"

	"briarspring"
)

const (
	// heldTime is how long a task counts as waiting for a place after the pass that
	// decided it; passes follow at least every planInterval.
	heldTime = 2 * planInterval
	// inheritedTime is the age of an ownership up to which tasks may have become
	// ready under an earlier owner.
	inheritedTime = time.Second
	// wantedCost keeps other tasks from racks for which tasks wait; above the cost
	// of any free capacity, and below that of a task away from its rack.
	wantedCost = 5e4
	// wantedGain is the same for best-effort tasks, as a share of a worker's
	// processors.
	wantedGain = 0.5
	// wantedTime is how long a rack stays one for which tasks wait.
	wantedTime = 2 * planInterval
)

// placeWaiting is a task's wait for a good place, or that of a gang's first task.
type placeWaiting struct {
	since    time.Duration // When a start elsewhere was first passed up.
	heldAt   time.Duration // When a pass last decided that it waits.
	heldIn   uint64        // Number of that pass.
	began    bool          // It has waited.
	expected time.Duration // Expected wait when it began.
}

// placeHeld reports whether the present pass has decided that a task waits for a place.
func (d *Dispatcher) placeHeld(t *task) bool {
	return t.place != nil && t.place.heldIn == d.places.pass
}

// passedUp reports whether a task waits for a good place, or has done so and would still
// run if it had started elsewhere instead. No long-running task is stopped for it: it had
// room.
func (d *Dispatcher) passedUp(t *task) bool {
	if t.place == nil || !t.place.began {
		return false
	}
	s := t.step
	return d.placeHeld(t) || d.now < t.place.since+time.Duration(*d.farFactor.of(s)*float64(d.expectedRunTime(s)))
}

// places holds what is known of waits for good places.
type places struct {
	pass   uint64                   // Number of the present pass.
	racks  map[string]*rackRoom     // For the present pass.
	wanted map[string]time.Duration // When tasks last waited for a rack.
	held   map[string][]*task       // Tasks that wait for a rack, by the last pass that decided on any.
	audit  endAudit
	decide func(*placeView) placeDecision
}

// rackRoom is what the present pass knows of the room of a rack.
type rackRoom struct {
	workers []*worker
	claims  map[*worker]*[]placeClaim
	rooms   map[bool][]placeWorker // By whether the task is best effort; without limits.
}

func newPlaces() places {
	return places{racks: map[string]*rackRoom{}, wanted: map[string]time.Duration{}, held: map[string][]*task{}, decide: decidePlace}
}

// resetPlaces drops what the last pass knew.
func (d *Dispatcher) resetPlaces() {
	if !d.farFactor.enabled() {
		return
	}
	d.places.pass++
	clear(d.places.racks)
	for rack, at := range d.places.wanted {
		if d.now-at > wantedTime {
			delete(d.places.wanted, rack)
			delete(d.places.held, rack)
		}
	}
}

// waitsForPlace reports whether the task could start, and waits for a good place.
func (t *task) waitsForPlace(now time.Duration) bool {
	return t.place != nil && now-t.place.heldAt <= heldTime
}

// wants reports whether tasks of another step wait for the rack of a worker.
func (d *Dispatcher) wants(spec *briarspring.Step, w *worker) bool {
	if spec.Rack == w.entry.Rack {
		return false
	}
	_, ok := d.places.wanted[w.entry.Rack]
	return ok
}

// holdForPlace reports whether a task waits for its rack rather than start with the
// best option, which has been taken from the others. If so, the option is put back.
func (d *Dispatcher) holdForPlace(t *task, o option, options *stepOptions) bool {
	spec := t.step.spec()
	if spec.Rack == "" || o.worker.entry.Rack == spec.Rack {
		return false
	}
	for _, other := range options.heap {
		if other.worker.entry.Rack == spec.Rack {
			return false // It is passed up for another reason than room.
		}
	}
	if !options.decided {
		options.decided = true
		d.decideStepPlaces(t.step, o, options)
	}
	if !d.placeHeld(t) {
		return false
	}
	heap.Push(&options.heap, o)
	return true
}

// decideStepPlaces decides which tasks of a step wait for its rack in this pass.
func (d *Dispatcher) decideStepPlaces(s *step, o option, options *stepOptions) {
	var tasks []*task
	for _, t := range s.tasks {
		if d.mayStart(t) && t.suspicion == 0 && !d.heldBack(t) {
			tasks = append(tasks, t)
		}
	}
	v := d.newPlaceView(tasks[0], []string{s.spec().Rack}, 1)
	// If urgent tasks have waited for room, that elsewhere may have been made by stops.
	v.scarce = d.urgent(s) && (d.shortage.within(d.now, quietTime) || !spareElsewhere(s, o, options))
	v.saved = d.savedInStep(s, v)
	waited := make([]time.Duration, len(tasks))
	for i, t := range tasks {
		waited[i] = d.placeWaited(t)
		v.takenOver = v.takenOver || d.readyBefore(t)
	}
	v.others = d.othersHeld(s)
	waits, refused := decideTogether(v, waited, d.places.decide)
	for i, decision := range waits {
		d.noteHeld(tasks[i], v, decision, s.spec().Rack)
	}
	if refused != nil {
		v.waited = waited[len(waits)]
		d.logFar(tasks[len(waits)], v, *refused)
	}
}

// othersHeld returns how many tasks wait for the rack of a step that has not waited for
// it yet, and have not been decided on in this pass.
func (d *Dispatcher) othersHeld(s *step) int {
	n := 0
	for _, t := range d.places.held[s.spec().Rack] {
		if t.step == s {
			return 0
		}
		if t.place != nil && t.place.began && !d.placeHeld(t) && t.pending() {
			n++
		}
	}
	return n
}

// savedInStep returns the time that the step ends earlier if its tasks run near: none
// if others run far away and take as long.
func (d *Dispatcher) savedInStep(s *step, v *placeView) time.Duration {
	others := v.takes
	for _, t := range s.tasks {
		for _, r := range t.runs {
			if r.far() {
				others = max(others, v.takes+v.extra-(d.now-r.since))
			}
		}
	}
	return v.takes + v.extra - others
}

// placeWaited returns for how long a task has waited for a place. For a long-running
// one it is the time since the end of its last run.
func (d *Dispatcher) placeWaited(t *task) time.Duration {
	switch {
	case t.step.spec().LongRunning:
		return d.now - t.readySince
	case t.place != nil && t.place.since != 0:
		return d.now - t.place.since
	}
	return 0
}

// readyBefore reports whether a task may have waited under an earlier owner.
func (d *Dispatcher) readyBefore(t *task) bool {
	return d.config.Predecessor && t.readySince < d.startedAt+inheritedTime
}

// spareElsewhere reports whether the waiting tasks of a step fit spareRoom times on
// the workers that could take them.
func spareElsewhere(s *step, o option, options *stepOptions) bool {
	left := spareRoom * s.waiting
	need := reservation(s.spec())
	left -= times(o.worker.free(), need)
	for i := 0; i < len(options.heap) && left > 0; i++ {
		left -= times(options.heap[i].worker.free(), need)
	}
	return left <= 0
}

// holdGang reports whether a gang waits for one rack.
func (d *Dispatcher) holdGang(s *step) bool {
	v := d.newPlaceView(s.tasks[0], d.racks(), s.unfinished)
	v.waited = d.now - s.readySince()
	decision := d.places.decide(v)
	if decision.outcome != placeWait {
		d.logFar(s.tasks[0], v, decision)
		return false
	}
	d.noteHeld(s.tasks[0], v, decision, "")
	for _, t := range s.tasks {
		if t.place == nil {
			t.place = &placeWaiting{}
		}
		t.place.heldAt, t.place.heldIn = d.now, d.places.pass
	}
	return true
}

// newPlaceView returns the view for a decision about tasks of a step.
func (d *Dispatcher) newPlaceView(t *task, racks []string, tasks int) *placeView {
	s := t.step
	spec := s.spec()
	takes := d.expectedRunTime(s)
	slack := s.due + s.job.objective - d.now - d.expectedChainTime(s.job, s.number)
	extra := time.Duration((*d.farFactor.of(s) - 1) * float64(takes))
	v := &placeView{
		extra: extra, saved: extra, takes: takes, slack: slack, useful: slack + (lateLimit-1)*s.job.objective,
		longRunning: spec.LongRunning, need: reservation(spec), tasks: tasks, takenOver: d.readyBefore(t), waited: d.placeWaited(t),
	}
	if spec.BestEffort {
		v.need = spec.Resources
	}
	for _, rack := range racks {
		v.racks = append(v.racks, d.placeWorkers(s, rack))
	}
	return v
}

// placeWorkers returns the room on a rack that a step may use.
func (d *Dispatcher) placeWorkers(s *step, rack string) []placeWorker {
	r := d.places.racks[rack]
	if r == nil {
		r = &rackRoom{claims: map[*worker]*[]placeClaim{}, rooms: map[bool][]placeWorker{}}
		d.places.racks[rack] = r
		d.places.held[rack] = slices.DeleteFunc(d.places.held[rack], func(t *task) bool {
			return !t.pending() || t.place == nil || !t.place.began || t.step.job.inactive()
		})
		for _, w := range d.workersByID {
			if w.listed && w.entry.Rack == rack {
				r.workers = append(r.workers, w)
				r.claims[w] = &[]placeClaim{}
			}
		}
	}
	spec := s.spec()
	rooms, ok := r.rooms[spec.BestEffort]
	if !ok {
		for _, w := range r.workers {
			rooms = append(rooms, placeWorker{coming: d.comingRoom(w, spec.BestEffort), claims: r.claims[w]})
		}
		r.rooms[spec.BestEffort] = rooms
	}
	for i, w := range r.workers {
		rooms[i].limit = d.mostOn(s, w)
		rooms[i].free = w.free()
		if !spec.BestEffort {
			continue
		}
		rooms[i].free = w.idleRoom()
		if rooms[i].limit > 0 && d.speedFraction(w, spec.Image, spec.Resources.MilliCPU()) < minShare {
			rooms[i].limit = 0
		}
	}
	return rooms
}

// idleRoom returns what best-effort tasks may use of a worker.
func (w *worker) idleRoom() briarspring.Resources {
	free := w.free()
	return briarspring.NewResources(briarspring.ResourcesConfig{
		MilliCPU: int64(w.idle()), MemoryMiB: free.MemoryMiB(), Accelerators: free.Accelerators(),
	})
}

// comingRoom returns the room that the runs on a worker are expected to release.
func (d *Dispatcher) comingRoom(w *worker, forBestEffort bool) []comingRoom {
	var list []comingRoom
	for _, r := range w.runs {
		spec := r.task.step.spec()
		amount := reservation(spec)
		if spec.BestEffort && forBestEffort {
			amount = spec.Resources
		}
		switch age := d.now - r.stoppedAt; {
		case r.stopping && age < stopPatience:
			list = append(list, comingRoom{in: max(soonest, stopTime-age), amount: amount})
		case r.stopping || spec.LongRunning:
		default:
			if in, ok := d.expectedEnd(r); ok {
				if r.pace > 0 {
					in = in * fullSpeed / time.Duration(r.pace)
				}
				list = append(list, comingRoom{in: in, amount: amount})
			}
		}
	}
	return list
}

// noteHeld notes that a task waits for a good place. Rack is empty for a gang.
func (d *Dispatcher) noteHeld(t *task, v *placeView, decision placeDecision, rack string) {
	if t.place == nil {
		t.place = &placeWaiting{}
	}
	p := t.place
	p.heldAt, p.heldIn = d.now, d.places.pass
	if rack != "" {
		d.places.wanted[rack] = d.now
		if !p.began {
			d.places.held[rack] = append(d.places.held[rack], t)
		}
	}
	if p.since == 0 {
		p.since = d.now
	}
	if p.began {
		return
	}
	p.began, p.expected = true, decision.expected
	d.counters.PlaceWaits++
	if withheld, ok := d.places.audit.allow(d.now); ok {
		s := t.step
		d.logger.Info("task waits for a good place", "workflow", s.job.workflow.ID, "step", s.number, "index", t.index, "tasks", v.tasks,
			"rack", rack, "why", decision.outcome.String(), "expected-ms", decision.expected.Milliseconds(),
			"saves-ms", v.saved.Milliseconds(), "most-ms", decision.most.Milliseconds(), "slack-ms", v.slack.Milliseconds(), "withheld", withheld)
	}
}

// logFar logs why a task doesn't wait for a good place any more, or not at all, each
// reason once for a step.
func (d *Dispatcher) logFar(t *task, v *placeView, decision placeDecision) {
	s := t.step
	if s.farLogged&(1<<decision.outcome) != 0 {
		return
	}
	s.farLogged |= 1 << decision.outcome
	withheld, ok := d.places.audit.allow(d.now)
	if !ok {
		return
	}
	d.logger.Info("task does not wait for a good place", "workflow", s.job.workflow.ID, "step", s.number, "index", t.index, "tasks", v.tasks,
		"rack", s.spec().Rack, "why", decision.outcome.String(), "expected-ms", decision.expected.Milliseconds(), "saves-ms", v.saved.Milliseconds(),
		"waited-ms", v.waited.Milliseconds(), "slack-ms", v.slack.Milliseconds(), "withheld", withheld)
}

// endPlaceWait notes the outcome of a task's wait for a good place when a run of it
// starts. The wait of a gang is that of its first task.
func (d *Dispatcher) endPlaceWait(t *task, far bool) {
	p := t.place
	t.place = nil
	if p == nil || !p.began {
		return
	}
	waited := d.now - p.since
	d.counters.PlaceWaitMs += uint64(waited.Milliseconds())
	if far {
		d.counters.PlaceWaitsLost++
	} else {
		d.counters.PlaceWaitsPaid++
	}
	if withheld, ok := d.places.audit.allow(d.now); ok {
		s := t.step
		d.logger.Info("wait for a good place is over", "workflow", s.job.workflow.ID, "step", s.number, "index", t.index, "near", !far,
			"waited-ms", waited.Milliseconds(), "expected-ms", p.expected.Milliseconds(), "withheld", withheld)
	}
}
