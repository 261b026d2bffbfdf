// Package sageproc holds the tests that run the daemon as real processes: killed, paused, replaced
// at the same address, stopped gracefully under load, and without the platform's store. They build
// the programs themselves and run a fleet of eight on loopback ([sagefleet.Fleet]).
//
// The tests poll for what must come about, under a generous limit, and assert no times.
//
// # Usage
//
//	go test ./internal/sageproc
package sageproc
