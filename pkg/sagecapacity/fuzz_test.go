package sagecapacity

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/pkg/sageclock"
)

func FuzzLoad(f *testing.F) {
	f.Add(3, 0, 6, 100)
	f.Add(-1, math.MaxInt, 0, math.MinInt)
	f.Fuzz(func(t *testing.T, running, waiting, slots, slowness int) {
		tr := &Tracker{}
		updateFor(tr, 0, time.Second, Upstream{"a", 6, 3, 200}, Upstream{"b", 6, 3, 200})
		now := at(time.Second)
		l := Load{Running: running, Waiting: waiting, Slots: slots, Slowness: slowness}
		require.Equal(t, l.Check() == nil, tr.RecordLoad(now, "app", "a", l) == nil)
		requireSane(t, tr.Update(now, "app", []Upstream{{"a", 6, 3, 200}}))
		weights := make([]float64, 0, 2)
		for _, id := range []string{"a", "b"} {
			weights = append(weights, tr.services["app"].upstreams[id].weigh(now, &Candidate{ID: id, Slots: 6, InFlight: 3}, 6, 0.015))
		}
		require.InEpsilon(t, weights[1], weights[0], maxLoadRatio-1+0.01)
	})
}

func FuzzUpdate(f *testing.F) {
	f.Add(int64(time.Hour), 6, 3, 200.0, int64(time.Millisecond), 3)
	f.Add(int64(-5), -1, math.MaxInt, math.NaN(), int64(math.MinInt64), math.MinInt)
	f.Add(int64(math.MaxInt64), math.MaxInt, 0, math.Inf(1), int64(math.MaxInt64), math.MaxInt)
	f.Fuzz(func(t *testing.T, now int64, slots, inFlight int, runs float64, took int64, own int) {
		tr := &Tracker{Rand: func() float64 { return 0.5 }}
		upstreams := []Upstream{{"a", slots, inFlight, runs}, {"b", 6, 3, 200}}
		candidates := []Candidate{{"a", slots, inFlight, own}, {"b", 6, 3, 0}}
		for _, n := range []sageclock.Instant{sageclock.Instant(now), at(0), sageclock.Instant(now)} {
			tr.RecordRun(n, "app", "a", time.Duration(took))
			tr.RecordDecline(n, "app", "a")
			tr.RecordAsked(n, "app", runs)
			requireSane(t, tr.Update(n, "app", upstreams))
			require.Contains(t, []int{0, 1}, tr.Choose(n, "app", candidates))
			tr.AllowSecondSend(n, "app")
			for _, s := range tr.States(n, "app") {
				require.False(t, math.IsNaN(s.PerSecond) || s.PerSecond < 0 || s.Run < 0, "%+v", s)
			}
			tr.Sweep(n)
		}
	})
}
