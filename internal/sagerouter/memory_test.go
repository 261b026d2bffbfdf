package sagerouter

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Prevents the heap of a node that holds much and allocates little from doubling.
func TestGCPercentFollowsLiveHeap(t *testing.T) {
	for _, tt := range []struct {
		live uint64
		want int
	}{{0, 100}, {1 << 20, 100}, {4 << 20, 100}, {8 << 20, 50}, {16 << 20, 25}, {1 << 40, 25}} {
		require.Equal(t, tt.want, gcPercent(tt.live))
	}
}
