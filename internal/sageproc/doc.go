// Package sageproc holds the tests that run the daemon as real processes: killed, suspended, replaced
// at the same address, stopped gracefully under load, and without the platform's store. They build the
// programs and run a fleet of eight on loopback ([sagefleet.Fleet]).
//
// The tests poll for the expected state with a generous time limit and don't check how long it takes.
//
// # Usage
//
//	go test ./internal/sageproc
package sageproc
