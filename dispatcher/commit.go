package dispatcher

import (
	"slices"

	"briarspring"
	"briarspring/encoder"
	"briarspring/registrar"
)

// Batch is what is to be stored together.
type Batch struct {
	Progress []briarspring.KeyedRecord // For the data centre's progress stream.
	ends     []endMark
	dropped  []briarspring.WorkflowID
}

// endMark tells up to which end of a worker a batch covers.
type endMark struct {
	worker *worker
	born   int64
	number uint64
}

func (d *Dispatcher) markDirty(j *job) {
	if j != nil {
		d.dirty[j.workflow.ID] = j
	}
}

// TakeBatch returns the progress records that are to be stored next; false when
// there is nothing to store.
func (d *Dispatcher) TakeBatch() (Batch, bool) {
	var b Batch
	for id, j := range d.dirty {
		delete(d.dirty, id)
		if j.recorded || j.cancelled || j.away {
			continue
		}
		value, err := encoder.RunProgress(j.progress())
		if err != nil {
			d.logger.Error("progress can't be encoded", "workflow", id, "error", err)
			continue
		}
		j.hasRecord = true
		b.Progress = append(b.Progress, briarspring.KeyedRecord{Key: string(id), Value: value})
	}
	for id, j := range d.jobs {
		if !j.finished() {
			continue
		}
		if j.hasRecord {
			b.Progress = append(b.Progress, briarspring.KeyedRecord{Key: string(id)})
		}
		b.dropped = append(b.dropped, id)
	}
	for _, w := range d.order {
		if w.seen > w.stored {
			b.ends = append(b.ends, endMark{worker: w, born: w.born, number: w.seen})
		}
	}
	return b, len(b.Progress)+len(b.ends)+len(b.dropped) > 0
}

// finished reports whether nothing more can become of the job.
func (j *job) finished() bool {
	return (j.cancelled || j.recorded || j.away) && j.alive() == 0
}

// progress returns what is to be kept of the tasks that have run.
func (j *job) progress() []briarspring.TaskProgress {
	var list []briarspring.TaskProgress
	for _, t := range j.tasks {
		if t.lastRun == 0 && len(t.failedRuns) == 0 && !t.done {
			continue
		}
		p := briarspring.TaskProgress{
			Position: t.position, Done: t.done, FailedRuns: slices.Clone(t.failedRuns), Run: t.lastRun, Checkpoint: t.checkpoint,
		}
		if t.done {
			p.Checkpoint = ""
		}
		for _, r := range t.runs {
			p.Worker = r.worker.id
		}
		list = append(list, p)
	}
	return list
}

// Stored tells that a batch is in the log. Ends that it covers may be forgotten
// by their workers.
func (d *Dispatcher) Stored(b Batch) {
	for _, m := range b.ends {
		if m.worker.born == m.born {
			m.worker.stored = max(m.worker.stored, m.number)
		}
	}
	for _, id := range b.dropped {
		j := d.jobs[id]
		switch {
		case j == nil:
		case j.finished():
			delete(d.jobs, id)
		default:
			// Tasks came back while the batch was on its way.
			d.markDirty(j)
		}
	}
}

// TakePhases returns the phases that changed, for the shared stream.
func (d *Dispatcher) TakePhases() []briarspring.KeyedRecord {
	var list []briarspring.KeyedRecord
	for id, j := range d.jobs {
		if j.phase == j.published || j.cancelled || j.away {
			continue
		}
		key := registrar.RunningKey(id)
		if j.phase.Final() {
			key = registrar.FinalKey(id)
		}
		value, err := encoder.PhaseMark(j.phase)
		if err != nil {
			d.logger.Error("phase can't be encoded", "workflow", id, "error", err)
			continue
		}
		j.published = j.phase
		list = append(list, briarspring.KeyedRecord{Key: key, Value: value})
	}
	return list
}
