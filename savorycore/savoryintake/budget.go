package savoryintake

// This file defines Budget, the bytes in progress of all callers.

import "time"

const (
	// stallTime is how long a holder may be without progress before it gives way to others:
	// a caller that sends 64 KB a second makes progress in it.
	stallTime = time.Second
	// largeFactor is the factor by which a holder that makes progress must be larger than the
	// one that needs bytes to give way.
	largeFactor = 2
)

// Budget divides a number of bytes among holders, each of which is a body or head in progress.
// It is not safe for concurrent use.
type Budget struct {
	// Limit is the number of bytes of all holders.
	Limit int64

	used    int64
	holders map[uint64]*holder
}

type holder struct {
	bytes      int64
	progressAt time.Time
	// complete is set once the request is served; it does not give way any more.
	complete bool
}

// Used returns the bytes that are held.
func (b *Budget) Used() int64 { return b.used }

// Reserve adds n bytes to a holder, which is progress. If the budget is used up, other holders
// give way: those without progress, the longest first, then the largest one if it is much
// larger than this one. Their bytes are released; they are in evicted, and their memory must be
// dropped. If that does not suffice, nothing is added and the result is false.
func (b *Budget) Reserve(id uint64, n int64, now time.Time) (granted bool, evicted []uint64) {
	own := b.holders[id]
	wanted := n
	if own != nil {
		wanted += own.bytes
	}
	for b.used+n > b.Limit {
		victim, ok := b.victim(id, wanted, now)
		if !ok {
			return false, evicted
		}
		b.Release(victim)
		evicted = append(evicted, victim)
	}
	if own == nil {
		if b.holders == nil {
			b.holders = make(map[uint64]*holder)
		}
		own = new(holder)
		b.holders[id] = own
	}
	own.bytes, own.progressAt = wanted, now
	b.used += n
	return true, evicted
}

// victim returns the holder that gives way to one that wants a number of bytes in all.
func (b *Budget) victim(id uint64, wanted int64, now time.Time) (uint64, bool) {
	var stalled, largest uint64
	var stalledHolder, largestHolder *holder
	for other, h := range b.holders {
		if other == id || h.complete {
			continue
		}
		if now.Sub(h.progressAt) >= stallTime && (stalledHolder == nil || h.progressAt.Before(stalledHolder.progressAt)) {
			stalled, stalledHolder = other, h
		}
		if h.bytes > largeFactor*wanted && (largestHolder == nil || h.bytes > largestHolder.bytes) {
			largest, largestHolder = other, h
		}
	}
	if stalledHolder != nil {
		return stalled, true
	}
	return largest, largestHolder != nil
}

// Complete keeps the bytes of a holder until Release.
func (b *Budget) Complete(id uint64) {
	if h := b.holders[id]; h != nil {
		h.complete = true
	}
}

// Release returns the bytes of a holder. It has no effect on one that gave way.
func (b *Budget) Release(id uint64) {
	if h := b.holders[id]; h != nil {
		b.used -= h.bytes
		delete(b.holders, id)
	}
}
