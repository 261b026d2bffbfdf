// Package sagelocate decides which VMs of the system a caller should connect to.
//
// A client account has a fixed number of slots, and each of its chats belongs to one of them. Each slot
// is assigned to a VM by rendezvous hashing. A chat therefore returns to the same VM while the VMs stay
// the same. When a VM departs, only the chats of its slots move; when one arrives, only those of the
// slots that are assigned to it. An account reaches at most as many VMs as it has slots, so that an
// account with a surge of requests, or with requests that crash VMs, leaves most VMs to the others.
//
// VMs of the data centre that the caller names come first. VMs whose load is above a configured
// multiple of the mean are tried after these, as are suspect VMs. Leaving VMs must not be passed in.
//
// Every node computes the same answer from the same view, without any stored state.
//
// References: Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", IEEE/ACM
// Transactions on Networking 6(1), 1998 (rendezvous hashing); Mirrokni, Thorup, Zadimoghaddam,
// "Consistent Hashing with Bounded Loads", SODA 2018 (the load bound); MacCárthaigh, "Workload
// isolation using shuffle-sharding", Amazon Builders' Library, 2019 (the subset for each account).
//
// # Usage
//
//	r := sagelocate.DefaultRanker()
//	addresses := r.Rank(sagelocate.Query{Account: "trentvale", Chat: "c1"}, vms)
package sagelocate
