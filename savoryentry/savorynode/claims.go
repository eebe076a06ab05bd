package savorynode

// This file defines claimRunner, the plumbing around savoryclaim, and
// groupWriter, which joins writes of several requests into one store call.

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
	// claimTries is the number of times that a claim is written.
	claimTries = 3
	// leaseRotation is how long new records use the same lease; records live
	// for savoryclaim.Retention after it at least.
	leaseRotation = time.Hour
	// leaseCheck is the time between two looks at the lease.
	leaseCheck = 500 * time.Millisecond
	// settlePause is the pause before a record of unknown state is looked at.
	settlePause = 2 * time.Second
	// settleTries bounds those looks.
	settleTries = 30
)

// claimRunner runs the actions of savoryclaim.Attempt.
type claimRunner struct {
	store   *savorystore.Store
	writer  *groupWriter
	log     log.Interface
	now     func() time.Time
	metrics *metrics
	pool    *workerPool

	mu       sync.Mutex
	lease    savorystore.Lease
	leasedAt time.Time
	failedAt time.Time
}

var errNoLease = errors.New("no lease for idempotency keys")

// run carries a through until its reply. send sends the request once.
func (c *claimRunner) run(ctx context.Context, key string, a *savoryclaim.Attempt, send func() savoryclaim.SendAnswer) savoryclaim.Action {
	action := a.Start(c.now())
	for action.Kind != savoryclaim.Reply {
		switch action.Kind {
		case savoryclaim.Create:
			action = a.Created(c.create(ctx, key, action.Record), c.now())
		case savoryclaim.Send:
			action = a.Sent(send(), c.now())
		case savoryclaim.Finish:
			action = a.Settled(c.settle(ctx, key, action.Record, action.Old))
		case savoryclaim.Release:
			action = a.Settled(c.settle(ctx, key, nil, action.Old))
		}
	}
	if a.MaybeOwn() {
		nonce := a.Nonce
		c.pool.submit(func() { c.clear(key, nonce) })
	}
	return action
}

// create writes a record if the key is absent.
func (c *claimRunner) create(ctx context.Context, key string, record *savoryclaim.Record) savoryclaim.StoreAnswer {
	lease, err := c.currentLease()
	if err != nil {
		return savoryclaim.StoreAnswer{Failed: true, Untouched: true}
	}
	body, err := record.Encode()
	if err != nil {
		return savoryclaim.StoreAnswer{Failed: true, Untouched: true}
	}
	return c.write(ctx, savorystore.Swap{Key: key, Body: body, Lease: lease})
}

// settle finishes or deletes a record. The request's own context may have
// ended; the record is settled all the same.
func (c *claimRunner) settle(ctx context.Context, key string, record *savoryclaim.Record, old int64) savoryclaim.StoreAnswer {
	ctx = context.WithoutCancel(ctx)
	swap := savorystore.Swap{Key: key, Old: old}
	if record != nil {
		lease, err := c.currentLease()
		if err != nil {
			return savoryclaim.StoreAnswer{Failed: true, Untouched: true}
		}
		body, err := record.Encode()
		if err != nil {
			return savoryclaim.StoreAnswer{Failed: true, Untouched: true}
		}
		swap.Body, swap.Lease = body, lease
	}
	answer := c.write(ctx, swap)
	if answer.Failed {
		c.pool.submit(func() { c.settleLater(swap) })
	}
	return answer
}

// settleLater tries a settlement again. The swap expects the revision of the
// claim, so a settlement that was applied is not applied twice.
func (c *claimRunner) settleLater(swap savorystore.Swap) {
	for range settleTries {
		if answer := c.write(context.Background(), swap); !answer.Failed {
			return
		}
		time.Sleep(settlePause)
	}
	c.log.WithField("key", swap.Key).Warn("claim not settled; it stays until its retention ends")
}

// clear deletes a record that a lost write may have left, if its nonce is that
// of an attempt that sent nothing.
func (c *claimRunner) clear(key, nonce string) {
	ctx := context.Background()
	for range settleTries {
		time.Sleep(settlePause)
		value, err := c.store.Get(ctx, key)
		if err != nil {
			continue
		}
		if !value.Found() {
			return
		}
		record, err := savoryclaim.DecodeRecord(value.Body)
		if err != nil || record.Nonce != nonce {
			return
		}
		if answer := c.write(ctx, savorystore.Swap{Key: key, Old: value.Revision}); !answer.Failed {
			return
		}
	}
}

// write runs one swap through the group writer.
func (c *claimRunner) write(ctx context.Context, swap savorystore.Swap) savoryclaim.StoreAnswer {
	result, err := c.writer.write(ctx, swap)
	if err != nil {
		c.mu.Lock()
		c.failedAt = c.now()
		c.mu.Unlock()
		return savoryclaim.StoreAnswer{Failed: true, Untouched: storeUntouched(err)}
	}
	answer := savoryclaim.StoreAnswer{Won: result.Won, Revision: result.Revision}
	if result.Won || !result.Current.Found() {
		return answer
	}
	record, err := savoryclaim.DecodeRecord(result.Current.Body)
	if err != nil {
		c.log.WithError(err).WithField("key", swap.Key).Error("claim record not readable")
		record = &savoryclaim.Record{State: savoryclaim.Claimed, Nonce: "?"}
	}
	answer.Current, answer.CurrentRevision = record, result.Current.Revision
	return answer
}

// storeUntouched reports whether err says that the store cannot have applied
// the call.
func storeUntouched(err error) bool {
	var failed *savorystore.Error
	return errors.As(err, &failed) && failed.Verdict == savoryverdict.NotRun
}

// currentLease returns the lease for new records. Without one it is an error:
// a record that nothing ever deletes would fill the store.
func (c *claimRunner) currentLease() (int64, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lease.ID == 0 || c.now().Sub(c.leasedAt) > 2*leaseRotation {
		return 0, errNoLease
	}
	return c.lease.ID, nil
}

// leaseLoop grants a new lease in time, and after a failed write, since the
// store may have forgotten the old one.
func (c *claimRunner) leaseLoop(t *tomb.Tomb) error {
	for {
		c.mu.Lock()
		due := c.lease.ID == 0 || c.now().Sub(c.leasedAt) > leaseRotation || c.failedAt.After(c.leasedAt)
		c.mu.Unlock()
		if due {
			c.renewLease(t.Context(context.Background()))
		}
		if !sleep(t, leaseCheck) {
			return nil
		}
	}
}

func (c *claimRunner) renewLease(ctx context.Context) {
	lease, err := c.store.Grant(ctx, savoryclaim.Retention+2*leaseRotation)
	if err != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lease, c.leasedAt = lease, c.now()
}

// groupWriter joins swaps that wait while a store call is in flight into the
// next call, so that the number of calls does not grow with the load.
type groupWriter struct {
	store *savorystore.Store
	queue chan *pendingSwap
}

type pendingSwap struct {
	swap   savorystore.Swap
	result savorystore.SwapResult
	err    error
	done   chan struct{}
}

// groupCalls is the number of calls in flight at a time.
const groupCalls = 2

func newGroupWriter(store *savorystore.Store) *groupWriter {
	return &groupWriter{store: store, queue: make(chan *pendingSwap, poolQueue)}
}

// run starts the writers.
func (g *groupWriter) run(t *tomb.Tomb) {
	for range groupCalls {
		t.Go(func() error {
			for {
				select {
				case first := <-g.queue:
					g.call(g.gather(first))
				case <-t.Dying():
					return nil
				}
			}
		})
	}
}

// write runs one swap as part of a group.
func (g *groupWriter) write(ctx context.Context, swap savorystore.Swap) (savorystore.SwapResult, error) {
	p := &pendingSwap{swap: swap, done: make(chan struct{})}
	select {
	case g.queue <- p:
	case <-ctx.Done():
		return savorystore.SwapResult{}, &savorystore.Error{Op: "txn", Verdict: savoryverdict.NotRun, Err: ctx.Err()}
	}
	select {
	case <-p.done:
		return p.result, p.err
	case <-ctx.Done():
		return savorystore.SwapResult{}, &savorystore.Error{Op: "txn", Verdict: savoryverdict.MayHaveRun, Err: ctx.Err()}
	}
}

// gather takes waiting swaps of other keys into the group of first. A swap of a
// key that the group has already waits for a later group.
func (g *groupWriter) gather(first *pendingSwap) []*pendingSwap {
	group := []*pendingSwap{first}
	keys := map[string]bool{first.swap.Key: true}
	for len(group) < savorystore.MaxGroup {
		select {
		case p := <-g.queue:
			if keys[p.swap.Key] {
				g.call(group)
				return g.gather(p)
			}
			keys[p.swap.Key] = true
			group = append(group, p)
		default:
			return group
		}
	}
	return group
}

// call runs a group and tells each waiter its result.
func (g *groupWriter) call(group []*pendingSwap) {
	swaps := make([]savorystore.Swap, len(group))
	for i, p := range group {
		swaps[i] = p.swap
	}
	results, err := g.store.SwapGroup(context.Background(), swaps)
	for i, p := range group {
		p.err = err
		if err == nil {
			p.result = results[i]
		}
		close(p.done)
	}
}
