package savoryplacement

// This file defines Tenure, which decides whether an entry may give orders.

import "time"

const (
	// LeaseTTL is the orderer's lease: a successor begins at most so long after
	// its death, as the entries of the store lapse.
	LeaseTTL = 2 * time.Second
	// leaseDivisor divides the lease's time; the holder acts for all parts but one
	// and renews after one.
	leaseDivisor = 3
	// substituteWindow is how long an entry goes on standing in after the store is
	// back: the lease of the orderer that is gone is restored then, and lapses.
	substituteWindow = 2 * LeaseTTL
	// renewRetryInterval is the pause after a failed renewal; several fit into a part.
	renewRetryInterval = 200 * time.Millisecond
)

// LeaseAction is what an entry does about its tenure.
type LeaseAction string

// The steps.
const (
	// ActionNone gives no orders.
	ActionNone LeaseAction = "None"
	// ActionOrder gives orders.
	ActionOrder LeaseAction = "Act"
	// ActionRenew renews the lease first.
	ActionRenew LeaseAction = "Renew"
	// ActionAcquire tries to take the lease first.
	ActionAcquire LeaseAction = "Take"
	// ActionSubstitute gives orders without a lease: the store is away for all, so
	// that nobody can take one, and the orderer is gone.
	ActionSubstitute LeaseAction = "StandIn"
	// ActionResign gives up the lease that was held.
	ActionResign LeaseAction = "Lost"
)

// Observation is what an entry sees of the store and of the others.
type Observation struct {
	// ListAge is the age of the newest list of servers that any heard entry has
	// read from the store. The store counts as away for all above AwayAge.
	ListAge        time.Duration
	UnreachableAge time.Duration
	// LiveEntries is the number of live entries with this one.
	LiveEntries int
	// First says that no live entry comes before this one, StoreFirst that none
	// of those that reach the store does.
	First      bool
	StoreFirst bool
	// OtherOrderer says that another live entry gives orders.
	OtherOrderer bool
}

// OrdererLease is an entry's claim to give orders. The zero value holds none; it is
// not safe for concurrent use.
type OrdererLease struct {
	held       bool
	validUntil time.Time
	renewAt    time.Time
	// firstFailureAt is the first failed renewal since the last answered one.
	firstFailureAt time.Time
	// outage is set while the holder goes on without the store.
	outage bool
	// substituteUntil is the end of standing in.
	substituteUntil time.Time
}

// Held reports whether the entry holds the lease.
func (t *OrdererLease) Held() bool { return t.held }

// Next returns what to do now. After TenureRenew the result of the renewal is told
// by Granted, Lapsed or Unanswered, after TenureTake a success by Granted.
func (t *OrdererLease) Next(w Observation, now time.Time) LeaseAction {
	switch {
	case t.held && now.Before(t.renewAt) && now.Before(t.validUntil):
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
		// One that hears nobody is rather cut off itself.
		t.substituteUntil = now.Add(substituteWindow)
		return ActionSubstitute
	case w.First && now.Before(t.substituteUntil):
		return ActionSubstitute
	}
	return ActionNone
}

// Granted takes a lease that was granted or renewed; it counts from before the
// call.
func (t *OrdererLease) Granted(ttl time.Duration, from time.Time) {
	*t = OrdererLease{held: true, validUntil: from.Add(ttl * (leaseDivisor - 1) / leaseDivisor), renewAt: from.Add(ttl / leaseDivisor)}
}

// Expired takes the store's answer that the lease is gone.
func (t *OrdererLease) Expired() { *t = OrdererLease{} }

// RenewalUnanswered takes a renewal without an answer and returns whether the entry
// acts on, waits or gives up.
//
// If another entry has read the list since, the store is away for this entry
// only, and a successor may take the lease. If all who are heard have given up
// reading, nobody can succeed, and engines still fail: the holder goes on.
// Between the two no orders are given.
func (t *OrdererLease) RenewalUnanswered(w Observation, now time.Time) LeaseAction {
	if t.firstFailureAt.IsZero() {
		t.firstFailureAt = now
	}
	t.renewAt = now.Add(renewRetryInterval)
	switch {
	case now.Before(t.validUntil):
		return ActionOrder
	case now.Add(-w.ListAge).After(t.firstFailureAt), w.LiveEntries == 1:
		t.Expired()
		return ActionResign
	case w.ListAge < w.UnreachableAge:
		return ActionNone
	}
	t.outage = true
	t.renewAt = now.Add(LeaseTTL / leaseDivisor)
	t.validUntil = t.renewAt
	return ActionOrder
}

// Outage reports whether the holder goes on without the store.
func (t *OrdererLease) Outage() bool { return t.outage }
