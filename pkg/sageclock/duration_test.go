package sageclock

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	maxDuration = time.Duration(math.MaxInt64)
	minDuration = time.Duration(math.MinInt64)
)

// Prevents numbers out of range from giving other durations on one architecture than on another.
func TestDurationOf(t *testing.T) {
	for _, tt := range []struct {
		n    float64
		unit time.Duration
		want time.Duration
	}{
		{0, time.Second, 0},
		{12.5, time.Second, 12500 * time.Millisecond},
		{-1.5, time.Millisecond, -1500 * time.Microsecond},
		{9.2e9, time.Second, 9_200_000_000 * time.Second},
		{1e10, time.Second, maxDuration},
		{1e300, time.Millisecond, maxDuration},
		{math.MaxFloat64, time.Hour, maxDuration},
		{math.Inf(1), time.Second, maxDuration},
		{1 << 63, 1, maxDuration},
		{-1e10, time.Second, minDuration},
		{math.Inf(-1), time.Second, minDuration},
		{-1 << 63, 1, minDuration},
		{math.NaN(), time.Second, 0},
		{math.Inf(1), 0, 0},
	} {
		require.Equal(t, tt.want, DurationOf(tt.n, tt.unit), "%v of %v", tt.n, tt.unit)
	}
}

// Prevents a duration of centuries from giving an instant in the past.
func TestInstantsDontOverflow(t *testing.T) {
	const now = Instant(1000)
	require.Equal(t, Instant(math.MaxInt64), now.Add(maxDuration))
	require.Equal(t, Instant(math.MaxInt64), Instant(math.MaxInt64).Add(time.Second))
	require.Equal(t, Instant(math.MinInt64), Instant(-1000).Add(minDuration))
	require.Equal(t, now, now.Add(time.Second).Add(-time.Second))
	require.Equal(t, maxDuration, Instant(math.MaxInt64).Sub(-1))
	require.Equal(t, maxDuration, now.Sub(math.MinInt64))
	require.Equal(t, minDuration, Instant(math.MinInt64).Sub(1))
	require.Equal(t, maxDuration-1000, Instant(math.MaxInt64).Sub(now))
}

// FuzzDurationOf checks that durations are in the order of the numbers that they were made of.
func FuzzDurationOf(f *testing.F) {
	f.Add(1e300, 1e10, int64(time.Second))
	f.Add(-1e300, 12.5, int64(time.Millisecond))
	f.Add(math.Inf(-1), math.MaxFloat64, int64(time.Hour))
	f.Add(9223372036.854775, 9223372036.854776, int64(time.Second))
	f.Fuzz(func(t *testing.T, a, b float64, unit int64) {
		if math.IsNaN(a) || math.IsNaN(b) || unit <= 0 {
			require.Zero(t, DurationOf(math.NaN(), time.Duration(unit)))
			return
		}
		da, db := DurationOf(a, time.Duration(unit)), DurationOf(b, time.Duration(unit))
		if a <= b && da > db || a >= b && da < db {
			t.Errorf("%v of %v is %v, %v of it %v", a, time.Duration(unit), da, b, db)
		}
		if a > 0 && da < 0 || a < 0 && da > 0 {
			t.Errorf("%v of %v is %v", a, time.Duration(unit), da)
		}
		now := Instant(unit)
		if got := now.Add(da); da > 0 && got < now || da < 0 && got > now {
			t.Errorf("%v after %v is %v", da, now, got)
		}
	})
}
