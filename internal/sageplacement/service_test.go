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

// fakeConfig returns a configuration state that apply replaces.
type fakeConfig struct{ state *sageconfig.State }

func (c *fakeConfig) State() *sageconfig.State                  { return c.state }
func (c *fakeConfig) Revision() uint64                          { return 1 }
func (c *fakeConfig) Serving(time.Time, bool) *sagewire.Refusal { return nil }

// apply replaces the state by a copy with the changes applied.
func (c *fakeConfig) apply(number uint64, changes ...sageconfig.Change) {
	s := sageconfig.NewState()
	if c.state != nil {
		s = c.state.Clone()
	}
	s.ApplyTicket(&sageconfig.Ticket{Number: number, Changes: changes})
	c.state = s
}

func entry(kind sageconfig.Kind, name string, c sageconfig.Change) sageconfig.Change {
	c.Key = sageconfig.EntryKey{Kind: kind, Name: name}
	return c
}

func engine(name, dataCentre string, models ...string) sageconfig.Change {
	return entry(sageconfig.KindUpstream, name, sageconfig.Change{Upstream: &sageconfig.Upstream{
		Kind: sageconfig.Engine, Address: name + ":80", DataCentre: dataCentre, Models: models, MaxInFlight: 4,
	}})
}

func dataCentre(name string, in bool) sageconfig.Change {
	return entry(sageconfig.KindDataCentre, name, sageconfig.Change{DataCentre: &sageconfig.DataCentre{InService: in}})
}

func upstreamSet(name string, ups ...string) sageconfig.Change {
	return entry(sageconfig.KindUpstreamSet, name, sageconfig.Change{UpstreamSet: &sageconfig.UpstreamSet{Upstreams: ups}})
}

func testService() (*Service, *fakeConfig, *LocalLoad) {
	c := new(fakeConfig)
	c.apply(1,
		dataCentre("derby", true), dataCentre("leys", true),
		engine("d1", "derby", "m@1"), engine("d2", "derby", "m@2"), engine("l1", "leys", "m@1"), engine("l2", "leys", "m@3"),
		entry(sageconfig.KindUpstream, "app", sageconfig.Change{Upstream: &sageconfig.Upstream{Kind: sageconfig.Application, DataCentre: "derby", Models: []string{"m@1"}, MaxInFlight: 4}}),
		upstreamSet("all", "d1", "d2", "l1", "l2", "gone", "app"), upstreamSet("engines", "d1"), upstreamSet("own", "l1"), upstreamSet("none"),
		entry(sageconfig.KindModelSet, "stable", sageconfig.Change{ModelSet: &sageconfig.ModelSet{Versions: []string{"m@1", "m@2"}}}),
		entry(sageconfig.KindRoute, "m", sageconfig.Change{Route: &sageconfig.Route{Kind: sageconfig.RouteChat, UpstreamSet: "all", ModelSet: "stable"}}),
		entry(sageconfig.KindRoute, "book", sageconfig.Change{Route: &sageconfig.Route{Kind: sageconfig.RouteService, UpstreamSet: "engines"}}),
		entry(sageconfig.KindRoute, "empty", sageconfig.Change{Route: &sageconfig.Route{Kind: sageconfig.RouteChat, UpstreamSet: "none"}}),
		entry(sageconfig.KindClientAccount, "special", sageconfig.Change{ClientAccount: &sageconfig.ClientAccount{UpstreamSet: "own", Weight: 1}}),
	)
	l := &LocalLoad{Config: c}
	s := &Service{Config: c, Load: l, LoadBound: 1.5, TokenTTL: time.Hour, Metrics: metrics.NewSet(),
		TokenSigner: sageplace.TokenSigner{Keys: [][]byte{[]byte("key")}}}
	return s, c, l
}

func chat(account, route, id string) *sageentry.Request {
	return &sageentry.Request{ID: "r-" + id, Account: account, Route: route, Kind: sageconfig.RouteChat, ChatID: id, Priority: sagewire.Urgent}
}

// pickedUpstreams returns the upstreams at which many chats are placed. Each is released immediately.
func pickedUpstreams(t *testing.T, s *Service, account, route string) map[string]bool {
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

func nameSet(list ...string) map[string]bool {
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
		{"model set, upstream missing", "a", nil, nameSet("d1", "d2", "l1")},
		{"account's own set", "special", nil, nameSet("l1")},
		{"data centre out of service", "a", []sageconfig.Change{dataCentre("derby", false)}, nameSet("l1")},
		{"data centre deleted", "a", []sageconfig.Change{{Key: sageconfig.EntryKey{Kind: sageconfig.KindDataCentre, Name: "derby"}, Deleted: true}}, nameSet("l1")},
		{"leaving", "a", []sageconfig.Change{entry(sageconfig.KindUpstream, "d1", sageconfig.Change{Upstream: &sageconfig.Upstream{
			Kind: sageconfig.Engine, DataCentre: "derby", Models: []string{"m@1"}, MaxInFlight: 4, Leaving: true}})}, nameSet("d2", "l1")},
		{"drained by order", "a", []sageconfig.Change{entry(sageconfig.KindOrder, "o", sageconfig.Change{Order: &sageconfig.Order{Upstream: "d2", Drain: true}})}, nameSet("d1", "l1")},
		{"new model version", "a", []sageconfig.Change{entry(sageconfig.KindModelSet, "stable", sageconfig.Change{ModelSet: &sageconfig.ModelSet{Versions: []string{"m@3"}}})}, nameSet("l2")},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s, c, _ := testService()
			pickedUpstreams(t, s, tt.account, "m") // compiles the group, which the change must also affect
			if tt.change != nil {
				c.apply(2, tt.change...)
			}
			require.Equal(t, tt.want, pickedUpstreams(t, s, tt.account, "m"))
		})
	}
}

func TestRefusals(t *testing.T) {
	tests := []struct {
		name      string
		req       *sageentry.Request
		tried     []string
		reason    sagewire.Reason
		retriable bool
	}{
		{"no route", chat("a", "nowhere", "x"), nil, sagewire.ReasonNoRoute, false},
		{"other kind of route", chat("a", "book", "x"), nil, sagewire.ReasonNoRoute, false},
		{"empty set", chat("a", "empty", "x"), nil, sagewire.ReasonNoUpstream, true},
		{"all tried", chat("a", "m", "x"), []string{"d1", "d2", "l1", "gone"}, sagewire.ReasonNoUpstream, true},
		{"only engines for a service route", &sageentry.Request{ID: "r", Route: "book", Kind: sageconfig.RouteService}, nil, sagewire.ReasonNoUpstream, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s, _, _ := testService()
			_, ref := s.Pick(context.Background(), tt.req, tt.tried)
			require.NotNil(t, ref)
			require.Equal(t, sagewire.NotRun, ref.Outcome)
			require.Equal(t, tt.reason, ref.Reason)
			require.Equal(t, tt.retriable, ref.RetryAt.After(time.Now()))
		})
	}
}

// If all engines of the set are full, a request must be refused immediately with a retry time, later for bulk
// than for urgent requests. When a request ends, its unit must become available again.
func TestFullSetIsRefusedImmediately(t *testing.T) {
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
	picks[0].Release(&sagedispatch.Result{Outcome: sagewire.Complete}) // the second call must have no effect
	_, ref = s.Pick(context.Background(), chat("a", "m", "late"), nil)
	require.Nil(t, ref)
	_, ref = s.Pick(context.Background(), chat("a", "m", "later"), nil)
	require.NotNil(t, ref)
}

// Prevents a refusal based on stale loads: after a chat of account "special" ends on an engine shared with other
// accounts, another account's chat must not be refused because the engine was full when loads were last read.
func TestReleaseInOtherGroupFreesUpstream(t *testing.T) {
	s, c, _ := testService()
	c.apply(2, entry(sageconfig.KindModelSet, "stable", sageconfig.Change{ModelSet: &sageconfig.ModelSet{Versions: []string{"m@1"}}}),
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

func TestTokenSelectsItsUpstream(t *testing.T) {
	s, c, _ := testService()
	p, ref := s.Pick(context.Background(), chat("a", "m", "x"), nil)
	require.Nil(t, ref)
	first := p.Upstream
	p.Release(nil)
	p, _ = s.Pick(context.Background(), chat("a", "m", "x"), []string{first})
	require.NotEqual(t, first, p.Upstream, "tried upstreams are excluded")
	second := p.Upstream
	p.Release(nil)

	other, _, _ := testService() // the service of another VM
	withToken := chat("a", "m", "x")
	withToken.PlacementToken = p.PlacementToken
	p, _ = other.Pick(context.Background(), withToken, nil)
	require.Equal(t, second, p.Upstream, "every VM accepts the token")

	u, _ := c.state.Upstream(second)
	c.apply(2, dataCentre(u.DataCentre, false))
	p, ref = s.Pick(context.Background(), withToken, nil)
	require.Nil(t, ref)
	require.NotEqual(t, second, p.Upstream, "a token can't select an upstream in a data centre out of service")
}

func TestCachedLocationServesCallersWithoutToken(t *testing.T) {
	s, _, _ := testService()
	p, _ := s.Pick(context.Background(), chat("a", "m", "x"), nil)
	first := p.Upstream
	p.Release(nil)
	p, _ = s.Pick(context.Background(), chat("a", "m", "x"), []string{first})
	second := p.Upstream
	p.Release(&sagedispatch.Result{Outcome: sagewire.Complete})
	p, _ = s.Pick(context.Background(), chat("a", "m", "x"), nil)
	require.Equal(t, second, p.Upstream)
}

// bootLoad is a load whose upstreams all report the same boot id.
type bootLoad struct {
	LocalLoad
	boot string
}

func (l *bootLoad) View(name string) sageload.View {
	v := l.LocalLoad.View(name)
	v.BootID = l.boot
	return v
}

// Prevents using a placement token from before an engine's restart: the engine counts cache generations from
// zero again, so the token would seem to match although the prefix is no longer cached there.
func TestTokenOfEarlierBootIsIgnored(t *testing.T) {
	s, c, _ := testService()
	l := &bootLoad{LocalLoad: LocalLoad{Config: c}, boot: "b1"}
	s.Load = l
	p, _ := s.Pick(context.Background(), chat("a", "m", "x"), nil)
	first := p.Upstream
	p.Release(nil)
	p, _ = s.Pick(context.Background(), chat("a", "m", "x"), []string{first})
	p.Release(nil)
	withToken := chat("a", "m", "x")
	withToken.PlacementToken = p.PlacementToken
	l.boot = "b2"
	s.groups = nil
	s.state = nil
	p, _ = s.Pick(context.Background(), withToken, nil)
	require.Equal(t, first, p.Upstream)
}

// racedLoad is a load whose views show free units that can't be acquired.
type racedLoad struct {
	LocalLoad
	exhausted map[string]bool
}

func (l *racedLoad) Acquire(name string, now time.Time) bool {
	return !l.exhausted[name] && l.LocalLoad.Acquire(name, now)
}

// Prevents exceeding an engine's bound: another request may take the last unit of its allotment between reading
// the loads and acquiring a unit. The next upstream must then be selected.
func TestLostRaceSelectsNextUpstream(t *testing.T) {
	s, c, _ := testService()
	l := &racedLoad{LocalLoad: LocalLoad{Config: c}, exhausted: nameSet("d1", "d2")}
	s.Load = l
	require.Equal(t, nameSet("l1"), pickedUpstreams(t, s, "a", "m"))
	l.exhausted["l1"] = true
	_, ref := s.Pick(context.Background(), chat("a", "m", "x"), nil)
	require.Equal(t, sagewire.ReasonOverloaded, ref.Reason)
}

// openCircuit is a [Circuits] in which the circuit of one upstream is open.
type openCircuit struct {
	name    string
	results int
}

func (b *openCircuit) AllowSend(_ time.Time, name string, _ time.Time) bool       { return name != b.name }
func (b *openCircuit) RecordResult(_ time.Time, _ string, _ *sagedispatch.Result) { b.results++ }
func (b *openCircuit) view(l *LocalLoad) sageload.View                            { return l.View(b.name) }

func TestOpenCircuitIsSkipped(t *testing.T) {
	s, _, l := testService()
	b := &openCircuit{name: "d1"}
	s.Circuits = b
	require.Equal(t, nameSet("d2", "l1"), pickedUpstreams(t, s, "a", "m"))
	require.Equal(t, 200, b.results)
	require.Zero(t, b.view(l).InFlight, "the unit of a skipped upstream is released")
}

func TestGroupsAreBounded(t *testing.T) {
	s, c, _ := testService()
	for i := range maxGroups + 20 {
		s.group(c.state, groupKey{sageconfig.RouteChat, "all", string(rune('a' + i))})
		s.group(c.state, groupKey{sageconfig.RouteChat, "all", "stable"})
	}
	require.Len(t, s.groups, maxGroups)
	require.Contains(t, s.groups, groupKey{sageconfig.RouteChat, "all", "stable"}, "the most recently used group is retained")
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
