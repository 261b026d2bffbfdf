package sagerouter

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/pkg/sagedrain"
)

// Prevents a request that is sent when all answers that name the node have expired from being accepted although it may be cut, because
// the node has seen its signal late.
func TestClosingCountsTheSignalsDelay(t *testing.T) {
	sent := time.Unix(1_000, 0) // the signal
	for _, delay := range []time.Duration{0, time.Millisecond, 100 * time.Millisecond, 900 * time.Millisecond} {
		c := newClosing(sent.Add(delay), sent.Add(delay), 8*time.Second)
		require.NoError(t, c.Check())
		at := sent.Add(maxCachedTTLs*DirectoryTTL + time.Millisecond)
		require.False(t, c.Accepts(at, at.Add(12*time.Second), time.Millisecond, true), "seen after %v", delay)
		require.True(t, c.Accepts(at, at.Add(time.Second), time.Millisecond, true), "seen after %v", delay)
	}
}

// Prevents a node that stood still when it got SIGTERM from accepting requests that end after the process is killed.
func TestLateSignalMovesNoLimit(t *testing.T) {
	const (
		within = 8 * time.Second
		stall  = 1500 * time.Millisecond
	)
	for _, tt := range []struct {
		name        string
		ticksBefore bool // the process records its progress before it handles the signal
	}{{"signal first", false}, {"record first", true}} {
		t.Run(tt.name, func(t *testing.T) {
			var p sagedrain.Progress
			signal := time.Unix(1_000, 0)
			for at := -time.Second; at < 0; at += expiryInterval {
				p.Record(signal.Add(at))
			}
			now := signal.Add(stall)
			if tt.ticksBefore {
				p.Record(now)
			}
			c := newClosing(p.EarliestSignal(now.Add(time.Millisecond)), now.Add(time.Millisecond), within)
			require.NoError(t, c.Check())
			at := signal.Add(3 * time.Second)
			require.False(t, c.Accepts(at, signal.Add(within), time.Millisecond, true), "ends when the process is killed")
			require.True(t, c.Accepts(at, signal.Add(within-2*exitMargin), time.Millisecond, true))
		})
	}
}

// Prevents a node that ran all the time, or stood still long ago, from losing time of its stop.
func TestSignalInTime(t *testing.T) {
	var p sagedrain.Progress
	now := time.Unix(1_000, 0)
	require.Equal(t, now, p.EarliestSignal(now))
	p.Record(now)
	require.Equal(t, now.Add(expiryInterval), p.EarliestSignal(now.Add(expiryInterval)))
	p.Record(now.Add(time.Second))
	require.Equal(t, now, p.EarliestSignal(now.Add(time.Second)))
	for i := range 10 {
		p.Record(now.Add(time.Second + time.Duration(i)*expiryInterval))
	}
	require.Equal(t, now.Add(2*time.Second), p.EarliestSignal(now.Add(2*time.Second)))
}
