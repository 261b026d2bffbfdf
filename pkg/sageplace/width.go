package sageplace

import (
	"math"
	"time"
)

// MaxWidth is the greatest number of upstreams that one shared context is spread over. Beyond it only
// the bound spreads requests.
const MaxWidth = 128

// WidthPolicy decides over how many upstreams of its order a shared context is spread.
type WidthPolicy interface {
	// Upstreams returns the first upstreams of the order of a context, over which to spread it. No
	// upstream or a single one means that the context is not spread. It is called for each request of
	// the context.
	Upstreams(now time.Time, t *Table, l *Loads, context uint64) []int32
}

// NoWidening never spreads a context: its first upstream takes all requests up to the bound.
type NoWidening struct{}

// Upstreams implements [WidthPolicy].
func (NoWidening) Upstreams(time.Time, *Table, *Loads, uint64) []int32 { return nil }

// WidthByLoad widens a context by one plus a quarter of its width when all upstreams that it is spread
// over are near the bound, and narrows it by one when fewer could easily carry their load.
//
// The quarter lets a sudden increase of load reach a width of dozens in a few steps; with a half,
// contexts with few requests lost their caches. Between the two thresholds, and until WidenInterval or
// NarrowInterval has passed since the last change, the width stays: reports lag, so an effect is seen
// late, and each change moves chats. All routers apply the rule to the same reports, so they arrive at
// the same width without communication.
type WidthByLoad struct {
	// WidenAbove and NarrowBelow are multiples of the mean load: the width grows if all upstreams are
	// above WidenAbove, and shrinks if the remaining ones would stay below NarrowBelow.
	WidenAbove, NarrowBelow float64
	// WidenInterval and NarrowInterval are the shortest times from a change to the next widening and
	// narrowing.
	WidenInterval, NarrowInterval time.Duration
	spreads                       *LRUMap[spread]
}

type spread struct {
	table     *Table
	order     [MaxWidth]int32
	orderLen  int
	width     int
	changedAt time.Time
}

// NewWidthByLoad returns the policy with its default thresholds, for about n contexts.
func NewWidthByLoad(n int) *WidthByLoad {
	return &WidthByLoad{
		WidenAbove: 1, NarrowBelow: 0.8, WidenInterval: 2 * time.Second, NarrowInterval: 20 * time.Second,
		spreads: NewLRUMap[spread](n),
	}
}

// Upstreams implements [WidthPolicy].
func (r *WidthByLoad) Upstreams(now time.Time, t *Table, l *Loads, context uint64) []int32 {
	s := r.spreads.GetOrInsert(context)
	if s.table != t {
		s.table = t
		s.orderLen = t.Order(context, s.order[:])
		s.width = min(max(s.width, 1), s.orderLen)
	}
	if s.width == 0 {
		return nil
	}
	r.adjust(now, l, s)
	return s.order[:s.width]
}

func (r *WidthByLoad) adjust(now time.Time, l *Loads, s *spread) {
	age := now.Sub(s.changedAt)
	if s.width < s.orderLen && age >= r.WidenInterval && r.shouldWiden(l, s) {
		s.width = min(s.orderLen, s.width+1+s.width/4)
		s.changedAt = now
		return
	}
	if s.width > 1 && age >= r.NarrowInterval && r.shouldNarrow(l, s) {
		s.width--
		s.changedAt = now
	}
}

func (r *WidthByLoad) shouldWiden(l *Loads, s *spread) bool {
	limit := l.limitFor(r.WidenAbove, 0)
	for _, i := range s.order[:s.width] {
		if l.fits(int(i), limit) {
			return false
		}
	}
	return true
}

func (r *WidthByLoad) shouldNarrow(l *Loads, s *spread) bool {
	load, proportionalRest := 0.0, 0.0
	for k, i := range s.order[:s.width] {
		load += l.estimatedLoad(int(i))
		if k < s.width-1 {
			proportionalRest += l.proportionalLoad(int(i))
		}
	}
	return load <= r.NarrowBelow*proportionalRest
}

// WidthByShare spreads a context over as many upstreams as its share of this router's requests would
// fill, assuming that the router sees a representative sample. It is a baseline to compare
// [WidthByLoad] with.
type WidthByShare struct {
	// HalfLife is the time after which a request has half its weight.
	HalfLife time.Duration
	contexts *LRUMap[sharedContext]
	total    decayingCount
}

type sharedContext struct {
	spread   spread
	requests decayingCount
}

// NewWidthByShare returns the policy for about n contexts.
func NewWidthByShare(n int) *WidthByShare {
	return &WidthByShare{HalfLife: 10 * time.Second, contexts: NewLRUMap[sharedContext](n)}
}

// Upstreams implements [WidthPolicy].
func (r *WidthByShare) Upstreams(now time.Time, t *Table, _ *Loads, context uint64) []int32 {
	c := r.contexts.GetOrInsert(context)
	s := &c.spread
	if s.table != t {
		s.table = t
		s.orderLen = t.Order(context, s.order[:])
	}
	wantedWidth := c.requests.add(now, r.HalfLife) / r.total.add(now, r.HalfLife) * float64(len(t.Upstreams))
	// Half an upstream of tolerance on both sides prevents the width from following noise.
	if w := float64(s.width); wantedWidth > w+0.5 || wantedWidth < w-1.5 {
		s.width = int(math.Ceil(wantedWidth))
	}
	s.width = min(max(s.width, 1), s.orderLen)
	return s.order[:s.width]
}

// decayingCount counts requests with exponentially decaying weight.
type decayingCount struct {
	value     float64
	updatedAt time.Time
}

func (d *decayingCount) add(now time.Time, halfLife time.Duration) float64 {
	if !d.updatedAt.IsZero() {
		d.value *= math.Exp2(-float64(now.Sub(d.updatedAt)) / float64(halfLife))
	}
	d.value++
	d.updatedAt = now
	return d.value
}
