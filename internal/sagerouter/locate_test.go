package sagerouter

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/internal/sagemesh"
)

func members(dataCentre string, n, linkMbps int) []sagemesh.Member {
	var out []sagemesh.Member
	for i := range n {
		out = append(out, sagemesh.Member{Identity: sagemesh.Identity{Entry: fmt.Sprintf("%s-%d-%d", dataCentre, linkMbps, i), DataCentre: dataCentre, LinkMbps: linkMbps}})
	}
	return out
}

// Prevents a limited answer of the directory from naming only small nodes of a large data centre.
func TestEntryAddressesBeginWithFastLinks(t *testing.T) {
	nodes := slices.Concat(members("north", 150, 20), members("north", 10, 1000), members("south", 2, 1000))
	got := entryAddresses(slices.Clone(nodes), "north")
	require.Len(t, got, 160)
	for _, a := range got[:10] {
		require.Contains(t, a, "north-1000-")
	}
	slices.Reverse(nodes)
	require.Equal(t, got, entryAddresses(nodes, "north"), "the same for all answers")
	require.Len(t, entryAddresses(nodes, "south"), 162, "too few nodes in the data centre")
}
