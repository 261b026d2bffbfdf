package sageload

import (
	"runtime"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestGuaranteedSumsToFloor(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, floor := rapid.IntRange(1, 30).Draw(t, "nodes"), rapid.IntRange(0, 100).Draw(t, "floor")
		roster := make([]Member, n)
		for i := range roster {
			roster[i].Name = string(rune('a'+i%26)) + string(rune('a'+i/26))
		}
		sum := 0
		for _, m := range roster {
			sum += GuaranteedShare("u", m.Name, roster, floor)
		}
		require.Equal(t, floor, sum)
		require.Zero(t, GuaranteedShare("u", "stranger", roster, floor))
	})
}

func TestHomeIsNearAndMovesLittle(t *testing.T) {
	live := []Member{{"a", "x"}, {"b", "x"}, {"c", "y"}, {"d", "y"}}
	for _, u := range []string{"u1", "u2", "u3", "u4", "u5", "u6"} {
		h, ok := Coordinator(u, "y", live)
		require.True(t, ok)
		require.Contains(t, []string{"c", "d"}, h)
		without := live[:3] // d is gone: only its upstreams move
		if h == "c" {
			again, _ := Coordinator(u, "y", without)
			require.Equal(t, "c", again)
		}
		far, ok := Coordinator(u, "z", live)
		require.True(t, ok)
		require.NotEmpty(t, far)
	}
	_, ok := Coordinator("u", "x", nil)
	require.False(t, ok)
	require.Len(t, Voters("u", "y", live), 4, "two are too few to decide alone")
	var many []Member
	for i := range 45 {
		many = append(many, Member{Name: string(rune('A' + i)), DataCentre: "x"})
	}
	cell := Voters("u", "x", many)
	require.Len(t, cell, 9)
	require.Equal(t, cell, Voters("u", "x", many), "the same on every node")
	require.NotEqual(t, cell, Voters("u2", "x", many))
}

func TestRampGrowsWithWorkAndRestarts(t *testing.T) {
	p := Ramp{InitialCap: 2, CompletionsPerUnit: 4, MaxCap: 9}
	for _, c := range []struct {
		name string
		r    Report
		want int
	}{
		{"just started", Report{BootID: "b1", Capacity: 8}, 2},
		{"time alone", Report{BootID: "b1", Capacity: 8}, 2},
		{"a quarter of much", Report{BootID: "b1", Capacity: 16}, 4},
		{"work", Report{BootID: "b1", Capacity: 8, Completed: 8}, 4},
		{"bears less than the ramp", Report{BootID: "b1", Capacity: 3, Completed: 12}, 3},
		{"configured limit", Report{BootID: "b1", Capacity: 16, Completed: 100}, 9},
		{"cache dropped", Report{BootID: "b1", Capacity: 8, Completed: 100, CacheGeneration: 1}, 2},
		{"work again", Report{BootID: "b1", Capacity: 8, Completed: 104, CacheGeneration: 1}, 3},
		{"new boot", Report{BootID: "b2", Capacity: 8, Completed: 1, CacheGeneration: 1}, 2},
	} {
		require.Equal(t, c.want, p.Observe(c.r), c.name)
	}
	warm := Ramp{InitialCap: 2, CompletionsPerUnit: 4}
	require.Equal(t, 16, warm.Observe(Report{BootID: "b1", Capacity: 16, Completed: 1000}), "a new home of a warm engine")
	warm.Restart()
	require.Equal(t, 4, warm.Observe(Report{BootID: "b1", Capacity: 16, Completed: 1000}), "back from an exit")
}

// Story: an engine drops its compiled kernels without restarting and tells nobody; users see
// answers four times as slow. The detector must say so once, and not for a single slow answer.
func TestDetectorSeesColdOnce(t *testing.T) {
	var d Detector
	feed := func(latency float64, n int) (colds int) {
		for i := range n {
			if d.Observe(latency * (1 + 0.2*float64(i%3-1))) {
				colds++
			}
		}
		return colds
	}
	require.Zero(t, feed(10, 200))
	require.Zero(t, feed(300, 1), "one slow answer")
	require.Zero(t, feed(10, 50))
	require.Equal(t, 1, feed(45, 100))
	require.True(t, d.Cold())
	require.Zero(t, feed(22, 100), "between the thresholds nothing changes")
	require.True(t, d.Cold())
	require.Zero(t, feed(10, 100))
	require.False(t, d.Cold())
}

// Story: a lagging report says that an engine is idle, and a router sends it everything for as long
// as the report stays. Its own dispatches must count, and an old report must not pass for idle.
func TestEstimateAddsOwnDispatches(t *testing.T) {
	now := time.Unix(100, 0)
	e := Estimate{MaxReportAge: 5 * time.Second}
	require.False(t, e.Known(now), "never heard of is unknown")
	e.Observe(now, Report{AsOf: now})
	for range 4 {
		e.RecordDispatch()
	}
	require.EqualValues(t, 4, e.InFlight())
	e.Observe(now.Add(time.Second), Report{AsOf: now.Add(time.Second), InFlight: 1})
	require.EqualValues(t, 5, e.InFlight(), "the report may miss dispatches since the one before")
	e.Observe(now.Add(2*time.Second), Report{AsOf: now.Add(2 * time.Second), InFlight: 4})
	require.EqualValues(t, 4, e.InFlight(), "now it shows them")
	for range 4 {
		e.RecordEnd()
	}
	require.True(t, e.Known(now.Add(6*time.Second)))
	require.False(t, e.Known(now.Add(7*time.Second)))
}

func TestLimitsCheck(t *testing.T) {
	require.NoError(t, DefaultLimits.Validate())
	require.ErrorIs(t, Limits{}.Validate(), ErrBadLimits)
	bad := DefaultLimits
	bad.MaxClockDrift = 0.5
	require.ErrorIs(t, bad.Validate(), ErrBadLimits)
	bad = DefaultLimits
	bad.ReportLag = bad.GrantDuration
	require.ErrorIs(t, bad.Validate(), ErrBadLimits)
}

func BenchmarkAcquireRelease(b *testing.B) {
	now := time.Unix(0, 0)
	h := Allotment{Guaranteed: 4, Static: true, Limits: DefaultLimits}
	b.ReportAllocs()
	for b.Loop() {
		h.Acquire(now)
		h.Release()
	}
}

// BenchmarkMemory reports the memory of the router's side for one upstream, and of the home's side
// for one holder.
func BenchmarkMemory(b *testing.B) {
	const upstreams, holders = 2300, 100
	for b.Loop() {
		start := heap()
		all := make([]*Allotment, upstreams)
		for i := range all {
			all[i] = &Allotment{Upstream: "engine", Limits: DefaultLimits}
		}
		held := heap()
		l := &Ledger{Limits: DefaultLimits}
		for i := range holders {
			l.HandleRequest(time.Unix(0, 0), GrantRequest{Holder: strconv.Itoa(i), Seq: 1})
		}
		b.ReportMetric(float64(held-start)/upstreams, "B/holding")
		b.ReportMetric(float64(heap()-held)/holders, "B/holder")
		runtime.KeepAlive(all)
		runtime.KeepAlive(l)
	}
}

func heap() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func BenchmarkLedgerAsk(b *testing.B) {
	s := newStage("")
	l := s.homeOf("a")
	var asking []*Allotment
	for _, n := range []string{"a", "b", "c", "d"} {
		asking = append(asking, s.router(n))
	}
	s.run(5*time.Second, l, "a", bearsTen, asking...)
	b.ReportAllocs()
	for b.Loop() {
		s.now = s.now.Add(time.Millisecond)
		w, _ := asking[0].Request(s.now, "a", 5)
		asking[0].ApplyGrant(l.HandleRequest(s.now, w))
	}
}
