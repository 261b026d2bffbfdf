package sageclock

import (
	"math"
	"time"
)

// DurationOf returns n units as a duration. A result beyond the range of [time.Duration] is the nearest end of that range, and
// NaN gives 0. Plain conversions of such numbers differ between x86-64 and arm64.
func DurationOf(n float64, unit time.Duration) time.Duration {
	ns := n * float64(unit)
	switch {
	case math.IsNaN(ns):
		return 0
	case ns >= math.MaxInt64:
		return math.MaxInt64
	case ns <= math.MinInt64:
		return math.MinInt64
	}
	return time.Duration(ns)
}
