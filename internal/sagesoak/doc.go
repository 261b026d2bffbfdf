// Package sagesoak runs nodes as separate processes on loopback, injects random faults into their environment,
// and checks the behaviour that callers and upstreams observe.
//
// The seed of a [Soak] determines which families of faults it injects, when, and for how long. Faults may
// overlap. Signals kill, stop, freeze or reload the processes that the soak itself started. The store and the
// upstreams are stand-ins that fail on demand. With Series, faults of one family follow each other closely. A proxy
// on loopback in front of each upstream delays or resets connections, or drops data in one or both directions.
// With Contention, accounts ask for more than the application runners can run, and callers and runners are slow.
// With Retries, all upstreams of a service fail while many nodes are killed and frozen.
// With Responses, upstreams repeat responses late and send bytes that never end.
// Callers continue to use open connections until the process exits.
//
// The checks: a booking runs at most once, a refused request didn't run, responses are complete and belong to
// their request, streams are complete and in order, revoked keys are rejected within a time limit, upstreams
// that left, or announced in a response that they leave, receive no requests, declining upstreams that asked for a
// pause receive at most two in it from each node, planned stops cut no streams, a request that crashes upstreams is
// stopped, all nodes together keep to the limit on retries in any window, the system serves requests again after the last fault, each account too, and no brittle runner is declined
// into falling over again and again.
//
// Beside the random faults, a [Partition] holds what two data centres send each other and counts what is executed although it was
// given up, and a [Rejoin] kills all nodes while streams are open, amid replacements of their version.
//
// # Usage
//
//	s := &sagesoak.Soak{Seed: 7, Program: "bin/sagestand", Dir: dir, Nodes: 4, Duration: 10 * time.Second}
//	result, err := s.Run(ctx)
package sagesoak
