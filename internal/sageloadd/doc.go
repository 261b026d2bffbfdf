// Package sageloadd is the service "load" of a node. For each upstream of the configuration it keeps
// the router's side of the in-flight allotment, and for those whose home this node is, the home's
// side too: it probes them, grants shares to other routers and ramps cold ones.
//
// The decisions are those of package sageload; this package adds the periods, the calls between
// nodes and the probes. Application services report no load, so their limit is divided among the
// roster once and for all. See docs/design/allotments.md.
//
// # Usage
//
//	s := &sageloadd.Service{
//		Node: "10.0.0.1:7201", Roster: roster, Config: conf, Peers: peers, Limits: limits, Floor: 1,
//	}
//	peerServer.Mount(allot.NewAllotServer(s))
//	kernel.Register("load", s)
//	...
//	if s.Acquire("engine1", time.Now()) {
//		defer s.Release("engine1", time.Now(), true)
//	}
package sageloadd
