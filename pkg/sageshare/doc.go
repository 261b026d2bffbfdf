// Package sageshare splits bounds that hold for all nodes together into shares that each node keeps
// without asking.
//
// [ColdLimiter] bounds what a cold upstream gets in any second. [RetryLimiter] bounds what a service gets beyond
// the first send of each request in any window. Both hold when nodes disagree about who lives, are
// cut off or frozen, since a share depends on the nodes that were ever known, not on those that
// answer now: a lost node's share stays unused, which costs little, while a share taken over too
// early would break the bound when its owner comes back.
//
// # Usage
//
//	c := &sageshare.ColdLimiter{Self: "vm1"}
//	if c.Allow(now, nodes, upstream, 10) {
//		... // send
//	}
//	r := &sageshare.RetryLimiter{Ratio: 0.2, Slack: 56, Window: 10 * time.Second}
//	r.First(now, "chat")
//	if r.Allow(now, "chat", len(nodes)) {
//		... // send again
//	}
package sageshare
