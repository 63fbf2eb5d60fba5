// Package uptime provides a clock for durations on one host that, unlike Go's monotonic
// clock, advances while the host is suspended. With the monotonic clock, a process that was
// suspended past a caller's deadline would resume and assume that the caller still waits.
package uptime

import (
	"time"

	"golang.org/x/sys/unix"
)

var processStart = time.Now()

// Now returns the time since the host booted, including time in suspension.
func Now() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// The call fails only on a kernel without this clock; the monotonic clock is
		// the closest substitute.
		return time.Since(processStart)
	}
	return time.Duration(now.Nano())
}
