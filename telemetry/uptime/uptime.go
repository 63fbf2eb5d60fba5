// Package uptime reads the clock that measures spans on one host. It also
// counts the time for which the host was suspended, which Go's monotonic clock
// leaves out: a process that sleeps through a caller's deadline would wake up
// and believe that the caller still waits.
package uptime

import (
	"time"

	"golang.org/x/sys/unix"
)

var started = time.Now()

// Now returns the time since the host's start, suspended spans included.
func Now() time.Duration {
	var at unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &at); err != nil {
		// Only a kernel without this clock refuses; the monotonic clock is then
		// the nearest there is.
		return time.Since(started)
	}
	return time.Duration(at.Nano())
}
