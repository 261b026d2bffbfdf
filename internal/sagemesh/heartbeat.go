package sagemesh

import (
	"sagestand.example/sagestand/internal/sagefollow"
	"sagestand.example/sagestand/pkg/sagechain"
	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/pkg/sagequarantine"
	"sagestand.example/sagestand/pkg/sagerollout"
)

// Stamp is an instant of one process.
type Stamp struct {
	Incarnation uint64
	At          sageclock.Instant
}

// Identity is what stays the same for an incarnation of a node.
type Identity struct {
	Node       string
	Entry      string
	DataCentre string
	// LinkMbps is how wide the node's link is, 0 if unknown.
	LinkMbps int
}

// Sum adds up what several nodes count by upstream, the sender among them.
type Sum struct {
	// All says that the nodes are all of the fleet, not only those of the sender's data centre.
	FleetWide bool
	// InFlight are requests in flight, Broken the nodes whose own exchanges broke of late.
	InFlight, Broken map[string]int
	// Answers are the answers in rollouts by key.
	Answers map[string]int
}

// Heartbeat is what a node tells another.
type Heartbeat struct {
	Address string
	// Identity is empty on the wire for a receiver that knows it; [Service.OnHeartbeat] gets it filled in.
	Identity
	// Ready says that the node serves; Leaving that it stops.
	Ready   bool
	Leaving bool
	// Blind says that the store does not answer the sender.
	StoreUnreachable bool
	// Informed says that the sender knows what the engines hold, as far as the fleet does.
	Synced bool
	Stamp  Stamp
	// Echo is the receiver's last stamp that the sender has.
	Echo Stamp
	// Copies are the positions of the sender's copies, by kind.
	Copies map[string]sagefollow.Position
	// InFlight counts the sender's requests by upstream.
	InFlight map[string]int
	// Broken are upstreams with which the sender's own exchanges broke of late.
	Broken []string
	// Sum is set by the node that gathers the counts of its data centre; nil on others.
	Sum *Sum
	// Held are parts of prompts that upstreams are newly known to hold.
	Held map[string][]uint64
	// Listed are parts of prompts that upstreams themselves listed.
	Listed map[string][]sagechain.PartHash
	// Answers are the sender's counts of answers in rollouts by key.
	Answers map[string]int
	// Plans are the plans of rollouts that the sender has.
	Plans []sagerollout.Plan
	// Crashes are upstreams that crashed of late with the requests that ran there, Cleared are requests that were
	// suspect and have succeeded since.
	Crashes []sagequarantine.Report
	Cleared []sagequarantine.Fingerprint
	// Known are addresses of some nodes, for those that know few.
	KnownAddresses []string
	// Soon says that the sender tells the receiver again at the shortest interval.
	ShortInterval bool
	// Ask asks for a heartbeat at once.
	ReplyRequested bool
	// Pass says that Held and Silent are for the receiver, a hub, to pass on.
	Forward bool
	// Silent are addresses of nodes that a hub heard nothing of.
	Unresponsive []string
}

// Member is a node as the others see it.
type Member struct {
	Address string
	Identity
	Ready            bool
	Leaving          bool
	StoreUnreachable bool
	// Informed says that the node can tell a started one what the engines hold.
	Synced bool
}

// Member returns the sender as the heartbeat shows it.
func (h *Heartbeat) Member() Member {
	return Member{Address: h.Address, Identity: h.Identity, Ready: h.Ready, Leaving: h.Leaving, StoreUnreachable: h.StoreUnreachable, Synced: h.Synced}
}
