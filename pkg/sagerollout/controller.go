package sagerollout

import (
	"time"

	"sagestand.example/sagestand/pkg/sageclock"
)

// How a rollout is spread over its time and its bound.
const (
	// canaryPart is the least part of the time from order to deadline that is left to the canary.
	canaryPart = 0.45
	// completeWithin is how long it takes from the ramp until the baseline is idle: the longest usual answers
	// and what counts and plans lag. completeLeast is enough for usual answers.
	completeWithin = 8 * time.Second
	completeLeast  = 5500 * time.Millisecond
	// react is how long the fleet needs to notice a bad version and to stop sending to it: counts pass
	// three nodes that each wait up to a fifth of a second, and so does the plan.
	react = 800 * time.Millisecond
	// rampShare is the share of the phase between canary and full.
	rampShare = 0.25
	// leastShare and mostShare bound the canary's share.
	leastShare = 0.01
	mostShare  = 0.5
	// slackPart is the part of the bound's slack that the canary may use.
	slackPart = 0.4
	// idleFor is how long the baseline must have been idle before an order is completed, longer than any
	// count of requests in flight lags.
	idleFor = 1500 * time.Millisecond
	// roomPart is the part of the target's slots that the service's requests in flight may fill.
	roomPart = 0.7
)

// ServiceLoad is what the controller sees of a service.
type ServiceLoad struct {
	// TargetSlots are the slots of the target's upstreams that may be used, BaselineSlots those of the
	// others.
	TargetSlots, BaselineSlots int
	// InFlight are the requests at all upstreams, BaselineInFlight those at the baseline.
	InFlight, BaselineInFlight int
}

// bears reports whether the target can take the whole traffic.
func (f *ServiceLoad) bears() bool {
	return f.TargetSlots > 0 && float64(f.InFlight) <= roomPart*float64(f.TargetSlots)
}

// Controller steps plans. Exported fields are set before use. It is not safe for concurrent use.
type Controller struct {
	// Self is this node's name.
	Self   string
	Bounds Bounds
	// Weigh returns the verdict on all of an order's evidence; nil means a [SequentialTest] for each order.
	Evaluate func(e Evidence) (v Verdict, route string)

	orders map[uint64]*watched
}

// watched is what a controller remembers of an order.
type watched struct {
	busy  sageclock.Instant // when its baseline last had requests
	judge SequentialTest
}

// Step returns the next version of an order's plan.
func (c *Controller) Step(now sageclock.Instant, o Order, p Plan, e Evidence, f ServiceLoad) Plan {
	w := c.watch(now, o.ID)
	if f.BaselineInFlight > 0 {
		w.busy = now
	}
	next := p
	next.OrderID, next.Sequence, next.Controller, next.IssuedAt = o.ID, p.Sequence+1, c.Self, now
	if p.Sequence == 0 {
		next.PhaseSince = now
	}
	if p.Phase.Final() {
		return next
	}
	v, _ := c.weigh(w, e)
	if v == VerdictUnknown && requestRate(now.Sub(o.FirstSeen), e)*o.Deadline.Sub(o.FirstSeen).Seconds() < slackPart*c.Bounds.ExposedSlack {
		v = VerdictSound // all requests until the deadline are fewer than the bound leaves to a bad version
	}
	promote := c.promoteAt(now, o, e)
	switch {
	case v == VerdictBad:
		next.enter(PhaseRolledBack, 0, now)
	case now >= o.Deadline && p.Phase < PhaseFull:
		next.enter(PhaseRolledBack, 0, now)
	case p.Phase == PhasePending && f.bears():
		next.enter(PhaseCanary, c.canaryShare(now, o, promote, e), now)
	case p.Phase == PhaseCanary && now >= promote && now.Sub(p.PhaseSince) >= react && v == VerdictSound && f.bears():
		next.enter(PhaseRamp, rampShare, now)
	case p.Phase == PhaseCanary:
		next.Share = c.canaryShare(now, o, promote, e)
	case p.Phase == PhaseRamp && now.Sub(p.PhaseSince) >= react && v == VerdictSound:
		w.busy = now
		next.enter(PhaseFull, 1, now)
	case p.Phase == PhaseFull && now.Sub(p.PhaseSince) >= idleFor && now.Sub(w.busy) >= idleFor:
		next.enter(PhaseDone, 1, now)
	}
	return next
}

func (c *Controller) weigh(w *watched, e Evidence) (Verdict, string) {
	if c.Evaluate != nil {
		return c.Evaluate(e)
	}
	w.judge.Add(e)
	return w.judge.Verdict()
}

// Verdict returns the last verdict on an order, and the route that decided it.
func (c *Controller) Verdict(order uint64) (Verdict, string) {
	if w := c.orders[order]; w != nil {
		return w.judge.Verdict()
	}
	return VerdictUnknown, ""
}

// enter begins a phase.
func (p *Plan) enter(phase Phase, share float64, now sageclock.Instant) {
	p.Phase, p.Share, p.PhaseSince = phase, share, now
}

// watch returns what is remembered of an order.
func (c *Controller) watch(now sageclock.Instant, order uint64) *watched {
	if c.orders == nil {
		c.orders = make(map[uint64]*watched)
	}
	w := c.orders[order]
	if w == nil {
		w = &watched{busy: now}
		c.orders[order] = w
	}
	return w
}

// Keep forgets all orders but those for which keep is true.
func (c *Controller) Retain(keep func(order uint64) bool) {
	for id := range c.orders {
		if !keep(id) {
			delete(c.orders, id)
		}
	}
}

// promoteAt returns when the target is promoted: so late that even a bad version keeps within the bound if it
// gets everything from then on, if that leaves time to complete the order, and else so that the longest usual answers
// end in time. It gives the canary the longest time to find a version that turns bad.
func (c *Controller) promoteAt(now sageclock.Instant, o Order, e Evidence) sageclock.Instant {
	whole := o.Deadline.Sub(o.FirstSeen)
	earliest := time.Duration(canaryPart * float64(whole))
	at := time.Duration((1 - c.Bounds.ExposedShare) * float64(whole))
	if rate := requestRate(now.Sub(o.FirstSeen), e); rate > 0 {
		at -= time.Duration((1 - slackPart) * c.Bounds.ExposedSlack / rate * float64(time.Second))
	}
	if at > whole-completeLeast {
		at = whole - completeWithin
	}
	return o.FirstSeen.Add(max(earliest, at))
}

// canaryShare returns the share at which the canary uses the part of the bound that is left when the ramp
// and the reaction to a version that turns bad at full share are taken off.
func (c *Controller) canaryShare(now sageclock.Instant, o Order, promote sageclock.Instant, e Evidence) float64 {
	whole, canary := o.Deadline.Sub(o.FirstSeen).Seconds(), promote.Sub(o.FirstSeen).Seconds()
	spent := react.Seconds() * (1 + rampShare)
	share := max(0, c.Bounds.ExposedShare*whole-spent) / max(spent, canary)
	if rate := requestRate(now.Sub(o.FirstSeen), e); rate > 0 {
		share += slackPart * c.Bounds.ExposedSlack / max(1, canary) / rate
	}
	return min(max(share, leastShare), mostShare)
}

// requestRate returns the service's requests a second; 0 if that isn't known yet.
func requestRate(took time.Duration, e Evidence) float64 {
	if took < time.Second {
		return 0
	}
	sum := e.Sum()
	return float64(sum.Baseline.Total()+sum.Target.Total()) / took.Seconds()
}
