package sagequarantine

import (
	"maps"
	"slices"

	"sagestand.example/sagestand/pkg/sageclock"
)

// mirror is what the store holds, as far as this node knows, and since when it differs from the book.
type mirror struct {
	held    map[Fingerprint]bool
	differs map[Fingerprint]sageclock.Instant
}

// Difference is a request that the store holds and the book does not, or the reverse.
type Difference struct {
	Request Fingerprint
	// Quarantined says that the store should hold it.
	Quarantined bool
	// Since is when the difference was first seen.
	Since sageclock.Instant
}

// Restore takes in that the store holds a request, and reports whether that begins a quarantine here.
//
// It guards against a fleet that forgets: nodes that start again know nothing, and each request that was quarantined
// would crash as many upstreams once more.
func (b *Tracker) Restore(now sageclock.Instant, f Fingerprint) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	defer b.count()
	if b.store.held == nil {
		b.store.held = make(map[Fingerprint]bool)
	}
	b.store.held[f] = true
	if b.entries[f] != nil {
		return false
	}
	b.put(&Entry{Request: f, Since: now, Until: now.Add(QuarantineDuration)})
	return true
}

// Release takes in that the store no longer holds a request, which ends its quarantine.
func (b *Tracker) Release(f Fingerprint) {
	b.mu.Lock()
	defer b.mu.Unlock()
	defer b.count()
	delete(b.store.held, f)
	delete(b.entries, f)
	delete(b.records, f)
}

// Differences returns how the store differs from the book, ordered by request.
func (b *Tracker) Differences(now sageclock.Instant) []Difference {
	b.mu.Lock()
	defer b.mu.Unlock()
	differs := make(map[Fingerprint]sageclock.Instant)
	note := func(f Fingerprint) {
		differs[f] = now
		if since, ok := b.store.differs[f]; ok {
			differs[f] = since
		}
	}
	for f := range b.entries {
		if !b.store.held[f] {
			note(f)
		}
	}
	for f := range b.store.held {
		if b.entries[f] == nil {
			note(f)
		}
	}
	b.store.differs = differs
	var out []Difference
	for _, f := range slices.Sorted(maps.Keys(differs)) {
		out = append(out, Difference{Request: f, Quarantined: b.entries[f] != nil, Since: differs[f]})
	}
	return out
}
