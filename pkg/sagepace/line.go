package sagepace

import (
	"sync"
	"time"
)

const (
	// lineDecay is the factor by which each sample reduces the weight of all earlier ones. About a hundred samples
	// determine the estimate.
	lineDecay = 0.99
	// lineInitialWeight is the weight in samples of each of the two points that represent the initial slope.
	lineInitialWeight = 10
	// lineMaxRatio limits the ratio of the slope and the initial slope, either way. Engines differ by less, while a
	// fit through scattered points may have any slope.
	lineMaxRatio = 20
)

// Line fits a straight line to durations by size, by least squares with exponential forgetting. Its exported
// fields are set before use. It is safe for concurrent use.
type Line struct {
	// InitialSlope is the slope before there are samples: the duration per unit of size.
	InitialSlope time.Duration
	// TypicalSize is a frequent size. The initial line goes through the origin and the point at this size.
	TypicalSize float64
	// Max limits the duration of one sample.
	Max time.Duration

	mu              sync.Mutex
	n, x, y, xx, xy float64
}

// Add adds a sample. A sample with a negative size or duration is ignored, and a duration above Max counts as Max.
func (l *Line) Add(size float64, took time.Duration) {
	if size < 0 || took < 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.initialize()
	for _, sum := range []*float64{&l.n, &l.x, &l.y, &l.xx, &l.xy} {
		*sum *= lineDecay
	}
	l.add(1, size, float64(min(took, l.Max)))
}

// Slope returns the estimated duration per unit of size.
func (l *Line) Slope() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.initialize()
	spread := l.n*l.xx - l.x*l.x
	slope := float64(l.InitialSlope)
	if spread > 0 {
		slope = (l.n*l.xy - l.x*l.y) / spread
	}
	return time.Duration(min(max(slope, float64(l.InitialSlope)/lineMaxRatio), float64(l.InitialSlope)*lineMaxRatio))
}

func (l *Line) initialize() {
	if l.n == 0 {
		l.add(lineInitialWeight, 0, 0)
		l.add(lineInitialWeight, l.TypicalSize, l.TypicalSize*float64(l.InitialSlope))
	}
}

func (l *Line) add(weight, size, took float64) {
	l.n += weight
	l.x += weight * size
	l.y += weight * took
	l.xx += weight * size * size
	l.xy += weight * size * took
}
