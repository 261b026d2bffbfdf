// Package sageclock gives instants of a clock that counts the time a VM is suspended.
//
// The monotonic clock behind [time.Now] stands still while a VM is suspended, and the time of day
// may jump. A proof that must not outlive a few seconds needs neither of them, but the time since
// boot.
//
// # Usage
//
//	at := sageclock.Now()
//	...
//	if sageclock.Now().Sub(at) > limit {
//		// older than limit, also if the VM slept in between
//	}
package sageclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a time since boot in nanoseconds. Instants of different VMs can't be compared.
type Instant int64

// Now returns the current instant.
func Now() Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Every Linux kernel since 2.6.39 has the clock, so this is a broken platform.
		panic(err)
	}
	return Instant(ts.Nano())
}

// Add returns the instant d later.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns the time from j to i.
func (i Instant) Sub(j Instant) time.Duration { return time.Duration(i - j) }
