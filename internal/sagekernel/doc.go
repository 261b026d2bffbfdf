// Package sagekernel is the micro-kernel of a process: services are registered under a name, find
// each other by name, run in one group and stop in the reverse order of their registration.
//
// A service that others depend on is registered before them, so that it outlives them: the callers'
// listener is registered last and therefore stops first, while everything it needs still runs.
//
// # Usage
//
//	k := &sagekernel.Kernel{StopWithin: 30 * time.Second, Log: logger}
//	k.Register("config", cfg)
//	k.Register("entry", entry)
//	err := k.Run(ctx)
//
// A service looks another up, usually when it starts to run:
//
//	cfg, err := sagekernel.Lookup[*sageconfigd.Service](k, "config")
package sagekernel
