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

func placer() *Placer[NoWidening] {
	return &Placer[NoWidening]{LoadBound: testBound, UncachedLoadBound: testFresh}
}

// sorted is the plain statement of inOrder: sort by cost, take the first that may be taken.
func sorted(t *Table, l *Loads, key uint64, tried []int, m limit) Choice {
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
	if l.fits(order[0], m) {
		return Choice{Index: order[0], Reason: ReasonHashOrder}
	}
	for _, want := range []bool{true, false} {
		for _, i := range order {
			if l.all[i].Known == want && l.fits(i, m) {
				return Choice{Index: i, Reason: map[bool]Reason{true: ReasonSpilled, false: ReasonLoadUnknown}[want]}
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

func TestInOrderIsFirstThatFits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 9).Draw(t, "n")
		ups := upstreams(n, 1)
		for i := range ups {
			ups[i].Weight = rapid.IntRange(1, 40).Draw(t, "weight")
		}
		tab, l := NewTable(ups), drawLoads(t, n)
		key := rapid.Uint64().Draw(t, "key")
		tried := rapid.SliceOfN(rapid.IntRange(0, 9), 0, 3).Draw(t, "tried")
		m := l.limit(1.25, 0)
		got, want := inOrder(tab, l, key, tried, m), sorted(tab, l, key, tried, m)
		if got != want {
			t.Fatalf("got %+v, want %+v", got, want)
		}
	})
}

// Story: one engine carries twice what the others do and its chats time out, while the others idle.
// Whatever rule chooses, the chosen upstream must be outside tried and under the bound after it.
func TestChoiceKeepsBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "n")
		tab, l := NewTable(upstreams(n, 16)), drawLoads(t, n)
		p := &Placer[*WidthByLoad]{LoadBound: testBound, UncachedLoadBound: testFresh, WidthPolicy: NewWidthByLoad(16)}
		q := &Query{
			Context:  rapid.Uint64Range(0, 3).Draw(t, "context"),
			Chat:     rapid.Uint64Range(0, 99).Draw(t, "chat"),
			Location: Location{Upstream: Key(fmt.Sprintf("engine-%d", rapid.IntRange(0, 13).Draw(t, "place")))},
			Headroom: float64(rapid.IntRange(0, 1).Draw(t, "yield")) / 4,
			Tried:    rapid.SliceOfN(rapid.IntRange(0, n-1), 0, 2).Draw(t, "tried"),
		}
		for step := range 8 {
			c := p.Choose(start.Add(time.Duration(step)*3*time.Second), tab, l, q)
			if c.Index < 0 {
				for i := range n {
					if !slices.Contains(q.Tried, i) && l.fits(i, l.limit(p.LoadBound, q.Headroom)) {
						t.Fatalf("refused as %v while %d fits", c.Reason, i)
					}
				}
				return
			}
			if slices.Contains(q.Tried, c.Index) || !l.fits(c.Index, l.limit(p.LoadBound, q.Headroom)) {
				t.Fatalf("chose %+v with %+v", c, l.At(c.Index))
			}
			l.AddRequests(c.Index, 1)
		}
	})
}

func TestReturningChatIsKept(t *testing.T) {
	tab := NewTable(upstreams(6, 10))
	chat := Key("chat-1")
	home := tab.Find(Key(first(tab, chat)))
	other := (home + 1) % 6
	place := Location{Upstream: Key(tab.Upstreams[other].Name), Generation: 4}
	tests := []struct {
		name  string
		load  Load
		tried []int
		want  int
	}{
		{"warm", Load{InFlight: 5, Cap: 10, Free: 3, Known: true, CacheGeneration: 4}, nil, other},
		{"cache lost", Load{InFlight: 5, Cap: 10, Free: 3, Known: true, CacheGeneration: 5}, nil, home},
		{"over the bound", Load{InFlight: 9, Cap: 10, Free: 3, Known: true, CacheGeneration: 4}, nil, home},
		{"cold, ramp full", Load{InFlight: 2, Cap: 2, Free: 3, Known: true, CacheGeneration: 4}, nil, home},
		{"no allotment", Load{InFlight: 5, Cap: 10, Known: true, CacheGeneration: 4}, nil, home},
		{"silent", Load{Cap: 10, Free: 3, CacheGeneration: 4}, nil, other},
		{"tried", Load{InFlight: 5, Cap: 10, Free: 3, Known: true, CacheGeneration: 4}, []int{other}, home},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := even(6, 5, 10)
			l.Set(other, tt.load)
			c := placer().Choose(start, tab, l, &Query{Chat: chat, Location: place, Tried: tt.tried})
			require.Equal(t, tt.want, c.Index)
		})
	}
}

// Story: an engine's reports stop while the others are busy. Its last word was "idle", so all routers
// send it everything that the others may not take, and it falls over before it is heard again.
func TestSilenceDrawsNoSpill(t *testing.T) {
	tab := NewTable(upstreams(5, 10))
	l := even(5, 8, 10)
	l.Set(3, Load{Cap: 10, Free: 10})
	for k := range 500 {
		key := mix(uint64(k + 1))
		busy := tab.Find(Key(first(tab, key)))
		if busy == 3 {
			continue
		}
		was := l.At(busy)
		l.Set(busy, Load{InFlight: 10, Cap: 10, Free: 10, Known: true})
		c := placer().Choose(start, tab, l, &Query{Chat: key})
		require.Equal(t, ReasonSpilled, c.Reason)
		require.NotEqual(t, 3, c.Index)
		l.Set(busy, was)
	}
	for i := range 5 {
		l.Set(i, Load{InFlight: 10, Cap: 10, Free: 10, Known: i != 3})
	}
	l.Set(3, Load{Cap: 10, Free: 10})
	c := placer().Choose(start, tab, l, &Query{Chat: 1})
	require.Equal(t, Choice{Index: -1, Reason: ReasonAllAtBound}, c, "when the rest is full the silent one counts as full")
}

func TestAllSilentStillServes(t *testing.T) {
	tab := NewTable(upstreams(3, 10))
	l := NewLoads(3)
	l.Refresh(func(int) Load { return Load{Cap: 10, Free: 1} })
	c := placer().Choose(start, tab, l, &Query{Chat: 5})
	require.Equal(t, ReasonHashOrder, c.Reason)
	l.AddRequests(c.Index, 1)
	c = placer().Choose(start, tab, l, &Query{Chat: 5})
	require.Equal(t, ReasonLoadUnknown, c.Reason, "allotments alone hold the bound now")
}

// Story: a context is spread over four engines, but all its new chats of a minute start on one of
// them, because a hash alone is blind to load. Of the two that a chat may use, the idler one must win.
func TestSpreadContextTakesLessLoaded(t *testing.T) {
	tab := NewTable(upstreams(12, 20))
	p := &Placer[fixed]{LoadBound: 1.35, UncachedLoadBound: 1.1, WidthPolicy: fixed(4)}
	ctx, l := Key("festival"), even(12, 8, 20)
	taken := map[int]int{}
	for k := range 400 {
		c := p.Choose(start, tab, l, &Query{Context: ctx, Chat: mix(uint64(k + 1))})
		require.Equal(t, ReasonHashOrder, c.Reason)
		taken[c.Index]++
	}
	require.Len(t, taken, 4)
	var order [4]int32
	tab.Order(ctx, order[:])
	l.Set(int(order[0]), Load{InFlight: 7, Cap: 20, Free: 20, Known: true})
	more := 0
	for k := range 400 {
		if p.Choose(start, tab, l, &Query{Context: ctx, Chat: mix(uint64(k + 1))}).Index == int(order[0]) {
			more++
		}
	}
	require.InDelta(t, 200, more, 40, "it wins for each chat that has it among its first two of four")
}

// fixed is a constant width.
type fixed int

func (n fixed) Upstreams(_ time.Time, t *Table, _ *Loads, context uint64) []int32 {
	order := make([]int32, n)
	return order[:t.Order(context, order)]
}

func TestNoCandidate(t *testing.T) {
	q := &Query{Chat: 5}
	require.Equal(t, Choice{Index: -1, Reason: ReasonNoCandidate}, placer().Choose(start, NewTable(nil), NewLoads(0), q))
	tab := NewTable(upstreams(2, 10))
	q.Tried = []int{0, 1}
	require.Equal(t, Choice{Index: -1, Reason: ReasonNoCandidate}, placer().Choose(start, tab, even(2, 0, 10), q))
	q.Tried = nil
	require.Equal(t, Choice{Index: -1, Reason: ReasonAllAtBound}, placer().Choose(start, tab, even(2, 10, 10), q))
}

// Story: half the engines leave; long audits fill the rest and a fitter on a doorstep is refused. The
// last part of each engine must stay free for urgent requests.
func TestBulkLeavesRoom(t *testing.T) {
	tab, l := NewTable(upstreams(2, 10)), even(2, 8, 10)
	require.Equal(t, ReasonAllAtBound, placer().Choose(start, tab, l, &Query{Chat: 5, Headroom: 0.2}).Reason)
	require.Equal(t, ReasonHashOrder, placer().Choose(start, tab, l, &Query{Chat: 5}).Reason)
}

func TestBaselinesKeepCapacity(t *testing.T) {
	tab := NewTable(upstreams(4, 10))
	r := rand.New(rand.NewPCG(1, 1))
	for _, p := range []Policy{&Random{r}, &RoundRobin{}, LeastLoaded{}, &TwoChoices{r}, PlainHash{}} {
		l := even(4, 10, 10)
		l.Set(2, Load{InFlight: 3, Cap: 10, Free: 5, Known: true})
		for k := range 20 {
			require.Equal(t, 2, p.Choose(start, tab, l, &Query{Chat: uint64(k + 1)}).Index, "%T", p)
		}
		require.Equal(t, -1, p.Choose(start, tab, l, &Query{Chat: 1, Tried: []int{2}}).Index, "%T", p)
		require.Equal(t, -1, p.Choose(start, NewTable(nil), NewLoads(0), &Query{Chat: 1}).Index, "%T", p)
	}
}
