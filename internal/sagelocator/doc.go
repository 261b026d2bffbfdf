// Package sagelocator is the service "locate" of a node: it tells callers which VMs to connect to,
// from the member table and the configuration in force.
//
// # Usage
//
//	l := &sagelocator.Service{Members: table, Config: conf, Ranker: sagelocate.DefaultRanker(), Valid: valid}
//	place, ref := l.Locate(now, sagelocate.Query{Account: account, Chat: chat})
package sagelocator
