package sagerouter

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/internal/sagefollow"
	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/pkg/sageorigin"
	"sagestand.example/sagestand/pkg/sageroute"
)

// claimStore is a store of claims.
type claimStore struct {
	entryStore
	revision uint64
	era      uint64
	fails    bool
	writes   int
	objects  map[string]sagefollow.Object
	// beforeWrite is called before each write.
	beforeWrite func()
}

var errNoAnswer = errors.New("no answer")

func (s *claimStore) List(context.Context, string, string) (sagefollow.Page, error) {
	s.calls++
	if s.fails {
		return sagefollow.Page{}, errNoAnswer
	}
	p := sagefollow.Page{AsOf: s.revision, Era: s.era}
	for _, o := range s.objects {
		p.Changes = append(p.Changes, sagefollow.Change{Object: o})
	}
	return p, nil
}

func (s *claimStore) ListStale(ctx context.Context, kind, after string) (sagefollow.Page, error) {
	return s.List(ctx, kind, after)
}

func (s *claimStore) Create(_ context.Context, _, name string, spec json.RawMessage) (bool, error) {
	if err := s.write(); err != nil {
		return false, err
	}
	if _, ok := s.objects[name]; ok {
		return false, nil
	}
	if s.objects == nil {
		s.objects = make(map[string]sagefollow.Object)
	}
	s.objects[name] = sagefollow.Object{Name: name, Revision: s.revision, Spec: spec}
	return true, nil
}

func (s *claimStore) SetStatus(_ context.Context, _, name string, revision uint64, status json.RawMessage) error {
	if err := s.write(); err != nil {
		return err
	}
	o := s.objects[name]
	if o.Revision != revision {
		return errors.New("conflict")
	}
	o.Revision, o.Status = s.revision, status
	s.objects[name] = o
	return nil
}

func (s *claimStore) write() error {
	s.calls++
	if s.fails {
		return errNoAnswer
	}
	if s.beforeWrite != nil {
		s.beforeWrite()
	}
	s.revision++
	s.writes++
	return nil
}

// claim returns the claim of service s.
func (s *claimStore) claim(t *testing.T) sageorigin.Claim {
	t.Helper()
	o := s.objects[claimName("s")]
	c, err := decodeClaim(&o)
	require.NoError(t, err)
	return c
}

// claimNode is a node's view with its keeper of claims.
type claimNode struct {
	*view
	keeper *claimKeeper
}

// newClaimNode returns a node that has just started and has read the claims. first says that it is one of a new fleet.
func newClaimNode(t *testing.T, store *claimStore, first bool) *claimNode {
	t.Helper()
	v := newView()
	v.awaitsClaims, v.claimsWake = true, make(chan struct{}, 1)
	v.newVersionDelay = func() time.Duration { return 0 }
	if first {
		v.history.SetComplete()
	}
	v.history.SetRoutes(sageclock.Now(), map[string][]string{"r": {"s"}})
	v.table.Store(new(sageroute.Table))
	n := &claimNode{view: v, keeper: &claimKeeper{
		View: v, Store: store, Writes: func() bool { return true }, Fresh: func() bool { return true }, Era: func() uint64 { return store.era },
		Spread: func() time.Duration { return 0 },
	}}
	n.keeper.readFirst(t.Context())
	return n
}

// listed applies a first listing with the upstreams u1, u2 and so on of the given versions.
func (n *claimNode) listed(versions ...string) {
	var changes []sagefollow.Change
	for i, v := range versions {
		changes = append(changes, upstreamEntry(fmt.Sprint("u", i+1), v, 10))
	}
	n.applyUpstreams(changes, false)
}

// work does what has to be done after some time.
func (n *claimNode) work(t *testing.T, after time.Duration) error {
	t.Helper()
	return n.keeper.work(t.Context(), sageclock.Now().Add(after))
}

// Prevents a version from beginning a stream while the store says that there is another one only: all nodes may be lost at any
// moment, and nothing else would say that this version served.
func TestVersionServesOnceItIsAdmitted(t *testing.T) {
	store := new(claimStore)
	n := newClaimNode(t, store, true)
	n.listed("v1")
	require.Empty(t, availableIDs(n.view))
	require.NoError(t, n.work(t, 0))
	require.Equal(t, []string{"u1"}, availableIDs(n.view))
	require.Equal(t, "v1", store.claim(t).Version)
	require.Equal(t, []string{"r"}, store.claim(t).Routes)
	writes := store.writes

	store.fails = true
	n.applyUpstreams([]sagefollow.Change{upstreamEntry("u2", "v2", 11)}, false)
	require.ErrorIs(t, n.work(t, 0), errNoAnswer)
	n.expireLapsed(false)
	require.Equal(t, []string{"u1"}, availableIDs(n.view), "not admitted")
	store.fails = false
	require.NoError(t, n.work(t, 0))
	require.Equal(t, []string{"u1", "u2"}, availableIDs(n.view))
	require.False(t, store.claim(t).Sole)
	require.Equal(t, writes+1, store.writes)

	n.applyUpstreams([]sagefollow.Change{deletion("u1", 12)}, false)
	for i := range 70 {
		require.NoError(t, n.work(t, time.Duration(i)*time.Second))
		require.Equal(t, i >= 2*int(sageorigin.Window.Seconds()), store.claim(t).Sole, "after %d s", i)
	}
	require.Equal(t, "v2", store.claim(t).Version, "the other version departed long ago")
	require.Equal(t, writes+2, store.writes)
}

// Prevents a claim by a node that doesn't know a version which another node has had admitted meanwhile.
func TestClaimLosesToAdmission(t *testing.T) {
	store := new(claimStore)
	n := newClaimNode(t, store, false)
	n.listed("v1", "v2")
	require.NoError(t, n.work(t, 0))
	require.Len(t, store.claim(t).Admitted, 2)
	n.applyUpstreams([]sagefollow.Change{deletion("u2", 12)}, false)
	require.NoError(t, n.work(t, sageorigin.Window))
	other := newClaimNode(t, store, false)
	store.beforeWrite = func() {
		store.beforeWrite = nil
		other.listed("v3")
		require.NoError(t, other.keeper.admit(t.Context(), other.waiting()))
	}
	for i := range 100 {
		_ = n.work(t, sageorigin.Window+time.Duration(i)*time.Second) // fails when the claim was changed
		if len(availableIDs(other.view)) > 0 {
			require.Contains(t, store.claim(t).Admitted, "v3")
			return
		}
	}
	t.Fatal("no claim was tried")
}

// Prevents nodes that all start again from having anything admitted that serves already, and what replaced it meanwhile from
// serving at once.
func TestVersionsAfterLossOfAllNodes(t *testing.T) {
	for _, tt := range []struct {
		name      string
		versions  []string
		available []string
		writes    int
		sole      bool // a return goes on without a record
	}{
		{"the same", []string{"v1", "v1"}, []string{"u1", "u2"}, 0, true},
		{"replaced", []string{"v9"}, nil, 1, false},
		{"partly replaced", []string{"v1", "v9"}, []string{"u1"}, 1, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			store := &claimStore{revision: 20}
			first := newClaimNode(t, store, true)
			first.listed("v1")
			require.NoError(t, first.work(t, 0))
			writes := store.writes
			n := newClaimNode(t, store, false)
			n.listed(tt.versions...)
			require.Equal(t, tt.available, availableIDs(n.view))
			require.NoError(t, n.work(t, 0))
			require.Equal(t, tt.writes, store.writes-writes)
			require.Len(t, availableIDs(n.view), len(tt.versions))
			claims, err := n.keeper.claims(t.Context())
			require.NoError(t, err)
			n.history.SetClaims(sageclock.Now(), claims)
			_, status := n.history.Status(sageclock.Now(), "r")
			require.Equal(t, tt.sole, status == sageorigin.Sole)
		})
	}
}

// Prevents a claim of an earlier era of the store from being believed: what came after it is lost.
func TestClaimOfEarlierEraIsVoid(t *testing.T) {
	store := &claimStore{revision: 20}
	n := newClaimNode(t, store, true)
	n.listed("v1")
	require.NoError(t, n.work(t, 0))
	store.era = 1
	claims, err := n.keeper.claims(t.Context())
	require.NoError(t, err)
	require.False(t, claims["s"].Sole)
	for i := range 40 {
		require.NoError(t, n.work(t, time.Duration(i)*time.Second))
	}
	claims, err = n.keeper.claims(t.Context())
	require.NoError(t, err)
	require.True(t, claims["s"].Sole, "claimed again")
}

// Prevents a store that doesn't answer from keeping nodes that start from serving.
func TestNodeServesWithoutClaims(t *testing.T) {
	n := newClaimNode(t, &claimStore{fails: true}, false)
	n.listed("v1", "v2")
	require.Equal(t, []string{"u1", "u2"}, availableIDs(n.view))
}
