package sageload

// Detector recognises a cold upstream by its latency alone. It compares a fast moving mean with a
// slow one that is frozen while the upstream counts as cold.
//
// Two thresholds and a least number of samples keep one slow answer, or latency near a threshold,
// from restarting the ramp again and again. Feed it a latency that does not grow with the size of
// the request, such as the time to the first token per uncached prompt token.
type Detector struct {
	// Enter and Leave are multiples of the usual latency; Enter > Leave. Zero means 3 and 1.5.
	EnterFactor, LeaveFactor float64
	// Samples is how many in a row must be beyond a threshold; zero means 8.
	MinSamples int

	fast, slow float64
	n          int
	run        int
	cold       bool
}

// Weights of one sample in the moving means.
const (
	fastWeight = 0.3
	slowWeight = 0.01
	// warmup is the number of samples before the slow mean is worth comparing with.
	warmup = 32
)

// Observe takes one latency and reports whether the upstream has just turned cold.
func (d *Detector) Observe(latency float64) bool {
	if d.n == 0 {
		d.fast, d.slow = latency, latency
	}
	d.n++
	d.fast += fastWeight * (latency - d.fast)
	if !d.cold {
		weight := slowWeight
		if d.n <= warmup {
			weight = 1 / float64(d.n)
		}
		if d.fast < d.enter()*d.slow || d.n <= warmup {
			d.slow += weight * (latency - d.slow)
		}
	}
	return d.judge()
}

// Cold reports whether the upstream counts as cold.
func (d *Detector) Cold() bool { return d.cold }

func (d *Detector) judge() bool {
	if d.n <= warmup {
		return false
	}
	beyond := d.fast > d.enter()*d.slow
	if d.cold {
		beyond = d.fast < d.leave()*d.slow
	}
	if !beyond {
		d.run = 0
		return false
	}
	d.run++
	if d.run < d.samples() {
		return false
	}
	d.run = 0
	d.cold = !d.cold
	return d.cold
}

func (d *Detector) enter() float64 {
	if d.EnterFactor > 0 {
		return d.EnterFactor
	}
	return 3
}

func (d *Detector) leave() float64 {
	if d.LeaveFactor > 0 {
		return d.LeaveFactor
	}
	return 1.5
}

func (d *Detector) samples() int {
	if d.MinSamples > 0 {
		return d.MinSamples
	}
	return 8
}
