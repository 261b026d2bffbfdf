package sagequarantine

import (
	"cmp"
	"slices"

	"sagestand.example/sagestand/pkg/sageclock"
)

// abandoned is a request that this node gave up while an upstream ran it.
type abandoned struct {
	request Fingerprint
	crash   CrashID // of that upstream, should it crash
	at      sageclock.Instant
}

// Crashed takes in that an upstream crashed while this node's requests ran there, and returns those that are
// quarantined from now on. Without requests it only recalls the abandoned ones.
func (b *Tracker) RecordCrash(now sageclock.Instant, c CrashID, requests ...Fingerprint) []Entry {
	b.mu.Lock()
	defer b.mu.Unlock()
	defer b.count()
	out := b.matchAbandoned(now, c)
	for _, f := range requests {
		out = b.note(out, message{f, c, now, true})
	}
	return out
}

// Abandoned takes in that this node gave a request up while an upstream ran it.
//
// It guards against a request whose callers leave before it crashes the upstream: no exchange is left that would
// break.
func (b *Tracker) RecordAbandoned(now sageclock.Instant, c CrashID, f Fingerprint) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.abandoned = append(b.abandoned, abandoned{f, c, now})
	b.abandoned = b.abandoned[max(0, len(b.abandoned)-mostAbandoned):]
}

// Learn takes in another node's reports and cleared suspects, and returns the requests that are quarantined from now
// on.
func (b *Tracker) Merge(now sageclock.Instant, reports []Report, cleared []Fingerprint) []Entry {
	if len(reports) == 0 && len(cleared) == 0 {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	defer b.count()
	var out []Entry
	for _, r := range reports {
		out = append(out, b.matchAbandoned(now, r.Crash)...)
		for _, f := range r.Suspects {
			out = b.note(out, message{f, r.Crash, now, false})
		}
	}
	for _, f := range cleared {
		b.clear(message{suspect: f, since: now})
	}
	return out
}

// Succeeded takes in that a request was executed to its end, which clears it.
//
// It guards against quarantine of a harmless request that many callers send alike: while upstreams crash for other
// reasons, some of its attempts run there each time.
func (b *Tracker) RecordSuccess(now sageclock.Instant, f Fingerprint) {
	if !b.Active() {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	defer b.count()
	b.clear(message{suspect: f, since: now, own: true})
}

// note takes in that a request ran when an upstream crashed, and appends it to entries if it is quarantined thereby.
func (b *Tracker) note(entries []Entry, m message) []Entry {
	now := m.since
	b.out.sweep(now)
	if e := b.entries[m.suspect]; e != nil && now < e.Until {
		b.noteQuarantined(e, m)
		return entries
	}
	r := b.record(now, m.suspect)
	if r.has(m.crash) {
		return entries
	}
	b.out.add(m)
	r.last = now
	if b.isExplained(m.crash) {
		r.putAside(m.crash)
		return entries
	}
	r.counted = append(r.counted, m.crash)
	if len(r.counted) < b.threshold(r) {
		return entries
	}
	e := Entry{Request: m.suspect, Crashes: r.counted, Since: now, Until: now.Add(QuarantineDuration)}
	b.put(&e)
	for _, c := range e.Crashes {
		b.explain(c)
	}
	b.remind(now, &e)
	return append(entries, e)
}

// noteQuarantined takes in one more crash under a quarantined request. Whoever reports it may not know of the others; a
// crash that is known already says nothing of that.
func (b *Tracker) noteQuarantined(e *Entry, m message) {
	b.explain(m.crash)
	if slices.Contains(e.Crashes, m.crash) || len(e.Crashes) >= mostCrashes {
		return
	}
	e.Crashes = append(e.Crashes, m.crash)
	b.remind(m.since, e)
}

// threshold returns how many crashes quarantine a suspect.
func (b *Tracker) threshold(r *record) int {
	n := cmp.Or(b.Threshold, DefaultThreshold)
	if r.succeeded {
		n *= succeededTimes
	}
	return n
}

// remind passes the crashes of a quarantined request on anew, for nodes that know of some only: they started or were
// cut off in between.
func (b *Tracker) remind(now sageclock.Instant, e *Entry) {
	for _, c := range e.Crashes {
		b.out.adopt(message{e.Request, c, now, true})
	}
}

// matchAbandoned notes the requests that this node had given up at an upstream that crashed soon after.
func (b *Tracker) matchAbandoned(now sageclock.Instant, c CrashID) []Entry {
	if len(b.abandoned) == 0 {
		return nil
	}
	var out []Entry
	var rest []abandoned
	for _, a := range b.abandoned {
		switch {
		case now.Sub(a.at) >= runsOn:
		case a.crash == c:
			out = b.note(out, message{a.request, c, now, true})
		default:
			rest = append(rest, a)
		}
	}
	b.abandoned = rest
	return out
}

// clear sets aside what speaks against a suspect and ends its quarantine.
func (b *Tracker) clear(m message) {
	b.out.sweep(m.since)
	r, e := b.records[m.suspect], b.entries[m.suspect]
	if e == nil && (r == nil || len(r.counted) == 0) {
		return
	}
	if r != nil {
		r.clear()
	}
	delete(b.entries, m.suspect)
	b.out.add(m)
}

// explain notes a crash under which a quarantined request ran. It no longer speaks against suspects that have no other
// one; those with more may crash upstreams as well.
//
// It guards against quarantine of harmless requests that come to the same upstreams as one that crashes them.
func (b *Tracker) explain(c CrashID) {
	if b.isExplained(c) {
		return
	}
	b.explained = append(b.explained, c)
	b.explained = b.explained[max(0, len(b.explained)-mostExplained):]
	for _, r := range b.records {
		if len(r.counted) == 1 {
			r.drop(c)
		}
	}
}

func (b *Tracker) isExplained(c CrashID) bool { return slices.Contains(b.explained, c) }

// repeated reports whether more than one crash speaks against a request.
func (b *Tracker) repeated(f Fingerprint) bool {
	r := b.records[f]
	return b.entries[f] != nil || r != nil && len(r.counted) > 1
}
