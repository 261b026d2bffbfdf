package sagequarantine

import (
	"cmp"
	"slices"

	"sagestand.example/sagestand/pkg/sageclock"
)

// abandoned is a request that this node abandoned while an upstream executed it.
type abandoned struct {
	request Fingerprint
	crash   CrashID // the ID of a crash of that upstream, should it happen
	at      sageclock.Instant
}

// RecordCrash records that an upstream crashed while it executed requests of this node, and returns those that are
// quarantined as a result. Requests that this node abandoned there count as well.
func (t *Tracker) RecordCrash(now sageclock.Instant, c CrashID, requests ...Fingerprint) []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	defer t.updateCounts()
	out := t.matchAbandoned(now, c)
	for _, f := range requests {
		out = t.addEvidence(out, message{f, c, now, true})
	}
	return out
}

// RecordAbandoned records that this node abandoned a request while an upstream executed it. When the upstream
// crashes, no exchange is left that would fail and report the request.
func (t *Tracker) RecordAbandoned(now sageclock.Instant, c CrashID, f Fingerprint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.abandoned = append(t.abandoned, abandoned{f, c, now})
	t.abandoned = t.abandoned[max(0, len(t.abandoned)-maxAbandoned):]
}

// Merge merges a peer's reports and cleared suspects, and returns the requests that are quarantined as a result.
func (t *Tracker) Merge(now sageclock.Instant, reports []Report, cleared []Fingerprint) []Entry {
	if len(reports) == 0 && len(cleared) == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	defer t.updateCounts()
	var out []Entry
	for _, r := range reports {
		out = append(out, t.matchAbandoned(now, r.Crash)...)
		for _, f := range r.Suspects {
			out = t.addEvidence(out, message{f, r.Crash, now, false})
		}
	}
	for _, f := range cleared {
		t.clear(message{suspect: f, queuedAt: now})
	}
	return out
}

// RecordSuccess records that a request was executed completely, which clears it.
//
// It prevents the quarantine of a harmless request that many callers send: when upstreams crash for other
// reasons, some of its attempts are often running there.
func (t *Tracker) RecordSuccess(now sageclock.Instant, f Fingerprint) {
	if !t.Active() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	defer t.updateCounts()
	t.clear(message{suspect: f, queuedAt: now, local: true})
}

// addEvidence records that a request ran when an upstream crashed, and appends it to entries if that quarantines
// it.
func (t *Tracker) addEvidence(entries []Entry, m message) []Entry {
	now := m.queuedAt
	t.out.expire(now)
	if e := t.entries[m.suspect]; e != nil && now < e.Until {
		t.addQuarantinedCrash(e, m)
		return entries
	}
	s := t.suspectOf(now, m.suspect)
	if s.hasCrash(m.crash) {
		return entries
	}
	t.out.add(m)
	s.lastCrash = now
	if t.isExplained(m.crash) {
		s.addDiscounted(m.crash)
		return entries
	}
	s.counted = append(s.counted, m.crash)
	if len(s.counted) < t.threshold(s) {
		return entries
	}
	e := Entry{Request: m.suspect, Crashes: s.counted, Since: now, Until: now.Add(QuarantineDuration)}
	t.quarantine(&e)
	for _, c := range e.Crashes {
		t.markExplained(c)
	}
	t.resendCrashes(now, &e)
	return append(entries, e)
}

// addQuarantinedCrash records another crash under a quarantined request and resends the request's crashes, since
// the node that reported it may not know of them. Nothing is resent for a crash that is already recorded.
func (t *Tracker) addQuarantinedCrash(e *Entry, m message) {
	t.markExplained(m.crash)
	if slices.Contains(e.Crashes, m.crash) || len(e.Crashes) >= maxCrashesPerEntry {
		return
	}
	e.Crashes = append(e.Crashes, m.crash)
	t.resendCrashes(m.queuedAt, e)
}

// threshold returns the number of crashes that quarantine a suspect.
func (t *Tracker) threshold(s *suspect) int {
	n := cmp.Or(t.Threshold, DefaultThreshold)
	if s.succeeded {
		n *= succeededFactor
	}
	return n
}

// resendCrashes sends the crashes of a quarantined request again, for nodes that missed some of them because they
// started later or were cut off.
func (t *Tracker) resendCrashes(now sageclock.Instant, e *Entry) {
	for _, c := range e.Crashes {
		t.out.addLocal(message{e.Request, c, now, true})
	}
}

// matchAbandoned records the crash as evidence against the requests that this node recently abandoned there.
func (t *Tracker) matchAbandoned(now sageclock.Instant, c CrashID) []Entry {
	if len(t.abandoned) == 0 {
		return nil
	}
	var out []Entry
	var remaining []abandoned
	for _, a := range t.abandoned {
		switch {
		case now.Sub(a.at) >= abandonedTTL:
		case a.crash == c:
			out = t.addEvidence(out, message{a.request, c, now, true})
		default:
			remaining = append(remaining, a)
		}
	}
	t.abandoned = remaining
	return out
}

// clear discounts the crashes under a suspect and ends its quarantine.
func (t *Tracker) clear(m message) {
	t.out.expire(m.queuedAt)
	s, e := t.suspects[m.suspect], t.entries[m.suspect]
	if e == nil && (s == nil || len(s.counted) == 0) {
		return
	}
	if s != nil {
		s.discountAll()
	}
	delete(t.entries, m.suspect)
	t.out.add(m)
}

// markExplained records a crash under a quarantined request. The crash is discounted for suspects that have no
// other one, to prevent the quarantine of harmless requests that are sent to the upstreams that the quarantined
// request crashes. Suspects with more crashes may crash upstreams themselves.
func (t *Tracker) markExplained(c CrashID) {
	if t.isExplained(c) {
		return
	}
	t.explainedCrashes = append(t.explainedCrashes, c)
	t.explainedCrashes = t.explainedCrashes[max(0, len(t.explainedCrashes)-maxExplained):]
	for _, s := range t.suspects {
		if len(s.counted) == 1 {
			s.discount(c)
		}
	}
}

func (t *Tracker) isExplained(c CrashID) bool { return slices.Contains(t.explainedCrashes, c) }

// hasRepeatedCrashes reports whether a request is quarantined or more than one crash counts against it.
func (t *Tracker) hasRepeatedCrashes(f Fingerprint) bool {
	s := t.suspects[f]
	return t.entries[f] != nil || s != nil && len(s.counted) > 1
}
