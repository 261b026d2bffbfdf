package sagemesh

import (
	"sagestand.example/sagestand/internal/sagefollow"
	"sagestand.example/sagestand/pkg/sagebrittle"
	"sagestand.example/sagestand/pkg/sagechain"
	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/pkg/sagequarantine"
	"sagestand.example/sagestand/pkg/sagerollout"
)

// Stamp is an instant on the clock of one process.
type Stamp struct {
	Incarnation uint64
	At          sageclock.Instant
}

// Identity contains the properties of a node that are constant during an incarnation.
type Identity struct {
	Node       string
	Entry      string // the address for callers
	DataCentre string
	Region     string
	// LinkMbps is the bandwidth of the node's link, 0 if unknown.
	LinkMbps int
}

// Sum contains sums of the counts of several nodes including the sender.
type Sum struct {
	// FleetWide says that the sums are over all nodes of the fleet, not only those of the sender's data centre.
	FleetWide bool
	// InFlight counts requests in flight by upstream, Broken the nodes whose exchanges with an upstream recently
	// broke, Answered the nodes that an upstream answered after it was reported as broken.
	InFlight, Broken, Answered map[string]int
	// Answers counts the answers in rollouts by key.
	Answers map[string]int
	// Demand counts the requests and runs of the last second by key of package sagedemand.
	Demand map[string]int
}

// Heartbeat is a message from one node to another.
type Heartbeat struct {
	Address string
	// Identity is empty on the wire for a receiver that knows it. It is always set for [Service.OnHeartbeat].
	Identity
	// Ready says that the node serves requests, Leaving that it is stopping.
	Ready   bool
	Leaving bool
	// StoreUnreachable says that the store doesn't answer the sender.
	StoreUnreachable bool
	// Synced says that the sender's cache resync is complete: it knows as much about the engines' caches as the
	// rest of the fleet.
	Synced bool
	Stamp  Stamp
	// Echo is the last stamp that the sender received from the receiver.
	Echo Stamp
	// Copies are the positions of the sender's copies of the store by kind.
	Copies map[string]sagefollow.Position
	// InFlight counts the sender's requests in flight by upstream.
	InFlight map[string]int
	// Broken are upstreams with which the sender's own exchanges recently broke.
	Broken []string
	// Answered are upstreams that others report as broken and that answered the sender since.
	Answered []string
	// Unanswered are upstreams that don't answer the sender, whose path to them may be lost. They are no evidence
	// against the upstreams.
	Unanswered []string
	// Unreachable are services none of whose upstreams the sender reaches, while the path is lost.
	Unreachable []string
	// Brittle are the services whose upstreams are brittle, Limits the reduced limits of such upstreams.
	Brittle []sagebrittle.Announcement
	Limits  []sagebrittle.Report
	// Sum is set by the aggregator of a data centre; nil from other nodes.
	Sum *Sum
	// Held are cached prompt parts by upstream that were newly observed in requests.
	Held map[string][]uint64
	// Listed are cached prompt parts that the upstreams listed themselves.
	Listed map[string][]sagechain.PartHash
	// Answers counts the sender's answers in rollouts by key.
	Answers map[string]int
	// Demand counts the sender's requests and runs of the last second by key of package sagedemand.
	Demand map[string]int
	// Plans are the plans of rollouts that the sender knows.
	Plans []sagerollout.Plan
	// Crashes are recent crashes of upstreams with the requests that were running there. Cleared are suspect
	// requests that have succeeded since.
	Crashes []sagequarantine.Report
	Cleared []sagequarantine.Fingerprint
	// KnownAddresses are addresses of some other nodes, for receivers that know few.
	KnownAddresses []string
	// ShortInterval says that the sender sends to the receiver at the shortest interval.
	ShortInterval bool
	// ReplyRequested requests an immediate heartbeat from the receiver.
	ReplyRequested bool
	// Forward asks the receiver, an aggregator, to forward Held, Listed and Unresponsive.
	Forward bool
	// Unresponsive are addresses of nodes that an aggregator has recently dropped or that were reported to it.
	Unresponsive []string
}

// Member is the state of a node in the view of another one.
type Member struct {
	Address string
	Identity
	Ready            bool
	Leaving          bool
	StoreUnreachable bool
	// Unreachable are services none of whose upstreams the node reaches.
	Unreachable []string
	// Synced says that a started node can fetch the cache holders of prompt parts from this one.
	Synced bool
}

// Member returns the state of the sender.
func (h *Heartbeat) Member() Member {
	return Member{Address: h.Address, Identity: h.Identity, Ready: h.Ready, Leaving: h.Leaving, StoreUnreachable: h.StoreUnreachable, Unreachable: h.Unreachable, Synced: h.Synced}
}
