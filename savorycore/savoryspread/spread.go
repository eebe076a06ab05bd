// Package savoryspread spreads requests when many entries choose engines at the
// same time.
//
// Entries learn of one another's requests by exchanges. Between two exchanges all of
// them have the same loads, and would all choose the engines that had the least: each
// engine in turn gets the requests of the whole fleet for the time of an exchange, and
// their prompts wait there for seconds while other engines are idle. The package makes
// the choices differ by as much as the entries' information may be out of date.
//
// The package does no I/O and reads no clock; random numbers are parameters.
package savoryspread

import "math"

// Option is a zone that could serve a request.
type Option struct {
	// Cost is the estimated cost of the zone's best chain in seconds.
	Cost float64
	// Home is set for the entry's own zone.
	Home bool
}

// homeMargin is the fraction of the cost of the best other zone by which the entry's
// own zone may be dearer without sending requests away: estimates of the same load
// differ by about as much.
const homeMargin = 0.25

// Zone returns the index of the zone that serves a request. draw is a random number
// from 0 to 1, exclusive.
//
// A request stays in the entry's own zone unless another one is clearly cheaper. Then
// only the fraction of the requests leaves by which the costs differ: if all left, the
// other zone would be the dearer one before any entry knew. Requests that leave, or
// whose own zone has no chain, are divided by the gain.
func Zone(options []Option, draw float64) int {
	home, best := -1, -1
	for i, o := range options {
		if o.Home {
			home = i
		}
		if best < 0 || o.Cost < options[best].Cost {
			best = i
		}
	}
	if best < 0 || best == home {
		return best
	}
	limit := math.Inf(1)
	if home >= 0 {
		limit = options[home].Cost
		leaving := 1 - (1+homeMargin)*options[best].Cost/limit
		if draw >= leaving {
			return home
		}
		draw /= leaving
	}
	total := 0.0
	for i, o := range options {
		if i != home {
			total += gain(o.Cost, limit)
		}
	}
	draw *= total
	for i, o := range options {
		if i == home {
			continue
		}
		if draw -= gain(o.Cost, limit); draw < 0 {
			return i
		}
	}
	return best
}

// gain returns the weight of a zone with a cost below limit.
func gain(cost, limit float64) float64 {
	if math.IsInf(limit, 1) {
		return 1 / max(1e-9, cost*cost)
	}
	return max(0, limit-(1+homeMargin)*cost)
}
