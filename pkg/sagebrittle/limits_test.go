package sagebrittle

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/pkg/sageclock"
)

func at(ms int) sageclock.Instant { return sageclock.Instant(time.Duration(ms) * time.Millisecond) }

// acquireAll takes as many places as a node gets at an upstream.
func acquireAll(l *Limits[string], now sageclock.Instant, r Request[string]) []Place[string] {
	var out []Place[string]
	for {
		p, ok := l.Acquire(now, &r)
		if !ok || len(out) == 100 {
			return out
		}
		out = append(out, p)
	}
}

func TestPlacesAreDividedAmongNodes(t *testing.T) {
	for _, tt := range []struct{ slots, nodes, want int }{{6, 1, 5}, {6, 3, 5}, {64, 9, 60}, {6, 20, 5}, {1, 4, 1}, {0, 2, unknownSlots - 1}} {
		total := 0
		for i := range tt.nodes {
			l := new(Limits[string])
			l.Announce(at(1), "s", 0, 0)
			r := Request[string]{Service: "s", Upstream: "e1", Name: "e", Slots: tt.slots, Offset: 7, Nodes: tt.nodes, Index: i}
			places := l.Places(at(1), &r)
			require.Len(t, acquireAll(l, at(1), r), places)
			total += places
		}
		require.Equal(t, tt.want, total, "%+v", tt)
	}
}

func TestServiceThatIsNotBrittleHasNoLimit(t *testing.T) {
	l := new(Limits[string])
	r := Request[string]{Service: "s", Upstream: "e1", Name: "e", Slots: 2, Nodes: 1}
	require.Len(t, acquireAll(l, at(1), r), 100)
	require.True(t, l.Announce(at(1), "s", 3, 0))
	require.False(t, l.Announce(at(2), "s", 3, 0), "known")
	require.False(t, l.Announce(at(2), "t", 3, announcementDuration), "too old")
	require.Len(t, acquireAll(l, at(3), r), 1, "one of two slots")
	end := 2 + int(announcementDuration.Milliseconds())
	require.True(t, l.Active(at(end-1), "s"))
	require.Len(t, acquireAll(l, at(end), r), 100, "upstreams no longer say so")
	l.Sweep(at(end))
	require.Empty(t, l.services)
}

func TestDeclinesReduceTheLimitOfAllNodes(t *testing.T) {
	a, b := new(Limits[string]), new(Limits[string])
	r := Request[string]{Service: "s", Upstream: "e1", Name: "e", Slots: 17, Nodes: 2}
	a.Announce(at(1), "s", 3, 0)
	p, _ := a.Acquire(at(1), &r)
	a.RecordDecline(at(1), p)
	a.Release(p)
	announcements, reports := a.Reports(at(1))
	require.Equal(t, []Announcement{{"s", 3, 0}}, announcements)
	require.Equal(t, []Report{{"e", 12}}, reports)
	require.Equal(t, []string{"s"}, b.Merge(at(1), announcements, reports, func(string) string { return "s" }))
	require.Equal(t, 6, a.Places(at(1), &r))
	require.Equal(t, 6, b.Places(at(1), &r))
	b.Announce(at(2500), "s", 3, 0)
	require.Equal(t, 8, b.Places(at(2500), &r), "the report is over")
}

func TestStartedUpstreamGetsLittleFirst(t *testing.T) {
	l := new(Limits[string])
	r := Request[string]{Service: "s", Upstream: "e1", Name: "e", Slots: 17, Nodes: 1}
	l.Announce(at(1), "s", 3, 0)
	require.Equal(t, 16, l.Places(at(1), &r))
	l.Announce(at(3000), "s", 3, 0)
	r.Upstream = "e1 again"
	require.Equal(t, 4, l.Places(at(3500), &r))
	l.Announce(at(5500), "s", 3, 0)
	require.Equal(t, 7, l.Places(at(5500), &r), "it grows")
}

// Prevents an account that sends many requests from taking the places of the others.
func TestAccountsShareScarcePlaces(t *testing.T) {
	l := new(Limits[string])
	_, ok := l.Admit(at(1), "s", "large", 0)
	require.True(t, ok, "not brittle")
	l.Announce(at(1), "s", 3, 0)
	var leave []func()
	for range 8 {
		end, ok := l.Admit(at(1), "s", "large", 8)
		require.True(t, ok, "nobody else needs places")
		leave = append(leave, end)
	}
	_, ok = l.Admit(at(1), "s", "large", 8)
	require.False(t, ok)
	end, ok := l.Admit(at(1), "s", "small", 8)
	require.True(t, ok)
	leave[0]()
	_, ok = l.Admit(at(1), "s", "large", 8)
	require.False(t, ok, "it has more than half of the places")
	end()
	for _, end := range leave[1:] {
		end()
	}
	require.Empty(t, l.services["s"].accounts)
}

func TestAwaitRelease(t *testing.T) {
	l := new(Limits[string])
	r := Request[string]{Service: "s", Upstream: "e1", Name: "e", Slots: 2, Nodes: 1}
	_, _, ok := l.AwaitRelease(at(1), "s", 1)
	require.False(t, ok, "not brittle")
	l.Announce(at(1), "s", 3, 0)
	p, _ := l.Acquire(at(1), &r)
	released, end, ok := l.AwaitRelease(at(1), "s", 1)
	require.True(t, ok)
	_, _, ok = l.AwaitRelease(at(1), "s", 1)
	require.False(t, ok, "as many wait as there are places")
	l.Release(p)
	<-released
	end()
	_, end, ok = l.AwaitRelease(at(1), "s", 1)
	require.True(t, ok)
	end()
}
