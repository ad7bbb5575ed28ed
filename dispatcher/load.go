package dispatcher

import (
	"cmp"
	"slices"

	"briarspring"
)

const (
	// maxIdleImages limits the images for which idle processors are reported to
	// other data centres.
	maxIdleImages = 32
	// minIdleShare is the share of full speed at which an image must be able to
	// run on a worker for the idle processors there to be reported for it.
	minIdleShare = 0.7
	// typicalMilliCPU is the size of the task for which that share is computed.
	typicalMilliCPU = 2000
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
		b.Free += max(0, w.free().MilliCPU())
		b.Largest = max(b.Largest, w.free().MilliCPU())
		d.addIdle(b.IdleByImage, w, waiting)
	}
	for _, i := range waiting {
		b.IdleByImage[i.image] -= i.milliCPU
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
	image    string
	milliCPU int64
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
				sums[spec.Image] += 0 // Lists the image even if none of its tasks waits.
				if s.ready(d.now) {
					sums[spec.Image] += int64(s.waiting) * spec.Resources.MilliCPU()
				}
			}
		}
	}
	list := make([]imageDemand, 0, len(sums))
	for image, n := range sums {
		d.bestEffortImages[image] = true
		list = append(list, imageDemand{image: image, milliCPU: n})
	}
	for image := range d.bestEffortImages {
		if _, ok := sums[image]; !ok && len(list) < maxIdleImages {
			list = append(list, imageDemand{image: image})
		}
	}
	slices.SortFunc(list, func(a, b imageDemand) int {
		return cmp.Or(cmp.Compare(b.milliCPU, a.milliCPU), cmp.Compare(a.image, b.image))
	})
	return list[:min(len(list), maxIdleImages)]
}

// addIdle adds a worker's idle processors to the sum of each image that could
// use them.
func (d *Dispatcher) addIdle(idleByImage map[string]int64, w *worker, images []imageDemand) {
	idle := int64(w.idle())
	if idle <= 0 {
		return
	}
	for _, i := range images {
		if d.speedFraction(w, i.image, typicalMilliCPU) >= minIdleShare {
			idleByImage[i.image] += idle
		}
	}
}
