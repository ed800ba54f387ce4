// Package boottime reads a monotonic clock that is never stepped and that
// includes the time for which the host was suspended. It is used to limit the
// age of a host's information, which keeps aging during a suspend.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a point in time, as the duration since the host booted.
type Instant time.Duration

// Clock returns the current instant.
type Clock func() Instant

// Sub returns the time from o to i.
func (i Instant) Sub(o Instant) time.Duration { return time.Duration(i - o) }

// Now returns the current instant of CLOCK_BOOTTIME.
func Now() Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has this clock since version 2.6.39. Without it no age limit can
		// be enforced.
		panic(err)
	}
	return Instant(ts.Nano())
}
