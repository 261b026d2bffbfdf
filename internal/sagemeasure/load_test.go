package sagemeasure

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Engines restart cold while routers are replaced and disagree about coordinators. With allotments no
// engine may exceed its capacity. The same run with static shares must exceed it, which shows that the
// measurement detects overload.
func TestAllotmentsBoundLoadOfColdEngines(t *testing.T) {
	sc := coldScenario{"small", 5, 4, 0.8, coldRouterReplaced}
	run := func(p coldPolicy) *coldSimulation {
		sim := newColdSimulation(sc, p, 1)
		sim.runUntil(2 * time.Minute)
		return sim
	}
	sim := run(coldPolicies[0])
	require.LessOrEqual(t, sim.worstAny, 1.0)
	require.Greater(t, sim.usedSum/sim.capacitySum, 0.4, "the engines are used")
	require.Greater(t, run(coldPolicies[1]).worstCold, 1.0)
}

// Guards against a retry storm: a third of the upstreams refuse, and without a budget the retries of
// all routers add up.
func TestRetryBudgetPreventsRetryStorm(t *testing.T) {
	run := func(rule retryRule) float64 {
		sim := newRetrySimulation(retryCases[0], rule, 1)
		sim.runUntil(retryFailFrom + 20*time.Second)
		return float64(sim.sent) / float64(sim.requests)
	}
	require.Less(t, run(retryRules[0]), 1.1)
	require.Greater(t, run(retryRules[1]), 1.3)
}

// One account sends five times what the fleet can serve. Without fair shares its requests displace
// those of the others.
func TestFairSharesKeepGoodputDuringSurge(t *testing.T) {
	run := func(q surgeQueuing, multiple float64) float64 {
		sim := newSurgeSimulation(q, surgeCases[0], multiple, 1)
		sim.runUntil(surgeStart + 20*time.Second)
		return float64(sim.goodput)
	}
	fair, fifoQueue := surgeQueuings[0], surgeQueuings[1]
	require.Greater(t, run(fair, surgeMultiple)/run(fair, 0), 0.98)
	require.Less(t, run(fifoQueue, surgeMultiple)/run(fifoQueue, 0), 0.5)
}
