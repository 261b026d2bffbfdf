// Package sagescale measures the cost of coordination and the propagation of tickets with many real
// router processes on loopback: control bytes per second, processor time and memory of each node at
// rest, calls to the platform, and the time from the acceptance of a ticket until it is in force on
// each node, also with a platform outage right after the acceptance.
//
// No caller sends requests, so all measured traffic is coordination.
//
// # Usage
//
//	m := &sagescale.Measurement{Sagestand: "bin/sagestand", Sagebench: "bin/sagebench", Nodes: 50, Engines: 300}
//	results, err := m.Run(ctx)
package sagescale
