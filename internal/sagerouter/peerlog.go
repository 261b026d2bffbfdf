package sagerouter

import (
	"maps"
	"slices"
	"sync"

	"sagestand.example/sagestand/internal/sagelog"
	"sagestand.example/sagestand/internal/sagemesh"
)

// peerCounts counts the nodes of one data centre that joined and that became unresponsive.
type peerCounts struct {
	joined, unresponsive int
}

// peerLog logs nodes that join or become unresponsive: each node of this data centre on a line of its own, those
// of every other data centre as counts per flush.
//
// With a line for each peer, the logs would grow with the square of the fleet: when hundreds of nodes start, each
// discovers all others within a second.
type peerLog struct {
	DataCentre string
	Log        sagelog.Logger

	mu     sync.Mutex
	remote map[string]peerCounts
}

// Joined records a node that was discovered.
func (p *peerLog) Joined(m sagemesh.Member) {
	if m.DataCentre == p.DataCentre {
		p.Log.Info("Node joined.", "peer", m.Node, "address", m.Address)
		return
	}
	p.count(m.DataCentre, peerCounts{joined: 1})
}

// Lost records a node that became unresponsive.
func (p *peerLog) Lost(m sagemesh.Member) {
	if m.DataCentre == p.DataCentre {
		p.Log.Info("Node is unresponsive.", "peer", m.Node, "address", m.Address, "leaving", m.Leaving)
		return
	}
	p.count(m.DataCentre, peerCounts{unresponsive: 1})
}

func (p *peerLog) count(dataCentre string, c peerCounts) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.remote == nil {
		p.remote = make(map[string]peerCounts)
	}
	old := p.remote[dataCentre]
	p.remote[dataCentre] = peerCounts{joined: old.joined + c.joined, unresponsive: old.unresponsive + c.unresponsive}
}

// Flush logs the counts of the other data centres since the last call.
func (p *peerLog) Flush() {
	p.mu.Lock()
	remote := p.remote
	p.remote = nil
	p.mu.Unlock()
	for _, dc := range slices.Sorted(maps.Keys(remote)) {
		p.Log.Info("Nodes of another data centre.", "data_centre", dc, "joined", remote[dc].joined, "unresponsive", remote[dc].unresponsive)
	}
}
