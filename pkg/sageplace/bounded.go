package sageplace

// ways is the number of entries that share a slot of a [LRUMap]; the oldest of them gives way.
const ways = 4

// LRUMap is a map of fixed size from hashed keys to values. A full slot forgets the entry that was
// used longest ago, so what it holds is only ever a hint. It allocates only when made.
type LRUMap[V any] struct {
	slots []slot[V]
	clock uint32
}

type slot[V any] struct {
	keys   [ways]uint64
	used   [ways]uint32
	values [ways]V
}

// NewLRUMap returns a map that holds about n entries.
func NewLRUMap[V any](n int) *LRUMap[V] {
	return &LRUMap[V]{slots: make([]slot[V], max(1, n/ways))}
}

// Get returns the value of key, or nil. The pointer holds until the next Put.
func (b *LRUMap[V]) Get(key uint64) *V {
	s := b.slot(key)
	for i, k := range s.keys {
		if k == key {
			b.clock++
			s.used[i] = b.clock
			return &s.values[i]
		}
	}
	return nil
}

// Put returns the value of key, a zero one if it was absent.
func (b *LRUMap[V]) GetOrInsert(key uint64) *V {
	if v := b.Get(key); v != nil {
		return v
	}
	s := b.slot(key)
	oldest := 0
	for i := range s.used {
		if b.clock-s.used[i] > b.clock-s.used[oldest] {
			oldest = i
		}
	}
	b.clock++
	var zero V
	s.keys[oldest], s.used[oldest], s.values[oldest] = key, b.clock, zero
	return &s.values[oldest]
}

// Delete forgets key.
func (b *LRUMap[V]) Delete(key uint64) {
	s := b.slot(key)
	for i, k := range s.keys {
		if k == key {
			var zero V
			s.keys[i], s.used[i], s.values[i] = 0, 0, zero
		}
	}
}

func (b *LRUMap[V]) slot(key uint64) *slot[V] {
	return &b.slots[mix(key)%uint64(len(b.slots))]
}
