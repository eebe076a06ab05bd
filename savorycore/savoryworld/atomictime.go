package savoryworld

// This file defines AtomicTime.

import (
	"sync/atomic"
	"time"
)

// AtomicTime is a time that several goroutines may store and load. It keeps the reading
// of the steady clock, so that ages stay right when the time of day jumps. The zero
// value holds the zero time.
type AtomicTime struct {
	p atomic.Pointer[time.Time]
}

// Store sets the time.
func (a *AtomicTime) Store(t time.Time) { a.p.Store(&t) }

// Load returns the time that was stored last.
func (a *AtomicTime) Load() time.Time {
	if t := a.p.Load(); t != nil {
		return *t
	}
	return time.Time{}
}
