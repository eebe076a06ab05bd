package savorynode

// This file defines settler, which settles claims later that the store did not
// answer for.

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
	// settleTimeout is how long a settlement is tried.
	settleTimeout = 10 * time.Minute
	// maxSettlements bounds those that wait. One that finds no room leaves its
	// key MayHaveRun until the record's retention ends.
	maxSettlements = 4096
)

// settlement is a write that a request left to be made.
type settlement struct {
	// swap expects the revision of the claim, so that a settlement which was
	// applied is not applied twice.
	swap savorystore.Swap
	// nonce, if set, says that the revision is not known: the record is deleted
	// if it has this nonce, which is that of an attempt that sent nothing.
	nonce string
	since time.Time
}

// settler keeps settlements apart from the pool's jobs: an outage of the store
// must not keep entries from talking to one another.
type settler struct {
	store  *savorystore.Store
	writer *groupWriter
	log    log.Interface
	now    func() time.Time

	mu      sync.Mutex
	waiting []settlement
}

// add leaves a settlement to later rounds.
func (s *settler) add(one settlement) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.waiting) >= maxSettlements {
		s.log.WithField("key", one.swap.Key).Warn("claim not settled; too many wait")
		return
	}
	one.since = s.now()
	s.waiting = append(s.waiting, one)
}

// pending returns the number of settlements that wait.
func (s *settler) pending() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.waiting)
}

// run settles in rounds until t dies.
func (s *settler) run(t *tomb.Tomb) error {
	for {
		s.round(t.Context(context.Background()))
		if !sleepTomb(t, settleInterval) {
			return nil
		}
	}
}

// round tries the settlements that wait, and keeps those that fail. After the
// first failure the others are left to the next round: the store is out.
func (s *settler) round(ctx context.Context) {
	s.mu.Lock()
	batch := s.waiting
	s.waiting = nil
	s.mu.Unlock()
	for i, one := range batch {
		err := s.settle(ctx, one)
		if err == nil {
			continue
		}
		s.requeue(batch[i:])
		return
	}
}

// requeue puts settlements back, but for those that were tried for too long.
func (s *settler) requeue(batch []settlement) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, one := range batch {
		if s.now().Sub(one.since) > settleTimeout {
			s.log.WithField("key", one.swap.Key).Warn("claim not settled; it stays until its retention ends")
			continue
		}
		s.waiting = append(s.waiting, one)
	}
}

// settle makes one settlement.
func (s *settler) settle(ctx context.Context, one settlement) error {
	if one.nonce != "" {
		value, err := s.store.Get(ctx, one.swap.Key)
		if err != nil {
			return err
		}
		if !value.Exists() {
			return nil
		}
		record, err := savoryclaim.DecodeRecord(value.Body)
		if err != nil || record.Nonce != one.nonce {
			return nil
		}
		one.swap.ExpectedRevision = value.Revision
	}
	_, err := s.writer.write(ctx, one.swap)
	return err
}
