// Package boottime reads a clock that never steps and that also counts the
// time for which the host was suspended. Bounds on the age of what a host knows
// are kept by it.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a point in time since the start of the host.
type Instant time.Duration

// Clock returns the current instant.
type Clock func() Instant

// Sub returns the time from o to i.
func (i Instant) Sub(o Instant) time.Duration { return time.Duration(i - o) }

// Now reads the clock.
func Now() Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has had this clock since 2.6.39; without it no bound can be kept.
		panic(err)
	}
	return Instant(ts.Nano())
}
