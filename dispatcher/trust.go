package dispatcher

import "time"

const (
	// failStreak of runs that failed one after the other sets a worker aside;
	// at the usual failure shares of up to 5 percent, three in a row by chance
	// are rare.
	failStreak = 3
	// asideTime is how long a worker is set aside before it gets one run as a
	// probe.
	asideTime = 4 * time.Second
	// probeTime at work after which a probe shows that the worker is sound; above
	// stallTime, so that a probe that stands still is noticed first.
	probeTime = 2 * time.Second
	// atWork is the percent that a worker tells of a lasting task at work.
	atWork = 100
)

// trusted reports whether the worker may get a start in view of its failures.
func (w *worker) trusted(now time.Duration) bool {
	if w.streak < failStreak {
		return true
	}
	return now >= w.aside && w.probing == nil
}

// takesStarts reports whether the worker may get starts at present.
func (w *worker) takesStarts(now time.Duration) bool { return w.usable(now) && w.trusted(now) }

// failedOn counts failures in a row and sets the worker aside after some.
func (d *Dispatcher) failedOn(w *worker, r *run) {
	w.streak++
	if w.streak < failStreak {
		return
	}
	w.aside = d.now + asideTime
	d.logger.Warn("worker set aside", "worker", w.id, "failures-in-a-row", w.streak, "last-workflow", r.ref.Task.Workflow)
}

// vouch trusts a worker again whose probe has been at work for some time. It
// answers probes that last: their end would come too late or never.
func (d *Dispatcher) vouch(w *worker) {
	r := w.probing
	if r == nil || r.state != runAlive || r.stopping || d.now-r.settledAt < probeTime {
		return
	}
	if r.percent == 0 || r.task.step.spec().Lasting && r.percent != atWork {
		return
	}
	w.streak = 0
	w.probing = nil
	d.changed = true
	d.logger.Info("worker is trusted again", "worker", w.id, "probe", r.ref.Task.Workflow, "age-ms", (d.now - r.since).Milliseconds())
}
