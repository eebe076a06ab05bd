package savorynode

// This file defines configKeeper, which holds the configuration in force.

import (
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"savorycart.example/savorycore/savoryconfig"
	"savorycart.example/savorycore/savorypeer"
	"savorycart.example/savorycore/savorystore"
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
	// received holds fetched buckets that are not in force yet, so that a
	// transfer that was interrupted goes on where it ended.
	received      map[savoryconfig.BucketID]savoryconfig.Bucket
	receivedBytes int
	// fetching holds the buckets that are being fetched. fetched is closed and
	// replaced after each fetch.
	fetching map[savoryconfig.BucketID]bool
	fetched  chan struct{}
	// steps holds the last steps up to the root in force, oldest first.
	steps []savoryconfig.Step
}

// maxSteps bounds the steps that an entry keeps for peers with an older
// revision.
const maxSteps = 8

const (
	// maxFetchBuckets bounds the buckets of one fetch.
	maxFetchBuckets = min(savorypeer.MaxBuckets, savorystore.MaxTxnOps)
	// maxReceivedBytes bounds the buckets that are kept for interrupted
	// transfers.
	maxReceivedBytes = 16 << 20
)

// bucketFetcher returns up to maxFetchBuckets buckets by ID. The result may
// lack some of them.
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
	k.received, k.receivedBytes = nil, 0
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

// addMissing adds the buckets of ids that found lacks, from the held and the
// received buckets or by fetch. A bucket that another call fetches is not
// fetched again unless that call fails.
func (k *configKeeper) addMissing(found map[savoryconfig.BucketID]savoryconfig.Bucket, ids []savoryconfig.BucketID, fetch bucketFetcher) error {
	lacking := make(map[savoryconfig.BucketID]bool)
	for {
		missing, elsewhere := k.takeMissing(found, ids, lacking)
		if len(missing) == 0 && elsewhere == nil {
			return nil
		}
		if len(missing) == 0 {
			<-elsewhere
			continue
		}
		fetched, err := fetch(missing)
		got, checked := k.receive(missing, fetched)
		if err = errors.Join(err, checked); err != nil {
			return fmt.Errorf("fetch %d buckets: %w", len(missing), err)
		}
		if got == 0 {
			// A response may leave out buckets because of its size, but not all.
			for _, id := range missing {
				lacking[id] = true
			}
		}
	}
}

// takeMissing adds to found the buckets of ids that are present here. It
// returns some of the others to fetch, for which a call of receive must
// follow. If all others are being fetched elsewhere, it returns a channel that
// is closed after the next fetch.
func (k *configKeeper) takeMissing(found map[savoryconfig.BucketID]savoryconfig.Bucket, ids []savoryconfig.BucketID, lacking map[savoryconfig.BucketID]bool) (missing []savoryconfig.BucketID, elsewhere <-chan struct{}) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.fetched == nil {
		k.fetching = make(map[savoryconfig.BucketID]bool)
		k.fetched = make(chan struct{})
	}
	for _, id := range ids {
		if _, ok := found[id]; ok || lacking[id] {
			continue
		}
		if b, ok := k.heldOrReceived(id); ok {
			found[id] = b
			continue
		}
		if k.fetching[id] {
			elsewhere = k.fetched
			continue
		}
		if len(missing) < maxFetchBuckets {
			k.fetching[id] = true
			missing = append(missing, id)
		}
	}
	return missing, elsewhere
}

// heldOrReceived returns a bucket that is in force or was received. The caller
// holds the lock.
func (k *configKeeper) heldOrReceived(id savoryconfig.BucketID) (savoryconfig.Bucket, bool) {
	if b, ok := k.buckets[id]; ok {
		return b, true
	}
	b, ok := k.received[id]
	return b, ok
}

// receive keeps the buckets of a fetch of ids and returns their number, and
// the error of the first invalid one.
func (k *configKeeper) receive(ids []savoryconfig.BucketID, fetched []savoryconfig.Bucket) (got int, invalid error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.received == nil || k.receivedBytes > maxReceivedBytes {
		k.received, k.receivedBytes = make(map[savoryconfig.BucketID]savoryconfig.Bucket), 0
	}
	for _, b := range fetched {
		if err := b.Check(); err != nil {
			invalid = err
			continue
		}
		if slices.Contains(ids, b.ID) {
			k.received[b.ID] = b
			k.receivedBytes += len(b.Body)
			got++
		}
	}
	for _, id := range ids {
		delete(k.fetching, id)
	}
	close(k.fetched)
	k.fetched = make(chan struct{})
	return got, invalid
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
