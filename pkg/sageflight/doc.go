// Package sageflight counts the requests in flight at each upstream from all nodes.
//
// A [Counter] holds the counts of this node and the last ones reported by each other node. Old reports are
// ignored: the requests of a dead node have ended, and a node that is cut off sends few.
//
// In a large fleet, nodes report to all others only seldom. One node of each group, the aggregator, then collects
// the counts of its group at short intervals. It sends the sum of its group to the aggregators of other groups,
// and the total of all groups to its own group. Sums are used instead of the nodes' own reports as long as they
// are fresh; when an aggregator fails, the nodes' own reports are used again.
//
// # Usage
//
//	c := &sageflight.Counter{}
//	done := c.Start("engine1")
//	defer done()
//	c.UpdateNode(now, "vm2", "north", sageflight.Counts{"engine1": 3})
//	c.Sum(now)["engine1"] // 4
//	c.UpdateGroup(now, "north", sageflight.Counts{"engine1": 7}) // including those of vm2
//	c.Sum(now)["engine1"] // 8
package sageflight
