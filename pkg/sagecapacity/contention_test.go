package sagecapacity

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Prevents that an upstream which turned slow keeps its part of the requests, and that it gets a rush when it is fast again.
func TestSlowUpstreamGetsAQuarterWithinASecond(t *testing.T) {
	const slowFrom, slowTo = 4 * time.Second, 8 * time.Second
	for _, nodes := range []int{4, 65, 1000} {
		m := newModel(nodes, 0.6)
		m.quiet = true
		m.slowness = func(u int, at time.Duration) float64 {
			if u == 0 && at >= slowFrom && at < slowTo {
				return 4
			}
			return 1
		}
		m.play(7, 14*time.Second)
		usual := 1 / float64(m.upstreams)
		require.InDelta(t, 0.25, m.share(0, slowFrom+time.Second, slowTo)/usual, 0.15, "%d nodes", nodes)
		require.Greater(t, m.share(0, slowTo+2*time.Second, slowTo+4*time.Second)/usual, 0.85, "%d nodes: found fast again", nodes)
		for at := slowTo; at < slowTo+4*time.Second; at += 500 * time.Millisecond {
			require.Less(t, m.share(0, at, at+500*time.Millisecond)/usual, 1.3, "%d nodes at %v", nodes, at)
		}
		require.Greater(t, m.within(slowFrom, slowTo), 0.95, "%d nodes", nodes)
	}
}

// Prevents that a slow upstream isn't found by nodes that get no sums of the others.
func TestSlowUpstreamWithoutSums(t *testing.T) {
	for _, nodes := range []int{4, 65} {
		m := newModel(nodes, 0.6)
		m.quiet, m.noSums = true, true
		m.slowness = func(u int, at time.Duration) float64 {
			if u == 0 && at >= 4*time.Second {
				return 4
			}
			return 1
		}
		m.play(7, 8*time.Second)
		require.InDelta(t, 0.25, m.share(0, 5*time.Second, 8*time.Second)*float64(m.upstreams), 0.25, "%d nodes", nodes)
	}
}

func TestUpstreamLostUnderLoad(t *testing.T) {
	for _, nodes := range []int{4, 65, 1000} {
		m := newModel(nodes, 0.6)
		m.quiet = true
		m.lost = func(u int, at time.Duration) bool { return u == 0 && at >= 4*time.Second }
		m.play(11, 9*time.Second)
		require.Greater(t, m.within(4*time.Second, 8*time.Second), 0.95, "%d nodes", nodes)
		require.InEpsilon(t, 5.0/6, m.node[0].tracker.Estimate(modelService).PerSecond/m.perSecond(), 0.15)
	}
}

// Prevents that an upstream which reports false figures attracts more requests than it can run, or that figures from
// elsewhere make callers worse off than none.
func TestFalseFiguresDoNoHarm(t *testing.T) {
	for name, figures := range map[string]Load{
		"idle":    {Slots: modelSlots, Slowness: 1},
		"full":    {Running: modelSlots, Waiting: 1000, Slots: modelSlots, Slowness: maxSlowness},
		"damaged": {Running: math.MinInt, Waiting: math.MaxInt, Slots: -1},
	} {
		for _, nodes := range []int{4, 65} {
			without, with := newModel(nodes, 0.6), newModel(nodes, 0.6)
			with.reported = func(u int, l Load) Load {
				if u == 0 {
					return figures
				}
				return l
			}
			without.play(5, 8*time.Second)
			with.play(5, 8*time.Second)
			require.Greater(t, with.within(2*time.Second, 7*time.Second), without.within(2*time.Second, 7*time.Second)-0.01, "%s, %d nodes", name, nodes)
		}
	}
}

// Prevents that the target lets a queue stand, or leaves capacity unused, while four times the capacity is asked for.
func TestTargetUnderAFlood(t *testing.T) {
	for _, nodes := range []int{4, 65, 1000} {
		for _, run := range []time.Duration{15 * time.Millisecond, 60 * time.Millisecond} {
			m := newModel(nodes, 4)
			m.run, m.objective = run, objectiveOf(run)
			m.upstreams, m.quiet, m.admit = 3, true, true
			m.play(7, 14*time.Second)
			used := float64(sum(m.runs, 4*time.Second, 14*time.Second)) / 10 / m.perSecond()
			require.Greater(t, used, 0.9, "%d nodes, runs of %v", nodes, run)
			require.Greater(t, m.within(4*time.Second, 13*time.Second), 0.95, "%d nodes, runs of %v", nodes, run)
		}
	}
}

// Prevents a metastable failure: second sends that keep up the queue which caused them.
func TestBurstWithSecondSendsEnds(t *testing.T) {
	const burstFrom, burstTo = 4 * time.Second, 5 * time.Second
	for _, nodes := range []int{4, 65, 1000} {
		for _, run := range []time.Duration{15 * time.Millisecond, 60 * time.Millisecond} {
			m := newModel(nodes, 0)
			m.run, m.objective = run, objectiveOf(run)
			m.upstreams, m.quiet = 3, true
			m.resendAfter, m.deadline = m.objective/2, 4*time.Second
			m.load = func(at time.Duration) float64 {
				if at >= burstFrom && at < burstTo {
					return 3
				}
				return 0.8
			}
			m.play(7, 14*time.Second)
			require.Greater(t, m.within(burstTo+2*time.Second, 13*time.Second), 0.97, "%d nodes, runs of %v", nodes, run)
			useless, runs := sum(m.useless, burstFrom, burstTo+2*time.Second), sum(m.runs, burstFrom, burstTo+2*time.Second)
			require.Less(t, float64(useless)/float64(runs), 0.02, "%d nodes, runs of %v", nodes, run)
		}
	}
}

// The model has to show the failure that TestBurstWithSecondSendsEnds guards against.
func TestBurstWithUnlimitedSecondSendsDoesNotEnd(t *testing.T) {
	m := newModel(65, 0)
	m.upstreams, m.quiet, m.always = 3, true, true
	m.resendAfter, m.deadline = m.objective/2, 4*time.Second
	m.load = func(at time.Duration) float64 {
		if at >= 4*time.Second && at < 5*time.Second {
			return 3
		}
		return 0.8
	}
	m.play(7, 14*time.Second)
	require.Less(t, m.within(9*time.Second, 13*time.Second), 0.9)
}

// Prevents that second sends take the capacity of first ones while upstreams turn slow by turns, without any burst.
func TestSecondSendsBeforeUnevenUpstreams(t *testing.T) {
	const length = 16 * time.Second
	for _, load := range []float64{0.75, 0.9} {
		with, without := 0.0, 0.0
		for _, nodes := range []int{4, 65, 1000} {
			for _, run := range []time.Duration{15 * time.Millisecond, 60 * time.Millisecond} {
				m, first := newModel(nodes, load), newModel(nodes, load)
				m.run, first.run, m.objective, first.objective = run, run, objectiveOf(run), objectiveOf(run)
				m.upstreams, first.upstreams = 3, 3
				m.resendAfter = m.objective / 2
				m.play(9, length)
				first.play(9, length)
				useless, runs := sum(m.useless, 2*time.Second, length), sum(m.runs, 2*time.Second, length)
				require.Less(t, float64(useless)/float64(runs), 0.02, "%d nodes, runs of %v at %v", nodes, run, load)
				with += m.within(2*time.Second, length-time.Second) / 6
				without += first.within(2*time.Second, length-time.Second) / 6
			}
		}
		require.Greater(t, with, without-0.01, "at %v", load)
	}
}
