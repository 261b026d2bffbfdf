// Package sageupstream keeps a node's view of the upstreams that have registered themselves.
//
// A [Registry] is updated with the entries of the platform's store and returns immutable [Set]
// snapshots. An upstream may get requests if its entry says that it is ready, its data centre is in
// service and it isn't excluded.
//
// # Entries that lapse during a store outage
//
// Entries are leases that their upstreams renew in the store. During a store outage leases lapse even
// though the upstreams are alive; they are renewed shortly after the store is reachable again. A
// deletion that arrives then is therefore applied only after a grace period. Without it, a store
// outage of a few seconds would take all upstreams out of use at the same time.
//
// # Upstreams that announce that they leave
//
// An upstream may say in its responses that it is about to stop, before its entry says so or while the
// store can't show it. The announcement makes that start of the upstream draining for good, whatever its
// entry says later; another start is not affected.
//
// # Usage
//
//	r := &sageupstream.Registry{}
//	r.Put(sageupstream.Entry{...})
//	r.StoreUnreachable()
//	r.StoreReachable(now)
//	r.Delete(now, id)   // delayed shortly after an outage
//	r.AnnounceLeaving(now, entry)
//	r.ExpireLapsed(now) // removes entries that were not renewed
//	set := r.Snapshot()
package sageupstream
