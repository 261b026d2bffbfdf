// Package sageload bounds and estimates the load of upstreams although many routers share them.
//
// Three parts work together, each a plain value that is given the time and does no I/O:
//
//   - An [Estimate] joins the last load report of an upstream, which lags, with the router's own
//     dispatches since. Silence is unknown load, not no load.
//   - In-flight allotments bound what an upstream carries. Each upstream has one home node
//     ([Coordinator]), whose [Ledger] grants routers shares of the upstream's cap; a router's [Allotment]
//     lets a request go only while it holds an unused unit.
//   - A [Ramp] says what an upstream bears now. It starts low and grows with completed work. A
//     [Detector] restarts it when latency shows a cold upstream that gave no notice.
//
// # The bound
//
// At every instant the requests in flight at one boot of an upstream are at most the greatest cap
// that its homes have used since the oldest of these requests began. The cap includes the
// guaranteed shares ([GuaranteedShare]), which need no grant. No clock is compared with another: a
// holder counts a grant's deadline from when it asked, the granter from when it answered, and
// [Limits.MaxClockDrift] covers different clock rates. What has to be assumed stands at [Limits] and in
// docs/design/allotments.md.
//
// A home may grant only while most of the upstream's electorate has promised to recognise no
// other. Promises are leases held in memory; majorities intersect, so two homes never both have
// one. A new home first waits until each grant of an earlier home has expired, then learns what is
// still running from the upstream's report and from the holders.
//
// References: Gray and Cheriton, "Leases: an efficient fault-tolerant mechanism for distributed
// file cache consistency", SOSP 1989 (deadlines with drifting clocks); Trencseni, Gazso and
// Reinhardt, "PaxosLease: Diskless Paxos for leases", arXiv:1209.4187 (majority leases without
// stable storage, and why a restarted voter abstains); Thaler and Ravishankar, "Using name-based
// mappings to increase hit rates", IEEE/ACM ToN 6(1), 1998 (rendezvous hashing).
//
// # Usage
//
// A router asks the home for units, then takes one for each request:
//
//	want := holding.Ask(now, home, wanted)
//	grant := ... // the home's Ledger.Ask(now, router, want), over the network
//	holding.Answer(time.Now(), grant)
//	if !holding.Acquire(time.Now()) {
//		... // spill to another upstream, or refuse
//	}
//	defer holding.Release()
package sageload
