// Package sagechain places requests on model engines by the parts of their prompts.
//
// A prompt is a chain of parts, the first ones shared with other requests, the last one its own. An
// engine that read a chain of parts once has them cached, and reading shared parts again on another
// engine is what placement has to avoid. A [Placer] remembers which upstreams hold which parts, from
// its own sends and from what other nodes tell, and chooses
//
//  1. an upstream that holds the whole shared chain,
//  2. or else the first in the chain's own order of upstreams (rendezvous hashing),
//
// in both cases only below a bound on the load (bounded loads), so that a hot chain spreads over as
// few upstreams as its load needs and all nodes spread it over the same ones. When the chosen one
// lacks parts that another holds, the choice names that one, and the engine can copy the parts
// instead of computing them.
//
// # Usage
//
//	p := &sagechain.Placer{}
//	c, ok := p.Choose(now, candidates, rest, chain)
//	... // send to candidates[c.Index], fetching from c.From
//	p.Note(now, candidates[c.Index].ID, chain)
//	told := p.News(400)  // for the other nodes
//	p.Learn(now, told)   // what they told
//
// # References
//
// Mirrokni, Thorup, Zadimoghaddam, "Consistent Hashing with Bounded Loads", SODA 2018 (the bound);
// Thaler, Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", IEEE/ACM Transactions on
// Networking 6 (1), 1998 (the order).
package sagechain
