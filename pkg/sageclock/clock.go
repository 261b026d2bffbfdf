// Package sageclock provides a clock that also counts the time during which a VM is suspended.
//
// The monotonic clock behind [time.Now] stops while a VM is suspended, and the wall clock may jump.
// Checks that a freshness proof is at most a few seconds old therefore use the time since boot.
//
// # Usage
//
//	at := sageclock.Now()
//	...
//	if sageclock.Now().Sub(at) > limit {
//		// older than limit, even if the VM was suspended in between
//	}
package sageclock

import (
	"math"
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a time since boot in nanoseconds. Instants of different VMs are not comparable.
type Instant int64

// Now returns the current instant.
func Now() Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Every Linux kernel since 2.6.39 has this clock, so the platform is broken.
		panic(err)
	}
	return Instant(ts.Nano())
}

// Add returns i+d, or the first or last instant if the sum is beyond it.
func (i Instant) Add(d time.Duration) Instant {
	sum := i + Instant(d)
	switch {
	case d > 0 && sum < i:
		return math.MaxInt64
	case d < 0 && sum > i:
		return math.MinInt64
	}
	return sum
}

// Sub returns the duration i-j, or the shortest or longest duration if the difference is beyond it.
func (i Instant) Sub(j Instant) time.Duration {
	difference := time.Duration(i - j)
	switch {
	case i > j && difference < 0:
		return math.MaxInt64
	case i < j && difference > 0:
		return math.MinInt64
	}
	return difference
}
