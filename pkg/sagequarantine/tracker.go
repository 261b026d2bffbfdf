package sagequarantine

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"sagestand.example/sagestand/pkg/sageclock"
)

// trialDelays are the ages of a quarantine at which a single attempt is let through, to find out whether the
// suspect is harmless or the upstreams have been fixed.
var trialDelays = [...]time.Duration{2 * time.Minute, 10 * time.Minute}

// Limits of a Tracker.
const (
	// DefaultThreshold is the number of crashes that quarantine a suspect. Fewer also occur under a harmless one that is
	// used while upstreams crash for other reasons.
	DefaultThreshold = 3
	// succeededFactor multiplies the threshold of a suspect that succeeded before, since an upstream can execute
	// it.
	succeededFactor = 2
	// minRepeatedAccounts is how many client accounts need several crashes under a part, or minAccounts at least one, before
	// the part is quarantined for all accounts.
	minRepeatedAccounts = 2
	minAccounts         = 4
	// QuarantineDuration is how long a suspect stays quarantined, so that operators have time to fix the upstream.
	QuarantineDuration = 30 * time.Minute
	// suspectTTL is the time after its last crash for which a suspect is recorded.
	suspectTTL = QuarantineDuration
	// messageTTL is how long a message is included in this node's heartbeats. It covers several of them, since
	// some may be lost.
	messageTTL = 1500 * time.Millisecond
	// abandonedTTL is how long an upstream may continue to execute a request that its node has abandoned.
	abandonedTTL = 5 * time.Second

	// BeginningDuration is how long after its first event an answer counts as beginning. A part under which upstreams crash
	// ends them as they begin an answer, so that a crash after this time isn't evidence against the parts of the prompt.
	BeginningDuration = time.Second
	// successGeneration is how long successes are kept at least, if there aren't too many.
	successGeneration = 30 * time.Second
	// unconfirmedTTL is how long a quarantine is in force that only peers have reported, from before this node listed the store, and that
	// the store lacks. The nodes that recorded its crashes write it sooner.
	unconfirmedTTL = 10 * time.Second
	// releaseTTL is how long evidence from before a release can still arrive.
	releaseTTL = time.Minute

	maxSuccesses       = 8192 // in each of two generations, 0.3 MB
	maxSuspects        = 2048
	maxQuarantined     = 256
	maxDiscounted      = 8
	maxCrashesPerEntry = 32
	maxCompanions      = 16
	maxAbandoned       = 512
	// maxQueued bounds the queued messages, maxPerHeartbeat the fingerprints in one heartbeat.
	maxQueued       = 2048
	maxPerHeartbeat = 192
)

// Entry is a quarantined suspect.
type Entry struct {
	Suspect Suspect
	// Companions are other parts that explain the same crashes equally well. Only requests that hold them too are refused.
	Companions []Suspect
	// Crashes are the crashes that led to the quarantine and some later ones. It has only the later ones if the
	// quarantine was restored from the store.
	Crashes []Crash
	// Since is when the quarantine began as far as this node knows, Until is when it ends.
	Since, Until sageclock.Instant

	trials int
	// stored says that the store has contained it as far as this node knows.
	stored bool
}

// Tracker records suspects and quarantines. The zero value is ready for use; it is safe for concurrent
// use.
type Tracker struct {
	// Threshold is the number of crashes that quarantine a suspect; 0 means [DefaultThreshold]. It is set before
	// use.
	Threshold int

	total       atomic.Int64 // suspects and quarantines
	quarantined atomic.Int64
	counts      [SharedPart + 1]struct{ suspects, quarantined atomic.Int64 }

	mu       sync.Mutex
	suspects map[Fingerprint]*record
	// accounts holds the records of a part's client accounts by the part's fingerprint for all accounts.
	accounts map[Fingerprint]map[Fingerprint]*record
	entries  map[Fingerprint]*Entry
	// explained is the number of quarantines that explain a crash.
	explained map[CrashID]int
	successes successes
	abandoned []abandoned
	out       outbox
	// released and contradicted hold when suspects were released by an operator, or found to have succeeded since the crash
	// that a peer reported.
	released, contradicted map[Fingerprint]sageclock.Instant
	store                  storeState
}

// Active reports whether there is any suspect or quarantine.
func (t *Tracker) Active() bool { return t.total.Load() > 0 }

// Quarantining reports whether anything is quarantined. Otherwise no request has to be checked.
func (t *Tracker) Quarantining() bool { return t.quarantined.Load() > 0 }

// Counts returns the numbers of suspects and of quarantines.
func (t *Tracker) Counts() (suspects, quarantined int) {
	q := t.quarantined.Load()
	return int(t.total.Load() - q), int(q)
}

// CountsOf returns the numbers of suspects and of quarantines of a kind.
func (t *Tracker) CountsOf(k Kind) (suspects, quarantined int) {
	c := &t.counts[k]
	return int(c.suspects.Load()), int(c.quarantined.Load())
}

// Quarantined returns the quarantines under which a request must not be sent, given the suspects in it.
func (t *Tracker) Quarantined(now sageclock.Instant, suspects ...Suspect) []Entry {
	if !t.Quarantining() {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Entry
	add := func(f Fingerprint) {
		if e := t.entries[f]; e != nil && now < e.Until && holdsAll(suspects, e.Companions) {
			out = append(out, *e)
		}
	}
	for _, s := range suspects {
		add(s.Fingerprint)
		if s.Kind == Part {
			add(s.Shared)
		}
	}
	return out
}

// holdsAll reports whether the suspects in a request include all of some others.
func holdsAll(suspects, others []Suspect) bool {
	for _, o := range others {
		if !slices.ContainsFunc(suspects, func(s Suspect) bool { return s.Fingerprint == o.Fingerprint }) {
			return false
		}
	}
	return true
}

// AllowTrial reports whether a request under a single quarantine may be sent once now. One node of the fleet at a time may
// call it.
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
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.out.expire(now); len(t.out) == 0 {
		return nil, nil
	}
	indexes := make(map[CrashID]int)
	for _, m := range t.out.selectForHeartbeat(forward(), t.hasRepeatedCrashes) {
		if m.crash == 0 {
			cleared = append(cleared, m.suspect.Fingerprint)
			continue
		}
		i, ok := indexes[m.crash]
		if !ok {
			i = len(reports)
			indexes[m.crash] = i
			reports = append(reports, Report{Crash: m.crash, Age: now.Sub(m.at)})
		}
		reports[i].Suspects = append(reports[i].Suspects, m.suspect)
	}
	return reports, cleared
}

// updateCounts updates the counts that are read without the mutex.
func (t *Tracker) updateCounts() {
	var suspects, quarantined [SharedPart + 1]int64
	for _, r := range t.suspects {
		suspects[r.Kind]++
	}
	for _, e := range t.entries {
		quarantined[e.Suspect.Kind]++
	}
	for k := range t.counts {
		t.counts[k].suspects.Store(suspects[k])
		t.counts[k].quarantined.Store(quarantined[k])
	}
	t.quarantined.Store(int64(len(t.entries)))
	t.total.Store(int64(len(t.entries) + len(t.suspects)))
}
