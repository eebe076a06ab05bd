package savoryworld

// This file defines Position, the order of what is read from the platform's store.

import "cmp"

// Position is a position in the history of the platform's store. Revisions grow
// within an era. A store that was restored from a copy begins a new era: revisions
// go back to those of the copy and are given out again for other content. The zero
// Position precedes all others.
type Position struct {
	// Era is 0 for a store that states no era.
	Era      int64
	Revision int64
}

// Compare returns a negative number if p precedes q, 0 if they are equal, and a
// positive number if p follows q.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Era, q.Era), cmp.Compare(p.Revision, q.Revision))
}

// Before reports whether p precedes q.
func (p Position) Before(q Position) bool { return p.Compare(q) < 0 }
