package pacer

import (
	"maps"
	"math"
	"slices"
	"time"

	"briarspring"
)

const (
	// priorStdDev is the standard deviation of the rise per core before the
	// first measurement, as a fraction of the target.
	priorStdDev = 0.3
	// measurementStdDev is the standard deviation of a measured tail around the
	// prediction, as a fraction of the target.
	measurementStdDev = 0.35
	// memoryTime and memoryReadings set how long measurements count: interference
	// drifts within seconds, but an estimate needs some hundred measurements. A
	// data centre with 16 workers takes 600 in ten seconds, one with 220 in one.
	memoryTime     = 10 * time.Second
	memoryReadings = 600
	// maxTail caps a measured tail in multiples of its target, so that single
	// peaks don't outweigh hundreds of measurements.
	maxTail = 3.0
	// maxImages limits the coefficients of one model; further images are ignored.
	maxImages = 32
	// maxVariance keeps the estimate for an image from becoming arbitrary while
	// the image doesn't run.
	maxVariance = priorStdDev * priorStdDev
)

// tailModel is a linear model of the tail latency of one serving image: a
// constant, and a rise for each core that another image uses on the same worker.
// It is fitted by recursive least squares with exponential forgetting.
type tailModel struct {
	index map[string]int // Position of an image in value and cov.
	value []float64      // Coefficients: the constant, then the rise per core of each image.
	cov   [][]float64    // Covariance of the coefficients.
	at    time.Duration  // Time of the last measurement.
}

func newTailModel() *tailModel {
	t := &tailModel{index: map[string]int{}}
	t.addCoefficient(1)
	return t
}

// addCoefficient adds a coefficient of zero with the given variance.
func (t *tailModel) addCoefficient(variance float64) {
	for i := range t.cov {
		t.cov[i] = append(t.cov[i], 0)
	}
	t.value = append(t.value, 0)
	row := make([]float64, len(t.value))
	row[len(row)-1] = variance
	t.cov = append(t.cov, row)
}

// position returns the position of an image, which is added if necessary. It
// returns false if the model already has maxImages.
func (t *tailModel) position(image string) (int, bool) {
	if i, ok := t.index[image]; ok {
		return i, true
	}
	if len(t.index) >= maxImages {
		return 0, false
	}
	t.addCoefficient(maxVariance)
	t.index[image] = len(t.value) - 1
	return len(t.value) - 1, true
}

// observe fits the model to a measured tail and the cores that each image used
// on the worker.
func (t *tailModel) observe(now time.Duration, tail float64, cores map[string]float64) {
	positions := make([]int, 1, len(cores)+1)
	inputs := make([]float64, 1, len(cores)+1)
	inputs[0] = 1
	for image, n := range cores {
		if i, ok := t.position(image); ok && n > 0 {
			positions = append(positions, i)
			inputs = append(inputs, n)
		}
	}
	t.update(min(tail, maxTail), positions, inputs, t.forget(now))
}

// forget returns the fraction of their weight that earlier measurements keep:
// that of memoryTime or of memoryReadings, whichever remembers longer.
func (t *tailModel) forget(now time.Duration) float64 {
	passed := max(0, now-t.at)
	t.at = max(t.at, now)
	return math.Exp(-min(passed.Seconds()/memoryTime.Seconds(), 1.0/memoryReadings))
}

// update does one step of recursive least squares with sparse inputs. Earlier
// measurements keep the fraction kept of their weight.
func (t *tailModel) update(y float64, positions []int, inputs []float64, kept float64) {
	n := len(t.value)
	gain := make([]float64, n)
	for i := range n {
		for k, p := range positions {
			gain[i] += t.cov[i][p] * inputs[k]
		}
	}
	predicted, innovationVariance := 0.0, measurementStdDev*measurementStdDev
	for k, p := range positions {
		predicted += t.value[p] * inputs[k]
		innovationVariance += inputs[k] * gain[p]
	}
	residual := y - predicted
	for i := range n {
		t.value[i] += gain[i] / innovationVariance * residual
	}
	for i := range n {
		for j := range n {
			t.cov[i][j] = (t.cov[i][j] - gain[i]*gain[j]/innovationVariance) / kept
		}
	}
	t.capVariances()
}

// capVariances keeps variances from growing without limit while nothing is
// measured.
func (t *tailModel) capVariances() {
	for i := range t.cov {
		if v := t.cov[i][i]; v > maxVariance && i > 0 {
			shrink := math.Sqrt(maxVariance / v)
			for j := range t.cov {
				t.cov[i][j] *= shrink
				t.cov[j][i] *= shrink
			}
		}
	}
}

// rise returns the expected rise of the tail for each core that an image uses,
// and its standard error.
func (t *tailModel) rise(image string) (perCore, stdErr float64) {
	i, ok := t.index[image]
	if !ok {
		return 0, priorStdDev
	}
	return max(0, t.value[i]), math.Sqrt(max(0, t.cov[i][i]))
}

const (
	// maxSharedStdErr is the standard error below which a rise is shared with
	// other owners.
	maxSharedStdErr = 0.12
	// adoptFactor is the ratio of the local variance to the received one above
	// which the received value replaces the local one.
	adoptFactor = 4.0
	// minAdoptedVariance is the lowest variance assumed for a received value: the
	// effects drift, and differ slightly between data centres.
	minAdoptedVariance = 0.005
)

// export returns the coefficients whose standard error is below maxSharedStdErr.
func (t *tailModel) export(serving string) briarspring.InterferenceModel {
	m := briarspring.InterferenceModel{Serving: serving, Constant: t.value[0]}
	for _, image := range slices.Sorted(maps.Keys(t.index)) {
		i := t.index[image]
		if t.cov[i][i] > 0 && t.cov[i][i] < maxSharedStdErr*maxSharedStdErr {
			m.Pairs = append(m.Pairs, briarspring.InterferencePair{Image: image, Rise: t.value[i], Variance: t.cov[i][i]})
		}
	}
	return m
}

// adopt replaces coefficients that another owner has estimated much more
// precisely.
func (t *tailModel) adopt(m briarspring.InterferenceModel) {
	for _, p := range m.Pairs {
		variance := max(minAdoptedVariance, p.Variance)
		if i, ok := t.position(p.Image); ok && t.cov[i][i] > adoptFactor*variance {
			t.set(i, p.Rise, variance)
		}
	}
	if variance := float64(minAdoptedVariance); len(m.Pairs) > 0 && t.cov[0][0] > adoptFactor*variance {
		t.set(0, m.Constant, variance)
	}
}

// set replaces a coefficient and clears its covariance with the others.
func (t *tailModel) set(i int, value, variance float64) {
	t.value[i] = value
	for j := range t.cov {
		t.cov[i][j] = 0
		t.cov[j][i] = 0
	}
	t.cov[i][i] = variance
}
