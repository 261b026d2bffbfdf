package sagerouter

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/pkg/errors"

	"sagestand.example/sagestand/internal/sageorigind"
	"sagestand.example/sagestand/internal/sagerelay"
	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/pkg/sageorigin"
	"sagestand.example/sagestand/pkg/sageroute"
	"sagestand.example/sagestand/pkg/sageupstream"
)

// makeOrigins creates the service that knows where streams began.
func (n *Node) makeOrigins() {
	if n.Settings.FirstStart {
		n.view.history.SetComplete()
	}
	n.claimKeeper = &claimKeeper{
		Kind: n.Kinds.Claims, View: n.view, Store: n.Store, Fresh: n.upstreamsFresh, Era: n.storeEra.Load, Log: n.Log.Component("origins"),
		Writes: func() bool { return !n.isLeaving() && n.mesh.Rank(n.copies[n.Kinds.Upstreams].Failing()) == 0 },
		Spread: func() time.Duration { return time.Duration(len(n.knownNodes())) * registrationInterval },
	}
	n.view.awaitsClaims, n.view.claimsWake = true, make(chan struct{}, 1)
	n.origins = &sageorigind.Service{
		Self: n.Settings.Listen.Mesh, History: &n.view.history, Nodes: n.recordHolders, Send: n.mesh.SendMessage,
		Fresh: n.upstreamsFresh, ProvenAt: n.copies[n.Kinds.Upstreams].Proof.At, Refresh: n.refreshUpstreams, RecoversUntil: n.recovery.until,
		ReadSaved: n.recovery.readSaved, LostAt: n.recovery.lastLoss, FleetSize: func() int { return n.mesh.LiveCount() + 1 },
		Writers: n.recordWriters, ReadClaims: n.claimKeeper.claims, Metrics: n.metrics, Log: n.Log.Component("origins"),
	}
	n.mesh.OnMessage = n.origins.Handle
	n.relay.Origins = n.origins
	n.view.newVersionDelay = n.newVersionDelay
	n.copies[n.Kinds.Upstreams].OnGap = func() { n.view.history.RecordGap(sageclock.Now()) }
	n.copies[n.Kinds.Upstreams].MaxGap = func() time.Duration { return n.maxSoleProofAge() + newVersionMargin }
}

// errStoreFails reports that this node's last call to the store failed.
var errStoreFails = errors.New("store does not answer")

// refreshUpstreams reads the upstreams from the store. While the store doesn't answer this node's polls, it isn't called for each return.
func (n *Node) refreshUpstreams(ctx context.Context) error {
	f := n.copies[n.Kinds.Upstreams]
	if f.Failing() {
		return errStoreFails
	}
	if err := f.Refresh(ctx); err != nil {
		return fmt.Errorf("refresh upstreams: %w", err)
	}
	return nil
}

// upstreamsFresh reports whether this node's copy of the upstreams is so recent that it knows the versions that get requests beside others.
func (n *Node) upstreamsFresh() bool {
	return n.copies[n.Kinds.Upstreams].Proof.Age(sageclock.Now()) <= n.maxSoleProofAge()
}

// recordHolders returns the nodes of this region, to which a caller may return.
func (n *Node) recordHolders() []sageorigin.Holder {
	cfg := &n.Settings
	out := []sageorigin.Holder{{Address: cfg.Listen.Mesh, DataCentre: cfg.DataCentre}}
	for _, m := range n.mesh.Live() {
		if m.Region == cfg.Region {
			out = append(out, sageorigin.Holder{Address: m.Address, DataCentre: m.DataCentre})
		}
	}
	return out
}

// recoversRecords reports whether this node recovers records for its region, to whose nodes callers return.
func (n *Node) recoversRecords() bool {
	return !n.isLeaving() && n.mesh.RegionRank(n.copies[n.Kinds.Upstreams].Failing()) == 0
}

// recordWriters returns the nodes that write records to the store for all.
func (n *Node) recordWriters() []sageorigin.Holder {
	nodes := n.mesh.Writers(n.copies[n.Kinds.Upstreams].Failing())
	out := make([]sageorigin.Holder, min(maxWriters, len(nodes)))
	for i := range out {
		out[i] = sageorigin.Holder{Address: nodes[i].Address, DataCentre: nodes[i].DataCentre}
	}
	return out
}

// resumableRoutes returns the services of the routes on which callers may return, by name.
func resumableRoutes(t *sageroute.Table) map[string][]string {
	out := make(map[string][]string)
	t.Each(func(r *sageroute.Route) {
		if r.Kind != sageroute.Stream || !r.Resumable {
			return
		}
		for _, w := range r.Services {
			out[r.Name] = append(out[r.Name], w.Service)
		}
	})
	return out
}

// originUpstreams returns the available upstreams at which a stream may go on. A version that was rolled back gets no
// requests, and if a version isn't known, only a service without any versions may go on.
func (f *fleet) originUpstreams(set *sageupstream.Set, q *sagerelay.Query) []*sageupstream.Entry {
	o := q.Origin
	if f.withdrawn(set, o.Service, o.Version) {
		return nil
	}
	if sole, ok := f.view.history.Sole(sageclock.Now(), q.Route); o.Version == "" && (!ok || sole != *o) {
		return nil
	}
	var out []*sageupstream.Entry
	for _, e := range set.Available(o.Service) {
		if e.Version == o.Version {
			out = append(out, e)
		}
	}
	return out
}

// HasAnother implements [sagerelay.Fleet].
func (f *fleet) HasAnother(q *sagerelay.Query) bool {
	set, now := f.view.upstreams.Load(), sageclock.Now()
	es := set.Available(q.Service)
	if q.Origin != nil {
		es = f.originUpstreams(set, q)
	}
	return slices.ContainsFunc(es, func(e *sageupstream.Entry) bool {
		return !slices.Contains(q.Tried, e.ID) && f.pauses.PausedUntil(now, e.Start()) == 0
	})
}

// Serves implements [sagerelay.Fleet].
func (f *fleet) Serves(o sageorigin.Origin) bool {
	set := f.view.upstreams.Load()
	if f.withdrawn(set, o.Service, o.Version) {
		return false
	}
	for _, e := range set.All(o.Service) {
		if e.Version == o.Version && !e.Draining {
			return true
		}
	}
	return false
}

// ChangedVersion implements [sagerelay.Fleet].
func (f *fleet) ChangedVersion(u *sageupstream.Entry) bool {
	current := f.view.upstreams.Load().Get(u.ID)
	return current != nil && current.Start() != u.Start() && (current.Version != u.Version || current.Service != u.Service)
}
