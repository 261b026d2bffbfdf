package sagenode

import (
	"net/http"
	"time"

	"sagestand.example/sagestand/internal/sageconfigd"
	"sagestand.example/sagestand/internal/sagegossipd"
	"sagestand.example/sagestand/internal/sagelocator"
	"sagestand.example/sagestand/internal/sagemembers"
	"sagestand.example/sagestand/internal/sagepeer"
	"sagestand.example/sagestand/internal/sagerpc/exchange"
	"sagestand.example/sagestand/pkg/sagedrain"
	"sagestand.example/sagestand/pkg/sagegossip"
	"sagestand.example/sagestand/pkg/sagelocate"
	"sagestand.example/sagestand/pkg/sagemember"
	"sagestand.example/sagestand/pkg/sagesync"
)

// Durations of the membership services.
const (
	heartbeatPeriod = time.Second
	listTimeout     = 5 * time.Second
	// leavePropagation is the time within which the leave announcement reaches every connected node.
	leavePropagation = 10 * time.Second
)

// memberServices registers the gossip, membership and locate services. Gossip is registered before membership, so
// that it is stopped after it and can still send the node's final state.
func (n *Node) memberServices(conf *sageconfigd.Service, peers *sagepeer.Client, srv *sagepeer.Server) (*sagemembers.Service, *sagelocator.Service) {
	cfg := &n.Settings
	n.table = &sagemember.Table{
		Self: sagemember.Node{
			Name: cfg.Node.Name, Address: n.listeners["peer"].Addr().String(), Entry: n.listeners["entry"].Addr().String(),
			DataCentre: cfg.Node.DataCentre,
		},
		Limits: sagemember.DefaultLimits(),
	}
	n.gossip = &sagegossipd.Service{
		Self:  sagegossip.Peer{Address: n.table.Self.Address, DataCentre: cfg.Node.DataCentre},
		Peers: peers, Members: n.table, Period: heartbeatPeriod,
		Engine:  sagegossip.Engine{Sections: []sagegossip.Section{n.table, conf.Section()}},
		Metrics: n.metrics, Log: n.Log.Component("gossip"),
	}
	srv.Mount(exchange.NewExchangeServer(n.gossip))
	n.kernel.Register("gossip", n.gossip)
	members := &sagemembers.Service{
		Table: n.table, HeartbeatPeriod: heartbeatPeriod, Seeds: n.otherSeeds(),
		VMs:      &sagemembers.VMListClient{URL: cfg.Platform.URL, HTTP: &http.Client{Transport: sagepeer.NewCountingTransport(&n.controlBytes), Timeout: listTimeout}},
		Ready:    func() bool { return conf.Serving(time.Now(), true) == nil },
		Revision: conf.Revision, TriggerExchange: n.gossip.TriggerExchange, Drain: n.drain(),
		Metrics: n.metrics, Log: n.Log.Component("members"),
	}
	n.kernel.Register("members", members)
	conf.Members = &configMembers{members: members, roster: n.allSeeds()}
	ranker := sagelocate.DefaultRanker()
	ranker.Count = cfg.Locate.Addresses
	locator := &sagelocator.Service{Members: n.table, Config: conf, Ranker: ranker, AnswerTTL: millis(cfg.Locate.ValidMillis)}
	n.kernel.Register("locate", locator)
	return members, locator
}

// drain returns the durations of a graceful stop. If the settings allow little time, half of what remains after the
// validity of locate responses is used to propagate the leave announcement, and half to drain requests.
func (n *Node) drain() sagedrain.Machine {
	valid, within := millis(n.Settings.Locate.ValidMillis), millis(n.Settings.Stop.WithinMillis)
	propagation := min(leavePropagation, (within-valid)/2)
	return sagedrain.Machine{AnswerTTL: valid, PropagationDelay: propagation, DrainTimeout: within - valid - propagation}
}

// livePeers returns the addresses of the other live nodes.
func (n *Node) livePeers() []string {
	local := n.table.LocalNode().Address
	var out []string
	for _, m := range n.table.Live() {
		if m.Address != local {
			out = append(out, m.Address)
		}
	}
	return out
}

// configMembers provides the membership to the configuration service.
type configMembers struct {
	members *sagemembers.Service
	// roster holds the addresses of the seeds in the settings, whether reachable or not. It is the same on every node.
	roster []string
}

// Live implements [sageconfigd.Members].
func (m *configMembers) Live() []string {
	local := m.members.Table.LocalNode()
	names := []string{local.Name}
	for _, n := range m.members.Table.Live() {
		if n.DataCentre == local.DataCentre && n.Name != local.Name && n.Phase != sagemember.Leaving {
			names = append(names, n.Name)
		}
	}
	return names
}

// QuorumAt implements [sageconfigd.Members].
func (m *configMembers) QuorumAt(now time.Time) time.Time {
	latest := make(map[string]time.Time)
	for _, n := range m.members.Table.Live() {
		if n.LastContact.After(latest[n.Address]) {
			latest[n.Address] = n.LastContact
		}
	}
	latest[m.members.Table.LocalNode().Address] = now
	contacts := make([]time.Time, len(m.roster))
	for i, a := range m.roster {
		contacts[i] = latest[a]
	}
	return sagesync.QuorumAt(now, contacts)
}

// Nodes implements [sageconfigd.Members].
func (m *configMembers) Nodes() []sageconfigd.NodeRevision {
	var list []sageconfigd.NodeRevision
	for _, n := range m.members.Table.Live() {
		list = append(list, sageconfigd.NodeRevision{
			Node: n.Name, DataCentre: n.DataCentre, Revision: n.Revision,
			Since: m.members.RevisionSince(n.Incarnation), LastContact: n.LastContact,
		})
	}
	return list
}
