// Package sagecost measures what one router costs with real processes on loopback: the latency it
// adds to a call over a direct call to the same stand-in, its processor time per request and per
// streamed token, and its memory at rest and under load.
//
// These are figures of the machine they are taken on; unlike package sagemeasure's they differ
// between runs.
//
// # Usage
//
//	m := &sagecost.Measurement{Sagestand: "bin/sagestand", Sagebench: "bin/sagebench", Calls: 2000}
//	fig, err := m.Run(ctx)
package sagecost
