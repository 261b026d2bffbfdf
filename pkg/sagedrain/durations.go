package sagedrain

import (
	"sync"
	"time"
)

const (
	// durationWindow is how long a duration counts at least; it counts for twice as long at most.
	durationWindow = 30 * time.Second
	// minDurations is the number of durations below which the longest one says little.
	minDurations = 16
)

// Durations keeps the longest time that requests of each class have lately taken. The zero value is ready to use. It is safe
// for concurrent use.
type Durations struct {
	mu               sync.Mutex
	windowEnds       time.Time
	current, earlier map[string]durations
}

// durations are those of one class in one window.
type durations struct {
	n       int
	longest time.Duration
}

// Record records how long a request of a class took.
func (d *Durations) Record(now time.Time, class string, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rotate(now)
	x := d.current[class]
	d.current[class] = durations{n: x.n + 1, longest: max(x.longest, took)}
}

// Longest returns the longest time that a request of a class has lately taken, or false if too few have ended.
func (d *Durations) Longest(now time.Time, class string) (longest time.Duration, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rotate(now)
	a, b := d.current[class], d.earlier[class]
	return max(a.longest, b.longest), a.n+b.n >= minDurations
}

// rotate begins a new window if the current one is over. The caller holds mu.
func (d *Durations) rotate(now time.Time) {
	if d.current != nil && now.Before(d.windowEnds) {
		return
	}
	if d.earlier = d.current; now.Sub(d.windowEnds) >= durationWindow {
		d.earlier = nil
	}
	d.current, d.windowEnds = make(map[string]durations), now.Add(durationWindow)
}
