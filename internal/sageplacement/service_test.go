package sageplacement

import (
	"context"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/internal/sagedispatch"
	"sagestand.example/sagestand/internal/sageentry"
	"sagestand.example/sagestand/pkg/sageconfig"
	"sagestand.example/sagestand/pkg/sageload"
	"sagestand.example/sagestand/pkg/sageplace"
	"sagestand.example/sagestand/pkg/sagewire"
)

// fakeConfig serves one state, replaced as a whole.
type fakeConfig struct{ state *sageconfig.State }

func (c *fakeConfig) State() *sageconfig.State                  { return c.state }
func (c *fakeConfig) Revision() uint64                          { return 1 }
func (c *fakeConfig) Serving(time.Time, bool) *sagewire.Refusal { return nil }

// apply puts a new state in force with the changes on top of the old one.
func (c *fakeConfig) apply(number uint64, changes ...sageconfig.Change) {
	s := sageconfig.NewState()
	if c.state != nil {
		s = c.state.Clone()
	}
	s.ApplyTicket(&sageconfig.Ticket{Number: number, Changes: changes})
	c.state = s
}

func thing(kind sageconfig.Kind, name string, c sageconfig.Change) sageconfig.Change {
	c.Key = sageconfig.EntryKey{Kind: kind, Name: name}
	return c
}

func engine(name, dataCentre string, models ...string) sageconfig.Change {
	return thing(sageconfig.KindUpstream, name, sageconfig.Change{Upstream: &sageconfig.Upstream{
		Kind: sageconfig.Engine, Address: name + ":80", DataCentre: dataCentre, Models: models, MaxInFlight: 4,
	}})
}

func dataCentre(name string, in bool) sageconfig.Change {
	return thing(sageconfig.KindDataCentre, name, sageconfig.Change{DataCentre: &sageconfig.DataCentre{InService: in}})
}

func set(name string, ups ...string) sageconfig.Change {
	return thing(sageconfig.KindUpstreamSet, name, sageconfig.Change{UpstreamSet: &sageconfig.UpstreamSet{Upstreams: ups}})
}

func testService() (*Service, *fakeConfig, *LocalLoad) {
	c := new(fakeConfig)
	c.apply(1,
		dataCentre("derby", true), dataCentre("leys", true),
		engine("d1", "derby", "m@1"), engine("d2", "derby", "m@2"), engine("l1", "leys", "m@1"), engine("l2", "leys", "m@3"),
		thing(sageconfig.KindUpstream, "app", sageconfig.Change{Upstream: &sageconfig.Upstream{Kind: sageconfig.Application, DataCentre: "derby", Models: []string{"m@1"}, MaxInFlight: 4}}),
		set("all", "d1", "d2", "l1", "l2", "gone", "app"), set("engines", "d1"), set("own", "l1"), set("none"),
		thing(sageconfig.KindModelSet, "stable", sageconfig.Change{ModelSet: &sageconfig.ModelSet{Versions: []string{"m@1", "m@2"}}}),
		thing(sageconfig.KindRoute, "m", sageconfig.Change{Route: &sageconfig.Route{Kind: sageconfig.RouteChat, UpstreamSet: "all", ModelSet: "stable"}}),
		thing(sageconfig.KindRoute, "book", sageconfig.Change{Route: &sageconfig.Route{Kind: sageconfig.RouteService, UpstreamSet: "engines"}}),
		thing(sageconfig.KindRoute, "empty", sageconfig.Change{Route: &sageconfig.Route{Kind: sageconfig.RouteChat, UpstreamSet: "none"}}),
		thing(sageconfig.KindClientAccount, "special", sageconfig.Change{ClientAccount: &sageconfig.ClientAccount{UpstreamSet: "own", Weight: 1}}),
	)
	l := &LocalLoad{Config: c}
	s := &Service{Config: c, Load: l, LoadBound: 1.5, TokenTTL: time.Hour, Metrics: metrics.NewSet(),
		TokenSigner: sageplace.TokenSigner{Keys: [][]byte{[]byte("key")}}}
	return s, c, l
}

func chat(account, route, id string) *sageentry.Request {
	return &sageentry.Request{ID: "r-" + id, Account: account, Route: route, Kind: sageconfig.RouteChat, ChatID: id, Priority: sagewire.Urgent}
}

// reached returns the upstreams that many chats are placed at, each given back at once.
func reached(t *testing.T, s *Service, account, route string) map[string]bool {
	t.Helper()
	names := make(map[string]bool)
	for i := range 200 {
		p, ref := s.Pick(context.Background(), chat(account, route, string(rune('a'+i))), nil)
		require.Nil(t, ref)
		names[p.Upstream] = true
		p.Release(&sagedispatch.Result{})
	}
	return names
}

func names(list ...string) map[string]bool {
	m := make(map[string]bool)
	for _, n := range list {
		m[n] = true
	}
	return m
}

func TestCandidates(t *testing.T) {
	tests := []struct {
		name    string
		account string
		change  []sageconfig.Change
		want    map[string]bool
	}{
		{"model set, member missing", "a", nil, names("d1", "d2", "l1")},
		{"account's own set", "special", nil, names("l1")},
		{"data centre out", "a", []sageconfig.Change{dataCentre("derby", false)}, names("l1")},
		{"data centre deleted", "a", []sageconfig.Change{{Key: sageconfig.EntryKey{Kind: sageconfig.KindDataCentre, Name: "derby"}, Deleted: true}}, names("l1")},
		{"leaving", "a", []sageconfig.Change{thing(sageconfig.KindUpstream, "d1", sageconfig.Change{Upstream: &sageconfig.Upstream{
			Kind: sageconfig.Engine, DataCentre: "derby", Models: []string{"m@1"}, MaxInFlight: 4, Leaving: true}})}, names("d2", "l1")},
		{"drained by order", "a", []sageconfig.Change{thing(sageconfig.KindOrder, "o", sageconfig.Change{Order: &sageconfig.Order{Upstream: "d2", Drain: true}})}, names("d1", "l1")},
		{"new model version", "a", []sageconfig.Change{thing(sageconfig.KindModelSet, "stable", sageconfig.Change{ModelSet: &sageconfig.ModelSet{Versions: []string{"m@3"}}})}, names("l2")},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s, c, _ := testService()
			reached(t, s, tt.account, "m") // the change must take effect on compiled groups too
			if tt.change != nil {
				c.apply(2, tt.change...)
			}
			require.Equal(t, tt.want, reached(t, s, tt.account, "m"))
		})
	}
}

func TestRefusals(t *testing.T) {
	tests := []struct {
		name   string
		req    *sageentry.Request
		tried  []string
		reason sagewire.Reason
		again  bool
	}{
		{"no route", chat("a", "nowhere", "x"), nil, sagewire.ReasonNoRoute, false},
		{"other kind of route", chat("a", "book", "x"), nil, sagewire.ReasonNoRoute, false},
		{"empty set", chat("a", "empty", "x"), nil, sagewire.ReasonNoUpstream, true},
		{"all tried", chat("a", "m", "x"), []string{"d1", "d2", "l1", "gone"}, sagewire.ReasonNoUpstream, true},
		{"engines for a service", &sageentry.Request{ID: "r", Route: "book", Kind: sageconfig.RouteService}, nil, sagewire.ReasonNoUpstream, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s, _, _ := testService()
			_, ref := s.Pick(context.Background(), tt.req, tt.tried)
			require.NotNil(t, ref)
			require.Equal(t, sagewire.NotRun, ref.Outcome)
			require.Equal(t, tt.reason, ref.Reason)
			require.Equal(t, tt.again, ref.RetryAt.After(time.Now()))
		})
	}
}

// Story: all engines of the set are full. The caller must hear so at once, with an instant to come
// back, and audits later than a fitter on a doorstep; when a request ends there is room again.
func TestFullSetIsRefusedAtOnce(t *testing.T) {
	s, _, _ := testService()
	var picks []*sageentry.Pick
	for i := range 12 {
		p, ref := s.Pick(context.Background(), chat("a", "m", string(rune('a'+i))), nil)
		require.Nil(t, ref)
		picks = append(picks, p)
	}
	bulk := chat("a", "m", "late")
	bulk.Priority = sagewire.Bulk
	_, later := s.Pick(context.Background(), bulk, nil)
	_, ref := s.Pick(context.Background(), chat("a", "m", "late"), nil)
	require.NotNil(t, ref)
	require.Equal(t, sagewire.NotRun, ref.Outcome)
	require.Equal(t, sagewire.ReasonOverloaded, ref.Reason)
	require.True(t, ref.RetryAt.After(time.Now()))
	require.True(t, later.RetryAt.After(ref.RetryAt))

	picks[0].Release(&sagedispatch.Result{Outcome: sagewire.Complete})
	picks[0].Release(&sagedispatch.Result{Outcome: sagewire.Complete}) // gives back one unit, not two
	_, ref = s.Pick(context.Background(), chat("a", "m", "late"), nil)
	require.Nil(t, ref)
	_, ref = s.Pick(context.Background(), chat("a", "m", "later"), nil)
	require.NotNil(t, ref)
}

// Story: a chat of account "special" ends on the engine that it shares with others, and an instant
// later another account's chat is refused because "every upstream is full". One had room.
func TestRoomOfOtherGroupIsSeen(t *testing.T) {
	s, c, _ := testService()
	c.apply(2, thing(sageconfig.KindModelSet, "stable", sageconfig.Change{ModelSet: &sageconfig.ModelSet{Versions: []string{"m@1"}}}),
		dataCentre("derby", false))
	var last *sageentry.Pick
	for i := range 4 {
		p, ref := s.Pick(context.Background(), chat("special", "m", string(rune('a'+i))), nil)
		require.Nil(t, ref)
		last = p
	}
	_, ref := s.Pick(context.Background(), chat("a", "m", "x"), nil)
	require.NotNil(t, ref)
	last.Release(nil)
	_, ref = s.Pick(context.Background(), chat("a", "m", "x"), nil)
	require.Nil(t, ref)
}

func TestTokenLeadsBack(t *testing.T) {
	s, c, _ := testService()
	p, ref := s.Pick(context.Background(), chat("a", "m", "x"), nil)
	require.Nil(t, ref)
	home := p.Upstream
	p.Release(nil)
	p, _ = s.Pick(context.Background(), chat("a", "m", "x"), []string{home})
	require.NotEqual(t, home, p.Upstream, "tried upstreams are excluded")
	moved := p.Upstream
	p.Release(nil)

	other, _, _ := testService() // another VM
	back := chat("a", "m", "x")
	back.PlacementToken = p.PlacementToken
	p, _ = other.Pick(context.Background(), back, nil)
	require.Equal(t, moved, p.Upstream, "any VM honours the token")

	u, _ := c.state.Upstream(moved)
	c.apply(2, dataCentre(u.DataCentre, false))
	p, ref = s.Pick(context.Background(), back, nil)
	require.Nil(t, ref)
	require.NotEqual(t, moved, p.Upstream, "a token is no way into a data centre out of service")
}

func TestEvidenceServesCallersWithoutToken(t *testing.T) {
	s, _, _ := testService()
	p, _ := s.Pick(context.Background(), chat("a", "m", "x"), nil)
	home := p.Upstream
	p.Release(nil)
	p, _ = s.Pick(context.Background(), chat("a", "m", "x"), []string{home})
	moved := p.Upstream
	p.Release(&sagedispatch.Result{Outcome: sagewire.Complete})
	p, _ = s.Pick(context.Background(), chat("a", "m", "x"), nil)
	require.Equal(t, moved, p.Upstream)
}

// booted is a load whose upstreams all run as one boot.
type booted struct {
	LocalLoad
	boot string
}

func (l *booted) View(name string) sageload.View {
	v := l.LocalLoad.View(name)
	v.BootID = l.boot
	return v
}

// Story: an engine restarts and counts its cache generations from zero again. The chat's token seems
// to fit; sent there, the chat crowds out those that the first engine of its order holds.
func TestRestartedEngineHoldsNothing(t *testing.T) {
	s, c, _ := testService()
	l := &booted{LocalLoad: LocalLoad{Config: c}, boot: "b1"}
	s.Load = l
	p, _ := s.Pick(context.Background(), chat("a", "m", "x"), nil)
	home := p.Upstream
	p.Release(nil)
	p, _ = s.Pick(context.Background(), chat("a", "m", "x"), []string{home})
	p.Release(nil)
	back := chat("a", "m", "x")
	back.PlacementToken = p.PlacementToken
	l.boot = "b2"
	s.groups = nil
	s.state = nil
	p, _ = s.Pick(context.Background(), back, nil)
	require.Equal(t, home, p.Upstream)
}

// raced is a load whose views promise units that are gone when asked for.
type raced struct {
	LocalLoad
	gone map[string]bool
}

func (l *raced) Acquire(name string, now time.Time) bool {
	return !l.gone[name] && l.LocalLoad.Acquire(name, now)
}

// Story: the last unit of an engine's allotment goes to another request between reading the loads and
// taking it. Sent all the same, the engine would carry more than its bound.
func TestLostRaceTakesNextUpstream(t *testing.T) {
	s, c, _ := testService()
	l := &raced{LocalLoad: LocalLoad{Config: c}, gone: names("d1", "d2")}
	s.Load = l
	require.Equal(t, names("l1"), reached(t, s, "a", "m"))
	l.gone["l1"] = true
	_, ref := s.Pick(context.Background(), chat("a", "m", "x"), nil)
	require.Equal(t, sagewire.ReasonOverloaded, ref.Reason)
}

// broken is the circuits of a router that sees one upstream fail.
type broken struct {
	name  string
	ended int
}

func (b *broken) AllowSend(_ time.Time, name string, _ time.Time) bool       { return name != b.name }
func (b *broken) RecordResult(_ time.Time, _ string, _ *sagedispatch.Result) { b.ended++ }
func (b *broken) view(l *LocalLoad) sageload.View                            { return l.View(b.name) }

func TestOpenCircuitIsPassedOver(t *testing.T) {
	s, _, l := testService()
	b := &broken{name: "d1"}
	s.Circuits = b
	require.Equal(t, names("d2", "l1"), reached(t, s, "a", "m"))
	require.Equal(t, 200, b.ended)
	require.Zero(t, b.view(l).InFlight, "the unit of an upstream passed over is given back")
}

func TestGroupsAreBounded(t *testing.T) {
	s, c, _ := testService()
	for i := range maxGroups + 20 {
		s.group(c.state, groupKey{sageconfig.RouteChat, "all", string(rune('a' + i))})
		s.group(c.state, groupKey{sageconfig.RouteChat, "all", "stable"})
	}
	require.Len(t, s.groups, maxGroups)
	require.Contains(t, s.groups, groupKey{sageconfig.RouteChat, "all", "stable"}, "the one in use stays")
}

func BenchmarkPick(b *testing.B) {
	s, _, _ := testService()
	r := chat("a", "m", "x")
	b.ReportAllocs()
	for b.Loop() {
		p, _ := s.Pick(context.Background(), r, nil)
		p.Release(nil)
	}
}
