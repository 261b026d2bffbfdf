package sagechain

import (
	"time"

	"sagestand.example/sagestand/pkg/sageclock"
)

// The memory of who holds what.
const (
	// remember is how long an upstream counts as a holder after the last use of a part. Engines drop
	// the least recently used parts; a minute's parts fit into a tenth of the smallest known cache.
	remember = time.Minute
	// maxHolders bounds the holders of one part. The first parts of chains are held by every engine of
	// their model, so the bound has to be above the engines of one fleet's set.
	maxHolders = 512
	// maxParts bounds the memory, at about 400 bytes a part.
	maxParts = 8192
	// tellAgain is after which time a use of a known part is news again: well below remember, so
	// that the other nodes never forget a part that is in use.
	tellAgain = 15 * time.Second
)

// note says that an upstream holds a part.
type note struct {
	part     uint64
	upstream string
}

type holder struct {
	used sageclock.Instant
	told sageclock.Instant
}

// held remembers which upstreams hold which parts.
type held struct {
	parts map[uint64]map[string]*holder
	news  []note
}

// sight is one chain as seen by the memory: the holders of each part, looked up once for all upstreams.
type sight struct {
	now     sageclock.Instant
	chain   Chain
	holders []map[string]*holder
	listed  *listed
}

// usualParts is how many shared parts a chain has at the most, usually.
const usualParts = 8

// look prepares questions about a chain; room holds the answer's memory.
func (h *held) look(now sageclock.Instant, c Chain, l *listed, room *[usualParts]map[string]*holder) sight {
	s := sight{now: now, chain: c, holders: room[:0], listed: l}
	for _, p := range c {
		s.holders = append(s.holders, h.parts[p.ID])
	}
	return s
}

// prefix returns how many tokens of the chain an upstream holds, counted up to the first part it lacks.
func (s *sight) prefix(upstream string) int {
	n := 0
	for i, p := range s.chain {
		o := s.holders[i][upstream]
		if (o == nil || s.now.Sub(o.used) >= remember) && !s.listed.holds(s.now, upstream, p.ID) {
			break
		}
		n += p.Tokens
	}
	return n
}

// used returns when an upstream was last seen to use the last part of the chain; 0 if it was never.
func (s *sight) used(upstream string) sageclock.Instant {
	if o := s.holders[len(s.holders)-1][upstream]; o != nil {
		return o.used
	}
	return 0
}

// note remembers a holder and reports whether other nodes should hear of it.
func (h *held) note(now sageclock.Instant, part uint64, upstream string) bool {
	if o := h.parts[part][upstream]; o != nil {
		o.used = now
		if now.Sub(o.told) < tellAgain {
			return false
		}
		o.told = now
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
	h.parts[part][upstream] = &holder{used: now, told: now}
	return true
}

// expire drops what is too old, and everything if that was not enough: a wrong guess costs one more
// read, an unbounded memory the process.
func (h *held) expire(now sageclock.Instant) {
	for part, hs := range h.parts {
		for u, o := range hs {
			if now.Sub(o.used) >= remember {
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
func (h *held) forget(upstream string) {
	for _, hs := range h.parts {
		delete(hs, upstream)
	}
}

// all returns everything that is remembered.
func (h *held) all(now sageclock.Instant) []note {
	var out []note
	for part, hs := range h.parts {
		for u, o := range hs {
			if now.Sub(o.used) < remember {
				out = append(out, note{part: part, upstream: u})
			}
		}
	}
	return out
}
