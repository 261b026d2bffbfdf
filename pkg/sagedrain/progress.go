package sagedrain

import (
	"sync"
	"time"
)

const (
	// ProgressInterval is how often a process has to record its progress.
	ProgressInterval = 100 * time.Millisecond
	// MaxProgressGap is the time between two records of [Progress] from which the process counts as having stood still.
	MaxProgressGap = 3 * ProgressInterval
)

// Progress keeps when the process last ran. A signal that arrives while it gets no processor time is handled late, and the time until
// the process is killed counts from the signal. Its zero value is ready to use; it is safe for concurrent use.
type Progress struct {
	mu               sync.Mutex
	last             time.Time
	stopped, resumed time.Time // the last time at which the process stood still
}

// Record records that the process runs. It has to be called every ProgressInterval.
func (p *Progress) Record(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.last.IsZero() && now.Sub(p.last) >= MaxProgressGap {
		p.stopped, p.resumed = p.last, now
	}
	p.last = now
}

// EarliestSignal returns the earliest time at which a signal may have been sent that is handled now.
func (p *Progress) EarliestSignal(now time.Time) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.last.IsZero():
		return now
	case now.Sub(p.last) >= MaxProgressGap:
		return p.last
	case !p.resumed.IsZero() && now.Sub(p.resumed) < MaxProgressGap:
		return p.stopped
	}
	return now
}
