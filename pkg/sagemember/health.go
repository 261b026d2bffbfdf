package sagemember

import "time"

// Health decides with hysteresis which probed targets are up: RiseAfter consecutive good probes, more
// for a flapping target, bring one up; FallAfter consecutive bad probes bring it down. Its fields are
// set before first use; it is not safe for concurrent use. A target that was never probed is down.
type Health[K comparable] struct {
	RiseAfter int
	FallAfter int

	targets map[K]*targetState
}

// targetState is the probe history of one target.
type targetState struct {
	up    bool
	good  int
	bad   int
	boot  string
	since time.Time
	damp  damper
}

// Observe records a probe and reports whether it took the target up or down. A boot identifier that
// differs from the previous one means a restart: the target goes down until enough probes have
// succeeded again, even if no probe failed in between.
func (h *Health[K]) Observe(key K, ok bool, boot string, now time.Time) (changed bool) {
	if h.targets == nil {
		h.targets = make(map[K]*targetState)
	}
	p := h.targets[key]
	if p == nil {
		p = &targetState{since: now}
		h.targets[key] = p
	}
	wasUp := p.up
	if ok {
		h.recordSuccess(p, boot, now)
	} else {
		h.recordFailure(p, now)
	}
	if p.up != wasUp {
		p.since = now
	}
	return p.up != wasUp
}

func (h *Health[K]) recordSuccess(p *targetState, boot string, now time.Time) {
	if p.boot != "" && boot != p.boot {
		p.markDown(now)
	}
	p.boot = boot
	p.bad = 0
	p.good++
	if p.up {
		p.damp.decay(now)
		return
	}
	if p.good >= max(h.RiseAfter, p.damp.required()) {
		p.up = true
		p.damp.decayFrom = now
	}
}

func (h *Health[K]) recordFailure(p *targetState, now time.Time) {
	p.good = 0
	p.bad++
	if p.bad >= h.FallAfter {
		p.markDown(now)
	}
}

func (p *targetState) markDown(now time.Time) {
	p.good = 0
	if !p.up {
		return
	}
	p.up = false
	p.damp.recordDown(now)
}

// Up reports whether the target is up.
func (h *Health[K]) Up(key K) bool {
	p := h.targets[key]
	return p != nil && p.up
}

// Since returns when the target last went up or down, or was first probed; the zero time if it was
// never probed.
func (h *Health[K]) Since(key K) time.Time {
	if p := h.targets[key]; p != nil {
		return p.since
	}
	return time.Time{}
}

// Retain removes the targets for which keep returns false.
func (h *Health[K]) Retain(keep func(K) bool) {
	for k := range h.targets {
		if !keep(k) {
			delete(h.targets, k)
		}
	}
}
