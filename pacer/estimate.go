package pacer

import (
	"maps"
	"math"
	"slices"

	"briarspring"
)

const (
	// priorSpread is how large a rise per core may be before anything was
	// measured, as a share of the target.
	priorSpread = 0.3
	// noiseSpread of a reading around the estimate, as a share of the target.
	noiseSpread = 0.35
	// keepShare of the weight of all earlier readings that is kept with each new
	// one: the estimates rest on about 600 readings, ten seconds of a data centre
	// with 16 workers.
	keepShare = 0.9983
	// maxReading bounds a tail in multiples of its target, so that single peaks
	// do not outweigh hundreds of readings.
	maxReading = 3.0
	// maxImages bounds the images that are told apart beside one that serves.
	maxImages = 32
	// maxVariance keeps old estimates from becoming arbitrary while an image is
	// not seen.
	maxVariance = priorSpread * priorSpread
)

// estimate is a linear model of the tail of the tasks of one image: a constant,
// and a rise for each core that tasks of another image use beside it. It is
// fitted by recursive least squares with exponential forgetting.
type estimate struct {
	index map[string]int
	value []float64   // The constant, then the rises.
	cov   [][]float64 // Covariance of the values.
}

func newEstimate() *estimate {
	e := &estimate{index: map[string]int{}}
	e.grow(1)
	return e
}

// grow adds an unknown value.
func (e *estimate) grow(variance float64) {
	for i := range e.cov {
		e.cov[i] = append(e.cov[i], 0)
	}
	e.value = append(e.value, 0)
	row := make([]float64, len(e.value))
	row[len(row)-1] = variance
	e.cov = append(e.cov, row)
}

// at returns the position of an image; false when there are too many.
func (e *estimate) at(image string) (int, bool) {
	if i, ok := e.index[image]; ok {
		return i, true
	}
	if len(e.index) >= maxImages {
		return 0, false
	}
	e.grow(maxVariance)
	e.index[image] = len(e.value) - 1
	return len(e.value) - 1, true
}

// observe takes a reading of a tail with the cores in use beside it by image.
func (e *estimate) observe(tail float64, cores map[string]float64) {
	positions := make([]int, 1, len(cores)+1)
	inputs := make([]float64, 1, len(cores)+1)
	inputs[0] = 1
	for image, n := range cores {
		if i, ok := e.at(image); ok && n > 0 {
			positions = append(positions, i)
			inputs = append(inputs, n)
		}
	}
	e.update(min(tail, maxReading), positions, inputs)
}

// update makes one step of recursive least squares with sparse inputs.
func (e *estimate) update(y float64, positions []int, inputs []float64) {
	n := len(e.value)
	gain := make([]float64, n)
	for i := range n {
		for k, p := range positions {
			gain[i] += e.cov[i][p] * inputs[k]
		}
	}
	predicted, spread := 0.0, noiseSpread*noiseSpread
	for k, p := range positions {
		predicted += e.value[p] * inputs[k]
		spread += inputs[k] * gain[p]
	}
	miss := y - predicted
	for i := range n {
		e.value[i] += gain[i] / spread * miss
	}
	for i := range n {
		for j := range n {
			e.cov[i][j] = (e.cov[i][j] - gain[i]*gain[j]/spread) / keepShare
		}
	}
	e.bound()
}

// bound keeps variances from growing without end while nothing is measured.
func (e *estimate) bound() {
	for i := range e.cov {
		if v := e.cov[i][i]; v > maxVariance && i > 0 {
			shrink := math.Sqrt(maxVariance / v)
			for j := range e.cov {
				e.cov[i][j] *= shrink
				e.cov[j][i] *= shrink
			}
		}
	}
}

// rise returns the expected rise of the tail for each core that tasks of an
// image use, and the standard error of that.
func (e *estimate) rise(image string) (perCore, spread float64) {
	i, ok := e.index[image]
	if !ok {
		return 0, priorSpread
	}
	return max(0, e.value[i]), math.Sqrt(max(0, e.cov[i][i]))
}

const (
	// knownSpread is the standard error below which a rise is told to others.
	knownSpread = 0.12
	// adoptFactor is how many times larger than a told variance the own one must
	// be before the told value is taken over.
	adoptFactor = 4.0
	// adoptVariance is the least variance of a value that was taken over: amounts
	// drift, and differ a little between data centres.
	adoptVariance = 0.005
)

// tell returns what is known well.
func (e *estimate) tell(serving string) briarspring.PressModel {
	m := briarspring.PressModel{Serving: serving, Constant: e.value[0]}
	for _, image := range slices.Sorted(maps.Keys(e.index)) {
		i := e.index[image]
		if e.cov[i][i] > 0 && e.cov[i][i] < knownSpread*knownSpread {
			m.Pairs = append(m.Pairs, briarspring.PressPair{Image: image, Rise: e.value[i], Variance: e.cov[i][i]})
		}
	}
	return m
}

// adopt takes over what another owner knows much better.
func (e *estimate) adopt(m briarspring.PressModel) {
	for _, p := range m.Pairs {
		variance := max(adoptVariance, p.Variance)
		if i, ok := e.at(p.Image); ok && e.cov[i][i] > adoptFactor*variance {
			e.set(i, p.Rise, variance)
		}
	}
	if variance := float64(adoptVariance); len(m.Pairs) > 0 && e.cov[0][0] > adoptFactor*variance {
		e.set(0, m.Constant, variance)
	}
}

// set gives a value that does not depend on the others.
func (e *estimate) set(i int, value, variance float64) {
	e.value[i] = value
	for j := range e.cov {
		e.cov[i][j] = 0
		e.cov[j][i] = 0
	}
	e.cov[i][i] = variance
}
