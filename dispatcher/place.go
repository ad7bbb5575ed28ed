package dispatcher

import (
	"math"
	"slices"
	"time"

	"briarspring"
)

const (
	// payShare is the share of the time saved up to which an expected wait pays.
	// If an end is equally likely at any time up to twice the expected one,
	// waiting costs as much as it saves on average at three quarters.
	payShare = 0.75
	// longRunningPlaceWait is how long a long-running task waits for a place from
	// the end of its last run; below the 3 s within which it has to start.
	longRunningPlaceWait = 2 * time.Second
	// spareRoom is how often the tasks of an urgent step have to fit elsewhere for
	// them to wait, so that others don't take the room that they pass up.
	spareRoom = 2
)

// placeView is what the decision to wait for a good place needs to know. Times are
// relative to the decision.
type placeView struct {
	extra       time.Duration         // Time that a run elsewhere takes in addition.
	saved       time.Duration         // Time that a run in the good place saves its step.
	takes       time.Duration         // Expected run time there.
	waited      time.Duration         // Time since a start elsewhere was first passed up.
	slack       time.Duration         // Time until a start in the good place would be late.
	useful      time.Duration         // Time until such a start would have no value.
	longRunning bool                  // It never ends, so the times saved and left don't count.
	takenOver   bool                  // An earlier owner may have had it wait.
	scarce      bool                  // It is urgent, and there isn't enough room elsewhere.
	need        briarspring.Resources // Of one task.
	tasks       int                   // Tasks that have to start at once, on one rack.
	others      int                   // Tasks of other steps that wait and come later, if this one has not waited yet.
	racks       [][]placeWorker       // Racks that are good places.
}

// placeWorker is a worker of a rack in a placeView.
type placeWorker struct {
	free   briarspring.Resources
	limit  int           // How many tasks it may take, regardless of its room.
	coming []comingRoom  // Room that runs will release.
	claims *[]placeClaim // Room that other tasks wait for.
}

// placeClaim is room that a task is expected to use.
type placeClaim struct {
	until   time.Duration
	amount  briarspring.Resources
	assumed bool // For tasks that have not decided yet in the present pass.
}

// placeOutcome is why a task waits for a good place or not.
type placeOutcome uint8

const (
	placeWait      placeOutcome = iota // There will be room in time.
	placeTooLong                       // The expected wait is longer than what it saves.
	placeUnknown                       // No run there is known to end.
	placeGone                          // No worker there takes starts.
	placeSpent                         // It has waited for as long as it pays.
	placeDeadline                      // The workflow would be late, or too late to be of value.
	placeScarce                        // Room elsewhere may not last.
	placeTakenOver                     // An earlier owner may have had it wait.
	placeUseless                       // Nothing is saved.
	placeOutcomes                      // Number of outcomes.
)

// String returns the outcome for logs.
func (o placeOutcome) String() string {
	return [...]string{
		"room is expected there in time", "the expected wait is longer than it pays", "nothing there is known to end",
		"no worker there takes starts", "it has waited for as long as it pays", "its workflow would be late",
		"room elsewhere may not last", "an earlier owner may have had it wait",
		"its step would end no earlier", "invalid",
	}[min(o, placeOutcomes)]
}

// placeDecision is the result of decidePlace.
type placeDecision struct {
	outcome  placeOutcome
	expected time.Duration // Expected time until there is room, if it waits or that is too long.
	most     time.Duration // Time for which the wait may go on.
}

// decidePlace decides whether a task or gang that could start elsewhere waits for
// room in a good place. If so, the room is claimed in the view.
func decidePlace(v *placeView) placeDecision {
	d := placeDecision{outcome: v.refused()}
	if d.outcome != placeWait {
		return d
	}
	var pays time.Duration
	d.most, pays, d.outcome = v.limits()
	if d.outcome != placeWait {
		return d
	}
	rack, known := -1, false
	for i, workers := range v.racks {
		in, ok := v.roomIn(workers)
		known = known || slices.ContainsFunc(workers, func(w placeWorker) bool { return w.limit > 0 })
		if ok && (rack < 0 || in < d.expected) {
			rack, d.expected = i, in
		}
	}
	switch {
	case !known:
		d.outcome = placeGone
	case rack < 0:
		d.outcome = placeUnknown
	case d.expected > d.most:
		d.outcome = placeTooLong
		if !v.longRunning && v.waited+d.expected <= v.saved {
			d.outcome = placeDeadline
		}
	case d.expected > pays && !(v.slack < v.extra && d.expected <= v.slack):
		d.outcome = placeTooLong
	default:
		v.claim(v.racks[rack], d.expected, false)
	}
	return d
}

// refused returns why there is no wait whatever the expected time, or placeWait.
func (v *placeView) refused() placeOutcome {
	switch {
	case v.takenOver:
		return placeTakenOver
	case v.scarce:
		return placeScarce
	case !v.longRunning && v.saved <= 0:
		return placeUseless
	}
	return placeWait
}

// limits returns for how long a wait may go on, up to which expected time it pays
// in general, and why there is none.
func (v *placeView) limits() (most, pays time.Duration, why placeOutcome) {
	if v.longRunning {
		most = longRunningPlaceWait - v.waited
		pays = most
	} else {
		most = v.saved - v.waited
		pays = time.Duration(payShare*float64(v.saved)) - v.waited
	}
	if most <= 0 {
		return 0, 0, placeSpent
	}
	if v.longRunning {
		return most, pays, placeWait
	}
	if v.slack >= v.extra {
		most = min(most, v.slack-v.extra)
	} else if v.useful >= v.extra {
		most = min(most, v.useful-v.extra)
	}
	if most <= 0 {
		return 0, 0, placeDeadline
	}
	return most, pays, placeWait
}

// roomIn returns the expected time until all tasks of the view fit on a rack, or
// false if that is not known.
func (v *placeView) roomIn(rack []placeWorker) (time.Duration, bool) {
	if v.tasks == 1 {
		return v.roomForOneIn(rack)
	}
	var all []time.Duration
	for i := range rack {
		all = rack[i].changes(all)
	}
	slices.Sort(all)
	for _, at := range slices.Compact(all) {
		n := 0
		for i := range rack {
			if n += rack[i].fit(v.need, at); n >= v.tasks {
				return at, true
			}
		}
	}
	return 0, false
}

// roomForOneIn does the same for a single task, which needs a single worker.
func (v *placeView) roomForOneIn(rack []placeWorker) (best time.Duration, ok bool) {
	var buffer [16]time.Duration
	for i := range rack {
		for _, at := range rack[i].changes(buffer[:0]) {
			if (!ok || at < best) && rack[i].fit(v.need, at) > 0 {
				best, ok = at, true
			}
		}
	}
	return best, ok
}

// changes appends the times at which the room of a worker changes.
func (w *placeWorker) changes(list []time.Duration) []time.Duration {
	if w.limit <= 0 {
		return list
	}
	list = append(list, soonest)
	for _, c := range w.coming {
		list = append(list, max(soonest, c.in))
	}
	for _, c := range *w.claims {
		list = append(list, max(soonest, c.until))
	}
	return list
}

// fit returns how many tasks are expected to fit on a worker at a time.
func (w *placeWorker) fit(need briarspring.Resources, at time.Duration) int {
	if w.limit <= 0 {
		return 0
	}
	room := w.free
	for _, c := range w.coming {
		if c.in <= at {
			room = room.Add(c.amount)
		}
	}
	for _, c := range *w.claims {
		if c.until > at {
			room = room.Sub(c.amount)
		}
	}
	return min(w.limit, times(room, need))
}

// claim sets the room on a rack at a time aside for the tasks of the view.
func (v *placeView) claim(rack []placeWorker, at time.Duration, assumed bool) {
	left := v.tasks
	for i := range rack {
		w := &rack[i]
		n := min(left, w.fit(v.need, at))
		if n <= 0 {
			continue
		}
		until := at + v.takes
		if v.longRunning {
			until = math.MaxInt64
		}
		*w.claims = append(*w.claims, placeClaim{until: until, amount: v.need.Times(int64(n)), assumed: assumed})
		left -= n
		if !assumed {
			w.limit -= n
		}
	}
}

// decideTogether decides for tasks of a step that have waited for some time each:
// all of them wait or none, as the step ends with its last task. Long-running tasks
// don't end, so each is decided on its own. It returns the decisions of those that
// wait, and that for the first one that does not, if any.
func decideTogether(v *placeView, waited []time.Duration, decide func(*placeView) placeDecision) (waits []placeDecision, refused *placeDecision) {
	v.assumeOthers()
	defer v.dropOthers()
	var before [][]int
	for _, rack := range v.racks {
		var lengths []int
		for _, w := range rack {
			lengths = append(lengths, len(*w.claims))
		}
		before = append(before, lengths)
	}
	for _, v.waited = range waited {
		d := decide(v)
		if d.outcome == placeWait {
			waits = append(waits, d)
			continue
		}
		if v.longRunning {
			return waits, &d
		}
		for i, rack := range v.racks {
			for k, w := range rack {
				*w.claims = (*w.claims)[:before[i][k]]
			}
		}
		return nil, &d
	}
	return waits, nil
}

// assumeOthers claims room for the other tasks that wait, which are taken to need as
// much. A task that has just become ready would otherwise displace them, and they
// would have waited for nothing.
func (v *placeView) assumeOthers() {
	for range v.others {
		in, ok := v.roomIn(v.racks[0])
		if !ok {
			return
		}
		v.claim(v.racks[0], in, true)
	}
}

// dropOthers undoes assumeOthers.
func (v *placeView) dropOthers() {
	if v.others == 0 {
		return
	}
	for _, w := range v.racks[0] {
		*w.claims = slices.DeleteFunc(*w.claims, func(c placeClaim) bool { return c.assumed })
	}
}
