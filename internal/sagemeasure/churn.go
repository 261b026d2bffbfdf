package sagemeasure

import "time"

// Phases of a replay: the caches fill, the figures are measured, the remaining requests finish.
const (
	warmUp      = 120 * time.Second
	measureTime = 240 * time.Second
	drainTime   = 30 * time.Second
)

// Churn measures cache reuse, cached prompt tokens / prompt tokens, while engines join, leave and flap,
// routers are replaced, and each router observes a change up to maxChangeDelay late.
func Churn(seed uint64) ([]Sample, error) {
	var out []Sample
	for _, s := range []site{trentvale, haller} {
		trace := makeTrace(s, seed, warmUp+measureTime)
		best := 0.0
		for _, v := range allVariants() {
			p := runChurn(s, v, trace, seed)
			reuse := p.cacheReuse(warmUp)
			if v.name == oracle.name {
				best = reuse
			}
			out = append(out, Sample{Scenario: s.name, Policy: v.name, Metric: "cache reuse", Value: reuse})
			relative := Sample{Scenario: s.name, Policy: v.name, Metric: "cache reuse of oracle's", Value: reuse / best}
			if isSagestand(v) {
				relative.Target = &Target{AtLeast, 0.95}
			}
			out = append(out, relative)
		}
	}
	return out, nil
}

func runChurn(s site, v variant, trace []request, seed uint64) *replay {
	p := newReplay(s, v, trace, seed)
	p.scheduleChurn()
	p.runUntil(warmUp + measureTime + drainTime)
	return p
}

// scheduleChurn schedules the faults. Every 20 s an engine crashes and returns 5 s later with an empty
// cache. Every 60 s an engine leaves for 45 s as planned and returns with an empty cache. Every 30 s a
// router is replaced by one without state.
func (p *replay) scheduleChurn() {
	n := len(p.engines)
	p.every(warmUp/2, 20*time.Second, func() {
		i := p.rand.IntN(n)
		if e := p.engines[i]; e.up && !e.leaving {
			p.flap(i, 5*time.Second)
		}
	})
	p.every(warmUp/2, 60*time.Second, func() {
		i := p.rand.IntN(n)
		if e := p.engines[i]; e.up && !e.leaving {
			p.leave(i, 45*time.Second)
		}
	})
	p.every(warmUp/2, 30*time.Second, func() { p.startRouter(p.routers[p.rand.IntN(len(p.routers))]) })
}

// flap crashes engine i and starts it again after downTime.
func (p *replay) flap(i int, downTime time.Duration) {
	e := p.engines[i]
	p.announce(i, false)
	e.crash()
	p.after(downTime, func() {
		e.up = true
		p.announce(i, true)
	})
}

// leave drains engine i: no router sends it new requests after maxChangeDelay. It stops 5 s before the
// end of awayTime and then starts again.
func (p *replay) leave(i int, awayTime time.Duration) {
	e := p.engines[i]
	e.leaving = true
	p.announce(i, false)
	p.after(awayTime-5*time.Second, func() { e.crash() })
	p.after(awayTime, func() {
		e.up, e.leaving = true, false
		p.announce(i, true)
	})
}
