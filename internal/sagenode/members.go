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

// Periods of the membership.
const (
	heartbeatEvery = time.Second
	listTimeout    = 5 * time.Second
	// leaveSpread is within what time every connected node has heard that this one leaves.
	leaveSpread = 10 * time.Second
)

// memberServices registers the exchange, the membership and locate. The exchange comes first, so that
// it outlives the membership and carries its last word.
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
		Peers: peers, Members: n.table, Period: heartbeatEvery,
		Engine:  sagegossip.Engine{Sections: []sagegossip.Section{n.table, conf.Section()}},
		Metrics: n.metrics, Log: n.Log.Component("gossip"),
	}
	srv.Mount(exchange.NewExchangeServer(n.gossip))
	n.kernel.Register("gossip", n.gossip)
	members := &sagemembers.Service{
		Table: n.table, HeartbeatPeriod: heartbeatEvery, Seeds: n.otherSeeds(),
		VMs:      &sagemembers.VMListClient{URL: cfg.Platform.URL, HTTP: &http.Client{Transport: sagepeer.NewCountingTransport(&n.control), Timeout: listTimeout}},
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

// drain returns the periods of the stop. Where the settings leave little time, half of what the
// answers don't need goes to spreading the word, the rest to the running requests.
func (n *Node) drain() sagedrain.Machine {
	valid, within := millis(n.Settings.Locate.ValidMillis), millis(n.Settings.Stop.WithinMillis)
	spread := min(leaveSpread, (within-valid)/2)
	return sagedrain.Machine{AnswerTTL: valid, PropagationDelay: spread, DrainTimeout: within - valid - spread}
}

// livePeers returns the addresses of the other live nodes.
func (n *Node) livePeers() []string {
	me := n.table.LocalNode().Address
	var out []string
	for _, m := range n.table.Live() {
		if m.Address != me {
			out = append(out, m.Address)
		}
	}
	return out
}

// configMembers shows the membership to the configuration service.
type configMembers struct {
	members *sagemembers.Service
	// roster holds the addresses of the settings' seeds, the same on every node, out of sight or not.
	roster []string
}

// Live implements [sageconfigd.Members].
func (m *configMembers) Live() []string {
	me := m.members.Table.LocalNode()
	names := []string{me.Name}
	for _, n := range m.members.Table.Live() {
		if n.DataCentre == me.DataCentre && n.Name != me.Name && n.Phase != sagemember.Leaving {
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
	heard := make([]time.Time, len(m.roster))
	for i, a := range m.roster {
		heard[i] = latest[a]
	}
	return sagesync.QuorumAt(now, heard)
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
