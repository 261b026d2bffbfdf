package sagerouter

import (
	"encoding/json"
	"sync"
	"sync/atomic"

	"sagestand.example/sagestand/internal/sagefollow"
	"sagestand.example/sagestand/internal/sagelog"
	"sagestand.example/sagestand/pkg/sagechain"
	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/pkg/sagerollout"
	"sagestand.example/sagestand/pkg/sageroute"
	"sagestand.example/sagestand/pkg/sageupstream"
)

// Kinds are the names of the kinds of objects in the store.
type Kinds struct {
	Config    string
	Upstreams string
	// Closed are the data centres that are out of service.
	ClosedDataCentres string
	// Rollouts are the orders to move a service to another version.
	Rollouts string
	// Quarantines are the requests that crash upstreams, this system's own.
	Quarantines string
	// Nodes are this system's own entries.
	Nodes string
}

// Decoder reads the objects of the kinds.
type Decoder interface {
	// Config reads the configuration; false if the object is not the configuration.
	Config(o sagefollow.Object) (*sageroute.Table, bool, error)
	// Upstream reads an upstream's entry.
	Upstream(o sagefollow.Object, now sageclock.Instant) (sageupstream.Entry, error)
	// Rollout reads a rollout order.
	Rollout(o sagefollow.Object, now sageclock.Instant) (sagerollout.Order, error)
	// RolloutStatus writes how far a rollout to a version is.
	RolloutStatus(s sagerollout.State, target string) (json.RawMessage, error)
}

// view is what the node believes of configuration and upstreams.
type view struct {
	decoder Decoder
	log     sagelog.Logger
	placer  *sagechain.Placer
	// ordersAsOf is the revision up to which the rollout orders are known; nil if there are none.
	ordersAsOf func() uint64

	table atomic.Pointer[sageroute.Table]
	set   atomic.Pointer[sageupstream.Set]

	mu       sync.Mutex
	registry sageupstream.Registry
	listed   bool            // the upstreams were listed
	closed   map[string]bool // nil before the data centres were listed
	known    versions
	holding  bool // upstreams are held back for their version
}

// applyConfig takes changes of the configuration in.
//
// It guards against a configuration that goes back: versions only rise, whatever the store or a peer
// answers. One that can't be read leaves the last in force.
func (v *view) applyConfig(changes []sagefollow.Change, _ bool) {
	for _, c := range changes {
		if c.Deleted {
			continue
		}
		t, ok, err := v.decoder.Config(c.Object)
		if err != nil {
			v.log.Error("Configuration can't be read; the last one stays in force.", "revision", c.Object.Revision, "err", err)
			continue
		}
		if old := v.table.Load(); !ok || old != nil && t.Version < old.Version {
			continue
		}
		v.table.Store(t)
		v.log.Info("Configuration in force.", "version", t.Version, "revision", c.Object.Revision)
	}
}

// applyUpstreams takes changes of upstreams in.
func (v *view) applyUpstreams(changes []sagefollow.Change, returned bool) {
	now := sageclock.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	if returned {
		v.registry.StoreUnreachable()
		v.registry.StoreReachable(now)
	}
	v.listed = true
	for _, c := range changes {
		if c.Deleted {
			v.registry.Delete(now, c.Object.Name)
			v.log.Info("Upstream's entry is gone.", "upstream", c.Object.Name, "revision", c.Object.Revision, "after_outage", returned)
			continue
		}
		e, err := v.decoder.Upstream(c.Object, now)
		if err != nil {
			v.registry.Delete(now, c.Object.Name)
			v.log.Warn("Entry names no upstream.", "name", c.Object.Name, "revision", c.Object.Revision, "err", err)
			continue
		}
		v.put(e, c.Object.Revision)
	}
	v.publish()
}

// put takes one entry in and logs what it changes.
//
// It guards against an earlier start of an upstream: a write of it whose answer was lost may be
// executed seconds later, when the next start has registered itself under the same id. And it guards
// against prompts that are read again because this node forgot who holds them: an upstream that is
// merely new to it, at the first listing or after a lapse, holds what the other nodes said it does.
func (v *view) put(e sageupstream.Entry, revision uint64) {
	old := v.set.Load().Get(e.ID)
	if old != nil && e.Born < old.Born {
		v.log.Info("Entry of an earlier start ignored.", "upstream", e.ID, "revision", revision)
		return
	}
	if last := v.set.Load().Reachable(sageclock.Now(), e.ID); last != nil && (last.Born != e.Born || last.Address != e.Address) {
		v.placer.Forget(e.ID) // a new start has an empty cache
	}
	if old == nil || old.Draining != e.Draining || (old.ColdUntil == 0) != (e.ColdUntil == 0) {
		v.log.Info("Upstream.", "upstream", e.ID, "service", e.Service, "address", e.Address, "data_centre", e.DataCentre, "version", e.Version,
			"draining", e.Draining, "cold", e.ColdUntil != 0, "revision", revision)
	}
	e.Revision = revision
	if old != nil && old.Born == e.Born {
		e.Revision = old.Revision
	}
	v.registry.Put(e)
}

// applyClosed takes changes of the data centres out of service in.
func (v *view) applyClosed(changes []sagefollow.Change, _ bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	closed := make(map[string]bool, len(v.closed)+1)
	for dc := range v.closed {
		closed[dc] = true
	}
	for _, c := range changes {
		if c.Deleted {
			delete(closed, c.Object.Name)
		} else {
			closed[c.Object.Name] = true
		}
		v.log.Info("Data centre.", "data_centre", c.Object.Name, "in_service", c.Deleted, "revision", c.Object.Revision)
	}
	v.closed = closed
	v.registry.SetClosedDataCentres(closed)
	v.publish()
}

// settle notes whether the store is out of sight, and drops entries that lapsed in an outage and
// stayed missing.
//
// It guards against an outage that never ends: the first answer after it may be one about another
// kind, and every later deletion of an upstream would count as a lapse.
func (v *view) settle(away bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := sageclock.Now()
	if away {
		v.registry.StoreUnreachable()
	} else {
		v.registry.StoreReachable(now)
	}
	if v.registry.ExpireLapsed(now) || v.holding {
		v.publish()
	}
	for _, id := range v.registry.TakeStopped(now) {
		v.placer.Forget(id)
	}
}

// publish makes the present view the one that requests see.
//
// It guards against a started node that sends to a data centre that is out of service: as long as it
// doesn't know which are, it knows no upstream.
func (v *view) publish() {
	if v.listed && v.closed != nil {
		v.hold()
		v.set.Store(v.registry.Snapshot())
	}
}
