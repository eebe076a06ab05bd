package savorynode

// This file defines settler, which retries the settlement of claims after a
// failed write to the store.

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"
	"gopkg.in/tomb.v2"

	"savorycart.example/savorycore/savoryclaim"
	"savorycart.example/savorycore/savorystore"
)

const (
	// settleInterval is the time between two rounds of settlements.
	settleInterval = time.Second
	// settleTimeout is how long a settlement is retried.
	settleTimeout = 10 * time.Minute
	// maxSettlements bounds the pending settlements. Without a settlement,
	// the key stays MayHaveRun until the retention of its record ends.
	maxSettlements = 4096
)

// settlement is a pending write that ends a claim.
type settlement struct {
	// swap expects the revision of the claim, so that a settlement that has been
	// applied is not applied again.
	swap savorystore.Swap
	// nonce, if set, means that the revision is unknown. The record is deleted
	// if it has this nonce, which belongs to an attempt that sent nothing.
	nonce string
	since time.Time
}

// settler retries settlements in rounds. It does not use the worker pool,
// because an outage of the store must not block the calls between entries.
type settler struct {
	store  *savorystore.Store
	writer *groupWriter
	log    log.Interface
	now    func() time.Time

	mu      sync.Mutex
	waiting []settlement
}

// add queues a settlement for the next round.
func (s *settler) add(item settlement) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.waiting) >= maxSettlements {
		s.log.WithField("key", item.swap.Key).Warn("claim not settled: too many settlements are pending")
		return
	}
	item.since = s.now()
	s.waiting = append(s.waiting, item)
}

// pending returns the number of queued settlements.
func (s *settler) pending() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.waiting)
}

// run runs rounds until t dies.
func (s *settler) run(t *tomb.Tomb) error {
	for {
		s.round(t.Context(context.Background()))
		if !sleepTomb(t, settleInterval) {
			return nil
		}
	}
}

// round tries the queued settlements. After the first failure the rest is
// left to the next round, because the store is unavailable.
func (s *settler) round(ctx context.Context) {
	s.mu.Lock()
	batch := s.waiting
	s.waiting = nil
	s.mu.Unlock()
	for i, item := range batch {
		err := s.settle(ctx, item)
		if err == nil {
			continue
		}
		s.requeue(batch[i:])
		return
	}
}

// requeue queues settlements again, except those older than settleTimeout.
func (s *settler) requeue(batch []settlement) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, item := range batch {
		if s.now().Sub(item.since) > settleTimeout {
			s.log.WithField("key", item.swap.Key).Warn("claim not settled in time: the record stays until its retention ends")
			continue
		}
		s.waiting = append(s.waiting, item)
	}
}

// settle writes one settlement.
func (s *settler) settle(ctx context.Context, item settlement) error {
	if item.nonce != "" {
		value, err := s.store.Get(ctx, item.swap.Key)
		if err != nil {
			return err
		}
		if !value.Exists() {
			return nil
		}
		record, err := savoryclaim.DecodeRecord(value.Body)
		if err != nil || record.Nonce != item.nonce {
			return nil
		}
		item.swap.ExpectedRevision = value.Revision
	}
	_, err := s.writer.write(ctx, item.swap)
	return err
}
