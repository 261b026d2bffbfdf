package sagefleet

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"
	"sync/atomic"

	"sagestand.example/sagestand/internal/sagesettings"
	"sagestand.example/sagestand/pkg/sageconfig"
)

// Names, keys, capacities, ports, host numbers and periods that all layouts share.
const (
	Model           = "assist"
	ModelVersion    = "assist@1"
	ServiceRoute    = "stock"
	EngineSet       = "engines"
	ServiceSet      = "applications"
	AccountName     = "trentvale"
	AccountKey      = "trentvale-demo-key"
	OtherAccount    = "haller"
	OtherAccountKey = "haller-demo-key"
	PeerKey         = "peer-demo-key"
	OperatorKey     = "operator-demo-key"
	engineSlots     = 16
	serviceSlots    = 64
	entryPort       = 7101
	peerPort        = 7201
	operatorPort    = 7301
	standinPort     = 7000
	platformHost    = 250
	engineHost      = 100
	serviceHost     = 195
	// hostsPerKind limits the hosts of each kind of process so that the kinds don't overlap: routers
	// start at host 1, engines at 100, applications at 195.
	hostsPerKind    = 50
	stopMillis      = 5000
	locateMillis    = 1000
	isolatedMillis  = 10000
	grantMillis     = 1000
	reportLagMillis = 600
)

// Upstream is an engine or application of a layout.
type Upstream struct {
	Name       string
	Address    string
	DataCentre string
	Kind       sageconfig.UpstreamKind
}

// Layout is the configuration of a fleet: the platform's address, the nodes' settings and the
// upstreams.
type Layout struct {
	Platform  string
	Nodes     []sagesettings.Settings
	Upstreams []Upstream
}

// networkCount counts the layouts of this process; each gets its own network.
var networkCount atomic.Uint32

// NewLayout lays out a fleet with the given numbers of routers and engines, assigned to the data
// centres in turn, and one application in each data centre.
func NewLayout(routers, engines int, dataCentres []string) *Layout {
	pid := os.Getpid()
	network := fmt.Sprintf("127.%d.%d", 1+pid%250, (pid/250+int(networkCount.Add(1))*16)%250)
	// address assigns member i of a kind to a host of the kind. When all hosts are used, the next
	// members get the next port.
	address := func(first, port, i int) string {
		return fmt.Sprintf("%s.%d:%d", network, first+i%hostsPerKind, port+i/hostsPerKind)
	}
	l := &Layout{Platform: address(platformHost, standinPort, 0)}
	for i := range routers {
		l.Nodes = append(l.Nodes, nodeSettings(i, address, dataCentres[i%len(dataCentres)], l.Platform))
	}
	var seeds []sagesettings.Seed
	for _, n := range l.Nodes {
		seeds = append(seeds, sagesettings.Seed{Peer: n.Listen.Peer, DataCentre: n.Node.DataCentre})
	}
	for i := range l.Nodes {
		l.Nodes[i].Seeds = seeds
	}
	for i := range engines {
		l.Upstreams = append(l.Upstreams, Upstream{
			Name: fmt.Sprintf("engine%d", i+1), Address: address(engineHost, standinPort, i),
			DataCentre: dataCentres[i%len(dataCentres)], Kind: sageconfig.Engine,
		})
	}
	for i, dc := range dataCentres {
		l.Upstreams = append(l.Upstreams, Upstream{
			Name: fmt.Sprintf("application%d", i+1), Address: address(serviceHost, standinPort, i),
			DataCentre: dc, Kind: sageconfig.Application,
		})
	}
	return l
}

func nodeSettings(i int, address func(first, port, i int) string, dataCentre, platform string) sagesettings.Settings {
	s := sagesettings.Default()
	s.Node = sagesettings.Node{Name: fmt.Sprintf("vm%d", i+1), DataCentre: dataCentre, Region: "region1"}
	s.Listen = sagesettings.Listen{Entry: address(1, entryPort, i), Peer: address(1, peerPort, i), Operator: address(1, operatorPort, i)}
	s.Platform.URL = "http://" + platform
	s.Locate.ValidMillis = locateMillis
	s.Stop.WithinMillis = stopMillis
	s.Isolated.AfterMillis = isolatedMillis
	s.Load.GrantMillis, s.Load.PromiseMillis, s.Load.ReportLagMillis = grantMillis, grantMillis, reportLagMillis
	return s
}

// WriteKeys writes the key files to dir and sets their paths in the settings of every node.
func (l *Layout) WriteKeys(dir string) error {
	peer, op := filepath.Join(dir, "peer.key"), filepath.Join(dir, "operator.key")
	if err := os.WriteFile(peer, []byte(PeerKey+"\n"), 0o600); err != nil {
		return fmt.Errorf("write key: %w", err)
	}
	if err := os.WriteFile(op, []byte(OperatorKey+"\n"), 0o600); err != nil {
		return fmt.Errorf("write key: %w", err)
	}
	for i := range l.Nodes {
		l.Nodes[i].Keys = sagesettings.Keys{PeerFile: peer, OperatorFile: op}
	}
	return nil
}

// Entries returns the entry addresses of all routers.
func (l *Layout) Entries() []string {
	out := make([]string, len(l.Nodes))
	for i, n := range l.Nodes {
		out[i] = n.Listen.Entry
	}
	return out
}

// FirstTicket returns the ticket that adds all data centres, upstreams, routes and client accounts of
// the layout.
func (l *Layout) FirstTicket(number uint64) *sageconfig.Ticket {
	t := &sageconfig.Ticket{Number: number, Author: "sagebench", Reason: "first configuration"}
	add := func(kind sageconfig.Kind, name string, c sageconfig.Change) {
		c.Key = sageconfig.EntryKey{Kind: kind, Name: name}
		t.Changes = append(t.Changes, c)
	}
	sets := map[sageconfig.UpstreamKind][]string{}
	seen := map[string]bool{}
	for _, u := range l.Upstreams {
		if !seen[u.DataCentre] {
			seen[u.DataCentre] = true
			add(sageconfig.KindDataCentre, u.DataCentre, sageconfig.Change{DataCentre: &sageconfig.DataCentre{InService: true, Region: "region1"}})
		}
		add(sageconfig.KindUpstream, u.Name, sageconfig.Change{Upstream: u.toConfig()})
		sets[u.Kind] = append(sets[u.Kind], u.Name)
	}
	add(sageconfig.KindUpstreamSet, EngineSet, sageconfig.Change{UpstreamSet: &sageconfig.UpstreamSet{Upstreams: sets[sageconfig.Engine]}})
	add(sageconfig.KindUpstreamSet, ServiceSet, sageconfig.Change{UpstreamSet: &sageconfig.UpstreamSet{Upstreams: sets[sageconfig.Application]}})
	add(sageconfig.KindModelSet, Model, sageconfig.Change{ModelSet: &sageconfig.ModelSet{Versions: []string{ModelVersion}}})
	add(sageconfig.KindRoute, Model, sageconfig.Change{Route: &sageconfig.Route{Kind: sageconfig.RouteChat, UpstreamSet: EngineSet, ModelSet: Model}})
	add(sageconfig.KindRoute, ServiceRoute, sageconfig.Change{Route: &sageconfig.Route{Kind: sageconfig.RouteService, UpstreamSet: ServiceSet}})
	add(sageconfig.KindClientAccount, AccountName, sageconfig.Change{ClientAccount: &sageconfig.ClientAccount{KeySHA256: hashKey(AccountKey), Weight: 1}})
	add(sageconfig.KindClientAccount, OtherAccount, sageconfig.Change{ClientAccount: &sageconfig.ClientAccount{KeySHA256: hashKey(OtherAccountKey), Weight: 1}})
	return t
}

// toConfig returns the configuration of the upstream.
func (u *Upstream) toConfig() *sageconfig.Upstream {
	s := &sageconfig.Upstream{Kind: u.Kind, Address: u.Address, DataCentre: u.DataCentre, MaxInFlight: serviceSlots}
	if u.Kind == sageconfig.Engine {
		s.Models, s.MaxInFlight, s.ChecksFencing = []string{ModelVersion}, engineSlots, true
	}
	return s
}

// DataCentreTicket returns the ticket that takes a data centre out of service or puts it back.
func DataCentreTicket(number uint64, dataCentre string, inService bool) *sageconfig.Ticket {
	return &sageconfig.Ticket{Number: number, Author: "sagebench", Changes: []sageconfig.Change{{
		Key:        sageconfig.EntryKey{Kind: sageconfig.KindDataCentre, Name: dataCentre},
		DataCentre: &sageconfig.DataCentre{InService: inService, Region: "region1"},
	}}}
}

func hashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
