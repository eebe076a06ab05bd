package savorylimit

// This file defines WindowBudget, which limits the retries of one entry in any
// window of a given length.

import "time"

// windowSlots is the number of slots that a window is divided into.
const windowSlots = 10

// WindowBudget allows Slack retries plus Ratio times the number of requests in
// any window. All of the budget may be used at once, for example when many
// requests fail together. Its exported fields are set before its first use and
// may be changed later; it is not safe for concurrent use.
type WindowBudget struct {
	Ratio  float64
	Slack  float64
	Window time.Duration

	// The rings hold one slot more than a window has, since a window may begin
	// within a slot. slot is the number of the current slot since firstUsedAt.
	requests [windowSlots + 1]int
	retries  [windowSlots + 1]int
	slot     int64
	// firstUsedAt is the time of the first use. Slots count from it because the time
	// of day may jump.
	firstUsedAt time.Time
}

// RecordRequest counts a request at now.
func (b *WindowBudget) RecordRequest(now time.Time) {
	b.advance(now)
	b.requests[b.index()]++
}

// AllowRetry reports whether a retry is allowed at now, and counts an allowed
// one.
func (b *WindowBudget) AllowRetry(now time.Time) bool {
	b.advance(now)
	requests, retries := 0, 0
	for i := range b.retries {
		requests += b.requests[i]
		retries += b.retries[i]
	}
	// Part of the oldest slot may lie before the window, so its requests do not
	// raise the limit. Its retries count.
	requests -= b.requests[(b.slot+1)%(windowSlots+1)]
	if float64(retries)+1 > b.Slack+b.Ratio*float64(requests) {
		return false
	}
	b.retries[b.index()]++
	return true
}

func (b *WindowBudget) index() int64 { return b.slot % (windowSlots + 1) }

// advance makes the slot of now the current one and clears the slots that were
// skipped.
func (b *WindowBudget) advance(now time.Time) {
	if b.firstUsedAt.IsZero() {
		b.firstUsedAt = now
	}
	slot := int64(now.Sub(b.firstUsedAt) / (b.Window / windowSlots))
	if slot-b.slot > windowSlots {
		b.requests, b.retries = [windowSlots + 1]int{}, [windowSlots + 1]int{}
		b.slot = slot
		return
	}
	for b.slot < slot {
		b.slot++
		b.requests[b.index()], b.retries[b.index()] = 0, 0
	}
}

// peerDiscoveryWindow is the time after its start in which an entry learns the
// number of live entries: peers that start together contact each other within
// it.
const peerDiscoveryWindow = 2 * time.Second

// SlackShare returns the share of the slack of a retry budget for an entry that
// started age ago. The share is 0 during peerDiscoveryWindow, because the entry
// cannot tell yet how many live entries divide the slack. It is a quarter until
// window has passed: the entry may have spent its share before a restart, and
// the entries together use only four fifths of the slack in the settings.
func SlackShare(slack float64, liveEntries int, age, window time.Duration) float64 {
	share := slack / float64(max(1, liveEntries))
	switch {
	case age < peerDiscoveryWindow:
		return 0
	case age < window:
		return share / 4
	}
	return share
}
