// Package sagelocator implements the service "locate" of a node: it returns the addresses of the VMs to
// which a caller should connect, based on the member table and the configuration in force.
//
// # Usage
//
//	l := &sagelocator.Service{Members: table, Config: conf, Ranker: sagelocate.DefaultRanker(), AnswerTTL: ttl}
//	answer, ref := l.Locate(now, sagelocate.Query{Account: account, Chat: chat})
package sagelocator
