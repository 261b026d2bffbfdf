// Package sageorigin keeps where streams began, so that any node of a fleet can continue them there.
//
// What two software versions of an upstream write doesn't fit together. The upstream whose first event is passed on fixes
// the [Origin] of a stream, its service and version, and every later send of the stream goes there or isn't made. The
// caller may return at another node while the first one is gone, so the node that passes on the first event sends a
// [Record] to [NumHolders] others at the same moment. They are found by the stream's [Key] with rendezvous hashing
// ([Ring]), over several data centres. A node to which the caller returns asks the same nodes.
//
// # Services with one version
//
// While a service has only one version, nothing is sent and nobody is asked. A [History] records which versions each
// service and which services each route had within [Window], which is longer than a caller can still return. A route is
// [Sole] if that was one version of one service. A node that started less than [Window] ago doesn't know what was before;
// other nodes do.
//
// After a loss of all nodes only the platform's store knows. It has a [Claim] for each service, which names the sole version
// or those that are admitted. A version begins no stream before the store has confirmed its admission, which ends the claim of
// another sole version. So a claim of a sole version is true whenever it is found. That a note is missing proves nothing: whoever
// would have written it may have been lost first.
//
// # Services with several versions
//
// Records are in the store as well, in [Snapshot]s that few nodes write for all ([Ring.Writers]). A record is true whoever holds it,
// and an old one is harmless.
//
// A node must not believe in a sole version while another one already serves. Its copy of the upstreams has to be fresh,
// and a version that is new to a node gets no requests for a time that is longer than the age of a copy that counts as
// fresh.
//
// # Limits
//
// Records end with the time in which their caller can return. A [Table] holds a bounded number of them. Messages are small;
// what is oversized or malformed is rejected as a whole.
//
// # Usage
//
//	k := sageorigin.KeyOf(account, attempt)
//	table.Put(now, sageorigin.Record{Key: k, Origin: sageorigin.Origin{Service: "chat", Version: "v2"}, Until: until})
//	for _, address := range ring.Holders(k, self) {
//		send(address, sageorigin.EncodeRecords(now, record))
//	}
//
//	if o, ok := table.Get(now, k); ok { ... } // the caller returns
//	if version, ok := history.Sole(now, route); ok { ... }
package sageorigin
