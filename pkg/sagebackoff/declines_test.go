package sagebackoff

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sagestand.example/sagestand/pkg/sageclock"
)

// untilTried returns the time until the upstream isn't avoided any more.
func untilTried(d *Declines[string], now sageclock.Instant, upstream string) time.Duration {
	var waited time.Duration
	for d.State(now.Add(waited), upstream) == BackingOff {
		waited += time.Millisecond
	}
	return waited
}

// An upstream that keeps declining must get fewer and fewer requests, and all of its share again once it accepts one.
func TestBackoffGrowsWithDeclinesInARow(t *testing.T) {
	var d Declines[string]
	now := at(0)
	for _, longest := range []time.Duration{100, 200, 400, 800, 1600, 2000, 2000} {
		d.RecordDecline(now, "a")
		d.RecordDecline(now.Add(time.Millisecond), "a")
		waited := untilTried(&d, now, "a")
		require.GreaterOrEqual(t, waited, longest*time.Millisecond/2)
		require.LessOrEqual(t, waited, longest*time.Millisecond)
		now = now.Add(waited)
	}
	require.Equal(t, Accepting, d.State(now, "b"))
	d.RecordDecline(now, "a")
	d.RecordAccept("a")
	require.Equal(t, Accepting, d.State(now, "a"))
	d.RecordDecline(now, "a")
	require.LessOrEqual(t, untilTried(&d, now, "a"), minBackoff, "a new streak")
	d.RecordDecline(now.Add(maxBackoff+streakDuration), "a")
	require.LessOrEqual(t, untilTried(&d, now.Add(maxBackoff+streakDuration), "a"), minBackoff, "the streak is over")
}

// The end of a back-off must not send all waiting requests to an upstream that still declines.
func TestOneTrialAtATime(t *testing.T) {
	var d Declines[string]
	d.BeginTrial(at(0), "a")
	require.Equal(t, Accepting, d.State(at(0), "a"), "no trial without a decline")
	d.RecordDecline(at(0), "a")
	d.BeginTrial(at(1), "a")
	due := at(0).Add(untilTried(&d, at(0), "a"))
	require.Equal(t, TrialDue, d.State(due, "a"))
	d.BeginTrial(due, "a")
	require.Equal(t, BackingOff, d.State(due, "a"), "the result is awaited")
	require.Equal(t, TrialDue, d.State(due.Add(trialTimeout), "a"), "the result was lost")
	d.BeginTrial(due.Add(trialTimeout), "a")
	d.RecordDecline(due.Add(trialTimeout+time.Millisecond), "a")
	require.GreaterOrEqual(t, untilTried(&d, due.Add(trialTimeout+time.Millisecond), "a"), minBackoff, "the second of the streak")
}

// All upstreams decline half of their requests. Backing off from those that declined last would spread the requests of
// each prompt over all of them.
func TestNoBackoffWhenAllDeclineAlike(t *testing.T) {
	var d Declines[string]
	for i := range 40 {
		u := string(rune('a' + i%8))
		if i/8%2 == 0 {
			d.RecordDecline(at(i*100), u)
		} else {
			d.RecordAccept(u)
		}
	}
	d.RecordDecline(at(4000), "a")
	require.Equal(t, Accepting, d.State(at(4000), "a"))
	for range 10 {
		d.RecordAccept("b")
	}
	require.Equal(t, BackingOff, d.State(at(4000), "a"), "the others accept")
}

// Most upstreams decline everything. The back-off must come into effect nevertheless.
func TestBackoffWhenMostDecline(t *testing.T) {
	var d Declines[string]
	for i := range 60 {
		for _, u := range []string{"a", "b", "c", "d", "e", "f"} {
			if d.State(at(i*20), u) != Accepting {
				continue
			}
			if u < "e" {
				d.RecordDecline(at(i*20), u)
			} else {
				d.RecordAccept(u)
			}
		}
	}
	for _, u := range []string{"a", "b", "c", "d"} {
		require.NotEqual(t, Accepting, d.State(at(1200), u))
	}
}

// Declining upstreams that are replaced must not fill the memory.
func TestDeclinesAreBounded(t *testing.T) {
	var d Declines[int]
	for i := range maxRecords + 2 {
		d.RecordDecline(at(0), i)
	}
	require.Equal(t, maxRecords, d.streaks.len(at(0)))
	require.Zero(t, d.streaks.len(at(0).Add(maxBackoff+streakDuration)))
}
