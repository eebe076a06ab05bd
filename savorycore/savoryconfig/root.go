package savoryconfig

// This file defines Root, the one value that a change of the configuration
// compares and swaps.

import (
	"fmt"
	"time"

	"savorycart.example/savorycore/savorywire"
)

// maxSubmissions is the number of accepted submissions that a root remembers,
// so that a writer whose answer was lost can learn whether it was accepted.
const maxSubmissions = 16

// retiredBucketTTL is how long a bucket stays in the store after the last root
// that named it, for entries that still fetch that root.
const retiredBucketTTL = 5 * time.Minute

// Root names the content of one revision of the document.
type Root struct {
	// Revision counts accepted changes and only grows.
	Revision uint64
	// AcceptedAt is when the revision was accepted, by the accepting entry's
	// clock.
	AcceptedAt time.Time
	Sections   []SectionRef
	// Submissions lists the last accepted submissions, newest first.
	Submissions []Submission
	// Retired lists buckets that no section names any more.
	Retired []RetiredBucket
}

// SectionRef names the content of one section.
type SectionRef struct {
	Section Section
	// Revision is the root's revision that last changed the section.
	Revision uint64
	// Manifest is a bucket that lists the section's buckets. It keeps the
	// encoded root small.
	Manifest BucketID
	// Buckets is the content of the manifest; it is not part of the encoded
	// root.
	Buckets []BucketID `msgpack:"-"`
}

// Submission is one accepted change.
type Submission struct {
	ID       string
	Revision uint64
}

// RetiredBucket is a bucket that may be deleted once its grace is over.
type RetiredBucket struct {
	ID    BucketID
	Since time.Time
}

// ConflictError reports that a section was changed since it was read.
type ConflictError struct {
	Section Section
	// BaseRevision is the section's revision that the change was made against.
	BaseRevision uint64
	// CurrentRevision is the section's revision now.
	CurrentRevision uint64
}

var _ error = (*ConflictError)(nil)

// Error names both revisions.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("section %s was read at revision %d but is at revision %d", e.Section, e.BaseRevision, e.CurrentRevision)
}

// EncodeRoot writes r for the store and for peers.
func EncodeRoot(r *Root) ([]byte, error) { return savorywire.Encode(r) }

// DecodeRoot reads a root. Its sections must be filled before its buckets are
// known.
func DecodeRoot(body []byte) (*Root, error) {
	r := new(Root)
	if err := savorywire.Decode(body, r); err != nil {
		return nil, fmt.Errorf("root: %w", err)
	}
	for _, ref := range r.Sections {
		if !ref.Section.Valid() {
			return nil, fmt.Errorf("root: unknown section %q", ref.Section)
		}
	}
	return r, nil
}

// Section returns the reference to section s, or one without buckets.
func (r *Root) Section(s Section) SectionRef {
	for _, ref := range r.Sections {
		if ref.Section == s {
			return ref
		}
	}
	return SectionRef{Section: s}
}

// AcceptedRevision returns the revision at which submission id was accepted, or false
// if r does not remember it.
func (r *Root) AcceptedRevision(id string) (uint64, bool) {
	for _, s := range r.Submissions {
		if s.ID == id {
			return s.Revision, true
		}
	}
	return 0, false
}

// Manifests returns the IDs of the manifests of the sections that have one.
func (r *Root) Manifests() []BucketID {
	var ids []BucketID
	for _, ref := range r.Sections {
		if ref.Manifest != (BucketID{}) {
			ids = append(ids, ref.Manifest)
		}
	}
	return ids
}

// LoadManifests reads the manifests. A missing or broken one is an error.
func (r *Root) LoadManifests(find func(BucketID) (Bucket, bool)) error {
	for i := range r.Sections {
		ref := &r.Sections[i]
		if ref.Manifest == (BucketID{}) {
			continue
		}
		manifest, ok := find(ref.Manifest)
		if !ok {
			return fmt.Errorf("revision %d: manifest %s of section %s is missing", r.Revision, ref.Manifest, ref.Section)
		}
		ids, err := manifest.decodeManifest()
		if err != nil {
			return fmt.Errorf("revision %d: %w", r.Revision, err)
		}
		ref.Buckets = ids
	}
	return nil
}

// BucketIDs returns the IDs of all manifests and buckets that r names, each
// once. The sections must be filled.
func (r *Root) BucketIDs() []BucketID {
	seen := make(map[BucketID]bool)
	var all []BucketID
	add := func(ids ...BucketID) {
		for _, id := range ids {
			if !seen[id] {
				seen[id] = true
				all = append(all, id)
			}
		}
	}
	add(r.Manifests()...)
	for _, ref := range r.Sections {
		add(ref.Buckets...)
	}
	return all
}

// Change replaces one or more sections.
type Change struct {
	// Submission names the change; a repeated submission is accepted once.
	Submission     string
	SectionChanges []SectionChange
}

// SectionChange replaces one section.
type SectionChange struct {
	Section Section
	// BaseRevision is the revision of the section that the change was made against.
	BaseRevision uint64
	// Manifest lists Buckets.
	Manifest Bucket
	Buckets  []Bucket
}

// NewSectionChange returns the part that replaces section s of the root by that of doc.
func NewSectionChange(r *Root, doc *Document, s Section, read uint64, submission string) (SectionChange, error) {
	old := r.Section(s)
	buckets, err := SplitSection(doc, s, old.Buckets, submission)
	if err != nil {
		return SectionChange{}, err
	}
	ids := make([]BucketID, len(buckets))
	for i, b := range buckets {
		ids[i] = b.ID
	}
	manifest, err := newManifest(ids, old.Manifest, submission)
	if err != nil {
		return SectionChange{}, fmt.Errorf("section %s: %w", s, err)
	}
	return SectionChange{Section: s, BaseRevision: read, Manifest: manifest, Buckets: buckets}, nil
}

// AllBuckets returns the manifest and the buckets of the part.
func (p *SectionChange) AllBuckets() []Bucket {
	return append([]Bucket{p.Manifest}, p.Buckets...)
}

// Apply returns the root that follows r after change at now. A change made
// against another revision of a section is a *ConflictError.
func (r *Root) Apply(change Change, now time.Time) (*Root, error) {
	next := &Root{Revision: r.Revision + 1, AcceptedAt: now}
	for _, s := range Sections() {
		next.Sections = append(next.Sections, r.Section(s))
	}
	var replaced []BucketID
	for _, part := range change.SectionChanges {
		old := r.Section(part.Section)
		if old.Revision != part.BaseRevision {
			return nil, &ConflictError{Section: part.Section, BaseRevision: part.BaseRevision, CurrentRevision: old.Revision}
		}
		replaced = append(replaced, old.Manifest)
		replaced = append(replaced, old.Buckets...)
		next.applySectionChange(part)
	}
	next.Submissions = recentSubmissions(r, change.Submission)
	next.Retired = retiredBuckets(r, next, replaced, now)
	return next, nil
}

func (r *Root) applySectionChange(part SectionChange) {
	ref := SectionRef{Section: part.Section, Revision: r.Revision, Manifest: part.Manifest.ID}
	for _, b := range part.Buckets {
		ref.Buckets = append(ref.Buckets, b.ID)
	}
	r.replaceSection(ref)
}

func (r *Root) replaceSection(ref SectionRef) {
	for i := range r.Sections {
		if r.Sections[i].Section == ref.Section {
			r.Sections[i] = ref
			return
		}
	}
	r.Sections = append(r.Sections, ref)
}

// recentSubmissions returns the submissions of the root that follows base.
func recentSubmissions(base *Root, id string) []Submission {
	kept := []Submission{{ID: id, Revision: base.Revision + 1}}
	kept = append(kept, base.Submissions...)
	return kept[:min(len(kept), maxSubmissions)]
}

// retiredBuckets returns the replaced buckets that next does not name, and those
// retired before whose grace is not over.
func retiredBuckets(r, next *Root, replaced []BucketID, now time.Time) []RetiredBucket {
	named := make(map[BucketID]bool)
	for _, id := range next.BucketIDs() {
		named[id] = true
	}
	var retired []RetiredBucket
	for _, b := range r.Retired {
		if !named[b.ID] && now.Sub(b.Since) < retiredBucketTTL {
			retired = append(retired, b)
			named[b.ID] = true
		}
	}
	for _, id := range replaced {
		if !named[id] && id != (BucketID{}) {
			retired = append(retired, RetiredBucket{ID: id, Since: now})
			named[id] = true
		}
	}
	return retired
}

// ExpiredBuckets returns the buckets of r whose grace is over at now: they are
// dropped from the next root, and the writer of that root deletes them.
func (r *Root) ExpiredBuckets(now time.Time) []BucketID {
	named := make(map[BucketID]bool)
	for _, id := range r.BucketIDs() {
		named[id] = true
	}
	var old []BucketID
	for _, b := range r.Retired {
		if now.Sub(b.Since) >= retiredBucketTTL && !named[b.ID] {
			old = append(old, b.ID)
		}
	}
	return old
}
