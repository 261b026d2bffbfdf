// Package sageplacement is the service "placement". It selects the upstream for each attempt with package
// [sageplace], based on the configuration in force and the load known to this node.
//
// The candidates are the upstreams in the account's upstream set, or the route's if the account has none, that
// serve a model version of the route, are in a data centre in service and are not leaving. They depend only on
// the configuration, so the candidates of each upstream set and model set are compiled once per configuration
// state.
//
// A request for which no upstream can be selected is refused as not run, with a time for the retry. The refusal
// distinguishes two reasons: no_upstream, which only a configuration change or the recovery of an upstream can
// resolve, and overloaded, where waiting helps.
//
// # Usage
//
//	p := &sageplacement.Service{Config: cfg, Load: load, LoadBound: settings.Placement.LoadBound,
//		TokenSigner: sageplace.TokenSigner{Keys: [][]byte{key}}, TokenTTL: time.Hour, Metrics: set}
//	pick, ref := p.Pick(ctx, r, tried)
package sageplacement
