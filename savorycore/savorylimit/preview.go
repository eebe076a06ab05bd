package savorylimit

// This file defines what a preview of a request reads: the retries that are left, and a copy
// of a customer's limits.

import "time"

// Left returns the number of retries that AllowRetry would allow at now.
func (b *WindowBudget) Left(now time.Time) int {
	c := *b
	left := 0
	for c.Window > 0 && c.AllowRetry(now) {
		left++
	}
	return left
}

// Left returns the number of retries that AllowRetry would allow at now.
func (b *RetryBudget) Left(now time.Time) int {
	c := *b
	left := 0
	for c.AllowRetry(now) {
		left++
	}
	return left
}

// Copy returns a limiter with the same state for one customer. Its calls for that customer
// change the copy only.
func (l *Limiter) Copy(customer string) *Limiter {
	c := &Limiter{Entry: l.Entry, entries: l.entries, demands: l.demands}
	if known := l.customers[customer]; known != nil {
		*c.usage(customer) = *known
	}
	return c
}
