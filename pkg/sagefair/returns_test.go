package sagefair

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/pkg/sageclock"
	"sagestand.example/sagestand/pkg/sagewire"
)

// Prevents that callers who come back as asked are refused again.
func TestReturnedCallersAreServed(t *testing.T) {
	for _, nodes := range []int{1, 4, 133} {
		for _, excess := range []float64{1.2, 1.5, 10} {
			t.Run(fmt.Sprintf("%d nodes, excess %v", nodes, excess), func(t *testing.T) {
				s := newGateSim(nodes, 1)
				s.returns = true
				s.setShares(Shares{Short: true, Rates: map[string]float64{"a": 40 / float64(nodes)}, Excess: map[string]float64{"a": excess}})
				s.play(60*time.Second, gateLoad{account: "a", perSecond: 40 * excess})
				c := s.counts["a"]
				require.Greater(t, c.Returned, 10)
				require.LessOrEqual(t, c.RefusedTwice*50, c.Returned)
			})
		}
	}
}

// Prevents that refused callers come back all at once or before those that were refused earlier.
func TestPromisedPlacesAreInOrderAndSpread(t *testing.T) {
	g := shortGate(t)
	var promised []sageclock.Instant
	for now := gateStart; len(promised) < 3; now = now.Add(10 * time.Millisecond) {
		a := arrival(now, "a")
		a.Deadline = now.Add(20 * time.Second)
		if e := g.Offer(now, a); e.State == Refused {
			require.Equal(t, sagewire.ReasonAccountLimit, e.Reason)
			require.GreaterOrEqual(t, e.RetryAt.Sub(now), minRetry)
			promised = append(promised, e.RetryAt)
		}
	}
	interval := 2 * time.Second // a twentieth of the rate of 10
	require.InDelta(t, interval, promised[1].Sub(promised[0]), float64(time.Millisecond))
	require.InDelta(t, interval, promised[2].Sub(promised[1]), float64(time.Millisecond))
}

// Prevents that a place is taken for a caller for which it is too late.
func TestNoPlaceIsPromisedBeyondTheDeadline(t *testing.T) {
	for name, within := range map[string]float64{"": 0, "callers that wait a third of their time": 1.0 / 3} {
		t.Run(name, func(t *testing.T) {
			g := shortGate(t)
			g.ReturnWithin = within
			last := sageclock.Instant(0)
			for range 100 {
				if e := g.Offer(gateStart, arrival(gateStart, "a")); e.State == Refused {
					last = max(last, e.RetryAt)
				}
			}
			limit := 4 * time.Second
			if within > 0 {
				limit = time.Duration(within * float64(limit))
			}
			require.Greater(t, last.Sub(gateStart), limit, "the refusal names the true time")
			require.LessOrEqual(t, g.buckets["a"].promised.Sub(gateStart), limit)
		})
	}
}

// Prevents that a caller who has come back waits behind new ones of its account.
func TestReturnedCallerGoesFirst(t *testing.T) {
	g := shortGate(t)
	fresh := g.Offer(gateStart, arrival(gateStart, "a"))
	require.Equal(t, Waiting, fresh.State)
	a := arrival(gateStart, "a")
	a.Returned = true
	require.Equal(t, Running, g.Offer(gateStart, a).State)
	decided, _ := g.Advance(gateStart.Add(100 * time.Millisecond))
	require.Empty(t, decided, "its place was taken")
	decided, _ = g.Advance(gateStart.Add(200 * time.Millisecond))
	require.Equal(t, []*Entry{fresh}, decided)
}

// Prevents that claims to have been refused before bring an account more than its share.
func TestFalseClaimsToHaveReturned(t *testing.T) {
	g := shortGate(t)
	starts := 0
	for now := gateStart; now < gateStart.Add(10*time.Second); now = now.Add(time.Millisecond) {
		a := arrival(now, "a")
		a.Returned = true
		if g.Offer(now, a).State == Running {
			starts++
		}
		decided, _ := g.Advance(now)
		for _, e := range decided {
			if e.State == Running {
				starts++
			}
		}
	}
	require.LessOrEqual(t, starts, 10*10+returnAhead)
}
