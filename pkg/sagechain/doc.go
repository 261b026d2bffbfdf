// Package sagechain places requests on model engines by the parts of their prompts.
//
// A prompt is a chain of parts: the first ones are shared with other requests, the last one is unique to the
// request. An engine keeps the parts that it has read in its cache, and placement avoids having another engine
// read them again. A [Placer] records which upstreams hold which parts, from its own requests and from reports by
// peers, and chooses
//
//  1. an upstream that holds the whole shared chain,
//  2. or else the one that ranks first for the chain (rendezvous hashing),
//
// in both cases only below a bound on the load (bounded loads). A frequently requested chain thus spreads over as
// few upstreams as its load needs, and all nodes spread it over the same ones. If another upstream holds parts
// that the chosen one lacks, the choice names it, and the engine can copy the parts instead of computing them.
//
// # Usage
//
//	p := &sagechain.Placer{}
//	c, ok := p.Choose(now, candidates, params, chain)
//	... // send to candidates[c.Index], copying from c.CopyFrom
//	p.Record(now, candidates[c.Index].ID, chain)
//	updates := p.TakeUpdates(400) // send to the peers
//	p.Merge(now, updates)         // on a peer
//
// # References
//
// Mirrokni, Thorup, Zadimoghaddam, "Consistent Hashing with Bounded Loads", SODA 2018 (the bound); Thaler,
// Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", IEEE/ACM Transactions on Networking 6 (1), 1998
// (rendezvous hashing).
package sagechain
