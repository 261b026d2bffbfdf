package sagemember

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// FuzzPeer checks that arbitrary bytes as a peer's digest or delta never make the table panic or lose
// its own node, and that the answer stays within the budget.
func FuzzPeer(f *testing.F) {
	newTable := func(t testing.TB) *Table {
		table := &Table{Self: Node{Name: "a", Address: "127.0.0.1:1", Entry: "127.0.0.1:2", DataCentre: "derby"}, Limits: DefaultLimits()}
		require.NoError(t, table.Start())
		return table
	}
	other := newTable(f)
	f.Add([]byte{})
	f.Add(other.Digest())
	f.Add(other.Delta(nil, 1<<12))
	f.Fuzz(func(t *testing.T, b []byte) {
		table := newTable(t)
		const budget = 1 << 10
		require.LessOrEqual(t, len(table.Delta(b, budget)), budget)
		_ = table.Merge(b)
		require.Equal(t, "a", table.LocalNode().Name)
		require.NotEmpty(t, table.Live())
	})
}
