package savorynode

// This file defines configStore, which reads and changes the configuration in
// the platform's store.

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"savorycart.example/savorycore/savoryconfig"
	"savorycart.example/savorycore/savorystore"
	"savorycart.example/savorycore/savoryverdict"
)

const (
	// watchedPrefix is the prefix of the keys that watchers follow.
	watchedPrefix = "savorycart/watched/"
	rootKey       = watchedPrefix + "root"
	bucketPrefix  = "savorycart/bucket/"
	// maxSubmitTries bounds the attempts of one submission.
	maxSubmitTries = 8
	// minSubmitDelay is the delay before the second attempt. It doubles with
	// each attempt, up to maxSubmitDelay.
	minSubmitDelay = 50 * time.Millisecond
	maxSubmitDelay = time.Second
	// submitRetryAfter is the Retry-After time for operators if the store is
	// unavailable.
	submitRetryAfter = 5 * time.Second
)

// configStore reads and writes the configuration in the store.
type configStore struct {
	store *savorystore.Store
	now   func() time.Time
}

// storedRoot is a root with the revision of its key in the store.
type storedRoot struct {
	root     *savoryconfig.Root
	revision int64
}

// readRoot returns the stored root. Before the first document the root is
// empty and the revision is 0.
func (c *configStore) readRoot(ctx context.Context) (storedRoot, error) {
	value, err := c.store.Get(ctx, rootKey)
	if err != nil {
		return storedRoot{}, err
	}
	if !value.Exists() {
		return storedRoot{root: &savoryconfig.Root{}}, nil
	}
	root, err := savoryconfig.DecodeRoot(value.Body)
	if err != nil {
		return storedRoot{}, err
	}
	return storedRoot{root: root, revision: value.Revision}, nil
}

// fetch returns a fetcher that reads buckets from the store.
func (c *configStore) fetch(ctx context.Context) bucketFetcher {
	return func(ids []savoryconfig.BucketID) ([]savoryconfig.Bucket, error) {
		byKey := make(map[string]savoryconfig.BucketID, len(ids))
		keys := make([]string, len(ids))
		for i, id := range ids {
			keys[i] = bucketKey(id)
			byKey[keys[i]] = id
		}
		values, err := c.store.GetMany(ctx, keys)
		if err != nil {
			return nil, err
		}
		buckets := make([]savoryconfig.Bucket, len(values))
		for i, v := range values {
			buckets[i] = savoryconfig.Bucket{ID: byKey[v.Key], Body: v.Body}
		}
		return buckets, nil
	}
}

func bucketKey(id savoryconfig.BucketID) string { return bucketPrefix + id.String() }

// submission is a change submitted by an operator.
type submission struct {
	id string
	// sections holds the changed sections, each with the revision at which the
	// operator read it.
	sections map[savoryconfig.Section]uint64
	// document holds the new content of the sections.
	document *savoryconfig.Document
	// authorize returns an error if the change to the current document is not
	// allowed.
	authorize func(current *savoryconfig.Document) error
}

// accepted is the result of an accepted submission.
type accepted struct {
	// revision is the revision that the submission created.
	revision uint64
	// root is the root of that revision or of a later one.
	root *savoryconfig.Root
	// buckets holds the new buckets of the submission. It is empty if the
	// submission had been applied in an earlier attempt.
	buckets []savoryconfig.Bucket
}

// submit applies a change by a compare-and-swap of the root. After a conflict
// with a change to another section it tries again on the new root. A conflict
// with a change to the same section is an error. If the outcome of a write is
// unknown, the next attempt finds it by the submission ID in the root.
// inForce is the snapshot in force here, or nil.
func (c *configStore) submit(ctx context.Context, s submission, inForce *savoryconfig.Snapshot, keeper *configKeeper) (accepted, error) {
	outcomeUnknown := false
	for try := range maxSubmitTries {
		done, err := c.trySubmit(ctx, s, inForce, keeper, &outcomeUnknown)
		var failed *savorystore.Error
		switch {
		case err == nil && done != nil:
			return *done, nil
		case err == nil:
			// Another change was applied first. The next attempt uses its root.
		case errors.As(err, &failed):
			outcomeUnknown = outcomeUnknown || (failed.Op == "txn" && failed.Verdict != savoryverdict.NotRun)
		default:
			return accepted{}, err
		}
		select {
		case <-ctx.Done():
			return accepted{}, submitError(outcomeUnknown, ctx.Err())
		case <-time.After(min(minSubmitDelay<<try, maxSubmitDelay)):
		}
	}
	return accepted{}, submitError(outcomeUnknown, nil)
}

// trySubmit makes one attempt. It returns nil and no error if another change
// was applied first.
func (c *configStore) trySubmit(ctx context.Context, s submission, inForce *savoryconfig.Snapshot, keeper *configKeeper, unknown *bool) (*accepted, error) {
	stored, err := c.readRoot(ctx)
	if err != nil {
		return nil, err
	}
	if revision, ok := stored.root.AcceptedRevision(s.id); ok {
		// An earlier attempt was applied but its response was lost.
		return &accepted{revision: revision, root: stored.root}, nil
	}
	if inForce != nil && stored.root.Revision < inForce.Revision() {
		return nil, savoryverdict.Unavailable("StoreBehind", submitRetryAfter,
			"the store holds revision %d, but revision %d is in force", stored.root.Revision, inForce.Revision())
	}
	current, err := c.currentDocument(ctx, stored, keeper)
	if err != nil {
		return nil, err
	}
	if err := s.authorize(current); err != nil {
		return nil, err
	}
	change, err := s.change(stored.root, current)
	if err != nil {
		return nil, err
	}
	next, err := stored.root.Apply(change, c.now())
	if err != nil {
		return nil, conflictError(err, *unknown)
	}
	if err := c.checkAssembly(ctx, next, change, keeper); err != nil {
		return nil, err
	}
	buckets, err := c.writeBuckets(ctx, stored.root, change)
	if err != nil {
		return nil, err
	}
	body, err := savoryconfig.EncodeRoot(next)
	if err != nil {
		return nil, err
	}
	result, err := c.store.Swap(ctx, savorystore.Swap{Key: rootKey, ExpectedRevision: stored.revision, Body: body})
	if err != nil || !result.Applied {
		return nil, err
	}
	c.deleteRetired(ctx, stored.root)
	return &accepted{revision: next.Revision, root: next, buckets: buckets}, nil
}

// checkAssembly assembles the next revision in the same way as every entry,
// so that a revision that cannot be put in force is not accepted.
func (c *configStore) checkAssembly(ctx context.Context, next *savoryconfig.Root, change savoryconfig.Change, keeper *configKeeper) error {
	var changed []savoryconfig.Bucket
	for _, part := range change.SectionChanges {
		changed = append(changed, part.AllBuckets()...)
	}
	_, err := c.assemble(ctx, next, changed, keeper)
	return err
}

// assemble builds the snapshot of root from the given buckets, the held ones
// and those of the store.
func (c *configStore) assemble(ctx context.Context, root *savoryconfig.Root, given []savoryconfig.Bucket, keeper *configKeeper) (*savoryconfig.Snapshot, error) {
	buckets, err := keeper.collect(root, given, c.fetch(ctx))
	if err != nil {
		return nil, err
	}
	return savoryconfig.AssembleSnapshot(root, func(id savoryconfig.BucketID) (savoryconfig.Bucket, bool) {
		b, ok := buckets[id]
		return b, ok
	})
}

// currentDocument returns the document of the stored root. It uses the
// snapshot in force if the revisions are equal.
func (c *configStore) currentDocument(ctx context.Context, stored storedRoot, keeper *configKeeper) (*savoryconfig.Document, error) {
	if stored.root.Revision == 0 {
		return new(savoryconfig.Document), nil
	}
	if s := keeper.snapshot(); s != nil && s.Revision() == stored.root.Revision {
		stored.root.Sections = s.Root.Sections
		return s.Document, nil
	}
	snapshot, err := c.assemble(ctx, stored.root, nil, keeper)
	if err != nil {
		return nil, err
	}
	return snapshot.Document, nil
}

// change returns the change of the submission, after a check of the complete
// new document.
func (s *submission) change(root *savoryconfig.Root, current *savoryconfig.Document) (savoryconfig.Change, error) {
	whole := *current
	change := savoryconfig.Change{SubmissionID: s.id}
	for _, section := range savoryconfig.Sections() {
		read, changed := s.sections[section]
		if !changed {
			continue
		}
		whole.SetSection(section, s.document)
		part, err := savoryconfig.NewSectionChange(root, s.document, section, read, s.id)
		if err != nil {
			return change, savoryverdict.Invalid(string(section), "%v", err)
		}
		change.SectionChanges = append(change.SectionChanges, part)
	}
	if err := whole.Check(); err != nil {
		return change, invalidDocument(err)
	}
	return change, nil
}

// writeBuckets writes and returns the buckets of a change that root does not
// contain.
func (c *configStore) writeBuckets(ctx context.Context, root *savoryconfig.Root, change savoryconfig.Change) ([]savoryconfig.Bucket, error) {
	known := make(map[savoryconfig.BucketID]bool)
	for _, id := range root.BucketIDs() {
		known[id] = true
	}
	var fresh []savoryconfig.Bucket
	var values []savorystore.Value
	for _, part := range change.SectionChanges {
		for _, b := range part.AllBuckets() {
			if !known[b.ID] {
				known[b.ID] = true
				fresh = append(fresh, b)
				values = append(values, savorystore.Value{Key: bucketKey(b.ID), Body: b.Body})
			}
		}
	}
	return fresh, c.store.PutMany(ctx, values)
}

// restoreRoot writes the root in force and its buckets over an older root in
// the store, and reports whether it did. A store with an older root than the
// one in force was set back. Entries that start from it would put the old
// root in force.
//
// Watches report roots with a delay, so restoreRoot reads the stored root
// first.
func (c *configStore) restoreRoot(ctx context.Context, keeper *configKeeper) (bool, error) {
	stored, err := c.readRoot(ctx)
	if err != nil {
		return false, err
	}
	snapshot := keeper.snapshot()
	if stored.root.Revision >= snapshot.Revision() {
		return false, nil
	}
	var values []savorystore.Value
	for _, b := range keeper.heldBuckets(snapshot.Root.BucketIDs()) {
		values = append(values, savorystore.Value{Key: bucketKey(b.ID), Body: b.Body})
	}
	if err := c.store.PutMany(ctx, values); err != nil {
		return false, err
	}
	body, err := savoryconfig.EncodeRoot(snapshot.Root)
	if err != nil {
		return false, err
	}
	result, err := c.store.Swap(ctx, savorystore.Swap{Key: rootKey, ExpectedRevision: stored.revision, Body: body})
	return result.Applied, err
}

// deleteRetired deletes the retired buckets of the old root that have
// expired. A bucket that remains after a failed call does no harm.
func (c *configStore) deleteRetired(ctx context.Context, old *savoryconfig.Root) {
	var keys []string
	for _, id := range old.ExpiredBuckets(c.now()) {
		keys = append(keys, bucketKey(id))
	}
	_ = c.store.DeleteMany(ctx, keys)
}

func invalidDocument(err error) error {
	var input *savoryconfig.InputError
	if errors.As(err, &input) {
		return savoryverdict.Invalid(input.Field, "%s", input.Message)
	}
	return savoryverdict.Invalid("", "%v", err)
}

// conflictError returns the error for a conflict on the same section. If the
// outcome of an earlier write is unknown, the verdict is MayHaveRun: that
// write may have been applied and the section changed again afterwards.
func conflictError(err error, unknown bool) error {
	var c *savoryconfig.ConflictError
	if !errors.As(err, &c) {
		return err
	}
	verdict := savoryverdict.NotRun
	if unknown {
		verdict = savoryverdict.MayHaveRun
	}
	return &savoryverdict.Error{
		Verdict: verdict, Status: http.StatusConflict, Code: "SectionChanged",
		Field: string(c.Section), Message: c.Error(),
	}
}

func submitError(unknown bool, cause error) error {
	if unknown {
		return &savoryverdict.Error{
			Verdict: savoryverdict.MayHaveRun, Status: http.StatusServiceUnavailable, Code: "OutcomeUnknown",
			Message:    "the store did not respond; submit again with the same submission ID to find out the outcome",
			RetryAfter: submitRetryAfter, Err: cause,
		}
	}
	err := savoryverdict.Unavailable("StoreOut", submitRetryAfter, "the store is unavailable; the change was not made")
	err.Err = cause
	return fmt.Errorf("submit: %w", err)
}
