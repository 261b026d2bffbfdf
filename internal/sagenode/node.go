package sagenode

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"

	"sagestand.example/sagestand/internal/sageadmission"
	"sagestand.example/sagestand/internal/sageburnd"
	"sagestand.example/sagestand/internal/sageconfigd"
	"sagestand.example/sagestand/internal/sagedispatch"
	"sagestand.example/sagestand/internal/sageentry"
	"sagestand.example/sagestand/internal/sagegossipd"
	"sagestand.example/sagestand/internal/sagekernel"
	"sagestand.example/sagestand/internal/sageloadd"
	"sagestand.example/sagestand/internal/sagelog"
	"sagestand.example/sagestand/internal/sagemetrics"
	"sagestand.example/sagestand/internal/sageoperator"
	"sagestand.example/sagestand/internal/sagepeer"
	"sagestand.example/sagestand/internal/sageplacement"
	"sagestand.example/sagestand/internal/sagerpc/allot"
	"sagestand.example/sagestand/internal/sagerpc/claim"
	"sagestand.example/sagestand/internal/sagerpc/report"
	"sagestand.example/sagestand/internal/sagesettings"
	"sagestand.example/sagestand/pkg/sageburn"
	"sagestand.example/sagestand/pkg/sagemember"
	"sagestand.example/sagestand/pkg/sageobject"
	"sagestand.example/sagestand/pkg/sageplace"
	"sagestand.example/sagestand/pkg/sagesync"
)

// ErrEmptyKey reports a key file without a key.
var ErrEmptyKey = errors.New("key file is empty")

// errStarting reports a node that callers are not told of yet.
var errStarting = errors.New("not announced to the other nodes yet")

// storeTimeout bounds one call to the platform, above the longest wait of a watch.
const storeTimeout = 30 * time.Second

// stopSlack is what the other services may take beyond the entry's own stop.
const stopSlack = 10 * time.Second

// Node is one daemon. Settings and Log are set before Open.
type Node struct {
	Settings sagesettings.Settings
	Log      sagelog.Logger

	kernel    sagekernel.Kernel
	table     *sagemember.Table
	gossip    *sagegossipd.Service
	metrics   *metrics.Set
	listeners map[string]net.Listener
	ready     func() error
	control   atomic.Int64
	claims    atomic.Int64
	// claimPeers carries claims to their owners, on connections that carry nothing else.
	claimPeers *sagepeer.Client
	peerServer *sagepeer.Server
	peers      [2]interface{ Bytes() int64 }
	peerKey    string
	opKey      string
	tls        *tls.Config
}

// Open reads the keys and opens the listeners; nothing serves before Run.
func (n *Node) Open() error {
	cfg := &n.Settings
	var err error
	if n.peerKey, err = readKey(cfg.Keys.PeerFile); err != nil {
		return fmt.Errorf("keys.peer_file: %w", err)
	}
	if n.opKey, err = readKey(cfg.Keys.OperatorFile); err != nil {
		return fmt.Errorf("keys.operator_file: %w", err)
	}
	if cfg.TLS.CertFile != "" {
		if n.tls, err = sagepeer.LoadTLS(cfg.TLS.CertFile, cfg.TLS.KeyFile, cfg.TLS.CAFile); err != nil {
			return fmt.Errorf("tls: %w", err)
		}
	}
	n.listeners = make(map[string]net.Listener, 3)
	for _, l := range []struct{ name, addr string }{{"entry", cfg.Listen.Entry}, {"peer", cfg.Listen.Peer}, {"operator", cfg.Listen.Operator}} {
		n.listeners[l.name], err = net.Listen("tcp", l.addr)
		if err != nil {
			n.Close()
			return fmt.Errorf("listen.%s: %w", l.name, err)
		}
	}
	n.metrics = metrics.NewSet()
	n.register()
	if err := n.table.Start(); err != nil {
		n.Close()
		return fmt.Errorf("members: %w", err)
	}
	return nil
}

// Close closes the listeners of a node that will not run.
func (n *Node) Close() {
	for _, l := range n.listeners {
		if l != nil {
			_ = l.Close()
		}
	}
}

// readKey reads a key file; space around the key doesn't count.
func readKey(path string) (string, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return "", fmt.Errorf("read key: %w", err)
	}
	key := strings.TrimSpace(string(b))
	if key == "" {
		return "", fmt.Errorf("%s: %w", path, ErrEmptyKey)
	}
	return key, nil
}

// register adds every service, each before those that depend on it.
func (n *Node) register() {
	cfg, k := &n.Settings, &n.kernel
	k.Log = n.Log.Component("kernel")
	k.StopTimeout = millis(cfg.Stop.WithinMillis) + stopSlack

	store := &sageobject.Client{URL: cfg.Platform.URL, HTTP: &http.Client{Transport: sagepeer.NewCountingTransport(&n.control), Timeout: storeTimeout}}
	k.Register("store", store)
	peers := &sagepeer.Client{Key: n.peerKey, TLS: n.tls}
	k.Register("peer_client", peers)
	conf := &sageconfigd.Service{
		Node: cfg.Node.Name, DataCentre: cfg.Node.DataCentre, Store: store, Rule: rule(cfg.Isolated),
		Roster: n.allSeeds(), Address: cfg.Listen.Peer,
		Metrics: n.metrics, Log: n.Log.Component("config"),
	}
	k.Register("config", conf)
	peerServer := &sagepeer.Server{Listener: n.listeners["peer"], Key: n.peerKey, TLS: n.tls, Log: n.Log.Component("peer")}
	k.Register("peer_server", peerServer)
	n.peers = [2]interface{ Bytes() int64 }{peers, peerServer}
	n.metrics.NewGauge("sagestand_control_bytes_total", func() float64 { return float64(n.ControlBytes()) })
	n.metrics.NewGauge("sagestand_claim_bytes_total", func() float64 { return float64(n.ClaimBytes()) })
	members, locator := n.memberServices(conf, peers, peerServer)
	burn := &sageburnd.Service{Objectives: objectives(cfg.Objectives), Peers: n.livePeers, Client: peers}
	peerServer.Mount(report.NewReportServer(burn))
	k.Register("burn", burn)
	load := n.loadService(conf, peers)
	peerServer.Mount(allot.NewAllotServer(load))
	load.Export(n.metrics)
	k.Register("load", load)
	admission := &sageadmission.Service{Config: conf, Load: load, MaxInFlight: cfg.Limits.InFlight, MaxQueued: cfg.Limits.Queued}
	admission.Export(n.metrics)
	k.Register("admission", admission)
	retries := n.retryService()
	retries.Export(n.metrics)
	k.Register("retry", retries)
	placement := &sageplacement.Service{
		Config: conf, Load: load, Circuits: retries, LoadBound: cfg.Placement.LoadBound,
		TokenSigner: sageplace.TokenSigner{Keys: [][]byte{[]byte(n.peerKey)}},
		TokenTTL:    millis(cfg.Placement.TokenValidMillis), Metrics: n.metrics,
	}
	k.Register("placement", placement)
	n.claimPeers = &sagepeer.Client{Key: n.peerKey, TLS: n.tls}
	claims := n.claimService(n.claimStore(), n.claimPeers)
	peerServer.MountRequestService(claim.NewClaimsServer(claims))
	n.peerServer = peerServer
	k.Register("claims", claims)
	k.Register("orders", n.orderService(store, conf))
	requests := &sagemetrics.RequestMetrics{Set: n.metrics}
	entry := &sageentry.Service{
		Listener: n.listeners["entry"], Config: conf,
		Admission: admission,
		Claims:    claims, Placement: placement, Retries: retries,
		Dispatch: &sageloadd.TimedDispatcher{Next: &sagedispatch.Dispatcher{Dial: load.Dial}, Load: load},
		Locator:  locator, Leaver: &resigner{Next: members, Load: load}, Recorder: sagemetrics.MultiRecorder{requests, burn},
		Limits: cfg.Limits, Stop: cfg.Stop, Log: n.Log.Component("entry"),
	}
	members.Load = entry.InFlight
	n.ready = func() error {
		if ref := conf.Serving(time.Now(), true); ref != nil {
			return ref
		}
		if n.table.LocalNode().Phase == sagemember.Starting {
			return errStarting
		}
		return nil
	}
	operator := &sageoperator.Server{
		Listener: n.listeners["operator"], Key: n.opKey, TLS: n.tls, Tickets: conf, State: conf.State, Metrics: n.metrics,
		Ready: n.ready,
		Status: func() any {
			return Status{Node: cfg.Node.Name, DataCentre: cfg.Node.DataCentre, Revision: conf.Revision(), InFlight: entry.InFlight(), Services: k.Names()}
		},
		Log: n.Log.Component("operator"),
	}
	operator.Handle("GET /v1/nodes", members)
	operator.Handle("GET /v1/report/burn", burn)
	operator.Handle("GET /v1/allotments", load)
	operator.Handle("GET /v1/unknown", claims)
	operator.Handle("POST /v1/unknown", claims)
	peerServer.Export(n.metrics)
	k.Register("operator", operator)
	k.Register("entry", entry)
}

// rule takes the settings' rule for isolated nodes over.
func rule(i sagesettings.Isolated) sagesync.Rule {
	return sagesync.Rule{Isolated: sagesync.IsolationPolicy(i.Rule), MaxEvidenceAge: millis(i.AfterMillis), CatchUpTimeout: sagesync.DefaultCatchUpTimeout}
}

// objectives takes the settings' objectives over into the report's own type.
func objectives(in []sagesettings.Objective) []sageburn.Objective {
	out := make([]sageburn.Objective, len(in))
	for i, o := range in {
		out[i] = sageburn.Objective(o)
	}
	return out
}

// allSeeds returns the peer addresses of the settings.
func (n *Node) allSeeds() []string {
	out := make([]string, len(n.Settings.Seeds))
	for i, s := range n.Settings.Seeds {
		out[i] = s.Peer
	}
	return out
}

// otherSeeds returns the peer addresses of the settings but this node's own.
func (n *Node) otherSeeds() []string {
	var out []string
	for _, s := range n.Settings.Seeds {
		if s.Peer != n.Settings.Listen.Peer {
			out = append(out, s.Peer)
		}
	}
	return out
}

// Status is what GET /v1/status shows of a node.
type Status struct {
	Node       string   `json:"node"`
	DataCentre string   `json:"data_centre"`
	Revision   uint64   `json:"revision"`
	InFlight   int64    `json:"in_flight"`
	Services   []string `json:"services"`
}

// Ready says why the node is not ready to serve, or nil.
func (n *Node) Ready() error { return n.ready() }

// claimStore returns a client of the Object API whose traffic is counted apart: claims are part of the
// requests that they belong to and grow with them, control traffic does not.
func (n *Node) claimStore() *sageobject.Client {
	return &sageobject.Client{URL: n.Settings.Platform.URL, HTTP: &http.Client{Transport: sagepeer.NewCountingTransport(&n.claims), Timeout: storeTimeout}}
}

// ClaimBytes returns the bytes exchanged so far for claims of idempotency keys, with the platform and
// with other nodes.
func (n *Node) ClaimBytes() int64 {
	return n.claims.Load() + n.claimPeers.Bytes() + n.peerServer.RequestBytes()
}

// ControlBytes returns the bytes of all traffic with other nodes and the platform so far, both ways,
// but for [Node.ClaimBytes].
func (n *Node) ControlBytes() int64 {
	sum := n.control.Load()
	for _, p := range n.peers {
		sum += p.Bytes()
	}
	return sum
}

// Run runs the node until ctx ends and every service stopped.
func (n *Node) Run(ctx context.Context) error {
	n.Log.Component("node").Info("Starting.", "data_centre", n.Settings.Node.DataCentre)
	if err := n.kernel.Run(ctx); err != nil {
		return fmt.Errorf("run node: %w", err)
	}
	n.Log.Component("node").Info("Stopped.")
	return nil
}

func millis(n int) time.Duration { return time.Duration(n) * time.Millisecond }
