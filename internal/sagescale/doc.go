// Package sagescale measures what coordination costs and how fast tickets spread, with so many real
// router processes on loopback: control bytes a second, processor time and memory of each node at
// rest, calls to the platform, and the time from acceptance of a ticket until each node has it in
// force, also with the platform out right after the acceptance.
//
// Nodes are at rest: no caller sends anything, so that all that is measured is coordination.
//
// # Usage
//
//	s := &sagescale.Measurement{Sagestand: "bin/sagestand", Sagebench: "bin/sagebench", Nodes: 50, Engines: 300}
//	fig, err := s.Run(ctx)
package sagescale
