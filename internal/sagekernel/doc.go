// Package sagekernel runs the services of a process. Services are registered and looked up by name, run
// concurrently, and are stopped in the reverse order of their registration.
//
// A service is registered after those it depends on, so that they outlive it. The listener for callers
// is registered last and therefore stops first, while everything it needs is still running.
//
// # Usage
//
//	k := &sagekernel.Kernel{StopTimeout: 30 * time.Second, Log: logger}
//	k.Register("config", cfg)
//	k.Register("entry", entry)
//	err := k.Run(ctx)
//
// A service usually looks up another when it starts to run:
//
//	cfg, err := sagekernel.Lookup[*sageconfigd.Service](k, "config")
package sagekernel
