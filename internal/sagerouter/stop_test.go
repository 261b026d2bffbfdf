package sagerouter

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Prevents a request that is sent when all answers that name the node have expired from being accepted although it may be cut, because
// the node has seen its signal late.
func TestClosingCountsTheSignalsDelay(t *testing.T) {
	sent := time.Unix(1_000, 0) // the signal
	for _, delay := range []time.Duration{0, time.Millisecond, 100 * time.Millisecond, 900 * time.Millisecond} {
		c := newClosing(sent.Add(delay), 8*time.Second)
		require.NoError(t, c.Check())
		at := sent.Add(maxCachedTTLs*DirectoryTTL + time.Millisecond)
		require.False(t, c.Accepts(at, at.Add(12*time.Second), time.Millisecond, true), "seen after %v", delay)
		require.True(t, c.Accepts(at, at.Add(time.Second), time.Millisecond, true), "seen after %v", delay)
	}
}
