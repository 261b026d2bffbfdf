package sagebackoff

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/pkg/sageclock"
)

func at(ms int) sageclock.Instant { return sageclock.Instant(time.Duration(ms) * time.Millisecond) }

func TestPauseHoldsUntilItsEnd(t *testing.T) {
	var tr Tracker[string]
	require.Zero(t, tr.PausedUntil(at(0), "a"))
	require.True(t, tr.Pause(at(0), "a", at(3000)))
	require.Equal(t, at(3000), tr.PausedUntil(at(2999), "a"))
	require.Zero(t, tr.PausedUntil(at(2999), "b"))
	require.False(t, tr.Pause(at(100), "a", at(600)), "a shorter pause doesn't end the longer one")
	require.Equal(t, at(3000), tr.PausedUntil(at(700), "a"))
	require.True(t, tr.Pause(at(200), "a", at(4000)))
	require.Equal(t, at(4000), tr.PausedUntil(at(3500), "a"))
	require.Zero(t, tr.PausedUntil(at(4000), "a"))
	require.False(t, tr.Pause(at(4000), "a", at(4000)), "over already")
}

// Upstreams that ask for long pauses and are replaced must not fill the memory.
func TestPausesAreBounded(t *testing.T) {
	var tr Tracker[int]
	for i := range maxPauses + 2 {
		tr.Pause(at(0), i, at(1000+i))
	}
	require.Equal(t, maxPauses, tr.Len(at(0)))
	require.Zero(t, tr.PausedUntil(at(0), 0), "the first ones to end were dropped")
	require.NotZero(t, tr.PausedUntil(at(0), 2))
	require.Zero(t, tr.Len(at(1000+maxPauses+2)))
	tr.Pause(at(0), -1, at(1))
	require.Zero(t, tr.PausedUntil(at(1), -1))
}

func ExampleTracker() {
	var tr Tracker[string]
	now := sageclock.Instant(time.Minute)
	tr.Pause(now, "engine1", now.Add(3*time.Second))
	fmt.Println(tr.PausedUntil(now.Add(2*time.Second), "engine1") != 0, tr.PausedUntil(now.Add(3*time.Second), "engine1") != 0)
	// Output: true false
}

func BenchmarkPausedUntil(b *testing.B) {
	var tr Tracker[int]
	for i := range 256 {
		tr.Pause(0, i, at(1000))
	}
	b.ReportAllocs()
	for b.Loop() {
		tr.PausedUntil(at(1), 7)
	}
}
