package sagemember

import "time"

// Health tells up from down for things that are probed, with hysteresis: RiseAfter good probes in a
// row, more for a thing that flaps, bring one up; FallAfter bad ones in a row bring it down. Its
// fields are set before first use; it is not safe for concurrent use. The zero value of a thing that
// was never probed is down.
type Health[K comparable] struct {
	RiseAfter int
	FallAfter int

	things map[K]*probed
}

// probed is what is known of one thing.
type probed struct {
	up    bool
	good  int
	bad   int
	boot  string
	since time.Time
	damp  damper
}

// Observe records a probe and reports whether the thing went up or down by it. A boot that differs
// from the one before is a restart: the thing goes down until it has risen again, even when no probe
// fell into the gap.
func (h *Health[K]) Observe(key K, ok bool, boot string, now time.Time) (changed bool) {
	if h.things == nil {
		h.things = make(map[K]*probed)
	}
	p := h.things[key]
	if p == nil {
		p = &probed{since: now}
		h.things[key] = p
	}
	before := p.up
	if ok {
		h.rise(p, boot, now)
	} else {
		h.fall(p, now)
	}
	if p.up != before {
		p.since = now
	}
	return p.up != before
}

func (h *Health[K]) rise(p *probed, boot string, now time.Time) {
	if p.boot != "" && boot != p.boot {
		p.down(now)
	}
	p.boot = boot
	p.bad = 0
	p.good++
	if p.up {
		p.damp.steady(now)
		return
	}
	if p.good >= max(h.RiseAfter, p.damp.need()) {
		p.up = true
		p.damp.stable = now
	}
}

func (h *Health[K]) fall(p *probed, now time.Time) {
	p.good = 0
	p.bad++
	if p.bad >= h.FallAfter {
		p.down(now)
	}
}

func (p *probed) down(now time.Time) {
	p.good = 0
	if !p.up {
		return
	}
	p.up = false
	p.damp.fell(now)
}

// Up says whether the thing is up.
func (h *Health[K]) Up(key K) bool {
	p := h.things[key]
	return p != nil && p.up
}

// Since returns when the thing went up or down, or was first probed; zero when it never was.
func (h *Health[K]) Since(key K) time.Time {
	if p := h.things[key]; p != nil {
		return p.since
	}
	return time.Time{}
}

// Forget removes things that keep says are no longer configured.
func (h *Health[K]) Retain(keep func(K) bool) {
	for k := range h.things {
		if !keep(k) {
			delete(h.things, k)
		}
	}
}
