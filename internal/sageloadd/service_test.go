package sageloadd

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/internal/sagerpc/allot"
	"sagestand.example/sagestand/pkg/sageconfig"
	"sagestand.example/sagestand/pkg/sageload"
)

var testLimits = sageload.Limits{GrantDuration: 200 * time.Millisecond, PromiseDuration: 200 * time.Millisecond,
	RequestLifetime: time.Minute, ReportLag: 10 * time.Millisecond, MaxClockDrift: 0.01}

const slots = 6

// fleet is three nodes and one engine stand-in, connected over loopback.
type fleet struct {
	nodes    []*Service
	engine   *httptest.Server
	state    *sageconfig.State
	stop     map[string]func() // by node
	downNode atomic.Value      // name of the node that is down
}

func (f *fleet) live(roster []sageload.Member) func() []sageload.Member {
	return func() []sageload.Member {
		var out []sageload.Member
		for _, m := range roster {
			if m.Name != f.downNode.Load() {
				out = append(out, m)
			}
		}
		return out
	}
}

// serveReport responds with the load report of a warm, idle engine.
func serveReport(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(sageload.Report{BootID: "boot1", Slots: slots, Capacity: slots, Completed: 1000, AsOf: time.Now()})
}

func (f *fleet) State() *sageconfig.State { return f.state }
func (f *fleet) URL(addr string) string   { return "http://" + addr }
func (f *fleet) HTTP() *http.Client       { return http.DefaultClient }

func newFleet(t testing.TB) *fleet {
	f := &fleet{state: sageconfig.NewState(), stop: map[string]func(){}, engine: httptest.NewServer(http.HandlerFunc(serveReport))}
	t.Cleanup(f.engine.Close)
	f.state.Apply(sageconfig.Entry{TicketNumber: 1, Change: sageconfig.Change{
		Key: sageconfig.EntryKey{Kind: sageconfig.KindUpstream, Name: "engine1"},
		Upstream: &sageconfig.Upstream{Kind: sageconfig.Engine, DataCentre: "derby", MaxInFlight: slots,
			Address: strings.TrimPrefix(f.engine.URL, "http://")},
	}})
	var roster []sageload.Member
	var muxes []*http.ServeMux
	for range 3 {
		mux := http.NewServeMux()
		srv := httptest.NewServer(mux)
		t.Cleanup(srv.Close)
		muxes = append(muxes, mux)
		roster = append(roster, sageload.Member{Name: strings.TrimPrefix(srv.URL, "http://"), DataCentre: "derby"})
	}
	var wg sync.WaitGroup
	t.Cleanup(wg.Wait)
	for i, m := range roster {
		ctx, cancel := context.WithCancel(context.Background())
		t.Cleanup(cancel)
		f.stop[m.Name] = cancel
		s := &Service{Node: m.Name, Roster: roster, Live: f.live(roster), Config: f, Peers: f, Limits: testLimits, Floor: 1, RampCompletions: 1}
		h := allot.NewAllotServer(s)
		muxes[i].Handle(h.PathPrefix(), h)
		f.nodes = append(f.nodes, s)
		wg.Go(func() { _ = s.Run(ctx) })
	}
	return f
}

// acquireAll acquires units until the node has no free one, and returns their number.
func acquireAll(s *Service) int {
	acquired := 0
	for s.Acquire("engine1", time.Now()) {
		acquired++
	}
	return acquired
}

// Three routers that each limited only their own requests could together send three times an engine's limit.
// With units granted by the engine's coordinator they get all but the guaranteed one, and never more.
func TestNodesShareAnEngine(t *testing.T) {
	f := newFleet(t)
	acquired := 0
	require.Eventually(t, func() bool {
		for _, s := range f.nodes {
			acquired += acquireAll(s)
		}
		return acquired >= slots-1
	}, 20*time.Second, 20*time.Millisecond)
	time.Sleep(2 * testLimits.GrantDuration)
	for _, s := range f.nodes {
		acquired += acquireAll(s)
	}
	require.Equal(t, slots-1, acquired, "the guaranteed unit stays unused for a request's lifetime after the start")
	v := f.nodes[0].View("engine1")
	require.True(t, v.Known)
	require.Equal(t, slots, v.Cap)
	require.NotEmpty(t, v.BootID)
}

// When the VM of an engine's coordinator fails, the engine would get no more requests although it and the other
// routers work. Another node must become coordinator and grant units.
func TestCoordinatorFailover(t *testing.T) {
	f := newFleet(t)
	roster := f.nodes[0].Roster
	coordinator, _ := sageload.Coordinator("engine1", "derby", roster)
	var others []*Service
	for _, s := range f.nodes {
		if s.Node != coordinator {
			others = append(others, s)
		}
	}
	granted := func() bool {
		ok := others[0].Acquire("engine1", time.Now())
		if ok {
			others[0].Release("engine1", time.Now(), true)
		}
		return ok
	}
	require.Eventually(t, granted, 20*time.Second, 20*time.Millisecond)
	f.stop[coordinator]()
	f.downNode.Store(coordinator)
	require.Eventually(t, func() bool { return !granted() }, 20*time.Second, 5*time.Millisecond, "the old grants expire")
	require.Eventually(t, granted, 20*time.Second, 20*time.Millisecond)
	granting := ""
	for _, s := range others {
		if s.Statuses()[0].Granting {
			granting = s.Node
		}
	}
	require.NotEmpty(t, granting)
}

// An engine restarts cold, and a router that doesn't know of the restart still holds units granted for the earlier
// boot. Dial reads the boot id first and rejects a connection to another boot than expected.
func TestDialRejectsRestartedEngine(t *testing.T) {
	f := newFleet(t)
	s := f.nodes[0]
	address := strings.TrimPrefix(f.engine.URL, "http://")
	require.Eventually(t, func() bool { return s.View("engine1").BootID != "" }, 20*time.Second, 20*time.Millisecond)
	c, err := s.Dial(context.Background(), "tcp", address)
	require.NoError(t, err)
	require.NoError(t, c.Close())
	s.observeBoot(address, "boot-of-before")
	_, err = s.Dial(context.Background(), "tcp", address)
	require.ErrorIs(t, err, ErrRestarted)
	c, err = s.Dial(context.Background(), "tcp", address)
	require.NoError(t, err, "the next request expects the current boot")
	require.NoError(t, c.Close())
}

func TestDialOfUnknownAddress(t *testing.T) {
	f := newFleet(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	c, err := f.nodes[0].Dial(context.Background(), "tcp", l.Addr().String())
	require.NoError(t, err)
	require.NoError(t, c.Close())
}
