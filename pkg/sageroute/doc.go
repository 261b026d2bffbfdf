// Package sageroute answers which route, service and client account a request belongs to.
//
// A [Table] is one version of the configuration, immutable once made, so that readers swap whole
// tables and never see half of one. Routes are chosen by host and by the longest path prefix that
// begins the path. A route may split its requests over several services by weight.
//
// # Usage
//
//	t, err := sageroute.New(version, routes, services, accounts, limits)
//	r := t.Match("chat.example", "/orders/2f")
//	if r == nil {
//		// no route
//	}
//	a := t.Account(key)
//	service := r.Pick(rand.Float64())
package sageroute
