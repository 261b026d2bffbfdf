package sagerouter

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/internal/sagelog"
	"sagestand.example/sagestand/internal/sagemesh"
	"sagestand.example/sagestand/internal/sagerelay"
	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/pkg/sageroute"
	"sagestand.example/sagestand/pkg/sageupstream"
)

// newContendedNode returns a node before one upstream of two slots of a service without prompts, with an account.
func newContendedNode(t *testing.T) *Node {
	t.Helper()
	f := newFleet(t, 0, 0)
	tab, err := sageroute.New(2, nil, []sageroute.Service{{Name: "s"}}, []sageroute.Account{{Name: "a", Keys: []string{"k"}}}, sageroute.Limits{})
	require.NoError(t, err)
	f.view.table.Store(tab)
	f.view.registry.Put(sageupstream.Entry{ID: "u", Service: "s", Address: "10.0.0.1:80", Slots: 2})
	f.view.applyUpstreams(nil, false)
	f.livePeers = func() []sagemesh.Member { return nil }
	f.demand.capacity = func(service string) float64 { return f.capacity.Estimate(service).PerSecond }
	f.divideCapacity.Store(true)
	return &Node{fleet: f, Log: sagelog.New(io.Discard, "vm1")}
}

func admit(f *fleet, now sageclock.Instant) sagerelay.Admission {
	return f.Admit(context.Background(), &sagerelay.AdmitQuery{Service: "s", Account: "a", Objective: now, Deadline: now.Add(time.Second)})
}

// Prevents requests from being refused while nothing is known of the upstreams, and shares from outlasting their switch.
func TestGateFollowsTheConfiguration(t *testing.T) {
	n := newContendedNode(t)
	f, c := n.fleet, &shareController{node: n, short: make(map[string]bool)}
	now := sageclock.Now()
	c.step(now)
	for range 100 {
		require.True(t, admit(f, sageclock.Now()).OK, "the capacity isn't known")
	}
	u := f.view.upstreams.Load().Get("u")
	for range 20 {
		f.RecordRun(u, 100*time.Millisecond)
	}
	c.step(sageclock.Now())
	refused := false
	for range 200 {
		a := admit(f, sageclock.Now())
		refused = refused || !a.OK && a.RetryAt > sageclock.Now()
	}
	require.True(t, refused, "more than the upstream runs in seconds")
	f.divideCapacity.Store(false)
	c.step(sageclock.Now())
	require.Empty(t, c.short)
	require.True(t, admit(f, sageclock.Now()).OK)
}

// Prevents a node without contact to the others from taking the capacity of all.
func TestSharingNodes(t *testing.T) {
	f := newFleet(t, 0, 0)
	f.knownNodes = func() []string { return []string{"vm1", "vm2", "vm3", "vm4"} }
	f.livePeers = func() []sagemesh.Member { return nil }
	require.Equal(t, 4, f.sharingNodes())
	f.livePeers = func() []sagemesh.Member { return make([]sagemesh.Member, 2) }
	require.Equal(t, 3, f.sharingNodes())
}
