package savorygate

// This file defines the clock by which ages are counted. The clock of package time stands still
// while a VM is suspended, and what was read before would pass for recent after it.

import (
	"time"

	"golang.org/x/sys/unix"
)

// processStart is when this process started.
var processStart = time.Now()

// sinceBoot returns the time since the VM started, including that for which it was suspended.
func sinceBoot() time.Duration {
	var ts unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts) != nil {
		// Only a kernel that lacks the clock, or a filter of system calls, refuses it, and then always.
		return time.Since(processStart)
	}
	return time.Duration(ts.Nano())
}

// bootNow returns the current time of the clock of ages. It must only be compared with other
// times of this clock.
func (g *Gate) bootNow() time.Time {
	d := sinceBoot
	if g.SinceBoot != nil {
		d = g.SinceBoot
	}
	return time.Unix(0, 0).Add(d())
}
