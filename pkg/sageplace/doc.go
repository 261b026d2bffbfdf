// Package sageplace decides which upstream takes a request.
//
// A decision is pure: it reads a [Table] of candidates, the [Loads] that the router estimates and a
// [Query], and returns a [Choice]. It doesn't allocate and takes one or two passes over the candidates.
//
// # The order of upstreams
//
// Every key has its own order of the candidates, weighted by their capacity (weighted rendezvous
// hashing). The key is the context that the chat shares with others, or else the chat. So chats with a
// long common prefix go to the same engines and find it cached. When a candidate joins or leaves, only
// the chats that move to it or from it are affected.
//
// # The bound
//
// The first upstream of the order whose load stays within a multiple of the mean takes the request
// (bounded loads). The bound is the integer ceil(multiple * (total+1) * cap/totalCap), where the totals
// are those of the upstreams of known load, so one request always fits on an idle fleet. The spill
// follows the same order: all routers spill a key to the same next upstream, whose cache becomes warm
// as well. An upstream whose load is unknown does not count as idle.
//
// # Returning chats
//
// A response carries a token, made by a [TokenSigner], that names the upstream and its cache
// generation. The chat's next request goes to that upstream while it is a candidate, still has its
// cache and is under the bound. For requests without a token, [PrefixLocations] provides the location
// from the router's own responses and from cache events. Both are hints: without them the order alone
// decides.
//
// # Contexts with many requests
//
// A [WidthPolicy] decides over how many upstreams of its order a context is spread; its chats are
// divided among them by the order of each chat.
//
// # Usage
//
//	t := sageplace.NewTable(candidates)
//	l := sageplace.NewLoads(len(candidates))
//	l.Refresh(func(i int) sageplace.Load { return loadOf(candidates[i].Name) })
//	bound, uncached := sageplace.LoadBounds(sageplace.DefaultLoadBound)
//	p := &sageplace.Placer[*sageplace.WidthByLoad]{
//		LoadBound: bound, UncachedLoadBound: uncached, WidthPolicy: sageplace.NewWidthByLoad(1024),
//	}
//	c := p.Choose(time.Now(), t, l, &sageplace.Query{Chat: sageplace.Key("chat-1")})
//
// # References
//
// Mirrokni, Thorup, Zadimoghaddam, "Consistent Hashing with Bounded Loads", SODA 2018, section 2 (the
// bound and the spill). Thaler, Ravishankar, "Using Name-Based Mappings to Increase Hit Rates",
// IEEE/ACM Transactions on Networking 6 (1), 1998 (rendezvous hashing). Schindelhauer, Schomaker,
// "Weighted Distributed Hash Tables", SPAA 2005 (the logarithmic method for weights).
package sageplace
