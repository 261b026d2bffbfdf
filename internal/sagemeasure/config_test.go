package sagemeasure

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/pkg/sagesync"
)

// valueOf returns the value of the sample with the given metric.
func valueOf(t *testing.T, samples []Sample, metric string) float64 {
	t.Helper()
	for _, s := range samples {
		if s.Metric == metric {
			return s.Value
		}
	}
	t.Fatalf("no metric %q", metric)
	return 0
}

// The store becomes unreachable right after an exit was accepted, so only the accepting node has the
// ticket. Without the exchange between nodes, all others would go on sending requests to the data
// centre.
func TestInForceWithoutStore(t *testing.T) {
	f, err := newConfigFleet(1, 20, 4, false)
	require.NoError(t, err)
	f.LossRate = 0.3
	s, err := f.measureInForce(true)
	require.NoError(t, err)
	assert.LessOrEqual(t, valueOf(t, s, "in force, max"), float64(inForceTargetSeconds))
	assert.Greater(t, valueOf(t, s, "in force, max"), 1.0, "propagation takes more than one exchange")
}

// A region is cut off, and one of its data centres is taken out of service. Its nodes can't receive the
// ticket; under the default rule they stop serving instead of sending work there.
func TestIsolationOfFarRegion(t *testing.T) {
	for _, fault := range isolationFaults() {
		if fault.name != "far region cut off, exit" {
			continue
		}
		for policy, sends := range map[sagesync.IsolationPolicy]bool{sagesync.IsolatedServe: true, sagesync.IsolatedQuorum: false} {
			s, err := measureIsolation(1, fault, sagesync.Rule{Isolated: policy, MaxEvidenceAge: sagesync.DefaultMaxEvidenceAge, CatchUpTimeout: sagesync.DefaultCatchUpTimeout})
			require.NoError(t, err)
			assert.Equal(t, sends, valueOf(t, s, "work sent to the data centre that was out") > 0, policy)
			assert.Equal(t, sends, valueOf(t, s, "service lost") == 0, policy)
			assert.Equal(t, 100.0, valueOf(t, s, "exit accepted"), policy)
		}
		return
	}
	t.Fatal("fault case not found")
}
