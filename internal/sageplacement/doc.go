// Package sageplacement is the service "placement": it chooses the upstream of each attempt by
// [sageplace] over the configuration in force and the load that this node knows of.
//
// Candidates are the upstreams of the account's set, or else the route's, that serve a model version
// of the route, stand in a data centre in service and are not leaving. They change with the
// configuration only; each pair of upstream set and model set is compiled once for each state of it.
//
// A request that finds no upstream is refused at once, as not run, with an instant at which to come
// back. The refusal tells two cases apart: no_upstream, where only a change of configuration or a
// recovered upstream helps, and overloaded, where waiting does.
//
// # Usage
//
//	p := &sageplacement.Service{Config: cfg, Load: load, Multiple: settings.Placement.LoadBound,
//		Sealer: sageplace.TokenSigner{Keys: [][]byte{key}}, TokenValid: time.Hour, Metrics: set}
//	pick, ref := p.Pick(ctx, r, tried)
package sageplacement
