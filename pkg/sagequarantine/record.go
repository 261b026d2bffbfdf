package sagequarantine

import (
	"cmp"
	"slices"

	"sagestand.example/sagestand/pkg/sageclock"
)

// record is what is known of a suspect.
type record struct {
	Suspect
	// counted are the crashes that count against the suspect.
	counted []Crash
	// discounted are the latest crashes that no longer do.
	discounted []CrashID
	// lastCrash is when the last crash was recorded.
	lastCrash sageclock.Instant
	// succeeded says that the suspect was cleared before.
	succeeded bool
}

// hasCrash reports whether a crash is recorded.
func (r *record) hasCrash(c CrashID) bool {
	return slices.ContainsFunc(r.counted, func(o Crash) bool { return o.ID == c }) || slices.Contains(r.discounted, c)
}

// discountAll discounts all crashes, since the suspect has succeeded.
func (r *record) discountAll() {
	r.succeeded = true
	r.discounted = append(r.discounted, idsOf(r.counted)...)
	r.discounted = r.discounted[max(0, len(r.discounted)-maxDiscounted):]
	r.counted = nil
}

// recordOf returns the record of a suspect and creates it if there is none.
func (t *Tracker) recordOf(now sageclock.Instant, s Suspect) *record {
	if r := t.suspects[s.Fingerprint]; r != nil {
		r.Label = cmp.Or(r.Label, s.Label)
		return r
	}
	if len(t.suspects) >= maxSuspects {
		t.evictSuspect()
	}
	if t.suspects == nil {
		t.suspects = make(map[Fingerprint]*record)
	}
	r := &record{Suspect: s, lastCrash: now}
	t.suspects[s.Fingerprint] = r
	if s.Kind == Part {
		if t.accounts == nil {
			t.accounts = make(map[Fingerprint]map[Fingerprint]*record)
		}
		if t.accounts[s.Shared] == nil {
			t.accounts[s.Shared] = make(map[Fingerprint]*record)
		}
		t.accounts[s.Shared][s.Fingerprint] = r
	}
	return r
}

// dropRecord drops the record of a suspect.
func (t *Tracker) dropRecord(f Fingerprint) {
	r := t.suspects[f]
	if r == nil {
		return
	}
	delete(t.suspects, f)
	if members := t.accounts[r.Shared]; members != nil {
		if delete(members, f); len(members) == 0 {
			delete(t.accounts, r.Shared)
		}
	}
}

// evictSuspect drops the suspect with the fewest counted crashes, and of these the one with the oldest last crash.
func (t *Tracker) evictSuspect() {
	var out *record
	for _, r := range t.suspects {
		if out == nil || len(r.counted) < len(out.counted) || len(r.counted) == len(out.counted) && r.lastCrash < out.lastCrash {
			out = r
		}
	}
	t.dropRecord(out.Fingerprint)
}

// quarantine adds an entry, which replaces the suspect's record.
func (t *Tracker) quarantine(e *Entry) {
	if t.entries == nil {
		t.entries, t.explained = make(map[Fingerprint]*Entry), make(map[CrashID]int)
	}
	if len(t.entries) >= maxQuarantined {
		t.evictEntry()
	}
	t.entries[e.Suspect.Fingerprint] = e
	for _, c := range e.Crashes {
		t.explained[c.ID]++
	}
	t.dropRecord(e.Suspect.Fingerprint)
}

// dropEntry ends a quarantine. Its crashes count against other suspects again.
func (t *Tracker) dropEntry(f Fingerprint) {
	e := t.entries[f]
	if e == nil {
		return
	}
	delete(t.entries, f)
	for _, c := range e.Crashes {
		if t.explained[c.ID]--; t.explained[c.ID] == 0 {
			delete(t.explained, c.ID)
		}
	}
}

// evictEntry drops the quarantine that ends first.
func (t *Tracker) evictEntry() {
	var first *Entry
	for _, e := range t.entries {
		if first == nil || e.Until < first.Until {
			first = e
		}
	}
	t.dropEntry(first.Suspect.Fingerprint)
}

// Sweep drops everything that has expired.
func (t *Tracker) Sweep(now sageclock.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	defer t.updateCounts()
	t.out.expire(now)
	for f, r := range t.suspects {
		if now.Sub(r.lastCrash) >= suspectTTL {
			t.dropRecord(f)
		}
	}
	for f, e := range t.entries {
		_, stored := t.store.quarantined[f]
		lapsed := !stored && !t.confirmed(e) && now.Sub(max(e.Since, t.store.listedAt)) >= unconfirmedTTL
		if now >= e.Until || lapsed {
			t.dropEntry(f)
		}
	}
	for f, at := range t.contradicted {
		if now.Sub(at) >= messageTTL {
			delete(t.contradicted, f)
		}
	}
	for f, at := range t.released {
		if now.Sub(at) >= releaseTTL {
			delete(t.released, f)
		}
	}
	for f, at := range t.store.written {
		if now.Sub(at) >= releaseTTL {
			delete(t.store.written, f)
		}
	}
}
