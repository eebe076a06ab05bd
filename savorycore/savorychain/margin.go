package savorychain

// This file defines admissionMargin, which bounds the fraction of late first
// tokens.

import "time"

const (
	// targetLateFraction is the fraction of first tokens that may be late.
	targetLateFraction = 0.03
	// marginStep is the amount that a late first token adds to the margin.
	marginStep = 0.2
	// minMargin and maxMargin bound the margin. A margin below 1 is needed where
	// the estimates are too high, as at a site with one entry.
	minMargin = 0.5
	maxMargin = 3
)

// admissionMargin corrects the estimates of the time to the first token by the
// observed times. The margin grows with each late first token and shrinks with
// each timely one. The sizes of the steps balance if a fraction of
// targetLateFraction is late. The zero value is a margin of 1.
type admissionMargin struct {
	// excess is the margin minus 1.
	excess float64
}

// factor returns the factor by which an estimate is multiplied before it is
// compared with the bound.
func (m *admissionMargin) factor() float64 { return 1 + m.excess }

// observe records the time of a first token and its bound.
func (m *admissionMargin) observe(first, bound time.Duration) {
	if first > bound {
		m.excess = min(maxMargin-1, m.excess+marginStep)
		return
	}
	m.excess = max(minMargin-1, m.excess-marginStep*targetLateFraction/(1-targetLateFraction))
}
