// Package sageoperator provides the operators' HTTP interface of a node, and a client for it.
//
// Paths below /v1/ require the operators' key as a bearer token. /metrics, /healthz and /readyz don't, since they
// expose no configuration.
//
// # Usage
//
//	s := &sageoperator.Server{Listener: l, Key: key, Tickets: tickets, Ready: ready}
//	err := s.Run(ctx)
package sageoperator
