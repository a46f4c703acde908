// Package clock reads the clock that is used to measure leases.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot returns the time since the machine booted, including the time for which it was
// suspended. The monotonic clock of package time stops while the machine is suspended, so
// a lease measured with it would expire too late. SinceBoot panics if CLOCK_BOOTTIME is not
// available.
func SinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("clock: CLOCK_BOOTTIME is not available: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
