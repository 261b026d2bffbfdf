// Package sageorders is the service "orders": it applies the orders of the configuration to engines.
//
// One node issues orders at a time, the holder of a lease (pkg/sagelease). An order is the whole
// wanted state of an engine, so that applying it twice changes nothing more. Each bears the lease's
// fencing number. Towards engines that ignore the number, a new holder first waits out what the old
// one may have sent. Orders are repeated from time to time, since an engine that restarts forgets.
//
// # Usage
//
//	s := &sageorders.Service{Config: cfg, Lease: keeper, HTTP: client, Log: logger}
//	err := s.Run(ctx)
package sageorders
