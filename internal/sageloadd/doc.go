// Package sageloadd is the service "load" of a node. For each configured upstream it keeps the node's own
// in-flight allotment. For the upstreams that this node coordinates, it also probes their load, grants units to
// the other routers and limits cold engines by a ramp.
//
// Package sageload makes the decisions; this package adds the timers, the calls between nodes and the probes.
// Application services don't report load, so their limit is divided statically among the nodes of the roster.
// See docs/design/allotments.md.
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
