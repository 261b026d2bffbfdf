// Package sagefleet lays out a small fleet on loopback addresses, for the path check, the demo and
// tests: the platform stand-in, routers over several data centres, engines and applications, their
// settings and the first ticket. A [Fleet] runs it as processes of their own; the demo runs the same
// layout inside one process.
//
// Every fleet of a machine has its own loopback network, 127.a.b.0/24 with a and b from the process
// number, so that fleets running side by side never meet.
//
// # Usage
//
//	l := sagefleet.NewLayout(3, 3, []string{"derby"})
//	f := &sagefleet.Fleet{Layout: l, Sagestand: "bin/sagestand", Sagebench: "bin/sagebench", Dir: dir}
//	if err := f.Start(ctx); err != nil {
//		return err
//	}
//	defer f.Stop()
package sagefleet
