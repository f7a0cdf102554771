// Package uptime measures the time since boot, including time in which the
// machine was suspended. Go's monotonic clock stops during suspension, so it
// cannot tell whether a lease or a timeout has expired.
package uptime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since boot.
func Now() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// Every supported kernel has this clock.
		panic(err)
	}
	return time.Duration(now.Nano())
}

// Stamp is a point in time whose age includes time in which the machine was
// suspended.
type Stamp struct {
	monotonic time.Time
	boot      time.Duration
}

// At returns the stamp of t. The machine must not have been suspended since t.
func At(t time.Time) Stamp {
	return Stamp{monotonic: t, boot: Now() - time.Since(t)}
}

// Age returns the time since the stamp.
func (s Stamp) Age() time.Duration { return max(time.Since(s.monotonic), Now()-s.boot) }
