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
	// PerRequest is the part of a retry that each request pays in, PerSecond
	// what is paid in whatever the load, and Most what can be saved up. Where
	// all are 0 the defaults hold.
	PerRequest float64
	PerSecond  float64
	Most       float64

	saved bucket
}

// ShareBudget divides the retries that a fleet of entries may make in a window
// among the entries: ratio of the requests and slack besides. Half of an
// entry's slack may come at once and half over the window, so that no window
// holds more than its share.
func ShareBudget(ratio, slack float64, window time.Duration, entries int) RetryBudget {
	share := slack / float64(max(1, entries)) / 2
	return RetryBudget{PerRequest: ratio, PerSecond: share / window.Seconds(), Most: max(1, share)}
}

// Set takes the figures of other and keeps what was saved.
func (b *RetryBudget) Set(other RetryBudget) {
	b.PerRequest, b.PerSecond, b.Most = other.PerRequest, other.PerSecond, other.Most
}

func (b *RetryBudget) figures() (perRequest, perSecond, most float64) {
	if b.PerRequest == 0 && b.PerSecond == 0 && b.Most == 0 {
		return retriesPerRequest, retriesPerSecond, maxRetries
	}
	return b.PerRequest, b.PerSecond, b.Most
}

// Request pays a request's part in.
func (b *RetryBudget) Request(now time.Time) {
	perRequest, perSecond, most := b.figures()
	b.saved.refill(perSecond, most, now)
	b.saved.level = min(most, b.saved.level+perRequest)
}

// Retry reports whether a retry is allowed at now, and takes it.
func (b *RetryBudget) Retry(now time.Time) bool {
	_, perSecond, most := b.figures()
	b.saved.refill(perSecond, most, now)
	if b.saved.level < 1 {
		return false
	}
	b.saved.level--
	return true
}
