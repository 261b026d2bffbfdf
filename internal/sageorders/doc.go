// Package sageorders is the service "orders". It sends the orders in the configuration to the engines.
//
// One node at a time issues orders: the holder of a lease (pkg/sagelease). An order describes the complete
// desired state of an engine, so applying it more than once is harmless. Each order carries the fencing number of
// the lease. For engines that don't check the number, a new holder first waits until no order of the previous
// holder can still arrive. Orders are resent periodically, since an engine loses its order when it restarts.
//
// # Usage
//
//	s := &sageorders.Service{Config: cfg, Lease: elector, HTTP: client, Log: logger}
//	err := s.Run(ctx)
package sageorders
