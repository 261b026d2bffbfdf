package sagequarantine

import "sagestand.example/sagestand/pkg/sageclock"

// suspectOf returns the record of a suspect and creates it if there is none.
func (t *Tracker) suspectOf(now sageclock.Instant, f Fingerprint) *suspect {
	if s := t.suspects[f]; s != nil {
		return s
	}
	if len(t.suspects) >= maxSuspects {
		t.evictSuspect()
	}
	if t.suspects == nil {
		t.suspects = make(map[Fingerprint]*suspect)
	}
	s := &suspect{lastCrash: now}
	t.suspects[f] = s
	return s
}

// evictSuspect drops the suspect with the oldest last crash.
func (t *Tracker) evictSuspect() {
	var oldest Fingerprint
	var last sageclock.Instant
	for f, s := range t.suspects {
		if last == 0 || s.lastCrash < last {
			oldest, last = f, s.lastCrash
		}
	}
	delete(t.suspects, oldest)
}

// quarantine adds an entry, which replaces the request's record as a suspect.
func (t *Tracker) quarantine(e *Entry) {
	if t.entries == nil {
		t.entries = make(map[Fingerprint]*Entry)
	}
	if len(t.entries) >= maxQuarantined {
		t.evictEntry()
	}
	t.entries[e.Request] = e
	delete(t.suspects, e.Request)
}

// evictEntry drops the quarantine that ends first.
func (t *Tracker) evictEntry() {
	var first *Entry
	for _, e := range t.entries {
		if first == nil || e.Until < first.Until {
			first = e
		}
	}
	delete(t.entries, first.Request)
}

// Sweep drops everything that has expired.
func (t *Tracker) Sweep(now sageclock.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	defer t.updateCounts()
	t.out.expire(now)
	for f, s := range t.suspects {
		if now.Sub(s.lastCrash) >= suspectTTL {
			delete(t.suspects, f)
		}
	}
	for f, e := range t.entries {
		if now >= e.Until {
			delete(t.entries, f)
		}
	}
}
