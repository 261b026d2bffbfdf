// Package sagesim simulates whole fleets in virtual time: hundreds to thousands of nodes that run the real heartbeat
// exchange and the real copies of the store, with models of what lies between them.
//
// The package consists of tests. They use virtual time of package testing/synctest, so a second of a fleet at rest takes
// no longer than its computations.
//
// # The model
//
//   - Links: each node has a link of a given bandwidth, on which datagrams and transfers queue. Datagrams take a
//     constant latency and are dropped if a link's queue is too long.
//   - Processors: each node has a share of a core. Sending and receiving a datagram, and encoding and decoding the
//     objects of a copy, occupy it for a time taken from benchmarks.
//   - Store: it answers lists in pages and watches, refuses calls above its rates, and can be out.
//
// Requests of callers and what nodes remember of cached prompts are not simulated.
//
// # Usage
//
// Small fleets are simulated by the package's tests. The table of a fleet's costs and times by its size:
//
//	go test ./internal/sagesim -run TestFleetTable -v -timeout 30m -args -sizes 8,30,100,300,1000,2000
package sagesim
