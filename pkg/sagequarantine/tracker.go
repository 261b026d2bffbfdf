package sagequarantine

import (
	"sync"
	"sync/atomic"
	"time"

	"sagestand.example/sagestand/pkg/sageclock"
)

// trialDelays are the ages of a quarantine at which a single attempt is let through, to find out whether the
// request is harmless or the upstreams have been fixed.
var trialDelays = [...]time.Duration{2 * time.Minute, 10 * time.Minute}

// Limits of a Tracker.
const (
	// DefaultThreshold is the number of crashes that quarantine a request. Fewer also occur under a harmless
	// request that is repeated while upstreams crash for other reasons.
	DefaultThreshold = 3
	// succeededFactor multiplies the threshold of a request that succeeded before, since an upstream can execute
	// it.
	succeededFactor = 2
	// QuarantineDuration is how long a request stays quarantined, so that operators have time to fix the upstream.
	QuarantineDuration = 30 * time.Minute
	// suspectTTL is the time after its last crash for which a suspect is recorded.
	suspectTTL = QuarantineDuration
	// messageTTL is how long a message is included in this node's heartbeats. It covers several of them, since
	// some may be lost.
	messageTTL = 1500 * time.Millisecond
	// abandonedTTL is how long an upstream may continue to execute a request that its node has abandoned.
	abandonedTTL = 5 * time.Second

	maxSuspects        = 2048
	maxQuarantined     = 256
	maxDiscounted      = 8
	maxCrashesPerEntry = 32
	maxExplained       = 256
	maxAbandoned       = 512
	// maxQueued bounds the queued messages, maxPerHeartbeat those in one heartbeat (two kilobytes).
	maxQueued       = 2048
	maxPerHeartbeat = 256
)

// Entry is a quarantined request.
type Entry struct {
	Request Fingerprint
	// Crashes are the crashes that led to the quarantine and some later ones. It has only the later ones if the
	// quarantine was restored from the store.
	Crashes []CrashID
	// Since is when the quarantine began as far as this node knows, Until is when it ends.
	Since, Until sageclock.Instant

	trials int
}

// Tracker records suspect and quarantined requests. The zero value is ready for use; it is safe for concurrent
// use.
type Tracker struct {
	// Threshold is the number of crashes that quarantine a request; 0 means [DefaultThreshold]. It is set before
	// use.
	Threshold int

	total       atomic.Int64 // suspects and quarantined requests
	quarantined atomic.Int64

	mu               sync.Mutex
	suspects         map[Fingerprint]*suspect
	entries          map[Fingerprint]*Entry
	explainedCrashes []CrashID // under which a quarantined request ran, oldest first
	abandoned        []abandoned
	out              outbox
	store            storeState
}

// Active reports whether any request is suspect or quarantined. Otherwise no fingerprints are needed.
func (t *Tracker) Active() bool { return t.total.Load() > 0 }

// Counts returns the numbers of suspect and of quarantined requests.
func (t *Tracker) Counts() (suspects, quarantined int) {
	q := t.quarantined.Load()
	return int(t.total.Load() - q), int(q)
}

// QuarantinedUntil returns when the quarantine of a request ends, or false if the request is not quarantined.
func (t *Tracker) QuarantinedUntil(now sageclock.Instant, f Fingerprint) (sageclock.Instant, bool) {
	if t.quarantined.Load() == 0 {
		return 0, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[f]
	if e == nil || now >= e.Until {
		return 0, false
	}
	return e.Until, true
}

// AllowTrial reports whether a quarantined request may be sent once now. One node of the fleet at a time may call
// it.
func (t *Tracker) AllowTrial(now sageclock.Instant, f Fingerprint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[f]
	if e == nil || e.trials == len(trialDelays) || now.Sub(e.Since) < trialDelays[e.trials] {
		return false
	}
	e.trials++
	return true
}

// Reports returns the crashes and the cleared suspects to send to the peers: those that this node recorded itself,
// and those received from peers if forward returns true.
func (t *Tracker) Reports(now sageclock.Instant, forward func() bool) (reports []Report, cleared []Fingerprint) {
	if !t.Active() {
		return nil, nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.out.expire(now); len(t.out) == 0 {
		return nil, nil
	}
	indexes := make(map[CrashID]int)
	for _, m := range t.out.selectForHeartbeat(forward(), t.hasRepeatedCrashes) {
		if m.crash == 0 {
			cleared = append(cleared, m.suspect)
			continue
		}
		i, ok := indexes[m.crash]
		if !ok {
			i = len(reports)
			indexes[m.crash] = i
			reports = append(reports, Report{Crash: m.crash})
		}
		reports[i].Suspects = append(reports[i].Suspects, m.suspect)
	}
	return reports, cleared
}

// updateCounts updates the counts that are read without the mutex.
func (t *Tracker) updateCounts() {
	t.quarantined.Store(int64(len(t.entries)))
	t.total.Store(int64(len(t.entries) + len(t.suspects)))
}
