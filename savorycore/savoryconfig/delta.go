package savoryconfig

// This file defines Delta, the difference between two successive roots. Peers
// exchange deltas because a complete root references every bucket of the
// document.

import (
	"fmt"
	"slices"
	"time"

	"savorycart.example/savorycore/savorywire"
)

// Step is a change of the configuration as peers exchange it: a delta and the
// buckets that are new in it.
type Step struct {
	Delta   Delta
	Buckets []Bucket
}

// Check returns an error if the step is invalid or a bucket's content does not
// match its ID.
func (s *Step) Check() error {
	for i := range s.Buckets {
		if err := s.Buckets[i].Check(); err != nil {
			return err
		}
	}
	return s.Delta.Check()
}

// Delta is the difference between the root of revision Base and the root of
// revision Base+1.
type Delta struct {
	Base uint64
	// AcceptedAt is the AcceptedAt of the new root.
	AcceptedAt time.Time
	// Submission is the ID of the accepted submission.
	Submission string
	Sections   []SectionDelta
}

// SectionDelta is the difference between two revisions of a section.
type SectionDelta struct {
	Section Section
	// Manifest is the ID of the new manifest.
	Manifest BucketID
	// Count is the number of buckets of the section after the change.
	Count int
	// Changed lists the indexes whose bucket differs.
	Changed []BucketChange
}

// BucketChange sets the bucket at an index of a section.
type BucketChange struct {
	Index int
	ID    BucketID
}

// DeltaBetween returns the difference between prev and next. It returns false if
// next is not the direct successor of prev.
func DeltaBetween(prev, next *Root) (*Delta, bool) {
	if next.Revision != prev.Revision+1 || len(next.Submissions) == 0 {
		return nil, false
	}
	d := &Delta{Base: prev.Revision, AcceptedAt: next.AcceptedAt, Submission: next.Submissions[0].ID}
	for _, ref := range next.Sections {
		if ref.Revision != next.Revision {
			continue
		}
		old := prev.Section(ref.Section).Buckets
		sectionDelta := SectionDelta{Section: ref.Section, Manifest: ref.Manifest, Count: len(ref.Buckets)}
		for i, id := range ref.Buckets {
			if i >= len(old) || old[i] != id {
				sectionDelta.Changed = append(sectionDelta.Changed, BucketChange{Index: i, ID: id})
			}
		}
		d.Sections = append(d.Sections, sectionDelta)
	}
	return d, true
}

// ApplyTo returns the root that follows prev, and the new manifests. It returns
// an error if the delta has another base revision or does not match the content
// of prev. The manifests of prev must be loaded.
func (d *Delta) ApplyTo(prev *Root) (*Root, []Bucket, error) {
	if prev.Revision != d.Base {
		return nil, nil, fmt.Errorf("delta of revision %d does not apply to revision %d", d.Base, prev.Revision)
	}
	next := &Root{Revision: prev.Revision + 1, AcceptedAt: d.AcceptedAt, Sections: slices.Clone(prev.Sections)}
	var replaced []BucketID
	var manifests []Bucket
	for _, sectionDelta := range d.Sections {
		old := prev.Section(sectionDelta.Section)
		replaced = append(replaced, old.Manifest)
		replaced = append(replaced, old.Buckets...)
		manifest, ids, err := sectionDelta.buildManifest(old)
		if err != nil {
			return nil, nil, err
		}
		manifests = append(manifests, manifest)
		next.replaceSection(SectionRef{Section: sectionDelta.Section, Revision: next.Revision, Manifest: sectionDelta.Manifest, Buckets: ids})
	}
	next.Submissions = recentSubmissions(prev, d.Submission)
	next.Retired = retiredBuckets(prev, next, replaced, d.AcceptedAt)
	return next, manifests, nil
}

// buildManifest builds the new manifest from the old section. It returns an
// error if the digest of the result does not match the manifest's ID.
func (p *SectionDelta) buildManifest(old SectionRef) (Bucket, []BucketID, error) {
	ids := resizeBucketIDs(slices.Clone(old.Buckets), p.Count)
	for _, c := range p.Changed {
		if c.Index < 0 || c.Index >= len(ids) {
			return Bucket{}, nil, fmt.Errorf("delta of section %s: bucket index %d is out of range, the section has %d buckets", p.Section, c.Index, len(ids))
		}
		ids[c.Index] = c.ID
	}
	body, err := savorywire.Encode(ids)
	if err != nil {
		return Bucket{}, nil, err
	}
	manifest := Bucket{ID: p.Manifest, Body: body}
	if err := manifest.Check(); err != nil {
		return Bucket{}, nil, fmt.Errorf("delta of section %s: %w", p.Section, err)
	}
	return manifest, ids, nil
}

// Check returns an error if a section is unknown or its number of buckets is out
// of range.
func (d *Delta) Check() error {
	for _, sectionDelta := range d.Sections {
		if !sectionDelta.Section.Valid() {
			return fmt.Errorf("Delta.Sections: unknown section %q", sectionDelta.Section)
		}
		if sectionDelta.Count < 0 || sectionDelta.Count > maxSectionBuckets {
			return fmt.Errorf("Delta.Sections: bucket count %d is out of range", sectionDelta.Count)
		}
	}
	return nil
}

// resizeBucketIDs truncates buckets to n IDs or extends it with zero IDs.
func resizeBucketIDs(buckets []BucketID, n int) []BucketID {
	for len(buckets) < n {
		buckets = append(buckets, BucketID{})
	}
	return buckets[:n]
}
