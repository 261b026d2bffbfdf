package sagerelay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/pkg/sageclock"
)

const second = sageclock.Instant(time.Second)

// Prevents requests that must be executed at most once from being the first to find out that upstreams forget idle
// connections.
func TestUnrepeatableRequestsFollowProof(t *testing.T) {
	var b idleBounds
	now := 100 * second
	require.True(t, b.allows(now, "s", time.Minute, true))
	require.False(t, b.allows(now, "s", 0, false), "nothing is known yet")
	for range provenReuses {
		b.recordReuse(now, "s", time.Second)
	}
	require.True(t, b.allows(now, "s", 500*time.Millisecond, false))
	require.False(t, b.allows(now, "s", time.Second, false), "not proven for longer times")
	for range 100 { // requests that must be executed at most once
		b.recordReuse(now, "s", 900*time.Millisecond)
	}
	require.False(t, b.allows(now, "s", time.Second, false), "they prove nothing for longer times")
	require.False(t, b.allows(now, "other", 500*time.Millisecond, false))
	require.False(t, b.allows(now.Add(20*proofHalfLife), "s", 500*time.Millisecond, false), "the proof is old")
	b.recordBreak(now, "s", 700*time.Millisecond, 0)
	require.False(t, b.allows(now, "s", 349*time.Millisecond, false), "the break takes back the proof")
	require.True(t, b.allows(now, "s", 349*time.Millisecond, true))
	require.False(t, b.allows(now, "s", 351*time.Millisecond, true))
}

func TestIdleBoundAfterBreaks(t *testing.T) {
	for _, c := range []struct {
		name    string
		breaks  []time.Duration
		bound   time.Duration // that the last break returns
		lowered bool
	}{
		{"half of the idle time", []time.Duration{400 * time.Millisecond}, 200 * time.Millisecond, true},
		{"the lowest counts", []time.Duration{400 * time.Millisecond, time.Second}, 200 * time.Millisecond, false},
		{"falls further", []time.Duration{400 * time.Millisecond, 200 * time.Millisecond}, 100 * time.Millisecond, true},
		{"not below the minimum", []time.Duration{30 * time.Millisecond}, minIdleBound, true},
		{"says nothing", []time.Duration{10 * time.Millisecond}, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			var b idleBounds
			var bound time.Duration
			var lowered bool
			for _, d := range c.breaks {
				bound, lowered = b.recordBreak(second, "s", d, time.Millisecond)
			}
			require.Equal(t, c.bound, bound)
			require.Equal(t, c.lowered, lowered)
		})
	}
}

// Prevents upstreams that lose answers, on any connection, from ending the reuse of connections.
func TestBreaksOfNewConnectionsSpeakForOtherCauses(t *testing.T) {
	for _, c := range []struct {
		name    string
		fresh   sageclock.Instant // 0: no new connection broke
		took    time.Duration
		lowered bool
	}{
		{"no new connection broke", 0, time.Second, true},
		{"new ones break as well", 9 * second, time.Second, false},
		{"at once", 9 * second, promptBreak, true},
		{"long ago", 4 * second, time.Second, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			var b idleBounds
			if c.fresh != 0 {
				b.recordFreshBreak(c.fresh, "s")
			}
			_, lowered := b.recordBreak(10*second, "s", time.Second, c.took)
			require.Equal(t, c.lowered, lowered)
		})
	}
}

// Prevents upstreams that forget connections without a reset from costing a request each time, and slow ones from ending
// the reuse.
func TestTimeoutsLowerIdleBound(t *testing.T) {
	const idle = 400 * time.Millisecond
	for _, c := range []struct {
		name    string
		between func(b *idleBounds)
		lowered bool
	}{
		{"nothing works", func(*idleBounds) {}, true},
		{"shorter times work", func(b *idleBounds) { b.recordReuse(second, "s", idle/2) }, true},
		{"longer times work", func(b *idleBounds) { b.recordReuse(second, "s", idle) }, false},
		{"new connections are unresponsive too", func(b *idleBounds) { b.recordFreshTimeout("s") }, false},
		{"another service works", func(b *idleBounds) { b.recordReuse(second, "other", time.Hour) }, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			var b idleBounds
			for range maxTimeouts - 1 {
				_, lowered := b.recordTimeout(second, "s", idle)
				require.False(t, lowered)
			}
			c.between(&b)
			bound, lowered := b.recordTimeout(second, "s", time.Second)
			require.Equal(t, c.lowered, lowered)
			if lowered {
				require.Equal(t, idle/2, bound)
			}
			_, lowered = b.recordTimeout(second, "s", time.Millisecond)
			require.False(t, lowered, "it had not been idle")
		})
	}
}

// Prevents more than a handful of requests from breaking at upstreams that forget connections after 300 ms.
func TestForgottenConnectionsCostFewRequests(t *testing.T) {
	var b idleBounds
	broken := 0
	for i := range 100_000 { // 10 requests a second, idle for 0 to 3 s
		now, idle := second.Add(time.Duration(i)*100*time.Millisecond), time.Duration(i*7919%3000)*time.Millisecond
		if !b.allows(now, "s", idle, true) {
			continue
		}
		if idle > 300*time.Millisecond {
			broken++
			b.recordBreak(now, "s", idle, 0)
		} else {
			b.recordReuse(now, "s", idle)
		}
		require.False(t, idle > 300*time.Millisecond && b.allows(now, "s", idle, false), "no unrepeatable request breaks")
	}
	require.LessOrEqual(t, broken, 12, "in nearly three hours")
}

func BenchmarkIdleBounds(b *testing.B) {
	var bounds idleBounds
	for i := range 100 {
		bounds.recordReuse(second, "s", time.Duration(i)*100*time.Millisecond)
	}
	b.ReportAllocs()
	for b.Loop() {
		bounds.allows(second, "s", 300*time.Millisecond, false)
	}
}
