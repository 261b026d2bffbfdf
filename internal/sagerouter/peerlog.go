package sagerouter

import (
	"maps"
	"slices"
	"sync"

	"sagestand.example/sagestand/internal/sagelog"
	"sagestand.example/sagestand/internal/sagemesh"
)

// changes counts the nodes of one data centre that joined and fell silent.
type changes struct {
	joined, silent int
}

// peerLog writes what becomes of the other nodes: a line for each one of this data centre, and one for each
// other data centre at a time.
//
// It guards against logs that grow with the square of the fleet: when hundreds of nodes start, each hears of
// all others within a second.
type peerLog struct {
	DataCentre string
	Log        sagelog.Logger

	mu  sync.Mutex
	far map[string]changes
}

// Joined notes a node that is heard of.
func (p *peerLog) Joined(m sagemesh.Member) {
	if m.DataCentre == p.DataCentre {
		p.Log.Info("Node joined.", "peer", m.Node, "address", m.Address)
		return
	}
	p.count(m.DataCentre, changes{joined: 1})
}

// Lost notes a node that fell silent.
func (p *peerLog) Lost(m sagemesh.Member) {
	if m.DataCentre == p.DataCentre {
		p.Log.Info("Node is silent.", "peer", m.Node, "address", m.Address, "leaving", m.Leaving)
		return
	}
	p.count(m.DataCentre, changes{silent: 1})
}

func (p *peerLog) count(dataCentre string, c changes) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.far == nil {
		p.far = make(map[string]changes)
	}
	old := p.far[dataCentre]
	p.far[dataCentre] = changes{joined: old.joined + c.joined, silent: old.silent + c.silent}
}

// Flush writes what came together since the last time.
func (p *peerLog) Flush() {
	p.mu.Lock()
	far := p.far
	p.far = nil
	p.mu.Unlock()
	for _, dc := range slices.Sorted(maps.Keys(far)) {
		p.Log.Info("Nodes of another data centre.", "data_centre", dc, "joined", far[dc].joined, "silent", far[dc].silent)
	}
}
