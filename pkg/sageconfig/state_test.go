package sageconfig

import (
	"flag"
	"maps"
	"os"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, v := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, v); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// anyState draws states as the join of tickets: at most one content per number and thing.
func anyState(t *rapid.T, label string) *State {
	s := NewState()
	for _, n := range rapid.SliceOfN(rapid.Uint64Range(1, 6), 0, 8).Draw(t, label) {
		for _, name := range rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b", "c"}), 1, 2).Draw(t, label) {
			dc := &DataCentre{InService: n%2 == 0, Region: name}
			s.Apply(Entry{TicketNumber: n, Change: Change{Key: EntryKey{Kind: KindDataCentre, Name: name}, DataCentre: dc}})
		}
	}
	return s
}

func entries(s *State) map[EntryKey]Entry { return maps.Collect(s.All()) }

func joined(ss ...*State) *State {
	s := NewState()
	for _, o := range ss {
		s.Merge(o)
	}
	return s
}

// Copies that exchange changes in any order, late or repeatedly, must hold the same in the end.
func TestMergeIsJoin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := anyState(t, "a"), anyState(t, "b"), anyState(t, "c")
		assert.Equal(t, entries(joined(a, b)), entries(joined(b, a)), "commutative")
		assert.Equal(t, entries(joined(joined(a, b), c)), entries(joined(a, joined(b, c))), "associative")
		assert.Equal(t, entries(a), entries(joined(a, a)), "idempotent")
		ab := joined(a, b)
		for th, e := range a.All() {
			assert.GreaterOrEqual(t, ab.TicketNumber(th), e.TicketNumber, "never reverts")
		}
	})
}

// A state is served from while a clone of it is changed, and goes on being changed itself after it
// was cloned: neither may show in the other.
func TestCloneIsIndependent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type pair struct {
			s    *State
			want map[EntryKey]Entry
		}
		all := []pair{{NewState(), map[EntryKey]Entry{}}}
		n := uint64(0)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			i := rapid.IntRange(0, len(all)-1).Draw(t, "state")
			if rapid.Bool().Draw(t, "clone") {
				all = append(all, pair{all[i].s.Clone(), maps.Clone(all[i].want)})
				continue
			}
			n++
			e := Entry{TicketNumber: n, Change: Change{Key: EntryKey{Kind: KindUpstream, Name: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name")}, Deleted: true}}
			all[i].s.Apply(e)
			all[i].want[e.Change.Key] = e
		}
		for _, p := range all {
			require.Equal(t, p.want, entries(p.s))
			require.Equal(t, len(p.want), p.s.Len())
		}
	})
}

func TestNames(t *testing.T) {
	s := NewState()
	s.Apply(Entry{TicketNumber: 1, Change: Change{Key: EntryKey{Kind: KindDataCentre, Name: "b"}, DataCentre: new(DataCentre)}})
	s.Apply(Entry{TicketNumber: 1, Change: Change{Key: EntryKey{Kind: KindDataCentre, Name: "a"}, DataCentre: new(DataCentre)}})
	assert.Equal(t, []string{"a", "b"}, s.Names(KindDataCentre))
	s.Apply(Entry{TicketNumber: 2, Change: Change{Key: EntryKey{Kind: KindDataCentre, Name: "a"}, Deleted: true}})
	assert.Equal(t, []string{"b"}, s.Names(KindDataCentre))
	_, ok := s.DataCentre("a")
	assert.False(t, ok)
}

func TestUnserved(t *testing.T) {
	th := func(k Kind, n string) EntryKey { return EntryKey{Kind: k, Name: n} }
	build := func(change func(*Upstream, *DataCentre, *UpstreamSet)) *State {
		u := &Upstream{Kind: Engine, Address: "127.0.0.1:1", DataCentre: "derby", MaxInFlight: 1, Models: []string{"m@1"}}
		d := &DataCentre{InService: true}
		us := &UpstreamSet{Upstreams: []string{"e1"}}
		change(u, d, us)
		s := NewState()
		s.ApplyTicket(&Ticket{Number: 1, Changes: []Change{
			{Key: th(KindUpstream, "e1"), Upstream: u},
			{Key: th(KindDataCentre, "derby"), DataCentre: d},
			{Key: th(KindUpstreamSet, "s"), UpstreamSet: us},
			{Key: th(KindModelSet, "ms"), ModelSet: &ModelSet{Versions: []string{"m@1"}}},
			{Key: th(KindRoute, "chat"), Route: &Route{Kind: RouteChat, UpstreamSet: "s", ModelSet: "ms"}},
			{Key: th(KindClientAccount, "haller"), ClientAccount: &ClientAccount{UpstreamSet: "s"}},
			{Key: th(KindClientAccount, "other"), ClientAccount: &ClientAccount{}},
		}})
		return s
	}
	both := map[EntryKey]bool{th(KindRoute, "chat"): true, th(KindClientAccount, "haller"): true}
	for _, c := range []struct {
		name   string
		change func(*Upstream, *DataCentre, *UpstreamSet)
		want   map[EntryKey]bool
	}{
		{"served", func(*Upstream, *DataCentre, *UpstreamSet) {}, map[EntryKey]bool{}},
		{"leaving", func(u *Upstream, _ *DataCentre, _ *UpstreamSet) { u.Leaving = true }, both},
		{"data centre out", func(_ *Upstream, d *DataCentre, _ *UpstreamSet) { d.InService = false }, both},
		{"empty set", func(_ *Upstream, _ *DataCentre, s *UpstreamSet) { s.Upstreams = nil }, both},
		{"application", func(u *Upstream, _ *DataCentre, _ *UpstreamSet) { u.Kind = Application }, both},
		{"other version", func(u *Upstream, _ *DataCentre, _ *UpstreamSet) { u.Models = []string{"m@2"} }, map[EntryKey]bool{th(KindRoute, "chat"): true}},
	} {
		assert.Equal(t, c.want, build(c.change).WithoutUpstream(), c.name)
	}
}

func TestParseThing(t *testing.T) {
	th, err := ParseEntryKey("data_centre/derby")
	require.NoError(t, err)
	assert.Equal(t, "data_centre/derby", th.String())
	for _, bad := range []string{"", "derby", "zone/derby", "data_centre/", "data_centre/a b"} {
		_, err := ParseEntryKey(bad)
		assert.ErrorIs(t, err, ErrInvalidEntryKey, bad)
	}
}

func BenchmarkClone(b *testing.B) {
	s := NewState()
	for i := range 34_500 {
		name := "a" + string(rune('a'+i%26)) + string(rune('a'+i/26%26)) + string(rune('a'+i/676%26)) + string(rune('a'+i/17576))
		s.Apply(Entry{TicketNumber: 1, Change: Change{Key: EntryKey{Kind: KindClientAccount, Name: name}, ClientAccount: new(ClientAccount)}})
	}
	b.ReportMetric(float64(s.Len()), "entries")
	b.ReportAllocs()
	for b.Loop() {
		s.Clone()
	}
}
