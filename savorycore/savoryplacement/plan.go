// Package savoryplacement decides which engine holds which layers of a model.
//
// Layers are divided into units of equal size that fit the smallest kind of
// accelerator. Each engine holds a run of units. Engines of one availability
// zone form a group that covers all layers, so that chains stay inside the
// zone, where no shared link limits them; zones that are too small for that
// share a group. Within a group the fast engines cover all units once, and the
// others double the units with the least memory for requests, so that the loss
// of an engine leaves a replica or only one unit to load.
//
// The package decides only: it does no I/O and reads no clock.
package savoryplacement

import (
	"cmp"
	"slices"

	"savorycart.example/savorycore/savoryrouting"
	"savorycart.example/savorycore/savoryworld"
)

const (
	// unitPart is the part of the smallest accelerator's layers that one unit
	// may take; the rest is memory for requests.
	unitPart = 0.85
	// requestPart is the least request memory of an engine, as a part of the
	// memory of its layers, at which it takes another unit by choice.
	requestPart = 0.8
	// groupFill is the largest part of a group's layers that one copy of the
	// model may take; beyond it too little memory is left for requests.
	groupFill = 0.85
)

// Engine is one engine that can be placed.
type Engine struct {
	ID          string
	Zone        string
	Accelerator string
	// Holds is what the engine holds now.
	Holds savoryworld.LayerRange
}

// Plan maps the ID of an engine to the layers that it is to hold.
type Plan map[string]savoryworld.LayerRange

// Clone returns a copy of p.
func (p Plan) Clone() Plan {
	c := make(Plan, len(p))
	for id, layers := range p {
		c[id] = layers
	}
	return c
}

// planner holds the figures of one call.
type planner struct {
	engine *savoryrouting.Engine
	unit   int
	units  int
}

// New returns a plan for engines. An engine of unknown kind is left out.
func New(e *savoryrouting.Engine, engines []Engine) Plan {
	p := newPlanner(e, engines)
	plan := make(Plan)
	if p == nil {
		return plan
	}
	for _, group := range p.groups(engines) {
		p.place(group, plan)
	}
	return plan
}

// Extend returns the plan after engines joined or were lost. Engines that hold
// their part keep it, unless a unit of their group would be left without any.
func Extend(e *savoryrouting.Engine, old Plan, engines []Engine) Plan {
	p := newPlanner(e, engines)
	plan := make(Plan)
	if p == nil {
		return plan
	}
	for _, group := range p.groups(engines) {
		p.extend(group, old, plan)
	}
	return plan
}

func newPlanner(e *savoryrouting.Engine, engines []Engine) *planner {
	smallest := 0
	for _, engine := range engines {
		a := e.Accelerator(engine.Accelerator)
		if a == nil {
			continue
		}
		if n := e.MaxLayers(a); n > 0 && (smallest == 0 || n < smallest) {
			smallest = n
		}
	}
	if smallest == 0 || e.Layers == 0 {
		return nil
	}
	unit := max(1, int(float64(smallest)*unitPart))
	units := (e.Layers + unit - 1) / unit
	// Even units leave no small one at the end.
	unit = (e.Layers + units - 1) / units
	return &planner{engine: e, unit: unit, units: (e.Layers + unit - 1) / unit}
}

// groups divides the engines by availability zone; zones that cannot cover the
// model by themselves share one group.
func (p *planner) groups(engines []Engine) [][]Engine {
	byZone := make(map[string][]Engine)
	for _, e := range engines {
		if p.engine.Accelerator(e.Accelerator) != nil {
			byZone[e.Zone] = append(byZone[e.Zone], e)
		}
	}
	zones := make([]string, 0, len(byZone))
	for zone := range byZone {
		zones = append(zones, zone)
	}
	slices.Sort(zones)
	var groups [][]Engine
	var small []Engine
	for _, zone := range zones {
		if p.covers(byZone[zone]) {
			groups = append(groups, byZone[zone])
		} else {
			small = append(small, byZone[zone]...)
		}
	}
	switch {
	case len(small) == 0:
	case p.covers(small) || len(groups) == 0:
		groups = append(groups, small)
	default:
		// Too few for a copy of their own: they double parts of the first group.
		groups[0] = append(slices.Clone(groups[0]), small...)
	}
	return groups
}

// covers reports whether a group can hold a copy with memory for requests.
func (p *planner) covers(group []Engine) bool {
	layers, units := 0, 0
	for _, e := range group {
		n := p.engine.MaxLayers(p.engine.Accelerator(e.Accelerator))
		layers += n
		units += n / p.unit
	}
	return float64(p.engine.Layers) <= groupFill*float64(layers) && units >= p.units
}

// run is an engine with the number of units it is to hold.
type run struct {
	Engine
	kind  *savoryrouting.Accelerator
	units int
	most  int
}

// room returns the request memory per unit in tokens.
func (p *planner) room(r *run, units int) float64 {
	return p.engine.Room(r.kind, units*p.unit) / float64(units*p.unit)
}

// runs returns the engines of a group with their preferred number of units, the
// fastest first.
func (p *planner) runs(group []Engine) []*run {
	var runs []*run
	for _, e := range group {
		r := &run{Engine: e, kind: p.engine.Accelerator(e.Accelerator)}
		r.most = min(p.units, p.engine.MaxLayers(r.kind)/p.unit)
		if r.most == 0 {
			continue
		}
		r.units = 1
		for r.units < r.most && p.engine.Room(r.kind, (r.units+1)*p.unit)*p.layerBytes() >=
			requestPart*float64((r.units+1)*p.unit)*p.engine.LayerMB*1e6 {
			r.units++
		}
		runs = append(runs, r)
	}
	slices.SortStableFunc(runs, func(a, b *run) int {
		return cmp.Or(cmp.Compare(a.kind.StepFactor, b.kind.StepFactor), cmp.Compare(a.ID, b.ID))
	})
	return runs
}

// layerBytes is the request memory of one token on one layer.
func (p *planner) layerBytes() float64 {
	return float64(p.engine.TokenBytes) / float64(max(1, p.engine.Layers))
}

// place plans a group from nothing.
func (p *planner) place(group []Engine, plan Plan) {
	runs := p.runs(group)
	p.widen(runs)
	rooms := make([]float64, p.units)
	next := 0
	for _, r := range runs {
		at := next
		if next < p.units {
			r.units = min(r.units, p.units-next)
			next += r.units
		} else {
			r.units, at = 1, p.weakest(rooms)
		}
		p.assign(r, at, rooms, plan)
	}
}

// widen raises the number of units until a group covers all of them, those with
// the most memory for requests left first.
func (p *planner) widen(runs []*run) {
	total := 0
	for _, r := range runs {
		total += r.units
	}
	for total < p.units {
		var best *run
		for _, r := range runs {
			if r.units < r.most && (best == nil || p.room(r, r.units+1) > p.room(best, best.units+1)) {
				best = r
			}
		}
		if best == nil {
			return
		}
		best.units++
		total++
	}
}

// weakest returns the unit with the least memory for requests.
func (p *planner) weakest(rooms []float64) int {
	at := 0
	for i, room := range rooms {
		if room < rooms[at] {
			at = i
		}
	}
	return at
}

// assign gives r its units from unit at on.
func (p *planner) assign(r *run, at int, rooms []float64, plan Plan) {
	plan[r.ID] = savoryworld.LayerRange{From: at * p.unit, To: min(p.engine.Layers, (at+r.units)*p.unit)}
	for u := at; u < min(p.units, at+r.units); u++ {
		rooms[u] += p.room(r, r.units)
	}
}

// extend keeps the parts of a group's engines and fills what is missing.
func (p *planner) extend(group []Engine, old, plan Plan) {
	runs := p.runs(group)
	replicas := make([]int, p.units)
	rooms := make([]float64, p.units)
	var free []*run
	kept := make(map[string]*run)
	for _, r := range runs {
		layers, ok := old[r.ID]
		if !ok && !r.Holds.Empty() {
			layers, ok = r.Holds, true
		}
		if !ok || layers.Empty() || layers.From%p.unit != 0 {
			free = append(free, r)
			continue
		}
		r.units = min(r.most, max(1, (layers.Count()+p.unit-1)/p.unit))
		plan[r.ID] = layers
		kept[r.ID] = r
		for u := layers.From / p.unit; u < min(p.units, layers.From/p.unit+r.units); u++ {
			replicas[u]++
			rooms[u] += p.room(r, r.units)
		}
	}
	for _, r := range free {
		at := p.weakest(rooms)
		// Takes neighbours that lack any replica as well, as far as they fit.
		r.units = 1
		if replicas[at] == 0 {
			for r.units < r.most && at+r.units < p.units && replicas[at+r.units] == 0 {
				r.units++
			}
		}
		p.assign(r, at, rooms, plan)
		for u := at; u < at+r.units; u++ {
			replicas[u]++
		}
	}
	p.cover(runs, replicas, kept, plan)
}

// cover moves engines that only double other units to units without a replica.
func (p *planner) cover(runs []*run, replicas []int, kept map[string]*run, plan Plan) {
	for u := range p.units {
		if replicas[u] > 0 {
			continue
		}
		best := p.spare(runs, replicas, plan)
		if best == nil {
			return
		}
		for v := plan[best.ID].From / p.unit; v < plan[best.ID].From/p.unit+best.units; v++ {
			replicas[v]--
		}
		delete(kept, best.ID)
		best.units = 1
		plan[best.ID] = savoryworld.LayerRange{From: u * p.unit, To: min(p.engine.Layers, (u+1)*p.unit)}
		replicas[u]++
	}
}

// spare returns the engine whose units all have another replica, with the most
// replicas, the slowest first: it is missed least.
func (p *planner) spare(runs []*run, replicas []int, plan Plan) *run {
	var best *run
	most := 1
	for i := len(runs) - 1; i >= 0; i-- {
		r := runs[i]
		layers, ok := plan[r.ID]
		if !ok {
			continue
		}
		least := p.units
		for u := layers.From / p.unit; u < min(p.units, layers.From/p.unit+r.units); u++ {
			least = min(least, replicas[u])
		}
		if least > most && least <= len(runs) {
			best, most = r, least
		}
	}
	return best
}
