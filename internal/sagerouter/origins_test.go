package sagerouter

import (
	"context"
	"encoding/json"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/internal/sagefollow"
	"sagestand.example/sagestand/internal/sagerelay"
	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/pkg/sageorigin"
	"sagestand.example/sagestand/pkg/sagerollout"
)

// Prevents a version from getting requests while other nodes may still believe that the service has one version only, and
// continue its streams at another.
func TestNewVersionWaitsUntilOthersKnowIt(t *testing.T) {
	v := newView()
	v.newVersionDelay = func() time.Duration { return time.Hour }
	v.applyUpstreams([]sagefollow.Change{upstreamEntry("e1", "v1", 5), upstreamEntry("e2", "v2", 6)}, false)
	require.Equal(t, []string{"e1", "e2"}, availableIDs(v), "versions of the first listing aren't new")
	v.applyUpstreams([]sagefollow.Change{upstreamEntry("e3", "v3", 7), upstreamEntry("e4", "v1", 8)}, false)
	require.Equal(t, []string{"e1", "e2", "e4"}, availableIDs(v))
	v.applyUpstreams([]sagefollow.Change{deletion("e2", 9), deletion("e3", 9)}, false)
	v.applyUpstreams([]sagefollow.Change{upstreamEntry("e2", "v2", 10), upstreamEntry("e3", "v3", 11)}, false)
	require.Equal(t, []string{"e1", "e2", "e4"}, availableIDs(v), "a version that comes back isn't new")
	v.applyUpstreams([]sagefollow.Change{deletion("e1", 12), deletion("e2", 12), deletion("e4", 12)}, false)
	require.Equal(t, []string{"e3"}, availableIDs(v), "a new version serves if no other is left")
	v.applyUpstreams([]sagefollow.Change{upstreamEntry("e1", "v1", 13)}, false)
	require.Equal(t, []string{"e1"}, availableIDs(v))
	v.arrivals[sageorigin.Origin{Service: "s", Version: "v3"}] = versionArrival{newUntil: sageclock.Now()}
	v.expireLapsed(false)
	require.Equal(t, []string{"e1", "e3"}, availableIDs(v))
}

// Prevents streams that have begun from being placed like new ones: by the arms of a rollout, or at any version.
func TestStreamIsPlacedAtItsOrigin(t *testing.T) {
	query := func(version string, tried ...string) *sagerelay.Query {
		return &sagerelay.Query{Service: "s", Route: "r", Tried: tried, Origin: &sageorigin.Origin{Service: "s", Version: version}}
	}
	for _, tt := range []struct {
		name     string
		phase    sagerollout.Phase
		version  string
		versions string // of the upstreams that get requests
	}{
		{"the old version during a canary", sagerollout.PhaseCanary, "v1", "v1"},
		{"the new version during a canary", sagerollout.PhaseCanary, "v2", "v2"},
		{"the old version after the rollout", sagerollout.PhaseDone, "v1", "v1"},
		{"the version that was rolled back", sagerollout.PhaseRolledBack, "v2", ""},
		{"a version without upstreams", sagerollout.PhaseCanary, "v3", ""},
		{"no version", sagerollout.PhaseCanary, "", ""},
	} {
		t.Run(tt.name, func(t *testing.T) {
			f := newRolloutFleet(t, sagerollout.Plan{Phase: tt.phase, Share: 0.1})
			require.Equal(t, tt.versions != "", f.Serves(sageorigin.Origin{Service: "s", Version: tt.version}))
			var tried []string
			for range 5 {
				p := f.Pick(query(tt.version, tried...))
				if tt.versions == "" {
					require.Nil(t, p)
					continue
				}
				require.Equal(t, tt.versions, p.Upstream.Version)
				tried = append(tried, p.Upstream.ID)
				p.Done()
			}
			require.Nil(t, f.Pick(query(tt.version, tried...)), "all upstreams of the version were tried")
		})
	}
}

// Prevents streams of a service whose upstreams register no version from being refused.
func TestStreamOfServiceWithoutVersionsGoesOn(t *testing.T) {
	f := newFleet(t, 2, 0)
	f.view.history.SetRoutes(sageclock.Now(), map[string][]string{"r": {"s"}})
	q := &sagerelay.Query{Service: "s", Route: "r", Origin: &sageorigin.Origin{Service: "s"}}
	require.NotNil(t, f.Pick(q))
	f.view.applyUpstreams([]sagefollow.Change{upstreamEntry("u9", "v1", 5)}, false)
	require.Nil(t, f.Pick(q), "two upstreams without a version may have different ones")
}

// Prevents events of an upstream that started again with another version under its ID from being taken for those of the
// version that this node knew.
func TestUpstreamThatChangedItsVersion(t *testing.T) {
	v := newView()
	entry := func(version string, born string) sagefollow.Change {
		return put("e1", 5, `{"Service":"s","Address":"a:1","DataCentre":"north","Version":"`+version+`","Born":`+born+`}`)
	}
	f := &fleet{view: v}
	v.applyUpstreams([]sagefollow.Change{entry("v1", "1")}, false)
	first := v.upstreams.Load().Get("e1")
	require.False(t, f.ChangedVersion(first))
	v.applyUpstreams([]sagefollow.Change{entry("v1", "2")}, false)
	require.False(t, f.ChangedVersion(first))
	v.applyUpstreams([]sagefollow.Change{entry("v2", "3")}, false)
	require.True(t, f.ChangedVersion(first))
	v.applyUpstreams([]sagefollow.Change{deletion("e1", 9)}, false)
	require.False(t, f.ChangedVersion(first), "an upstream that has left keeps its version")
}

// departureStore is a store that fails calls.
type departureStore struct {
	entryStore
	fails   bool
	deleted []string
}

func (s *departureStore) Create(ctx context.Context, kind, name string, spec json.RawMessage) (bool, error) {
	if s.fails {
		return false, errors.New("no answer")
	}
	return s.entryStore.Create(ctx, kind, name, spec)
}

func (s *departureStore) Delete(_ context.Context, _, name string) error {
	if s.fails {
		return errors.New("no answer")
	}
	s.deleted = append(s.deleted, name)
	return nil
}

// Prevents a restart of all nodes from making a service with a departed version look like one with a sole version, and
// departed versions from staying in the store.
func TestDepartedVersionsAreInStore(t *testing.T) {
	var history sageorigin.History
	store, writes := new(departureStore), false
	w := &departureWriter{Kind: "departures", History: &history, Store: store, Writes: func() bool { return writes }}
	now := sageclock.Now()
	versions := func(vs ...string) map[string]map[string]bool {
		out := map[string]map[string]bool{"s": {}, "other": {}}
		for _, v := range vs {
			out["s"][v] = true
		}
		return out
	}
	history.SetRoutes(now, map[string][]string{"r": {"s"}})
	history.SetVersions(now, versions("v1", "v2"))
	history.SetVersions(now, versions("v2"))
	require.NoError(t, w.write(t.Context(), now))
	require.Zero(t, store.calls, "another node writes")
	writes, store.fails = true, true
	require.Error(t, w.write(t.Context(), now))
	store.fails = false
	require.NoError(t, w.write(t.Context(), now))
	require.NoError(t, w.write(t.Context(), now))
	require.Equal(t, 1, store.calls, "each departure is written once")

	n := &Node{Store: store, Kinds: Kinds{Departures: "departures"}}
	listed, err := n.listDepartures(t.Context())
	require.NoError(t, err)
	require.Equal(t, []sageorigin.Origin{{Service: "s", Version: "v1"}}, listed)

	later := now.Add(sageorigin.Window)
	store.fails = true
	require.Error(t, w.write(t.Context(), later))
	store.fails = false
	require.NoError(t, w.write(t.Context(), later))
	require.NoError(t, w.write(t.Context(), later))
	require.Equal(t, []string{departureName(listed[0])}, store.deleted)

	store.changes = append(store.changes, put("x", 9, `{"service":7}`))
	_, err = n.listDepartures(t.Context())
	require.ErrorIs(t, err, errDepartureSpec)
}
