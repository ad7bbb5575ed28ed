package dispatcher

import (
	"briarspring"
	"briarspring/encoder"
	"briarspring/registrar"
)

// recordMark is the address of a worker that a batch records.
type recordMark struct {
	worker  *worker
	address string
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
		switch asked := d.unasked(w) == ""; {
		case asked && w.recordAddress != w.entry.Address:
			k := briarspring.KnownWorker{ID: w.id, Address: w.entry.Address, Service: w.entry.Service}
			value, err := encoder.EncodeKnownWorker(k)
			if err != nil {
				d.logger.Error("worker can't be encoded", "worker", w.id, "error", err)
			}
			w.recordAddress, w.recorded = k.Address, false
			if err != nil {
				continue
			}
			b.Progress = append(b.Progress, briarspring.KeyedRecord{Key: registrar.KnownWorkerKey(w.id), Value: value})
			b.workers = append(b.workers, recordMark{worker: w, address: k.Address})
		case !asked && w.recordAddress != "":
			w.recordAddress, w.recorded = "", false
			b.Progress = append(b.Progress, briarspring.KeyedRecord{Key: registrar.KnownWorkerKey(w.id)})
		}
	}
}

// workersStored records that a batch with records of workers is in the log.
func (d *Dispatcher) workersStored(b Batch) {
	for _, m := range b.workers {
		if m.worker.recordAddress == m.address {
			m.worker.recorded = true
			d.needsPlan = true
		}
	}
}
