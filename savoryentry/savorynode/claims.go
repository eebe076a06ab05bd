package savorynode

// This file defines claimRunner, which carries out the actions of savoryclaim.

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/apex/log"
	"gopkg.in/tomb.v2"

	"savorycart.example/savorycore/savoryclaim"
	"savorycart.example/savorycore/savorystore"
	"savorycart.example/savorycore/savoryverdict"
)

const (
	// maxClaimTries bounds the attempts to create a claim.
	maxClaimTries = 3
	// leaseRotationInterval is how long new records use the same lease. A
	// record exists for at least savoryclaim.Retention after the lease was
	// last used.
	leaseRotationInterval = time.Hour
	// leaseCheckInterval is the time between two checks of the lease.
	leaseCheckInterval = 500 * time.Millisecond
)

// claimRunner carries out the actions of savoryclaim.Attempt: it writes the
// records of idempotency keys to the store.
type claimRunner struct {
	store   *savorystore.Store
	writer  *groupWriter
	log     log.Interface
	now     func() time.Time
	metrics *metrics
	settler *settler

	// grantMu is held while a request waits for the first lease. It guards
	// grantFailedAt, the time of the last failed grant on behalf of a
	// request.
	grantMu       sync.Mutex
	grantFailedAt time.Time

	mu            sync.Mutex
	lease         savorystore.Lease
	grantedAt     time.Time
	writeFailedAt time.Time
}

var errNoLease = errors.New("no lease for idempotency keys")

// run carries out the actions of a until the reply. send sends the request
// once.
func (c *claimRunner) run(ctx context.Context, key string, a *savoryclaim.Attempt, send func() savoryclaim.SendResult) savoryclaim.Action {
	action := a.Start(c.now())
	for action.Kind != savoryclaim.Reply {
		switch action.Kind {
		case savoryclaim.Create:
			action = a.Created(c.create(ctx, key, action.Record), c.now())
		case savoryclaim.Send:
			action = a.Sent(send(), c.now())
		case savoryclaim.Finish:
			action = a.Settled(c.settle(ctx, key, action.Record, action.ExpectedRevision))
		case savoryclaim.Release:
			action = a.Settled(c.settle(ctx, key, nil, action.ExpectedRevision))
		}
	}
	if a.MayHaveOrphanRecord() {
		c.settler.add(settlement{swap: savorystore.Swap{Key: key}, nonce: a.Nonce})
	}
	return action
}

// create writes a record if the key is absent.
func (c *claimRunner) create(ctx context.Context, key string, record *savoryclaim.Record) savoryclaim.StoreResult {
	lease, err := c.currentLease(ctx)
	if err != nil {
		return savoryclaim.StoreResult{Failed: true, NotApplied: true}
	}
	body, err := record.Encode()
	if err != nil {
		return savoryclaim.StoreResult{Failed: true, NotApplied: true}
	}
	return c.write(ctx, savorystore.Swap{Key: key, Body: body, Lease: lease})
}

// settle finishes a record, or deletes it if record is nil. It ignores the
// end of ctx, because the record must be settled even if the request was
// canceled. A failed write is left to the settler.
func (c *claimRunner) settle(ctx context.Context, key string, record *savoryclaim.Record, old int64) savoryclaim.StoreResult {
	ctx = context.WithoutCancel(ctx)
	swap := savorystore.Swap{Key: key, ExpectedRevision: old}
	if record != nil {
		lease, err := c.currentLease(ctx)
		if err != nil {
			return savoryclaim.StoreResult{Failed: true, NotApplied: true}
		}
		body, err := record.Encode()
		if err != nil {
			return savoryclaim.StoreResult{Failed: true, NotApplied: true}
		}
		swap.Body, swap.Lease = body, lease
	}
	outcome := c.write(ctx, swap)
	if outcome.Failed {
		c.settler.add(settlement{swap: swap})
	}
	return outcome
}

// write runs one swap through the group writer.
func (c *claimRunner) write(ctx context.Context, swap savorystore.Swap) savoryclaim.StoreResult {
	result, err := c.writer.write(ctx, swap)
	if err != nil {
		c.mu.Lock()
		c.writeFailedAt = c.now()
		c.mu.Unlock()
		return savoryclaim.StoreResult{Failed: true, NotApplied: notApplied(err)}
	}
	outcome := savoryclaim.StoreResult{Applied: result.Applied, Revision: result.Revision}
	if result.Applied || !result.Current.Exists() {
		return outcome
	}
	record, err := savoryclaim.DecodeRecord(result.Current.Body)
	if err != nil {
		c.log.WithError(err).WithField("key", swap.Key).Error("cannot decode the claim record")
		record = &savoryclaim.Record{State: savoryclaim.Claimed, Nonce: "?"}
	}
	outcome.Current, outcome.CurrentRevision = record, result.Current.Revision
	return outcome
}

// notApplied reports whether err means that the store cannot have applied the
// call.
func notApplied(err error) bool {
	var failed *savorystore.Error
	return errors.As(err, &failed) && failed.Verdict == savoryverdict.NotRun
}

// currentLease returns the lease for new records. It returns an error if
// there is none, because a record without a lease would never be deleted and
// would fill the store. An entry that has just started requests the first
// lease at once, but waits leaseCheckInterval after a failure.
func (c *claimRunner) currentLease(ctx context.Context) (int64, error) {
	if id, ok := c.heldLease(); ok {
		return id, nil
	}
	c.grantMu.Lock()
	defer c.grantMu.Unlock()
	if id, ok := c.heldLease(); ok {
		return id, nil
	}
	if c.now().Sub(c.grantFailedAt) < leaseCheckInterval {
		return 0, errNoLease
	}
	c.renewLease(ctx)
	if id, ok := c.heldLease(); ok {
		return id, nil
	}
	c.grantFailedAt = c.now()
	return 0, errNoLease
}

// heldLease returns the held lease, and false if there is none or it is older
// than two rotation intervals.
func (c *claimRunner) heldLease() (int64, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	held := c.lease.ID != 0 && c.now().Sub(c.grantedAt) <= 2*leaseRotationInterval
	return c.lease.ID, held
}

// leaseLoop grants a new lease every leaseRotationInterval, and after a
// failed write, because the store may have lost the old lease.
func (c *claimRunner) leaseLoop(t *tomb.Tomb) error {
	for {
		c.mu.Lock()
		due := c.lease.ID == 0 || c.now().Sub(c.grantedAt) > leaseRotationInterval || c.writeFailedAt.After(c.grantedAt)
		c.mu.Unlock()
		if due {
			c.renewLease(t.Context(context.Background()))
		}
		if !sleepTomb(t, leaseCheckInterval) {
			return nil
		}
	}
}

func (c *claimRunner) renewLease(ctx context.Context) {
	lease, err := c.store.Grant(ctx, savoryclaim.Retention+2*leaseRotationInterval)
	if err != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lease, c.grantedAt = lease, c.now()
}
