// Package savoryorder decides which orders to give to engines.
//
// One entry at a time is the orderer. It holds a lease in the platform's store, and
// the store's revision at which it acquired the lease is the fencing token of its
// orders. An orderer may lose the lease while its process is paused, so a late
// order must be harmless. Each order therefore states the whole wanted state, and
// engines that check fencing tokens refuse an older one. For engines that ignore
// the token, the planner reads the state back and repeats the order until the
// state matches the configuration.
//
// The package does no I/O and reads no clock.
package savoryorder

import "time"

// Lease is the orderer's lease as its holder counts it: from before the call that
// acquired or renewed it, so that it ends here before it ends at the store.
type Lease struct {
	// Margin is how much earlier the lease ends here. It allows for clocks that run at
	// different speeds and for the time that an order is in flight.
	Margin time.Duration

	fence int64
	until time.Time
}

// Acquired records that the lease was acquired by a call that began at requestedAt,
// with the given fencing token.
func (t *Lease) Acquired(fence int64, requestedAt time.Time, ttl time.Duration) {
	t.fence = fence
	t.until = requestedAt.Add(ttl)
}

// Renewed records that the lease was renewed by a call that began at requestedAt.
func (t *Lease) Renewed(requestedAt time.Time, ttl time.Duration) {
	if until := requestedAt.Add(ttl); until.After(t.until) {
		t.until = until
	}
}

// Lost records that the lease is no longer held.
func (t *Lease) Lost() {
	t.fence = 0
	t.until = time.Time{}
}

// Fence returns the fencing token and whether an order may be sent now.
func (t *Lease) Fence(now time.Time) (int64, bool) {
	return t.fence, t.fence != 0 && now.Add(t.Margin).Before(t.until)
}
