package sagestandin

import (
	"container/list"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// block is one cached message: the hash of the conversation up to and including it, and its number of tokens.
type block struct {
	hash   uint64
	tokens int
}

// blocks splits a conversation into blocks. Each hash covers all messages before it, so conversations with a
// common prefix share the blocks of that prefix.
func blocks(messages []Message) []block {
	out := make([]block, 0, len(messages))
	d := xxhash.New()
	for _, m := range messages {
		_, _ = d.WriteString(m.Role + "\x00" + m.Content + "\x01")
		out = append(out, block{hash: d.Sum64(), tokens: max(1, len(strings.Fields(m.Content)))})
	}
	return out
}

// CacheEvent reports that a block was added to the prefix cache or evicted from it.
type CacheEvent struct {
	Seq   int64  `json:"seq"`
	Added bool   `json:"added"`
	Block uint64 `json:"block"`
}

// maxEvents is how many cache events are retained. Readers see dropped events as a gap in the sequence numbers.
const maxEvents = 4096

// prefixCache is an LRU cache of blocks, limited to maxTokens tokens.
type prefixCache struct {
	maxTokens int

	mu         sync.Mutex
	usedTokens int
	lru        *list.List
	byHash     map[uint64]*list.Element
	events     []CacheEvent
	seq        int64
}

func newPrefixCache(limit int) *prefixCache {
	return &prefixCache{maxTokens: limit, lru: list.New(), byHash: make(map[uint64]*list.Element)}
}

// admit adds all blocks of a conversation. It returns the number of tokens in the longest prefix that was
// already cached, and the total number of tokens.
func (c *prefixCache) admit(conversation []block) (cached, total int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	prefix := true
	for _, b := range conversation {
		total += b.tokens
		e, ok := c.byHash[b.hash]
		if ok {
			c.lru.MoveToFront(e)
		}
		prefix = prefix && ok
		if prefix {
			cached += b.tokens
		}
		if !ok {
			c.add(b)
		}
	}
	return cached, total
}

// add adds one block and evicts the least recently used blocks until the cache is within its limit. The caller
// must hold mu.
func (c *prefixCache) add(b block) {
	c.byHash[b.hash] = c.lru.PushFront(b)
	c.usedTokens += b.tokens
	c.recordEvent(b.hash, true)
	for c.usedTokens > c.maxTokens && c.lru.Len() > 0 {
		last := c.lru.Back()
		old, _ := c.lru.Remove(last).(block)
		delete(c.byHash, old.hash)
		c.usedTokens -= old.tokens
		c.recordEvent(old.hash, false)
	}
}

func (c *prefixCache) recordEvent(hash uint64, added bool) {
	c.seq++
	c.events = append(c.events, CacheEvent{Seq: c.seq, Added: added, Block: hash})
	if len(c.events) > maxEvents {
		c.events = c.events[len(c.events)-maxEvents:]
	}
}

// since returns the retained events with sequence numbers greater than seq, without the newest lag events.
func (c *prefixCache) since(seq int64, lag int) []CacheEvent {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := []CacheEvent{}
	for i, e := range c.events {
		if e.Seq > seq && i < len(c.events)-lag {
			out = append(out, e)
		}
	}
	return out
}
