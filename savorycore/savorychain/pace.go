package savorychain

// This file defines pace, which keeps the part of late first tokens low.

import "time"

const (
	// targetLateFraction is the part of first tokens that may be late.
	targetLateFraction = 0.03
	// marginStep is the relative step of the margin after a late first token.
	marginStep = 0.2
	// minMargin and maxMargin bound the margin. It falls below 1 where the
	// estimates are too high, as at a site with one entry.
	minMargin = 0.5
	maxMargin = 3
)

// admissionMargin corrects estimates of the first token by what was seen. Its margin
// grows when a first token is late and shrinks when one is in time, in steps
// whose sizes balance when latePart of them are late. The zero value is ready
// for use.
type admissionMargin struct {
	// excess is the margin beyond 1.
	excess float64
}

// factor returns the factor by which an estimate is multiplied before it is
// compared with the bound.
func (p *admissionMargin) factor() float64 { return 1 + p.excess }

// observe takes the time of a first token and its bound.
func (p *admissionMargin) observe(first, bound time.Duration) {
	if first > bound {
		p.excess = min(maxMargin-1, p.excess+marginStep)
		return
	}
	p.excess = max(minMargin-1, p.excess-marginStep*targetLateFraction/(1-targetLateFraction))
}
