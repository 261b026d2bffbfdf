// Package sageroute finds the route, the service and the client account of a request.
//
// A [Table] is one version of the configuration. It is immutable: readers replace the whole table and
// never see a partly updated one. A route is chosen by host and by the longest prefix of the path. It
// may split its requests over several services by weight.
//
// # Usage
//
//	t, err := sageroute.New(version, routes, services, accounts, limits)
//	r := t.Match("chat.example", "/orders/2f")
//	if r == nil {
//		// no route
//	}
//	a := t.Account(key)
//	service := r.PickService(rand.Float64())
package sageroute
