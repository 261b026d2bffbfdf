// Package sageshare divides fleet-wide limits into shares that each node enforces without
// communication.
//
// [ColdLimiter] limits the requests to a cold upstream in any second. [RetryLimiter] limits the sends
// to a service beyond the first one of each request in any window. Both limits hold when nodes
// disagree about which nodes are alive, are partitioned or paused, since a share depends on the nodes
// that were ever known, not on those that respond now. The share of a lost node stays unused, which
// costs little; a share taken over too early would exceed the limit when its owner returns. A node that
// has just started has no share: its predecessor of the same name may have used it in the same window.
//
// # Usage
//
//	c := &sageshare.ColdLimiter{Self: "vm1", Start: now}
//	if c.Allow(now, nodes, upstream, 10) {
//		... // send
//	}
//	r := &sageshare.RetryLimiter{Ratio: 0.2, Slack: 56, Window: 10 * time.Second, Start: now}
//	r.RecordFirstSend(now, "chat", len(nodes))
//	if r.Allow(now, "chat", len(nodes)) {
//		... // send again
//	}
package sageshare
