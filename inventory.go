package briarspring

import "slices"

// Inventory describes what a data centre has that tasks may require.
type Inventory struct {
	Token uint64 // Token of the owner that wrote it.
	Kinds []WorkerKind
	Racks []string // Sorted.
	// Workers are all workers that the owner may have used, sorted by ID. A new owner
	// asks them what they run, whether or not they are in the platform's list.
	Workers []KnownWorker
}

// KnownWorker is a worker that an owner may have used.
type KnownWorker struct {
	ID        string
	Address   string
	Service   string
	Restarted bool   // Its process is young, and the one before had the same ID.
	Since     uint64 // Token of the owner that first recorded it; zero if not known.
}

// Names reports whether two records name the same worker at the same address and of the
// same service.
func (k KnownWorker) Names(o KnownWorker) bool {
	return k.ID == o.ID && k.Address == o.Address && k.Service == o.Service
}

// WorkerKind is the workers of a service that have a label.
type WorkerKind struct {
	Service string
	Label   string // Empty for all workers of the service.
	Workers int
	Largest Resources // Maximum of a single worker for each resource.
}

// CanRun reports whether the workers could run a task of a step, or all members of a
// gang, if nothing else ran there.
func (v *Inventory) CanRun(service string, s *Step) bool {
	label := s.Requirement
	if _, isRack := slices.BinarySearch(v.Racks, label); isRack {
		label = ""
	}
	for _, k := range v.Kinds {
		if k.Service != service || k.Label != label {
			continue
		}
		if !s.Gang {
			return s.Resources.Fits(k.Largest)
		}
		return k.Workers*s.MaxOn(k.Largest) >= s.Tasks
	}
	return false
}

// HasRack reports whether the data centre has a rack.
func (v *Inventory) HasRack(rack string) bool {
	_, found := slices.BinarySearch(v.Racks, rack)
	return found
}

// MaxOn returns how many tasks of the step fit on an idle worker.
func (s *Step) MaxOn(capacity Resources) int {
	most := int64(s.Tasks)
	if s.MaxPerWorker > 0 {
		most = min(most, int64(s.MaxPerWorker))
	}
	for _, r := range [][2]int64{
		{s.Resources.milliCPU, capacity.milliCPU}, {s.Resources.memoryMiB, capacity.memoryMiB}, {s.Resources.accelerators, capacity.accelerators},
	} {
		if need, available := r[0], r[1]; need > 0 {
			most = min(most, max(0, available)/need)
		}
	}
	return int(most)
}
