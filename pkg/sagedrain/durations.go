package sagedrain

import (
	"sync"
	"time"
)

const (
	// durationWindow is how long a duration counts at least; it counts for twice as long at most.
	durationWindow = 30 * time.Second
	// minDurations is the number of durations below which the longest one says little, manyDurations that from which it says much.
	minDurations  = 4
	manyDurations = 16
	// fewMargin and manyMargin multiply the longest of few and of many durations in an estimate: the load may rise while a request
	// runs. They are small, since a caller that is refused may meet another process that stops.
	fewMargin  = 3
	manyMargin = 1.25
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
	d.record(now, class, took, 1)
}

// RecordIncomplete records how long a request of a class took that was given up before its end. It would have taken longer.
func (d *Durations) RecordIncomplete(now time.Time, class string, took time.Duration) {
	d.record(now, class, took, 0)
}

func (d *Durations) record(now time.Time, class string, took time.Duration, n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rotate(now)
	x := d.current[class]
	d.current[class] = durations{n: x.n + n, longest: max(x.longest, took)}
}

// Estimate returns the time that a request of a class is expected to take at most, or false if too few have ended lately.
func (d *Durations) Estimate(now time.Time, class string) (time.Duration, bool) {
	return d.estimate(now, class, fewMargin)
}

// EstimateWithin is [Durations.Estimate] for a process whose stop is set to last as long as its longest requests: few durations get
// no larger margin than many.
func (d *Durations) EstimateWithin(now time.Time, class string) (time.Duration, bool) {
	return d.estimate(now, class, manyMargin)
}

func (d *Durations) estimate(now time.Time, class string, few float64) (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rotate(now)
	a, b := d.current[class], d.earlier[class]
	margin := manyMargin
	if a.n+b.n < manyDurations {
		margin = few
	}
	return time.Duration(margin * float64(max(a.longest, b.longest))), a.n+b.n >= minDurations
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
