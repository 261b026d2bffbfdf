package sagebackoff

import (
	"math/rand/v2"
	"sync"
	"time"

	"sagestand.example/sagestand/pkg/sageclock"
)

// Parameters of the back-off.
const (
	// minBackoff and maxBackoff are the first and the longest back-off, before jitter.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 2 * time.Second
	// streakDuration is how long after the end of a back-off another decline doubles it.
	streakDuration = 10 * time.Second
	// trialTimeout is how long the result of a trial is awaited before another one is due.
	trialTimeout = 100 * time.Millisecond
	// surpriseWeight is the weight of the newest result in the moving average of surprises, maxSurprise the average
	// above which declines don't distinguish the upstreams.
	surpriseWeight = 0.15
	maxSurprise    = 0.3
)

// State is the state of an upstream in [Declines].
type State int

// The states.
const (
	// Accepting: the upstream has not declined a request since the last one that it accepted, or all upstreams
	// decline alike.
	Accepting State = iota
	// BackingOff: other upstreams should be preferred.
	BackingOff
	// TrialDue: the back-off is over. The next request may be declined and need a retry.
	TrialDue
)

// Declines keeps the back-off from the upstreams of one service that decline requests without saying for how long. Keys
// are of type K. The zero value is ready to use. It is safe for concurrent use.
//
// If upstreams that accepted their last request often decline the next one, all of them decline alike. Backing off from
// some would then only move requests around, away from their cached prompts, so there is no back-off.
type Declines[K comparable] struct {
	mu      sync.Mutex
	streaks records[K, declineStreak]
	// surprise is the fraction of declined requests among those to upstreams without a streak, an exponentially
	// weighted moving average.
	surprise float64
}

// declineStreak is a number of declines in a row.
type declineStreak struct {
	length int
	until  sageclock.Instant // end of the back-off, or of the wait for the result of a trial
	// trial is set during that wait.
	trial bool
}

// RecordDecline records that an upstream declined a request. Declines of requests that were under way when the
// back-off began don't extend it.
func (d *Declines[K]) RecordDecline(now sageclock.Instant, upstream K) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.streaks.get(now, upstream)
	if now < s.until && !s.trial {
		return
	}
	if s.length == 0 {
		d.surprise += surpriseWeight * (1 - d.surprise)
	}
	s.trial = false
	backoff := min(minBackoff<<min(s.length, 16), maxBackoff)
	s.length++
	s.until = now.Add(backoff/2 + rand.N(backoff/2))
	d.streaks.put(now, upstream, s, s.until.Add(streakDuration))
}

// RecordAccept records that an upstream accepted a request, which ends the back-off.
func (d *Declines[K]) RecordAccept(upstream K) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.streaks.delete(upstream) {
		d.surprise -= surpriseWeight * d.surprise
	}
}

// State returns whether an upstream may be sent a request now.
func (d *Declines[K]) State(now sageclock.Instant, upstream K) State {
	if d.streaks.isEmpty() {
		return Accepting
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.streaks.get(now, upstream)
	switch {
	case s.length == 0 || d.surprise > maxSurprise:
		return Accepting
	case now < s.until:
		return BackingOff
	}
	return TrialDue
}

// Sweep drops the records of streaks that are over.
func (d *Declines[K]) Sweep(now sageclock.Instant) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.streaks.sweep(now)
}

// BeginTrial records that the upstream is sent a trial request, so that others wait for its result. It does nothing
// unless a trial is due.
func (d *Declines[K]) BeginTrial(now sageclock.Instant, upstream K) {
	if d.streaks.isEmpty() {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.streaks.get(now, upstream)
	if s.length == 0 || now < s.until {
		return
	}
	s.until, s.trial = now.Add(trialTimeout), true
	d.streaks.put(now, upstream, s, s.until.Add(streakDuration))
}
