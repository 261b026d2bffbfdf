package sageflight

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/pkg/sageclock"
)

// An engine looks busy for ever after a node that had sent to it died.
func TestCountsOfSilentNodesAreLeftOut(t *testing.T) {
	var c Counter
	done := c.Start("e")
	c.UpdateNode(sageclock.Instant(time.Second), "vm2", "north", Counts{"e": 3})
	require.Equal(t, 4, c.Sum(sageclock.Instant(2 * time.Second))["e"])
	require.Equal(t, 1, c.Sum(sageclock.Instant(3 * time.Second))["e"])
	done()
	done()
	require.Empty(t, c.Report())
}

// Engines are filled far above their share: the node that made the sums died, and the others went on
// with its last total instead of what they told each other.
func TestSumsCountOnlyWhileTheyAreFresh(t *testing.T) {
	at := func(ms int) sageclock.Instant { return sageclock.Instant(time.Duration(ms) * time.Millisecond) }
	var c Counter
	defer c.Start("e")()
	c.UpdateNode(at(1000), "vm2", "north", Counts{"e": 3})
	c.UpdateNode(at(1000), "vm3", "south", Counts{"e": 10})
	c.UpdateGroup(at(1000), "north", Counts{"e": 5, "f": 1})
	require.True(t, c.HasFreshSums(at(1100)))
	require.Equal(t, Counts{"e": 16, "f": 1}, c.Sum(at(1100)), "the sum of the north, not vm2's own count")
	require.Equal(t, Counts{"e": 4}, c.SumGroup(at(1100), "north"), "what the nodes themselves told, for a sum of one's own")
	require.Equal(t, Counts{"e": 14}, c.Sum(at(1800)), "the sum is too old")
	require.False(t, c.HasFreshSums(at(1800)))

	c.UpdateTotal(at(1800), Counts{"e": 40})
	require.Equal(t, 41, c.Sum(at(1900))["e"], "nothing of this node's was told yet")
	require.Equal(t, Counts{"e": 1}, c.Report())
	c.UpdateTotal(at(2000), Counts{"e": 41})
	defer c.Start("e")()
	require.Equal(t, 42, c.Sum(at(2100))["e"], "what was told is in the total, what began since is not")
	require.Equal(t, Counts{"e": 2}, c.Sum(at(2800)), "nobody tells any more")
}

// A sum that doesn't hold this node's counts, made before they arrived, must not make counts negative.
func TestCorrectionStaysAboveZero(t *testing.T) {
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
