package sagerouter

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/internal/sagerelay"
)

// Engines of a new kind read five tokens a millisecond. A node that took them for the usual ones gave a
// long prompt up while it was read, each time on the next engine, and it was never read to its end.
func TestSlowReadersAreGivenTheTimeThatTheyNeed(t *testing.T) {
	f := newFleet(t, 2, 0)
	e := f.view.set.Load().Get("u0")
	const prompt, perToken = 10000, 200 * time.Microsecond
	require.Less(t, f.PrefillTime("s", prompt), prompt*perToken/5, "the start")
	for i := range 400 {
		unread := 100 + i%12*900
		f.RecordFirstEvent(&sagerelay.Pick{Upstream: e, UncachedTokens: unread}, 60*time.Millisecond+time.Duration(unread)*perToken)
	}
	require.InDelta(t, float64(prompt*perToken), float64(f.PrefillTime("s", prompt)), 0.1*float64(prompt*perToken))
	require.Equal(t, startRead*prompt, f.PrefillTime("another", prompt), "services are told apart")
}

// A prompt that the upstream holds says nothing about how fast it reads.
func TestPromptsThatAreHeldAreNoSamples(t *testing.T) {
	f := newFleet(t, 2, 0)
	before := f.PrefillTime("s", 1000)
	for range 100 {
		f.RecordFirstEvent(&sagerelay.Pick{Upstream: f.view.set.Load().Get("u0")}, 3*time.Second)
	}
	require.Equal(t, before, f.PrefillTime("s", 1000))
}

// Runs of three seconds: a bound that took them for one second's would leave two thirds of what came to an
// engine since the last counts out of sight.
func TestBoundFollowsTheTimeOfRuns(t *testing.T) {
	f := newFleet(t, 2, 0)
	for range 500 {
		f.RecordServiceTime("s", 3*time.Second)
	}
	require.InDelta(t, 3, f.paces.of("s").run.Value().Seconds(), 0.1)
	p := f.Pick(&sagerelay.Query{Service: "s", Chain: chain(7)})
	require.Equal(t, chain(7).Tokens(), p.UncachedTokens)
	f.RecordPrompt(p.Upstream, chain(7))
	p = f.Pick(&sagerelay.Query{Service: "s", Chain: chain(7)})
	require.Equal(t, 50, p.UncachedTokens, "the shared parts are held")
}
