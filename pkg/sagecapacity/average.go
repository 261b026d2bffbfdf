package sagecapacity

import (
	"math"
	"time"

	"sagestand.example/sagestand/pkg/sageclock"
)

// decay returns the weight that a value of an earlier instant has kept. An instant in the future counts as now.
func decay(from, to sageclock.Instant, window time.Duration) float64 {
	return math.Exp(-max(float64(to-from), 0) / float64(window))
}

// average is an average over time, with exponentially decreasing weights.
type average struct {
	value float64
	at    sageclock.Instant
}

func (a *average) add(now sageclock.Instant, window time.Duration, v float64) {
	kept := 0.0
	if a.at != 0 {
		kept = decay(a.at, now, window)
	}
	a.value, a.at = v+(a.value-v)*kept, max(now, a.at)
}

// count is a number of events, with exponentially decreasing weights.
type count struct {
	n  float64
	at sageclock.Instant
}

func (c *count) add(now sageclock.Instant, window time.Duration) {
	c.n, c.at = c.value(now, window)+1, max(now, c.at)
}

func (c *count) value(now sageclock.Instant, window time.Duration) float64 {
	return c.n * decay(c.at, now, window)
}

const (
	// sampleWindow is how long a node's own samples determine the mean run.
	sampleWindow = 500 * time.Millisecond
	// minSampleWeight limits the number of samples that are averaged, maxSampleWeight the effect of the first sample after a pause.
	minSampleWeight = 0.02
	maxSampleWeight = 0.25
	// maxSampleRatio limits a sample, as a multiple of the mean so far.
	maxSampleRatio = 8
)

// samples is the mean of a node's own samples of a duration, in seconds.
type samples struct {
	mean  float64
	count count
}

func (s *samples) add(now sageclock.Instant, v float64) {
	s.count.add(now, sampleWindow)
	if s.mean == 0 {
		s.mean = v
		return
	}
	weight := min(max(1/s.count.n, minSampleWeight), maxSampleWeight)
	s.mean += (min(v, maxSampleRatio*s.mean) - s.mean) * weight
}
