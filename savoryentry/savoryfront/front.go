// Package savoryfront bounds what an entry holds for its callers and at its other listeners:
// connections, heads and bodies. The decisions are made by savoryintake; a Front does the I/O.
package savoryfront

import (
	"sync"
	"sync/atomic"
	"time"

	"savorycart.example/savorycore/savoryintake"
)

// Cause names why a caller was refused or its connection closed.
type Cause string

// The causes of refusals.
const (
	// BodyTooLarge, BodyTooSlow and BodyIncomplete are faults of the caller.
	BodyTooLarge   Cause = "BodyTooLarge"
	BodyTooSlow    Cause = "BodyTooSlow"
	BodyIncomplete Cause = "BodyIncomplete"
	HeadTooLarge   Cause = "HeadTooLarge"
	// BudgetUsedUp refuses a body or head, GaveWay one that has begun.
	BudgetUsedUp Cause = "BudgetUsedUp"
	GaveWay      Cause = "GaveWay"
	// Requests refuses a request because too many are in flight.
	Requests Cause = "Requests"
	// Connections closes a new connection, QuietConnection one that gave way to a new one.
	Connections     Cause = "Connections"
	QuietConnection Cause = "QuietConnection"
)

// Causes returns all causes.
func Causes() []Cause {
	return []Cause{BodyTooLarge, BodyTooSlow, BodyIncomplete, HeadTooLarge, BudgetUsedUp, GaveWay, Requests, Connections, QuietConnection}
}

// Front holds the bounds of an entry. Its exported fields are set before Configure, and Configure
// is called before its first use; it may be called again.
type Front struct {
	// OnRefuse, if set, is called for each refusal.
	OnRefuse func(Cause)
	// MaxHeaderBytes, if set, returns the limit on the header of a request, and HeaderTimeout
	// the time to receive it; 0 for none.
	MaxHeaderBytes func() int
	HeaderTimeout  func() time.Duration

	bounds   atomic.Pointer[savoryintake.Bounds]
	nextID   atomic.Uint64
	requests atomic.Int64

	mu     sync.Mutex
	budget savoryintake.Budget
	// evict ends the reading of a holder that gives way.
	evict map[uint64]func()

	countMu sync.Mutex
	counts  map[Cause]int
}

// Configure sets the bounds.
func (f *Front) Configure(b savoryintake.Bounds) {
	f.bounds.Store(&b)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.budget.Limit = b.BudgetBytes
}

// Bounds returns the bounds in force.
func (f *Front) Bounds() savoryintake.Bounds { return *f.bounds.Load() }

// Used returns the bytes of heads and bodies in progress, without the first block of each.
func (f *Front) Used() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.budget.Used()
}

// Refused counts a refusal.
func (f *Front) Refused(c Cause) {
	if f.OnRefuse != nil {
		f.OnRefuse(c)
	}
	f.countMu.Lock()
	defer f.countMu.Unlock()
	if f.counts == nil {
		f.counts = make(map[Cause]int)
	}
	f.counts[c]++
}

// TakeCounts returns the refusals since its last call; nil if there were none.
func (f *Front) TakeCounts() map[Cause]int {
	f.countMu.Lock()
	defer f.countMu.Unlock()
	counts := f.counts
	f.counts = nil
	return counts
}

// Begin counts a request in flight. If it returns false, the request must be refused. A
// connection may carry many requests at once (HTTP/2), so they have a bound of their own.
func (f *Front) Begin() bool {
	if f.requests.Add(1) > int64(savoryintake.OpenConnections(f.Bounds().Connections)) {
		f.requests.Add(-1)
		f.Refused(Requests)
		return false
	}
	return true
}

// End ends a request for which Begin returned true.
func (f *Front) End() { f.requests.Add(-1) }

// reserve reserves bytes for a holder, whose evict function is called if it gives way.
func (f *Front) reserve(id uint64, n int64, evict func()) bool {
	f.mu.Lock()
	granted, evicted := f.budget.Reserve(id, n, time.Now())
	if granted {
		if f.evict == nil {
			f.evict = make(map[uint64]func())
		}
		f.evict[id] = evict
	}
	var functions []func()
	for _, other := range evicted {
		functions = append(functions, f.evict[other])
		delete(f.evict, other)
	}
	f.mu.Unlock()
	for _, evict := range functions {
		evict()
	}
	return granted
}

func (f *Front) complete(id uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.budget.Complete(id)
}

func (f *Front) release(id uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.budget.Release(id)
	delete(f.evict, id)
}
