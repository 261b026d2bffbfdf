package sagecapacity

import (
	"fmt"
	"math"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/pkg/sageclock"
)

func at(d time.Duration) sageclock.Instant { return sageclock.Instant(time.Hour + d) }

// updateFor reports the same figures for some time and returns the last estimate.
func updateFor(t *Tracker, from, to time.Duration, upstreams ...Upstream) (e Estimate) {
	for d := from; d <= to; d += 200 * time.Millisecond {
		e = t.Update(at(d), "app", upstreams)
	}
	return e
}

func TestCapacityByLittlesLaw(t *testing.T) {
	for _, tt := range []struct {
		name      string
		upstreams []Upstream
		want      float64
		wantRun   time.Duration
		wantWait  time.Duration
	}{
		{"half busy", []Upstream{{"a", 6, 3, 200}}, 400, 15 * time.Millisecond, 0},
		{"queue", []Upstream{{"a", 6, 17, 400}}, 400, 15 * time.Millisecond, 30 * time.Millisecond},
		{"two", []Upstream{{"a", 6, 6, 400}, {"b", 6, 3, 50}}, 500, 24 * time.Millisecond, 0},
		{"shortest wait", []Upstream{{"a", 6, 17, 400}, {"b", 6, 11, 400}}, 800, 15 * time.Millisecond, 15 * time.Millisecond},
		{"slots of one unknown", []Upstream{{"a", 6, 3, 200}, {"b", 0, 3, 200}}, 800, 15 * time.Millisecond, 0},
		{"queue at unknown slots", []Upstream{{"a", 6, 3, 200}, {"b", 0, 30, 400}}, 800, 15 * time.Millisecond, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			e := updateFor(&Tracker{}, 0, 5*time.Second, tt.upstreams...)
			require.InEpsilon(t, tt.want, e.PerSecond, 0.1)
			require.InEpsilon(t, float64(tt.wantRun), float64(e.Run), 0.1)
			require.InDelta(t, float64(tt.wantWait), float64(e.Wait), float64(3*time.Millisecond))
			require.Equal(t, at(5*time.Second), e.At)
		})
	}
}

func TestCapacityIsUnknown(t *testing.T) {
	for _, tt := range []struct {
		name      string
		upstreams []Upstream
	}{
		{"no upstream", nil},
		{"no runs yet", []Upstream{{"a", 6, 0, 0}}},
		{"no sums", []Upstream{{"a", 6, 3, -1}}},
		{"no slots", []Upstream{{"a", 0, 3, 200}, {"b", -1, 3, 200}}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			tr := &Tracker{}
			require.Equal(t, Estimate{At: at(0)}, tr.Update(at(0), "app", tt.upstreams))
			require.True(t, tr.AllowSecondSend(at(0), "app"))
		})
	}
	require.Zero(t, (&Tracker{}).Estimate("other"))
}

func TestCapacityByOwnRunsIfSumsAreMissing(t *testing.T) {
	tr := &Tracker{}
	for i := range 100 {
		tr.RecordRun(at(time.Duration(i)*10*time.Millisecond), "app", "a", 20*time.Millisecond)
	}
	e := tr.Update(at(time.Second), "app", []Upstream{{ID: "a", Slots: 6, InFlight: 3, RunsPerSecond: -1}, {ID: "b", Slots: 4, RunsPerSecond: math.NaN()}})
	require.InEpsilon(t, 10/0.020, e.PerSecond, 0.01, "b is taken to run as fast as a")
}

// Prevents that sums from before a separation decide for as long as it lasts.
func TestSumsThatAreOldDoNotDecide(t *testing.T) {
	tr := &Tracker{}
	updateFor(tr, 0, 4*time.Second, Upstream{"a", 6, 30, 40})
	require.False(t, tr.AllowSecondSend(at(4*time.Second), "app"))
	later := 4*time.Second + maxUpdateAge + time.Millisecond
	require.True(t, tr.AllowSecondSend(at(later), "app"))
	for i := range 50 {
		tr.RecordRun(at(later+time.Duration(i)*10*time.Millisecond), "app", "a", 15*time.Millisecond)
	}
	require.InEpsilon(t, 0.015, tr.services["app"].usualRun(at(later+time.Second)), 0.05)
	e := tr.Update(at(later+time.Second), "app", []Upstream{{"a", 6, 3, -1}})
	require.InEpsilon(t, 400, e.PerSecond, 0.05)
}

// Prevents that a few requests in flight, counted at one instant, change the capacity by a multiple.
func TestNoiseOfFewRequestsInFlight(t *testing.T) {
	tr := &Tracker{}
	counts := []int{0, 2, 1, 0, 1, 3, 0, 1, 1, 2, 0, 1} // at 60 runs per second of 15 ms
	for i := range 100 {
		e := tr.Update(at(time.Duration(i)*200*time.Millisecond), "app", []Upstream{{"a", 6, counts[i%len(counts)], 60}, {"b", 6, counts[(i+5)%len(counts)], 60}})
		if i > 20 {
			require.Greater(t, e.PerSecond, 500.0)
			require.Less(t, e.PerSecond, 1200.0)
		}
	}
}

func TestTargetDrainsQueue(t *testing.T) {
	for _, tt := range []struct{ inFlight, want float64 }{
		{6 + 3, 400},  // allowed
		{6 + 23, 360}, // 20 too many drain in half a second
		{6 + 103, 200},
		{6 + 5000, 40}, // the least
	} {
		e := updateFor(&Tracker{}, 0, 10*time.Second, Upstream{"a", 6, int(tt.inFlight), 400})
		require.InEpsilon(t, tt.want, e.Target, 0.02, "%v in flight", tt.inFlight)
	}
	e := updateFor(&Tracker{}, 0, 10*time.Second, Upstream{"a", 6, 6, 400})
	require.Greater(t, e.Target, e.PerSecond, "no queue")
	require.LessOrEqual(t, e.Target, maxTarget*e.PerSecond)
}

func TestDeclinesReduceTargetForAShortTime(t *testing.T) {
	tr := &Tracker{}
	before := updateFor(tr, 0, 4*time.Second, Upstream{"a", 6, 6, 400})
	require.True(t, tr.AllowSecondSend(at(4*time.Second), "other"))
	for range 20 {
		tr.RecordDecline(at(4*time.Second), "app", "a")
	}
	during := tr.Update(at(4*time.Second), "app", []Upstream{{"a", 6, 6, 400}})
	require.InEpsilon(t, before.Target*(1-maxDeclinedPart), during.Target, 0.02)
	after := updateFor(tr, 4200*time.Millisecond, 8*time.Second, Upstream{"a", 6, 6, 400})
	require.InEpsilon(t, before.Target, after.Target, 0.02)
}

func TestLostUpstreamLeavesCapacityAtOnce(t *testing.T) {
	tr := &Tracker{}
	before := updateFor(tr, 0, 4*time.Second, Upstream{"a", 6, 3, 200}, Upstream{"b", 6, 3, 200})
	after := tr.Update(at(4200*time.Millisecond), "app", []Upstream{{"a", 6, 3, 200}})
	require.InEpsilon(t, before.PerSecond/2, after.PerSecond, 0.02)
}

// Prevents that an upstream which hangs with full slots and completes nothing is counted as capacity.
func TestUpstreamThatRunsNothingIsNoCapacity(t *testing.T) {
	tr := &Tracker{}
	updateFor(tr, 0, 4*time.Second, Upstream{"a", 6, 3, 200}, Upstream{"b", 6, 3, 200})
	e := updateFor(tr, 4200*time.Millisecond, 8*time.Second, Upstream{"a", 6, 3, 200}, Upstream{"b", 6, 6, 0})
	require.InDelta(t, 400, e.PerSecond, 60)
}

func TestAskedBeyondTargetForbidsSecondSends(t *testing.T) {
	tr := &Tracker{}
	updateFor(tr, 0, 4*time.Second, Upstream{"a", 6, 4, 266})
	require.True(t, tr.AllowSecondSend(at(4*time.Second), "app"))
	tr.RecordAsked(at(4*time.Second), "app", 500)
	require.False(t, tr.AllowSecondSend(at(4*time.Second), "app"))
	for _, invalid := range []float64{-1, math.NaN(), math.Inf(1)} {
		tr.RecordAsked(at(5*time.Second), "app", invalid)
	}
	require.Equal(t, at(4*time.Second), tr.services["app"].asked.at)
	tr.RecordAsked(at(6*time.Second), "app", 200)
	updateFor(tr, 6*time.Second, 6200*time.Millisecond, Upstream{"a", 6, 4, 266})
	require.True(t, tr.AllowSecondSend(at(6200*time.Millisecond), "app"))
}

func TestZeroAndNegativeInputs(t *testing.T) {
	tr := &Tracker{}
	tr.RecordRun(at(0), "app", "a", 0)
	tr.RecordRun(at(0), "app", "a", -time.Second)
	require.Empty(t, tr.services)
	tr.RecordRun(at(0), "app", "a", math.MaxInt64)
	tr.RecordRun(at(0), "app", "a", 1)
	e := tr.Update(at(0), "app", []Upstream{{"a", math.MaxInt, math.MaxInt, math.Inf(1)}, {"a", -1, -1, math.Inf(-1)}, {"", 0, 0, 0}})
	requireSane(t, e)
	requireSane(t, tr.Update(at(-time.Hour), "app", []Upstream{{"a", 6, 3, 200}}))
	require.Equal(t, -1, tr.Choose(at(0), "app", nil))
	require.Zero(t, tr.Choose(at(0), "app", []Candidate{{ID: "a", Slots: -1, InFlight: -5, Own: -5}}))
}

func requireSane(t *testing.T, e Estimate) {
	t.Helper()
	for _, v := range []float64{e.PerSecond, e.Target, float64(e.Wait), float64(e.Run)} {
		require.False(t, math.IsNaN(v) || math.IsInf(v, 0) || v < 0, "%+v", e)
	}
	require.LessOrEqual(t, e.Target, e.PerSecond*maxTarget*1.001)
	require.GreaterOrEqual(t, e.Target, e.PerSecond*minTarget*0.999)
}

func TestSweepDropsWhatIsUnused(t *testing.T) {
	tr := &Tracker{}
	for i := range 1000 {
		tr.RecordRun(at(0), "app", fmt.Sprint("a", i), time.Millisecond)
		tr.RecordDecline(at(0), fmt.Sprint("s", i), "a")
	}
	tr.RecordRun(at(time.Minute), "app", "a0", time.Millisecond)
	tr.Sweep(at(time.Minute + time.Millisecond))
	require.Len(t, tr.services, 1)
	require.Len(t, tr.States(at(time.Minute), "app"), 1)
	tr.Sweep(at(2*time.Minute + time.Millisecond))
	require.Empty(t, tr.services)
	require.Empty(t, tr.States(at(2*time.Minute), "app"))
}

func TestStates(t *testing.T) {
	tr := &Tracker{}
	updateFor(tr, 0, 4*time.Second, Upstream{"b", 6, 3, 200}, Upstream{"a", 6, 6, 100})
	require.NoError(t, tr.RecordLoad(at(4*time.Second), "app", "a", Load{Running: 6, Slots: 6, Slowness: 400}))
	s := tr.States(at(4*time.Second), "app")
	require.Len(t, s, 2)
	require.Equal(t, "a", s[0].ID)
	require.Equal(t, 6, s[0].Slots)
	require.InEpsilon(t, 100, s[0].PerSecond, 0.15)
	require.InEpsilon(t, 6, s[0].InFlight, 0.01)
	require.Equal(t, at(4*time.Second), s[0].LoadAt)
	require.Equal(t, Load{Running: 6, Slots: 6, Slowness: 400}, s[0].Load)
	require.InEpsilon(t, 400, s[1].PerSecond, 0.1)
	require.Zero(t, s[1].LoadAt)
}

func TestConcurrentUse(t *testing.T) {
	tr := &Tracker{}
	var wg sync.WaitGroup
	for g := range 4 {
		wg.Go(func() {
			for i := range 200 {
				now, id := at(time.Duration(i)*time.Millisecond), fmt.Sprint("a", (g+i)%3)
				tr.RecordRun(now, "app", id, time.Millisecond)
				tr.RecordDecline(now, "app", id)
				tr.RecordAsked(now, "app", 5)
				_ = tr.RecordLoad(now, "app", id, Load{Slots: 1, Slowness: 100})
				tr.Update(now, "app", []Upstream{{"a0", 6, 3, 200}, {"a1", 6, 3, 200}})
				tr.Choose(now, "app", []Candidate{{ID: "a0"}, {ID: "a1"}})
				tr.AllowSecondSend(now, "app")
				tr.Estimate("app")
				tr.States(now, "app")
				tr.Sweep(now)
			}
		})
	}
	wg.Wait()
	require.Len(t, tr.States(at(time.Second), "app"), 3)
}
