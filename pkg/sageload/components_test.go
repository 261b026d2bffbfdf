package sageload

import (
	"runtime"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestGuaranteedSharesSumToFloor(t *testing.T) {
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

func TestCoordinatorIsLocalAndStable(t *testing.T) {
	live := []Member{{"a", "x"}, {"b", "x"}, {"c", "y"}, {"d", "y"}}
	for _, u := range []string{"u1", "u2", "u3", "u4", "u5", "u6"} {
		name, ok := Coordinator(u, "y", live)
		require.True(t, ok)
		require.Contains(t, []string{"c", "d"}, name)
		without := live[:3] // without d: only its upstreams get another coordinator
		if name == "c" {
			after, _ := Coordinator(u, "y", without)
			require.Equal(t, "c", after)
		}
		remote, ok := Coordinator(u, "z", live)
		require.True(t, ok)
		require.NotEmpty(t, remote)
	}
	_, ok := Coordinator("u", "x", nil)
	require.False(t, ok)
	require.Len(t, Voters("u", "y", live), 4, "two nodes are too few, so the whole roster votes")
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
		{"no growth without work", Report{BootID: "b1", Capacity: 8}, 2},
		{"a quarter of a large capacity", Report{BootID: "b1", Capacity: 16}, 4},
		{"completed work", Report{BootID: "b1", Capacity: 8, Completed: 8}, 4},
		{"capacity below the ramp", Report{BootID: "b1", Capacity: 3, Completed: 12}, 3},
		{"configured limit", Report{BootID: "b1", Capacity: 16, Completed: 100}, 9},
		{"cache dropped", Report{BootID: "b1", Capacity: 8, Completed: 100, CacheGeneration: 1}, 2},
		{"work after the drop", Report{BootID: "b1", Capacity: 8, Completed: 104, CacheGeneration: 1}, 3},
		{"new boot", Report{BootID: "b2", Capacity: 8, Completed: 1, CacheGeneration: 1}, 2},
	} {
		require.Equal(t, c.want, p.Observe(c.r), c.name)
	}
	warm := Ramp{InitialCap: 2, CompletionsPerUnit: 4}
	require.Equal(t, 16, warm.Observe(Report{BootID: "b1", Capacity: 16, Completed: 1000}), "a new coordinator of a warm engine")
	warm.Restart()
	require.Equal(t, 4, warm.Observe(Report{BootID: "b1", Capacity: 16, Completed: 1000}), "after a restart of the ramp")
}

// Guards against a cold engine that goes unnoticed: an engine that drops its compiled kernels without a
// restart answers four times as slowly and doesn't report it. The detector must report it once, and not
// for a single slow response.
func TestDetectorReportsColdOnce(t *testing.T) {
	var d Detector
	observe := func(latency float64, n int) (transitions int) {
		for i := range n {
			if d.Observe(latency * (1 + 0.2*float64(i%3-1))) {
				transitions++
			}
		}
		return transitions
	}
	require.Zero(t, observe(10, 200))
	require.Zero(t, observe(300, 1), "one slow response")
	require.Zero(t, observe(10, 50))
	require.Equal(t, 1, observe(45, 100))
	require.True(t, d.Cold())
	require.Zero(t, observe(22, 100), "between the thresholds nothing changes")
	require.True(t, d.Cold())
	require.Zero(t, observe(10, 100))
	require.False(t, d.Cold())
}

// Guards against a router that sends everything to an engine that a lagging report shows as idle. The
// router's own dispatches must count, and an old report must not pass for an idle engine.
func TestEstimateAddsOwnDispatches(t *testing.T) {
	now := time.Unix(100, 0)
	e := Estimate{MaxReportAge: 5 * time.Second}
	require.False(t, e.Known(now), "no report yet")
	e.Observe(now, Report{AsOf: now})
	for range 4 {
		e.RecordDispatch()
	}
	require.EqualValues(t, 4, e.InFlight())
	e.Observe(now.Add(time.Second), Report{AsOf: now.Add(time.Second), InFlight: 1})
	require.EqualValues(t, 5, e.InFlight(), "the report may lack dispatches since the previous one")
	e.Observe(now.Add(2*time.Second), Report{AsOf: now.Add(2 * time.Second), InFlight: 4})
	require.EqualValues(t, 4, e.InFlight(), "the report includes them")
	for range 4 {
		e.RecordEnd()
	}
	require.True(t, e.Known(now.Add(6*time.Second)))
	require.False(t, e.Known(now.Add(7*time.Second)))
}

func TestLimitsValidate(t *testing.T) {
	require.NoError(t, DefaultLimits.Validate())
	require.ErrorIs(t, Limits{}.Validate(), ErrInvalidLimits)
	bad := DefaultLimits
	bad.MaxClockDrift = 0.5
	require.ErrorIs(t, bad.Validate(), ErrInvalidLimits)
	bad = DefaultLimits
	bad.ReportLag = bad.GrantDuration
	require.ErrorIs(t, bad.Validate(), ErrInvalidLimits)
}

func BenchmarkAcquireRelease(b *testing.B) {
	now := time.Unix(0, 0)
	a := Allotment{Guaranteed: 4, Static: true, Limits: DefaultLimits}
	b.ReportAllocs()
	for b.Loop() {
		a.Acquire(now)
		a.Release()
	}
}

// BenchmarkMemory reports the memory of a router's allotment of one upstream, and of a coordinator's
// record of one holder.
func BenchmarkMemory(b *testing.B) {
	const upstreams, holders = 2300, 100
	for b.Loop() {
		start := heap()
		allotments := make([]*Allotment, upstreams)
		for i := range allotments {
			allotments[i] = &Allotment{Upstream: "engine", Limits: DefaultLimits}
		}
		afterAllotments := heap()
		l := &Ledger{Limits: DefaultLimits}
		for i := range holders {
			l.HandleRequest(time.Unix(0, 0), GrantRequest{Holder: strconv.Itoa(i), Seq: 1})
		}
		b.ReportMetric(float64(afterAllotments-start)/upstreams, "B/holding")
		b.ReportMetric(float64(heap()-afterAllotments)/holders, "B/holder")
		runtime.KeepAlive(allotments)
		runtime.KeepAlive(l)
	}
}

func heap() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func BenchmarkLedgerHandleRequest(b *testing.B) {
	s := newScenario("")
	l := s.ledgerOf("a")
	var routers []*Allotment
	for _, n := range []string{"a", "b", "c", "d"} {
		routers = append(routers, s.router(n))
	}
	s.exchange(5*time.Second, l, "a", scenarioCapacity, routers...)
	b.ReportAllocs()
	for b.Loop() {
		s.now = s.now.Add(time.Millisecond)
		r, _ := routers[0].Request(s.now, "a", 5)
		routers[0].ApplyGrant(l.HandleRequest(s.now, r))
	}
}
