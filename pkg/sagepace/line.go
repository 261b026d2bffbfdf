package sagepace

import (
	"sync"
	"time"
)

const (
	// lineKeeps is the part of the evidence that stays at each sample: some hundred samples count.
	lineKeeps = 0.99
	// lineStart is how many samples each of the two points counts for that the start stands for.
	lineStart = 10
	// lineRange is how far the slope may go from the start either way: engines differ by less, and a line
	// through scattered points may have any slope.
	lineRange = 20
)

// Line is a moving straight line through times by size. Start, Usual and Most are set before use; it is
// safe for concurrent use.
type Line struct {
	// Start is the slope before there is evidence: the time for a size of one.
	InitialSlope time.Duration
	// Usual is a size that is often seen.
	TypicalSize float64
	// Most bounds one sample's time.
	Max time.Duration

	mu              sync.Mutex
	n, x, y, xx, xy float64
}

// Add takes in that a size took a time. A sample with a negative part is left out, a time above Most
// counts as Most.
func (l *Line) Add(size float64, took time.Duration) {
	if size < 0 || took < 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.begin()
	for _, sum := range []*float64{&l.n, &l.x, &l.y, &l.xx, &l.xy} {
		*sum *= lineKeeps
	}
	l.add(1, size, float64(min(took, l.Max)))
}

// Slope returns the time for a size of one.
func (l *Line) Slope() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.begin()
	spread := l.n*l.xx - l.x*l.x
	slope := float64(l.InitialSlope)
	if spread > 0 {
		slope = (l.n*l.xy - l.x*l.y) / spread
	}
	return time.Duration(min(max(slope, float64(l.InitialSlope)/lineRange), float64(l.InitialSlope)*lineRange))
}

func (l *Line) begin() {
	if l.n == 0 {
		l.add(lineStart, 0, 0)
		l.add(lineStart, l.TypicalSize, l.TypicalSize*float64(l.InitialSlope))
	}
}

func (l *Line) add(weight, size, took float64) {
	l.n += weight
	l.x += weight * size
	l.y += weight * took
	l.xx += weight * size * size
	l.xy += weight * size * took
}
