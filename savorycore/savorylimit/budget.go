package savorylimit

// This file defines RetryBudget, which limits retries to a fraction of the
// requests.

import "time"

const (
	// retriesPerRequest is the fraction of a retry that each request adds to the
	// budget.
	retriesPerRequest = 0.1
	// retriesPerSecond is added to the budget at any load, so that an entry with
	// little traffic can still retry.
	retriesPerSecond = 2
	// maxRetries is the maximum number of unused retries in the budget.
	maxRetries = 50
)

// RetryBudget limits retries to a fraction of the requests, so that retries do
// not multiply the load on a failing zone. The zero value is ready for use; it
// is not safe for concurrent use.
type RetryBudget struct {
	tokens bucket
}

// RecordRequest adds the share of one request to the budget.
func (b *RetryBudget) RecordRequest(now time.Time) {
	b.tokens.refill(retriesPerSecond, maxRetries, now)
	b.tokens.level = min(maxRetries, b.tokens.level+retriesPerRequest)
}

// AllowRetry reports whether a retry is allowed at now. An allowed retry is
// deducted from the budget.
func (b *RetryBudget) AllowRetry(now time.Time) bool {
	b.tokens.refill(retriesPerSecond, maxRetries, now)
	if b.tokens.level < 1 {
		return false
	}
	b.tokens.level--
	return true
}
