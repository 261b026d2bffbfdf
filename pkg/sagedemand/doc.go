// Package sagedemand counts what the accounts ask of services over a fleet, and divides the services' capacity among accounts and
// nodes.
//
// Each node counts the requests that arrive there with a [Meter] and sends the counts of the last second to the other nodes,
// which add them up. While a service isn't contended only its total is sent. While it is, the counts of its heaviest accounts
// are sent as well, and the number of runs that each of its upstreams completed. Their number is bounded, however many names
// the callers make up. An account that isn't among the heaviest is unlisted: it is part of the service's total only.
//
// # Division
//
// [Split] divides the capacity of a service by max-min fairness: accounts that ask for less than their share get what they ask for,
// and the others get equal parts of the rest, by weight. What an account may use is what it would get if it alone asked for
// more. A node gets the part of it that equals its part of the account's requests, so that the parts of all nodes add up to
// the account's share, wherever its requests arrive.
//
// Counts of other nodes are some tenths of a second old. A node therefore compares them with its own counts of about the same
// time. If it compared them with its present ones, each node would take a flood that has just begun for its own alone, and
// admit the whole share of the account. Requests that the sums don't include yet are limited to the spare capacity divided by the
// number of nodes.
//
// # Missing counts
//
// Each node that counts adds one to the count of [Nodes]. If fewer nodes are counted than there are, because a node is cut off,
// counts were lost or some nodes run an older program, the counted nodes divide only their part of the capacity. A node without
// any sums knows its own counts only, and divides the capacity divided by the number of nodes.
//
// # Usage
//
//	m := &sagedemand.Meter{}
//	m.RecordRequest(now, "app", "acc")
//	own := m.Counts(now, contended) // for the next heartbeat
//	d := sagedemand.Of("app", own, fleet)
//	shares := sagedemand.Split(d, sagedemand.Params{Capacity: 1200, Nodes: 65})
package sagedemand
