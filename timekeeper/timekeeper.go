// Package timekeeper reads the clock that keeps running while a host is
// suspended. Go's monotonic clock stops then, so that an expired lease would
// look valid.
package timekeeper

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootTime returns the time since the host booted, including suspends.
func BootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// The call fails only if the kernel lacks the clock.
		panic("can't read CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(t.Nano())
}
