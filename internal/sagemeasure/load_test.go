package sagemeasure

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Story: engines restart cold while routers are replaced and disagree about homes. With allotments
// none is loaded beyond what it bears; the same run with static shares shows that the measure sees it.
func TestAllotmentsBoundLoadOfColdEngines(t *testing.T) {
	sc := coldScenario{"small", 5, 4, 0.8, coldRouterReplaced}
	run := func(p coldPolicy) *coldSimulation {
		w := newColdSimulation(sc, p, 1)
		w.runUntil(2 * time.Minute)
		return w
	}
	w := run(coldPolicies[0])
	require.LessOrEqual(t, w.worstAny, 1.0)
	require.Greater(t, w.usedSum/w.capacitySum, 0.4, "the engines are used")
	require.Greater(t, run(coldPolicies[1]).worstCold, 1.0)
}

// Story: a third of the upstreams refuse, and the retries of all routers add up to a storm.
func TestRetryBudgetPreventsRetryStorm(t *testing.T) {
	run := func(rule retryRule) float64 {
		w := newRetrySimulation(retryCases[0], rule, 1)
		w.runUntil(retryFailFrom + 20*time.Second)
		return float64(w.sent) / float64(w.requests)
	}
	require.Less(t, run(retryRules[0]), 1.1)
	require.Greater(t, run(retryRules[1]), 1.3)
}

// Story: one account sends five times what the fleet can serve, and the others' requests drown.
func TestFairSharesKeepGoodputDuringSurge(t *testing.T) {
	run := func(q surgeQueuing, multiple float64) float64 {
		w := newSurgeSimulation(q, surgeCases[0], multiple, 1)
		w.runUntil(surgeStart + 20*time.Second)
		return float64(w.goodput)
	}
	fair, fifoQueue := surgeQueuings[0], surgeQueuings[1]
	require.Greater(t, run(fair, surgeMultiple)/run(fair, 0), 0.98)
	require.Less(t, run(fifoQueue, surgeMultiple)/run(fifoQueue, 0), 0.5)
}
