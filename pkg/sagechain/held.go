package sagechain

import (
	"slices"
	"time"

	"sagestand.example/sagestand/pkg/sageclock"
)

// The memory of who holds what.
const (
	// remember is how long an upstream counts as a holder after the last use of a part. Engines drop
	// the least recently used parts; a minute's parts fit into a tenth of the smallest known cache.
	remember = time.Minute
	// holders is how many holders of one part are kept. A chain that needs more is so hot that any
	// new upstream finds one of them to copy from.
	holders = 16
	// maxParts bounds the memory, at about 200 bytes a part.
	maxParts = 8192
	// tellAgain is after which time a use of a known part is news again: well below remember, so
	// that the other nodes never forget a part that is in use.
	tellAgain = 15 * time.Second
)

// Note says that an upstream holds a part.
type Note struct {
	Part     uint64
	Upstream string
}

type holder struct {
	upstream string
	used     sageclock.Instant
	told     sageclock.Instant
}

// held remembers which upstreams hold which parts.
type held struct {
	parts map[uint64][]holder
	news  []Note
}

// find returns the place of an upstream among the holders of a part.
func find(hs []holder, upstream string) int {
	return slices.IndexFunc(hs, func(h holder) bool { return h.upstream == upstream })
}

// holds reports whether an upstream holds a part.
func (h *held) holds(now sageclock.Instant, part uint64, upstream string) bool {
	hs := h.parts[part]
	i := find(hs, upstream)
	return i >= 0 && now.Sub(hs[i].used) < remember
}

// prefix returns how many tokens of a chain an upstream holds, counted up to the first part it lacks.
func (h *held) prefix(now sageclock.Instant, c Chain, upstream string) int {
	n := 0
	for _, p := range c {
		if !h.holds(now, p.ID, upstream) {
			break
		}
		n += p.Tokens
	}
	return n
}

// note remembers a holder and reports whether other nodes should hear of it.
func (h *held) note(now sageclock.Instant, part uint64, upstream string) bool {
	if h.parts == nil {
		h.parts = make(map[uint64][]holder)
	}
	hs := h.parts[part]
	if i := find(hs, upstream); i >= 0 {
		hs[i].used = now
		if now.Sub(hs[i].told) < tellAgain {
			return false
		}
		hs[i].told = now
		return true
	}
	if len(hs) >= holders {
		oldest := 0
		for i := range hs {
			if hs[i].used < hs[oldest].used {
				oldest = i
			}
		}
		hs = slices.Delete(hs, oldest, oldest+1)
	}
	if len(h.parts) >= maxParts {
		h.expire(now)
	}
	h.parts[part] = append(hs, holder{upstream: upstream, used: now, told: now})
	return true
}

// expire drops what is too old, and everything if that was not enough: a wrong guess costs one more
// read, an unbounded memory the process.
func (h *held) expire(now sageclock.Instant) {
	for part, hs := range h.parts {
		hs = slices.DeleteFunc(hs, func(o holder) bool { return now.Sub(o.used) >= remember })
		if len(hs) == 0 {
			delete(h.parts, part)
			continue
		}
		h.parts[part] = hs
	}
	if len(h.parts) >= maxParts {
		clear(h.parts)
	}
}

// forget drops an upstream from all parts.
func (h *held) forget(upstream string) {
	for part, hs := range h.parts {
		if i := find(hs, upstream); i >= 0 {
			h.parts[part] = slices.Delete(hs, i, i+1)
		}
	}
}
