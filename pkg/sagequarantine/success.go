package sagequarantine

import (
	"slices"

	"sagestand.example/sagestand/pkg/sageclock"
)

// successes holds when parts last ran to completion on this node. It has two generations, each of which is replaced when it
// is old or full.
type successes struct {
	current, previous map[Fingerprint]sageclock.Instant
	since             sageclock.Instant // start of the current generation
}

// add records a success.
func (s *successes) add(now sageclock.Instant, f Fingerprint) {
	if s.current == nil || now.Sub(s.since) >= successGeneration || len(s.current) >= maxSuccesses {
		s.previous, s.current, s.since = s.current, make(map[Fingerprint]sageclock.Instant), now
	}
	s.current[f] = now
}

// last returns the time of the last success, or false if none is known.
func (s *successes) last(f Fingerprint) (sageclock.Instant, bool) {
	at, ok := s.current[f]
	if !ok {
		at, ok = s.previous[f]
	}
	return at, ok
}

// known reports whether a success is known.
func (s *successes) known(f Fingerprint) bool {
	_, ok := s.last(f)
	return ok
}

// RecordSuccess records that a request was executed completely, which speaks for the request and its parts.
//
// It prevents the quarantine of harmless requests and parts that many callers use: when upstreams crash for other
// reasons, some of them are often running there.
func (t *Tracker) RecordSuccess(now sageclock.Instant, suspects ...Suspect) {
	if len(suspects) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := false
	for _, s := range suspects {
		if s.Kind == Part {
			t.successes.add(now, s.Fingerprint)
			t.successes.add(now, s.Shared)
			changed = t.clear(now, s.Shared, true) || changed
		}
		changed = t.clear(now, s.Fingerprint, true) || changed
	}
	if changed {
		t.updateCounts()
	}
}

// clear discounts the crashes under a suspect and ends its quarantine, and has the peers do the same. It reports whether
// that changed anything.
func (t *Tracker) clear(now sageclock.Instant, f Fingerprint, local bool) bool {
	r, e := t.suspects[f], t.entries[f]
	companion := t.clearCompanion(f)
	if e == nil && !companion && (r == nil || len(r.counted) == 0) {
		return false
	}
	if r != nil {
		r.discountAll()
	}
	t.dropEntry(f)
	if e != nil && len(e.Companions) > 0 {
		t.quarantine(&Entry{Suspect: e.Companions[0], Companions: e.Companions[1:], Crashes: e.Crashes, Since: e.Since, Until: e.Until, trials: e.trials})
	}
	t.out.expire(now)
	t.out.add(message{suspect: Suspect{Fingerprint: f}, at: now, queuedAt: now, local: local})
	return true
}

// clearCompanion removes a part from the companions of quarantined ones, which alone explain the crashes then, and reports
// whether it was among them.
func (t *Tracker) clearCompanion(f Fingerprint) bool {
	found := false
	for _, e := range t.entries {
		i := slices.IndexFunc(e.Companions, func(s Suspect) bool { return s.Fingerprint == f })
		if i >= 0 {
			e.Companions = slices.Delete(slices.Clone(e.Companions), i, i+1)
			found = true
		}
	}
	return found
}

// contradict reports to the peers that a suspect has succeeded since the crash that they reported, once in a while.
func (t *Tracker) contradict(now sageclock.Instant, f Fingerprint) {
	if at, ok := t.contradicted[f]; ok && now.Sub(at) < messageTTL {
		return
	}
	if t.contradicted == nil || len(t.contradicted) >= maxSuspects {
		t.contradicted = make(map[Fingerprint]sageclock.Instant)
	}
	t.contradicted[f] = now
	t.out.add(message{suspect: Suspect{Fingerprint: f}, at: now, queuedAt: now, local: true})
}
