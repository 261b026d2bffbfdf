// Package sagenode assembles the services of a node. It reads the keys, opens the listeners, registers every service
// with the kernel in dependency order, and runs them until the process is asked to stop.
//
// # Usage
//
//	n := &sagenode.Node{Settings: cfg, Log: logger}
//	if err := n.Open(); err != nil {
//		return fmt.Errorf("open node: %w", err)
//	}
//	return n.Run(ctx)
package sagenode
