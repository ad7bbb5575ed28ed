package dispatcher

import (
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"

	"briarspring"
)

const (
	// maxAuditLines limits the lines about ends without a record in auditInterval:
	// workers may list hundreds of them at a takeover.
	maxAuditLines = 20
	auditInterval = time.Second
	// maxNamedWorkers limits the workers that one line names.
	maxNamedWorkers = 16
)

// Registration is what the log says of a workflow, for log lines.
type Registration struct {
	State string // Phase in kebab case, or unknown.
	Final bool   // No task of it starts any more.
	Local bool   // Tasks of it are, or were, in this data centre.
}

// endAudit limits the lines about ends that no record covers.
type endAudit struct {
	since    time.Duration
	lines    int
	withheld int
}

// allow reports whether another line may be logged, and how many were withheld since
// the last one.
func (a *endAudit) allow(now time.Duration) (withheld int, ok bool) {
	if now-a.since >= auditInterval {
		a.since, a.lines = now, 0
	}
	if a.lines >= maxAuditLines {
		a.withheld++
		return 0, false
	}
	a.lines++
	withheld, a.withheld = a.withheld, 0
	return withheld, true
}

// newEnd is an end that was processed since the last record of its job.
type newEnd struct {
	worker string
	end    briarspring.EndedTask
}

// logUnknownEnd logs the end of a run of an unknown task, which is acknowledged with the
// next batch though no record can cover it.
func (d *Dispatcher) logUnknownEnd(w *worker, j *job, e briarspring.EndedTask) {
	d.counters.UnrecordedEnds++
	reg := Registration{State: "unknown"}
	if j != nil {
		reg = Registration{State: j.phase.String(), Final: j.phase.Final(), Local: true}
	}
	d.logEnd(hclog.Warn, "end of a run of an unknown task", w, e, reg, j != nil)
}

// logHeldEnd logs an end that is not acknowledged yet. That it is not needed is usual for
// a final workflow.
func (d *Dispatcher) logHeldEnd(w *worker, e briarspring.EndedTask) {
	reg := d.registration(e)
	if reg.Final {
		d.counters.FinalEnds++
		return
	}
	d.counters.HeldEnds++
	d.logEnd(hclog.Info, "end waits for its task", w, e, reg, d.jobs[e.Run.Task.Workflow] != nil)
}

// registration returns what the log says of the workflow of an end.
func (d *Dispatcher) registration(e briarspring.EndedTask) Registration {
	if d.config.Registered == nil {
		return Registration{State: "not-asked"}
	}
	return d.config.Registered(e.Run.Task.Workflow)
}

// logEnd logs an end, unless there are too many such lines.
func (d *Dispatcher) logEnd(level hclog.Level, line string, w *worker, e briarspring.EndedTask, reg Registration, known bool) {
	withheld, ok := d.audit.allow(d.now)
	if !ok {
		return
	}
	d.logger.Log(level, line, "worker", w.id, "workflow", e.Run.Task.Workflow, "step", e.Run.Task.Step,
		"index", e.Run.Task.Index, "run", e.Run.Run, "end", e.End.String(), "number", e.Number, "workflow-known", known,
		"registered", reg.State, "local", reg.Local, "withheld", withheld)
}

// logUnrecorded logs the ends of a job whose record is skipped; they are acknowledged
// with the batch that leaves it out. That is usual for a final or cancelled workflow.
func (d *Dispatcher) logUnrecorded(j *job, why string) {
	ends := j.newEnds
	j.newEnds = nil
	if len(ends) == 0 {
		return
	}
	level, withheld := hclog.Debug, 0
	if j.finalPhaseStored || j.cancelled {
		d.counters.FinalEnds += uint64(len(ends))
	} else {
		d.counters.UnrecordedEnds += uint64(len(ends))
		var ok bool
		if withheld, ok = d.audit.allow(d.now); !ok {
			return
		}
		level = hclog.Warn
	}
	done, first := 0, ends[0]
	for _, e := range ends {
		if e.end.End != briarspring.RunDone {
			continue
		}
		if done++; done == 1 {
			first = e
		}
	}
	d.logger.Log(level, "acknowledging ends that no record covers", "workflow", j.workflow.ID, "why", why, "ends", len(ends), "done", done,
		"worker", first.worker, "step", first.end.Run.Task.Step, "index", first.end.Run.Task.Index, "run", first.end.Run.Run,
		"end", first.end.End.String(), "number", first.end.Number, "phase", j.phase.String(), "withheld", withheld)
}

// checkPlace logs the end of a run of a task that is in another data centre or on its way
// there: the record here doesn't go with the task.
func (d *Dispatcher) checkPlace(w *worker, t *task, e briarspring.EndedTask) {
	j := t.step.job
	if t.local && !t.transferring || t.done || j.skipped() != "" {
		return
	}
	d.counters.UnrecordedEnds++
	withheld, ok := d.audit.allow(d.now)
	if !ok {
		return
	}
	d.logger.Warn("end of a run of a task that has been transferred", "worker", w.id, "workflow", j.workflow.ID, "step", t.step.number,
		"index", t.index, "run", e.Run.Run, "end", e.End.String(), "number", e.Number, "local", t.local, "transfers", t.transfers,
		"last-run", t.lastRun, "withheld", withheld)
}

// skipped returns why the job's progress is not recorded, or an empty string if it is.
func (j *job) skipped() string {
	switch {
	case j.finalPhaseStored:
		return "workflow is final"
	case j.cancelled:
		return "workflow is cancelled"
	case j.transferredAway:
		return "all tasks are in other data centres"
	}
	return ""
}

// SetPredecessorInventory sets the token of the inventory that AddKnownWorkers was
// given, for log lines.
func (d *Dispatcher) SetPredecessorInventory(token uint64) { d.inventoryToken = token }

// logTakeover logs that a service's workers are taken over, and on what ground.
func (d *Dispatcher) logTakeover(service string) {
	named, namedListed, unheard := 0, 0, 0
	var list []string
	for _, w := range d.workersByID {
		if w.named {
			named++
			if w.listed {
				namedListed++
			}
		}
		if why := d.unheard(w); why != "" && w.mayRun(service) {
			if unheard++; unheard <= maxNamedWorkers {
				list = append(list, w.id+": "+why)
			}
		}
	}
	d.logger.Info("taking over workflows of the earlier owner", "service", service, "after-ms", (d.now - d.startedAt).Milliseconds(),
		"workflows", len(d.jobs), "named", named, "named-listed", namedListed, "inventory-token", d.inventoryToken,
		"unheard", unheard, "not-heard", strings.Join(list, ", "))
}

// unheard returns why a takeover doesn't wait for the report of a worker, or an empty
// string if it has reported or is of no concern.
func (d *Dispatcher) unheard(w *worker) string {
	why := d.unasked(w)
	switch {
	case w.reported:
		return ""
	case why != "":
		return "not asked, " + why
	case w.inherited && w.fenced:
		return "stopped answering, lease ended"
	case w.inherited:
		return "never answered, lease ended"
	default:
		return ""
	}
}

// Absence says why an owner doesn't ask a worker what it runs.
type Absence struct {
	Why          string // Empty if it asks.
	UnstoredEnds bool   // The worker has listed ends that are not in the log.
	AnsweredMs   int64  // Milliseconds since its last answer; -1 if there was none.
}

// Absence returns why a worker is not asked any more, and what it leaves behind.
func (d *Dispatcher) Absence(now time.Duration, id string) Absence {
	w := d.workers[id]
	if w == nil {
		return Absence{Why: "forgotten", AnsweredMs: -1}
	}
	return Absence{Why: d.unasked(w), UnstoredEnds: d.HasUnstoredEnds(id), AnsweredMs: millisecondsSince(now, w.answeredAt)}
}
