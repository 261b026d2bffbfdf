package sageload

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Story: an engine that bears seven requests, and two just after its start, drowns because the
// routers together send it more. They disagree about its home, are paused, die, are cut off, and
// their messages come late or twice. At no step may the engine carry more than it bears.
func TestBoundHoldsUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		w := newWorld(seed, "")
		for range 3000 {
			w.step()
			require.LessOrEqual(t, w.peak, 0, "in flight beyond what the engine bears at %v", w.now)
		}
	})
}

// Story: a guard of the protocol is taken for useless and removed. Each of these worlds lacks one
// guard; under the same faults its engine is overloaded. The guards that random faults seldom
// catch have a story of their own each.
func TestBoundNeedsEachGuard(t *testing.T) {
	for _, g := range []guard{withRamp, withBoot, withOrder} {
		t.Run(string(g), func(t *testing.T) {
			seed, peak := uint64(0), 0
			for ; peak <= 0 && seed < 100; seed++ {
				w := newWorld(seed, g)
				for range 3000 {
					w.step()
				}
				peak = w.peak
			}
			t.Logf("overload %d at seed %d", peak, seed-1)
			require.Positive(t, peak, "no run of the world without this guard was overloaded")
		})
	}
}

// Story: the bound is held by granting nothing at all, and each request is refused.
func TestAllotmentIsUsed(t *testing.T) {
	w := newWorld(1, "")
	steps := 0
	for range 6000 {
		w.step()
		steps++
	}
	require.Greater(t, float64(w.total)/float64(steps), float64(worldCold), "more than the guaranteed shares are used")
}
