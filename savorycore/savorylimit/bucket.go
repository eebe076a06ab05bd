package savorylimit

// This file defines the token bucket that bounds a rate.

import "time"

// bucket holds units that refill at a rate. A rate of 0 means no bound.
type bucket struct {
	level float64
	updatedAt    time.Time
}

// refill brings the level up to date for a rate in units per second and a
// largest level.
func (b *bucket) refill(rate, burst float64, now time.Time) {
	if b.updatedAt.IsZero() {
		b.level = burst
	} else if d := now.Sub(b.updatedAt); d > 0 {
		b.level = min(burst, b.level+rate*d.Seconds())
	}
	b.level = min(b.level, burst)
	b.updatedAt = now
}

// wait returns how long it takes until the level reaches need.
func (b *bucket) wait(rate, need float64) time.Duration {
	if b.level >= need {
		return 0
	}
	return time.Duration((need - b.level) / rate * float64(time.Second))
}
