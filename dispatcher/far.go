package dispatcher

import "time"

// maxExtra bounds the learned extra time of runs far away, as a multiple of the
// setting's: estimates are off by a factor of up to two.
const maxExtra = 2

// farFactor is the learned factor of run times outside a good place.
type farFactor struct {
	setting float64 // At least one; zero for no waits.
	data    float64 // Of tasks away from the rack of their data.
	group   float64 // Of gangs on several racks.
}

func newFarFactor(setting float64) farFactor {
	if setting < 1 {
		return farFactor{}
	}
	return farFactor{setting: setting, data: setting, group: setting}
}

// enabled reports whether there are waits for a good place.
func (f *farFactor) enabled() bool { return f.setting >= 1 }

// of returns the factor of a step, or nil if no place is better for it than others.
func (f *farFactor) of(s *step) *float64 {
	switch spec := s.spec(); {
	case !f.enabled():
		return nil
	case spec.Gang && spec.OneRack:
		return &f.group
	case spec.Rack != "":
		return &f.data
	}
	return nil
}

// far reports whether a run is outside the good place of its step.
func (r *run) far() bool {
	s := r.task.step
	spec := s.spec()
	if !spec.Gang || !spec.OneRack {
		return spec.Rack != "" && spec.Rack != r.worker.entry.Rack
	}
	for w := range s.spread {
		if w.entry.Rack != r.worker.entry.Rack {
			return true
		}
	}
	return false
}

// farTimes returns the factor of the expected run time of a run.
func (d *Dispatcher) farTimes(r *run) float64 {
	if m := d.farFactor.of(r.task.step); m != nil && r.far() {
		return *m
	}
	return 1
}

// farCost returns the cost of a best-effort task away from its rack: that of being
// slowed as much, or the cost of a worker whose processors are all in use.
func (d *Dispatcher) farCost() float64 {
	if !d.farFactor.enabled() {
		return 1
	}
	return slowdownCost * (1 - 1/d.farFactor.data)
}

// learnFar updates the factor of runs far away after a successful one, and reports
// whether the run was one. Only first runs count, as others may have gone on from
// a checkpoint, and only in queues whose run times near are known.
func (d *Dispatcher) learnFar(r *run, estimate time.Duration) bool {
	m := d.farFactor.of(r.task.step)
	if m == nil || !r.far() {
		return false
	}
	ratio, ok := d.ratios[r.task.step.job.workflow.Queue]
	if !ok || r.ref.Run > 1 || ratio <= 0 {
		return true
	}
	measured := min(float64(d.now-r.since)/float64(estimate)/ratio, maxRatio)
	most := 1 + maxExtra*(d.farFactor.setting-1)
	*m = min(max(1, *m+ratioRate*(measured-*m)), most)
	return true
}
