package sagemember

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// FuzzPeer: whatever another node sends as digest or delta, the table neither panics nor loses sight
// of its own node, and its answer keeps to the budget.
func FuzzPeer(f *testing.F) {
	table := func(t testing.TB) *Table {
		x := &Table{Self: Node{Name: "a", Address: "127.0.0.1:1", Entry: "127.0.0.1:2", DataCentre: "derby"}, Limits: DefaultLimits()}
		require.NoError(t, x.Start())
		return x
	}
	other := table(f)
	f.Add([]byte{})
	f.Add(other.Digest())
	f.Add(other.Delta(nil, 1<<12))
	f.Fuzz(func(t *testing.T, b []byte) {
		x := table(t)
		const budget = 1 << 10
		require.LessOrEqual(t, len(x.Delta(b, budget)), budget)
		_ = x.Merge(b)
		require.Equal(t, "a", x.LocalNode().Name)
		require.NotEmpty(t, x.Live())
	})
}
