package sagechain

import (
	"slices"

	"sagestand.example/sagestand/pkg/sageclock"
)

const (
	// listedFor is how long what an upstream said of itself counts, like what nodes saw of it.
	listedFor = remember
	// maxListed bounds the memory, at four bytes a part: a quarter of a megabyte, enough for two hundred
	// engines that list three hundred parts each. What is beyond it isn't remembered.
	maxListed = 64 << 10
)

// PartHash stands for a part in lists. Among the hundreds of parts of one engine, one in ten million
// lookups takes another part for it, which costs one more read of a prompt.
type PartHash uint32

// hash returns a part's hash. It halves the bytes that a large fleet tells after a restart, which the smallest
// links need some ten milliseconds for.
func hash(part uint64) PartHash { return PartHash(part ^ part>>32) }

// list is what one upstream said that it holds.
type list struct {
	at    sageclock.Instant
	parts []PartHash // ascending
}

// listed remembers what upstreams said themselves.
//
// It guards against the loss of everything else that is known: an upstream lists all it holds, and most of
// that are parts that belonged to one request each and never come again. Among the parts that nodes saw
// requests share, they would fill the memory, and a full memory is emptied.
type listed struct {
	upstreams map[string]*list
	parts     int
	news      []listNote
}

// listNote says that an upstream listed a part.
type listNote struct {
	part     PartHash
	upstream string
}

// add takes in some of what an upstream lists.
func (l *listed) add(now sageclock.Instant, upstream string, parts []PartHash) {
	if l.upstreams == nil {
		l.upstreams = make(map[string]*list)
	}
	x := l.upstreams[upstream]
	if x == nil {
		x = new(list)
		l.upstreams[upstream] = x
	}
	l.parts -= len(x.parts)
	x.at = now
	x.parts = append(x.parts, parts...)
	slices.Sort(x.parts)
	x.parts = slices.Compact(x.parts)
	x.parts = x.parts[:min(len(x.parts), maxListed-l.parts)]
	l.parts += len(x.parts)
}

// holds reports whether an upstream said that it holds a part.
func (l *listed) holds(now sageclock.Instant, upstream string, part uint64) bool {
	x := l.upstreams[upstream]
	if x == nil || now.Sub(x.at) >= listedFor {
		return false
	}
	_, found := slices.BinarySearch(x.parts, hash(part))
	return found
}

// forget drops an upstream, and what is too old.
func (l *listed) forget(now sageclock.Instant, upstream string) {
	for u, x := range l.upstreams {
		if u == upstream || now.Sub(x.at) >= listedFor {
			l.parts -= len(x.parts)
			delete(l.upstreams, u)
		}
	}
}

// tell has what an upstream said told to the other nodes.
func (l *listed) tell(upstream string, parts []PartHash) {
	for _, p := range parts {
		l.news = append(l.news, listNote{part: p, upstream: upstream})
	}
}
