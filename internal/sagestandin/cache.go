package sagestandin

import (
	"container/list"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// block is one cached message: the hash of the conversation up to and with it, and its tokens.
type block struct {
	hash   uint64
	tokens int
}

// blocks cuts a conversation into blocks whose hashes chain, so that equal prefixes share blocks.
func blocks(messages []Message) []block {
	out := make([]block, 0, len(messages))
	d := xxhash.New()
	for _, m := range messages {
		_, _ = d.WriteString(m.Role + "\x00" + m.Content + "\x01")
		out = append(out, block{hash: d.Sum64(), tokens: max(1, len(strings.Fields(m.Content)))})
	}
	return out
}

// CacheEvent tells that a block entered or left the prefix cache.
type CacheEvent struct {
	Seq   int64  `json:"seq"`
	Added bool   `json:"added"`
	Block uint64 `json:"block"`
}

// maxEvents bounds the kept cache events; older ones are gone, which readers see as a gap.
const maxEvents = 4096

// prefixCache is an LRU of blocks in a limited number of tokens.
type prefixCache struct {
	limit int

	mu     sync.Mutex
	used   int
	order  *list.List
	byHash map[uint64]*list.Element
	events []CacheEvent
	seq    int64
}

func newPrefixCache(limit int) *prefixCache {
	return &prefixCache{limit: limit, order: list.New(), byHash: make(map[uint64]*list.Element)}
}

// admit returns how many tokens of the longest cached prefix of bs were held, and caches all of bs.
func (c *prefixCache) admit(bs []block) (cached, total int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	prefix := true
	for _, b := range bs {
		total += b.tokens
		e, ok := c.byHash[b.hash]
		if ok {
			c.order.MoveToFront(e)
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

// add caches one block and evicts the least recently used beyond the limit; mu is held.
func (c *prefixCache) add(b block) {
	c.byHash[b.hash] = c.order.PushFront(b)
	c.used += b.tokens
	c.note(b.hash, true)
	for c.used > c.limit && c.order.Len() > 0 {
		last := c.order.Back()
		old, _ := c.order.Remove(last).(block)
		delete(c.byHash, old.hash)
		c.used -= old.tokens
		c.note(old.hash, false)
	}
}

func (c *prefixCache) note(hash uint64, added bool) {
	c.seq++
	c.events = append(c.events, CacheEvent{Seq: c.seq, Added: added, Block: hash})
	if len(c.events) > maxEvents {
		c.events = c.events[len(c.events)-maxEvents:]
	}
}

// since returns the events after seq that are at least late events old.
func (c *prefixCache) since(seq int64, late int) []CacheEvent {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := []CacheEvent{}
	for i, e := range c.events {
		if e.Seq > seq && i < len(c.events)-late {
			out = append(out, e)
		}
	}
	return out
}
