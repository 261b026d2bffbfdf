package sagequarantine

import (
	"sync"
	"sync/atomic"
	"time"

	"sagestand.example/sagestand/pkg/sageclock"
)

// trialsAfter is how long after its beginning a quarantine lets single attempts through, to find out whether the
// request is harmless or the upstreams were mended.
var trialsAfter = [...]time.Duration{2 * time.Minute, 10 * time.Minute}

// Bounds of a book.
const (
	// DefaultThreshold is how many upstreams must have crashed under a request. Fewer happen to a harmless one that
	// comes again while upstreams crash for other reasons.
	DefaultThreshold = 3
	// succeededTimes is how many times as many a suspect needs that succeeded before: an upstream can execute it.
	succeededTimes = 2
	// QuarantineDuration is how long a request stays quarantined: the time in which operators can mend the upstream.
	QuarantineDuration = 30 * time.Minute
	// rememberFor is how long a suspect without new crashes is remembered.
	rememberFor = QuarantineDuration
	// passFor is how long a fact rides on the heartbeats of a node: several of them may be lost.
	passFor = 1500 * time.Millisecond
	// runsOn is how long an upstream may go on with a request that its node has given up.
	runsOn = 5 * time.Second

	mostSuspects    = 2048
	mostQuarantined = 256
	mostSetAside    = 8
	mostCrashes     = 32
	mostExplained   = 256
	mostAbandoned   = 512
	// mostWaiting is how many facts wait to be passed on, mostPassed how many ride on one heartbeat, two kilobytes.
	mostWaiting = 2048
	mostPassed  = 256
)

// Entry is a quarantined request.
type Entry struct {
	Request Fingerprint
	// Crashes are those that led to the quarantine, none if it was learned from the store, and some of those since.
	Crashes []CrashID
	// Since is when it began as far as this node knows, Until when it ends.
	Since, Until sageclock.Instant

	trials int
}

// Tracker keeps suspects and quarantined requests. The zero value is ready; it is safe for concurrent use.
type Tracker struct {
	// Threshold is how many upstreams must have crashed under a request; 0 means [DefaultThreshold]. It is set before
	// use.
	Threshold int

	watching    atomic.Int64 // suspects and quarantined requests
	quarantined atomic.Int64

	mu        sync.Mutex
	records   map[Fingerprint]*record
	entries   map[Fingerprint]*Entry
	explained []CrashID // under which a quarantined request ran, oldest first
	abandoned []abandoned
	out       outbox
	store     mirror
}

// Watching reports whether any request is suspect or quarantined. Otherwise nothing depends on fingerprints.
func (b *Tracker) Active() bool { return b.watching.Load() > 0 }

// Len returns the numbers of suspects and of quarantined requests.
func (b *Tracker) Counts() (suspects, quarantined int) {
	q := b.quarantined.Load()
	return int(b.watching.Load() - q), int(q)
}

// Quarantined returns until when a request is quarantined, or false.
func (b *Tracker) QuarantinedUntil(now sageclock.Instant, f Fingerprint) (sageclock.Instant, bool) {
	if b.quarantined.Load() == 0 {
		return 0, false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.entries[f]
	if e == nil || now >= e.Until {
		return 0, false
	}
	return e.Until, true
}

// Trial reports whether a quarantined request may be sent once now. One node of the fleet at a time asks.
func (b *Tracker) AllowTrial(now sageclock.Instant, f Fingerprint) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.entries[f]
	if e == nil || e.trials == len(trialsAfter) || now.Sub(e.Since) < trialsAfter[e.trials] {
		return false
	}
	e.trials++
	return true
}

// Reports returns the crashes to report to other nodes, and the suspects that were cleared: those that this node saw
// itself, and what it learned from others if it relays that.
func (b *Tracker) Reports(now sageclock.Instant, relays func() bool) (reports []Report, cleared []Fingerprint) {
	if !b.Active() {
		return nil, nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.out.sweep(now); len(b.out) == 0 {
		return nil, nil
	}
	at := make(map[CrashID]int)
	for _, m := range b.out.choose(relays(), b.repeated) {
		if m.crash == 0 {
			cleared = append(cleared, m.suspect)
			continue
		}
		i, ok := at[m.crash]
		if !ok {
			i = len(reports)
			at[m.crash] = i
			reports = append(reports, Report{Crash: m.crash})
		}
		reports[i].Suspects = append(reports[i].Suspects, m.suspect)
	}
	return reports, cleared
}

// count publishes how much there is to watch for.
func (b *Tracker) count() {
	b.quarantined.Store(int64(len(b.entries)))
	b.watching.Store(int64(len(b.entries) + len(b.records)))
}
