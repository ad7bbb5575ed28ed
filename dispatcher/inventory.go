package dispatcher

import (
	"cmp"
	"slices"
	"time"

	"briarspring"
)

// absenceTime is how long a worker may be silent until it no longer counts as present
// in the data centre.
const absenceTime = 3 * time.Second

// present reports whether the worker belongs to the data centre for now, whether or
// not it has room.
func (w *worker) present(now time.Duration) bool {
	return w.listed && !w.entry.Draining && now-max(w.answeredAt, w.listedAt) < absenceTime
}

// Inventory returns what the data centre has that tasks may require, or false before
// the list of workers was read.
func (d *Dispatcher) Inventory(now time.Duration) (briarspring.Inventory, bool) {
	v := briarspring.Inventory{Token: d.config.Token}
	kinds := map[[2]string]*briarspring.WorkerKind{}
	for _, w := range d.workersByID {
		if !w.present(now) {
			continue
		}
		addKind(kinds, w, "")
		for _, label := range w.entry.Labels {
			if label != w.entry.Rack && label != "" {
				addKind(kinds, w, label)
			}
		}
		if w.entry.Rack != "" {
			v.Racks = append(v.Racks, w.entry.Rack)
		}
	}
	for _, k := range kinds {
		v.Kinds = append(v.Kinds, *k)
	}
	slices.SortFunc(v.Kinds, func(a, b briarspring.WorkerKind) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Label, b.Label))
	})
	for id, address := range d.Workers() {
		v.Workers = append(v.Workers, briarspring.KnownWorker{ID: id, Address: address, Service: d.workers[id].entry.Service})
	}
	slices.SortFunc(v.Workers, func(a, b briarspring.KnownWorker) int { return cmp.Compare(a.ID, b.ID) })
	slices.Sort(v.Racks)
	v.Racks = slices.Compact(v.Racks)
	return v, d.workersListed
}

func addKind(kinds map[[2]string]*briarspring.WorkerKind, w *worker, label string) {
	key := [2]string{w.entry.Service, label}
	if kinds[key] == nil {
		kinds[key] = &briarspring.WorkerKind{Service: w.entry.Service, Label: label}
	}
	kinds[key].Workers++
	kinds[key].Largest = kinds[key].Largest.Max(w.entry.Capacity)
}

// runnable reports whether some present worker could run a task of a step if nothing
// else ran there.
func (d *Dispatcher) runnable(s *step) bool {
	spec := s.spec()
	return slices.ContainsFunc(d.workersByID, func(w *worker) bool {
		return w.present(d.now) && w.entry.Service == s.job.workflow.Service && spec.Resources.Fits(w.entry.Capacity) &&
			(spec.Requirement == "" || slices.Contains(w.entry.Labels, spec.Requirement))
	})
}

// AddKnownWorkers adds the workers that earlier owners may have used. It precedes the
// first call of SetWorkers.
func (d *Dispatcher) AddKnownWorkers(list []briarspring.KnownWorker) {
	for _, k := range list {
		d.addKnownWorker(k)
	}
}

// AddRecordedWorkers adds the workers that earlier owners have recorded in the progress
// stream. It precedes the first call of SetWorkers.
func (d *Dispatcher) AddRecordedWorkers(list []briarspring.KnownWorker) {
	for _, k := range list {
		w := d.addKnownWorker(k)
		w.record, w.recorded, w.restarted = k, true, k.Restarted
		w.inLog, w.inheritedRecord, w.recordSince = true, true, k.Since
	}
}

func (d *Dispatcher) addKnownWorker(k briarspring.KnownWorker) *worker {
	w := d.worker(k.ID)
	w.named = true
	w.entry = briarspring.WorkerEntry{ID: k.ID, Address: k.Address, Service: k.Service, DataCentre: d.config.DataCentre}
	return w
}
