package dispatcher

import (
	"cmp"
	"slices"

	"briarspring"
)

const (
	// maxRoomImages limits the images whose room is reported to other data
	// centres.
	maxRoomImages = 32
	// minRoomShare is the share of full speed from which idle processors count
	// as room for an image.
	minRoomShare = 0.7
	// typicalCores is the size of the task for which room is computed.
	typicalCores = 2.0
)

// Load returns the backlog of declared work and the free processors, as
// reported to other data centres.
func (d *Dispatcher) Load() briarspring.OwnerHeartbeat {
	b := briarspring.OwnerHeartbeat{Token: d.config.Token, IdleByImage: map[string]int64{}}
	waiting := d.bestEffortDemand()
	for _, w := range d.workersByID {
		if !w.acceptsStarts(d.now) {
			continue
		}
		b.Total += w.entry.Capacity.MilliCPU()
		b.Free += w.free().MilliCPU()
		b.Largest = max(b.Largest, w.free().MilliCPU())
		d.addRooms(b.IdleByImage, w, waiting)
	}
	for _, i := range waiting {
		b.IdleByImage[i.image] -= i.cores
	}
	for _, j := range d.jobs {
		if !j.inactive() && !j.workflow.LongRunning() {
			b.Backlog += j.unfinishedDueWork(d.now)
		}
	}
	return b
}

// imageDemand is the processor demand of waiting best-effort tasks of an image.
type imageDemand struct {
	image string
	cores int64 // In millicores.
}

// bestEffortDemand returns the images of best-effort tasks, sorted by
// descending demand.
func (d *Dispatcher) bestEffortDemand() []imageDemand {
	sums := map[string]int64{}
	for _, j := range d.jobs {
		if j.inactive() {
			continue
		}
		for _, s := range j.steps {
			if spec := s.spec(); spec.BestEffort && s.unfinished > 0 {
				sums[spec.Image] += 0
				if s.ready(d.now) {
					sums[spec.Image] += int64(s.waiting) * spec.Resources.MilliCPU()
				}
			}
		}
	}
	list := make([]imageDemand, 0, len(sums))
	for image, n := range sums {
		d.bestEffortImages[image] = true
		list = append(list, imageDemand{image: image, cores: n})
	}
	for image := range d.bestEffortImages {
		if _, ok := sums[image]; !ok && len(list) < maxRoomImages {
			list = append(list, imageDemand{image: image})
		}
	}
	slices.SortFunc(list, func(a, b imageDemand) int {
		return cmp.Or(cmp.Compare(b.cores, a.cores), cmp.Compare(a.image, b.image))
	})
	return list[:min(len(list), maxRoomImages)]
}

// addRooms adds a worker's idle processors to the room of each image that could
// use them.
func (d *Dispatcher) addRooms(rooms map[string]int64, w *worker, images []imageDemand) {
	idle := int64(w.idle())
	if idle <= 0 {
		return
	}
	var latency []ServingTask
	var bestEffort []BestEffortTask
	if d.config.Pacer != nil {
		latency, bestEffort = w.latencyTasks(d.now), w.bestEffortTasks()
	}
	for _, i := range images {
		if d.config.Pacer == nil || d.config.Pacer.SpeedFraction(w.id, i.image, typicalCores, latency, bestEffort) >= minRoomShare {
			rooms[i.image] += idle
		}
	}
}
