package sagerouter

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/internal/sagerelay"
)

// On engines that process five tokens per millisecond, a fixed estimate made the node abandon a long prompt during
// prefill on one engine after the other, so that it was never completed.
func TestPrefillTimeFollowsSlowEngines(t *testing.T) {
	f := newFleet(t, 2, 0)
	e := f.view.upstreams.Load().Get("u0")
	const prompt, perToken = 10000, 200 * time.Microsecond
	require.Less(t, f.PrefillTime("s", prompt), prompt*perToken/5, "initial estimate")
	for i := range 400 {
		uncached := 100 + i%12*900
		f.RecordFirstEvent(&sagerelay.Pick{Upstream: e, UncachedTokens: uncached}, 60*time.Millisecond+time.Duration(uncached)*perToken)
	}
	require.InDelta(t, float64(prompt*perToken), float64(f.PrefillTime("s", prompt)), 0.1*float64(prompt*perToken))
	require.Equal(t, initialPrefillPerToken*prompt, f.PrefillTime("another", prompt), "each service has its own estimate")
}

// A cached prompt gives no information on the prefill time.
func TestCachedPromptsAreNoPrefillSamples(t *testing.T) {
	f := newFleet(t, 2, 0)
	before := f.PrefillTime("s", 1000)
	for range 100 {
		f.RecordFirstEvent(&sagerelay.Pick{Upstream: f.view.upstreams.Load().Get("u0")}, 3*time.Second)
	}
	require.Equal(t, before, f.PrefillTime("s", 1000))
}

// With exchanges of three seconds, a load bound computed for one second would miss two thirds of the requests that
// an engine received since the last counts.
func TestLoadBoundUsesMeasuredServiceTime(t *testing.T) {
	f := newFleet(t, 2, 0)
	for range 500 {
		f.RecordServiceTime("s", 3*time.Second)
	}
	require.InDelta(t, 3, f.latencies.of("s").serviceTime.Value().Seconds(), 0.1)
	p := f.Pick(&sagerelay.Query{Service: "s", Chain: chain(7)})
	require.Equal(t, chain(7).Tokens(), p.UncachedTokens)
	f.RecordPrompt(p.Upstream, chain(7))
	p = f.Pick(&sagerelay.Query{Service: "s", Chain: chain(7)})
	require.Equal(t, 50, p.UncachedTokens, "the shared parts are cached")
}
