package savorygate

// This file defines the clock by which ages are counted. The clock of package time stands still
// while a VM is suspended, and what was read before would pass for recent after it.

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// sinceBoot returns the time since the VM started, including that for which it was suspended.
func sinceBoot() (time.Duration, error) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0, fmt.Errorf("read the clock CLOCK_BOOTTIME: %w", err)
	}
	return time.Duration(ts.Nano()), nil
}

// prepareClock sets SinceBoot if it isn't set.
func (g *Gate) prepareClock() {
	if g.SinceBoot != nil {
		return
	}
	if _, err := sinceBoot(); err != nil {
		g.Log.WithError(err).Warn("suspensions of the VM are not noticed")
		started := time.Now()
		g.SinceBoot = func() time.Duration { return time.Since(started) }
		return
	}
	g.SinceBoot = func() time.Duration {
		d, _ := sinceBoot() // it fails never or always
		return d
	}
}

// bootNow returns the current time of the clock of ages. It must only be compared with other
// times of this clock.
func (g *Gate) bootNow() time.Time { return time.Unix(0, 0).Add(g.SinceBoot()) }
