// Package timekeeper reads the clock that goes on while a host is suspended.
// Go's own monotonic clock stands still then, and a lease would seem to last.
package timekeeper

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootTime returns the time since the host was started.
func BootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// The call only fails for clocks that the kernel does not have.
		panic("CLOCK_BOOTTIME can't be read: " + err.Error())
	}
	return time.Duration(t.Nano())
}
