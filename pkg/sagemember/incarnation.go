package sagemember

import "math/rand/v2"

// newIncarnation returns a random number rather than a count or a time: a VM without a disk that is
// replaced at the same address has lost any count, and its clock may be behind that of its predecessor.
func (t *Table) newIncarnation() uint64 {
	random := t.Random
	if random == nil {
		random = rand.Uint64
	}
	for {
		if n := random(); n != 0 {
			return n
		}
	}
}

// shortID is the low half of an incarnation. Digests carry only this half, to stay small.
func shortID(incarnation uint64) uint32 { return uint32(incarnation) }

// entryByShortID returns the entry with that short ID, or nil.
func (t *Table) entryByShortID(id uint32) *entry { return t.byShortID[id] }

// resolveShortIDCollision renews the local incarnation if its short ID equals that of another node,
// since digests couldn't distinguish their heartbeats. Of the two nodes, the one with the greater
// incarnation renews.
func (t *Table) resolveShortIDCollision(other uint64) {
	if shortID(other) == shortID(t.Self.Incarnation) && t.Self.Incarnation > other {
		t.renewIncarnation()
	}
}

// renewIncarnation makes this process appear as a new node to its peers.
func (t *Table) renewIncarnation() {
	t.Self.Incarnation = t.newIncarnation()
	t.Self.Counter = 1
}

// present reports whether the node may still be running: neither dead nor gone.
func (e *entry) present() bool { return e.State != Dead && e.Phase != Gone }

func (t *Table) remove(id uint64) {
	if t.byShortID[shortID(id)] == t.nodes[id] {
		delete(t.byShortID, shortID(id))
	}
	delete(t.nodes, id)
}
