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

// configKeeper holds the snapshot in force. Revisions only increase: a root
// that is not newer than the root in force is ignored, whatever its source.
type configKeeper struct {
	log     log.Interface
	now     func() time.Time
	metrics *metrics
	// onApply is called with each new snapshot, in the order of revisions.
	onApply func(*savoryconfig.Snapshot)

	current atomic.Pointer[savoryconfig.Snapshot]

	mu      sync.Mutex
	buckets map[savoryconfig.BucketID]savoryconfig.Bucket
	// steps holds the last steps up to the root in force, oldest first.
	steps []savoryconfig.Step
}

// maxSteps bounds the steps that an entry keeps for peers with an older
// revision.
const maxSteps = 8

// bucketFetcher returns buckets by ID. The result may lack some of them.
type bucketFetcher func([]savoryconfig.BucketID) ([]savoryconfig.Bucket, error)

// snapshot returns the snapshot in force, or nil if there is none yet.
func (k *configKeeper) snapshot() *savoryconfig.Snapshot { return k.current.Load() }

// revision returns the revision in force, or 0 if there is none yet.
func (k *configKeeper) revision() uint64 {
	if s := k.snapshot(); s != nil {
		return s.Revision()
	}
	return 0
}

// apply puts root in force if it is newer than the root in force, and reports
// whether it did. Buckets that are neither held nor in given are fetched. An
// error leaves the configuration unchanged.
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

// replace puts snapshot in force unless a newer one has been put in force in
// the meantime.
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

// collect loads the manifests of root and returns its buckets by ID.
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

// parseNew parses the records of all buckets of root. Buckets that were held
// are already parsed, so the cost of a change depends only on its new
// buckets.
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

// addMissing adds the buckets of ids that found lacks, from the held buckets
// or by fetch.
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

// stepsSince returns the steps from the given revision to the one in force,
// or false if they are no longer kept.
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

// appendStep keeps the step from old to next. The caller holds the lock.
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

// heldBuckets returns the buckets of ids that the entry holds.
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
