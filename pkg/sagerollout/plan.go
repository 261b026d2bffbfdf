package sagerollout

import (
	"time"

	"sagestand.example/sagestand/pkg/sageclock"
)

// lease is how long a plan counts that sends requests to the target, from when the controller issued it.
//
// It guards against a node that was cut off while the fleet rolled a bad version back: it would go on
// sending the canary's share, and at full share all of its requests.
const lease = 2 * time.Second

// Phase is a step of a rollout.
type Phase uint8

// The phases, in order.
const (
	// PhasePending waits for upstreams of the target that can bear the traffic.
	PhasePending Phase = iota
	// PhaseCanary sends a small share to a few upstreams of the target.
	PhaseCanary
	// PhaseRamp sends a larger share to all of them.
	PhaseRamp
	// PhaseFull sends everything to the target and waits until the baseline is idle.
	PhaseFull
	// PhaseDone is full, with the baseline idle: the order can be completed.
	PhaseDone
	// PhaseRolledBack sends nothing to the target any more.
	PhaseRolledBack
)

// String returns the phase's name for the log.
func (p Phase) String() string {
	names := [...]string{"pending", "canary", "ramp", "full", "done", "undone"}
	if int(p) < len(names) {
		return names[p]
	}
	return "unknown"
}

// Final reports whether no phase follows.
func (p Phase) Final() bool { return p == PhaseDone || p == PhaseRolledBack }

// Plan is what the controller has all nodes do for an order.
type Plan struct {
	// Order is the order's ID.
	OrderID uint64
	Phase   Phase
	// Share is the part of the requests that goes to the target, 0 to 1.
	Share float64
	// Version counts the controller's steps, also those of the controllers before it. By is the
	// controller's name; of two plans of equal version the one with the greater name counts.
	Sequence   uint64
	Controller string
	// Issued is when the controller made this version; Since is when its phase began.
	IssuedAt, PhaseSince sageclock.Instant
}

// supersedes reports whether a plan counts more than another of the same order.
//
// A final phase stands whatever versions say: two nodes may take themselves for the controller, and the one
// that knows less must not send to a version that the other one rolled back.
func (p *Plan) supersedes(o *Plan) bool {
	switch {
	case p.Phase.Final() != o.Phase.Final():
		return p.Phase.Final()
	case p.Phase.Final() && p.Phase != o.Phase:
		return p.Phase == PhaseRolledBack
	case p.Sequence != o.Sequence:
		return p.Sequence > o.Sequence
	}
	return p.Controller > o.Controller
}

// share returns the part of the requests that goes to the target now.
func (p *Plan) share(now sageclock.Instant) float64 {
	switch {
	case p.Phase == PhaseRolledBack:
		return 0
	case p.Phase == PhaseDone:
		return 1
	case now.Sub(p.IssuedAt) > lease:
		return 0
	}
	return p.Share
}
