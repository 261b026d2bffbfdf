package sagerouter

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime/debug"
	"slices"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"

	"sagestand.example/sagestand/internal/sagefollow"
	"sagestand.example/sagestand/internal/sagekernel"
	"sagestand.example/sagestand/internal/sagelog"
	"sagestand.example/sagestand/internal/sagemesh"
	"sagestand.example/sagestand/internal/sageorigind"
	"sagestand.example/sagestand/internal/sagerelay"
	"sagestand.example/sagestand/pkg/sagechain"
	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/pkg/sagedrain"
	"sagestand.example/sagestand/pkg/sagefresh"
	"sagestand.example/sagestand/pkg/sagehealth"
	"sagestand.example/sagestand/pkg/sagequarantine"
	"sagestand.example/sagestand/pkg/sagerollout"
	"sagestand.example/sagestand/pkg/sageshare"
	"sagestand.example/sagestand/pkg/sageupstream"
)

// Times and limits of a node.
const (
	// upstreamBatchDelay is how long changes of upstreams are batched. It is well below the two seconds after which a
	// removed upstream must not receive requests.
	upstreamBatchDelay = 150 * time.Millisecond
	// listDelayPerRank is the time between the first listings of two nodes that start together, in the order of their
	// links, and maxListDelay the longest wait. Most nodes get the content from the first ones instead of the store.
	listDelayPerRank = 30 * time.Millisecond
	maxListDelay     = 2 * time.Second
	// maxFirstStartWait is how long a node of a new fleet waits for the list of registered nodes before it lists the
	// kinds. No callers wait yet.
	maxFirstStartWait = 6 * time.Second
	// expiryInterval is how often lapsed upstream entries are expired.
	expiryInterval = sagedrain.ProgressInterval
	// DirectoryTTL is how long callers may cache a directory answer. Some cache it three times as long.
	DirectoryTTL = time.Second
	// maxCachedTTLs times DirectoryTTL is the longest time for which callers use a directory answer. A stopping node
	// accepts connections for longer.
	maxCachedTTLs = 3
	// exitMargin is the time that the process needs to exit after its last request.
	exitMargin = 700 * time.Millisecond
	// headerTimeout limits the time in which a caller sends its header. idleTimeout limits unused connections; it is
	// longer than any idle time that callers are promised.
	headerTimeout = 5 * time.Second
	idleTimeout   = 10 * time.Minute
	// maxHeaderBytes limits the size of a caller's header.
	maxHeaderBytes = 32 << 10
	// memoryLimitFraction is the soft limit of the garbage collector as a fraction of the VM's memory.
	memoryLimitFraction = 0.6
	// orderStalenessFactor times RolloutBounds.UndoWithinMillis is the maximum age of the copy of the rollout orders.
	// It may be this old because rollbacks are sent with heartbeats, and because a version receives no requests
	// before its order is known.
	orderStalenessFactor = 12
	// bodyMemoryFraction is the fraction of the VM's memory for buffered request bodies and responses. Normal use takes a tenth of
	// the memory. Half of what remains up to memoryLimitFraction is reserved for copies made when reading and
	// sending.
	bodyMemoryFraction = 0.25
	// relayMemoryFraction is the fraction of the VM's memory for the connections, buffers and goroutines of requests
	// of peers, bytesPerRelayed what one of them needs.
	relayMemoryFraction = 0.1
	bytesPerRelayed     = 96 << 10
	// maxPeerHeaderBytes limits the size of a peer's header, which has that of a caller and some more.
	maxPeerHeaderBytes = maxHeaderBytes + 4<<10
)

// Store is the platform's store.
type Store interface {
	sagefollow.Source
	// ListStale is like List, but the page may be some seconds old.
	ListStale(ctx context.Context, kind, after string) (sagefollow.Page, error)
	// Create creates an object and reports whether it did. An existing one is left unchanged, without an error.
	Create(ctx context.Context, kind, name string, spec json.RawMessage) (created bool, err error)
	// SetStatus replaces an object's status if the object is still at the revision.
	SetStatus(ctx context.Context, kind, name string, revision uint64, status json.RawMessage) error
	// Delete deletes an object. It is no error if the object doesn't exist.
	Delete(ctx context.Context, kind, name string) error
}

// Node is a router daemon. Exported fields are set before Open.
type Node struct {
	Settings Settings
	Store    Store
	Kinds    Kinds
	Decoder  Decoder
	Dialect  sagerelay.Dialect
	// Inspector queries engines for the prompt parts in their caches.
	Inspector Inspector
	// Dial opens connections to upstreams; nil means TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// ReturnWithin is the part of the time to its deadline for which a refused caller waits at most, whatever it is asked to
	// wait; 0 means all of it.
	ReturnWithin float64
	// Readiness and Directory are the platform's handlers for the two addresses in Settings.Listen.
	Readiness, Directory http.Handler
	Log                  sagelog.Logger
	// Dropped returns how many lines the log has dropped; may be nil.
	Dropped func() int64
	// UnreadableObjects returns how many states of objects of the store couldn't be decoded; may be nil.
	UnreadableObjects func() int64

	kernel          sagekernel.Kernel
	metrics         *metrics.Set
	mesh            *sagemesh.Service
	peers           *peerLog
	relay           *sagerelay.Service
	origins         *sageorigind.Service
	claimKeeper     *claimKeeper
	recovery        *snapshotRecovery
	view            *view
	fleet           *fleet
	copies          sagemesh.Copies
	fetcher         *sagemesh.Fetcher
	cacheResync     *cacheResync
	registeredNames atomic.Pointer[[]string] // nodes registered in the store
	nodeCount       nodeCount
	startedAt       sageclock.Instant
	storeEra        atomic.Uint64   // the highest era of a restored store
	restored        chan struct{}   // receives a value after a restore of the store
	listAt          atomic.Int64    // when this node lists the kinds for the first time; 0 if not known yet
	storeProof      sagefresh.Proof // proof of the store's answers for any kind of object
	// quarantine tracks the requests that crash upstreams.
	quarantine sagequarantine.Tracker
	// quarantinesListed is set once the quarantine objects have been listed.
	quarantinesListed bool
	closing           atomic.Pointer[sagedrain.Closing] // set while the node is leaving
	progress          sagedrain.Progress
}

// Open opens the listeners and creates the services. Nothing is served before Run.
func (n *Node) Open() error {
	cfg := &n.Settings
	if err := cfg.Check(); err != nil {
		return err
	}
	if cfg.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction*float64(cfg.MemoryMB)) << 20)
	}
	n.startedAt = sageclock.Now()
	n.metrics = metrics.NewSet()
	n.kernel.Log, n.kernel.StopTimeout = n.Log.Component("kernel"), seconds(cfg.Bounds.StopWithinSeconds)
	n.makeMesh()
	if err := n.mesh.Open(); err != nil {
		return err
	}
	n.makeFleet()
	n.makeOrigins()
	n.makeCacheResync()
	n.exportMetrics()
	n.kernel.Register("mesh", n.mesh)
	n.kernel.Register("origins", n.origins)
	for _, kind := range []string{n.Kinds.ClosedDataCentres, n.Kinds.Upstreams, n.Kinds.Config} {
		n.kernel.Register("follow_"+kind, n.copies[kind])
	}
	n.kernel.Register("members", &registrar{node: n})
	if f := n.copies[n.Kinds.Rollouts]; f != nil {
		n.kernel.Register("follow_"+n.Kinds.Rollouts, f)
		n.kernel.Register("rollouts", &rolloutController{node: n, controller: sagerollout.Controller{Self: n.Settings.Node, Bounds: n.Settings.Bounds.rollouts()}})
	}
	n.kernel.Register("follow_"+n.Kinds.Quarantines, n.copies[n.Kinds.Quarantines])
	n.kernel.Register("quarantine", &quarantineReconciler{
		Self: cfg.Node, Kind: n.Kinds.Quarantines, Tracker: &n.quarantine, Store: n.Store, Rank: n.quarantineRank, Log: n.Log.Component("quarantine"),
	})
	n.kernel.Register("claims", n.claimKeeper)
	snapshots := newSnapshotKeeper(n.Kinds.Snapshots, fmt.Sprintf("%s-%08x", cfg.Node, rand.Uint32()), n.Store,
		func() int { return len(n.recordWriters()) }, n.Log.Component("origins"))
	n.origins.Save, n.origins.Forget = snapshots.Save, snapshots.Forget
	n.kernel.Register("snapshots", snapshots)
	n.recovery.Name, n.recovery.Restore, n.recovery.Recovers = snapshots.Name, n.origins.Restore, n.recoversRecords
	n.kernel.Register("recovery", n.recovery)
	n.kernel.Register("paths", &pathProber{node: n, wake: n.fleet.pathSuspected})
	n.kernel.Register("recall", n.cacheResync)
	n.kernel.Register("shares", &shareController{node: n})
	n.kernel.Register("settle", &expirer{node: n})
	return n.listen()
}

func (n *Node) makeMesh() {
	cfg := &n.Settings
	n.recovery = &snapshotRecovery{Kind: n.Kinds.Snapshots, Store: n.Store, Log: n.Log.Component("origins")}
	n.peers = &peerLog{DataCentre: cfg.DataCentre, Log: n.Log.Component("mesh")}
	n.mesh = &sagemesh.Service{
		Name: cfg.Node, Address: cfg.Listen.Mesh, Entry: cfg.Listen.Entry, DataCentre: cfg.DataCentre, Region: cfg.Region, Seeds: cfg.meshSeeds(),
		LinkMbps: int(cfg.LinkMbps),
		Fill:     n.fillHeartbeat, FillUpdates: n.fillUpdates, FillSum: n.fillSum, OnHeartbeat: n.handleHeartbeat,
		OnJoined: n.handleJoined, OnLost: n.handleLost, OnRestarted: func(sagemesh.Member) { n.recovery.nodeLost() },
		Log: n.Log.Component("mesh"),
	}
}

func (n *Node) handleJoined(m sagemesh.Member) {
	n.peers.Joined(m)
	n.recovery.nodeJoined()
}

// handleLost has what a node knew recovered, and ends what it relayed. One that leaves has handed its records over.
func (n *Node) handleLost(m sagemesh.Member) {
	n.peers.Lost(m)
	n.relay.CancelRelayed(m.Node)
	if !m.Leaving {
		n.recovery.nodeLost()
	}
}

func (n *Node) makeFleet() {
	cfg := &n.Settings
	placer := new(sagechain.Placer)
	n.view = &view{decoder: n.Decoder, log: n.Log.Component("view"), placer: placer}
	n.fetcher = sagemesh.NewFetcher()
	n.restored = make(chan struct{}, 1)
	policies := n.restorePolicies()
	follow := func(kind string, maxStalenessMillis int, apply func([]sagefollow.Change, bool)) *sagefollow.Follower {
		return &sagefollow.Follower{
			Kind: kind, Source: n.Store, Peers: n.fetcher, MaxStaleness: millis(maxStalenessMillis), Rank: n.mesh.Rank, Apply: apply,
			StoreProof: &n.storeProof, ListNotBefore: n.listNotBefore, Isolated: n.isolated, OnChange: n.contentChanged, PeerProofDelay: n.peerProofDelay,
			Restore: policies[kind], OnRestored: n.handleRestore, Log: n.Log.Component("follow"),
		}
	}
	n.copies = sagemesh.Copies{
		n.Kinds.Config:            follow(n.Kinds.Config, cfg.Bounds.ConfigWithinMillis, n.view.applyConfig),
		n.Kinds.Upstreams:         follow(n.Kinds.Upstreams, cfg.Bounds.UpstreamWithinMillis, n.view.applyUpstreams),
		n.Kinds.ClosedDataCentres: follow(n.Kinds.ClosedDataCentres, cfg.Bounds.ClosedWithinMillis, n.view.applyClosed),
		n.Kinds.Quarantines:       follow(n.Kinds.Quarantines, cmp.Or(cfg.Bounds.QuarantineWithinMillis, defaultQuarantineMillis), n.applyQuarantines),
	}
	if cfg.Bounds.Rollouts != nil {
		n.followRollouts(follow)
	}
	n.copies[n.Kinds.Upstreams].BatchDelay = upstreamBatchDelay
	for _, kind := range []string{n.Kinds.Upstreams, n.Kinds.ClosedDataCentres, n.Kinds.Quarantines} {
		n.copies[kind].Prober = n.copies[n.Kinds.Config]
	}
	n.fleet = &fleet{
		view: n.view, startedAt: n.startedAt, metrics: n.metrics, self: cfg.Node, dataCentre: cfg.DataCentre, region: cfg.Region, livePeers: n.mesh.Live, pathSuspected: make(chan struct{}, 1), keyProof: &n.copies[n.Kinds.Config].Proof,
		knownNodes: n.knownNodes, fleetSize: n.fleetSize, countLag: n.countLag, placer: placer, coldLimiter: sageshare.ColdLimiter{Self: cfg.Node, Start: n.startedAt},
		retryLimiter: sageshare.RetryLimiter{Start: n.startedAt, Window: seconds(cfg.Bounds.RetryWindowSeconds)}, health: sagehealth.Tracker{Self: cfg.Node},
	}
	if cfg.Bounds.Rollouts != nil {
		n.fleet.rollouts = new(sagerollout.Tracker)
	}
	n.fleet.returnWithin, n.fleet.gates.ReturnWithin = n.ReturnWithin, n.ReturnWithin
	n.fleet.demand.capacity = func(service string) float64 { return n.fleet.capacity.Estimate(service).PerSecond }
	placer.SourceTrust = n.fleet.sourceTrust
	n.view.onRestart = n.fleet.health.Forget
	n.fleet.cacheSynced = func() bool { return n.cacheResync.synced.Load() }
	n.fleet.setBounds(&cfg.Bounds)
	n.relay = &sagerelay.Service{
		Node: cfg.Node, MaxRelayed: int64(relayMemoryFraction*float64(cfg.MemoryMB)) << 20 / bytesPerRelayed,
		Dialect: n.Dialect, Fleet: n.fleet, Dial: n.Dial, SourceIP: cfg.SourceIP, Metrics: n.metrics, Log: n.Log.Component("relay"), Closing: n.closing.Load, Quarantine: &n.quarantine,
		SendsTrials:      func() bool { return n.quarantineRank() == 0 },
		MaxBufferedBytes: int64(bodyMemoryFraction*float64(cfg.MemoryMB)) << 20,
		Nodes:            n.knownNodeCount,
	}
}

// followRollouts creates the follower of the rollout orders. After a start, no request waits for the first
// listing; see [view.holdBackVersions].
func (n *Node) followRollouts(follow func(kind string, maxStalenessMillis int, apply func([]sagefollow.Change, bool)) *sagefollow.Follower) {
	f := follow(n.Kinds.Rollouts, orderStalenessFactor*n.Settings.Bounds.Rollouts.UndoWithinMillis, n.applyRollouts)
	f.Prober = n.copies[n.Kinds.Config]
	n.copies[n.Kinds.Rollouts] = f
	n.view.orderedVersions = make(versions)
	n.view.ordersPoint = f.Point
}

func (n *Node) makeCacheResync() {
	n.cacheResync = &cacheResync{
		Self: n.Settings.Node, DataCentre: n.Settings.DataCentre, FirstStart: n.Settings.FirstStart,
		Placer: n.fleet.placer, Peers: n.mesh.Live, Engines: n.engines, RegisteredNodes: n.registeredNodes,
		RegistrationDone: func() bool { return n.registeredNames.Load() != nil }, FetchHolders: n.fetcher.FetchHolders,
		Inspector: n.Inspector, Broadcast: func() { n.mesh.TriggerHeartbeats(true) }, OnLeaving: func(e *sageupstream.Entry) { n.fleet.RecordLeaving(e) }, PropagationInterval: n.propagationInterval, Log: n.Log.Component("recall"),
	}
}

// propagationInterval returns the time within which nodes that start together discover each other.
func (n *Node) propagationInterval() time.Duration {
	return min(n.mesh.Interval(), maxPropagationInterval)
}

// engines returns the engines that may receive requests, or false before the configuration and the upstreams are
// known.
func (n *Node) engines() ([]*sageupstream.Entry, bool) {
	table, set := n.fleet.Table(), n.view.upstreams.Load()
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

// listNotBefore returns the instant before which this node doesn't list a kind for the first time. Once the registered
// nodes are known, it follows from this node's position among them.
func (n *Node) listNotBefore() sageclock.Instant {
	if at := n.listAt.Load(); at != 0 {
		return sageclock.Instant(at)
	}
	if n.Settings.FirstStart {
		return n.startedAt.Add(maxFirstStartWait)
	}
	return n.startedAt.Add(registrationTimeout)
}

// listen opens the listeners and registers their servers. The entry server comes last, since the kernel stops
// services in reverse order.
func (n *Node) listen() error {
	cfg := &n.Settings
	peers := http.NewServeMux()
	n.copies.Handle(peers, int(cfg.LinkMbps))
	sagemesh.HandleHeld(peers, n.fleet.placer, n.Log.Component("mesh"))
	operator := http.NewServeMux()
	operator.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { n.metrics.WritePrometheus(w) })
	for _, l := range []struct {
		name, address string
		maxHeader     int
		handler       http.Handler
	}{
		{peersName, cfg.Listen.Mesh, maxPeerHeaderBytes, n.peerHandler(peers)},
		{"operator", cfg.Listen.Operator, maxHeaderBytes, operator},
		{"directory", cfg.Listen.Directory, maxHeaderBytes, n.Directory},
		{"readiness", cfg.Listen.Readiness, maxHeaderBytes, n.Readiness},
		{entryName, cfg.Listen.Entry, maxHeaderBytes, n.relay},
	} {
		if l.address == "" {
			continue
		}
		ln, err := net.Listen("tcp4", l.address)
		if err != nil {
			return fmt.Errorf("listen for %s: %w", l.name, err)
		}
		n.kernel.Register(l.name, &server{name: l.name, listener: ln, node: n, http: &http.Server{
			Handler: l.handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: l.maxHeader, ConnContext: sagerelay.ConnContext,
		}})
	}
	return nil
}

// peerHandler returns a handler for the address for other nodes: requests that they relay, and their own.
func (n *Node) peerHandler(own http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if sagerelay.RelayedByPeer(r) {
			n.relay.ServeRelayed(w, r)
			return
		}
		own.ServeHTTP(w, r)
	})
}

// Run serves until ctx ends, and returns after the graceful stop.
func (n *Node) Run(ctx context.Context) error {
	log := n.Log.Component("node")
	log.Info("Starting.", "data_centre", n.Settings.DataCentre, "entry", n.Settings.Listen.Entry)
	if err := n.kernel.Run(ctx); err != nil && !errors.Is(err, sagekernel.ErrStopTimeout) {
		return fmt.Errorf("run node: %w", err)
	}
	log.Info("Stopped.")
	return nil
}

// Reload applies the settings that may change at run time: the maximum age of keys, the limits on retries, the
// load cap, and added seeds. Changes of other settings take effect at the next start.
func (n *Node) Reload(cfg Settings) {
	n.fleet.setBounds(&cfg.Bounds)
	for _, a := range cfg.meshSeeds() {
		if err := n.mesh.AddPeer(a); err != nil {
			n.Log.Component("node").Warn("Seed ignored.", "address", a, "err", err)
		}
	}
}

// registeredNodes returns the names of the nodes in the store, or of the discovered nodes if the store wasn't
// listed yet.
func (n *Node) registeredNodes() []string {
	if p := n.registeredNames.Load(); p != nil {
		return *p
	}
	return n.mesh.KnownNodes()
}

// isolated reports whether this node has no contact with the others of its fleet.
func (n *Node) isolated() bool { return n.mesh.Peers() > 0 && n.mesh.LiveCount() == 0 }

// knownNodes returns the names of the discovered nodes and of those in the store. Limits of the whole fleet are divided by
// their number; after a start of all nodes it takes seconds until each has discovered all others.
func (n *Node) knownNodes() []string {
	names := n.mesh.KnownNodes()
	if p := n.registeredNames.Load(); p != nil && len(names) < len(*p) {
		names = append(names, *p...)
		slices.Sort(names)
		names = slices.Compact(names)
	}
	return names
}

// isLeaving reports whether this node has been asked to stop.
func (n *Node) isLeaving() bool { return n.closing.Load() != nil }

// Ready reports whether this node can serve callers.
func (n *Node) Ready() bool {
	return !n.isLeaving() && n.fleet.Table() != nil && n.view.upstreams.Load() != nil && n.fleet.Fresh()
}
