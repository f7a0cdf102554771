// Package uptime tells the time since the machine was started, time in which it
// was suspended included. Go's own steady clock stands still meanwhile, so that
// it cannot tell whether a lease or a time limit has run out.
package uptime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine was started.
func Now() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// Every supported kernel has this clock.
		panic(err)
	}
	return time.Duration(now.Nano())
}
