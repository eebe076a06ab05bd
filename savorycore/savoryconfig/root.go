package savoryconfig

// This file defines Root. A change of the configuration replaces the root in the
// platform's store by a compare-and-swap, which makes the change atomic.

import (
	"fmt"
	"time"

	"savorycart.example/savorycore/savorywire"
)

// maxSubmissions is the maximum number of accepted submissions in a root. A
// writer that did not receive the response finds in them whether its submission
// was accepted.
const maxSubmissions = 16

// retiredBucketTTL is how long a bucket stays in the store after a root without
// it was accepted, so that entries can finish fetching the earlier root.
const retiredBucketTTL = 5 * time.Minute

// Root is one revision of the configuration. It references the parts of the
// document.
type Root struct {
	// Revision is the number of accepted changes. It never decreases.
	Revision uint64
	// AcceptedAt is the time when the revision was accepted, by the clock of
	// the entry that accepted it.
	AcceptedAt time.Time
	Sections   []SectionRef
	// Submissions lists the latest accepted submissions, newest first.
	Submissions []AcceptedSubmission
	// Retired lists the buckets that earlier roots referenced and this root
	// does not, until their retiredBucketTTL is over.
	Retired []RetiredBucket
}

// SectionRef references the content of one section.
type SectionRef struct {
	Section Section
	// Revision is the revision of the section, which is the revision of the root
	// that last changed it; 0 means never.
	Revision uint64
	// Manifest is the ID of the bucket that lists the section's buckets, which
	// keeps the encoded root small. The zero ID means no content.
	Manifest BucketID
	// Buckets is the content of the manifest. It is not part of the encoded
	// root; LoadManifests sets it.
	Buckets []BucketID `msgpack:"-"`
}

// AcceptedSubmission is the ID of an accepted change and the revision of the
// root that it led to.
type AcceptedSubmission struct {
	ID       string
	Revision uint64
}

// RetiredBucket is a bucket that may be deleted when its retiredBucketTTL is
// over. Since is the time when it was retired.
type RetiredBucket struct {
	ID    BucketID
	Since time.Time
}

// ConflictError is returned for a change of a section that another submission
// has changed since the revision that the change is based on.
type ConflictError struct {
	Section Section
	// BaseRevision is the section's revision that the change is based on.
	BaseRevision uint64
	// CurrentRevision is the current revision of the section.
	CurrentRevision uint64
}

var _ error = (*ConflictError)(nil)

// Error returns a message with both revisions.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("section %s was read at revision %d but is at revision %d", e.Section, e.BaseRevision, e.CurrentRevision)
}

// EncodeRoot returns the encoding of r for the store and for peers, without the
// bucket IDs of the sections.
func EncodeRoot(r *Root) ([]byte, error) { return savorywire.Encode(r) }

// DecodeRoot decodes a root. It has the IDs of the manifests but not of the
// buckets until LoadManifests is called.
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

// Section returns the reference to section s, or a reference of revision 0
// without buckets if r has none.
func (r *Root) Section(s Section) SectionRef {
	for _, ref := range r.Sections {
		if ref.Section == s {
			return ref
		}
	}
	return SectionRef{Section: s}
}

// AcceptedRevision returns the revision at which submission id was accepted, or
// false if id is not among the latest submissions.
func (r *Root) AcceptedRevision(id string) (uint64, bool) {
	for _, s := range r.Submissions {
		if s.ID == id {
			return s.Revision, true
		}
	}
	return 0, false
}

// Manifests returns the IDs of the manifests of all sections that have a
// manifest.
func (r *Root) Manifests() []BucketID {
	var ids []BucketID
	for _, ref := range r.Sections {
		if ref.Manifest != (BucketID{}) {
			ids = append(ids, ref.Manifest)
		}
	}
	return ids
}

// LoadManifests sets the bucket IDs of each section from its manifest. The
// function find looks up a bucket by its ID. A missing or invalid manifest is an
// error.
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

// BucketIDs returns the IDs of all manifests and buckets that r references,
// without duplicates. The manifests must be loaded.
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

// Change is a submitted change of one or more sections.
type Change struct {
	// SubmissionID is recorded in the root, so that a repeated submission is not
	// applied again.
	SubmissionID   string
	SectionChanges []SectionChange
}

// SectionChange is the replacement of one section.
type SectionChange struct {
	Section Section
	// BaseRevision is the revision of the section that the change is based on.
	BaseRevision uint64
	// Manifest lists Buckets.
	Manifest Bucket
	Buckets  []Bucket
}

// NewSectionChange returns the change that replaces section s of the root r by
// section s of doc. baseRevision is the section's revision that doc is based on.
func NewSectionChange(r *Root, doc *Document, s Section, baseRevision uint64, submission string) (SectionChange, error) {
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
	return SectionChange{Section: s, BaseRevision: baseRevision, Manifest: manifest, Buckets: buckets}, nil
}

// AllBuckets returns the manifest and the buckets of the section.
func (c *SectionChange) AllBuckets() []Bucket {
	return append([]Bucket{c.Manifest}, c.Buckets...)
}

// Apply returns the root that follows r if change is accepted at now. If a
// section change is not based on the current revision of the section, the error
// is a *ConflictError. The manifests of r must be loaded.
func (r *Root) Apply(change Change, now time.Time) (*Root, error) {
	next := &Root{Revision: r.Revision + 1, AcceptedAt: now}
	for _, s := range Sections() {
		next.Sections = append(next.Sections, r.Section(s))
	}
	var replaced []BucketID
	for _, sectionChange := range change.SectionChanges {
		old := r.Section(sectionChange.Section)
		if old.Revision != sectionChange.BaseRevision {
			return nil, &ConflictError{Section: sectionChange.Section, BaseRevision: sectionChange.BaseRevision, CurrentRevision: old.Revision}
		}
		replaced = append(replaced, old.Manifest)
		replaced = append(replaced, old.Buckets...)
		next.applySectionChange(sectionChange)
	}
	next.Submissions = recentSubmissions(r, change.SubmissionID)
	next.Retired = retiredBuckets(r, next, replaced, now)
	return next, nil
}

func (r *Root) applySectionChange(change SectionChange) {
	ref := SectionRef{Section: change.Section, Revision: r.Revision, Manifest: change.Manifest.ID}
	for _, b := range change.Buckets {
		ref.Buckets = append(ref.Buckets, b.ID)
	}
	r.replaceSection(ref)
}

// replaceSection sets the reference to a section and adds it if r has none.
func (r *Root) replaceSection(ref SectionRef) {
	for i := range r.Sections {
		if r.Sections[i].Section == ref.Section {
			r.Sections[i] = ref
			return
		}
	}
	r.Sections = append(r.Sections, ref)
}

// recentSubmissions returns the latest submissions of the root that follows
// prev: id and those of prev, at most maxSubmissions.
func recentSubmissions(prev *Root, id string) []AcceptedSubmission {
	submissions := []AcceptedSubmission{{ID: id, Revision: prev.Revision + 1}}
	submissions = append(submissions, prev.Submissions...)
	return submissions[:min(len(submissions), maxSubmissions)]
}

// retiredBuckets returns the retired buckets of next: the replaced buckets that
// next does not reference, and the retired buckets of prev that next does not
// reference and whose retiredBucketTTL is not over.
func retiredBuckets(prev, next *Root, replaced []BucketID, now time.Time) []RetiredBucket {
	skip := make(map[BucketID]bool)
	for _, id := range next.BucketIDs() {
		skip[id] = true
	}
	var retired []RetiredBucket
	for _, b := range prev.Retired {
		if !skip[b.ID] && now.Sub(b.Since) < retiredBucketTTL {
			retired = append(retired, b)
			skip[b.ID] = true
		}
	}
	for _, id := range replaced {
		if !skip[id] && id != (BucketID{}) {
			retired = append(retired, RetiredBucket{ID: id, Since: now})
			skip[id] = true
		}
	}
	return retired
}

// ExpiredBuckets returns the retired buckets of r whose retiredBucketTTL is over
// at now. The next root does not list them, and the entry that writes the next
// root deletes them.
func (r *Root) ExpiredBuckets(now time.Time) []BucketID {
	referenced := make(map[BucketID]bool)
	for _, id := range r.BucketIDs() {
		referenced[id] = true
	}
	var expired []BucketID
	for _, b := range r.Retired {
		if now.Sub(b.Since) >= retiredBucketTTL && !referenced[b.ID] {
			expired = append(expired, b.ID)
		}
	}
	return expired
}
