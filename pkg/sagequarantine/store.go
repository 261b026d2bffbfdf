package sagequarantine

import (
	"maps"
	"slices"

	"sagestand.example/sagestand/pkg/sageclock"
)

// storeState is the content of the store as last seen by this node, and since when it differs from the Tracker.
type storeState struct {
	quarantined map[Fingerprint]Suspect
	differences map[Fingerprint]sageclock.Instant
	// listedAt is when this node last listed the store; 0 before the first time.
	listedAt sageclock.Instant
	// written is when this node began to write a quarantine.
	written map[Fingerprint]sageclock.Instant
}

// Difference is a suspect that is quarantined by the Tracker but missing from the store, or the reverse.
type Difference struct {
	Suspect Suspect
	// Companions are those of the quarantine, see [Entry].
	Companions []Suspect
	// Crashes is the number of known crashes under it.
	Crashes int
	// Quarantined says that the Tracker quarantines it, so that the store should contain it.
	Quarantined bool
	// Since is when the difference was first seen.
	Since sageclock.Instant
}

// Restore records that the store contains a suspect with its companions, and reports whether that starts its quarantine on this node.
//
// Without it, each quarantined suspect would crash as many upstreams again after a restart of all nodes.
func (t *Tracker) Restore(now sageclock.Instant, s Suspect, companions ...Suspect) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	defer t.updateCounts()
	t.store.add(s)
	if e := t.entries[s.Fingerprint]; e != nil {
		e.stored = true
		return false
	}
	t.quarantine(&Entry{Suspect: s, Companions: companions, Since: now, Until: now.Add(QuarantineDuration), stored: true})
	return true
}

// RecordListing records that this node has listed the store, so that what it lacks may have been released before.
func (t *Tracker) RecordListing(now sageclock.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.store.listedAt = now
}

// confirmed reports whether a quarantine that the store lacks hasn't been released as far as this node can know: the store had it
// since the listing, or a crash under it happened here or after the listing.
func (t *Tracker) confirmed(e *Entry) bool {
	return e.stored || t.store.listedAt == 0 || slices.ContainsFunc(e.Crashes, func(c Crash) bool { return c.own || c.At > t.store.listedAt })
}

// RecordStored records whether the store contains a suspect, without a decision of anybody: the store was restored from a
// copy. What the Tracker quarantines doesn't change, and [Tracker.Differences] reports what has to be written again.
func (t *Tracker) RecordStored(s Suspect, stored bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !stored {
		t.store.remove(s.Fingerprint)
		return
	}
	t.store.add(s)
	if e := t.entries[s.Fingerprint]; e != nil {
		e.stored = true
	}
}

// RecordWrite records that this node is about to write the quarantine of a suspect to the store.
func (t *Tracker) RecordWrite(now sageclock.Instant, f Fingerprint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.store.written == nil {
		t.store.written = make(map[Fingerprint]sageclock.Instant)
	}
	t.store.written[f] = now
}

// ReleasedSinceWrite reports whether a suspect was released after this node began to write its quarantine. What it wrote was
// decided without knowledge of the release.
func (t *Tracker) ReleasedSinceWrite(f Fingerprint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	written, ok := t.store.written[f]
	released, ok2 := t.released[f]
	return ok && ok2 && released >= written
}

// add and remove record whether the store contains a suspect. A difference counts from the last change.
func (o *storeState) add(s Suspect) {
	delete(o.differences, s.Fingerprint)
	if o.quarantined == nil {
		o.quarantined = make(map[Fingerprint]Suspect)
	}
	o.quarantined[s.Fingerprint] = s
}

func (o *storeState) remove(f Fingerprint) {
	delete(o.differences, f)
	delete(o.quarantined, f)
}

// Release records that the store no longer contains a suspect, which ends its quarantine. Evidence of earlier crashes, which
// may still be on its way, no longer counts.
func (t *Tracker) Release(now sageclock.Instant, f Fingerprint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	defer t.updateCounts()
	t.store.remove(f)
	t.dropEntry(f)
	t.dropRecord(f)
	t.out.remove(f)
	if t.released == nil {
		t.released = make(map[Fingerprint]sageclock.Instant)
	}
	t.released[f] = now
}

// Differences returns the differences between the Tracker and the store, ordered by fingerprint.
func (t *Tracker) Differences(now sageclock.Instant) []Difference {
	t.mu.Lock()
	defer t.mu.Unlock()
	differences := make(map[Fingerprint]sageclock.Instant)
	add := func(f Fingerprint) {
		differences[f] = now
		if since, ok := t.store.differences[f]; ok {
			differences[f] = since
		}
	}
	for f, e := range t.entries {
		if _, ok := t.store.quarantined[f]; !ok && t.confirmed(e) {
			add(f)
		}
	}
	for f := range t.store.quarantined {
		if t.entries[f] == nil {
			add(f)
		}
	}
	t.store.differences = differences
	var out []Difference
	for _, f := range slices.Sorted(maps.Keys(differences)) {
		d := Difference{Suspect: t.store.quarantined[f], Since: differences[f]}
		if e := t.entries[f]; e != nil {
			d.Suspect, d.Companions, d.Crashes, d.Quarantined = e.Suspect, e.Companions, len(e.Crashes), true
		}
		out = append(out, d)
	}
	return out
}
