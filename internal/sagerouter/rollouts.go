package sagerouter

import (
	"context"
	"math"
	"time"

	"sagestand.example/sagestand/internal/sagefollow"
	"sagestand.example/sagestand/internal/sagelog"
	"sagestand.example/sagestand/internal/sagerelay"
	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/pkg/sagerollout"
	"sagestand.example/sagestand/pkg/sageupstream"
)

// Times of rollouts.
const (
	// stepEvery is how often the controller issues plans, a tenth of their lease.
	stepEvery = 200 * time.Millisecond
	// statusWithin bounds one write of a status, statusPause is the pause after one.
	statusWithin = time.Second
	statusPause  = 500 * time.Millisecond
)

// applyRollouts takes changes of rollout orders in.
func (n *Node) applyRollouts(changes []sagefollow.Change, _ bool) {
	now := sageclock.Now()
	log := n.Log.Component("rollouts")
	for _, c := range changes {
		if c.Deleted {
			log.Info("Rollout order withdrawn.", "name", c.Object.Name, "revision", c.Object.Revision)
			n.fleet.rollouts.Delete(c.Object.Name)
			continue
		}
		o, err := n.Decoder.Rollout(c.Object, now)
		if err != nil {
			log.Error("Rollout order can't be carried out.", "name", c.Object.Name, "revision", c.Object.Revision, "err", err)
			n.fleet.rollouts.Delete(c.Object.Name)
			continue
		}
		if n.fleet.rollouts.Put(o) {
			log.Info("Rollout order.", "name", o.Name, "service", o.Service, "target", o.Target, "state", string(o.State),
				"left_ms", o.Deadline.Sub(now).Milliseconds(), "revision", o.Revision)
		}
	}
}

// learnPlan takes in a plan from any node.
func (n *Node) learnPlan(now sageclock.Instant, p sagerollout.Plan) {
	if n.fleet.rollouts.MergePlan(p) {
		n.Log.Component("rollouts").Info("Rollout phase.", "order", p.OrderID, "phase", p.Phase.String(), "share", p.Share,
			"version", p.Sequence, "by", p.Controller, "age_ms", now.Sub(p.IssuedAt).Milliseconds())
	}
}

// rolloutController steps the plans of rollouts while this node comes first in the fleet.
type rolloutController struct {
	node       *Node
	controller sagerollout.Controller
	// wrote is when this node last began to write a status, by order.
	wrote map[uint64]sageclock.Instant
}

// Run steps the plans until ctx ends.
func (c *rolloutController) Run(ctx context.Context) error {
	c.wrote = make(map[uint64]sageclock.Instant)
	t := time.NewTicker(stepEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			c.step(ctx, sageclock.Now())
		}
	}
}

// step issues a new version of each plan.
//
// A node that the store refuses steps plans only if it refuses all of them: taking a bad version back needs
// no store.
func (c *rolloutController) step(ctx context.Context, now sageclock.Instant) {
	n := c.node
	entries := n.fleet.rollouts.Entries()
	if len(entries) == 0 || n.leaving.Load() || n.mesh.Rank(n.copies[n.Kinds.Rollouts].Failing()) != 0 {
		return
	}
	live := make(map[uint64]bool, len(entries))
	for _, e := range entries {
		live[e.Order.ID] = true
		if !e.Order.State.Final() {
			c.stepOne(ctx, now, e)
		}
	}
	c.controller.Retain(func(order uint64) bool { return live[order] })
}

func (c *rolloutController) stepOne(ctx context.Context, now sageclock.Instant, e sagerollout.Entry) {
	n := c.node
	evidence := sagerollout.CollectEvidence(e.Order.ID, n.fleet.answers.Sum(now))
	sees := n.fleet.rolloutFleet(now, &e.Order)
	p := c.controller.Step(now, e.Order, e.Plan, evidence, sees)
	if p.Phase != e.Plan.Phase {
		v, route := c.controller.Verdict(e.Order.ID)
		sum := evidence.Sum()
		n.Log.Component("rollouts").Info("Rollout decision.", "order", e.Order.ID, "service", e.Order.Service, "target", e.Order.Target,
			"phase", p.Phase.String(), "from", e.Plan.Phase.String(), "verdict", v.String(), "route", route,
			"target_bad", sum.Target.Bad, "target_answers", sum.Target.Total(), "baseline_bad", sum.Baseline.Bad,
			"baseline_answers", sum.Baseline.Total(), "target_slots", sees.TargetSlots, "baseline_in_flight", sees.BaselineInFlight,
			"left_ms", e.Order.Deadline.Sub(now).Milliseconds())
	}
	n.learnPlan(now, p)
	if p.Phase != e.Plan.Phase {
		n.mesh.TriggerHeartbeats(true)
	}
	c.write(ctx, now, e.Order, p.Phase)
}

// write has the store show how far an order is.
func (c *rolloutController) write(ctx context.Context, now sageclock.Instant, o sagerollout.Order, p sagerollout.Phase) {
	state := sagerollout.StateRunning
	switch p {
	case sagerollout.PhaseDone:
		state = sagerollout.StateCompleted
	case sagerollout.PhaseRolledBack:
		state = sagerollout.StateRolledBack
	}
	if o.State == state || now.Sub(c.wrote[o.ID]) < statusWithin+statusPause {
		return
	}
	c.wrote[o.ID] = now
	go c.node.writeStatus(ctx, o, state)
}

// writeStatus writes one status. The condition on the revision keeps two controllers from writing different
// last states.
func (n *Node) writeStatus(ctx context.Context, o sagerollout.Order, state sagerollout.State) {
	log := n.Log.Component("rollouts")
	ctx, cancel := context.WithTimeout(ctx, statusWithin)
	defer cancel()
	status, err := n.Decoder.RolloutStatus(state, o.Target)
	if err != nil {
		log.Error("Rollout status can't be encoded.", "name", o.Name, "err", err)
		return
	}
	if err := n.Store.SetStatus(ctx, n.Kinds.Rollouts, o.Name, o.Revision, status); err != nil {
		log.Limited(sagelog.KindStateChange, "Rollout status not written.", "name", o.Name, "state", string(state), "revision", o.Revision, "err", err)
		return
	}
	log.Info("Rollout status written.", "name", o.Name, "state", string(state), "revision", o.Revision)
}

// rolloutFleet returns what the controller needs to know of an order's service.
func (f *fleet) rolloutFleet(now sageclock.Instant, o *sagerollout.Order) sagerollout.ServiceLoad {
	set := f.view.set.Load()
	loads := f.flights.Sum(now)
	var out sagerollout.ServiceLoad
	for _, e := range set.Available(o.Service) {
		switch {
		case e.Version != o.Target:
			out.BaselineSlots += e.Slots
		case e.ColdUntil <= now:
			out.TargetSlots += e.Slots
		}
	}
	for _, e := range set.All(o.Service) {
		out.InFlight += loads[e.ID]
		if e.Version != o.Target {
			out.BaselineInFlight += loads[e.ID]
		}
	}
	return out
}

// versionsOf returns the upstreams of a service that an arm of its rollout may use.
func (f *fleet) versionsOf(set *sageupstream.Set, service string, arm sagerollout.Arm) []*sageupstream.Entry {
	all := set.Available(service)
	if f.rollouts == nil {
		return all
	}
	admits := f.rollouts.VersionFilter(service, arm)
	if admits == nil {
		return all
	}
	out := make([]*sageupstream.Entry, 0, len(all))
	for _, e := range all {
		if admits(e.Version) {
			out = append(out, e)
		}
	}
	return out
}

// arm returns the arm of a send.
func (f *fleet) arm(now sageclock.Instant, service, route string, first bool) sagerollout.Arm {
	switch {
	case f.rollouts == nil:
		return sagerollout.ArmAny
	case first:
		return f.rollouts.Arm(now, service, route)
	}
	return f.rollouts.RetryArm(now, service)
}

// otherArm returns the arm to use when one has no upstream left, or false if the request has to be refused.
// The target stands in for the baseline only while the order runs and nothing of the baseline is registered.
func (f *fleet) otherArm(set *sageupstream.Set, service string, arm sagerollout.Arm) (sagerollout.Arm, bool) {
	switch {
	case arm == sagerollout.ArmTarget:
		return sagerollout.ArmBaseline, true
	case arm == sagerollout.ArmAny || !f.rollouts.Running(service):
		return arm, false
	}
	admits := f.rollouts.VersionFilter(service, sagerollout.ArmBaseline)
	for _, e := range set.All(service) {
		if admits == nil || admits(e.Version) {
			return arm, false
		}
	}
	return sagerollout.ArmTarget, true
}

// leastCanary is the least number of upstreams that a canary uses: one may be sick itself.
const leastCanary = 2

// canary returns the upstreams of the target that the canary uses, the same ones on all nodes.
func (f *fleet) canary(service string, es []*sageupstream.Entry) []*sageupstream.Entry {
	n := int(math.Ceil(f.rollouts.CanaryFraction(service) * float64(len(es))))
	return es[:min(len(es), max(leastCanary, n))]
}

// Answered implements [sagerelay.Fleet].
//
// Answers of cold upstreams are slow for another reason than their version, and count only if they fail.
func (f *fleet) RecordResponse(p *sagerelay.Pick, route string, a sagerelay.ResponseResult) {
	if f.rollouts == nil {
		return
	}
	u := p.Upstream
	t := sagerollout.Latencies{EventInterval: a.MeanEventGap, Total: a.Duration}
	if a.TimeToFirstEvent > 0 {
		t.FirstEvent = max(1, a.TimeToFirstEvent-f.PrefillTime(u.Service, p.UncachedTokens))
	}
	cold := u.ColdUntil > sageclock.Now()
	if cold && !a.Failed {
		return
	}
	slow := !a.Failed && f.rolloutPaces.IsSlow(route, t)
	f.rollouts.RecordAnswer(u.Service, u.Version, route, a.Failed || slow)
	if !a.Failed && !f.rollouts.IsTarget(u.Service, u.Version) {
		f.rolloutPaces.Add(route, t)
	}
}
