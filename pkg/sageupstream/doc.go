// Package sageupstream keeps what a node believes of the upstreams that registered themselves.
//
// A [Registry] is fed with entries as they change in the platform's store and answers with an
// immutable [Set]. An upstream may be used if its entry says that it is ready and its data centre is
// in service.
//
// # Entries that lapse while the store is away
//
// Entries are leases that their upstreams renew at the store. When the store was away, leases lapse
// although the upstreams live, and are renewed within a short while after its return. A deletion
// that comes with the return is therefore held back until that while is over. Without it, a store
// outage of a few seconds would take every upstream out of use at once.
//
// # Usage
//
//	r := &sageupstream.Registry{}
//	r.Put(sageupstream.Entry{...})
//	r.Away(now)       // the store does not answer
//	r.Back(now)       // it answers again
//	r.Delete(now, id) // held back shortly after an outage
//	r.Settle(now)     // drops what stayed missing
//	set := r.Set()
package sageupstream
