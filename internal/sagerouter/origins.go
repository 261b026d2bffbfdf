package sagerouter

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"sagestand.example/sagestand/internal/sagefollow"
	"sagestand.example/sagestand/internal/sagelog"
	"sagestand.example/sagestand/internal/sageorigind"
	"sagestand.example/sagestand/internal/sagerelay"
	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/pkg/sageorigin"
	"sagestand.example/sagestand/pkg/sageroute"
	"sagestand.example/sagestand/pkg/sageupstream"
)

// Times of the departed versions in the store.
const (
	departureInterval = 200 * time.Millisecond
	// departureTimeout limits one call. After a failed one nothing is written for departureRetryDelay.
	departureTimeout    = time.Second
	departureRetryDelay = 2 * time.Second
)

// errDepartureSpec reports a departure in the store that can't be read.
var errDepartureSpec = errors.New("departure names no service")

// departureSpec is the content of a departure object.
type departureSpec struct {
	Service string `json:"service"`
	Version string `json:"version"`
}

// makeOrigins creates the service that knows where streams began.
func (n *Node) makeOrigins() {
	if n.Settings.FirstStart {
		n.view.history.SetComplete()
	}
	n.origins = &sageorigind.Service{
		Self: n.Settings.Listen.Mesh, History: &n.view.history, Nodes: n.recordHolders, Send: n.mesh.SendMessage,
		Fresh: func() bool {
			return n.copies[n.Kinds.Upstreams].Proof.Age(sageclock.Now()) <= n.maxSoleProofAge()
		},
		ListDepartures: n.listDepartures, Metrics: n.metrics, Log: n.Log.Component("origins"),
	}
	n.mesh.OnMessage = n.origins.Handle
	n.relay.Origins = n.origins
	n.view.newVersionDelay = func() time.Duration { return n.maxSoleProofAge() + newVersionMargin }
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

// listDepartures reads the versions that departed of late from the store.
func (n *Node) listDepartures(ctx context.Context) ([]sageorigin.Origin, error) {
	ctx, cancel := context.WithTimeout(ctx, departureTimeout)
	defer cancel()
	d, err := sagefollow.ListAll(ctx, n.Store.List, n.Kinds.Departures)
	if err != nil {
		return nil, fmt.Errorf("list departed versions: %w", err)
	}
	var out []sageorigin.Origin
	for _, c := range d.Changes {
		var s departureSpec
		if err := json.Unmarshal(c.Object.Spec, &s); err != nil || s.Service == "" {
			return nil, fmt.Errorf("departed version %q: %w", c.Object.Name, errDepartureSpec)
		}
		out = append(out, sageorigin.Origin{Service: s.Service, Version: s.Version})
	}
	return out, nil
}

// departureWriter keeps the versions that departed of late in the store, where they survive a restart of all nodes.
// Exported fields are set before Run.
type departureWriter struct {
	Kind    string
	History *sageorigin.History
	Store   Store
	// Writes reports whether this node is the one that writes.
	Writes func() bool
	Log    sagelog.Logger

	written map[sageorigin.Origin]bool
	ended   map[sageorigin.Origin]bool // to be deleted
}

// Run writes until ctx ends.
func (w *departureWriter) Run(ctx context.Context) error {
	t := time.NewTicker(departureInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
		if err := w.write(ctx, sageclock.Now()); err != nil {
			w.Log.Limited(sagelog.KindStateChange, "Departed versions not written.", "err", err)
			sageclock.Sleep(ctx, departureRetryDelay)
		}
	}
}

// write writes the differences between the store and what this node knows.
func (w *departureWriter) write(ctx context.Context, now sageclock.Instant) error {
	if w.written == nil {
		w.written, w.ended = make(map[sageorigin.Origin]bool), make(map[sageorigin.Origin]bool)
	}
	recent, ended := w.History.Departures(now)
	writes := w.Writes()
	for _, o := range ended {
		delete(w.written, o)
		if writes {
			w.ended[o] = true
		}
	}
	if !writes {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, departureTimeout)
	defer cancel()
	for i := range recent {
		if err := w.create(ctx, now, &recent[i]); err != nil {
			return err
		}
	}
	for o := range w.ended {
		if err := w.Store.Delete(ctx, w.Kind, departureName(o)); err != nil {
			return fmt.Errorf("delete departed version: %w", err)
		}
		delete(w.ended, o)
	}
	return nil
}

// create writes a departed version, unless this node has done so before.
func (w *departureWriter) create(ctx context.Context, now sageclock.Instant, d *sageorigin.Departure) error {
	delete(w.ended, d.Origin)
	if w.written[d.Origin] {
		return nil
	}
	spec, err := json.Marshal(departureSpec{Service: d.Service, Version: d.Version})
	if err != nil {
		return fmt.Errorf("encode departed version: %w", err)
	}
	if _, err := w.Store.Create(ctx, w.Kind, departureName(d.Origin), spec); err != nil {
		return fmt.Errorf("write departed version: %w", err)
	}
	w.written[d.Origin] = true
	w.Log.Info("Departed version written.", "service", d.Service, "version", d.Version, "age_ms", now.Sub(d.At).Milliseconds())
	return nil
}

// departureName returns the name of the object of a departed version.
func departureName(o sageorigin.Origin) string {
	return sageorigin.KeyOf(o.Service, o.Version).String()
}

// originUpstreams returns the available upstreams at which a stream may go on. A version that was rolled back gets no
// requests, and if a version isn't known, only a service without any versions may go on.
func (f *fleet) originUpstreams(set *sageupstream.Set, q *sagerelay.Query) []*sageupstream.Entry {
	o := q.Origin
	if f.rollouts != nil && f.rollouts.Withdrawn(o.Service, o.Version) {
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

// Serves implements [sagerelay.Fleet].
func (f *fleet) Serves(o sageorigin.Origin) bool {
	if f.rollouts != nil && f.rollouts.Withdrawn(o.Service, o.Version) {
		return false
	}
	for _, e := range f.view.upstreams.Load().All(o.Service) {
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
