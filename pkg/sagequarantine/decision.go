package sagequarantine

import (
	"cmp"
	"slices"

	"sagestand.example/sagestand/pkg/sageclock"
)

// decide quarantines suspects against which new crashes count, the one that explains most crashes first. What it explains
// no longer counts against the others.
func (t *Tracker) decide(now sageclock.Instant, changed []*record) []Entry {
	var out []Entry
	for len(changed) > 0 {
		best := slices.MinFunc(changed, t.compare)
		changed = slices.DeleteFunc(changed, func(r *record) bool { return r == best })
		if t.entries[best.Fingerprint] != nil || t.suspects[best.Fingerprint] != best {
			continue
		}
		if t.explainsEnough(best) {
			out = append(out, t.enter(now, best.Suspect, t.companions(best), best.counted))
			continue
		}
		if s, crashes, ok := t.sharedByAccounts(best); ok {
			out = append(out, t.enter(now, s, nil, crashes))
		}
	}
	return out
}

// compare orders records by how well they explain crashes: by the unexplained crashes, then those that never succeeded, then
// by how few requests they bar.
func (t *Tracker) compare(a, b *record) int {
	return cmp.Or(
		cmp.Compare(countEvents(b.Kind, t.unexplained(b)), countEvents(a.Kind, t.unexplained(a))),
		cmp.Compare(t.threshold(a), t.threshold(b)),
		cmp.Compare(a.Kind, b.Kind),
		cmp.Compare(a.Fingerprint, b.Fingerprint),
	)
}

// unexplained returns the crashes that count against a suspect and that no quarantined one explains.
func (t *Tracker) unexplained(r *record) []Crash {
	var out []Crash
	for _, c := range r.counted {
		if t.explained[c.ID] == 0 {
			out = append(out, c)
		}
	}
	return out
}

// threshold returns the number of crashes at different times that quarantine a suspect.
func (t *Tracker) threshold(r *record) int {
	n := cmp.Or(t.Threshold, DefaultThreshold)
	if r.succeeded || t.successes.known(r.Fingerprint) {
		n *= succeededFactor
	}
	return n
}

// explainsEnough reports whether a suspect is to be quarantined: for the crashes that nothing else explains, or since it
// explains all crashes of a quarantined suspect and more.
func (t *Tracker) explainsEnough(r *record) bool {
	n, unexplained := t.threshold(r), countEvents(r.Kind, t.unexplained(r))
	if unexplained >= n {
		return true
	}
	if unexplained == 0 || countEvents(r.Kind, r.counted) <= n {
		return false
	}
	for _, e := range t.entries {
		if len(e.Crashes) >= n && isSubset(e.Crashes, r.counted) {
			return true
		}
	}
	return false
}

// companions returns the other parts that explain the same crashes as a part and that have not succeeded either. Which of
// them is fatal isn't known, and the others may be sound parts that many requests share.
func (t *Tracker) companions(r *record) []Suspect {
	if r.Kind != Part {
		return nil
	}
	var out []Suspect
	for _, o := range t.suspects {
		if o != r && o.Kind == Part && len(o.counted) == len(r.counted) && t.threshold(o) == t.threshold(r) && isSubset(o.counted, r.counted) {
			out = append(out, o.Suspect)
		}
	}
	slices.SortFunc(out, func(a, b Suspect) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return out[:min(len(out), maxCompanions)]
}

// sharedByAccounts returns the part for all client accounts, with its crashes, if the crashes under it in the requests of
// several accounts add up. A single account can't bring that about, whatever parts it names.
func (t *Tracker) sharedByAccounts(r *record) (Suspect, []Crash, bool) {
	if r.Kind != Part || t.entries[r.Shared] != nil || t.successes.known(r.Shared) {
		return Suspect{}, nil, false
	}
	var crashes []Crash
	accounts, repeated := 0, 0
	for _, m := range t.accounts[r.Shared] {
		own := t.unexplained(m)
		if m.succeeded {
			return Suspect{}, nil, false
		}
		if len(own) > 0 {
			accounts++
		}
		if countEvents(Part, own) > 1 {
			repeated++
		}
		for _, c := range own {
			if !slices.ContainsFunc(crashes, func(o Crash) bool { return o.ID == c.ID }) {
				crashes = append(crashes, c)
			}
		}
	}
	enough := countEvents(SharedPart, crashes) > cmp.Or(t.Threshold, DefaultThreshold) && (repeated >= minRepeatedAccounts || accounts >= minAccounts)
	return Suspect{Kind: SharedPart, Fingerprint: r.Shared, Label: r.Label}, crashes, enough
}

// enter quarantines a suspect, and ends the quarantines of parts whose crashes it explains besides others. Those of whole requests stay:
// what explains their crashes may succeed in other requests, or be no part of them.
func (t *Tracker) enter(now sageclock.Instant, s Suspect, companions []Suspect, crashes []Crash) Entry {
	e := &Entry{Suspect: s, Companions: companions, Crashes: slices.Clone(crashes), Since: now, Until: now.Add(QuarantineDuration)}
	for f, other := range t.entries {
		if other.Suspect.Kind != Request && len(other.Crashes) > 0 && len(other.Crashes) < len(e.Crashes) && isSubset(other.Crashes, e.Crashes) {
			t.dropEntry(f)
		}
	}
	t.quarantine(e)
	t.resendCrashes(now, s, crashes)
	for _, c := range companions {
		t.resendCrashes(now, c, crashes)
	}
	return *e
}

// isSubset reports whether all crashes of a are in b.
func isSubset(a, b []Crash) bool {
	ids := idsOf(b)
	return !slices.ContainsFunc(a, func(c Crash) bool { return !slices.Contains(ids, c.ID) })
}
