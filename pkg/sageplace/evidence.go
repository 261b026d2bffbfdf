package sageplace

// PrefixLocations remembers, for recent chats, the upstream that holds their cached prefix. It is fed by own
// answers and by the engines' cache events, which come late and with gaps; nothing depends on it but
// the chance of meeting a warm cache.
type PrefixLocations struct {
	held *LRUMap[holding]
}

type holding struct {
	upstream   uint64
	generation uint64
}

// NewPrefixLocations returns evidence on about n chats.
func NewPrefixLocations(n int) *PrefixLocations { return &PrefixLocations{held: NewLRUMap[holding](n)} }

// Stored notes that an upstream holds the prefix of a chat.
func (e *PrefixLocations) RecordStored(chat, upstream, generation uint64) {
	*e.held.GetOrInsert(chat) = holding{upstream: upstream, generation: generation}
}

// Evicted notes that an upstream no longer holds the prefix of a chat. A late event about an upstream
// that the chat has since left changes nothing.
func (e *PrefixLocations) RecordEvicted(chat, upstream, generation uint64) {
	if h := e.held.Get(chat); h != nil && h.upstream == upstream && h.generation <= generation {
		e.held.Delete(chat)
	}
}

// Location returns where the chat's prefix was last known to be.
func (e *PrefixLocations) Lookup(chat uint64) (Location, bool) {
	h := e.held.Get(chat)
	if h == nil || chat == 0 {
		return Location{}, false
	}
	return Location{Upstream: h.upstream, Generation: h.generation}, true
}
