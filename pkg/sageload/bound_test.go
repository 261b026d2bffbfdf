package sageload

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against routers that together exceed an engine's capacity, which grows from two requests after
// a start to twelve. The routers disagree about the coordinator, are paused, die or are partitioned,
// and their messages arrive late or twice.
func TestBoundHoldsUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		w := newSimulation(seed, "")
		for range 3000 {
			w.step()
			require.LessOrEqual(t, w.maxExcess, 0, "requests in flight beyond the engine's capacity at %v", w.now)
		}
	})
}

// Shows that a safeguard of the protocol is needed: in a simulation without it, the same faults
// overload the engine. Safeguards whose absence random faults seldom reveal have a scenario test of
// their own.
func TestBoundNeedsEachSafeguard(t *testing.T) {
	for _, g := range []safeguard{rampRestart, bootCheck, requestOrder} {
		t.Run(string(g), func(t *testing.T) {
			seed, excess := uint64(0), 0
			for ; excess <= 0 && seed < 100; seed++ {
				w := newSimulation(seed, g)
				for range 3000 {
					w.step()
				}
				excess = w.maxExcess
			}
			t.Logf("overload %d at seed %d", excess, seed-1)
			require.Positive(t, excess, "no simulation without this safeguard had an overload")
		})
	}
}

// Guards against a protocol that keeps the bound by granting nothing, so that each request is refused.
func TestAllotmentsAreUsed(t *testing.T) {
	w := newSimulation(1, "")
	steps := 0
	for range 6000 {
		w.step()
		steps++
	}
	require.Greater(t, float64(w.inFlightSum)/float64(steps), float64(simColdCapacity), "more than the guaranteed shares are used")
}
