package savorypath

// This file chooses among the zones that have a chain of their own.

import (
	"maps"
	"slices"

	"savorycart.example/savorycore/savoryspread"
)

// chooseZone returns a chain inside one zone and its cost in seconds. Between the cheapest
// chains of the zones savoryspread.Zone decides.
func (t *Table) chooseZone(byZone map[string][]candidate, r Request) (Choice, float64) {
	var choices []Choice
	var options []savoryspread.Option
	for _, zone := range slices.Sorted(maps.Keys(byZone)) {
		if chain, cost, fill := t.search(byZone[zone], r, ""); chain != nil {
			choices = append(choices, Choice{Chain: chain, Fill: fill})
			options = append(options, savoryspread.Option{Cost: cost, Home: zone == t.Zone})
		}
	}
	if len(choices) == 0 {
		return Choice{}, 0
	}
	i := savoryspread.Zone(options, t.draw())
	choices[i].Zones = len(choices)
	return choices[i], options[i].Cost
}

// draw returns a random number from 0 to 1, exclusive; 0.5 without a source of random
// numbers.
func (t *Table) draw() float64 {
	if t.Rand == nil {
		return 0.5
	}
	return t.Rand.Float64()
}
