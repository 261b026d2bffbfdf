// Package sageorigind keeps where streams began on several nodes, and finds it for callers that return.
//
// After a loss of all nodes, [Service.Find] relies on the claims in the platform's store, and [Service.Restore] takes the records that
// were saved there. A few nodes write them for all: each node sends the records of its streams to two of them, unless it is one itself.
//
// [Service.Begin] is called when a node passes on the first event of a stream. It keeps a record, and sends copies to the
// nodes that the stream's key ranks first, unless the route had only one version of one service. While the stream runs, its
// record is sent again, so that it outlives holders that stop. [Service.Find] looks a record up, here and at the nodes that
// may hold it. The decisions are those of package sageorigin.
//
// # Messages
//
// Records, queries and answers are single datagrams of [sageorigin.MaxMessageBytes] at most. They may be lost: a record is
// held by several nodes, and a query is repeated once.
//
// # Usage
//
//	s := &sageorigind.Service{Self: address, History: &history, Nodes: nodes, Send: mesh.SendMessage, Fresh: fresh, ...}
//	go s.Run(ctx)
//	end := s.Begin(route, key, origin, until) // before the first event is passed on
//	defer end()
//	f := s.Find(ctx, route, key)              // when a caller returns
//	s.Handle(message, from)                   // for each message of another node; its records to be saved go to s.Save
package sageorigind
