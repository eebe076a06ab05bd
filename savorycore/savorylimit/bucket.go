package savorylimit

// This file defines the token bucket that limits a rate.

import "time"

// bucket is a token bucket. The zero value is full at its first refill.
type bucket struct {
	level float64
	// updatedAt is the time of the last refill; zero before the first.
	updatedAt time.Time
}

// refill adds the tokens that accrued since the last refill, at rate tokens
// per second, and caps the level at burst.
func (b *bucket) refill(rate, burst float64, now time.Time) {
	if b.updatedAt.IsZero() {
		b.level = burst
	} else if d := now.Sub(b.updatedAt); d > 0 {
		b.level = min(burst, b.level+rate*d.Seconds())
	}
	b.level = min(b.level, burst)
	b.updatedAt = now
}

// wait returns the time until the level reaches need at rate tokens per
// second.
func (b *bucket) wait(rate, need float64) time.Duration {
	if b.level >= need {
		return 0
	}
	return time.Duration((need - b.level) / rate * float64(time.Second))
}
