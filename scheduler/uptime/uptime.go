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

// Stamp is a moment whose age includes time in which the machine was suspended.
type Stamp struct {
	steady time.Time
	boot   time.Duration
}

// At returns the stamp of a moment since which the machine was not suspended.
func At(steady time.Time) Stamp {
	return Stamp{steady: steady, boot: Now() - time.Since(steady)}
}

// Age returns the time since the moment.
func (s Stamp) Age() time.Duration { return max(time.Since(s.steady), Now()-s.boot) }
