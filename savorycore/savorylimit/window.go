package savorylimit

// This file defines WindowBudget, an entry's share of the retries that a fleet
// may make in any span of a given length.

import "time"

// windowSlots is the number of parts that a window is counted in.
const windowSlots = 10

// WindowBudget allows retries up to Slack and Ratio of the requests in any
// window. A failure of many requests at once may use all of it at once. Its
// exported fields are set before its first use and may be changed later; it is
// not safe for concurrent use.
type WindowBudget struct {
	Ratio  float64
	Slack  float64
	Window time.Duration

	// Both rings hold one part more than a window, since a window may begin
	// within a part.
	requests [windowSlots + 1]int
	retries  [windowSlots + 1]int
	slot     int64
}

// RecordRequest counts a request.
func (b *WindowBudget) RecordRequest(now time.Time) {
	b.advance(now)
	b.requests[b.index()]++
}

// AllowRetry reports whether a retry is allowed at now, and counts it.
func (b *WindowBudget) AllowRetry(now time.Time) bool {
	b.advance(now)
	requests, retries := 0, 0
	for i := range b.retries {
		requests += b.requests[i]
		retries += b.retries[i]
	}
	// The oldest part may lie before the window: its requests do not count.
	requests -= b.requests[(b.slot+1)%(windowSlots+1)]
	if float64(retries)+1 > b.Slack+b.Ratio*float64(requests) {
		return false
	}
	b.retries[b.index()]++
	return true
}

func (b *WindowBudget) index() int64 { return b.slot % (windowSlots + 1) }

// advance clears the parts that have passed.
func (b *WindowBudget) advance(now time.Time) {
	slot := now.UnixNano() / int64(b.Window/windowSlots)
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

// peerDiscoveryWindow is the time after its start in which an entry finds out how many live
// entries there are: peers that start together hear of each other within it.
const peerDiscoveryWindow = 2 * time.Second

// SlackShare returns an entry's share of the slack of a retry budget. One that has
// just started has none, since it does not know how many live entries share it,
// and a quarter of it until a window has passed: its share may have been spent
// before it started anew, and entries use four fifths of the operators' slack.
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
