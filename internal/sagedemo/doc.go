// Package sagedemo runs the whole system in one process on loopback: the platform stand-in, routers,
// engines and applications, under mixed load, with one data centre taken out and brought back by
// change tickets.
//
// # Usage
//
//	d := &sagedemo.Demo{Until: time.Now().Add(10 * time.Second), Progress: os.Stderr}
//	sum, err := d.Run(ctx)
package sagedemo
