package sagemeasure

import (
	"bytes"
	"math"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestRunAggregatesSeeds(t *testing.T) {
	values := map[uint64]float64{3: 5, 4: 1, 5: 3, 6: 9}
	f := func(seed uint64) ([]Sample, error) {
		return []Sample{{Scenario: "s", Policy: "p", Metric: "m", Unit: "x", Value: values[seed], Target: &Target{AtMost, 8}}}, nil
	}
	r, err := Run("try", f, 3, 4)
	require.NoError(t, err)
	row, ok := r.Row("s", "p", "m")
	require.True(t, ok)
	require.Equal(t, []float64{5, 1, 3, 9}, row.Values)
	require.Equal(t, []float64{4, 1, 9}, []float64{row.Median, row.Min, row.Max})
	require.False(t, *row.Met, "one seed above the limit makes the target missed")
	var b bytes.Buffer
	require.NoError(t, r.WriteMarkdown(&b))
	require.Contains(t, b.String(), "| s | p | m | 4 x | 1 to 9 | ≤ 8: missed |")
}

func TestRunRejectsInvalidSamples(t *testing.T) {
	_, err := Run("none", nil, 1, 0)
	require.ErrorIs(t, err, ErrNoSeeds)
	nan := func(uint64) ([]Sample, error) { return []Sample{{Metric: "m", Value: math.NaN()}}, nil }
	_, err = Run("nan", nan, 1, 1)
	require.ErrorIs(t, err, ErrInvalidSample)
	partial := func(seed uint64) ([]Sample, error) {
		if seed == 1 {
			return []Sample{{Metric: "m"}}, nil
		}
		return nil, nil
	}
	_, err = Run("partial", partial, 1, 2)
	require.ErrorIs(t, err, ErrIncomplete)
}
