package sagebackoff

import (
	"maps"
	"sync"

	"sagestand.example/sagestand/pkg/sageclock"
)

// maxPauses limits the pauses that are kept. It is well above the number of upstreams of a large fleet.
const maxPauses = 16384

// Tracker keeps the pauses of upstreams with keys of type K. The zero value is ready to use. It is safe for concurrent
// use.
type Tracker[K comparable] struct {
	mu     sync.Mutex
	pauses map[K]sageclock.Instant // end of the pause
}

// Pause records that an upstream wants no requests before until, and reports whether that extends its pause.
func (t *Tracker[K]) Pause(now sageclock.Instant, upstream K, until sageclock.Instant) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if until <= now || until <= t.pauses[upstream] {
		return false
	}
	if t.pauses == nil {
		t.pauses = make(map[K]sageclock.Instant)
	}
	if len(t.pauses) >= maxPauses {
		t.makeRoom(now)
	}
	t.pauses[upstream] = until
	return true
}

// PausedUntil returns the end of the upstream's pause, or zero if it may get requests now.
func (t *Tracker[K]) PausedUntil(now sageclock.Instant, upstream K) sageclock.Instant {
	t.mu.Lock()
	defer t.mu.Unlock()
	if until := t.pauses[upstream]; now < until {
		return until
	}
	return 0
}

// Len returns the number of upstreams that are paused now.
func (t *Tracker[K]) Len(now sageclock.Instant) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(now)
	return len(t.pauses)
}

// sweep drops the pauses that have ended. The caller holds mu.
func (t *Tracker[K]) sweep(now sageclock.Instant) {
	maps.DeleteFunc(t.pauses, func(_ K, until sageclock.Instant) bool { return until <= now })
}

// makeRoom drops the pauses that have ended, or else the one that ends first. The caller holds mu.
func (t *Tracker[K]) makeRoom(now sageclock.Instant) {
	t.sweep(now)
	if len(t.pauses) < maxPauses {
		return
	}
	var first K
	var firstEnd sageclock.Instant
	for k, until := range t.pauses {
		if firstEnd == 0 || until < firstEnd {
			first, firstEnd = k, until
		}
	}
	delete(t.pauses, first)
}
