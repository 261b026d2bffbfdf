package sageplace

// entriesPerSet is the number of entries in a set of an [LRUMap].
const entriesPerSet = 4

// LRUMap is a set-associative map of fixed size with hashed keys. A full set evicts its least recently
// used entry, so an entry may disappear at any time. Only NewLRUMap allocates. Key 0 stands for an
// empty entry.
type LRUMap[V any] struct {
	sets  []lruSet[V]
	clock uint32
}

type lruSet[V any] struct {
	keys     [entriesPerSet]uint64
	lastUsed [entriesPerSet]uint32
	values   [entriesPerSet]V
}

// NewLRUMap returns a map that holds about n entries.
func NewLRUMap[V any](n int) *LRUMap[V] {
	return &LRUMap[V]{sets: make([]lruSet[V], max(1, n/entriesPerSet))}
}

// Get returns the value of key, or nil. The pointer is valid until the next GetOrInsert.
func (m *LRUMap[V]) Get(key uint64) *V {
	s := m.setOf(key)
	for i, k := range s.keys {
		if k == key {
			m.clock++
			s.lastUsed[i] = m.clock
			return &s.values[i]
		}
	}
	return nil
}

// GetOrInsert returns the value of key and inserts a zero value if the key is absent.
func (m *LRUMap[V]) GetOrInsert(key uint64) *V {
	if v := m.Get(key); v != nil {
		return v
	}
	s := m.setOf(key)
	oldest := 0
	for i := range s.lastUsed {
		if m.clock-s.lastUsed[i] > m.clock-s.lastUsed[oldest] {
			oldest = i
		}
	}
	m.clock++
	var zero V
	s.keys[oldest], s.lastUsed[oldest], s.values[oldest] = key, m.clock, zero
	return &s.values[oldest]
}

// Delete removes key.
func (m *LRUMap[V]) Delete(key uint64) {
	s := m.setOf(key)
	for i, k := range s.keys {
		if k == key {
			var zero V
			s.keys[i], s.lastUsed[i], s.values[i] = 0, 0, zero
		}
	}
}

func (m *LRUMap[V]) setOf(key uint64) *lruSet[V] {
	return &m.sets[mix(key)%uint64(len(m.sets))]
}
