package sagequarantine

import (
	"cmp"
	"slices"

	"sagestand.example/sagestand/pkg/sageclock"
)

// abandoned are the suspects of a request that this node abandoned while an upstream executed it.
type abandoned struct {
	suspects []Suspect
	crash    CrashID // the ID of a crash of that upstream, should it happen
	at       sageclock.Instant
}

// RecordCrash records that an upstream crashed while it executed requests of this node, and returns the quarantines that
// result. Requests that this node abandoned there count as well.
func (t *Tracker) RecordCrash(now sageclock.Instant, c Crash, suspects ...Suspect) []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	defer t.updateCounts()
	suspects = append(t.takeAbandoned(now, c.ID), suspects...)
	return t.addEvidence(now, c, suspects, true)
}

// RecordAbandoned records that this node abandoned a request while an upstream executed it. When the upstream
// crashes, no exchange is left that would fail and report the request.
func (t *Tracker) RecordAbandoned(now sageclock.Instant, c CrashID, suspects ...Suspect) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.abandoned = append(t.abandoned, abandoned{suspects, c, now})
	t.abandoned = t.abandoned[max(0, len(t.abandoned)-maxAbandoned):]
}

// takeAbandoned returns and forgets the suspects of requests that this node recently abandoned at an upstream that crashed.
func (t *Tracker) takeAbandoned(now sageclock.Instant, c CrashID) []Suspect {
	var out []Suspect
	t.abandoned = slices.DeleteFunc(t.abandoned, func(a abandoned) bool {
		if now.Sub(a.at) >= abandonedTTL {
			return true
		}
		if a.crash == c {
			out = append(out, a.suspects...)
		}
		return a.crash == c
	})
	return out
}

// Merge merges a peer's reports and cleared suspects, and returns the quarantines that result.
func (t *Tracker) Merge(now sageclock.Instant, reports []Report, cleared []Fingerprint) []Entry {
	if len(reports) == 0 && len(cleared) == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	defer t.updateCounts()
	var out []Entry
	for _, r := range reports {
		c := Crash{ID: r.Crash, At: now.Add(-r.Age)}
		out = append(out, t.addEvidence(now, c, t.takeAbandoned(now, c.ID), true)...)
		out = append(out, t.addEvidence(now, c, r.Suspects, false)...)
	}
	for _, f := range cleared {
		t.clear(now, f, false)
	}
	return out
}

// addEvidence records that suspects ran when an upstream crashed, and returns the quarantines that result.
func (t *Tracker) addEvidence(now sageclock.Instant, c Crash, suspects []Suspect, local bool) []Entry {
	t.out.expire(now)
	var changed []*record
	for _, s := range suspects {
		if r := t.addCrash(now, c, s, local); r != nil {
			changed = append(changed, r)
		}
	}
	for _, s := range suspects {
		t.dropAbsentCompanions(s.Fingerprint, c)
	}
	return t.decide(now, changed)
}

// dropAbsentCompanions removes the companions of a quarantined part that didn't run at an upstream which crashed under the
// part: they don't explain that crash.
func (t *Tracker) dropAbsentCompanions(f Fingerprint, c Crash) {
	e := t.entries[f]
	if e == nil || len(e.Companions) == 0 || !slices.ContainsFunc(e.Crashes, func(o Crash) bool { return o.ID == c.ID }) {
		return
	}
	e.Companions = slices.DeleteFunc(slices.Clone(e.Companions), func(s Suspect) bool {
		if r := t.suspects[s.Fingerprint]; r != nil {
			return !r.hasCrash(c.ID)
		}
		return c.At > e.Since // earlier crashes are unknown on a node that learned of the quarantine from the store
	})
}

// addCrash records a crash under a suspect, and returns the suspect's record if the crash counts against it and is new.
func (t *Tracker) addCrash(now sageclock.Instant, c Crash, s Suspect, local bool) *record {
	f := s.Fingerprint
	if at, ok := t.released[f]; ok && c.At <= at {
		return nil
	}
	if at, ok := t.successes.last(f); ok && at > c.At {
		if !local {
			t.contradict(now, f)
		}
		return nil
	}
	c.own = local
	m := message{suspect: s, crash: c.ID, at: c.At, queuedAt: now, local: local}
	if e := t.entries[f]; e != nil && now < e.Until {
		e.Suspect.Label = cmp.Or(e.Suspect.Label, s.Label)
		t.addQuarantinedCrash(e, m)
		return nil
	}
	r := t.recordOf(now, s)
	if r.hasCrash(c.ID) {
		return nil
	}
	t.out.add(m)
	r.lastCrash = now
	r.counted = append(r.counted, c)
	r.counted = r.counted[max(0, len(r.counted)-maxCrashesPerEntry):]
	return r
}

// addQuarantinedCrash records another crash under a quarantined suspect and resends the suspect's crashes, since
// the node that reported it may not know of them. Nothing is resent for a crash that is already recorded.
func (t *Tracker) addQuarantinedCrash(e *Entry, m message) {
	known := slices.ContainsFunc(e.Crashes, func(c Crash) bool { return c.ID == m.crash })
	if known || len(e.Crashes) >= maxCrashesPerEntry {
		return
	}
	e.Crashes = append(e.Crashes, Crash{ID: m.crash, At: m.at, own: m.local})
	t.explained[m.crash]++
	t.resendCrashes(m.queuedAt, e.Suspect, e.Crashes)
}

// resendCrashes sends the crashes under a quarantined suspect again, for nodes that missed some of them because they
// started later or were cut off.
func (t *Tracker) resendCrashes(now sageclock.Instant, s Suspect, crashes []Crash) {
	if s.Kind == SharedPart {
		return // follows from the crashes under the parts of client accounts
	}
	for _, c := range crashes {
		t.out.addLocal(message{suspect: s, crash: c.ID, at: c.At, queuedAt: now, local: true})
	}
}

// hasRepeatedCrashes reports whether a suspect is quarantined or more than one crash counts against it.
func (t *Tracker) hasRepeatedCrashes(f Fingerprint) bool {
	r := t.suspects[f]
	return t.entries[f] != nil || r != nil && len(r.counted) > 1
}
