// Package sageflight counts requests in flight by upstream over all nodes.
//
// A [Counter] holds this node's own counts and the last ones that each other node told. What a node
// told long ago is left out: a dead node's requests are gone, and one that is cut off sends little.
//
// In a large fleet the nodes tell all others seldom. One node of each group then gathers the counts of
// its group often and passes sums on, to its likes in other groups the sum of its group, and to its own
// group the total. Sums stand in for what the nodes told themselves as long as they are fresh; when the
// node that makes them fails, the nodes' own counts take over.
//
// # Usage
//
//	c := &sageflight.Counter{}
//	done := c.Start("engine1")
//	defer done()
//	c.Learn(now, "vm2", "north", sageflight.Counts{"engine1": 3})
//	c.Sum(now)["engine1"] // 4
//	c.LearnGroup(now, "north", sageflight.Counts{"engine1": 7}) // vm2's among them
//	c.Sum(now)["engine1"] // 8
package sageflight
