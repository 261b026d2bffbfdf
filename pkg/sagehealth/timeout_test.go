package sagehealth

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Prevents a sound upstream that was unresponsive for a second from being ejected by other nodes, or for long by this one.
func TestTimeoutOfASecondDoesNotEject(t *testing.T) {
	var tr Tracker
	for i := range 10 {
		tr.Record(at(1000+i*20), "s", "a", Stalled) // exchanges that were under way together
	}
	require.True(t, tr.Avoid(at(1200), "s", "a"))
	require.False(t, tr.Avoid(at(1000+int(minExclusion.Milliseconds())), "s", "a"), "they count once")
	tr.Record(at(1800), "s", "a", Stalled)
	require.Empty(t, tr.RecentlyBroken(at(1900)), "no report to other nodes within the tolerance")
	tr.Record(at(2000), "s", "a", OK)
	require.False(t, tr.Avoid(at(2000), "s", "a"))
}

// Prevents an upstream that stays unresponsive, or that refuses connections, from being kept from other nodes.
func TestLongTimeoutIsReported(t *testing.T) {
	var tr Tracker
	tr.Record(at(1000), "s", "dark", Stalled)
	tr.Record(at(1000), "s", "down", Broken)
	require.Equal(t, []string{"down"}, tr.RecentlyBroken(at(1100)))
	tr.Record(at(1000+int(responseTolerance.Milliseconds())), "s", "dark", Stalled)
	require.ElementsMatch(t, []string{"down", "dark"}, tr.RecentlyBroken(at(2300)))
	tr.Record(at(2300), "s", "dark", OK)
	tr.Record(at(2400), "s", "dark", Stalled)
	require.Equal(t, []string{"down"}, tr.RecentlyBroken(at(2400)), "the time begins anew after an answer")
}
