// Package sagelocate decides which of the system's VMs a caller should connect to.
//
// A client account is spread over a fixed number of slots, and a chat belongs to one slot of its
// account. Each slot ranks the VMs by rendezvous hashing and belongs to the first. A chat therefore
// returns to the same VM while the VMs stay the same; when one departs only the chats of its slots
// move, and when one arrives only the slots that it wins. An account reaches no more VMs than it has
// slots, so that one that surges or breaks what it touches leaves most VMs to the others.
//
// VMs of the data centre that the caller names come first. A VM whose load is above a set multiple
// of the mean goes behind the others. Suspected VMs go last. Leaving VMs are never named.
//
// Every node computes the same answer from the same view, and no node keeps anything.
//
// References: Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", IEEE/ACM
// Transactions on Networking 6(1), 1998 (rendezvous hashing); Mirrokni, Thorup, Zadimoghaddam,
// "Consistent Hashing with Bounded Loads", SODA 2018 (the bound); MacCárthaigh, "Workload isolation
// using shuffle-sharding", Amazon Builders' Library, 2019 (the subset for each account).
//
// # Usage
//
//	r := sagelocate.DefaultRanker()
//	addresses := r.Rank(sagelocate.Query{Account: "trentvale", Chat: "c1"}, vms)
package sagelocate
