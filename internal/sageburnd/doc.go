// Package sageburnd implements the service "burn" of a node. It counts finished requests, returns its
// counts to other nodes, and adds the counts of all nodes for an operator's report.
//
// Nodes exchange counts only when an operator requests a report: the node then calls each live node
// once. Nodes that don't respond are listed in the report, since their counts are missing from it.
//
// # Usage
//
//	b := &sageburnd.Service{Objectives: objectives, Peers: members.Addresses, Client: client}
//	server.Mount(report.NewReportServer(b))
//	operator.Handle("GET /v1/report/burn", b)
package sageburnd
