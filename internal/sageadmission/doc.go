// Package sageadmission is the service "admission" of a node: it lets requests go on, wait or be
// refused by the fair shares of package sagefair.
//
// Each upstream set has a scheduler of its own, so that a full set holds up nobody else. Its slots
// are the units of the in-flight allotments that this node holds at the set's upstreams; requests
// that wait make the load service ask for more.
//
// # Usage
//
//	s := &sageadmission.Service{Config: conf, Load: load, InFlight: 2000, Queued: 2000}
//	kernel.Register("admission", s)
//	release, ref := s.Admit(ctx, request)
//	if ref != nil {
//		... // refused, at once
//	}
//	defer release()
package sageadmission
