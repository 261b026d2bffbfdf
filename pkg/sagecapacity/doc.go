// Package sagecapacity estimates how much the upstreams of a service can run now, and chooses among them.
//
// A [Tracker] belongs to one node. It combines what all nodes report, which is complete but a fraction of a second old, with
// what this node measures itself, which is fresh but little if the fleet is large.
//
// # Capacity
//
// By Little's law the mean run at an upstream is the number of slots in use, divided by the runs per second. Both are known
// from the sums of all nodes, and the upstream can run its slots divided by the mean run. Requests in flight beyond the slots
// are the queue. [Estimate.Target] is the rate of admission that drains a queue which is longer than a part of the slots. If
// the runs per second are unknown, the mean run is that of this node's own responses.
//
// # Choice
//
// [Tracker.Choose] is for requests that may run at any upstream. Their runs are shorter than the age of the counts: nodes
// that all chose the least loaded upstream by these counts would choose the same one. Each upstream has a weight instead,
// the requests per second that it can run, less what lets its queue drain. The upstream with the fewest requests of this
// node relative to its weight is chosen, and among equals one is drawn by weight. Nodes with many requests balance by their
// own, and those with few draw at random. A slow upstream keeps its share of the draws, which shows when it is fast again.
//
// What an upstream reports of itself ([Tracker.RecordLoad]) may be false, and changes its weight by no more than a half.
//
// # Second sends
//
// A request that is sent a second time while its first run goes on takes capacity from another request. Where capacity is short,
// second runs can keep up the queue that caused them after its cause is gone. [Tracker.AllowSecondSend] reports whether there
// is capacity for them.
//
// # Usage
//
//	t := &sagecapacity.Tracker{}
//	t.RecordRun(now, "app", "a1", 14*time.Millisecond)
//	e := t.Update(now, "app", []sagecapacity.Upstream{{ID: "a1", Slots: 6, InFlight: 4, RunsPerSecond: 300}})
//	i := t.Choose(now, "app", candidates)
//	if t.AllowSecondSend(now, "app") {
//		// send to another upstream as well
//	}
//	t.Sweep(now) // now and then
//
// # References
//
// Little, "A Proof for the Queuing Formula L = λW", Operations Research 9, 1961.
//
// Mitzenmacher, "How Useful Is Old Information?", IEEE Transactions on Parallel and Distributed Systems 11, 2000.
//
// Dahlin, "Interpreting Stale Load Information", IEEE Transactions on Parallel and Distributed Systems 11, 2000.
//
// Bronson, Aghayev, Charapko, Zhu, "Metastable Failures in Distributed Systems", HotOS 2021.
package sagecapacity
