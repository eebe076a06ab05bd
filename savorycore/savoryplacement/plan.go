// Package savoryplacement decides which engine holds which layers of a model.
//
// Layers are divided into units of equal size that fit the smallest kind of
// accelerator, and each engine holds a run of units. Small units leave more
// memory for requests on small accelerators, large ones make short chains; the
// first plan tries several sizes. Engines of one availability zone form a group
// that covers all layers, so that chains stay inside the zone, where no shared
// link limits them; zones that are too small for that share a group.
//
// Within a group a local search weighs the rate of requests that the group can
// carry: the memory for requests of its weakest units, divided by the time that
// a request holds it. Besides, it weighs what is left of each unit's memory when
// its best engine is lost. A plan in force is changed only where that gains
// clearly more than the load costs.
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
	// mostUnits is the largest number of units that a first plan tries: each may
	// be a hop of a chain, and engines accept 32.
	mostUnits = 20
	// leastRequests is the least number of usual requests for which an engine
	// keeps memory; with less it would refuse nearly all of them.
	leastRequests = 24
	// roomSteps is the number of sizes of request memory that a first plan tries,
	// each half of the one before.
	roomSteps = 6
	// groupFill is the largest part of a group's layers that one copy of the
	// model may take; beyond it too little memory is left for requests.
	groupFill = 0.85
	// lossWeight is the weight of a unit's memory after the loss of its best
	// engine, beside 1 for the rate that the group carries now: few losses pass without one,
	// and memory beyond the load gains little.
	lossWeight = 1.2
	// leastRoom and noRoom are the parts of the group's memory in tokens that are
	// added after a loss and now; they bound the worth of a first replica.
	leastRoom = 0.02
	noRoom    = 0.001
	// moveCost is the least gain, as a logarithm of the rate, for which an engine
	// that serves is moved. coverCost is that while other moves are under way: it
	// is only reached by units without any engine.
	moveCost  = 0.1
	coverCost = 2.0
	// coverWorth is taken off for each unit without any engine: without it the
	// group carries nothing.
	coverWorth = 4.0
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

// Plan says which layers each engine is to hold.
type Plan struct {
	// Unit is the number of layers of a unit.
	Unit int
	// Layers maps the ID of an engine to its layers.
	Layers map[string]savoryworld.LayerRange
}

// Equal reports whether two plans say the same.
func (p Plan) Equal(q Plan) bool { return p.Unit == q.Unit && maps.Equal(p.Layers, q.Layers) }

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
	best, bestWorth := Plan{}, math.Inf(-1)
	largest := largestUnit(e)
	for unit := max(1, (e.Layers+mostUnits-1)/mostUnits); unit <= largest; unit++ {
		p := newPlanner(e, unit)
		plan, worth := Plan{Unit: unit, Layers: make(map[string]savoryworld.LayerRange)}, 0.0
		for _, group := range p.groups(engines) {
			runs := p.runs(group)
			worth += p.begin(runs)
			p.write(runs, plan)
		}
		if worth > bestWorth {
			best, bestWorth = plan, worth
		}
	}
	if best.Layers == nil {
		return Plan{Layers: make(map[string]savoryworld.LayerRange)}
	}
	p := newPlanner(e, best.Unit)
	return p.improve(best, engines, 0, maxSearch)
}

// Extend returns the plan after engines joined or were lost. Engines keep their
// part unless a move gains clearly more than the load costs. While earlier moves
// are under way only units without any engine are mended. An old plan without
// units is taken from what the engines hold.
func Extend(e *savoryrouting.Engine, old Plan, engines []Engine) Plan {
	if old.Unit == 0 {
		old = held(engines)
	}
	if old.Unit == 0 {
		return New(e, engines)
	}
	cost := moveCost
	for _, engine := range engines {
		if layers, ok := old.Layers[engine.ID]; ok && layers != engine.Holds {
			cost = coverCost
		}
	}
	return newPlanner(e, old.Unit).improve(old, engines, cost, maxMoves)
}

// held returns the plan that engines follow by what they hold.
func held(engines []Engine) Plan {
	plan := Plan{Layers: make(map[string]savoryworld.LayerRange)}
	for _, e := range engines {
		if !e.Holds.Empty() {
			plan.Unit = gcd(gcd(plan.Unit, e.Holds.From), e.Holds.Count())
			plan.Layers[e.ID] = e.Holds
		}
	}
	return plan
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

// improve returns the plan with its free engines placed and up to moves others
// moved for a gain above cost.
func (p *planner) improve(old Plan, engines []Engine, cost float64, moves int) Plan {
	plan := Plan{Unit: old.Unit, Layers: make(map[string]savoryworld.LayerRange)}
	for _, group := range p.groups(engines) {
		runs := p.runs(group)
		p.settle(runs, p.keep(runs, old))
		p.search(runs, cost, moves)
		p.write(runs, plan)
	}
	return plan
}

// write adds the runs to a plan.
func (p *planner) write(runs []*run, plan Plan) {
	for _, r := range runs {
		if r.n > 0 {
			plan.Layers[r.ID] = p.layers(r)
		}
	}
}

// largestUnit returns the most layers of a unit. All kinds of the service
// count, present or not.
func largestUnit(e *savoryrouting.Engine) int {
	smallest := 0
	for i := range e.Accelerators {
		if n := e.MaxLayers(&e.Accelerators[i]); n > 0 && (smallest == 0 || n < smallest) {
			smallest = n
		}
	}
	if smallest == 0 || e.Layers == 0 {
		return 0
	}
	return max(1, int(float64(smallest)*unitPart))
}

func newPlanner(e *savoryrouting.Engine, unit int) *planner {
	return &planner{engine: e, unit: unit, units: min(maxUnits, (e.Layers+unit-1)/unit)}
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
		least := float64(leastRequests * (p.engine.UsualPrompt + p.engine.UsualAnswer))
		for r.most > 1 && r.rooms[r.most] < least {
			r.most--
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
		layers, ok := old.Layers[r.ID]
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

// begin plans a group from nothing and returns the worth. It lays the fast
// engines side by side, each with as many units as leave it a size of request
// memory, and takes the best of several sizes.
func (p *planner) begin(runs []*run) float64 {
	type part struct{ at, n int }
	best, bestWorth := make([]part, len(runs)), math.Inf(-1)
	largest := 0.0
	for _, r := range runs {
		largest = max(largest, r.rooms[1])
	}
	for step := range roomSteps {
		p.tile(runs, largest/float64(int(1)<<step))
		if worth := p.worth(runs); worth > bestWorth {
			bestWorth = worth
			for j, r := range runs {
				best[j] = part{r.at, r.n}
			}
		}
	}
	for j, r := range runs {
		r.at, r.n = best[j].at, best[j].n
	}
	return bestWorth
}

// tile lays runs side by side until all units are held once, each with the most
// units that leave it room for so many tokens, and gives the rest their best
// units.
func (p *planner) tile(runs []*run, room float64) {
	next := 0
	var rest []*run
	for _, r := range runs {
		r.at, r.n = 0, 0
		if next == p.units {
			rest = append(rest, r)
			continue
		}
		r.at, r.n = next, 1
		for r.n < min(r.most, p.units-next) && r.rooms[r.n+1] >= room {
			r.n++
		}
		next += r.n
	}
	p.settle(runs, rest)
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

// worth is the logarithm of the rate of requests that a group carries, to a
// scale, with the part for the loss of engines.
func (p *planner) worth(runs []*run) float64 {
	var total, largest, slowness [maxUnits]float64
	scale := 0.0
	for _, r := range runs {
		// The scale depends neither on the runs nor on the unit.
		scale += r.kind.MemoryMB
		for u := r.at; u < r.at+r.n; u++ {
			room := r.rooms[r.n]
			total[u] += room
			largest[u] = max(largest[u], room)
			slowness[u] += room * r.kind.StepFactor
		}
	}
	scale = max(1, scale*1e6/float64(max(1, p.engine.TokenBytes)))
	weakest, pass, loss, uncovered := 0.0, 0.0, 0.0, 0
	for u := range p.units {
		room := total[u]/scale + noRoom
		weakest += 1 / (room * room) / float64(p.units)
		if total[u] == 0 {
			uncovered++
			pass += p.slowest()
		} else {
			// Requests spread over the engines by their memory.
			pass += slowness[u] / total[u]
		}
		loss += math.Log((total[u]-largest[u])/scale + leastRoom)
	}
	return -math.Log(weakest)/2 - math.Log(max(pass/float64(p.units), 1e-9)) + lossWeight*loss/float64(p.units) - coverWorth*float64(uncovered)
}

// slowest returns the largest step factor of the service.
func (p *planner) slowest() float64 {
	most := 0.0
	for _, a := range p.engine.Accelerators {
		most = max(most, a.StepFactor)
	}
	return most
}

// maxUnits bounds the units of a model.
const maxUnits = 256
