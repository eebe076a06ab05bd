package savorynode

// This file defines configKeeper, which holds the configuration in force.

import (
	"fmt"
	"slices"
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
	// onApply is called with each new snapshot, in order of revision.
	onApply func(*savoryconfig.Snapshot)

	current atomic.Pointer[savoryconfig.Snapshot]

	mu      sync.Mutex
	buckets map[savoryconfig.BucketID]savoryconfig.Bucket
	// steps leads to the root in force, oldest first.
	steps []savoryconfig.Step
}

// maxSteps is the number of steps that an entry keeps for peers that are
// behind.
const maxSteps = 8

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
	snapshot, err := savoryconfig.AssembleSnapshot(root, func(id savoryconfig.BucketID) (savoryconfig.Bucket, bool) {
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
	if before := k.snapshot(); before != nil {
		k.appendStep(before.Root, snapshot.Root)
	}
	k.current.Store(snapshot)
	k.onApply(snapshot)
	delay := k.now().Sub(snapshot.Root.AcceptedAt)
	k.metrics.revision.Set(float64(snapshot.Revision()))
	k.metrics.observe(k.metrics.configDelay, delay)
	k.log.WithFields(log.Fields{
		"revision": snapshot.Revision(), "before": old, "source": source, "delay": delay,
	}).Info("configuration in force")
	return true
}

// collect fills root and returns all of its buckets.
func (k *configKeeper) collect(root *savoryconfig.Root, given []savoryconfig.Bucket, fetch bucketFetcher) (map[savoryconfig.BucketID]savoryconfig.Bucket, error) {
	found := make(map[savoryconfig.BucketID]savoryconfig.Bucket)
	for _, b := range given {
		found[b.ID] = b
	}
	if err := k.addMissing(found, root.Manifests(), fetch); err != nil {
		return nil, fmt.Errorf("revision %d: %w", root.Revision, err)
	}
	err := root.LoadManifests(func(id savoryconfig.BucketID) (savoryconfig.Bucket, bool) {
		b, ok := found[id]
		return b, ok
	})
	if err != nil {
		return nil, err
	}
	if err := k.addMissing(found, root.BucketIDs(), fetch); err != nil {
		return nil, fmt.Errorf("revision %d: %w", root.Revision, err)
	}
	return found, parseNew(found, root)
}

// parseNew reads the records of the buckets that are not held yet. What is held
// was read before, so a change costs the entry only what it brings.
func parseNew(found map[savoryconfig.BucketID]savoryconfig.Bucket, root *savoryconfig.Root) error {
	for _, ref := range root.Sections {
		for _, id := range ref.Buckets {
			b, ok := found[id]
			if !ok {
				continue
			}
			if err := b.Parse(); err != nil {
				return fmt.Errorf("revision %d: %w", root.Revision, err)
			}
			found[id] = b
		}
	}
	return nil
}

// addMissing adds the buckets of ids to found, from those held here or fetched.
func (k *configKeeper) addMissing(found map[savoryconfig.BucketID]savoryconfig.Bucket, ids []savoryconfig.BucketID, fetch bucketFetcher) error {
	var missing []savoryconfig.BucketID
	k.mu.Lock()
	for _, id := range ids {
		if _, ok := found[id]; ok {
			continue
		}
		if b, held := k.buckets[id]; held {
			found[id] = b
			continue
		}
		missing = append(missing, id)
	}
	k.mu.Unlock()
	if len(missing) == 0 {
		return nil
	}
	fetched, err := fetch(missing)
	if err != nil {
		return fmt.Errorf("fetch %d buckets: %w", len(missing), err)
	}
	for _, b := range fetched {
		if err := b.Check(); err != nil {
			return err
		}
		found[b.ID] = b
	}
	return nil
}

// stepsSince returns the steps from a revision to the one in force, or false if
// they are not all kept.
func (k *configKeeper) stepsSince(revision uint64) ([]savoryconfig.Step, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for i, step := range k.steps {
		if step.Delta.Base == revision {
			return slices.Clone(k.steps[i:]), true
		}
	}
	return nil, false
}

// appendStep keeps the step from old to next; the lock is held.
func (k *configKeeper) appendStep(old, next *savoryconfig.Root) {
	delta, ok := savoryconfig.DeltaBetween(old, next)
	if !ok {
		k.steps = nil
		return
	}
	step := savoryconfig.Step{Delta: *delta}
	for _, part := range delta.Sections {
		for _, c := range part.Changed {
			step.Buckets = append(step.Buckets, k.buckets[c.ID])
		}
	}
	k.steps = append(k.steps, step)
	if len(k.steps) > maxSteps {
		k.steps = k.steps[1:]
	}
}

// heldBuckets returns those of the buckets that the entry holds.
func (k *configKeeper) heldBuckets(ids []savoryconfig.BucketID) []savoryconfig.Bucket {
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
