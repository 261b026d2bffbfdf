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

// fleet is three nodes before one engine stand-in, over real connections on loopback.
type fleet struct {
	nodes  []*Service
	engine *httptest.Server
	state  *sageconfig.State
	stop   map[string]func() // by node
	gone   atomic.Value      // name of the node that is down
}

func (f *fleet) live(roster []sageload.Member) func() []sageload.Member {
	return func() []sageload.Member {
		var out []sageload.Member
		for _, m := range roster {
			if m.Name != f.gone.Load() {
				out = append(out, m)
			}
		}
		return out
	}
}

// report answers as a warm engine that is idle.
func report(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(sageload.Report{BootID: "boot1", Slots: slots, Capacity: slots, Completed: 1000, AsOf: time.Now()})
}

func (f *fleet) State() *sageconfig.State { return f.state }
func (f *fleet) URL(addr string) string   { return "http://" + addr }
func (f *fleet) HTTP() *http.Client       { return http.DefaultClient }

func newFleet(t testing.TB) *fleet {
	f := &fleet{state: sageconfig.NewState(), stop: map[string]func(){}, engine: httptest.NewServer(http.HandlerFunc(report))}
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
	var wait sync.WaitGroup
	t.Cleanup(wait.Wait)
	for i, m := range roster {
		ctx, cancel := context.WithCancel(context.Background())
		t.Cleanup(cancel)
		f.stop[m.Name] = cancel
		s := &Service{Node: m.Name, Roster: roster, Live: f.live(roster), Config: f, Peers: f, Limits: testLimits, Floor: 1, RampCompletions: 1}
		h := allot.NewAllotServer(s)
		muxes[i].Handle(h.PathPrefix(), h)
		f.nodes = append(f.nodes, s)
		wait.Go(func() { _ = s.Run(ctx) })
	}
	return f
}

// take takes every unit that a node can get and returns their number.
func take(s *Service) int {
	n := 0
	for s.Acquire("engine1", time.Now()) {
		n++
	}
	return n
}

// Story: three routers each know only their own requests and together fill an engine three times
// over. They get units from the engine's home, all but the guaranteed one, and never more.
func TestNodesShareAnEngine(t *testing.T) {
	f := newFleet(t)
	taken := 0
	require.Eventually(t, func() bool {
		for _, s := range f.nodes {
			taken += take(s)
		}
		return taken >= slots-1
	}, 20*time.Second, 20*time.Millisecond)
	time.Sleep(2 * testLimits.GrantDuration)
	for _, s := range f.nodes {
		taken += take(s)
	}
	require.Equal(t, slots-1, taken, "the guaranteed unit stays unused for a request's lifetime after the start")
	v := f.nodes[0].View("engine1")
	require.True(t, v.Known)
	require.Equal(t, slots, v.Cap)
	require.NotEmpty(t, v.BootID)
}

// Story: the VM that is an engine's home dies, and the engine gets no work any more although it and
// the other routers are well. Another node becomes its home and grants.
func TestCoordinatorFailover(t *testing.T) {
	f := newFleet(t)
	roster := f.nodes[0].Roster
	home, _ := sageload.Coordinator("engine1", "derby", roster)
	var others []*Service
	for _, s := range f.nodes {
		if s.Node != home {
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
	f.stop[home]()
	f.gone.Store(home)
	require.Eventually(t, func() bool { return !granted() }, 20*time.Second, 5*time.Millisecond, "the old grants run out")
	require.Eventually(t, granted, 20*time.Second, 20*time.Millisecond)
	granting := ""
	for _, s := range others {
		if s.Statuses()[0].Granting {
			granting = s.Node
		}
	}
	require.NotEmpty(t, granting)
}

// Story: an engine restarts cold, and a router that has not heard of it sends on units granted for
// the warm one. A new connection names its boot first, and another than expected carries nothing.
func TestDialRejectsRestartedEngine(t *testing.T) {
	f := newFleet(t)
	s := f.nodes[0]
	address := strings.TrimPrefix(f.engine.URL, "http://")
	require.Eventually(t, func() bool { return s.View("engine1").BootID != "" }, 20*time.Second, 20*time.Millisecond)
	c, err := s.Dial(context.Background(), "tcp", address)
	require.NoError(t, err)
	require.NoError(t, c.Close())
	s.seen(address, "boot-of-before")
	_, err = s.Dial(context.Background(), "tcp", address)
	require.ErrorIs(t, err, ErrRestarted)
	c, err = s.Dial(context.Background(), "tcp", address)
	require.NoError(t, err, "the next request is for the boot that is there")
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
