package dispatcher

import (
	"slices"
	"time"
)

// lastRun returns the highest run number of the step's tasks.
func (s *step) lastRun() uint32 {
	highest := uint32(0)
	for _, t := range s.tasks {
		highest = max(highest, t.lastRun)
	}
	return highest
}

// saveCheckpoint records a checkpoint of the task. A checkpoint of one member
// of a gang is valid for all, and all have to start from the same one.
func (t *task) saveCheckpoint(checkpoint string) {
	t.checkpoint = checkpoint
	if !t.step.spec().Gang {
		return
	}
	for _, o := range t.step.tasks {
		o.checkpoint = checkpoint
	}
}

// stopPartialGang stops the remaining runs of a gang with a member that is
// missing or stopping, because it failed, was refused or was lost with its
// worker. The others would occupy their workers without working.
func (d *Dispatcher) stopPartialGang(s *step) {
	if !s.partial() {
		return
	}
	for _, t := range s.tasks {
		for _, r := range t.runs {
			d.stop(r, "gang lost a member")
		}
	}
}

// partial reports whether a gang has runs but is not complete: complete means
// that every task has exactly one run, that all runs have the same number, and
// that none is stopping.
func (s *step) partial() bool {
	if s.unfinished == 0 || s.waiting == s.unfinished {
		return false
	}
	highest := s.lastRun()
	for _, t := range s.tasks {
		if len(t.runs) != 1 || t.runs[0].stopping || t.runs[0].ref.Run != highest {
			return true
		}
	}
	return false
}

// placement is the worker chosen for a member of a gang.
type placement struct {
	task          *task
	worker        *worker
	share         float64 // Share of full speed.
	bestEffortCPU int64   // What the task adds to the worker's bestEffortCPU.
}

// assignGang starts all tasks of a gang or none, because members that started
// alone would occupy their workers for nothing. All members start with the same
// run number.
func (d *Dispatcher) assignGang(s *step) {
	if s.waiting != s.unfinished || slices.ContainsFunc(s.tasks, func(t *task) bool { return !d.mayStart(t) }) {
		return
	}
	placements := d.placeGang(s)
	number := s.lastRun() + 1
	if len(placements) > 0 && d.farFactor.enabled() {
		d.endPlaceWait(s.tasks[0], spreadOverRacks(placements))
	}
	for _, p := range placements {
		r := d.startRun(p.task, p.worker, number)
		if s.spec().BestEffort {
			d.setPace(r, percentOf(p.share))
		}
	}
}

// placeGang chooses workers for all members of a gang, or returns nil if there
// is no room for all. A gang with OneRack set may wait for room on a single rack.
func (d *Dispatcher) placeGang(s *step) []placement {
	if !s.spec().OneRack {
		return d.placeAll(s)
	}
	for _, rack := range d.racks() {
		s.rack = rack
		placements := d.placeAll(s)
		s.rack = ""
		if placements != nil {
			return placements
		}
	}
	if d.waitsForOneRack(s) {
		return nil
	}
	return d.placeAll(s)
}

// waitsForOneRack reports whether a gang that fits on no single rack at present
// waits for one. Without a multiplier it does for up to the expected run time of
// its tasks, because running on several racks delays it by at least that much.
func (d *Dispatcher) waitsForOneRack(s *step) bool {
	if d.farFactor.enabled() {
		return d.mayFitOneRack(s) && d.holdGang(s)
	}
	return d.now-s.readySince() < d.expectedRunTime(s) && d.mayFitOneRack(s)
}

// readySince returns the time from which all tasks of the step could have
// started.
func (s *step) readySince() time.Duration {
	since := time.Duration(0)
	for _, t := range s.tasks {
		since = max(since, t.readySince)
	}
	return since
}

// placeAll chooses workers for all tasks of a step, or returns nil if one of
// them fits nowhere.
func (d *Dispatcher) placeAll(s *step) []placement {
	var placements []placement
	for _, t := range s.tasks {
		p := placement{task: t}
		if s.spec().BestEffort {
			p.worker, p.share = d.chooseBestEffort(t)
		} else {
			p.worker = d.bestReserved(t)
		}
		if p.worker == nil {
			if !s.spec().BestEffort && s.rack == "" {
				d.preemptFor(t)
			}
			s.releasePlacements(placements)
			return nil
		}
		p.bestEffortCPU = p.worker.reserve(s.spec())
		s.spread[p.worker]++
		placements = append(placements, p)
	}
	s.releasePlacements(placements)
	return placements
}

// spreadOverRacks reports whether placements are on several racks.
func spreadOverRacks(placements []placement) bool {
	return slices.ContainsFunc(placements, func(p placement) bool { return p.worker.entry.Rack != placements[0].worker.entry.Rack })
}

// releasePlacements releases what was reserved for placements while the others
// were chosen.
func (s *step) releasePlacements(placements []placement) {
	for _, p := range placements {
		p.worker.release(s.spec(), p.bestEffortCPU)
		if s.spread[p.worker]--; s.spread[p.worker] == 0 {
			delete(s.spread, p.worker)
		}
	}
}

// racks returns the names of all racks, sorted.
func (d *Dispatcher) racks() []string {
	var racks []string
	for _, w := range d.workersByID {
		if w.listed && w.entry.Rack != "" {
			racks = append(racks, w.entry.Rack)
		}
	}
	slices.Sort(racks)
	return slices.Compact(racks)
}

// mayFitOneRack reports whether some rack would have room for all members if it
// were empty.
func (d *Dispatcher) mayFitOneRack(s *step) bool {
	spec := s.spec()
	fit := map[string]int{}
	for _, w := range d.workersByID {
		if w.listed && !w.entry.Draining {
			fit[w.entry.Rack] += spec.MaxOn(w.entry.Capacity)
		}
	}
	for rack, n := range fit {
		if rack != "" && n >= spec.Tasks {
			return true
		}
	}
	return false
}

// atSpeed reports whether all members of a gang run at a pace at which progress
// is expected; one slowed member holds the others back.
func (s *step) atSpeed(now time.Duration) bool {
	for _, t := range s.tasks {
		for _, r := range t.runs {
			if r.pace < stallPace || now-r.paceChangedAt < stallTime || !r.listed || now-r.since < stallTime {
				return false
			}
		}
	}
	return s.waiting == 0
}
