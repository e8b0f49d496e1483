package gateway

import (
	"time"

	"golang.org/x/sys/unix"
)

// bootTime returns the time since the machine booted, including time
// suspended, which Go's monotonic clock excludes.
func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// All Linux kernels supported by Go have this clock.
		panic(err)
	}
	return time.Duration(ts.Nano())
}
