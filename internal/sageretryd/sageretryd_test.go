package sageretryd

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/internal/sagedispatch"
	"sagestand.example/sagestand/pkg/sageretry"
	"sagestand.example/sagestand/pkg/sagewire"
)

// Prevents opening the circuit of a healthy engine: callers that disconnect, and refusals because the engine is
// full, must not count as failures.
func TestOnlyFailuresOpenTheCircuit(t *testing.T) {
	now, later := time.Unix(0, 0), time.Unix(60, 0)
	for _, c := range []struct {
		name   string
		res    *sagedispatch.Result
		allows bool
	}{
		{"caller gone", &sagedispatch.Result{Outcome: sagewire.Unknown, CallerGone: true}, true},
		{"refused by upstream", &sagedispatch.Result{Outcome: sagewire.NotRun, Reason: sagewire.ReasonUpstreamRefused}, true},
		{"complete", &sagedispatch.Result{Outcome: sagewire.Complete}, true},
		{"never sent", nil, true},
		{"response lost", &sagedispatch.Result{Outcome: sagewire.Unknown, Reason: sagewire.ReasonAnswerLost}, false},
		{"upstream unreachable", &sagedispatch.Result{Outcome: sagewire.NotRun, Reason: sagewire.ReasonUpstreamFailed}, false},
	} {
		s := &Service{Policy: sageretry.Policy{Rand: rand.New(rand.NewPCG(1, 1))}}
		for range 10 {
			s.AllowSend(now, "engine1", later)
			s.RecordResult(now, "engine1", c.res)
		}
		require.Equal(t, c.allows, s.AllowSend(now, "engine1", later), c.name)
	}
}
