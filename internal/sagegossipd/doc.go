// Package sagegossipd is the service "gossip" of a node: once a period it meets one peer and brings
// every section up to date with it, and it answers the peers that meet this node.
//
// # Usage
//
//	g := &sagegossipd.Service{Self: self, Peers: client, Members: members, Every: time.Second}
//	g.Engine.Sections = []sagegossip.Section{table, conf.Section()}
//	peerServer.Mount(exchange.NewExchangeServer(g))
//	k.Register("gossip", g)
package sagegossipd
