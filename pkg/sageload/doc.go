// Package sageload limits and estimates the load of upstreams that many routers share.
//
// It has three parts. Each is a plain value that is given the time and does no I/O:
//
//   - An [Estimate] adds the router's own dispatches to the last load report of an upstream, because
//     reports lag. Without a recent report the load is unknown, not zero.
//   - In-flight allotments limit the requests that an upstream carries. Each upstream has one
//     coordinator node ([Coordinator]), whose [Ledger] grants units of the upstream's cap to routers; a
//     unit allows one request in flight. A router's [Allotment] lets a request start only if it has an
//     unused unit.
//   - A [Ramp] computes the current cap of an upstream. It starts low and grows with completed work. A
//     [Detector] restarts it when latency shows that an upstream turned cold without a restart.
//
// # The bound
//
// At every instant the requests in flight at one boot of an upstream are at most the greatest cap that
// its coordinators have used since the oldest of these requests began. The cap includes the guaranteed
// shares ([GuaranteedShare]), which need no grant. Clocks of different nodes are never compared: a
// holder counts a grant's deadline from when it sent the request, the coordinator from when it
// answered, and [Limits.MaxClockDrift] covers different clock rates. [Limits] and
// docs/design/allotments.md state the assumptions.
//
// A coordinator may grant only while a majority of the upstream's voters ([Voters]) has promised not to
// vote for another. Promises are leases held in memory; majorities intersect, so two coordinators never
// both have one. A new coordinator first waits until each grant of an earlier one has expired, then
// learns what is still running from the upstream's report and from the holders.
//
// References: Gray and Cheriton, "Leases: an efficient fault-tolerant mechanism for distributed file
// cache consistency", SOSP 1989 (deadlines with drifting clocks); Trencseni, Gazso and Reinhardt,
// "PaxosLease: Diskless Paxos for leases", arXiv:1209.4187 (majority leases without stable storage, and
// why a restarted voter abstains); Thaler and Ravishankar, "Using name-based mappings to increase hit
// rates", IEEE/ACM ToN 6(1), 1998 (rendezvous hashing).
//
// # Usage
//
// A router requests units from the coordinator, then takes one for each request to the upstream:
//
//	r, ok := allotment.Request(now, coordinator, wanted)
//	grant := ... // the coordinator's Ledger.HandleRequest(now, r), over the network
//	allotment.ApplyGrant(grant)
//	if !allotment.Acquire(time.Now()) {
//		... // send to another upstream, or refuse
//	}
//	defer allotment.Release()
package sageload
