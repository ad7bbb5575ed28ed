package dispatcher

import (
	"briarspring"
	"briarspring/encoder"
	"briarspring/registrar"
)

// recordMark is a record of a worker in a batch.
type recordMark struct {
	worker *worker
	record briarspring.KnownWorker
}

// takeWorkerRecords adds the records of the workers that a new owner has to ask, and the
// deletions of those that it hasn't any more, to a batch. They go to the progress stream
// since appends there are carried out in order, and none after a newer owner has read
// it. A worker is used once its record is stored.
func (d *Dispatcher) takeWorkerRecords(b *Batch) {
	if !d.config.RecordedOnly {
		return
	}
	for _, w := range d.workersByID {
		if w.record == (briarspring.KnownWorker{}) && !w.inLog {
			w.recordSince = d.config.Token
		}
		switch k, asked := w.known(), d.unasked(w) == ""; {
		case asked && w.record != k:
			// A worker that has restarted is used on, also while nothing can be stored.
			w.recorded = w.recorded && w.record.Names(k)
			w.record, w.inLog = k, true
			value, err := encoder.EncodeKnownWorker(k)
			if err != nil {
				d.logger.Error("worker can't be encoded", "worker", w.id, "error", err)
				continue
			}
			b.Progress = append(b.Progress, briarspring.KeyedRecord{Key: registrar.KnownWorkerKey(w.id), Value: value})
			b.workers = append(b.workers, recordMark{worker: w, record: k})
		case !asked && w.record != (briarspring.KnownWorker{}):
			w.record, w.recorded = briarspring.KnownWorker{}, false
			b.Progress = append(b.Progress, briarspring.KeyedRecord{Key: registrar.KnownWorkerKey(w.id)})
			b.workers = append(b.workers, recordMark{worker: w})
		}
	}
}

// known returns the record that a worker should have.
func (w *worker) known() briarspring.KnownWorker {
	return briarspring.KnownWorker{ID: w.entry.ID, Address: w.entry.Address, Service: w.entry.Service, Restarted: w.restarted, Since: w.recordSince}
}

// workersStored records that a batch with records of workers is in the log.
func (d *Dispatcher) workersStored(b Batch) {
	for _, m := range b.workers {
		switch {
		case m.worker.record != m.record:
		case m.record == briarspring.KnownWorker{}:
			m.worker.inLog = false
		default:
			m.worker.recorded = true
			d.needsPlan = true
		}
	}
}
