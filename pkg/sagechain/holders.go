package sagechain

import (
	"time"

	"sagestand.example/sagestand/pkg/sageclock"
)

// Limits of the holder index.
const (
	// holderTTL is how long an upstream counts as a holder after its last use of a part. Engines evict the least
	// recently used parts; those of one minute fill a tenth of the smallest known cache.
	holderTTL = time.Minute
	// maxHolders bounds the holders of one part. It must exceed the number of engines of a model, since all of
	// them hold the first parts of its chains.
	maxHolders = 512
	// maxParts bounds the number of parts; each takes about 400 bytes.
	maxParts = 8192
	// reportAgainAfter is the time after which the use of a known part is reported again. It is well below
	// holderTTL, so that a part that is in use never expires at other nodes.
	reportAgainAfter = 15 * time.Second
)

// holding states that an upstream holds a part.
type holding struct {
	part     uint64
	upstream string
}

type holder struct {
	lastUsed     sageclock.Instant
	lastReported sageclock.Instant
}

// holderIndex records which upstreams hold which parts.
type holderIndex struct {
	parts   map[uint64]map[string]*holder
	updates []holding
}

// chainView holds the holders of each part of one chain, looked up once for all upstreams.
type chainView struct {
	now     sageclock.Instant
	chain   Chain
	holders []map[string]*holder
	listed  *listedIndex
}

// typicalParts is the number of shared parts for which a chainView needs no allocation.
const typicalParts = 8

// view looks up the holders of a chain's parts; buf provides the memory for typical chains.
func (h *holderIndex) view(now sageclock.Instant, c Chain, l *listedIndex, buf *[typicalParts]map[string]*holder) chainView {
	v := chainView{now: now, chain: c, holders: buf[:0], listed: l}
	for _, p := range c {
		v.holders = append(v.holders, h.parts[p.ID])
	}
	return v
}

// cachedTokens returns the length of the chain's prefix that an upstream holds, in tokens.
func (v *chainView) cachedTokens(upstream string) int {
	n := 0
	for i, p := range v.chain {
		o := v.holders[i][upstream]
		if (o == nil || v.now.Sub(o.lastUsed) >= holderTTL) && !v.listed.holds(v.now, upstream, p.ID) {
			break
		}
		n += p.Tokens
	}
	return n
}

// lastUsed returns when an upstream last used the last part of the chain, or 0 if it is not known to have done so.
func (v *chainView) lastUsed(upstream string) sageclock.Instant {
	if o := v.holders[len(v.holders)-1][upstream]; o != nil {
		return o.lastUsed
	}
	return 0
}

// record stores a holder of a part and reports whether to send it to the peers.
func (h *holderIndex) record(now sageclock.Instant, part uint64, upstream string) bool {
	if o := h.parts[part][upstream]; o != nil {
		o.lastUsed = now
		if now.Sub(o.lastReported) < reportAgainAfter {
			return false
		}
		o.lastReported = now
		return true
	}
	if len(h.parts) >= maxParts || len(h.parts[part]) >= maxHolders {
		h.expire(now)
	}
	if h.parts == nil {
		h.parts = make(map[uint64]map[string]*holder)
	}
	if h.parts[part] == nil {
		h.parts[part] = make(map[string]*holder)
	}
	h.parts[part][upstream] = &holder{lastUsed: now, lastReported: now}
	return true
}

// expire drops expired holders, the parts that still have maxHolders afterwards, and the complete index if it is
// still full. A dropped holder costs one more read of the part; an unbounded index would exhaust the memory.
func (h *holderIndex) expire(now sageclock.Instant) {
	for part, hs := range h.parts {
		for u, o := range hs {
			if now.Sub(o.lastUsed) >= holderTTL {
				delete(hs, u)
			}
		}
		if len(hs) == 0 || len(hs) >= maxHolders {
			delete(h.parts, part)
		}
	}
	if len(h.parts) >= maxParts {
		clear(h.parts)
	}
}

// forget drops an upstream from all parts.
func (h *holderIndex) forget(upstream string) {
	for _, hs := range h.parts {
		delete(hs, upstream)
	}
}

// all returns all holdings that have not expired.
func (h *holderIndex) all(now sageclock.Instant) []holding {
	var out []holding
	for part, hs := range h.parts {
		for u, o := range hs {
			if now.Sub(o.lastUsed) < holderTTL {
				out = append(out, holding{part: part, upstream: u})
			}
		}
	}
	return out
}
