// Package sagedemo runs the complete system in one process on loopback under mixed load: the platform
// stand-in, routers, engines and applications. Change tickets take one data centre out of service and
// put it back.
//
// # Usage
//
//	d := &sagedemo.Demo{Until: time.Now().Add(10 * time.Second), Progress: os.Stderr}
//	sum, err := d.Run(ctx)
package sagedemo
