// Package savoryorder decides which orders engines are given.
//
// One entry at a time is the orderer. It holds a lease in the platform's store,
// and the revision at which it took the lease is the fencing number of its
// orders. An orderer may lose the lease while it is paused, so each order must
// do no harm when it is late: it states the whole wanted state, engines that
// check fencing numbers refuse an old one, and for those that ignore them the
// planner reads the state back and orders again until it is as configured.
//
// The package decides only: it does no I/O and reads no clock.
package savoryorder

import "time"

// Lease is the time in which an orderer may send orders. It is counted from
// before the call that granted or renewed the lease, so that it ends here
// before it ends at the store.
type Lease struct {
	// Margin is how much earlier the tenure ends here, for clocks that run at
	// different speeds and for the time that an order is under way.
	Margin time.Duration

	fence int64
	until time.Time
}

// Acquired records that the lease was taken by a call that began at asked, with
// the fencing number fence.
func (t *Lease) Acquired(fence int64, requestedAt time.Time, ttl time.Duration) {
	t.fence = fence
	t.until = requestedAt.Add(ttl)
}

// Renewed records that the lease was renewed by a call that began at asked.
func (t *Lease) Renewed(requestedAt time.Time, ttl time.Duration) {
	if until := requestedAt.Add(ttl); until.After(t.until) {
		t.until = until
	}
}

// Lost records that the lease is gone.
func (t *Lease) Lost() {
	t.fence = 0
	t.until = time.Time{}
}

// Fence returns the fencing number and whether an order may be sent now.
func (t *Lease) Fence(now time.Time) (int64, bool) {
	return t.fence, t.fence != 0 && now.Add(t.Margin).Before(t.until)
}
