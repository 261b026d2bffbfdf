package sageplace

// Evidence remembers, for recent chats, the upstream that holds their cached prefix. It is fed by own
// answers and by the engines' cache events, which come late and with gaps; nothing depends on it but
// the chance of meeting a warm cache.
type Evidence struct {
	held *Bounded[holding]
}

type holding struct {
	upstream   uint64
	generation uint64
}

// NewEvidence returns evidence on about n chats.
func NewEvidence(n int) *Evidence { return &Evidence{held: NewBounded[holding](n)} }

// Stored notes that an upstream holds the prefix of a chat.
func (e *Evidence) Stored(chat, upstream, generation uint64) {
	*e.held.Put(chat) = holding{upstream: upstream, generation: generation}
}

// Evicted notes that an upstream no longer holds the prefix of a chat. A late event about an upstream
// that the chat has since left changes nothing.
func (e *Evidence) Evicted(chat, upstream, generation uint64) {
	if h := e.held.Get(chat); h != nil && h.upstream == upstream && h.generation <= generation {
		e.held.Delete(chat)
	}
}

// Place returns where the chat's prefix was last known to be.
func (e *Evidence) Place(chat uint64) (Place, bool) {
	h := e.held.Get(chat)
	if h == nil || chat == 0 {
		return Place{}, false
	}
	return Place{Upstream: h.upstream, Generation: h.generation}, true
}
