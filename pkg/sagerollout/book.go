package sagerollout

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"

	"sagestand.example/sagestand/pkg/sageclock"
)

// Tracker is what one node knows of the orders and their plans. It is safe for concurrent use.
type Tracker struct {
	// Chance returns a random number of [0, 1); nil means [rand.Float64]. It is set before use.
	Rand func() float64

	mu       sync.Mutex
	services map[string]*rollout
	// left are, by service, the targets of orders that ended without being completed.
	left map[string]map[string]bool
}

type rollout struct {
	order Order
	plan  Plan
	split Splitter
	tally map[CountKey]int
}

// Put takes an order in as the store shows it, and reports whether it or its state is new. An order that takes the
// place of one that was not completed leaves the earlier target without requests.
func (b *Tracker) Put(o Order) (fresh bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.services[o.Service]
	if r == nil || r.order.ID != o.ID {
		b.leave(o.Service)
		if b.services == nil {
			b.services = make(map[string]*rollout)
		}
		delete(b.left[o.Service], o.Target)
		b.services[o.Service] = &rollout{order: o, split: Splitter{InitialCredit: b.chance()}, tally: make(map[CountKey]int)}
		return true
	}
	o.FirstSeen, o.Deadline = r.order.FirstSeen, r.order.Deadline
	fresh = o.State != r.order.State
	r.order = o
	return fresh
}

func (b *Tracker) chance() float64 {
	if b.Rand != nil {
		return b.Rand()
	}
	return rand.Float64()
}

// Delete drops the order of a name. A target that was not completed gets no more requests.
func (b *Tracker) Delete(name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for service, r := range b.services {
		if r.order.Name == name {
			b.leave(service)
		}
	}
}

// leave drops the order of a service. mu is held.
func (b *Tracker) leave(service string) {
	r := b.services[service]
	if r == nil {
		return
	}
	delete(b.services, service)
	if r.state() == StateCompleted {
		return
	}
	if b.left == nil {
		b.left = make(map[string]map[string]bool)
	}
	if b.left[service] == nil {
		b.left[service] = make(map[string]bool)
	}
	b.left[service][r.order.Target] = true
}

// state returns how far an order is. The store goes before the plan: upstreams act on it.
func (r *rollout) state() State {
	switch {
	case r.order.State.Final():
		return r.order.State
	case r.plan.Phase == PhaseRolledBack:
		return StateRolledBack
	}
	return StateRunning
}

// Arm returns where the next request of a service on a route goes, for its first send. Its repeats go to
// [Book.RetryArm].
func (b *Tracker) Arm(now sageclock.Instant, service, route string) Arm {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.services[service]
	switch {
	case r == nil:
		return ArmAny
	case r.state() == StateCompleted:
		return ArmTarget
	case r.state() == StateRolledBack || !r.split.Next(route, r.plan.share(now)):
		return ArmBaseline
	}
	return ArmTarget
}

// Repeat returns where a request goes that is sent once more.
func (b *Tracker) RetryArm(now sageclock.Instant, service string) Arm {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.services[service]
	switch {
	case r == nil:
		return ArmAny
	case r.state() == StateCompleted || r.state() == StateRunning && r.plan.share(now) >= 1:
		return ArmTarget
	}
	return ArmBaseline
}

// Filter returns what reports whether an upstream of a version may get a request of an arm; nil if all may.
func (b *Tracker) VersionFilter(service string, arm Arm) func(version string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	left := b.left[service]
	r := b.services[service]
	if r == nil || arm == ArmAny {
		if len(left) == 0 {
			return nil
		}
		left = maps.Clone(left)
		return func(version string) bool { return !left[version] }
	}
	left, target := maps.Clone(left), r.order.Target
	return func(version string) bool { return !left[version] && (version == target) == (arm == ArmTarget) }
}

// PhaseCanary returns the part of the target's upstreams that the canary uses, 1 for all of them.
//
// It guards against versions that are bad under load only: spread over all upstreams of the target, the
// canary would load none of them as the whole traffic does.
func (b *Tracker) CanaryFraction(service string) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r := b.services[service]; r != nil && r.plan.Phase == PhaseCanary {
		return r.plan.Share
	}
	return 1
}

// StateRunning reports whether an order about a service runs.
func (b *Tracker) Running(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.services[service]
	return r != nil && r.state() == StateRunning
}

// IsTarget reports whether a version is the target of a service's order.
func (b *Tracker) IsTarget(service, version string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.services[service]
	return r != nil && version == r.order.Target
}

// Note counts an answer of an upstream, if an order about its service runs.
func (b *Tracker) RecordAnswer(service, version, route string, bad bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.services[service]
	if r == nil || r.state() != StateRunning {
		return
	}
	k := CountKey{OrderID: r.order.ID, Arm: ArmBaseline, Bad: bad, Route: route}
	if version == r.order.Target {
		k.Arm = ArmTarget
	}
	r.tally[k]++
}

// Counts returns this node's counts, for the other nodes.
func (b *Tracker) Counts() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[string]int)
	for _, r := range b.services {
		if r.state() != StateRunning {
			continue
		}
		for k, n := range r.tally {
			out[k.String()] = n
		}
	}
	return out
}

// Learn takes in a plan, and reports whether its phase is new.
func (b *Tracker) MergePlan(p Plan) (fresh bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range b.services {
		if r.order.ID == p.OrderID && p.supersedes(&r.plan) {
			fresh = r.plan.Sequence == 0 || p.Phase != r.plan.Phase
			r.plan = p
		}
	}
	return fresh
}

// Plans returns the plans of the orders that the store does not show as ended, ordered by order.
func (b *Tracker) Plans() []Plan {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []Plan
	for _, r := range b.services {
		if r.plan.Sequence > 0 && !r.order.State.Final() {
			out = append(out, r.plan)
		}
	}
	slices.SortFunc(out, func(x, y Plan) int {
		if x.OrderID < y.OrderID {
			return -1
		}
		return 1
	})
	return out
}

// Entry is an order with its plan.
type Entry struct {
	Order Order
	Plan  Plan
}

// Entries returns all orders, ordered by service.
func (b *Tracker) Entries() []Entry {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []Entry
	for _, s := range slices.Sorted(maps.Keys(b.services)) {
		r := b.services[s]
		out = append(out, Entry{Order: r.order, Plan: r.plan})
	}
	return out
}
