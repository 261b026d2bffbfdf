package sageplace

// PrefixLocations remembers, for recent chats, the upstream that has their prefix cached. Its sources
// are the router's own responses and the engines' cache events, which arrive late and with gaps. Only
// the cache hit rate depends on it.
type PrefixLocations struct {
	byChat *LRUMap[storedLocation]
}

type storedLocation struct {
	upstream   uint64
	generation uint64
}

// NewPrefixLocations returns an empty PrefixLocations for about n chats.
func NewPrefixLocations(n int) *PrefixLocations {
	return &PrefixLocations{byChat: NewLRUMap[storedLocation](n)}
}

// RecordStored records that an upstream has the prefix of a chat in its cache.
func (p *PrefixLocations) RecordStored(chat, upstream, generation uint64) {
	*p.byChat.GetOrInsert(chat) = storedLocation{upstream: upstream, generation: generation}
}

// RecordEvicted records that an upstream no longer has the prefix of a chat. It ignores a late event of
// an upstream that the chat has since left.
func (p *PrefixLocations) RecordEvicted(chat, upstream, generation uint64) {
	if loc := p.byChat.Get(chat); loc != nil && loc.upstream == upstream && loc.generation <= generation {
		p.byChat.Delete(chat)
	}
}

// Lookup returns the last known location of the chat's prefix.
func (p *PrefixLocations) Lookup(chat uint64) (Location, bool) {
	loc := p.byChat.Get(chat)
	if loc == nil || chat == 0 {
		return Location{}, false
	}
	return Location{Upstream: loc.upstream, Generation: loc.generation}, true
}
