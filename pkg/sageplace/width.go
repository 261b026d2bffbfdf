package sageplace

import (
	"math"
	"time"
)

// MaxWidth is the greatest number of upstreams that one shared context is spread over before the
// bound alone decides.
const MaxWidth = 128

// WidthPolicy says over how many upstreams of its order a shared context is spread.
type WidthPolicy interface {
	// Width returns the first upstreams of the order of a context over which to spread it, at
	// least one unless t is empty. It is called for each request of the context.
	Upstreams(now time.Time, t *Table, l *Loads, context uint64) []int32
}

// NoWidening never widens: the context's first upstream takes all until the bound spills the rest.
type NoWidening struct{}

// Width implements [WidthPolicy].
func (NoWidening) Upstreams(time.Time, *Table, *Loads, uint64) []int32 { return nil }

// WidthByLoad widens a context by one and a quarter of its width when all that it is spread over have come near the bound, and
// narrows it by one when fewer would carry their load easily. The quarter lets a rush reach a
// width of dozens in some steps; a half cost small contexts their caches. Narrowing is in no hurry. Between the two marks, and until
// Hold has passed since the last change, it stays: reports lag, so an effect is seen late, and each
// change moves chats. All routers judge by the same reports, so they come to the same width
// without telling each other.
type WidthByLoad struct {
	// High and Low are multiples of the mean load: widen above High, narrow if what remains would
	// stay below Low.
	WidenAbove, NarrowBelow float64
	// Hold and Rest are the shortest times from a change to the next widening and narrowing.
	WidenInterval, NarrowInterval time.Duration
	hot                           *LRUMap[spread]
}

type spread struct {
	table *Table
	order [MaxWidth]int32
	known int
	width int
	since time.Time
}

// NewWidthByLoad returns the rule with the marks that were measured best, for about n hot contexts.
func NewWidthByLoad(n int) *WidthByLoad {
	return &WidthByLoad{
		WidenAbove: 1, NarrowBelow: 0.8, WidenInterval: 2 * time.Second, NarrowInterval: 20 * time.Second,
		hot: NewLRUMap[spread](n),
	}
}

// Width implements [WidthPolicy].
func (r *WidthByLoad) Upstreams(now time.Time, t *Table, l *Loads, context uint64) []int32 {
	s := r.hot.GetOrInsert(context)
	if s.table != t {
		s.table = t
		s.known = t.Order(context, s.order[:])
		s.width = min(max(s.width, 1), s.known)
	}
	if s.width == 0 {
		return nil
	}
	r.step(now, l, s)
	return s.order[:s.width]
}

func (r *WidthByLoad) step(now time.Time, l *Loads, s *spread) {
	age := now.Sub(s.since)
	if s.width < s.known && age >= r.WidenInterval && r.crowded(l, s) {
		s.width = min(s.known, s.width+1+s.width/4)
		s.since = now
		return
	}
	if s.width > 1 && age >= r.NarrowInterval && r.easy(l, s) {
		s.width--
		s.since = now
	}
}

func (r *WidthByLoad) crowded(l *Loads, s *spread) bool {
	m := l.limit(r.WidenAbove, 0)
	for _, i := range s.order[:s.width] {
		if l.fits(int(i), m) {
			return false
		}
	}
	return true
}

func (r *WidthByLoad) easy(l *Loads, s *spread) bool {
	load, part := 0.0, 0.0
	for k, i := range s.order[:s.width] {
		load += l.estimate(int(i))
		if k < s.width-1 {
			part += l.mean(int(i))
		}
	}
	return load <= r.NarrowBelow*part
}

// WidthByShare spreads a context over as many upstreams as its part of this router's requests would fill,
// assuming that the router sees a fair sample. It is here to be measured against [WidthByLoad].
type WidthByShare struct {
	// Half is the time in which a request counts half.
	HalfLife time.Duration
	hot      *LRUMap[shared]
	all      decayed
}

type shared struct {
	spread spread
	count  decayed
}

// NewWidthByShare returns the rule for about n hot contexts.
func NewWidthByShare(n int) *WidthByShare {
	return &WidthByShare{HalfLife: 10 * time.Second, hot: NewLRUMap[shared](n)}
}

// Width implements [WidthPolicy].
func (r *WidthByShare) Upstreams(now time.Time, t *Table, _ *Loads, context uint64) []int32 {
	c := r.hot.GetOrInsert(context)
	s := &c.spread
	if s.table != t {
		s.table = t
		s.known = t.Order(context, s.order[:])
	}
	want := c.count.add(now, r.HalfLife) / r.all.add(now, r.HalfLife) * float64(len(t.Upstreams))
	// A half upstream of slack on both sides keeps the width from following the noise.
	if w := float64(s.width); want > w+0.5 || want < w-1.5 {
		s.width = int(math.Ceil(want))
	}
	s.width = min(max(s.width, 1), s.known)
	return s.order[:s.width]
}

// decayed counts requests, each halved in weight after every half-life.
type decayed struct {
	n  float64
	at time.Time
}

func (d *decayed) add(now time.Time, half time.Duration) float64 {
	if !d.at.IsZero() {
		d.n *= math.Exp2(-float64(now.Sub(d.at)) / float64(half))
	}
	d.n++
	d.at = now
	return d.n
}
