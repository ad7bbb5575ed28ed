package dispatcher

import (
	"cmp"
	"slices"

	"briarspring"
)

const (
	// maxRooms bounds the images whose room is told to other data centres.
	maxRooms = 32
	// goodShare of full speed at which idle processors count as room.
	goodShare = 0.7
	// usualCores of a task, for which room is looked at.
	usualCores = 2.0
)

// Load returns the declared work that waits and the state of the processors.
func (d *Dispatcher) Load() briarspring.OwnerBeat {
	b := briarspring.OwnerBeat{Token: d.config.Token, Rooms: map[string]int64{}}
	waiting := d.waitingByImage()
	for _, w := range d.order {
		if !w.takesStarts(d.now) {
			continue
		}
		b.Total += w.entry.Capacity.MilliCPU()
		b.Free += w.free().MilliCPU()
		b.Largest = max(b.Largest, w.free().MilliCPU())
		d.addRooms(b.Rooms, w, waiting)
	}
	for _, i := range waiting {
		b.Rooms[i.image] -= i.cores
	}
	for _, j := range d.jobs {
		if !j.over() && !j.workflow.Lasting() {
			b.Backlog += j.dueWork(d.now)
		}
	}
	return b
}

// imageDemand is what tasks of an image that fill wait for.
type imageDemand struct {
	image string
	cores int64 // Thousandths.
}

// waitingByImage returns the images of tasks that fill, those with most waiting
// first.
func (d *Dispatcher) waitingByImage() []imageDemand {
	sums := map[string]int64{}
	for _, j := range d.jobs {
		if j.over() {
			continue
		}
		for _, s := range j.steps {
			if spec := s.spec(); spec.Fills && s.left > 0 {
				sums[spec.Image] += 0
				if s.ready(d.now) {
					sums[spec.Image] += int64(s.waiting) * spec.Resources.MilliCPU()
				}
			}
		}
	}
	list := make([]imageDemand, 0, len(sums))
	for image, n := range sums {
		d.imagesSeen[image] = true
		list = append(list, imageDemand{image: image, cores: n})
	}
	for image := range d.imagesSeen {
		if _, ok := sums[image]; !ok && len(list) < maxRooms {
			list = append(list, imageDemand{image: image})
		}
	}
	slices.SortFunc(list, func(a, b imageDemand) int {
		return cmp.Or(cmp.Compare(b.cores, a.cores), cmp.Compare(a.image, b.image))
	})
	return list[:min(len(list), maxRooms)]
}

// addRooms adds a worker's idle processors for each image that could use them.
func (d *Dispatcher) addRooms(rooms map[string]int64, w *worker, images []imageDemand) {
	idle := int64(w.idle())
	if idle <= 0 {
		return
	}
	var serving []Serving
	var filling []Filling
	if d.config.Pacer != nil {
		serving, filling = w.servingTasks(d.now), w.fillingTasks()
	}
	for _, i := range images {
		if d.config.Pacer == nil || d.config.Pacer.Share(w.id, i.image, usualCores, serving, filling) >= goodShare {
			rooms[i.image] += idle
		}
	}
}
