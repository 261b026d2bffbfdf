package sagemesh

import (
	"sagestand.example/sagestand/internal/sagefollow"
	"sagestand.example/sagestand/pkg/sageclock"
)

// Stamp is an instant of one process.
type Stamp struct {
	Incarnation uint64            `json:"i"`
	At          sageclock.Instant `json:"t"`
}

// Heartbeat is what a node tells another. Names are short, since it is sent some times a second to
// every node.
type Heartbeat struct {
	Node       string `json:"n"`
	Address    string `json:"a"`
	Entry      string `json:"f"`
	DataCentre string `json:"z"`
	Region     string `json:"g"`
	// Ready says that the node serves; Leaving that it stops.
	Ready   bool `json:"r,omitempty"`
	Leaving bool `json:"l,omitempty"`
	// Blind says that the store does not answer the sender.
	Blind bool  `json:"b,omitempty"`
	Stamp Stamp `json:"s"`
	// Echo is the receiver's last stamp that the sender has.
	Echo Stamp `json:"e"`
	// Copies are the positions of the sender's copies, by kind.
	Copies map[string]sagefollow.Position `json:"c,omitempty"`
	// InFlight counts the sender's requests by upstream.
	InFlight map[string]int `json:"q,omitempty"`
	// Held are parts of prompts that upstreams are newly known to hold.
	Held map[string][]uint64 `json:"h,omitempty"`
	// Known are addresses of some nodes, for those that know few.
	Known []string `json:"k,omitempty"`
}

// Member is a node as the others see it.
type Member struct {
	Node       string
	Address    string
	Entry      string
	DataCentre string
	Region     string
	Ready      bool
	Leaving    bool
	Blind      bool
}

func (h *Heartbeat) member() Member {
	return Member{
		Node: h.Node, Address: h.Address, Entry: h.Entry, DataCentre: h.DataCentre, Region: h.Region,
		Ready: h.Ready, Leaving: h.Leaving, Blind: h.Blind,
	}
}
