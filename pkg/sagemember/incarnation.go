package sagemember

import "math/rand/v2"

// freshIncarnation is random rather than counted or timed: a VM without disk that is replaced at the
// same address remembers no count, and its clock may be behind that of its predecessor.
func (t *Table) freshIncarnation() uint64 {
	next := t.Random
	if next == nil {
		next = rand.Uint64
	}
	for {
		if n := next(); n != 0 {
			return n
		}
	}
}

// short is the half of an incarnation that digests carry, to keep them small.
func short(incarnation uint64) uint32 { return uint32(incarnation) }

// byShort returns the node of that half, or nil.
func (t *Table) byShort(id uint32) *entry { return t.shorts[id] }

// avoid takes another incarnation when the low half of this one's is the same as that of another
// node: their heartbeats couldn't be told apart. Of the two, the greater number gives way.
func (t *Table) avoid(other uint64) {
	if short(other) == short(t.Self.Incarnation) && t.Self.Incarnation > other {
		t.renew()
	}
}

// renew makes this process another node to its peers.
func (t *Table) renew() {
	t.Self.Incarnation = t.freshIncarnation()
	t.Self.Counter = 1
}

// there says whether the node counts among those that may be there.
func (e *entry) there() bool { return e.State != Dead && e.Phase != Gone }

func (t *Table) forget(id uint64) {
	if t.shorts[short(id)] == t.nodes[id] {
		delete(t.shorts, short(id))
	}
	delete(t.nodes, id)
}
