// Package sageburnd is the service "burn" of a node: it counts the end of every request, answers
// other nodes that ask for its counts, and adds up the counts of all nodes for an operator's report.
//
// A report asks each live node once, when an operator wants it; nothing is exchanged otherwise. Nodes
// that do not answer are named in the report, since their counts are missing from it.
//
// # Usage
//
//	b := &sageburnd.Service{Objectives: objectives, Peers: members.Addresses, Client: client}
//	server.Mount(report.NewReportServer(b))
//	operator.Handle("GET /v1/report/burn", b)
package sageburnd
