// Package sagepeer carries the calls between nodes: twirp over HTTP, every call authenticated.
//
// With TLS settings, both sides present a certificate of the project's own authority. Without
// them, every call carries a shared key read from a file; that protects against strangers who can
// reach the port, not against somebody who reads the wire.
//
// # Usage
//
//	srv := &sagepeer.Server{Listen: addr, Key: key}
//	srv.Mount(exchange.NewExchangeServer(impl))
//	c := &sagepeer.Client{Key: key}
//	ex := exchange.NewExchangeProtobufClient(c.URL(peerAddr), c.HTTP())
package sagepeer
