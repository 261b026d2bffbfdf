// Package sagefleet lays out a small fleet on loopback addresses for the path check, the demo and
// tests: the platform stand-in, routers in several data centres, engines and applications, their
// settings, and the first ticket. A [Fleet] runs a layout as separate processes, an [Embedded] fleet
// runs it inside the current process.
//
// Each fleet on a machine uses its own loopback network 127.a.b.0/24, where a and b derive from the
// process ID and the number of the fleet in the process, so that concurrent fleets don't contact each
// other.
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
