package sageload

// Detector recognises a cold upstream by its latency alone. It compares a fast exponential moving
// average with a slow one, which is frozen while the upstream counts as cold.
//
// Two thresholds and a minimum number of consecutive samples keep one slow response, or latency near a
// threshold, from restarting the ramp repeatedly. The observed latency must not grow with the size of
// the request; the time to the first token per uncached prompt token is suitable.
type Detector struct {
	// EnterFactor and LeaveFactor are multiples of the slow average: above the first an upstream turns
	// cold, below the second it is warm again. EnterFactor must be greater. Zero means 3 and 1.5.
	EnterFactor, LeaveFactor float64
	// MinSamples is the number of consecutive samples beyond a threshold that change the state; zero
	// means 8.
	MinSamples int

	fastMean, slowMean float64
	count              int
	beyondCount        int
	cold               bool
}

// Weights of one sample in the moving averages.
const (
	fastWeight = 0.3
	slowWeight = 0.01
	// warmupSamples is the number of samples before the slow average is used for comparison.
	warmupSamples = 32
)

// Observe records one latency and reports whether the upstream has just turned cold.
func (d *Detector) Observe(latency float64) bool {
	if d.count == 0 {
		d.fastMean, d.slowMean = latency, latency
	}
	d.count++
	d.fastMean += fastWeight * (latency - d.fastMean)
	if !d.cold {
		weight := slowWeight
		if d.count <= warmupSamples {
			weight = 1 / float64(d.count)
		}
		if d.fastMean < d.enterFactor()*d.slowMean || d.count <= warmupSamples {
			d.slowMean += weight * (latency - d.slowMean)
		}
	}
	return d.updateState()
}

// Cold reports whether the upstream counts as cold.
func (d *Detector) Cold() bool { return d.cold }

func (d *Detector) updateState() bool {
	if d.count <= warmupSamples {
		return false
	}
	beyond := d.fastMean > d.enterFactor()*d.slowMean
	if d.cold {
		beyond = d.fastMean < d.leaveFactor()*d.slowMean
	}
	if !beyond {
		d.beyondCount = 0
		return false
	}
	d.beyondCount++
	if d.beyondCount < d.minSamples() {
		return false
	}
	d.beyondCount = 0
	d.cold = !d.cold
	return d.cold
}

func (d *Detector) enterFactor() float64 {
	if d.EnterFactor > 0 {
		return d.EnterFactor
	}
	return 3
}

func (d *Detector) leaveFactor() float64 {
	if d.LeaveFactor > 0 {
		return d.LeaveFactor
	}
	return 1.5
}

func (d *Detector) minSamples() int {
	if d.MinSamples > 0 {
		return d.MinSamples
	}
	return 8
}
