package sageflight

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/pkg/sageclock"
)

// The requests of a node that died must not count as load on an engine for ever.
func TestCountsOfUnresponsiveNodesExpire(t *testing.T) {
	var c Counter
	done := c.Start("e")
	c.UpdateNode(sageclock.Instant(time.Second), "vm2", "north", Counts{"e": 3})
	require.Equal(t, 4, c.Sum(sageclock.Instant(2 * time.Second))["e"])
	require.Equal(t, 1, c.Sum(sageclock.Instant(3 * time.Second))["e"])
	done()
	done()
	require.Empty(t, c.Report())
}

// After an aggregator died, the nodes kept using its last total instead of their own reports, and overloaded
// engines.
func TestSumsAreUsedOnlyWhileFresh(t *testing.T) {
	at := func(ms int) sageclock.Instant { return sageclock.Instant(time.Duration(ms) * time.Millisecond) }
	var c Counter
	defer c.Start("e")()
	c.UpdateNode(at(1000), "vm2", "north", Counts{"e": 3})
	c.UpdateNode(at(1000), "vm3", "south", Counts{"e": 10})
	c.UpdateGroup(at(1000), "north", Counts{"e": 5, "f": 1})
	require.True(t, c.HasFreshSums(at(1100)))
	require.Equal(t, Counts{"e": 16, "f": 1}, c.Sum(at(1100)), "the sum of the group, not vm2's own report")
	require.Equal(t, Counts{"e": 4}, c.SumGroup(at(1100), "north"), "own reports of the nodes, for the aggregator's sum")
	require.Equal(t, Counts{"e": 14}, c.Sum(at(1800)), "the sum has expired")
	require.False(t, c.HasFreshSums(at(1800)))

	c.UpdateTotal(at(1800), Counts{"e": 40})
	require.Equal(t, 41, c.Sum(at(1900))["e"], "this node has not reported yet")
	require.Equal(t, Counts{"e": 1}, c.Report())
	c.UpdateTotal(at(2000), Counts{"e": 41})
	defer c.Start("e")()
	require.Equal(t, 42, c.Sum(at(2100))["e"], "the total includes the last report, but not the request started since")
	require.Equal(t, Counts{"e": 2}, c.Sum(at(2800)), "all reports have expired")
}

// A total that was computed before this node's report arrived must not make counts negative.
func TestCorrectedTotalIsNeverNegative(t *testing.T) {
	var c Counter
	done := c.Start("e")
	c.Report()
	c.UpdateTotal(0, Counts{"f": 2})
	done()
	require.Equal(t, 0, c.Sum(0)["e"])
	require.Equal(t, 2, c.Sum(0)["f"])
}

func ExampleCounter() {
	var c Counter
	defer c.Start("e")()
	c.UpdateNode(0, "vm2", "north", Counts{"e": 3})
	fmt.Println(c.Sum(0)["e"])
	// Output: 4
}
