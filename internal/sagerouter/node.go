package sagerouter

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"sagestand.example/sagestand/internal/sagefollow"
	"sagestand.example/sagestand/internal/sagekernel"
	"sagestand.example/sagestand/internal/sagelog"
	"sagestand.example/sagestand/internal/sagemesh"
	"sagestand.example/sagestand/internal/sagerelay"
	"sagestand.example/sagestand/pkg/sagechain"
	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/pkg/sagefresh"
	"sagestand.example/sagestand/pkg/sagehealth"
	"sagestand.example/sagestand/pkg/sagequarantine"
	"sagestand.example/sagestand/pkg/sagerollout"
	"sagestand.example/sagestand/pkg/sageshare"
	"sagestand.example/sagestand/pkg/sageupstream"
)

// Times of a node.
const (
	// gatherUpstreams is how long changes of upstreams gather, well below the two seconds within which
	// a leaving one must get nothing more.
	gatherUpstreams = 150 * time.Millisecond
	// firstListingWithin is the time over which the first listings of a new fleet spread: the first
	// nodes' answers serve the others.
	firstListingWithin = 2 * time.Second
	// settleEvery is how often lapsed entries are looked through.
	settleEvery = 100 * time.Millisecond
	// DirectoryTTL is how long callers may keep a directory answer; some keep it three times as long.
	DirectoryTTL = time.Second
	// keptTimes is how many times AnswerValid a leaving node goes on serving new connections.
	keptTimes = 3
	// stopMargin is what a process needs to end after its last request.
	stopMargin = 700 * time.Millisecond
	// headerWithin bounds how long a caller may take for its header, idleWithin how long it may keep
	// an unused connection: longer than any idle time that callers are promised.
	headerWithin = 5 * time.Second
	idleWithin   = 10 * time.Minute
	// headerBytes bounds a caller's header.
	headerBytes = 32 << 10
	// memoryShare is the part of the VM's memory at which the garbage collector works harder.
	memoryShare = 0.6
	// orderTimes is how many times as old as a rollout's own bound the copy of the orders may get: plans that take
	// a version back come with heartbeats, and a version whose order is not known yet gets nothing.
	orderTimes = 12
	// bodyShare is the part of it that bodies of requests may take: what is left between usual use, a
	// tenth, and memoryShare, halved for what reading and sending copy.
	bodyShare = 0.25
)

// Store is the platform's store.
type Store interface {
	sagefollow.Source
	// Create makes an object; one that exists stays as it is.
	Create(ctx context.Context, kind, name string, spec json.RawMessage) error
	// SetStatus replaces an object's status if its last change has the revision.
	SetStatus(ctx context.Context, kind, name string, revision uint64, status json.RawMessage) error
	// Delete removes an object; one that doesn't exist is no error.
	Delete(ctx context.Context, kind, name string) error
}

// Node is one daemon. Exported fields are set before Open.
type Node struct {
	Settings Settings
	Store    Store
	Kinds    Kinds
	Decoder  Decoder
	Dialect  sagerelay.Dialect
	// Inspector asks engines for what they hold.
	Inspector Inspector
	// Readiness and Directory answer on their own addresses; they speak the platform's dialect.
	Readiness, Directory http.Handler
	Log                  sagelog.Logger
	// Dropped returns how many lines the log dropped; may be nil.
	Dropped func() int64

	kernel  sagekernel.Kernel
	metrics *metrics.Set
	mesh    *sagemesh.Service
	peers   *peerLog
	relay   *sagerelay.Service
	view    *view
	fleet   *fleet
	copies  sagemesh.Copies
	fetcher *sagemesh.Fetcher
	recall  *recall
	names   atomic.Pointer[[]string] // of the nodes in the store
	reach   sagefresh.Proof          // of the store
	// quarantine are the requests that crash upstreams.
	quarantine sagequarantine.Tracker
	leaving    atomic.Bool
}

// Open opens the listeners and makes the services; nothing serves before Run.
func (n *Node) Open() error {
	cfg := &n.Settings
	if err := cfg.Check(); err != nil {
		return err
	}
	if cfg.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryShare*float64(cfg.MemoryMB)) << 20)
	}
	n.metrics = metrics.NewSet()
	n.kernel.Log, n.kernel.StopTimeout = n.Log.Component("kernel"), seconds(cfg.Bounds.StopWithinSeconds)
	n.makeMesh()
	if err := n.mesh.Open(); err != nil {
		return err
	}
	n.makeFleet()
	n.makeRecall()
	n.export()
	n.kernel.Register("mesh", n.mesh)
	for _, kind := range []string{n.Kinds.ClosedDataCentres, n.Kinds.Upstreams, n.Kinds.Config} {
		n.kernel.Register("follow_"+kind, n.copies[kind])
	}
	n.kernel.Register("members", &members{node: n})
	if f := n.copies[n.Kinds.Rollouts]; f != nil {
		n.kernel.Register("follow_"+n.Kinds.Rollouts, f)
		n.kernel.Register("rollouts", &rolloutController{node: n, controller: sagerollout.Controller{Self: n.Settings.Node, Bounds: n.Settings.Bounds.rollouts()}})
	}
	n.kernel.Register("follow_"+n.Kinds.Quarantines, n.copies[n.Kinds.Quarantines])
	n.kernel.Register("quarantine", &quarantineKeeper{
		Self: cfg.Node, Kind: n.Kinds.Quarantines, Book: &n.quarantine, Store: n.Store, Rank: n.quarantineRank, Log: n.Log.Component("quarantine"),
	})
	n.kernel.Register("recall", n.recall)
	n.kernel.Register("settle", &settler{node: n})
	return n.listen()
}

func (n *Node) makeMesh() {
	cfg := &n.Settings
	n.peers = &peerLog{DataCentre: cfg.DataCentre, Log: n.Log.Component("mesh")}
	n.mesh = &sagemesh.Service{
		Name: cfg.Node, Address: cfg.Listen.Mesh, Entry: cfg.Listen.Entry, DataCentre: cfg.DataCentre, Seeds: cfg.meshSeeds(),
		LinkMbps: int(cfg.LinkMbps),
		Fill:     n.fill, FillUpdates: n.fillNews, FillSum: n.fillSum, OnHeartbeat: n.heard,
		OnJoined: n.peers.Joined, OnLost: n.peers.Lost,
		Log: n.Log.Component("mesh"),
	}
}

func (n *Node) makeFleet() {
	cfg := &n.Settings
	placer := new(sagechain.Placer)
	n.view = &view{decoder: n.Decoder, log: n.Log.Component("view"), placer: placer}
	n.fetcher = &sagemesh.Fetcher{HTTP: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: 10 * time.Second}}}
	follow := func(kind string, within int, apply func([]sagefollow.Change, bool)) *sagefollow.Follower {
		return &sagefollow.Follower{
			Kind: kind, Source: n.Store, Peers: n.fetcher, MaxStaleness: millis(within), Rank: n.mesh.Rank, Apply: apply,
			StoreProof: &n.reach, OnChange: n.changed, PeerProofDelay: n.lag, Log: n.Log.Component("follow"),
		}
	}
	n.copies = sagemesh.Copies{
		n.Kinds.Config:            follow(n.Kinds.Config, cfg.Bounds.ConfigWithinMillis, n.view.applyConfig),
		n.Kinds.Upstreams:         follow(n.Kinds.Upstreams, cfg.Bounds.UpstreamWithinMillis, n.view.applyUpstreams),
		n.Kinds.ClosedDataCentres: follow(n.Kinds.ClosedDataCentres, cfg.Bounds.ClosedWithinMillis, n.view.applyClosed),
		n.Kinds.Quarantines:       follow(n.Kinds.Quarantines, cmp.Or(cfg.Bounds.QuarantineWithinMillis, usualQuarantineMillis), n.applyQuarantines),
	}
	if cfg.Bounds.Rollouts != nil {
		n.followRollouts(follow)
	}
	n.copies[n.Kinds.Upstreams].BatchDelay = gatherUpstreams
	for _, kind := range []string{n.Kinds.Upstreams, n.Kinds.ClosedDataCentres, n.Kinds.Quarantines} {
		n.copies[kind].Prober = n.copies[n.Kinds.Config]
	}
	n.spreadFirstListing()
	n.fleet = &fleet{
		view: n.view, keyProof: &n.copies[n.Kinds.Config].Proof,
		known: n.mesh.KnownNodes, lag: n.countsLag, placer: placer, cold: sageshare.ColdLimiter{Self: cfg.Node},
		retries: sageshare.RetryLimiter{Window: seconds(cfg.Bounds.RetryWindowSeconds)}, health: sagehealth.Tracker{Self: cfg.Node},
	}
	if cfg.Bounds.Rollouts != nil {
		n.fleet.rollouts = new(sagerollout.Tracker)
	}
	placer.SourceTrust = n.fleet.source
	n.fleet.recalled = func() bool { return n.recall.informed.Load() }
	n.fleet.bounds(&cfg.Bounds)
	n.relay = &sagerelay.Service{
		Dialect: n.Dialect, Fleet: n.fleet, Metrics: n.metrics, Log: n.Log.Component("relay"), Closing: n.leaving.Load, Quarantine: &n.quarantine,
		SendsTrials:      func() bool { return n.quarantineRank() == 0 },
		MaxBufferedBytes: int64(bodyShare*float64(cfg.MemoryMB)) << 20,
	}
}

// followRollouts makes the copy of the rollout orders, for a fleet that is to carry them out. No request waits for it
// after a start, see [view.hold].
func (n *Node) followRollouts(follow func(kind string, within int, apply func([]sagefollow.Change, bool)) *sagefollow.Follower) {
	f := follow(n.Kinds.Rollouts, orderTimes*n.Settings.Bounds.Rollouts.UndoWithinMillis, n.applyRollouts)
	f.Prober = n.copies[n.Kinds.Config]
	f.ListNotBefore = n.firstListing()
	n.copies[n.Kinds.Rollouts] = f
	n.view.known = make(versions)
	n.view.ordersAsOf = f.AsOf
}

func (n *Node) makeRecall() {
	n.recall = &recall{
		Self: n.Settings.Node, DataCentre: n.Settings.DataCentre, FirstStart: n.Settings.FirstStart,
		Placer: n.fleet.placer, Peers: n.mesh.Live, Engines: n.engines, Named: n.registered,
		Registered: func() bool { return n.names.Load() != nil }, Fetch: n.fetcher.FetchHolders,
		Inspector: n.Inspector, Tell: func() { n.mesh.TriggerHeartbeats(true) }, Interval: n.settleInterval, Log: n.Log.Component("recall"),
	}
}

// settleInterval is the time in which nodes that start together hear of each other.
func (n *Node) settleInterval() time.Duration { return min(n.mesh.Interval(), mostSettleInterval) }

// engines returns the engines that may get requests, or false before configuration and upstreams are
// known.
func (n *Node) engines() ([]*sageupstream.Entry, bool) {
	table, set := n.fleet.Table(), n.view.set.Load()
	if table == nil || set == nil {
		return nil, false
	}
	var out []*sageupstream.Entry
	for name, s := range table.Services {
		if s.Engine {
			out = append(out, set.Available(name)...)
		}
	}
	return out, true
}

// spreadFirstListing delays this node's first listings when the whole fleet starts for the first time
// and no caller waits. At every other start the time until it serves counts.
func (n *Node) spreadFirstListing() {
	if !n.Settings.FirstStart {
		return
	}
	for _, f := range n.copies {
		f.ListNotBefore = n.firstListing()
	}
}

// firstListing is when this node makes a first listing that nothing waits for: later than some other nodes do, whose
// answers it then has from their heartbeats.
func (n *Node) firstListing() sageclock.Instant {
	return sageclock.Now().Add(time.Duration(xxhash.Sum64String(n.Settings.Node) % uint64(firstListingWithin)))
}

// listen opens the listeners and registers their servers, the entry last, so that it stops first.
func (n *Node) listen() error {
	cfg := &n.Settings
	peers := http.NewServeMux()
	n.copies.Handle(peers)
	sagemesh.HandleHeld(peers, n.fleet.placer, n.Log.Component("mesh"))
	operator := http.NewServeMux()
	operator.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { n.metrics.WritePrometheus(w) })
	for _, l := range []struct {
		name, address string
		handler       http.Handler
	}{
		{"peers", cfg.Listen.Mesh, peers},
		{"operator", cfg.Listen.Operator, operator},
		{"directory", cfg.Listen.Directory, n.Directory},
		{"readiness", cfg.Listen.Readiness, n.Readiness},
		{"entry", cfg.Listen.Entry, n.relay},
	} {
		if l.address == "" {
			continue
		}
		ln, err := net.Listen("tcp4", l.address)
		if err != nil {
			return fmt.Errorf("listen for %s: %w", l.name, err)
		}
		n.kernel.Register(l.name, &server{name: l.name, listener: ln, node: n, http: &http.Server{
			Handler: l.handler, ReadHeaderTimeout: headerWithin, IdleTimeout: idleWithin, MaxHeaderBytes: headerBytes,
		}})
	}
	return nil
}

// Run serves until ctx ends and the graceful stop is over.
func (n *Node) Run(ctx context.Context) error {
	log := n.Log.Component("node")
	log.Info("Starting.", "data_centre", n.Settings.DataCentre, "entry", n.Settings.Listen.Entry)
	if err := n.kernel.Run(ctx); err != nil && !errors.Is(err, sagekernel.ErrStopTimeout) {
		return fmt.Errorf("run node: %w", err)
	}
	log.Info("Stopped.")
	return nil
}

// Reload takes over what may change while the node runs: the bounds on keys and retries, and seeds.
// Addresses and names stay until the next start.
func (n *Node) Reload(cfg Settings) {
	n.fleet.bounds(&cfg.Bounds)
	for _, a := range cfg.meshSeeds() {
		if err := n.mesh.AddPeer(a); err != nil {
			n.Log.Component("node").Warn("Seed ignored.", "address", a, "err", err)
		}
	}
}

// registered returns the names of the nodes in the store, as far as known.
func (n *Node) registered() []string {
	if p := n.names.Load(); p != nil {
		return *p
	}
	return n.mesh.KnownNodes()
}

// Ready says whether callers may be sent here.
func (n *Node) Ready() bool {
	return !n.leaving.Load() && n.fleet.Table() != nil && n.view.set.Load() != nil && n.fleet.Fresh()
}
