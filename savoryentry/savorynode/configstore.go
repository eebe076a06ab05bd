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
	// watchedPrefix begins the keys that watchers follow.
	watchedPrefix = "savorycart/watched/"
	rootKey       = watchedPrefix + "root"
	bucketPrefix  = "savorycart/bucket/"
	// maxSubmitTries bounds the writes that one submission tries.
	maxSubmitTries = 8
	// minSubmitDelay is the pause before the second try; it doubles up to
	// maxSubmitPause.
	minSubmitDelay = 50 * time.Millisecond
	maxSubmitDelay = time.Second
	// submitRetryAfter is when an operator may submit again.
	submitRetryAfter = 5 * time.Second
)

// configStore is the configuration in the store.
type configStore struct {
	store *savorystore.Store
	now   func() time.Time
}

// storedRoot is a root with its revision in the store.
type storedRoot struct {
	root     *savoryconfig.Root
	revision int64
}

// readRoot returns the root; before the first document it is empty and has
// revision 0.
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

// fetch reads buckets.
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

// submission is one operator's change.
type submission struct {
	id string
	// sections lists the changed sections with the revision that each was read
	// at.
	sections map[savoryconfig.Section]uint64
	// document holds the new content of the sections.
	document *savoryconfig.Document
	// authorize decides whether the change may be made to the current document.
	authorize func(current *savoryconfig.Document) error
}

// accepted is the outcome of a submission.
type accepted struct {
	// revision is the one that the submission made.
	revision uint64
	// root is that of the revision, or of a later one.
	root *savoryconfig.Root
	// buckets are those that the submission brought, as far as known.
	buckets []savoryconfig.Bucket
}

// submit makes a change by compare-and-swap of the root. A lost race against a
// change of another section is tried again on the new root; against a change
// of the same one it is refused. If the outcome of a write is not known, the
// root tells by the submission's ID. inForce is the snapshot in force here.
func (c *configStore) submit(ctx context.Context, s submission, inForce *savoryconfig.Snapshot, keeper *configKeeper) (accepted, error) {
	outcomeUnknown := false
	for try := range maxSubmitTries {
		done, err := c.trySubmit(ctx, s, inForce, keeper, &outcomeUnknown)
		var failed *savorystore.Error
		switch {
		case err == nil && done != nil:
			return *done, nil
		case err == nil:
			// Another change won; the next try is made on its root.
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

// trySubmit makes one try. It returns nil and no error if another change won.
func (c *configStore) trySubmit(ctx context.Context, s submission, inForce *savoryconfig.Snapshot, keeper *configKeeper, unknown *bool) (*accepted, error) {
	stored, err := c.readRoot(ctx)
	if err != nil {
		return nil, err
	}
	if revision, ok := stored.root.AcceptedRevision(s.id); ok {
		// The answer to an earlier try was lost.
		return &accepted{revision: revision, root: stored.root}, nil
	}
	if inForce != nil && stored.root.Revision < inForce.Revision() {
		return nil, savoryverdict.Unavailable("StoreBehind", submitRetryAfter,
			"the store shows revision %d but revision %d is in force", stored.root.Revision, inForce.Revision())
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

// checkAssembly assembles the next revision as every entry will: a revision that
// cannot be put in force must not be accepted.
func (c *configStore) checkAssembly(ctx context.Context, next *savoryconfig.Root, change savoryconfig.Change, keeper *configKeeper) error {
	var changed []savoryconfig.Bucket
	for _, part := range change.SectionChanges {
		changed = append(changed, part.AllBuckets()...)
	}
	_, err := c.assemble(ctx, next, changed, keeper)
	return err
}

// assemble builds the snapshot of root from given buckets, those that are held
// here and those of the store.
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

// currentDocument returns the document of the stored root, from what is in
// force here as far as possible.
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

// change checks the whole document that results and returns the change.
func (s *submission) change(root *savoryconfig.Root, current *savoryconfig.Document) (savoryconfig.Change, error) {
	whole := *current
	change := savoryconfig.Change{Submission: s.id}
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

// writeBuckets writes the buckets of a change that the root does not name yet.
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

// restoreRoot writes the root in force, with its buckets, over an older one in the
// store, and reports whether it did. A store that shows an older root than one in force was set
// back: without this, entries that start would put the old one in force.
//
// A watch tells of roots late, so the store is read again first.
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

// deleteRetired deletes the buckets that the new root no longer remembers. A
// bucket that stays behind because a call failed does no harm.
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

// conflictError is the answer to a lost race on the same section. If an earlier
// write of the submission has an unknown outcome, the section may have been
// changed since by someone who saw it applied.
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
			Message:    "the store did not answer; submit again with the same submission ID to learn the outcome",
			RetryAfter: submitRetryAfter, Err: cause,
		}
	}
	err := savoryverdict.Unavailable("StoreOut", submitRetryAfter, "the store does not answer; the change was not made")
	err.Err = cause
	return fmt.Errorf("submit: %w", err)
}
