package savorypath

// This file implements the search for the cheapest chain over the boundaries of
// the layer ranges that engines hold.

import (
	"math"
	"slices"

	"savorycart.example/savorycore/savoryworld"
)

// suffix is the cheapest remainder of a chain from a layer to the last layer.
// Its first hop ends at boundary end; next is the index of the candidate of the
// following hop, or -1 if there is none.
type suffix struct {
	cost float64
	next int
	end  int
}

// search returns the cheapest chain over candidates that are not full, its cost
// in seconds and the highest fill of its engines. The chain is nil if there is
// none. Each hop between zones adds crossZoneHopCost. The parameter from is the
// zone of the entry, or "" if all candidates are in one zone.
func (t *Table) search(candidates []candidate, r Request, from string) (Chain, float64, float64) {
	layers := t.engine.Layers
	var boundaries []int
	for _, c := range candidates {
		boundaries = append(boundaries, c.Holds.From, c.Holds.To)
	}
	boundaries = append(boundaries, 0, layers)
	slices.Sort(boundaries)
	boundaries = slices.Compact(boundaries)
	// best[i][j] is the cheapest suffix from boundary i if candidate j runs the
	// layers that follow.
	best := make([][]suffix, len(boundaries))
	for i := range best {
		best[i] = make([]suffix, len(candidates))
	}
	for i := len(boundaries) - 1; i >= 0; i-- {
		for j := range candidates {
			best[i][j] = t.cheapestSuffix(candidates, best, boundaries, i, j)
		}
	}
	first, cost := cheapestFirst(candidates, best[0], r, from)
	if first < 0 {
		return nil, 0, 0
	}
	return buildChain(candidates, best, boundaries, first, layers, cost)
}

// cheapestFirst returns the index of the first candidate of the cheapest chain
// and the cost of the chain in seconds, or -1 if there is no chain. The suffixes
// begin at layer 0.
func cheapestFirst(candidates []candidate, suffixes []suffix, r Request, from string) (int, float64) {
	first, cost := -1, math.Inf(1)
	for j, c := range candidates {
		s := suffixes[j].cost + c.firstHopCost
		if r.FirstServer != "" && c.ID != r.FirstServer || r.FirstServer == "" && c.slotsFull || c.notTaken {
			continue
		}
		if from != "" && c.Zone != from {
			s += crossZoneHopCost.Seconds()
		}
		if s < cost {
			first, cost = j, s
		}
	}
	return first, cost
}

// cheapestSuffix returns the cheapest suffix from boundary i whose first hop is
// candidate j. Its cost is infinite if there is none.
func (t *Table) cheapestSuffix(candidates []candidate, best [][]suffix, boundaries []int, i, j int) suffix {
	c := &candidates[j]
	none := suffix{cost: math.Inf(1), next: -1}
	if c.full || boundaries[i] < c.Holds.From || boundaries[i] >= c.Holds.To {
		return none
	}
	result := none
	for k := i + 1; k < len(boundaries) && boundaries[k] <= c.Holds.To; k++ {
		own := c.perLayer*float64(boundaries[k]-boundaries[i]) + c.hopWait
		if part := (savoryworld.LayerRange{From: boundaries[i], To: boundaries[k]}); part != c.currentLayers {
			own += c.prefillPerLayer * float64(part.Count())
		}
		if boundaries[k] == t.engine.Layers {
			if own < result.cost {
				result = suffix{cost: own, next: -1, end: k}
			}
			continue
		}
		for n := range candidates {
			if n == j {
				continue
			}
			cost := own + best[k][n].cost
			if candidates[n].Zone != c.Zone {
				cost += crossZoneHopCost.Seconds()
			}
			if cost < result.cost {
				result = suffix{cost: cost, next: n, end: k}
			}
		}
	}
	return result
}

// buildChain returns the chain that begins with candidate j, its cost and its
// highest fill. The chain is nil if it would use an engine twice or has more
// than MaxHops hops.
func buildChain(candidates []candidate, best [][]suffix, boundaries []int, j, layers int, cost float64) (Chain, float64, float64) {
	var chain Chain
	fill := 0.0
	for i := 0; boundaries[i] < layers; {
		s := best[i][j]
		c := candidates[j]
		if chain.Uses(c.ID) || len(chain) == MaxHops {
			return nil, 0, 0
		}
		chain = append(chain, Hop{Server: c.ID, Address: c.Address, Layers: savoryworld.LayerRange{From: boundaries[i], To: boundaries[s.end]}})
		fill = max(fill, c.fill)
		i, j = s.end, s.next
		if j < 0 {
			break
		}
	}
	return chain, cost, fill
}
