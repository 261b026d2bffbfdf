package sagerouter

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"sagestand.example/sagestand/internal/sagefollow"
	"sagestand.example/sagestand/pkg/sageclock"
)

// Times of the registration.
const (
	registerTimeout    = 2 * time.Second
	registerRetryDelay = 500 * time.Millisecond
	// firstListDelay is how long a node of a new fleet waits after its registration for the others to register.
	firstListDelay = time.Second
	// maxStaleLists is how many times such a node accepts a list without its own entry as outdated. Then it asks for the
	// present one, which costs ten times as much.
	maxStaleLists = 6
	// registrationInterval is the mean time between the writes of two nodes that register again at the same time, within
	// the usual rate of the store.
	registrationInterval = 2500 * time.Microsecond
)

// errOutdatedList reports a list of the registered nodes from before this node's registration.
var errOutdatedList = errors.New("list of nodes is outdated")

// nodeEntry is the store object by which nodes find each other.
type nodeEntry struct {
	Mesh       string `json:"mesh"`
	DataCentre string `json:"data_centre"`
	LinkMbps   int    `json:"link_mbps,omitempty"`
}

// registrar registers this node in the store and lists the other registered nodes.
//
// A restarted node is usually still registered and finds that out from an outdated list, which costs little when a large
// fleet restarts. A node that isn't registered lists again after its registration: of two that start at the same time,
// at least one finds the other in the list and sends it a heartbeat, by which the other one discovers it.
type registrar struct {
	node       *Node
	staleLists int
	// isFirst is set for the first process of a node of a new fleet. No other process can have spent its share of a limit.
	isFirst bool
}

// Run registers the node, with retries, and returns when ctx ends.
func (r *registrar) Run(ctx context.Context) error {
	if r.node.Settings.FirstStart {
		r.retry(ctx, r.create)
		sageclock.Sleep(ctx, firstListDelay)
	}
	r.retry(ctx, r.register)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.node.restored:
			sageclock.Sleep(ctx, rand.N(r.restoreSpread()))
			r.retry(ctx, r.create)
			r.node.Log.Component("members").Info("Registered after a restore of the store.")
		}
	}
}

// restoreSpread returns the time over which the nodes of the fleet register again after a restore of the store.
func (r *registrar) restoreSpread() time.Duration {
	return max(1, time.Duration(len(r.node.knownNodes()))*registrationInterval)
}

// retry calls f until it succeeds or ctx ends.
func (r *registrar) retry(ctx context.Context, f func(ctx context.Context) error) {
	for ctx.Err() == nil {
		err := withTimeout(ctx, registerTimeout, f)
		if err == nil {
			return
		}
		r.node.Log.Component("members").Warn("Registration failed.", "err", err)
		sageclock.Sleep(ctx, registerRetryDelay)
	}
}

func withTimeout(ctx context.Context, d time.Duration, f func(ctx context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	return f(ctx)
}

// register makes one attempt to list the registered nodes, and to register this one if it isn't among them.
func (r *registrar) register(ctx context.Context) error {
	n := r.node
	entries, err := r.list(ctx, n.Store.ListStale)
	if err != nil {
		return err
	}
	if !r.isRegistered(entries) {
		if r.staleLists++; n.Settings.FirstStart && r.staleLists <= maxStaleLists {
			return errOutdatedList
		}
		if e, ok := entries[n.Settings.Node]; ok && !e.isUsable() {
			if err := n.Store.Delete(ctx, n.Kinds.Nodes, n.Settings.Node); err != nil {
				return fmt.Errorf("delete unusable entry: %w", err)
			}
		}
		if err := r.create(ctx); err != nil {
			return err
		}
		if entries, err = r.list(ctx, n.Store.List); err != nil {
			return err
		}
	}
	r.apply(entries)
	return nil
}

// apply adds the registered nodes as peers. It sends them a heartbeat immediately, since their replies would otherwise
// come up to one interval later.
func (r *registrar) apply(entries map[string]nodeEntry) {
	n := r.node
	for name, e := range entries {
		if err := n.mesh.AddPeer(e.Mesh); err != nil {
			n.Log.Component("members").Warn("Node entry has an invalid address.", "name", name, "err", err)
		}
	}
	delay := min(time.Duration(r.position(entries))*listDelayPerRank, maxListDelay)
	n.listAt.Store(int64(sageclock.Now().Add(delay)))
	names := slices.Collect(maps.Keys(entries))
	n.registeredNames.Store(&names)
	n.nodeCount.reset()
	if r.isFirst {
		n.fleet.grantRetries()
	}
	n.mesh.TriggerHeartbeats(true)
}

// position returns the number of registered nodes that list the kinds before this one after a start of all: those with
// faster links, over which the others fetch the content, and some of those with equal links.
func (r *registrar) position(entries map[string]nodeEntry) int {
	self := r.node.Settings.Node
	before := 0
	for name, e := range entries {
		if name != self && cmp.Or(cmp.Compare(e.LinkMbps, r.entry().LinkMbps), cmp.Compare(xxhash.Sum64String(name), xxhash.Sum64String(self))) > 0 {
			before++
		}
	}
	return before
}

// create writes this node's entry to the store.
func (r *registrar) create(ctx context.Context) error {
	n := r.node
	spec, err := json.Marshal(r.entry())
	if err != nil {
		return fmt.Errorf("encode entry: %w", err)
	}
	created, err := n.Store.Create(ctx, n.Kinds.Nodes, n.Settings.Node, spec)
	if err != nil {
		return fmt.Errorf("register node: %w", err)
	}
	r.isFirst = r.isFirst || created && n.Settings.FirstStart
	return nil
}

func (r *registrar) entry() nodeEntry {
	cfg := &r.node.Settings
	return nodeEntry{Mesh: cfg.Listen.Mesh, DataCentre: cfg.DataCentre, LinkMbps: int(cfg.LinkMbps)}
}

// isRegistered reports whether this node is among the entries with its present address.
func (r *registrar) isRegistered(entries map[string]nodeEntry) bool {
	e, ok := entries[r.node.Settings.Node]
	return ok && e.Mesh == r.entry().Mesh && e.DataCentre == r.entry().DataCentre
}

// isUsable reports whether the entry has an address to which heartbeats can be sent.
func (e *nodeEntry) isUsable() bool {
	_, err := netip.ParseAddrPort(e.Mesh)
	return err == nil
}

// list returns the entries of the registered nodes by name. Those that can't be decoded are empty.
func (r *registrar) list(ctx context.Context, read sagefollow.PageReader) (map[string]nodeEntry, error) {
	d, err := sagefollow.ListAll(ctx, read, r.node.Kinds.Nodes)
	if err != nil {
		return nil, fmt.Errorf("list nodes: %w", err)
	}
	entries := make(map[string]nodeEntry, len(d.Changes))
	for _, c := range d.Changes {
		var e nodeEntry
		if err := json.Unmarshal(c.Object.Spec, &e); err != nil {
			r.node.Log.Component("members").Warn("Node entry can't be decoded.", "name", c.Object.Name, "err", err)
		}
		entries[c.Object.Name] = e
	}
	return entries, nil
}
