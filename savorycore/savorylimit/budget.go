package savorylimit

// This file defines the budget of retries.

import "time"

const (
	// retriesPerRequest is the part of a retry that each request pays in.
	retriesPerRequest = 0.1
	// retriesPerSecond is paid in whatever the load, so that a quiet entry can
	// still retry.
	retriesPerSecond = 2
	// maxRetries bounds what is saved up.
	maxRetries = 50
)

// RetryBudget bounds retries to a part of the requests, so that a failing zone
// is not met with a multiple of the load. The zero value is ready for use; it
// is not safe for concurrent use.
type RetryBudget struct {
	tokens bucket
}

// RecordRequest pays a request's part in.
func (b *RetryBudget) RecordRequest(now time.Time) {
	b.tokens.refill(retriesPerSecond, maxRetries, now)
	b.tokens.level = min(maxRetries, b.tokens.level+retriesPerRequest)
}

// AllowRetry reports whether a retry is allowed at now, and takes it.
func (b *RetryBudget) AllowRetry(now time.Time) bool {
	b.tokens.refill(retriesPerSecond, maxRetries, now)
	if b.tokens.level < 1 {
		return false
	}
	b.tokens.level--
	return true
}
