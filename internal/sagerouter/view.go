package sagerouter

import (
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"sagestand.example/sagestand/internal/sagefollow"
	"sagestand.example/sagestand/internal/sagelog"
	"sagestand.example/sagestand/pkg/sagechain"
	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/pkg/sageorigin"
	"sagestand.example/sagestand/pkg/sagerollout"
	"sagestand.example/sagestand/pkg/sageroute"
	"sagestand.example/sagestand/pkg/sageupstream"
)

// Kinds holds the names of the kinds of objects in the store.
type Kinds struct {
	Config    string
	Upstreams string
	// ClosedDataCentres are the data centres that are out of service.
	ClosedDataCentres string
	// Rollouts are the orders to move a service to another version.
	Rollouts string
	// Quarantines are the requests that crash upstreams. The nodes write these objects themselves.
	Quarantines string
	// Claims say at which versions streams began. The nodes write these objects themselves.
	Claims string
	// Snapshots are the records of open streams. The nodes write these objects themselves.
	Snapshots string
	// Nodes are the registered nodes. The nodes write these objects themselves.
	Nodes string
}

// Decoder decodes the platform's objects.
type Decoder interface {
	// Config decodes the configuration. It returns false if the object is not the configuration.
	Config(o sagefollow.Object) (*sageroute.Table, bool, error)
	// Upstream decodes an upstream's entry.
	Upstream(o sagefollow.Object, now sageclock.Instant) (sageupstream.Entry, error)
	// Rollout decodes a rollout order.
	Rollout(o sagefollow.Object, now sageclock.Instant) (sagerollout.Order, error)
	// RolloutStatus encodes the status of a rollout to the version target.
	RolloutStatus(s sagerollout.State, target string) (json.RawMessage, error)
}

// view is the node's current view of the configuration and the upstreams.
type view struct {
	decoder Decoder
	log     sagelog.Logger
	placer  *sagechain.Placer
	// onRestart is called with the ID of an upstream that has started again; may be nil.
	onRestart func(upstream string)
	// ordersPoint returns the point up to which the rollout orders are known; nil if rollouts are disabled.
	ordersPoint func() sagefollow.Point

	table     atomic.Pointer[sageroute.Table]
	upstreams atomic.Pointer[sageupstream.Set]

	mu                sync.Mutex
	registry          sageupstream.Registry
	upstreamsListed   bool
	closedDataCentres map[string]bool // nil before the data centres were listed
	orderedVersions   versions
	arrivals          versionArrivals
	versionsHeldBack  bool // some upstreams are excluded because of their version
	// awaitsClaims is set until the claims in the store have been read for the first time, or couldn't be. No set of upstreams is
	// published before.
	awaitsClaims bool
	claimsWake   chan struct{} // receives a value when versions wait for their admission; nil if they need none
	firstClaims  *storedClaims // until the first listing of the upstreams
	// firstClaimsUsed is set once the versions of that listing have been compared with firstClaims.
	firstClaimsUsed bool

	// history records which versions streams may have begun at.
	history sageorigin.History
	// newVersionDelay returns how long a version that is new to this node gets no requests while others serve; nil
	// means not at all. It is set before use.
	newVersionDelay func() time.Duration
}

// applyConfig applies changes of the configuration.
//
// A version lower than the present one is ignored, since a delayed answer of the store or a peer may be outdated.
// A configuration that can't be decoded leaves the present one in force.
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
		v.history.SetRoutes(sageclock.Now(), resumableRoutes(t))
		v.republish() // versions that now need an admission are held back before the routes are in force
		first := v.table.Swap(t) == nil
		if first {
			v.republish()
		}
		v.log.Info("Configuration in force.", "version", t.Version, "revision", c.Object.Revision, "era", c.Object.Era)
	}
}

// applyUpstreams applies changes of the upstreams. afterOutage says that they come after an outage of the store.
func (v *view) applyUpstreams(changes []sagefollow.Change, afterOutage bool) {
	now := sageclock.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	if afterOutage {
		v.registry.StoreUnreachable()
		v.registry.StoreReachable(now)
	}
	v.upstreamsListed = true
	for _, c := range changes {
		if c.Deleted {
			v.registry.Delete(now, c.Object.Name)
			v.log.Info("Upstream entry deleted.", "upstream", c.Object.Name, "revision", c.Object.Revision, "era", c.Object.Era, "after_outage", afterOutage, "lost", c.Lost)
			continue
		}
		e, err := v.decoder.Upstream(c.Object, now)
		if err != nil {
			v.registry.Delete(now, c.Object.Name)
			v.log.Warn("Upstream entry can't be decoded.", "name", c.Object.Name, "revision", c.Object.Revision, "err", err)
			continue
		}
		e.Created = c.Object.Created
		v.putUpstream(e, c.Object.Point())
	}
	v.log.Info("Upstreams changed.", "changes", len(changes), "after_outage", afterOutage)
	v.publish()
}

// putUpstream applies one upstream's entry and logs the change. Lines on new upstreams are limited: when a large fleet
// starts, thousands of entries arrive in a second.
//
// Entries of an earlier start of the upstream are ignored: a write whose answer was lost may be executed seconds
// later, after the next start has registered under the same ID.
//
// The cached parts of an upstream are dropped only if a new start or address replaces a known one. One that is
// merely new to this node, at the first listing or after a lapse, keeps the parts that peers have reported;
// otherwise its prompts would be processed again elsewhere.
func (v *view) putUpstream(e sageupstream.Entry, at sagefollow.Point) {
	old := v.upstreams.Load().Get(e.ID)
	if old != nil && e.Born < old.Born {
		v.log.Info("Upstream entry of an earlier start ignored.", "upstream", e.ID, "revision", at.Revision)
		return
	}
	if reachable := v.upstreams.Load().Reachable(sageclock.Now(), e.ID); reachable != nil && (reachable.Born != e.Born || reachable.Address != e.Address) {
		v.placer.Forget(e.ID) // a new start has an empty cache
		if v.onRestart != nil && reachable.Born != e.Born {
			v.onRestart(e.ID)
		}
	}
	e.Draining = e.Draining || v.registry.LeaveAnnounced(&e)
	if old == nil || old.Draining != e.Draining || (old.ColdUntil == 0) != (e.ColdUntil == 0) {
		kv := []any{"upstream", e.ID, "service", e.Service, "address", e.Address, "data_centre", e.DataCentre, "version", e.Version,
			"draining", e.Draining, "cold", e.ColdUntil != 0, "revision", at.Revision, "era", at.Era}
		if old == nil {
			v.log.Limited(sagelog.KindStateChange, "Upstream.", kv...)
		} else {
			v.log.Info("Upstream.", kv...)
		}
	}
	e.Era, e.Revision = at.Era, at.Revision
	if old != nil && old.Born == e.Born {
		e.Era, e.Revision = old.Era, old.Revision
	}
	v.registry.Put(e)
}

// recordLeaving applies an upstream's announcement that it leaves, and reports whether it is new.
func (v *view) recordLeaving(start *sageupstream.Entry) bool {
	if v.upstreams.Load().LeaveAnnounced(start) {
		return false
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.registry.AnnounceLeaving(sageclock.Now(), start) {
		return false
	}
	v.publish()
	return true
}

// applyClosed applies changes of the data centres that are out of service.
func (v *view) applyClosed(changes []sagefollow.Change, _ bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	closed := make(map[string]bool, len(v.closedDataCentres)+1)
	for dc := range v.closedDataCentres {
		closed[dc] = true
	}
	for _, c := range changes {
		if c.Deleted {
			delete(closed, c.Object.Name)
		} else {
			closed[c.Object.Name] = true
		}
		v.log.Info("Data centre changed.", "data_centre", c.Object.Name, "in_service", c.Deleted, "revision", c.Object.Revision, "era", c.Object.Era)
	}
	v.closedDataCentres = closed
	v.registry.SetClosedDataCentres(closed)
	v.publish()
}

// expireLapsed records whether the store is reachable, and drops entries that lapsed during an outage and were not
// renewed after it.
//
// The end of an outage is recorded here, and not only in applyUpstreams, since the first answer after it may
// concern another kind of object. Otherwise every later deletion of an upstream would count as a lapse.
func (v *view) expireLapsed(storeUnreachable bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := sageclock.Now()
	if storeUnreachable {
		v.registry.StoreUnreachable()
	} else {
		v.registry.StoreReachable(now)
	}
	if v.registry.ExpireLapsed(now) || v.versionsHeldBack {
		v.publish()
	}
	for _, id := range v.registry.TakeStopped(now) {
		v.placer.Forget(id)
	}
}

// republish publishes again after a change of what the versions depend on.
func (v *view) republish() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.publish()
}

// publish makes the present set of upstreams visible to requests.
//
// Until the data centres that are out of service are known, no set is published: a started node must not send
// requests to such a data centre.
func (v *view) publish() {
	if v.upstreamsListed && v.closedDataCentres != nil && !v.awaitsClaims {
		if v.arrivals == nil {
			v.arrivals = make(versionArrivals)
		}
		now := sageclock.Now()
		v.holdBackVersions(now)
		if v.upstreams.Load() == nil && v.awaitsAdmission(now) {
			return
		}
		v.upstreams.Store(v.registry.Snapshot())
	}
}
