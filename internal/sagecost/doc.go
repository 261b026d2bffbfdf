// Package sagecost measures the cost of one router with real processes on loopback: the latency that it
// adds to a call compared with a direct call to the same stand-in, its processor time per request and
// per streamed token, and its memory at rest and under load.
//
// The results depend on the machine and differ between runs, unlike those of package sagemeasure.
//
// # Usage
//
//	m := &sagecost.Measurement{Sagestand: "bin/sagestand", Sagebench: "bin/sagebench", Calls: 2000}
//	results, err := m.Run(ctx)
package sagecost
