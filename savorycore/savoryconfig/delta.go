package savoryconfig

// This file defines Delta, the difference between two roots. Peers exchange it
// in place of the whole root, which names every bucket.

import (
	"fmt"
	"slices"
	"time"
)

// Delta turns the root of revision Base into the next one.
type Delta struct {
	Base       uint64
	AcceptedAt time.Time
	// Submission is the change that was accepted.
	Submission string
	Sections   []SectionDelta
}

// SectionDelta lists the buckets of a section that changed.
type SectionDelta struct {
	Section Section
	// Count is the number of buckets of the section after the change.
	Count   int
	Changed []BucketChange
}

// BucketChange puts a bucket at an index of the section.
type BucketChange struct {
	Index int
	ID    BucketID
}

// DeltaBetween returns the difference of two roots of which next directly
// follows base, or false if it does not.
func DeltaBetween(base, next *Root) (*Delta, bool) {
	if next.Revision != base.Revision+1 || len(next.Submissions) == 0 {
		return nil, false
	}
	d := &Delta{Base: base.Revision, AcceptedAt: next.AcceptedAt, Submission: next.Submissions[0].ID}
	for _, ref := range next.Sections {
		if ref.Revision != next.Revision {
			continue
		}
		old := base.Section(ref.Section).Buckets
		part := SectionDelta{Section: ref.Section, Count: len(ref.Buckets)}
		for i, id := range ref.Buckets {
			if i >= len(old) || old[i] != id {
				part.Changed = append(part.Changed, BucketChange{Index: i, ID: id})
			}
		}
		d.Sections = append(d.Sections, part)
	}
	return d, true
}

// ApplyTo returns the root that follows base. A delta of another base, or one
// that does not fit it, is an error.
func (d *Delta) ApplyTo(base *Root) (*Root, error) {
	if base.Revision != d.Base {
		return nil, fmt.Errorf("delta of revision %d does not apply to revision %d", d.Base, base.Revision)
	}
	next := &Root{Revision: base.Revision + 1, AcceptedAt: d.AcceptedAt, Sections: slices.Clone(base.Sections)}
	for _, part := range d.Sections {
		buckets := slices.Clone(base.Section(part.Section).Buckets)
		buckets = resize(buckets, part.Count)
		for _, c := range part.Changed {
			if c.Index < 0 || c.Index >= len(buckets) {
				return nil, fmt.Errorf("delta of section %s: index %d of %d buckets", part.Section, c.Index, len(buckets))
			}
			buckets[c.Index] = c.ID
		}
		next.replaceSection(SectionRef{Section: part.Section, Revision: next.Revision, Buckets: buckets})
	}
	next.Submissions = rememberSubmission(base, d.Submission)
	var replaced []BucketID
	for _, part := range d.Sections {
		replaced = append(replaced, base.Section(part.Section).Buckets...)
	}
	next.Retired = retire(base, next, replaced, d.AcceptedAt)
	return next, nil
}

// Check returns an error if the delta is not well formed.
func (d *Delta) Check() error {
	for _, part := range d.Sections {
		if !part.Section.Valid() {
			return fmt.Errorf("Delta.Sections: unknown section %q", part.Section)
		}
		if part.Count < 0 || part.Count > maxBuckets {
			return fmt.Errorf("Delta.Sections: %d buckets", part.Count)
		}
	}
	return nil
}

// resize returns buckets with n entries.
func resize(buckets []BucketID, n int) []BucketID {
	for len(buckets) < n {
		buckets = append(buckets, BucketID{})
	}
	return buckets[:n]
}
