package dispatcher

import (
	"cmp"
	"slices"
	"time"

	"briarspring"
)

const (
	// clockSkew is how much slower than ours a worker's clock may run; the
	// platform states two percent, the rest covers rounding.
	clockSkew = 0.025
	// lapseMargin covers the rounding of clock readings to milliseconds.
	lapseMargin = 50 * time.Millisecond
	// startWindow bounds how late a start order may be carried out, by the
	// worker's clock; below the least drain bound of 2 s.
	startWindow = 1500 * time.Millisecond
	// silentAfter without an answer a worker gets no starts; above the longest
	// wait of a hold with its round trip.
	silentAfter = 1200 * time.Millisecond
	// orderPause after an order that was refused or lost, before the next start.
	orderPause = 500 * time.Millisecond
)

// worker is what the owner knows of one worker.
type worker struct {
	id       string
	entry    briarspring.WorkerEntry
	listed   bool
	goneAt   time.Duration // When it left the list; zero for never.
	leavesAt time.Duration // Earliest time at which it leaves while it drains.
	early    bool          // Known when the claim came into force, so that a predecessor may have used it.

	fenced     bool // Has answered under this owner's token in its present life.
	born       int64
	clock      time.Duration // The worker's clock at clockAt.
	clockAt    time.Duration
	until      time.Duration // Latest lease deadline that was ever sent, by the worker's clock.
	answeredAt time.Duration
	seen       uint64 // Highest number of an end that was taken in.
	stored     uint64 // Highest number of an end that is in the log.
	newLife    bool   // The next hold must not acknowledge ends.

	runs     map[briarspring.RunRef]*run
	orphans  map[briarspring.RunRef]time.Duration // Runs of unknown workflows and when their stop was sent.
	reserved briarspring.Resources
	filling  int64 // Declared processors of tasks that fill, at their pace.
	serving  int64 // Declared processors of lasting tasks.

	streak      int // Failed runs since the last one that was done.
	aside       time.Duration
	probing     *run
	pausedUntil time.Duration
	slow        float64 // Learned factor of run times, one is normal.
	paceAt      time.Duration
	pressed     bool // A task that fills presses one that serves.
}

// worker returns the worker of an ID and makes it when there is none.
func (d *Dispatcher) worker(id string) *worker {
	w := d.workers[id]
	if w != nil {
		return w
	}
	w = &worker{
		id: id, runs: map[briarspring.RunRef]*run{}, orphans: map[briarspring.RunRef]time.Duration{}, slow: 1,
	}
	if !d.listed && d.config.Predecessor {
		w.early = true
	}
	d.workers[id] = w
	i, _ := slices.BinarySearchFunc(d.order, id, func(o *worker, id string) int { return cmp.Compare(o.id, id) })
	d.order = slices.Insert(d.order, i, w)
	return w
}

// SetWorkers takes the platform's list of the data centre's workers.
func (d *Dispatcher) SetWorkers(now time.Duration, entries []briarspring.WorkerEntry) {
	d.now = now
	present := map[string]bool{}
	for _, e := range entries {
		present[e.ID] = true
		d.setWorker(e)
	}
	for _, w := range d.order {
		if w.listed && !present[w.id] {
			w.listed = false
			w.goneAt = now
			d.changed = true
			d.logger.Info("worker left the list", "worker", w.id, "runs", len(w.runs))
		}
	}
	d.listed = true
	d.forgetWorkers()
}

// keepGone is how long a worker stays known that has left the list: entries that
// lapse during an outage of the log are back within seconds, and what a worker
// tells of its ends must be taken in once only.
const keepGone = 5 * time.Minute

// forgetWorkers drops workers that left the list long ago and hold nothing. It
// keeps memory bounded while hosts are replaced all the time.
func (d *Dispatcher) forgetWorkers() {
	d.order = slices.DeleteFunc(d.order, func(w *worker) bool {
		if w.listed || len(w.runs) > 0 || len(w.orphans) > 0 || w.goneAt == 0 || d.now-w.goneAt < keepGone {
			return false
		}
		delete(d.workers, w.id)
		if d.config.Pacer != nil {
			d.config.Pacer.Forget(w.id)
		}
		return true
	})
}

func (d *Dispatcher) setWorker(e briarspring.WorkerEntry) {
	w := d.worker(e.ID)
	if !w.listed {
		d.changed = true
		d.logger.Info("worker listed", "worker", e.ID, "capacity", e.Capacity.String(), "rack", e.Rack, "draining", e.Draining)
	} else if e.Draining != w.entry.Draining {
		d.changed = true
		d.logger.Info("worker's state changed", "worker", e.ID, "draining", e.Draining, "remaining-ms", e.Remaining.Milliseconds())
	}
	w.listed = true
	w.goneAt = 0
	w.entry = e
	d.noteLeaving(w)
}

// Workers returns the IDs and addresses of the workers that need an agent.
func (d *Dispatcher) Workers() map[string]string {
	list := map[string]string{}
	for _, w := range d.order {
		if w.entry.Address != "" && (w.listed || len(w.runs) > 0) {
			list[w.id] = w.entry.Address
		}
	}
	return list
}

// clockNow returns an estimate of the worker's clock.
func (w *worker) clockNow(now time.Duration) time.Duration { return w.clock + now - w.clockAt }

// free returns what is not reserved.
func (w *worker) free() briarspring.Resources { return w.entry.Capacity.Sub(w.reserved) }

// usable reports whether the worker may get starts.
func (w *worker) usable(now time.Duration) bool {
	return w.listed && !w.entry.Draining && w.fenced && len(w.orphans) == 0 &&
		now-w.answeredAt < silentAfter && now >= w.pausedUntil
}

// lapsesAt returns the time at which the lease has certainly ended, unless
// another owner renewed it.
func (w *worker) lapsesAt() time.Duration {
	left := w.until - w.clock
	return w.clockAt + time.Duration(float64(left)*(1+clockSkew)) + lapseMargin
}

// runState tells what is known of a run.
type runState uint8

const (
	runOrdered runState = iota + 1 // The start was sent and not answered yet.
	runAlive                       // The worker accepted the start or listed the run.
	runDoubt                       // The start got no answer.
	runUnknown                     // An earlier owner recorded it.
)

// String returns the state in kebab case.
func (s runState) String() string {
	names := [...]string{"", "ordered", "alive", "doubt", "unknown"}
	if int(s) < len(names) {
		return names[s]
	}
	return "invalid"
}

// run is one start of a task.
type run struct {
	ref        briarspring.RunRef
	task       *task
	worker     *worker
	state      runState
	since      time.Duration // When it was ordered.
	settledAt  time.Duration // When the worker's answer to the start arrived, or was given up.
	until      time.Duration // Latest carrying out of the start, by the worker's clock.
	listed     bool          // Was seen in a list of running tasks.
	stopping   bool
	stopAt     time.Duration // When the last stop was sent.
	stopped    time.Duration // When a stop was answered.
	checkpoint string
	percent    int
	percentAt  time.Duration
	usage      float64
	usageAt    time.Duration
	pace       int // Decided.
	paceSent   int
	paceAt     time.Duration
	slowedAt   time.Duration // When its pace became so slow that it is better off elsewhere.
	pacedAt    time.Duration // When its pace was last changed.
	weight     int64         // What it adds to the worker's filling.
}

const fullSpeed = 100

// addRun books a run on its worker.
func (d *Dispatcher) addRun(r *run) {
	r.worker.runs[r.ref] = r
	r.weight = r.worker.book(r.task.step.spec())
	r.task.started(r)
	d.changed = true
}

// book holds what a task needs, and returns what it adds to the worker's filling.
func (w *worker) book(spec *briarspring.Step) (weight int64) {
	w.reserved = w.reserved.Add(reservation(spec))
	if spec.Fills {
		weight = spec.Resources.MilliCPU()
	}
	w.filling += weight
	if spec.Lasting {
		w.serving += spec.Resources.MilliCPU()
	}
	return weight
}

// release frees what a task holds; weight is its share of the worker's filling.
func (w *worker) release(spec *briarspring.Step, weight int64) {
	w.reserved = w.reserved.Sub(reservation(spec))
	w.filling -= weight
	if spec.Lasting {
		w.serving -= spec.Resources.MilliCPU()
	}
}

// removeRun frees what a run holds.
func (d *Dispatcher) removeRun(r *run) {
	w := r.worker
	delete(w.runs, r.ref)
	w.release(r.task.step.spec(), r.weight)
	if w.probing == r {
		w.probing = nil
	}
	r.task.stopped(d.now, r)
	d.changed = true
}

// reservation returns what a task holds of a worker's capacity.
func reservation(s *briarspring.Step) briarspring.Resources {
	if !s.Fills {
		return s.Resources
	}
	return briarspring.NewResources(briarspring.ResourcesConfig{
		MemoryMiB: s.Resources.MemoryMiB(), Accelerators: s.Resources.Accelerators(),
	})
}
