// Package sageplace decides which upstream takes a request.
//
// A decision is pure: it reads a [Table] of candidates, the [Loads] that the router believes in and a
// [Query], and returns a [Choice]. It allocates nothing and costs a pass over the candidates.
//
// # The order of upstreams
//
// Every key has its own order of the candidates, weighted by what each bears (weighted rendezvous
// hashing). The key is the context that the chat shares with others, or else the chat, so chats with a
// long common prefix meet on the same engines and find it cached. A candidate that joins or leaves
// changes no more than the chats that move to it or from it.
//
// # The bound
//
// The first upstream of the order whose load stays within a multiple of the mean takes the request
// (bounded loads). The bound is the integer ceil(multiple * (total+1) * cap/capacity), so one request
// always fits on an idle fleet. The spill is as deterministic as the order: all routers spill to the
// same next upstream, which so becomes warm as well. A load that is not known is not taken as idle.
//
// # Returning chats
//
// An answer carries a token, made by a [TokenSigner], that names the upstream and its cache generation.
// The chat's next request goes back there while the upstream is a candidate, has not lost its cache
// and is under the bound. Where no token comes, [PrefixLocations] from own answers and cache events serves.
// Both are hints: without them the order alone decides.
//
// # Hot contexts
//
// A [WidthPolicy] says over how many upstreams of its order a context is spread; its chats are divided
// among them by their own order.
//
// # Usage
//
//	t := sageplace.NewTable(candidates)
//	l := sageplace.NewLoads(len(candidates))
//	l.Refresh(func(i int) sageplace.Load { return loadOf(candidates[i].Name) })
//	bound, fresh := sageplace.LoadBounds(sageplace.DefaultLoadBound)
//	p := &sageplace.Placer[*sageplace.WidthByLoad]{
//		Bound: bound, Fresh: fresh, Width: sageplace.NewWidthByLoad(1024),
//	}
//	c := p.Choose(time.Now(), t, l, &sageplace.Query{Chat: sageplace.Key("chat-1")})
//
// # References
//
// Mirrokni, Thorup, Zadimoghaddam, "Consistent Hashing with Bounded Loads", SODA 2018, section 2
// (the bound and the spill). Thaler, Ravishankar, "Using Name-Based Mappings to Increase Hit Rates",
// IEEE/ACM Transactions on Networking 6 (1), 1998 (rendezvous hashing). Schindelhauer, Schomaker,
// "Weighted Distributed Hash Tables", SPAA 2005 (the logarithmic method for weights).
package sageplace
