package sagefair

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Prevents damage by shares that make no sense.
func TestSharesThatMakeNoSense(t *testing.T) {
	for _, x := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1, 1e300, 1e-300} {
		t.Run(fmt.Sprint(x), func(t *testing.T) {
			g := &Gate{}
			now := gateStart
			for i := range 300 {
				g.SetShares(now, Shares{
					Short: i%3 > 0, Rates: map[string]float64{"a": x}, Other: x, OtherTotal: x, Excess: map[string]float64{"a": x}, Wait: x, Run: x,
				})
				g.Offer(now, arrival(now, "a"))
				_, next := g.Advance(now)
				require.True(t, next == 0 || next > now)
				require.False(t, math.IsNaN(g.buckets["a"].credit))
				now = now.Add(10 * time.Millisecond)
			}
		})
	}
}

func TestGateInvariants(t *testing.T) { rapid.Check(t, checkGate) }

func FuzzGate(f *testing.F) { f.Fuzz(rapid.MakeFuzz(checkGate)) }

// checkGate checks that an account never gets more than its rate and burst, that no credit is idle while requests wait, and
// that each request is decided on by its deadline.
func checkGate(t *rapid.T) {
	accounts := []string{"a", "b", "c", "unlisted"}
	sh := Shares{
		Short:  rapid.Bool().Draw(t, "short"),
		Rates:  map[string]float64{},
		Excess: map[string]float64{},
		Other:  rapid.Float64Range(0.01, 50).Draw(t, "other"),

		OtherTotal: rapid.SampledFrom([]float64{0, 0.1, 5, 100}).Draw(t, "other total"),
		Run:        rapid.Float64Range(0, 0.2).Draw(t, "run"),
		Wait:       rapid.Float64Range(0, 0.1).Draw(t, "wait"),
	}
	for _, a := range accounts[:3] {
		sh.Rates[a] = rapid.Float64Range(0.01, 200).Draw(t, "rate")
		sh.Excess[a] = rapid.SampledFrom([]float64{0, 1, 1.2, 2, 10}).Draw(t, "excess")
	}
	g := &Gate{}
	now := gateStart
	g.SetShares(now, sh)
	starts := map[string]int{}
	var waiting []*Entry
	check := func() {
		decided, next := g.Advance(now)
		require.True(t, next == 0 || next > now)
		for _, e := range decided {
			require.NotEqual(t, Waiting, e.State)
			if e.State == Running {
				starts[e.Arrival.Account]++
			}
		}
		n := 0
		for _, e := range waiting {
			if e.State == Waiting {
				n++
				require.LessOrEqual(t, now, e.Arrival.Deadline)
			}
		}
		require.Equal(t, n, g.Waiting())
		ofGroups := 0
		for _, b := range g.buckets {
			if b.group != nil {
				ofGroups += len(b.waiting)
			}
		}
		require.Equal(t, ofGroups, g.held.waiting+g.others.waiting)
		require.Equal(t, n > 0, next > 0)
		for a, b := range g.buckets {
			if len(b.waiting) > 0 {
				require.False(t, b.ready() && (b.group == nil || b.group.ready()), "credit is idle while requests wait")
			}
			limit := sh.rate(a)*now.Sub(gateStart).Seconds() + g.depth(a) + returnAhead + 0.01
			require.LessOrEqual(t, float64(starts[a]), limit)
		}
	}
	for range rapid.IntRange(1, 150).Draw(t, "steps") {
		switch rapid.IntRange(0, 9).Draw(t, "step") {
		case 0:
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "pause")))
		case 1:
			if len(waiting) > 0 {
				g.Cancel(now, waiting[rapid.IntRange(0, len(waiting)-1).Draw(t, "cancel")])
			}
		case 2:
			g.SetShares(now, sh)
		default:
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(20*time.Millisecond)).Draw(t, "gap")))
			a := Arrival{
				Account:   rapid.SampledFrom(accounts).Draw(t, "account"),
				Urgency:   rapid.IntRange(0, 3).Draw(t, "urgency"),
				Objective: now.Add(time.Duration(rapid.IntRange(-100, 900).Draw(t, "objective")) * time.Millisecond),
				Deadline:  now.Add(time.Duration(rapid.IntRange(-100, 4000).Draw(t, "deadline")) * time.Millisecond),
				Returned:  rapid.Bool().Draw(t, "returned"),
			}
			e := g.Offer(now, a)
			switch e.State {
			case Running:
				starts[a.Account]++
			case Waiting:
				waiting = append(waiting, e)
			default:
				require.GreaterOrEqual(t, e.RetryAt.Sub(now), minRetry)
			}
		}
		check()
	}
	for g.Waiting() > 0 {
		now = g.Next()
		check()
	}
}
