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
	var p Pauses[string]
	require.Zero(t, p.PausedUntil(at(0), "a"))
	require.True(t, p.Pause(at(0), "a", at(3000)))
	require.Equal(t, at(3000), p.PausedUntil(at(2999), "a"))
	require.Zero(t, p.PausedUntil(at(2999), "b"))
	require.False(t, p.Pause(at(100), "a", at(600)), "a shorter pause doesn't end the longer one")
	require.Equal(t, at(3000), p.PausedUntil(at(700), "a"))
	require.True(t, p.Pause(at(200), "a", at(4000)))
	require.Equal(t, at(4000), p.PausedUntil(at(3500), "a"))
	require.Zero(t, p.PausedUntil(at(4000), "a"))
	require.False(t, p.Pause(at(4000), "a", at(4000)), "over already")
}

// Upstreams that ask for long pauses and are replaced must not fill the memory.
func TestPausesAreBounded(t *testing.T) {
	var p Pauses[int]
	for i := range maxRecords + 2 {
		p.Pause(at(0), i, at(1000+i))
	}
	require.Equal(t, maxRecords, p.Len(at(0)))
	require.Zero(t, p.PausedUntil(at(0), 0), "the first ones to end were dropped")
	require.NotZero(t, p.PausedUntil(at(0), 2))
	require.Zero(t, p.Len(at(1000+maxRecords+2)))
}

func ExamplePauses() {
	var p Pauses[string]
	now := sageclock.Instant(time.Minute)
	p.Pause(now, "engine1", now.Add(3*time.Second))
	fmt.Println(p.PausedUntil(now.Add(2*time.Second), "engine1") != 0, p.PausedUntil(now.Add(3*time.Second), "engine1") != 0)
	// Output: true false
}

func BenchmarkPausedUntil(b *testing.B) {
	var p Pauses[int]
	for i := range 256 {
		p.Pause(0, i, at(1000))
	}
	b.ReportAllocs()
	for b.Loop() {
		p.PausedUntil(at(1), 7)
	}
}
