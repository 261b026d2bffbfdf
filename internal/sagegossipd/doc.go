// Package sagegossipd is the service "gossip" of a node. Once per period it exchanges the state of all sections with
// one peer, and it serves the exchanges that peers start.
//
// # Usage
//
//	g := &sagegossipd.Service{Self: self, Peers: client, Members: members, Period: time.Second}
//	g.Engine.Sections = []sagegossip.Section{table, conf.Section()}
//	peerServer.Mount(exchange.NewExchangeServer(g))
//	k.Register("gossip", g)
package sagegossipd
