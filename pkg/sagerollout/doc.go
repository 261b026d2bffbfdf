// Package sagerollout moves a service's traffic to another version of its upstreams, and rolls it back if that
// version is bad.
//
// An [Order] names a service, the target version and a deadline. While it is running, a small share of the
// requests, the canary, goes to the target, and the rest to the baseline, which is all other versions. Every node
// counts good and bad answers by route and [Arm] in a [Tracker]. One node, the [Controller], adds up the counts of
// the fleet and steps a [Plan] through its phases:
//
//	pending ──▶ canary ──▶ ramp ──▶ full ──▶ done
//	   │           │         │        │
//	   └───────────┴─────────┴────────┴─────▶ rolled back
//
// # Exposure
//
// The bound on the requests that a bad version may get holds for all nodes together. Each node sends the target
// its share of the requests that the node itself handles ([Splitter]), so the total share holds even if nodes are
// cut off, restart or get few requests. A [Plan] with a share above zero is a lease: a node that hasn't received a
// renewed plan within a short time sends to the baseline only. The canary's share leaves enough of the bound for
// the time that the fleet needs to notice a version that turns bad under full load.
//
// # Evidence
//
// [SequentialTest] compares the target with the baseline under the same load at the same time, by route, with a
// sequential probability ratio test. Its hypotheses are the baseline's own rate of bad answers, and that rate with
// an excess. An answer is bad if it failed, never arrived, or took several times as long as the baseline's answers
// on that route ([LatencyTracker]).
//
// # Usage
//
//	t := new(sagerollout.Tracker)
//	t.Put(order)
//	arm := t.Arm(now, "chat", "drafts") // for each request
//	if admits := t.VersionFilter("chat", arm); admits == nil || admits(upstream.Version) { ... }
//	other, ok := t.OtherArm("chat", arm, servingVersions) // if the arm has no upstream left
//	t.RecordAnswer("chat", upstream.Version, "drafts", bad)
//
//	c := &sagerollout.Controller{Self: "vm1", Bounds: sagerollout.Bounds{ExposedShare: 0.1, ExposedSlack: 50}}
//	for _, e := range t.Entries() { // on the controller
//		evidence := sagerollout.CollectEvidence(e.Order.ID, counts)
//		plan := c.Step(now, e.Order, e.Plan, evidence, load)
//	}
//	t.MergePlan(plan) // on all nodes
package sagerollout
