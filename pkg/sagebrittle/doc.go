// Package sagebrittle limits the requests in flight at upstreams that fall over when they have to decline too many.
//
// Upstreams announce in their responses that they are brittle: one that declines more than a given number of requests
// in a second crashes. Meanwhile [Limits] divides what each upstream can execute at once among the nodes, so that all
// nodes together send it no more than that:
//
//   - The limit of an upstream is a little below its number of slots. Each decline reduces it, and it grows back while
//     there are none. Nodes report reduced limits to each other; the lowest one counts.
//   - The places of all upstreams of a service are dealt to the nodes in turn. Each node uses only its own.
//   - An upstream that started while the service is brittle gets a quarter of its limit at first.
//
// Requests that find no place are to be rejected. When places are scarce, accounts share them: see [Limits.Admit].
//
// # Usage
//
//	l := &sagebrittle.Limits[string]{Self: "vm1"}
//	l.Announce(now, "chat", 3, 0)
//	place, ok := l.Acquire(now, &sagebrittle.Request[string]{Service: "chat", Upstream: "e1", Name: "e1", Slots: 6, Nodes: 9, Index: 2})
//	if !ok {
//		// try another upstream, or wait shortly for a release
//	}
//	l.RecordDecline(now, place) // if the upstream declined it
//	l.Release(place)
package sagebrittle
