package sagerouter

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"sagestand.example/sagestand/internal/sagemesh"
	"sagestand.example/sagestand/pkg/sagebrittle"
	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/pkg/sageupstream"
)

const (
	// dealDuration is how long the order of upstreams and nodes is reused by which places are dealt.
	dealDuration = 200 * time.Millisecond
	// placeWaitFraction is the fraction of a route's objective for which a request may wait for a place.
	placeWaitFraction = 0.25
)

// brittleUpstreams holds the limits of brittle upstreams and how their places are dealt to the nodes.
type brittleUpstreams struct {
	limits sagebrittle.Limits[sageupstream.Start]

	mu    sync.Mutex
	deals map[string]*deal // by service
}

// deal is the order by which the places of a service are dealt.
type deal struct {
	until        sageclock.Instant
	offsets      map[string]int // by upstream
	nodes, index int
	places       int // of this node in the service
}

// dealOf returns the present deal of a service.
func (f *fleet) dealOf(now sageclock.Instant, service string) *deal {
	f.brittle.mu.Lock()
	defer f.brittle.mu.Unlock()
	if d := f.brittle.deals[service]; d != nil && now < d.until {
		return d
	}
	d := &deal{until: now.Add(dealDuration), offsets: make(map[string]int)}
	for _, n := range f.peersWithPath(now, service).nodes {
		d.nodes++
		if n < f.self {
			d.index++
		}
	}
	d.nodes++
	es := slices.Clone(f.view.upstreams.Load().Available(service))
	slices.SortFunc(es, func(a, b *sageupstream.Entry) int { return strings.Compare(a.ID, b.ID) })
	offset := 0
	for _, e := range es {
		d.offsets[e.ID] = offset
		offset += sagebrittle.FullLimit(e.Slots)
	}
	for _, e := range es {
		d.places += f.brittle.limits.Places(now, d.request(e))
	}
	if f.brittle.deals == nil {
		f.brittle.deals = make(map[string]*deal)
	}
	f.brittle.deals[service] = d
	return d
}

// request describes a request for a place at an upstream.
func (d *deal) request(e *sageupstream.Entry) *sagebrittle.Request[sageupstream.Start] {
	return &sagebrittle.Request[sageupstream.Start]{
		Service: e.Service, Upstream: e.Start(), Name: e.ID, Slots: e.Slots, Offset: d.offsets[e.ID], Nodes: d.nodes, Index: d.index,
	}
}

// acquirePlace takes a place at an upstream if its service is brittle; false if there is none.
func (f *fleet) acquirePlace(now sageclock.Instant, e *sageupstream.Entry) (sagebrittle.Place[sageupstream.Start], bool) {
	if !f.brittle.limits.Active(now, e.Service) {
		return sagebrittle.Place[sageupstream.Start]{}, true
	}
	return f.brittle.limits.Acquire(now, f.dealOf(now, e.Service).request(e))
}

// RecordBrittle implements [sagerelay.Fleet].
func (f *fleet) RecordBrittle(u *sageupstream.Entry, maxDeclines int) bool {
	return f.brittle.limits.Announce(sageclock.Now(), u.Service, maxDeclines, 0)
}

// AdmitAccount implements [sagerelay.Fleet]. Where capacity is divided, the shares of the accounts hold already.
func (f *fleet) AdmitAccount(service, account string) (func(), bool) {
	now := sageclock.Now()
	if f.dividesCapacity(service) || !f.brittle.limits.Active(now, service) {
		return func() {}, true
	}
	return f.brittle.limits.Admit(now, service, account, f.dealOf(now, service).places)
}

// AwaitPlace implements [sagerelay.Fleet].
func (f *fleet) AwaitPlace(ctx context.Context, service string, objective time.Duration) bool {
	now := sageclock.Now()
	if !f.brittle.limits.Active(now, service) {
		return false
	}
	released, end, ok := f.brittle.limits.AwaitRelease(now, service, f.dealOf(now, service).places)
	if !ok {
		return false
	}
	defer end()
	t := time.NewTimer(time.Duration(placeWaitFraction * float64(objective)))
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-released:
		return true
	}
	return false
}

// mergeBrittle applies what another node says of brittle upstreams.
func (n *Node) mergeBrittle(now sageclock.Instant, h *sagemesh.Heartbeat) {
	if len(h.Brittle) == 0 && len(h.Limits) == 0 {
		return
	}
	set := n.view.upstreams.Load()
	serviceOf := func(upstream string) string {
		if e := set.Get(upstream); e != nil {
			return e.Service
		}
		return ""
	}
	for _, s := range n.fleet.brittle.limits.Merge(now, h.Brittle, h.Limits, serviceOf) {
		n.Log.Component("view").Info("Node reports brittle upstreams.", "service", s, "from", h.Node)
	}
}
