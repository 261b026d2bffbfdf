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

// Story: callers that hang up, and an engine that refuses in order because it is full, are taken for
// failures; the circuit opens and a healthy engine gets nothing.
func TestOnlyFailuresOpenTheCircuit(t *testing.T) {
	now, later := time.Unix(0, 0), time.Unix(60, 0)
	for _, c := range []struct {
		name string
		res  *sagedispatch.Result
		lets bool
	}{
		{"caller gone", &sagedispatch.Result{Outcome: sagewire.Unknown, CallerGone: true}, true},
		{"refused in order", &sagedispatch.Result{Outcome: sagewire.NotRun, Reason: sagewire.ReasonUpstreamRefused}, true},
		{"complete", &sagedispatch.Result{Outcome: sagewire.Complete}, true},
		{"never sent", nil, true},
		{"answer lost", &sagedispatch.Result{Outcome: sagewire.Unknown, Reason: sagewire.ReasonAnswerLost}, false},
		{"not reached", &sagedispatch.Result{Outcome: sagewire.NotRun, Reason: sagewire.ReasonUpstreamFailed}, false},
	} {
		s := &Service{Policy: sageretry.Policy{Rand: rand.New(rand.NewPCG(1, 1))}}
		for range 10 {
			s.AllowSend(now, "engine1", later)
			s.RecordResult(now, "engine1", c.res)
		}
		require.Equal(t, c.lets, s.AllowSend(now, "engine1", later), c.name)
	}
}
