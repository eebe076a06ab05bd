// Package savoryplacement decides which engine holds which layers of a model.
//
// Layers are divided into units of equal size that fit the smallest kind of
// accelerator, and each engine holds a run of units. Engines of one
// availability zone form a group that covers all layers, so that chains stay
// inside the zone, where no shared link limits them; zones that are too small
// for that share a group.
//
// Within a group a local search weighs the memory for requests of each unit,
// and what is left of it when the unit's best engine is lost. A plan in force
// is changed only where that gains clearly more than the load costs.
//
// The package decides only: it does no I/O and reads no clock.
package savoryplacement

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"savorycart.example/savorycore/savoryrouting"
	"savorycart.example/savorycore/savoryworld"
)

const (
	// unitPart is the part of the smallest accelerator's layers that one unit
	// may take; the rest is memory for requests.
	unitPart = 0.85
	// groupFill is the largest part of a group's layers that one copy of the
	// model may take; beyond it too little memory is left for requests.
	groupFill = 0.85
	// lossWeight is the weight of a unit's memory after the loss of its best
	// engine, beside 1 for its memory now.
	lossWeight = 0.5
	// leastRoom is the part of the mean memory per unit that is added to each,
	// which bounds the worth of a first replica.
	leastRoom = 0.02
	// speedWeight is the weight of the time of a pass over the fastest engines,
	// in multiples of the fastest kind.
	speedWeight = 0.3
	// moveCost is the least gain for which an engine that serves is moved.
	moveCost = 2.0
	// maxMoves bounds the moves of one replan, so that a group is not emptied.
	maxMoves = 3
	// maxSearch bounds the steps of the search for a first plan.
	maxSearch = 200
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

// planner holds the figures of one call.
type planner struct {
	engine *savoryrouting.Engine
	unit   int
	units  int
}

// run is an engine with the units that it is to hold.
type run struct {
	Engine
	kind *savoryrouting.Accelerator
	// most is the number of units that fit.
	most int
	// at is the first unit, n their number; n is 0 for an engine without any.
	at int
	n  int
	// rooms is the request memory per unit in tokens, by number of units.
	rooms []float64
	// moved says that the run was changed in this call.
	moved bool
}

// New returns a plan for engines that hold nothing. Engines of an unknown kind
// are left out.
func New(e *savoryrouting.Engine, engines []Engine) Plan {
	return replan(e, engines, nil, 0, maxSearch)
}

// Extend returns the plan after engines joined or were lost. Engines keep their
// part unless a move gains clearly more than the load costs.
func Extend(e *savoryrouting.Engine, old Plan, engines []Engine) Plan {
	return replan(e, engines, old, moveCost, maxMoves)
}

func replan(e *savoryrouting.Engine, engines []Engine, old Plan, cost float64, moves int) Plan {
	plan := make(Plan)
	p := newPlanner(e, engines)
	if p == nil {
		return plan
	}
	for _, group := range p.groups(engines) {
		runs := p.runs(group)
		free := p.keep(runs, old)
		p.settle(runs, free)
		p.search(runs, cost, moves)
		for _, r := range runs {
			if r.n > 0 {
				plan[r.ID] = p.layers(r)
			}
		}
	}
	return plan
}

func newPlanner(e *savoryrouting.Engine, engines []Engine) *planner {
	smallest := 0
	for i := range e.Accelerators {
		// All kinds of the service count, present or not: units must not change
		// while engines come and go.
		if n := e.MaxLayers(&e.Accelerators[i]); n > 0 && (smallest == 0 || n < smallest) {
			smallest = n
		}
	}
	if smallest == 0 || e.Layers == 0 || len(engines) == 0 {
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
	var groups [][]Engine
	var small []Engine
	for _, zone := range slices.Sorted(maps.Keys(byZone)) {
		if p.covers(byZone[zone]) {
			groups = append(groups, byZone[zone])
		} else {
			small = append(small, byZone[zone]...)
		}
	}
	if len(small) > 0 {
		groups = append(groups, small)
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

// runs returns the engines of a group that can hold a unit, the fastest first.
func (p *planner) runs(group []Engine) []*run {
	var runs []*run
	for _, e := range group {
		r := &run{Engine: e, kind: p.engine.Accelerator(e.Accelerator)}
		r.most = min(p.units, p.engine.MaxLayers(r.kind)/p.unit)
		r.rooms = make([]float64, r.most+1)
		for n := 1; n <= r.most; n++ {
			r.rooms[n] = p.engine.Room(r.kind, n*p.unit) / float64(n*p.unit)
		}
		if r.most > 0 {
			runs = append(runs, r)
		}
	}
	slices.SortStableFunc(runs, func(a, b *run) int {
		return cmp.Or(cmp.Compare(a.kind.StepFactor, b.kind.StepFactor), cmp.Compare(a.ID, b.ID))
	})
	return runs
}

// layers returns the layers of a run.
func (p *planner) layers(r *run) savoryworld.LayerRange {
	return savoryworld.LayerRange{From: r.at * p.unit, To: min(p.engine.Layers, (r.at+r.n)*p.unit)}
}

// keep gives each engine what the old plan says or what it holds, and returns
// those that have neither.
func (p *planner) keep(runs []*run, old Plan) []*run {
	var free []*run
	for _, r := range runs {
		layers, ok := old[r.ID]
		if !ok {
			layers = r.Holds
		}
		n := (layers.Count() + p.unit - 1) / p.unit
		if layers.Empty() || layers.From%p.unit != 0 || n > r.most || layers.To > p.engine.Layers {
			free = append(free, r)
			continue
		}
		r.at, r.n = layers.From/p.unit, n
	}
	return free
}

// settle gives the free engines their best units, one after the other.
func (p *planner) settle(runs, free []*run) {
	for _, r := range free {
		p.best(runs, r)
	}
}

// best gives a run the units that raise the worth of the group most, and returns
// the gain.
func (p *planner) best(runs []*run, r *run) float64 {
	at, n := r.at, r.n
	before := p.worth(runs)
	best, bestAt, bestN := math.Inf(-1), at, n
	for count := 1; count <= r.most; count++ {
		for first := 0; first+count <= p.units; first++ {
			r.at, r.n = first, count
			if worth := p.worth(runs); worth > best {
				best, bestAt, bestN = worth, first, count
			}
		}
	}
	r.at, r.n = bestAt, bestN
	return best - before
}

// search moves engines while the worth of the group rises by more than cost, at
// most moves times.
func (p *planner) search(runs []*run, cost float64, moves int) {
	for range moves {
		var winner *run
		bestGain, bestAt, bestN := max(cost, 1e-6), 0, 0
		for _, r := range runs {
			if r.moved && cost > 0 {
				continue
			}
			at, n := r.at, r.n
			if gain := p.best(runs, r); gain > bestGain {
				winner, bestGain, bestAt, bestN = r, gain, r.at, r.n
			}
			r.at, r.n = at, n
		}
		if winner == nil {
			return
		}
		winner.at, winner.n, winner.moved = bestAt, bestN, true
	}
}

// worth is higher the more memory for requests each unit has, now and without
// its best engine, and the faster its engines are. The weakest units count most.
func (p *planner) worth(runs []*run) float64 {
	total := make([]float64, p.units)
	largest := make([]float64, p.units)
	fastest := make([]float64, p.units)
	mean := 0.0
	for _, r := range runs {
		// The scale does not depend on the runs.
		mean += r.rooms[1]
		for u := r.at; u < r.at+r.n; u++ {
			room := r.rooms[r.n]
			total[u] += room
			largest[u] = max(largest[u], room)
			if fastest[u] == 0 || r.kind.StepFactor < fastest[u] {
				fastest[u] = r.kind.StepFactor
			}
		}
	}
	mean /= float64(p.units)
	if mean == 0 {
		mean = 1
	}
	worth := 0.0
	for u := range p.units {
		worth -= 1 / (total[u]/mean + leastRoom)
		worth -= lossWeight / ((total[u]-largest[u])/mean + leastRoom)
		worth -= speedWeight * fastest[u] / p.fastestKind()
	}
	return worth
}

// fastestKind returns the least step factor of the service.
func (p *planner) fastestKind() float64 {
	least := math.Inf(1)
	for _, a := range p.engine.Accelerators {
		least = min(least, a.StepFactor)
	}
	return max(least, 1e-3)
}
