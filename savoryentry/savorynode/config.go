package savorynode

// This file defines configKeeper, which holds the configuration in force.

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"savorycart.example/savorycore/savoryconfig"
)

// configKeeper holds the snapshot in force. Revisions only grow: a root that is
// not newer than the one in force changes nothing, wherever it came from.
type configKeeper struct {
	log     log.Interface
	now     func() time.Time
	metrics *metrics
	// inForce is called with each new snapshot, in order of revision.
	inForce func(*savoryconfig.Snapshot)

	current atomic.Pointer[savoryconfig.Snapshot]

	mu      sync.Mutex
	buckets map[savoryconfig.BucketID]savoryconfig.Bucket
}

// bucketFetcher returns buckets by ID; it may leave some out.
type bucketFetcher func([]savoryconfig.BucketID) ([]savoryconfig.Bucket, error)

// snapshot returns the snapshot in force, or nil before the first.
func (k *configKeeper) snapshot() *savoryconfig.Snapshot { return k.current.Load() }

// revision returns the revision in force, or 0 before the first.
func (k *configKeeper) revision() uint64 {
	if s := k.snapshot(); s != nil {
		return s.Revision()
	}
	return 0
}

// apply puts root in force if it is newer than what is in force, and reports
// whether it did. Buckets that are neither held nor among given are fetched.
// On an error nothing changes.
func (k *configKeeper) apply(root *savoryconfig.Root, given []savoryconfig.Bucket, fetch bucketFetcher, source string) (bool, error) {
	if root.Revision <= k.revision() {
		return false, nil
	}
	buckets, err := k.collect(root, given, fetch)
	if err != nil {
		return false, err
	}
	snapshot, err := savoryconfig.Assemble(root, func(id savoryconfig.BucketID) (savoryconfig.Bucket, bool) {
		b, ok := buckets[id]
		return b, ok
	})
	if err != nil {
		return false, err
	}
	return k.replace(snapshot, buckets, source), nil
}

// replace makes snapshot the one in force unless a newer one came meanwhile.
func (k *configKeeper) replace(snapshot *savoryconfig.Snapshot, buckets map[savoryconfig.BucketID]savoryconfig.Bucket, source string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if snapshot.Revision() <= k.revision() {
		return false
	}
	old := k.revision()
	k.buckets = buckets
	k.current.Store(snapshot)
	k.inForce(snapshot)
	delay := k.now().Sub(snapshot.Root.AcceptedAt)
	k.metrics.revision.Set(float64(snapshot.Revision()))
	k.metrics.observe(k.metrics.changeDelay, delay)
	k.log.WithFields(log.Fields{
		"revision": snapshot.Revision(), "before": old, "source": source, "delay": delay,
	}).Info("configuration in force")
	return true
}

// collect returns all buckets of root.
func (k *configKeeper) collect(root *savoryconfig.Root, given []savoryconfig.Bucket, fetch bucketFetcher) (map[savoryconfig.BucketID]savoryconfig.Bucket, error) {
	found := make(map[savoryconfig.BucketID]savoryconfig.Bucket)
	for _, b := range given {
		found[b.ID] = b
	}
	var missing []savoryconfig.BucketID
	k.mu.Lock()
	for _, id := range root.BucketIDs() {
		if b, held := k.buckets[id]; held {
			found[id] = b
		} else if _, ok := found[id]; !ok {
			missing = append(missing, id)
		}
	}
	k.mu.Unlock()
	if len(missing) == 0 {
		return found, nil
	}
	fetched, err := fetch(missing)
	if err != nil {
		return nil, fmt.Errorf("revision %d: fetch %d buckets: %w", root.Revision, len(missing), err)
	}
	for _, b := range fetched {
		if err := b.Check(); err != nil {
			return nil, fmt.Errorf("revision %d: %w", root.Revision, err)
		}
		found[b.ID] = b
	}
	return found, nil
}

// fresh returns the buckets in force that before did not name, or none if they
// are too many to be handed on.
func (k *configKeeper) fresh(before *savoryconfig.Snapshot) []savoryconfig.Bucket {
	now := k.snapshot()
	if before == nil || now == nil {
		return nil
	}
	known := make(map[savoryconfig.BucketID]bool)
	for _, id := range before.Root.BucketIDs() {
		known[id] = true
	}
	var ids []savoryconfig.BucketID
	for _, id := range now.Root.BucketIDs() {
		if !known[id] {
			ids = append(ids, id)
		}
	}
	return k.held(ids)
}

// held returns those of the buckets that the entry holds.
func (k *configKeeper) held(ids []savoryconfig.BucketID) []savoryconfig.Bucket {
	k.mu.Lock()
	defer k.mu.Unlock()
	var held []savoryconfig.Bucket
	for _, id := range ids {
		if b, ok := k.buckets[id]; ok {
			held = append(held, b)
		}
	}
	return held
}
