// Package sageoperator is the operators' HTTP interface of a node, and a client for it.
//
// Paths below /v1/ need the operators' key as a bearer token. /metrics, /healthz and /readyz do not:
// they tell numbers, never configuration.
//
// # Usage
//
//	s := &sageoperator.Server{Listener: l, Key: key, Tickets: tickets, Ready: ready}
//	err := s.Run(ctx)
package sageoperator
