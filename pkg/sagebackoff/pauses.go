package sagebackoff

import (
	"sync"

	"sagestand.example/sagestand/pkg/sageclock"
)

// Pauses keeps the pauses of upstreams with keys of type K. The zero value is ready to use. It is safe for concurrent
// use.
type Pauses[K comparable] struct {
	mu   sync.Mutex
	ends records[K, sageclock.Instant]
}

// Pause records that an upstream wants no requests before until, and reports whether that extends its pause.
func (p *Pauses[K]) Pause(now sageclock.Instant, upstream K, until sageclock.Instant) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if until <= now || until <= p.ends.get(now, upstream) {
		return false
	}
	p.ends.put(now, upstream, until, until)
	return true
}

// PausedUntil returns the end of the upstream's pause, or zero if it may get requests now.
func (p *Pauses[K]) PausedUntil(now sageclock.Instant, upstream K) sageclock.Instant {
	if p.ends.isEmpty() {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ends.get(now, upstream)
}

// Sweep drops the records of pauses that have ended.
func (p *Pauses[K]) Sweep(now sageclock.Instant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ends.sweep(now)
}

// Len returns the number of upstreams that are paused now.
func (p *Pauses[K]) Len(now sageclock.Instant) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ends.len(now)
}
