// Package sageadmission implements the service "admission" of a node: it admits, queues or refuses
// requests according to the fair shares of package sagefair.
//
// Each upstream set has its own scheduler, so that a set at capacity doesn't delay requests for other
// sets. The slots of a scheduler are the units of the in-flight allotments that this node holds at the
// set's upstreams. While requests wait, the load service requests more units.
//
// On the platform path, [Gates] admits requests by the rates that this node may start for each account
// ([sagefair.Gate]). It has one gate for each service, which decides when a place is due or the shares change.
//
// # Usage
//
//	s := &sageadmission.Service{Config: conf, Load: load, MaxInFlight: 2000, MaxQueued: 2000}
//	kernel.Register("admission", s)
//	release, ref := s.Admit(ctx, request)
//	if ref != nil {
//		... // refused
//	}
//	defer release()
//
//	gates := &sageadmission.Gates{}
//	gates.SetShares("app", shares) // several times a second
//	e := gates.Admit(ctx, "app", sagefair.Arrival{Account: account, Objective: objective, Deadline: deadline})
//	if e.State == sagefair.Refused {
//		... // e.Reason, e.RetryAt
//	}
package sageadmission
