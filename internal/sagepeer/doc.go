// Package sagepeer implements authenticated calls between nodes, using twirp over HTTP.
//
// Every call carries a shared key. With TLS settings, both sides also present a certificate issued by the project's
// own authority. Without TLS, the key protects against clients that can reach the port, but not against
// eavesdroppers.
//
// # Usage
//
//	srv := &sagepeer.Server{Listener: l, Key: key}
//	srv.Mount(exchange.NewExchangeServer(impl))
//	c := &sagepeer.Client{Key: key}
//	ex := exchange.NewExchangeProtobufClient(c.URL(peerAddr), c.HTTP())
package sagepeer
