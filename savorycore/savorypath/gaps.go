package savorypath

// This file defines Gaps, which summarizes the layers because
// of which there is no chain.

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// Gaps returns a summary for the log. For each zone it gives the number of
// layers that no usable engine holds and the number of layers that only full
// engines hold, each with the first such layer, or -1 if there is none.
func (t *Table) Gaps(r Request, now time.Time) string {
	if t.engine == nil {
		return "no engine service"
	}
	const missing, full, free = 0, 1, 2
	zones := make(map[string][]int)
	for i := range t.engines {
		e := &t.engines[i]
		if zones[e.Zone] == nil {
			zones[e.Zone] = make([]int, t.engine.Layers)
		}
		if e.Accelerator == nil || r.Avoid != nil && r.Avoid(e.ID) {
			continue
		}
		state := free
		if t.candidate(e, r, now).full {
			state = full
		}
		for l := e.Holds.From; l < min(e.Holds.To, t.engine.Layers); l++ {
			zones[e.Zone][l] = max(zones[e.Zone][l], state)
		}
	}
	var parts []string
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		counts := [3]int{}
		first := [3]int{-1, -1, -1}
		for l, state := range zones[zone] {
			counts[state]++
			if first[state] < 0 {
				first[state] = l
			}
		}
		parts = append(parts, fmt.Sprintf("%s:lacks=%d@%d,full=%d@%d", zone, counts[missing], first[missing], counts[full], first[full]))
	}
	return strings.Join(parts, " ")
}
