package sagesync

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// FuzzPeer checks that arbitrary bytes as a peer's digest or delta never cause a panic or an invalid
// configuration, and that the answer stays within the budget.
func FuzzPeer(f *testing.F) {
	now := func() time.Time { return time.Unix(1e9, 0) }
	f.Add([]byte("{}"))
	f.Add((&Replica{Now: now}).Digest())
	f.Add([]byte(`{"revision":18446744073709551615}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		r := &Replica{Now: now}
		const budget = 1 << 10
		require.LessOrEqual(t, len(r.Delta(b, budget)), budget)
		if r.Merge(b) != nil {
			require.Zero(t, r.Current().Revision)
		}
	})
}
