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
	c.Learn(sageclock.Instant(time.Second), "vm2", map[string]int{"e": 3})
	require.Equal(t, 4, c.Sum(sageclock.Instant(2 * time.Second))["e"])
	require.Equal(t, 1, c.Sum(sageclock.Instant(3 * time.Second))["e"])
	done()
	done()
	require.Empty(t, c.Own())
}

func ExampleCounter() {
	var c Counter
	defer c.Start("e")()
	c.Learn(0, "vm2", map[string]int{"e": 3})
	fmt.Println(c.Sum(0)["e"])
	// Output: 4
}
