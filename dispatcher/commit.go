package dispatcher

import (
	"slices"

	"briarspring"
	"briarspring/encoder"
	"briarspring/registrar"
)

// Batch holds records that are stored together.
type Batch struct {
	Progress []briarspring.KeyedRecord // For the data centre's progress stream, of workflows and workers.
	ends     []endMark
	workers  []recordMark
	starts   []*run // Starts to send once the batch is stored.
	dropped  []briarspring.WorkflowID
}

// endMark is the highest number of a worker's ends that a batch covers.
type endMark struct {
	worker      *worker
	incarnation int64
	number      uint64
}

func (d *Dispatcher) markDirty(j *job) {
	if j != nil {
		d.dirty[j.workflow.ID] = j
	}
}

// TakeBatch returns the progress records to store next, or false if there is
// nothing to store.
func (d *Dispatcher) TakeBatch() (Batch, bool) {
	var b Batch
	d.takeWorkerRecords(&b)
	for id, j := range d.dirty {
		delete(d.dirty, id)
		if why := j.skipped(); why != "" {
			d.logUnrecorded(j, why)
			continue
		}
		value, err := encoder.EncodeRunProgress(d.progressOf(j))
		if err != nil {
			d.logger.Error("encoding progress failed", "workflow", id, "error", err)
			d.logUnrecorded(j, "progress can't be encoded")
			continue
		}
		j.newEnds = nil
		j.hasProgressRecord = true
		b.Progress = append(b.Progress, briarspring.KeyedRecord{Key: string(id), Value: value})
	}
	b.starts, d.unsentStarts = d.unsentStarts, nil
	for id, j := range d.jobs {
		if !j.removable() {
			continue
		}
		if j.hasProgressRecord {
			b.Progress = append(b.Progress, briarspring.KeyedRecord{Key: string(id)})
		}
		b.dropped = append(b.dropped, id)
	}
	for _, w := range d.workersByID {
		if n := w.lastRecordable(); n > w.lastEndStored {
			b.ends = append(b.ends, endMark{worker: w, incarnation: w.incarnation, number: n})
		}
	}
	return b, len(b.Progress)+len(b.ends)+len(b.starts)+len(b.dropped) > 0
}

// removable reports whether the job is cancelled, finished or transferred and
// has no live run.
func (j *job) removable() bool {
	return (j.cancelled || j.finalPhaseStored || j.transferredAway) && j.live == 0
}

// progressOf returns the progress records of the tasks of which a start was ordered.
func (d *Dispatcher) progressOf(j *job) []briarspring.TaskProgress {
	var list []briarspring.TaskProgress
	for _, t := range j.tasks {
		if t.lastRun == 0 && len(t.failedRuns) == 0 && !t.done {
			continue
		}
		p := briarspring.TaskProgress{
			Position: t.position, Done: t.done, FailedRuns: slices.Clone(t.failedRuns), Suspicion: t.suspicion,
			Run: t.lastRun, Started: t.started, Checkpoint: t.checkpoint,
		}
		if t.done {
			p.Checkpoint = ""
		}
		for _, r := range t.runs {
			p.Worker, p.DoubtLeft = r.worker.id, d.doubtLeft(r)
		}
		list = append(list, p)
	}
	return list
}

// Stored records that a batch is in the log. Workers may drop the ends that it
// covers.
func (d *Dispatcher) Stored(b Batch) {
	d.workersStored(b)
	for _, m := range b.ends {
		if m.worker.incarnation == m.incarnation {
			m.worker.lastEndStored = max(m.worker.lastEndStored, m.number)
		}
	}
	for _, r := range b.starts {
		d.sendStored(r)
	}
	for _, id := range b.dropped {
		j := d.jobs[id]
		switch {
		case j == nil:
		case j.removable():
			// A job with the same ID may come before the next batch.
			d.logUnrecorded(j, j.skipped())
			d.dropJob(j)
		default:
			// Tasks were transferred back while the batch was being stored.
			d.markDirty(j)
		}
	}
}

// sendStored sends a start that has been stored, unless it is not wanted or its
// worker takes no starts any more: the log may have been slow.
func (d *Dispatcher) sendStored(r *run) {
	switch {
	case r.worker.runs[r.ref] != r:
		// Lost with its worker.
	case r.stopping || d.outOfService || !r.worker.usable(d.now) || !d.mayOrder(d.now) || !d.maySend(r):
		d.removeUnstarted(r)
	default:
		d.sendStart(r)
	}
}

// PhaseChanged reports whether a phase changed since the last call of TakePhases.
func (d *Dispatcher) PhaseChanged() bool { return d.phaseChanged }

// TakePhases returns the records of the phases that changed, for the shared
// stream.
func (d *Dispatcher) TakePhases() []briarspring.KeyedRecord {
	d.phaseChanged = false
	var list []briarspring.KeyedRecord
	for id, j := range d.jobs {
		if j.phase == j.publishedPhase || j.cancelled || j.transferredAway {
			continue
		}
		key := registrar.RunningKey(id)
		if j.phase.Final() {
			key = registrar.FinalKey(id)
		}
		value, err := encoder.EncodePhase(j.phase)
		if err != nil {
			d.logger.Error("encoding phase failed", "workflow", id, "error", err)
			continue
		}
		j.publishedPhase = j.phase
		list = append(list, briarspring.KeyedRecord{Key: key, Value: value})
	}
	return list
}
