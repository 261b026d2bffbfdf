package sagerollout

import (
	"time"

	"sagestand.example/sagestand/pkg/sageclock"
)

// Parameters of a rollout's schedule and shares.
const (
	// minCanaryPart is the minimum part of the time between order and deadline before the target is promoted.
	minCanaryPart = 0.45
	// completionTime is the time from the ramp until the baseline is idle: the duration of the longest usual
	// answers and the lag of counts and plans. minCompletionTime suffices for usual answers.
	completionTime    = 8 * time.Second
	minCompletionTime = 5500 * time.Millisecond
	// reactionTime is the time that the fleet needs to notice a bad version and to stop sending to it. Counts pass
	// three nodes, each of which waits up to 200 ms, and so does the plan.
	reactionTime = 800 * time.Millisecond
	// rampShare is the target's share in the ramp phase.
	rampShare = 0.25
	// minCanaryShare and maxCanaryShare bound the target's share in the canary phase.
	minCanaryShare = 0.01
	maxCanaryShare = 0.5
	// canarySlackPart is the part of [Bounds.ExposedSlack] that the canary may use.
	canarySlackPart = 0.4
	// baselineIdleTime is the time for which the baseline must have been idle before an order is completed. It
	// exceeds the lag of the counts of requests in flight.
	baselineIdleTime = 1500 * time.Millisecond
	// maxSlotUse is the part of the target's slots that the service's requests in flight may occupy.
	maxSlotUse = 0.7
)

// ServiceLoad describes the upstreams of a service and their load.
type ServiceLoad struct {
	// TargetSlots are the slots of the target's usable upstreams, BaselineSlots those of the others.
	TargetSlots, BaselineSlots int
	// TargetUpstreams is the number of the target's usable upstreams, BaselineUpstreams that of all registered others.
	TargetUpstreams, BaselineUpstreams int
	// InFlight are the requests in flight at all upstreams, BaselineInFlight those at the baseline.
	InFlight, BaselineInFlight int
}

// targetHasCapacity reports whether the target can take all requests of the service.
func (l *ServiceLoad) targetHasCapacity() bool {
	return l.TargetSlots > 0 && float64(l.InFlight) <= maxSlotUse*float64(l.TargetSlots)
}

// targetIsAll reports whether the target is the only version.
func (l *ServiceLoad) targetIsAll() bool { return l.TargetUpstreams > 0 && l.BaselineUpstreams == 0 }

// Controller steps plans through their phases. Exported fields are set before use. It is not safe for concurrent
// use.
type Controller struct {
	// Self is this node's name.
	Self   string
	Bounds Bounds
	// Evaluate returns the verdict on an order's evidence and the route that decided it; nil means a
	// [SequentialTest] for each order.
	Evaluate func(e Evidence) (v Verdict, route string)

	orders map[uint64]*orderState
}

// orderState is the controller's state of an order.
type orderState struct {
	lastBusy  sageclock.Instant // when the baseline last had requests in flight
	onlySince sageclock.Instant // since when the target has been the only version
	// hasBaseline is set once the service had upstreams, requests or answers of the baseline.
	hasBaseline bool
	test        SequentialTest
}

// Step returns the next plan for an order.
func (c *Controller) Step(now sageclock.Instant, o Order, p Plan, e Evidence, load ServiceLoad) Plan {
	s := c.stateOf(now, o.ID)
	if load.BaselineInFlight > 0 {
		s.lastBusy = now
	}
	next := p
	next.OrderID, next.Sequence, next.Controller, next.IssuedAt = o.ID, p.Sequence+1, c.Self, now
	if p.Sequence == 0 {
		next.PhaseSince = now
	}
	if p.Phase.Final() {
		return next
	}
	s.hasBaseline = s.hasBaseline || o.HadBaseline || load.BaselineUpstreams > 0 || load.BaselineInFlight > 0 || e.Sum().Baseline.Total() > 0
	if !load.targetIsAll() {
		s.onlySince = now
	}
	nothingToMove := p.Phase == PhasePending && !s.hasBaseline && load.targetIsAll()
	v, _ := c.evaluate(s, e)
	if v == VerdictUnknown && requestRate(now.Sub(o.FirstSeen), e)*o.Deadline.Sub(o.FirstSeen).Seconds() < canarySlackPart*c.Bounds.ExposedSlack {
		v = VerdictSound // too few requests are expected until the deadline for a bad version to exceed its bound
	}
	promoteAt := c.promoteAt(now, o, e)
	switch {
	case v == VerdictBad:
		next.enter(PhaseRolledBack, 0, now)
	case nothingToMove && (now >= o.Deadline || now.Sub(s.onlySince) >= baselineIdleTime):
		next.enter(PhaseDone, 1, now)
	case nothingToMove: // upstreams of the baseline may be about to register again
	case now >= o.Deadline && p.Phase < PhaseFull:
		next.enter(PhaseRolledBack, 0, now)
	case p.Phase == PhasePending && load.targetHasCapacity():
		next.enter(PhaseCanary, c.canaryShare(now, o, promoteAt, e), now)
	case p.Phase == PhaseCanary && now >= promoteAt && now.Sub(p.PhaseSince) >= reactionTime && v == VerdictSound && load.targetHasCapacity():
		next.enter(PhaseRamp, rampShare, now)
	case p.Phase == PhaseCanary:
		next.Share = c.canaryShare(now, o, promoteAt, e)
	case p.Phase == PhaseRamp && now.Sub(p.PhaseSince) >= reactionTime && v == VerdictSound:
		s.lastBusy = now
		next.enter(PhaseFull, 1, now)
	case p.Phase == PhaseFull && now.Sub(p.PhaseSince) >= baselineIdleTime && now.Sub(s.lastBusy) >= baselineIdleTime:
		next.enter(PhaseDone, 1, now)
	}
	return next
}

func (c *Controller) evaluate(s *orderState, e Evidence) (Verdict, string) {
	if c.Evaluate != nil {
		return c.Evaluate(e)
	}
	s.test.Add(e)
	return s.test.Verdict()
}

// Verdict returns the verdict of an order's [SequentialTest], and the route that decided it. The test gets no
// evidence if Evaluate is set.
func (c *Controller) Verdict(order uint64) (Verdict, string) {
	if s := c.orders[order]; s != nil {
		return s.test.Verdict()
	}
	return VerdictUnknown, ""
}

// enter starts a phase.
func (p *Plan) enter(phase Phase, share float64, now sageclock.Instant) {
	p.Phase, p.Share, p.PhaseSince = phase, share, now
}

// stateOf returns the state of an order and creates it if there is none.
func (c *Controller) stateOf(now sageclock.Instant, order uint64) *orderState {
	if c.orders == nil {
		c.orders = make(map[uint64]*orderState)
	}
	s := c.orders[order]
	if s == nil {
		s = &orderState{lastBusy: now, onlySince: now}
		c.orders[order] = s
	}
	return s
}

// Retain drops the state of all orders for which keep returns false.
func (c *Controller) Retain(keep func(order uint64) bool) {
	for id := range c.orders {
		if !keep(id) {
			delete(c.orders, id)
		}
	}
}

// promoteAt returns when the target is promoted to the ramp phase. It is as late as possible, to give the canary
// time to find a version that turns bad: so late that a bad version stays within the bound even if it gets all
// requests from then on. If that leaves too little time to complete the order, the target is promoted early enough
// for the longest usual answers to end before the deadline.
func (c *Controller) promoteAt(now sageclock.Instant, o Order, e Evidence) sageclock.Instant {
	duration := o.Deadline.Sub(o.FirstSeen)
	earliest := time.Duration(minCanaryPart * float64(duration))
	at := time.Duration((1 - c.Bounds.ExposedShare) * float64(duration))
	if rate := requestRate(now.Sub(o.FirstSeen), e); rate > 0 {
		at -= sageclock.DurationOf((1-canarySlackPart)*c.Bounds.ExposedSlack/rate, time.Second)
	}
	if at > duration-minCompletionTime {
		at = duration - completionTime
	}
	return o.FirstSeen.Add(max(earliest, at))
}

// canaryShare returns the target's share in the canary phase. It spends the part of the exposure bound that
// remains after the ramp and the reaction to a version that turns bad at full share.
func (c *Controller) canaryShare(now sageclock.Instant, o Order, promoteAt sageclock.Instant, e Evidence) float64 {
	duration, canaryTime := o.Deadline.Sub(o.FirstSeen).Seconds(), promoteAt.Sub(o.FirstSeen).Seconds()
	reserved := reactionTime.Seconds() * (1 + rampShare)
	share := max(0, c.Bounds.ExposedShare*duration-reserved) / max(reserved, canaryTime)
	if rate := requestRate(now.Sub(o.FirstSeen), e); rate > 0 {
		share += canarySlackPart * c.Bounds.ExposedSlack / max(1, canaryTime) / rate
	}
	return min(max(share, minCanaryShare), maxCanaryShare)
}

// requestRate returns the service's requests per second, or 0 in the first second.
func requestRate(elapsed time.Duration, e Evidence) float64 {
	if elapsed < time.Second {
		return 0
	}
	sum := e.Sum()
	return float64(sum.Baseline.Total()+sum.Target.Total()) / elapsed.Seconds()
}
