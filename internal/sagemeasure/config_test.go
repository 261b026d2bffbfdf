package sagemeasure

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/pkg/sagesync"
)

// value returns a sample's figure by its metric.
func value(t *testing.T, samples []Sample, metric string) float64 {
	t.Helper()
	for _, s := range samples {
		if s.Metric == metric {
			return s.Value
		}
	}
	t.Fatalf("no metric %q", metric)
	return 0
}

// The store goes out right after an exit was accepted; only the acceptor holds it. A user of any
// other node would go on being sent there if the exchange didn't carry it.
func TestInForceWithoutStore(t *testing.T) {
	f, err := newConfigFleet(1, 20, 4, false)
	require.NoError(t, err)
	f.LossRate = 0.3
	s, err := f.inForce(true)
	require.NoError(t, err)
	assert.LessOrEqual(t, value(t, s, "in force, max"), float64(inForceTarget))
	assert.Greater(t, value(t, s, "in force, max"), 1.0, "it takes more than one exchange")
}

// A far region is cut off, and a data centre in it is taken out. Its nodes can't hear of that; under
// the default rule they stop instead of sending work there.
func TestIsolatedFarRegion(t *testing.T) {
	for _, tr := range troubles() {
		if tr.name != "far region cut off, exit" {
			continue
		}
		for way, sends := range map[sagesync.IsolationPolicy]bool{sagesync.IsolatedServe: true, sagesync.IsolatedQuorum: false} {
			s, err := isolate(1, tr, sagesync.Rule{Isolated: way, MaxEvidenceAge: sagesync.DefaultMaxEvidenceAge, CatchUpTimeout: sagesync.DefaultCatchUpTimeout})
			require.NoError(t, err)
			assert.Equal(t, sends, value(t, s, "work sent to the data centre that was out") > 0, way)
			assert.Equal(t, sends, value(t, s, "service lost") == 0, way)
			assert.Equal(t, 100.0, value(t, s, "exit accepted"), way)
		}
		return
	}
	t.Fatal("no such trouble")
}
