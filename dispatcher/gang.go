package dispatcher

import (
	"slices"
	"time"

	"briarspring"
)

// lastRun returns the highest number of a run of the step's tasks.
func (s *step) lastRun() uint32 {
	highest := uint32(0)
	for _, t := range s.tasks {
		highest = max(highest, t.lastRun)
	}
	return highest
}

// save keeps a checkpoint. That of one member of a gang is valid for all, and all
// have to start from the same one.
func (t *task) save(checkpoint string) {
	t.checkpoint = checkpoint
	if !t.step.spec().Gang {
		return
	}
	for _, o := range t.step.tasks {
		o.checkpoint = checkpoint
	}
}

// breakPartial stops the rest of a gang of which a member is missing or about to
// stop. It answers members that failed, were refused or went with their worker:
// the others would hold their workers without working.
func (d *Dispatcher) breakPartial(s *step) {
	if !s.partial() {
		return
	}
	for _, t := range s.tasks {
		for _, r := range t.runs {
			d.stop(r, "a member of its gang is missing")
		}
	}
}

// partial reports whether some tasks of a gang have a run and not all of them
// one of the same number that goes on.
func (s *step) partial() bool {
	if s.left == 0 || s.waiting == s.left {
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

// booking is a worker that was chosen for a member of a gang.
type booking struct {
	task   *task
	worker *worker
	share  float64 // Of full speed.
	weight int64   // What the task adds to the worker's filling.
}

// assignGang starts all tasks of a gang, or none. It answers gangs of which only
// some members would find room: they would hold it for nothing. All members start
// with the same number of the run.
func (d *Dispatcher) assignGang(s *step) {
	if s.waiting != s.left || d.exhausted(s.tasks[0]) || slices.ContainsFunc(s.tasks, func(t *task) bool { return !t.pending() }) {
		return
	}
	bookings := d.bookGang(s)
	number := s.lastRun() + 1
	for _, p := range bookings {
		r := d.startRun(p.task, p.worker, number)
		if s.spec().Fills {
			d.setPace(r, percentOf(p.share))
		}
	}
}

// bookGang chooses workers for all members of a gang; nil while there is no room
// for all. Racks come first where one rack is better, until the gang has waited
// for as long as its tasks take: that is the least that several racks cost.
func (d *Dispatcher) bookGang(s *step) []booking {
	if !s.spec().OneRack {
		return d.bookAll(s)
	}
	for _, rack := range d.racks() {
		s.within = rack
		bookings := d.bookAll(s)
		s.within = ""
		if bookings != nil {
			return bookings
		}
	}
	if d.now-s.waitsSince() < d.expectedStep(s) && d.mayFitOneRack(s) {
		return nil
	}
	return d.bookAll(s)
}

// waitsSince returns since when all tasks of the step could have started.
func (s *step) waitsSince() time.Duration {
	since := time.Duration(0)
	for _, t := range s.tasks {
		since = max(since, t.readySince)
	}
	return since
}

// bookAll chooses workers for all tasks of a step; nil when one finds none.
func (d *Dispatcher) bookAll(s *step) []booking {
	var bookings []booking
	for _, t := range s.tasks {
		p := booking{task: t}
		if s.spec().Fills {
			p.worker, p.share = d.chooseFilling(t)
		} else {
			p.worker = d.bestReserved(t)
		}
		if p.worker == nil {
			if !s.spec().Fills && s.within == "" {
				d.makeRoom(t)
			}
			s.unbook(bookings)
			return nil
		}
		p.weight = p.worker.book(s.spec())
		s.spread[p.worker]++
		bookings = append(bookings, p)
	}
	s.unbook(bookings)
	return bookings
}

// unbook releases what was booked while the others were chosen.
func (s *step) unbook(bookings []booking) {
	for _, p := range bookings {
		p.worker.release(s.spec(), p.weight)
		if s.spread[p.worker]--; s.spread[p.worker] == 0 {
			delete(s.spread, p.worker)
		}
	}
}

// racks returns the names of all racks, in order.
func (d *Dispatcher) racks() []string {
	var racks []string
	for _, w := range d.order {
		if w.listed && w.entry.Rack != "" {
			racks = append(racks, w.entry.Rack)
		}
	}
	slices.Sort(racks)
	return slices.Compact(racks)
}

// mayFitOneRack reports whether one rack would have room for all members if
// nothing else ran there.
func (d *Dispatcher) mayFitOneRack(s *step) bool {
	spec := s.spec()
	fit := map[string]int{}
	for _, w := range d.order {
		if w.listed && !w.entry.Draining {
			fit[w.entry.Rack] += tasksOn(spec, w)
		}
	}
	for rack, n := range fit {
		if rack != "" && n >= spec.Tasks {
			return true
		}
	}
	return false
}

// tasksOn returns how many tasks of a step a worker has room for while nothing
// runs there.
func tasksOn(spec *briarspring.Step, w *worker) int {
	most := spec.Tasks
	if spec.MaxPerWorker > 0 {
		most = min(most, spec.MaxPerWorker)
	}
	n := 0
	for n < most && spec.Resources.Times(int64(n+1)).Fits(w.entry.Capacity) {
		n++
	}
	return n
}

// atSpeed reports whether all members of a gang could work at a speed at which
// progress is expected; one that is slowed holds the others back.
func (s *step) atSpeed(now time.Duration) bool {
	for _, t := range s.tasks {
		for _, r := range t.runs {
			if r.pace < stallPace || now-r.pacedAt < stallTime || !r.listed || now-r.since < stallTime {
				return false
			}
		}
	}
	return s.waiting == 0
}
