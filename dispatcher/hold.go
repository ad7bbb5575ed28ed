package dispatcher

import (
	"time"

	"github.com/hashicorp/go-hclog"

	"briarspring"
)

const (
	// doubtPause after an unanswered start, before it is barred by a stop; a
	// worker that is only slow lists the run meanwhile.
	doubtPause = 250 * time.Millisecond
	// stopRetry after which a stop that had no effect is sent again; above the
	// longest stated stop time of 0.9 s.
	stopRetry = 1200 * time.Millisecond
)

// Hold returns the next renewal for a worker.
func (d *Dispatcher) Hold(now time.Duration, id string) (briarspring.HoldRequest, bool) {
	w := d.workers[id]
	if w == nil {
		return briarspring.HoldRequest{}, false
	}
	h := briarspring.HoldRequest{Token: d.config.Token}
	if !w.fenced {
		// Nothing of the earlier owner's time starts before every worker has
		// answered, so the first answer does not wait for an end.
		return h, true
	}
	h.Wait = w.wait()
	if w.newLife {
		// A lease that is renewed without an answer would never be over.
		h.Until = w.until
		return h, true
	}
	h.Until = w.clockNow(now) + d.config.Lease
	w.until = max(w.until, h.Until)
	h.EndsBefore = w.stored
	return h, true
}

// HoldLost tells that a hold was not answered as it should. The worker may have
// begun a new life, whose ends count anew. It reports whether this is the first
// failure in a row.
func (d *Dispatcher) HoldLost(now time.Duration, id string, v briarspring.Verdict) bool {
	d.now = now
	w := d.workers[id]
	if w == nil {
		return false
	}
	if v == briarspring.VerdictSuperseded {
		d.superseded = true
	}
	first := !w.newLife
	w.newLife = true
	return first
}

// Unstored reports whether ends of a worker are not in the log yet.
func (d *Dispatcher) Unstored(id string) bool {
	w := d.workers[id]
	return w != nil && w.seen > w.stored
}

// Held takes a worker's answer to a hold that was sent at a time.
func (d *Dispatcher) Held(now, sent time.Duration, id string, reply briarspring.HoldReply) {
	d.now = now
	w := d.workers[id]
	if w == nil {
		return
	}
	if w.born != reply.Born {
		d.beginLife(w, reply)
	}
	w.newLife = false
	if !w.fenced {
		d.logger.Info("worker holds to this owner", "worker", w.id, "token", d.config.Token, "running", len(reply.Running), "ended", len(reply.Ended))
		d.changed = true
	}
	w.fenced = true
	w.clock = reply.Clock
	w.clockAt = now
	w.until = max(w.until, reply.Clock)
	if now-w.answeredAt >= silentAfter {
		d.changed = true
	}
	w.answeredAt = now
	for _, e := range reply.Ended {
		if e.Number > w.seen {
			w.seen = e.Number
			d.ended(w, e)
		}
	}
	listed := map[briarspring.RunRef]bool{}
	for _, t := range reply.Running {
		listed[t.Run] = true
		d.running(w, sent, t)
	}
	d.missing(w, sent, listed)
	d.stalls(w)
	d.vouch(w)
	for ref := range w.orphans {
		if !listed[ref] {
			delete(w.orphans, ref)
			d.changed = true
		}
	}
	d.pace(w)
}

// beginLife forgets what was known of the worker's earlier life. Its runs are
// kept until a list without them shows that they are gone.
func (d *Dispatcher) beginLife(w *worker, reply briarspring.HoldReply) {
	first := w.born == 0
	if !first {
		d.logger.Warn("worker began a new life", "worker", w.id, "born", reply.Born, "before", w.born, "runs", len(w.runs))
	}
	w.born = reply.Born
	w.seen = 0
	w.stored = 0
	w.streak = 0
	// Renewals that were reckoned by the clock of the earlier life may have
	// arrived in this one, whose clock began anew.
	if !first {
		w.until = reply.Clock + d.config.MaxLease
	}
}

// ended takes in the end of a run.
func (d *Dispatcher) ended(w *worker, e briarspring.EndedTask) {
	j := d.jobs[e.Run.Task.Workflow]
	t := j.task(e.Run.Task)
	if t == nil {
		d.logger.Warn("run of an unknown task ended", "worker", w.id, "workflow", e.Run.Task.Workflow, "step", e.Run.Task.Step, "index", e.Run.Task.Index)
		return
	}
	r := w.runs[e.Run]
	t.lastRun = max(t.lastRun, e.Run.Run)
	d.markDirty(j)
	level := hclog.Debug
	if e.End != briarspring.RunDone && (r == nil || !r.stopping) {
		level = hclog.Info
	}
	d.logger.Log(level, "run ended", "workflow", j.workflow.ID, "step", t.step.number, "index", t.index, "run", e.Run.Run,
		"end", e.End.String(), "worker", w.id, "took-ms", r.age(d.now).Milliseconds())
	if e.Checkpoint != "" {
		t.save(e.Checkpoint)
	}
	switch e.End {
	case briarspring.RunDone:
		d.counters.Done++
		w.streak = 0
		d.learnTime(t, r)
		t.finish(d.now)
	case briarspring.RunFailed:
		d.counters.Failed++
		t.fail(e.Run.Run)
		t.avoid = w
		if r != nil && !r.stopping {
			d.failedOn(w, r)
		}
	}
	if r != nil {
		d.removeRun(r)
	}
	if t.done {
		for _, other := range t.runs {
			d.stop(other, "another copy was first")
		}
	}
	d.settle(j)
}

// age returns the time since a run was ordered; zero for none.
func (r *run) age(now time.Duration) time.Duration {
	if r == nil {
		return 0
	}
	return now - r.since
}

// task returns the task of a name, or nil.
func (j *job) task(ref briarspring.TaskRef) *task {
	if j == nil || ref.Step < 0 || ref.Step >= len(j.workflow.Steps) {
		return nil
	}
	if ref.Occurrence < 0 || ref.Occurrence >= j.workflow.Occurrences() {
		return nil
	}
	tasks := j.stepOf(ref.Occurrence, ref.Step).tasks
	if ref.Index < 0 || ref.Index >= len(tasks) {
		return nil
	}
	return tasks[ref.Index]
}

// running takes in that a run is alive.
func (d *Dispatcher) running(w *worker, sent time.Duration, listed briarspring.RunningTask) {
	r := w.runs[listed.Run]
	if r == nil {
		r = d.adopt(w, sent, listed)
	}
	if r == nil {
		return
	}
	if r.state != runAlive {
		r.state = runAlive
		r.settledAt = d.now
	}
	if !r.listed {
		r.listed = true
		r.percentAt = d.now
	}
	if listed.Checkpoint != "" && listed.Checkpoint != r.checkpoint {
		r.task.save(listed.Checkpoint)
	}
	r.checkpoint = listed.Checkpoint
	if r.percent != listed.Percent {
		r.percent = listed.Percent
		r.percentAt = d.now
	}
	r.usage = listed.Usage
	r.usageAt = d.now
	if r.task.done || r.task.step.job.over() {
		d.stop(r, "task is over")
	}
	if r.stopping && d.now-r.stopAt > stopRetry {
		d.sendStop(r)
	}
}

// adopt takes over a run that an earlier owner started, or has an unknown one
// stopped.
func (d *Dispatcher) adopt(w *worker, sent time.Duration, listed briarspring.RunningTask) *run {
	t := d.jobs[listed.Run.Task.Workflow].task(listed.Run.Task)
	if t == nil {
		stopAt, known := w.orphans[listed.Run]
		if !known || d.now-stopAt > stopRetry {
			w.orphans[listed.Run] = d.now
			d.logger.Warn("unknown run stopped", "worker", w.id, "workflow", listed.Run.Task.Workflow, "run", listed.Run.Run)
			d.orders = append(d.orders, Order{
				Kind: OrderStop, Worker: w.id, Address: w.entry.Address,
				Stop: briarspring.StopOrder{Run: listed.Run, Token: d.config.Token},
			})
		}
		return nil
	}
	for _, other := range t.runs {
		if other.state == runUnknown && other.ref == listed.Run {
			d.removeRun(other)
			break
		}
	}
	r := &run{
		ref: listed.Run, task: t, worker: w, state: runAlive, since: d.now, settledAt: sent,
		pace: fullSpeed, paceSent: fullSpeed,
	}
	d.addRun(r)
	d.markDirty(t.step.job)
	d.settle(t.step.job)
	return r
}

// missing looks at the runs that a worker's list leaves out. One whose start
// was answered before the list was asked for has ended without a report: the
// worker crashed, or forgot the end.
func (d *Dispatcher) missing(w *worker, sent time.Duration, listed map[briarspring.RunRef]bool) {
	for ref, r := range w.runs {
		if listed[ref] {
			continue
		}
		switch {
		case r.state == runUnknown:
			d.lose(r, "not on the worker that was recorded")
		case r.state == runAlive && r.settledAt < sent:
			d.lose(r, "missing from the worker's list")
		case r.state == runDoubt && r.stopped != 0 && r.stopped < sent:
			d.lose(r, "barred before it started")
		case r.state == runDoubt && w.clock > r.until+lapseMargin && r.settledAt < sent:
			d.lose(r, "start order is void by now")
		case r.state == runDoubt && !r.stopping && d.now-r.settledAt > doubtPause:
			d.stop(r, "start was not answered")
		case r.state == runDoubt && r.stopping && d.now-r.stopAt > stopRetry:
			d.sendStop(r)
		}
	}
}

// lose notes that a run is alive no more and was not reported as ended.
func (d *Dispatcher) lose(r *run, why string) {
	j := r.task.step.job
	d.counters.Lost++
	d.logger.Info("run lost", "workflow", j.workflow.ID, "step", r.task.step.number, "index", r.task.index,
		"run", r.ref.Run, "worker", r.worker.id, "state", r.state.String(), "why", why)
	d.removeRun(r)
	d.markDirty(j)
	d.settle(j)
}

// stop has a run stopped.
func (d *Dispatcher) stop(r *run, why string) {
	if r.stopping {
		return
	}
	r.stopping = true
	d.counters.Stops++
	d.logger.Info("run is stopped", "workflow", r.ref.Task.Workflow, "step", r.ref.Task.Step, "index", r.ref.Task.Index,
		"run", r.ref.Run, "worker", r.worker.id, "why", why)
	d.sendStop(r)
}

func (d *Dispatcher) sendStop(r *run) {
	r.stopAt = d.now
	d.orders = append(d.orders, Order{
		Kind: OrderStop, Worker: r.worker.id, Address: r.worker.entry.Address,
		Stop: briarspring.StopOrder{Run: r.ref, Token: d.config.Token},
	})
}

// lapses ends what ran on workers whose lease has certainly ended.
func (d *Dispatcher) lapses() {
	for _, w := range d.order {
		if len(w.runs) == 0 || d.now-w.answeredAt < silentAfter {
			continue
		}
		if !d.certain(w) {
			continue
		}
		d.logger.Warn("worker's lease ended", "worker", w.id, "silent-ms", (d.now - w.answeredAt).Milliseconds(), "runs", len(w.runs), "fenced", w.fenced)
		for _, r := range w.runs {
			d.lose(r, "the worker's lease ended")
		}
	}
}

// certain reports whether everything that was alive on a silent worker has
// ended.
func (d *Dispatcher) certain(w *worker) bool {
	at, ok := d.lapseOf(w)
	return ok && d.now > at
}

// earlierLapse returns the time at which the leases have certainly ended that
// earlier owners gave, once all of them are known to be gone.
func (d *Dispatcher) earlierLapse() time.Duration {
	return d.goneAt + time.Duration(float64(d.config.Lease)*(1+clockSkew)) + lapseMargin
}

// Silent returns the workers that do not answer, with the time after which all
// their runs have certainly ended. Workers whose leases others may still renew
// are left out.
func (d *Dispatcher) Silent(now time.Duration) []briarspring.SilentWorker {
	var list []briarspring.SilentWorker
	for _, w := range d.order {
		if w.fenced && now-w.answeredAt < silentAfter {
			continue
		}
		if at, ok := d.lapseOf(w); ok {
			list = append(list, briarspring.SilentWorker{Worker: w.id, LeaseLeft: max(0, at-now)})
		}
	}
	return list
}

// lapseOf returns the time at which the lease of a silent worker has certainly
// ended; false while others may renew it.
func (d *Dispatcher) lapseOf(w *worker) (time.Duration, bool) {
	if w.fenced {
		return w.lapsesAt(), true
	}
	if at, ok := d.silent[w.id]; ok {
		return at, true
	}
	return d.earlierLapse(), d.gone
}
