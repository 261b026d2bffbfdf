// Package sagerollout moves a service's traffic to another version of its upstreams and takes it back
// if that version is bad.
//
// An [Order] names a service, the target version and a deadline. While it runs, a small part of the
// requests, the canary, goes to the target; the rest, the baseline, to all other versions. Every node
// counts good and bad answers by route and [Arm] in a [Tally]. One node, the controller, adds up the
// tallies of the fleet and steps a [Plan] through its phases:
//
//	pending ──▶ canary ──▶ ramp ──▶ full ──▶ completed
//	   │           │         │        │
//	   └───────────┴─────────┴────────┴─────▶ rolled back
//
// # Exposure
//
// The bound on what a bad version may get holds for all nodes together. A node spends a share of the
// requests that it itself handles ([Splitter]), so the sum keeps the share whichever nodes are cut off,
// start again or see few requests. A [Plan] with a share above zero is a lease: a node that has not
// received it anew for a short while sends to the baseline only. The canary's share leaves enough of the
// bound unspent for the time that the fleet needs to notice a version that turns bad under full load.
//
// # Evidence
//
// [SequentialTest] compares the target with the baseline under the same load at the same time, by route, with a
// sequential probability ratio test. Its hypotheses are the baseline's own rate of bad answers, and that
// rate with an excess. An answer is bad if it is a failure, never came, or took several times as long as
// the baseline's answers on that route.
//
// # Usage
//
//	b := new(sagerollout.Tracker)
//	b.Put(now, order)
//	arm := b.Arm(now, "chat", "drafts")         // for each request
//	if admits := b.Filter("chat", arm); admits == nil || admits(upstream.Version) { ... }
//	b.Note("chat", upstream.Version, "drafts", bad)
//
//	c := &sagerollout.Controller{Self: "vm1", Bounds: sagerollout.Bounds{Share: 0.1, Slack: 50}}
//	plan := c.Step(now, order, b.Plan("chat"), evidence, fleet) // on the controller
//	b.Learn(now, plan)                          // on all nodes
package sagerollout
