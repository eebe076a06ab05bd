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
// carry: by the memory for requests of its units, divided by the time that a
// request holds it, and by the processor time that a request takes at them.
// Besides, it weighs what is left of each unit when its best engine is lost. A plan in force is changed only where that gains
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
	// maxUnitFraction is the part of the smallest accelerator's layers that one unit
	// may take; the rest is memory for requests.
	maxUnitFraction = 0.85
	// maxPlanUnits is the largest number of units that a first plan tries: each may
	// be a hop of a chain, and engines accept 32.
	maxPlanUnits = 20
	// minRequests is the least number of usual requests for which an engine
	// keeps memory; with less it would refuse nearly all of them.
	minRequests = 40
	// memorySteps is the number of sizes of request memory that a first plan tries,
	// each half of the one before.
	memorySteps = 6
	// maxGroupFraction is the largest part of a group's layers that one copy of the
	// model may take; beyond it too little memory is left for requests.
	maxGroupFraction = 0.85
	// lossWeight is the weight of a unit's memory after the loss of its best
	// engine, beside 1 for the rate that the group carries now: few losses pass without one,
	// and memory beyond the load gains little.
	lossWeight = 1.2
	// lossRateFloor and noRate are the requests per second that are added after a loss
	// and now; they bound the worth of a first replica.
	lossRateFloor    = 2.0
	currentRateFloor = 0.1
	// busyFactor stretches the time of an answer over that of its steps alone: in
	// a busy engine each step carries many requests and prompts are read between.
	busyFactor = 2.0
	// minMoveGain is the least gain, as a logarithm of the rate, for which an engine
	// that serves is moved. coverCost is that while other moves are under way: it
	// is only reached by units without any engine.
	minMoveGain             = 0.1
	minMoveGainWhileLoading = 2.0
	// uncoveredPenalty is taken off for each unit without any engine: without it the
	// group carries nothing.
	uncoveredPenalty = 4.0
	// maxMoves bounds the moves of one replan, so that a group is not emptied.
	maxMoves = 3
	// maxSearchMoves bounds the steps of the search for a first plan.
	maxSearchMoves = 200
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
	engine     *savoryrouting.Engine
	unitLayers int
	unitCount  int
}

// placement is an engine with the units that it is to hold.
type placement struct {
	Engine
	kind *savoryrouting.Accelerator
	// maxLength is the number of units that fit.
	maxLength int
	// firstUnit is the first unit, n their number; n is 0 for an engine without any.
	firstUnit int
	length    int
	// memoryPerUnit is the request memory per unit in tokens, by number of units.
	memoryPerUnit []float64
	// moved says that the run was changed in this call, transit that the engine
	// does not hold its part yet.
	moved   bool
	pending bool
}

// holdsUnit reports whether the engine holdsUnit the layers of a unit now.
func (r *placement) holdsUnit(unit, size int) bool {
	return r.Holds.From <= unit*size && (unit+1)*size <= r.Holds.To
}

// assigned reports whether the run assigned a unit.
func (r *placement) assigned(unit int) bool {
	return r.firstUnit <= unit && unit < r.firstUnit+r.length
}

// New returns a plan for engines that hold nothing. Engines of an unknown kind
// are left out.
func New(e *savoryrouting.Engine, engines []Engine) Plan {
	best, bestScore := Plan{}, math.Inf(-1)
	largest := largestUnit(e)
	for unit := max(1, (e.Layers+maxPlanUnits-1)/maxPlanUnits); unit <= largest; unit++ {
		p := newPlanner(e, unit)
		if best.Layers != nil && !p.keepsMinMemory() {
			break
		}
		plan, score := Plan{Unit: unit, Layers: make(map[string]savoryworld.LayerRange)}, 0.0
		for _, group := range p.groups(engines) {
			placements := p.placements(group)
			score += p.planGroup(placements)
			p.writePlan(placements, plan)
		}
		if score > bestScore {
			best, bestScore = plan, score
		}
	}
	if best.Layers == nil {
		return Plan{Layers: make(map[string]savoryworld.LayerRange)}
	}
	p := newPlanner(e, best.Unit)
	return p.improve(best, engines, 0, maxSearchMoves)
}

// Extend returns the plan after engines joined or were lost. Engines keep their
// part unless a move gains clearly more than the load costs. While earlier moves
// are under way only units without any engine are mended. An old plan without
// units is taken from what the engines hold.
func Extend(e *savoryrouting.Engine, old Plan, engines []Engine) Plan {
	if old.Unit == 0 {
		old = heldPlan(engines)
	}
	if old.Unit == 0 {
		return New(e, engines)
	}
	minGain := minMoveGain
	for _, engine := range engines {
		if layers, ok := old.Layers[engine.ID]; ok && layers != engine.Holds {
			minGain = minMoveGainWhileLoading
		}
	}
	return newPlanner(e, old.Unit).improve(old, engines, minGain, maxMoves)
}

// heldPlan returns the plan that engines follow by what they hold.
func heldPlan(engines []Engine) Plan {
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
func (p *planner) improve(old Plan, engines []Engine, minGain float64, moves int) Plan {
	plan := Plan{Unit: old.Unit, Layers: make(map[string]savoryworld.LayerRange)}
	for _, group := range p.groups(engines) {
		placements := p.placements(group)
		p.placeFree(placements, p.keepAssigned(placements, old))
		p.search(placements, minGain, moves)
		p.writePlan(placements, plan)
	}
	return plan
}

// writePlan adds the runs to a plan.
func (p *planner) writePlan(placements []*placement, plan Plan) {
	for _, r := range placements {
		if r.length > 0 {
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
	return max(1, int(float64(smallest)*maxUnitFraction))
}

func newPlanner(e *savoryrouting.Engine, unit int) *planner {
	return &planner{engine: e, unitLayers: unit, unitCount: min(maxUnits, (e.Layers+unit-1)/unit)}
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
		units += n / p.unitLayers
	}
	return float64(p.engine.Layers) <= maxGroupFraction*float64(layers) && units >= p.unitCount
}

// placements returns the engines of a group that can hold a unit, the fastest first.
func (p *planner) placements(group []Engine) []*placement {
	var placements []*placement
	for _, e := range group {
		r := &placement{Engine: e, kind: p.engine.Accelerator(e.Accelerator)}
		r.maxLength = min(p.unitCount, p.engine.MaxLayers(r.kind)/p.unitLayers)
		r.memoryPerUnit = make([]float64, r.maxLength+1)
		for n := 1; n <= r.maxLength; n++ {
			r.memoryPerUnit[n] = p.engine.RequestMemory(r.kind, n*p.unitLayers) / float64(n*p.unitLayers)
		}
		for r.maxLength > 1 && r.memoryPerUnit[r.maxLength] < p.minMemoryPerUnit() {
			r.maxLength--
		}
		if r.maxLength > 0 {
			placements = append(placements, r)
		}
	}
	slices.SortStableFunc(placements, func(a, b *placement) int {
		return cmp.Or(cmp.Compare(a.kind.StepFactor, b.kind.StepFactor), cmp.Compare(a.ID, b.ID))
	})
	return placements
}

// minMemoryPerUnit returns the least request memory per unit in tokens.
func (p *planner) minMemoryPerUnit() float64 {
	return float64(minRequests * (p.engine.UsualPrompt + p.engine.UsualAnswer))
}

// keepsMinMemory reports whether every kind of accelerator that can hold a unit keeps the
// least memory beside it.
func (p *planner) keepsMinMemory() bool {
	for i := range p.engine.Accelerators {
		a := &p.engine.Accelerators[i]
		if p.engine.MaxLayers(a) >= p.unitLayers && p.engine.RequestMemory(a, p.unitLayers)/float64(p.unitLayers) < p.minMemoryPerUnit() {
			return false
		}
	}
	return true
}

// layers returns the layers of a run.
func (p *planner) layers(r *placement) savoryworld.LayerRange {
	return savoryworld.LayerRange{From: r.firstUnit * p.unitLayers, To: min(p.engine.Layers, (r.firstUnit+r.length)*p.unitLayers)}
}

// keepAssigned gives each engine what the old plan says or what it holds, and returns
// those that have neither.
func (p *planner) keepAssigned(placements []*placement, old Plan) []*placement {
	var free []*placement
	for _, r := range placements {
		layers, ok := old.Layers[r.ID]
		if !ok {
			layers = r.Holds
		}
		n := (layers.Count() + p.unitLayers - 1) / p.unitLayers
		if layers.Empty() || layers.From%p.unitLayers != 0 || n > r.maxLength || layers.To > p.engine.Layers {
			free = append(free, r)
			continue
		}
		r.firstUnit, r.length = layers.From/p.unitLayers, n
		r.pending = layers != r.Holds
	}
	return free
}

// planGroup plans a group from nothing and returns the worth. It lays the fast
// engines side by side, each with as many units as leave it a size of request
// memory, and takes the best of several sizes.
func (p *planner) planGroup(placements []*placement) float64 {
	type span struct{ at, n int }
	best, bestScore := make([]span, len(placements)), math.Inf(-1)
	largest := 0.0
	for _, r := range placements {
		largest = max(largest, r.memoryPerUnit[1])
	}
	for step := range memorySteps {
		p.coverOnce(placements, largest/float64(int(1)<<step))
		if score := p.score(placements); score > bestScore {
			bestScore = score
			for j, r := range placements {
				best[j] = span{r.firstUnit, r.length}
			}
		}
	}
	for j, r := range placements {
		r.firstUnit, r.length = best[j].at, best[j].n
	}
	return bestScore
}

// coverOnce lays runs side by side until all units are held once, each with the most
// units that leave it room for so many tokens, and gives the rest their best
// units.
func (p *planner) coverOnce(placements []*placement, minMemory float64) {
	next := 0
	var rest []*placement
	for _, r := range placements {
		r.firstUnit, r.length = 0, 0
		if next == p.unitCount {
			rest = append(rest, r)
			continue
		}
		r.firstUnit, r.length = next, 1
		for r.length < min(r.maxLength, p.unitCount-next) && r.memoryPerUnit[r.length+1] >= minMemory {
			r.length++
		}
		next += r.length
	}
	p.placeFree(placements, rest)
}

// placeFree gives the free engines their best units, one after the other.
func (p *planner) placeFree(placements, free []*placement) {
	for _, r := range free {
		p.placeBest(placements, r)
	}
}

// placeBest gives a run the units that raise the worth of the group most, and returns
// the gain.
func (p *planner) placeBest(placements []*placement, r *placement) float64 {
	at, n := r.firstUnit, r.length
	before := p.score(placements)
	best, bestAt, bestN := math.Inf(-1), at, n
	for count := 1; count <= r.maxLength; count++ {
		for first := 0; first+count <= p.unitCount; first++ {
			r.firstUnit, r.length = first, count
			if p.uncoversUnit(placements, r) {
				continue
			}
			if score := p.score(placements); score > best {
				best, bestAt, bestN = score, first, count
			}
		}
	}
	r.firstUnit, r.length = bestAt, bestN
	return best - before
}

// uncoversUnit reports whether a run gives up a unit that no other engine serves
// now and goes on serving: until the others have loaded it no chain would run.
func (p *planner) uncoversUnit(placements []*placement, r *placement) bool {
	for u := r.Holds.From / p.unitLayers; u*p.unitLayers < r.Holds.To; u++ {
		if r.assigned(u) || !r.holdsUnit(u, p.unitLayers) {
			continue
		}
		if !slices.ContainsFunc(placements, func(q *placement) bool { return q != r && q.assigned(u) && q.holdsUnit(u, p.unitLayers) }) {
			return true
		}
	}
	return false
}

// search moves engines while the worth of the group rises by more than cost, at
// most moves times.
func (p *planner) search(placements []*placement, minGain float64, moves int) {
	for range moves {
		var winner *placement
		bestGain, bestAt, bestN := max(minGain, 1e-6), 0, 0
		for _, r := range placements {
			if (r.moved || r.pending) && minGain > 0 {
				continue
			}
			at, n := r.firstUnit, r.length
			if gain := p.placeBest(placements, r); gain > bestGain {
				winner, bestGain, bestAt, bestN = r, gain, r.firstUnit, r.length
			}
			r.firstUnit, r.length = at, n
		}
		if winner == nil {
			return
		}
		winner.firstUnit, winner.length, winner.moved = bestAt, bestN, true
	}
}

// score is the logarithm of the rate of requests that a group carries, with the
// part for the loss of engines. The weakest units count most.
func (p *planner) score(placements []*placement) float64 {
	var units [maxUnits]unitSum
	for _, r := range placements {
		rate := 1 / max(1e-9, p.requestTime(r.kind, r.length))
		for u := r.firstUnit; u < r.firstUnit+r.length; u++ {
			units[u].add(r.memoryPerUnit[r.length], rate, r.kind.StepFactor)
		}
	}
	passFactor, uncovered := 0.0, 0
	for u := range p.unitCount {
		if units[u].totalMemory == 0 {
			uncovered++
			passFactor += p.maxStepFactor()
		} else {
			// Requests spread over the engines by their memory.
			passFactor += units[u].weightedStepFactor / units[u].totalMemory
		}
	}
	e := p.engine
	// A request holds its memory for all passes of its answer.
	step := e.StepTime.Seconds() * passFactor / float64(p.unitCount)
	holdTime := max(1e-3, float64(e.UsualAnswer)*step*busyFactor)
	tokens := float64(max(1, e.UsualPrompt+e.UsualAnswer))
	current, loss := 0.0, 0.0
	for u := range p.unitCount {
		s := &units[u]
		current += inverseSquares(s.totalMemory/tokens/holdTime, s.rate, currentRateFloor)
		loss -= 0.5 * math.Log(inverseSquares((s.totalMemory-s.largestMemory)/tokens/holdTime, s.rate-s.largestRate, lossRateFloor))
	}
	return -0.5*math.Log(current/float64(p.unitCount)) + lossWeight*loss/float64(p.unitCount) - uncoveredPenalty*float64(uncovered)
}

// unitSum adds up the engines of a unit.
type unitSum struct {
	totalMemory, largestMemory float64
	rate, largestRate          float64
	weightedStepFactor         float64
}

func (s *unitSum) add(requestMemory, rate, factor float64) {
	s.totalMemory += requestMemory
	s.largestMemory = max(s.largestMemory, requestMemory)
	s.rate += rate
	s.largestRate = max(s.largestRate, rate)
	s.weightedStepFactor += requestMemory * factor
}

// inverseSquares is the sum of the inverse squares of the rates that memory and
// processors carry; least bounds it.
func inverseSquares(memory, processors, floor float64) float64 {
	memory, processors = max(0, memory)+floor, max(0, processors)+floor
	return 1/(memory*memory) + 1/(processors*processors)
}

// requestTime is the processor time in seconds that a usual request takes at an
// engine with n units, beside its part of the fixed steps.
func (p *planner) requestTime(kind *savoryrouting.Accelerator, n int) float64 {
	e := p.engine
	read := 0.0
	if e.ReadPerSecond > 0 {
		read = float64(e.UsualPrompt) / e.ReadPerSecond * kind.ReadFactor
	}
	if e.ReadChunk > 0 {
		// A prompt is read in pieces, each in a pass beside the writers' steps.
		read += float64(e.UsualPrompt) / float64(e.ReadChunk) * float64(max(1, e.Stride)) * e.StepTime.Seconds() * kind.StepFactor
	}
	context := (float64(e.UsualPrompt) + float64(e.UsualAnswer)/2) / 1000
	step := e.RequestTime.Seconds() + e.ContextTime.Seconds()*context
	write := float64(e.UsualAnswer) * step * kind.StepFactor
	return (read + write) * float64(n*p.unitLayers) / float64(e.Layers)
}

// maxStepFactor returns the largest step factor of the service.
func (p *planner) maxStepFactor() float64 {
	highest := 0.0
	for _, a := range p.engine.Accelerators {
		highest = max(highest, a.StepFactor)
	}
	return highest
}

// maxUnits bounds the units of a model.
const maxUnits = 256
