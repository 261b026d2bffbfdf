package sageplace

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a context shared by a third of all chats that stays on one engine: the engine is at
// the bound, and each further chat spills with its whole prompt uncached. The context must spread and
// shrink again when the load falls, without oscillating in between.
func TestWidthByLoadWidensAndNarrows(t *testing.T) {
	tab := NewTable(upstreams(8, 20))
	r := NewWidthByLoad(16)
	l := evenLoads(8, 8, 20)
	ctx := Key("festival")
	now := start
	width := func() int { return len(r.Upstreams(now, tab, l, ctx)) }
	require.Equal(t, 1, width())

	hot := r.Upstreams(now, tab, l, ctx)[0]
	l.Set(int(hot), Load{InFlight: 14, Cap: 20, Free: 9, Known: true})
	now = now.Add(r.WidenInterval)
	require.Equal(t, 2, width(), "its upstream is above the upper threshold")
	require.Equal(t, 2, width(), "the second one has capacity")
	second := r.Upstreams(now, tab, l, ctx)[1]
	l.Set(int(second), Load{InFlight: 14, Cap: 20, Free: 9, Known: true})
	now = now.Add(r.WidenInterval / 2)
	require.Equal(t, 2, width(), "the effect of the last change is not yet in the reports")
	now = now.Add(r.WidenInterval)
	require.Equal(t, 3, width())

	l = evenLoads(8, 8, 20)
	now = now.Add(r.NarrowInterval)
	require.Equal(t, 3, width(), "between the thresholds nothing changes")
	for _, i := range r.Upstreams(now, tab, l, ctx) {
		l.Set(int(i), Load{InFlight: 1, Cap: 20, Free: 9, Known: true})
	}
	for want := 2; want > 0; want-- {
		require.Equal(t, want, width())
		require.Equal(t, want, width(), "one step per interval")
		now = now.Add(r.NarrowInterval)
	}
}

func TestWidthKeptThroughTableChange(t *testing.T) {
	r := NewWidthByLoad(16)
	ctx := Key("festival")
	now, table := start, NewTable(upstreams(8, 20))
	full := NewLoads(8)
	full.Refresh(func(int) Load { return Load{InFlight: 20, Cap: 20, Known: true} })
	for range 4 {
		r.Upstreams(now, table, full, ctx)
		now = now.Add(r.WidenInterval)
	}
	require.Len(t, r.Upstreams(now, table, evenLoads(8, 5, 20), ctx), 6, "widths 1, 2, 3, 4, 6")
	require.Len(t, r.Upstreams(now, NewTable(upstreams(7, 20)), evenLoads(7, 5, 20), ctx), 6)
	require.Len(t, r.Upstreams(now, NewTable(upstreams(2, 20)), evenLoads(2, 5, 20), ctx), 2)
	require.Empty(t, r.Upstreams(now, NewTable(nil), NewLoads(0), ctx))
}

func TestWidthByShareFollowsDemand(t *testing.T) {
	r := NewWidthByShare(64)
	tab, l := NewTable(upstreams(10, 20)), evenLoads(10, 5, 20)
	now, width := start, 0
	for k := range 2000 {
		now = now.Add(20 * time.Millisecond)
		ctx := Key("festival")
		if k%2 == 1 {
			ctx = mix(uint64(k))
		}
		if w := len(r.Upstreams(now, tab, l, ctx)); k%2 == 0 {
			width = w
		}
	}
	require.InDelta(t, 5, width, 1, "half of all requests, ten upstreams")
}
