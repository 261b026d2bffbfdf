package sagequarantine

import (
	"maps"
	"slices"

	"sagestand.example/sagestand/pkg/sageclock"
)

// storeState is the content of the store as last seen by this node, and since when it differs from the Tracker.
type storeState struct {
	quarantined map[Fingerprint]bool
	differences map[Fingerprint]sageclock.Instant
}

// Difference is a request that is quarantined by the Tracker but missing from the store, or the reverse.
type Difference struct {
	Request Fingerprint
	// Quarantined says that the Tracker quarantines the request, so that the store should contain it.
	Quarantined bool
	// Since is when the difference was first seen.
	Since sageclock.Instant
}

// Restore records that the store contains a request, and reports whether that starts its quarantine on this node.
//
// Without it, each quarantined request would crash as many upstreams again after a restart of all nodes.
func (t *Tracker) Restore(now sageclock.Instant, f Fingerprint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	defer t.updateCounts()
	if t.store.quarantined == nil {
		t.store.quarantined = make(map[Fingerprint]bool)
	}
	t.store.quarantined[f] = true
	if t.entries[f] != nil {
		return false
	}
	t.quarantine(&Entry{Request: f, Since: now, Until: now.Add(QuarantineDuration)})
	return true
}

// RecordStored records whether the store contains a request, without a decision of anybody: the store was restored from a
// copy. What the Tracker quarantines doesn't change, and [Tracker.Differences] reports what has to be written again.
func (t *Tracker) RecordStored(f Fingerprint, stored bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !stored {
		delete(t.store.quarantined, f)
		return
	}
	if t.store.quarantined == nil {
		t.store.quarantined = make(map[Fingerprint]bool)
	}
	t.store.quarantined[f] = true
}

// Release records that the store no longer contains a request, which ends its quarantine.
func (t *Tracker) Release(f Fingerprint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	defer t.updateCounts()
	delete(t.store.quarantined, f)
	delete(t.entries, f)
	delete(t.suspects, f)
}

// Differences returns the differences between the Tracker and the store, ordered by request.
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
	for f := range t.entries {
		if !t.store.quarantined[f] {
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
		out = append(out, Difference{Request: f, Quarantined: t.entries[f] != nil, Since: differences[f]})
	}
	return out
}
