// Package sagenode puts the services of one daemon together: it opens the listeners, reads the keys,
// registers every service with the kernel in the order in which they depend on each other, and runs
// them until the process is asked to stop.
//
// # Usage
//
//	n := &sagenode.Node{Settings: cfg, Log: logger}
//	if err := n.Open(); err != nil {
//		return fmt.Errorf("open node: %w", err)
//	}
//	return n.Run(ctx)
package sagenode
