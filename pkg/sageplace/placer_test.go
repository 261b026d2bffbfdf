package sageplace

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 11, 1, 8, 0, 0, 0, time.UTC)

func newPlacer() *Placer[NoWidening] {
	return &Placer[NoWidening]{LoadBound: testBound, UncachedLoadBound: testUncachedBound}
}

// sortedChoice is a reference implementation of firstInOrder: it sorts by cost and returns the first
// upstream that may be chosen.
func sortedChoice(t *Table, l *Loads, key uint64, tried []int, limit loadLimit) Choice {
	var order []int
	for i := range t.Upstreams {
		if !slices.Contains(tried, i) {
			order = append(order, i)
		}
	}
	sort.Slice(order, func(a, b int) bool { return t.cost(key, order[a]) < t.cost(key, order[b]) })
	if len(order) == 0 {
		return Choice{Index: -1, Reason: ReasonNoCandidate}
	}
	if l.fits(order[0], limit) {
		return Choice{Index: order[0], Reason: ReasonHashOrder}
	}
	for _, known := range []bool{true, false} {
		for _, i := range order {
			if l.loads[i].Known == known && l.fits(i, limit) {
				return Choice{Index: i, Reason: map[bool]Reason{true: ReasonSpilled, false: ReasonLoadUnknown}[known]}
			}
		}
	}
	return Choice{Index: -1, Reason: ReasonAllAtBound}
}

func drawLoads(t *rapid.T, n int) *Loads {
	l := NewLoads(n)
	for i := range n {
		l.Set(i, Load{
			InFlight: float64(rapid.IntRange(0, 20).Draw(t, "in flight")),
			Cap:      rapid.IntRange(0, 16).Draw(t, "cap"),
			Free:     rapid.IntRange(0, 2).Draw(t, "free"),
			Known:    rapid.IntRange(0, 3).Draw(t, "known") > 0,
		})
	}
	return l
}

func TestFirstInOrderMatchesSorting(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 9).Draw(t, "n")
		ups := upstreams(n, 1)
		for i := range ups {
			ups[i].Weight = rapid.IntRange(1, 40).Draw(t, "weight")
		}
		tab, l := NewTable(ups), drawLoads(t, n)
		key := rapid.Uint64().Draw(t, "key")
		tried := rapid.SliceOfN(rapid.IntRange(0, 9), 0, 3).Draw(t, "tried")
		limit := l.limitFor(1.25, 0)
		got, want := firstInOrder(tab, l, key, tried, limit), sortedChoice(tab, l, key, tried, limit)
		if got != want {
			t.Fatalf("got %+v, want %+v", got, want)
		}
	})
}

// Guards against an engine that carries twice the load of the others, whose chats time out while others
// are idle. Whatever rule applies, the chosen upstream must not have been tried and must be under the
// bound afterwards.
func TestChoiceKeepsBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "n")
		tab, l := NewTable(upstreams(n, 16)), drawLoads(t, n)
		p := &Placer[*WidthByLoad]{LoadBound: testBound, UncachedLoadBound: testUncachedBound, WidthPolicy: NewWidthByLoad(16)}
		q := &Query{
			Context:  rapid.Uint64Range(0, 3).Draw(t, "context"),
			Chat:     rapid.Uint64Range(0, 99).Draw(t, "chat"),
			Location: Location{Upstream: Key(fmt.Sprintf("engine-%d", rapid.IntRange(0, 13).Draw(t, "location")))},
			Headroom: float64(rapid.IntRange(0, 1).Draw(t, "headroom")) / 4,
			Tried:    rapid.SliceOfN(rapid.IntRange(0, n-1), 0, 2).Draw(t, "tried"),
		}
		for step := range 8 {
			c := p.Choose(start.Add(time.Duration(step)*3*time.Second), tab, l, q)
			if c.Index < 0 {
				for i := range n {
					if !slices.Contains(q.Tried, i) && l.fits(i, l.limitFor(p.LoadBound, q.Headroom)) {
						t.Fatalf("refused with reason %v while upstream %d fits", c.Reason, i)
					}
				}
				return
			}
			if slices.Contains(q.Tried, c.Index) || !l.fits(c.Index, l.limitFor(p.LoadBound, q.Headroom)) {
				t.Fatalf("chose %+v with %+v", c, l.At(c.Index))
			}
			l.AddRequests(c.Index, 1)
		}
	})
}

func TestReturningChatUsesCachedPrefix(t *testing.T) {
	tab := NewTable(upstreams(6, 10))
	chat := Key("chat-1")
	firstChoice := tab.Find(Key(firstUpstream(tab, chat)))
	other := (firstChoice + 1) % 6
	loc := Location{Upstream: Key(tab.Upstreams[other].Name), Generation: 4}
	tests := []struct {
		name  string
		load  Load
		tried []int
		want  int
	}{
		{"cached", Load{InFlight: 5, Cap: 10, Free: 3, Known: true, CacheGeneration: 4}, nil, other},
		{"cache lost", Load{InFlight: 5, Cap: 10, Free: 3, Known: true, CacheGeneration: 5}, nil, firstChoice},
		{"over the bound", Load{InFlight: 9, Cap: 10, Free: 3, Known: true, CacheGeneration: 4}, nil, firstChoice},
		{"cap reduced by a cold start", Load{InFlight: 2, Cap: 2, Free: 3, Known: true, CacheGeneration: 4}, nil, firstChoice},
		{"no allotment", Load{InFlight: 5, Cap: 10, Known: true, CacheGeneration: 4}, nil, firstChoice},
		{"load unknown", Load{Cap: 10, Free: 3, CacheGeneration: 4}, nil, other},
		{"tried", Load{InFlight: 5, Cap: 10, Free: 3, Known: true, CacheGeneration: 4}, []int{other}, firstChoice},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := evenLoads(6, 5, 10)
			l.Set(other, tt.load)
			c := newPlacer().Choose(start, tab, l, &Query{Chat: chat, Location: loc, Tried: tt.tried})
			require.Equal(t, tt.want, c.Index)
		})
	}
}

// Guards against an overload of an engine whose reports stop while the others are busy. Its last report
// showed it idle; if it still counted as idle, all routers would send it everything that the others
// can't take.
func TestUnknownLoadAttractsNoSpill(t *testing.T) {
	tab := NewTable(upstreams(5, 10))
	l := evenLoads(5, 8, 10)
	l.Set(3, Load{Cap: 10, Free: 10})
	for k := range 500 {
		key := mix(uint64(k + 1))
		busy := tab.Find(Key(firstUpstream(tab, key)))
		if busy == 3 {
			continue
		}
		previous := l.At(busy)
		l.Set(busy, Load{InFlight: 10, Cap: 10, Free: 10, Known: true})
		c := newPlacer().Choose(start, tab, l, &Query{Chat: key})
		require.Equal(t, ReasonSpilled, c.Reason)
		require.NotEqual(t, 3, c.Index)
		l.Set(busy, previous)
	}
	for i := range 5 {
		l.Set(i, Load{InFlight: 10, Cap: 10, Free: 10, Known: i != 3})
	}
	l.Set(3, Load{Cap: 10, Free: 10})
	c := newPlacer().Choose(start, tab, l, &Query{Chat: 1})
	require.Equal(t, Choice{Index: -1, Reason: ReasonAllAtBound}, c, "if all others are full, the one of unknown load counts as full")
}

func TestAllLoadsUnknownStillServes(t *testing.T) {
	tab := NewTable(upstreams(3, 10))
	l := NewLoads(3)
	l.Refresh(func(int) Load { return Load{Cap: 10, Free: 1} })
	c := newPlacer().Choose(start, tab, l, &Query{Chat: 5})
	require.Equal(t, ReasonHashOrder, c.Reason)
	l.AddRequests(c.Index, 1)
	c = newPlacer().Choose(start, tab, l, &Query{Chat: 5})
	require.Equal(t, ReasonLoadUnknown, c.Reason, "without reports only the allotments limit the load")
}

// Guards against a spread context whose new chats all start on one of its engines, because a hash alone
// ignores the load. Of the first two engines in a chat's order, the less loaded one must be chosen.
func TestSpreadContextTakesLessLoaded(t *testing.T) {
	tab := NewTable(upstreams(12, 20))
	p := &Placer[fixedWidth]{LoadBound: 1.35, UncachedLoadBound: 1.1, WidthPolicy: fixedWidth(4)}
	ctx, l := Key("festival"), evenLoads(12, 8, 20)
	counts := map[int]int{}
	for k := range 400 {
		c := p.Choose(start, tab, l, &Query{Context: ctx, Chat: mix(uint64(k + 1))})
		require.Equal(t, ReasonHashOrder, c.Reason)
		counts[c.Index]++
	}
	require.Len(t, counts, 4)
	var order [4]int32
	tab.Order(ctx, order[:])
	l.Set(int(order[0]), Load{InFlight: 7, Cap: 20, Free: 20, Known: true})
	chosen := 0
	for k := range 400 {
		if p.Choose(start, tab, l, &Query{Context: ctx, Chat: mix(uint64(k + 1))}).Index == int(order[0]) {
			chosen++
		}
	}
	require.InDelta(t, 200, chosen, 40, "chosen by each chat that has it among its first two of four")
}

// fixedWidth is a policy of constant width.
type fixedWidth int

func (n fixedWidth) Upstreams(_ time.Time, t *Table, _ *Loads, context uint64) []int32 {
	order := make([]int32, n)
	return order[:t.Order(context, order)]
}

func TestNoCandidate(t *testing.T) {
	q := &Query{Chat: 5}
	require.Equal(t, Choice{Index: -1, Reason: ReasonNoCandidate}, newPlacer().Choose(start, NewTable(nil), NewLoads(0), q))
	tab := NewTable(upstreams(2, 10))
	q.Tried = []int{0, 1}
	require.Equal(t, Choice{Index: -1, Reason: ReasonNoCandidate}, newPlacer().Choose(start, tab, evenLoads(2, 0, 10), q))
	q.Tried = nil
	require.Equal(t, Choice{Index: -1, Reason: ReasonAllAtBound}, newPlacer().Choose(start, tab, evenLoads(2, 10, 10), q))
}

// Guards against less urgent requests that fill all engines, so that an urgent one is refused. The last
// part of each engine's cap must stay free for urgent requests.
func TestHeadroomIsKeptForUrgentRequests(t *testing.T) {
	tab, l := NewTable(upstreams(2, 10)), evenLoads(2, 8, 10)
	require.Equal(t, ReasonAllAtBound, newPlacer().Choose(start, tab, l, &Query{Chat: 5, Headroom: 0.2}).Reason)
	require.Equal(t, ReasonHashOrder, newPlacer().Choose(start, tab, l, &Query{Chat: 5}).Reason)
}

func TestBaselinesKeepCapacity(t *testing.T) {
	tab := NewTable(upstreams(4, 10))
	r := rand.New(rand.NewPCG(1, 1))
	for _, p := range []Policy{&Random{r}, &RoundRobin{}, LeastLoaded{}, &TwoChoices{r}, PlainHash{}} {
		l := evenLoads(4, 10, 10)
		l.Set(2, Load{InFlight: 3, Cap: 10, Free: 5, Known: true})
		for k := range 20 {
			require.Equal(t, 2, p.Choose(start, tab, l, &Query{Chat: uint64(k + 1)}).Index, "%T", p)
		}
		require.Equal(t, -1, p.Choose(start, tab, l, &Query{Chat: 1, Tried: []int{2}}).Index, "%T", p)
		require.Equal(t, -1, p.Choose(start, NewTable(nil), NewLoads(0), &Query{Chat: 1}).Index, "%T", p)
	}
}
