package sagedrain

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Prevents a process that stops from accepting requests that it would abort.
func TestClosingAcceptsWhatEndsBeforeTheCut(t *testing.T) {
	const class = "route"
	start := time.Unix(1_000, 0)
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	closing := Closing{CertainFrom: at(3), CloseAt: at(3.5), CutAt: at(7)}
	require.NoError(t, closing.Check())
	for _, tc := range []struct {
		name          string
		now, deadline float64
		runs          int
		longest       time.Duration
		accepts, fits bool
	}{
		{"deadline before the cut", 0, 6.9, 0, 0, true, true},
		{"deadline at the cut", 0, 7, 0, 0, true, true},
		{"nothing known of the class", 0, 12, 0, 0, false, false},
		{"too little known of the class", 0, 12, minDurations - 1, time.Second, false, false},
		{"few short runs", 0, 12, minDurations, 2300 * time.Millisecond, true, true},
		{"few runs that may be too long", 0, 12, manyDurations - 1, 2400 * time.Millisecond, false, false},
		{"short runs", 0, 12, manyDurations, 5600 * time.Millisecond, true, true},
		{"runs that may be too long", 0, 12, manyDurations, 5601 * time.Millisecond, false, false},
		{"short runs, late", 2.9, 12, manyDurations, 3200 * time.Millisecond, true, true},
		{"longer runs, late", 2.9, 12, manyDurations, 3300 * time.Millisecond, false, false},
		{"short runs, callers have been sent elsewhere", 3, 12, minDurations, time.Millisecond, false, false},
		{"deadline before the cut, callers have been sent elsewhere", 3, 6, 0, 0, true, true},
		{"closed", 3.5, 6, 0, 0, false, true},
		{"after the cut", 7.1, 12, minDurations, time.Millisecond, false, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			d := new(Durations)
			for range tc.runs {
				d.Record(at(tc.now), class, tc.longest)
			}
			estimate, known := d.Estimate(at(tc.now), class)
			require.Equal(t, tc.accepts, closing.Accepts(at(tc.now), at(tc.deadline), estimate, known))
			require.Equal(t, tc.fits, closing.Fits(at(tc.now), at(tc.deadline), estimate, known))
		})
	}
}

// Prevents a process whose stop lasts for the longest request from refusing what it knows too little of.
func TestClosingWithUnknownClass(t *testing.T) {
	now := time.Unix(1_000, 0)
	closing := Closing{CertainFrom: now.Add(time.Minute), CloseAt: now.Add(time.Minute), CutAt: now.Add(2 * time.Minute), UnknownFits: true}
	later := now.Add(time.Hour)
	require.True(t, closing.Accepts(now, later, 0, false))
	require.True(t, closing.Accepts(now, later, 2*time.Minute, true))
	require.False(t, closing.Accepts(now, later, 2*time.Minute+1, true))
	require.False(t, closing.Accepts(now.Add(time.Minute), later, 0, false))
}

// Prevents requests that were given up from counting as short ones.
func TestIncompleteRequestsOnlyRaiseEstimates(t *testing.T) {
	now := time.Unix(1_000, 0)
	d := new(Durations)
	for range 2 * manyDurations {
		d.RecordIncomplete(now, "a", time.Second)
	}
	_, ok := d.Estimate(now, "a")
	require.False(t, ok)
	for range manyDurations {
		d.Record(now, "a", time.Millisecond)
	}
	estimate, ok := d.Estimate(now, "a")
	require.True(t, ok)
	require.Equal(t, time.Duration(manyMargin*float64(time.Second)), estimate)
}

func TestClosingCheck(t *testing.T) {
	now := time.Unix(1_000, 0)
	require.ErrorIs(t, (&Closing{CertainFrom: now.Add(1), CloseAt: now, CutAt: now}).Check(), ErrInvalidClosing)
	require.ErrorIs(t, (&Closing{CertainFrom: now, CloseAt: now.Add(1), CutAt: now}).Check(), ErrInvalidClosing)
	require.NoError(t, (&Closing{CertainFrom: now, CloseAt: now, CutAt: now}).Check())
}

// Prevents a long run of the past from being forgotten too early, or kept for good.
func TestDurationsForgetAfterTheirWindow(t *testing.T) {
	now := time.Unix(1_000, 0)
	d := new(Durations)
	for range manyDurations {
		d.Record(now, "a", time.Second)
	}
	d.Record(now, "a", 4*time.Second)
	for _, tc := range []struct {
		after    time.Duration
		estimate time.Duration
		ok       bool
	}{
		{0, manyMargin * 4 * time.Second, true},
		{durationWindow - 1, manyMargin * 4 * time.Second, true},
		{durationWindow, manyMargin * 4 * time.Second, true},
		{2*durationWindow - 1, manyMargin * 4 * time.Second, true},
		{2 * durationWindow, 0, false},
	} {
		estimate, ok := d.Estimate(now.Add(tc.after), "a")
		require.Equal(t, tc.estimate, estimate, tc.after)
		require.Equal(t, tc.ok, ok, tc.after)
	}
	_, ok := d.Estimate(now, "b")
	require.False(t, ok)
}

// Prevents durations from before a time without requests from counting after it.
func TestDurationsForgetWithoutRequests(t *testing.T) {
	now := time.Unix(1_000, 0)
	d := new(Durations)
	for range minDurations {
		d.Record(now, "a", time.Second)
	}
	_, ok := d.Estimate(now.Add(10*durationWindow), "a")
	require.False(t, ok)
}
