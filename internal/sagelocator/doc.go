// Package sagelocator implements the service "locate" of a node: it tells callers which VMs to connect
// to, based on the member table and the configuration in force.
//
// # Usage
//
//	l := &sagelocator.Service{Members: table, Config: conf, Ranker: sagelocate.DefaultRanker(), AnswerTTL: ttl}
//	answer, ref := l.Locate(now, sagelocate.Query{Account: account, Chat: chat})
package sagelocator
