package savoryplacement

// This file defines OrdererLease, which decides whether an entry may give orders.

import "time"

const (
	// LeaseTTL is the time to live of the orderer's lease. It bounds the time from the
	// failure of an orderer to the start of its successor, since the orderer's records
	// in the store then expire.
	LeaseTTL = 2 * time.Second
	// leaseDivisor divides the time to live into equal parts: the holder renews
	// after the first and gives no orders in the last.
	leaseDivisor = 3
	// substituteWindow is how long an entry goes on substituting for the orderer
	// after the store has recovered: the store then restores the lease of the failed
	// orderer, and that lease still has to expire.
	substituteWindow = 2 * LeaseTTL
	// maxClockGain is how much further the time of day may advance than the steady
	// clock before the lease counts as doubtful. The steady clock stands still while
	// a VM is suspended, and the store goes on.
	maxClockGain = LeaseTTL / leaseDivisor / 2
	// renewRetryInterval is the delay after a failed renewal. Several retries fit into
	// one of the lease's parts.
	renewRetryInterval = 200 * time.Millisecond
)

// LeaseAction is the next action of an entry about the orderer's lease.
type LeaseAction string

// The actions.
const (
	// ActionNone gives no orders.
	ActionNone LeaseAction = "None"
	// ActionOrder gives orders.
	ActionOrder LeaseAction = "Act"
	// ActionRenew renews the lease before any order.
	ActionRenew LeaseAction = "Renew"
	// ActionAcquire tries to acquire the lease before any order.
	ActionAcquire LeaseAction = "Take"
	// ActionSubstitute gives orders without a lease. The store is unreachable for
	// all entries, so that no entry can acquire the lease, and the orderer failed.
	ActionSubstitute LeaseAction = "StandIn"
	// ActionResign gives up the lease.
	ActionResign LeaseAction = "Lost"
)

// Observation is what an entry observes of the store and of its peers.
type Observation struct {
	// ListAge is the age of the newest list of servers that this entry or a live
	// peer read from the store. From UnreachableAge on, the store counts as
	// unreachable for all entries.
	ListAge        time.Duration
	UnreachableAge time.Duration
	// LiveEntries is the number of live entries, this one included.
	LiveEntries int
	// First is true if no live entry precedes this one, StoreFirst if no live entry
	// that reaches the store precedes it.
	First      bool
	StoreFirst bool
	// OtherOrderer is true if another live entry reports that it gives orders.
	OtherOrderer bool
}

// OrdererLease is the state of the orderer's lease at one entry. The zero value
// holds no lease. It is not safe for concurrent use.
type OrdererLease struct {
	held       bool
	validUntil time.Time
	renewAt    time.Time
	// grantedAt is the time from which the lease counts, or of the last decision to go
	// on without a renewal.
	grantedAt time.Time
	// firstFailureAt is the time of the first failed renewal since the last one that
	// the store answered.
	firstFailureAt time.Time
	// outage is true while the holder gives orders although the store is unreachable.
	outage bool
	// substituteUntil is when the entry stops substituting for the orderer.
	substituteUntil time.Time
}

// Held reports whether the entry holds the lease.
func (t *OrdererLease) Held() bool { return t.held }

// Valid reports whether the lease allows an order at now: it has not run out, and the
// VM was not suspended since it was granted.
func (t *OrdererLease) Valid(now time.Time) bool {
	return t.held && now.Before(t.validUntil) && !t.suspended(now)
}

// suspended reports whether the time of day has advanced further than the steady clock
// since the lease was granted: the VM was suspended, or its time of day was set. The
// lease may have run out in the meantime, which only a renewal shows.
func (t *OrdererLease) suspended(now time.Time) bool {
	byDay := now.Round(0).Sub(t.grantedAt.Round(0))
	return byDay-now.Sub(t.grantedAt) > maxClockGain
}

// Next returns the action for now. After ActionRenew the caller reports the result
// by Granted, Expired or RenewalUnanswered; after ActionAcquire it calls Granted
// if the lease was acquired.
func (t *OrdererLease) Next(w Observation, now time.Time) LeaseAction {
	switch {
	case t.held && now.Before(t.renewAt) && t.Valid(now):
		return ActionOrder
	case t.held:
		return ActionRenew
	case w.OtherOrderer:
		t.substituteUntil = time.Time{}
		return ActionNone
	case w.StoreFirst && !now.Before(t.renewAt):
		t.renewAt = now.Add(LeaseTTL / leaseDivisor)
		return ActionAcquire
	case w.First && w.LiveEntries > 1 && w.ListAge >= w.UnreachableAge:
		// An entry without live peers is more likely to be partitioned itself.
		t.substituteUntil = now.Add(substituteWindow)
		return ActionSubstitute
	case w.First && now.Before(t.substituteUntil):
		return ActionSubstitute
	}
	return ActionNone
}

// Granted records that the lease was acquired or renewed. The time to live counts
// from the time before the call to the store.
func (t *OrdererLease) Granted(ttl time.Duration, from time.Time) {
	*t = OrdererLease{held: true, grantedAt: from, validUntil: from.Add(ttl * (leaseDivisor - 1) / leaseDivisor), renewAt: from.Add(ttl / leaseDivisor)}
}

// Expired records the store's answer that the lease no longer exists.
func (t *OrdererLease) Expired() { *t = OrdererLease{} }

// RenewalUnanswered records a renewal without a response and returns whether the
// entry goes on giving orders, pauses or resigns.
//
// If another entry has read the list since the first failure, the store is
// unreachable for this entry only, and a successor can acquire the lease. If no
// live entry reads the list any longer, there can be no successor while engines
// still fail, so the holder goes on giving orders. Between the two cases the
// entry gives no orders.
func (t *OrdererLease) RenewalUnanswered(w Observation, now time.Time) LeaseAction {
	if t.firstFailureAt.IsZero() {
		t.firstFailureAt = now
	}
	t.renewAt = now.Add(renewRetryInterval)
	switch {
	case t.Valid(now):
		return ActionOrder
	case now.Add(-w.ListAge).After(t.firstFailureAt), w.LiveEntries == 1:
		t.Expired()
		return ActionResign
	case w.ListAge < w.UnreachableAge:
		return ActionNone
	}
	t.outage = true
	t.grantedAt = now
	t.renewAt = now.Add(LeaseTTL / leaseDivisor)
	t.validUntil = t.renewAt
	return ActionOrder
}

// Outage reports whether the holder gives orders while the store is unreachable.
func (t *OrdererLease) Outage() bool { return t.outage }
