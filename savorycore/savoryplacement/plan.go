// Package savoryplacement assigns the layers of a model to engines and turns the
// assignment into orders.
//
// The layers are divided into units of equal size that fit the smallest kind of
// accelerator, and each engine holds a contiguous sequence of units. Small units
// leave more memory for requests on small accelerators, large units make short
// chains; New tries several sizes. The engines of one availability zone form a
// group that covers all layers, so that chains stay inside the zone, where no
// shared link limits them. Zones that are too small for that share a group.
//
// Within a group a local search maximizes a score. The score is the rate of
// requests that the group can serve. It is bounded by the request memory of each
// unit, divided by the time for which a request holds it, and by the processor
// time that a request takes at the unit. The score also includes the capacity of
// each unit after the loss of its best engine. A plan in force is changed only if
// the gain clearly exceeds the cost of loading.
//
// The package does no I/O and reads no clock.
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
	// maxUnitFraction bounds the size of a unit, as a fraction of the layers that fit
	// the smallest accelerator; the remaining memory is for requests.
	maxUnitFraction = 0.85
	// maxPlanUnits is the largest number of units that New tries. Each unit may be a
	// hop of a chain, and engines accept at most 32 hops.
	maxPlanUnits = 20
	// minRequests is the number of usual requests for which an engine keeps memory.
	// With less memory it would refuse nearly all requests.
	minRequests = 40
	// memorySteps is the number of sizes of request memory that New tries; each size
	// is half of the previous one.
	memorySteps = 6
	// maxGroupFraction is the largest fraction of the layers that fit a group which one
	// copy of the model may take. With more, too little memory is left for requests.
	maxGroupFraction = 0.85
	// lossWeight is the weight of a unit's capacity after the loss of its best engine;
	// the rate that the group serves now has weight 1. Long operation without a loss
	// is rare, and memory beyond the load gains little.
	lossWeight = 1.2
	// lossRateFloor and currentRateFloor are the requests per second added to the
	// rates after a loss and now. They bound the score of a first replica.
	lossRateFloor    = 2.0
	currentRateFloor = 0.1
	// busyFactor is the ratio of the time of an answer to the time of its steps alone.
	// In a busy engine each step carries many requests, and prompts are read between
	// the steps.
	busyFactor = 2.0
	// minMoveGain is the gain in the logarithm of the rate above which a serving engine
	// is moved. minMoveGainWhileLoading is the bound while other moves are in
	// progress; only units without an engine exceed it.
	minMoveGain             = 0.1
	minMoveGainWhileLoading = 2.0
	// uncoveredPenalty is subtracted from the score for each unit without an engine,
	// since the group then serves no requests.
	uncoveredPenalty = 4.0
	// maxMoves bounds the moves of one replan, so that a group is not left without
	// serving engines.
	maxMoves = 3
	// maxSearchMoves bounds the moves of the search for a first plan.
	maxSearchMoves = 200
)

// Engine is an engine to which layers can be assigned.
type Engine struct {
	ID          string
	Zone        string
	Accelerator string
	// Holds is the layers that the engine holds now.
	Holds savoryworld.LayerRange
}

// Plan is the assignment of layers to engines.
type Plan struct {
	// Unit is the number of layers of a unit; 0 if there is no plan.
	Unit int
	// Layers maps the ID of an engine to its layers.
	Layers map[string]savoryworld.LayerRange
	// Era is the era of the store in which the plan was written; 0 if the store
	// states none, or the plan was not written.
	Era int64 `msgpack:",omitempty"`
}

// Equal reports whether two plans assign the same layers in the same units.
func (p Plan) Equal(q Plan) bool { return p.Unit == q.Unit && maps.Equal(p.Layers, q.Layers) }

// withHeld returns the plan with the layers that the engines hold in place of those
// that it assigns to them. Layers that do not begin at a unit are not taken over.
func (p Plan) withHeld(engines []Engine) Plan {
	next := Plan{Unit: p.Unit, Layers: maps.Clone(p.Layers)}
	for _, e := range engines {
		if !e.Holds.Empty() && e.Holds.From%p.Unit == 0 {
			next.Layers[e.ID] = e.Holds
		}
	}
	return next
}

// planner holds the parameters of one call of New or Extend.
type planner struct {
	engine     *savoryrouting.Engine
	unitLayers int
	unitCount  int
}

// placement is an engine with its assigned units.
type placement struct {
	Engine
	kind *savoryrouting.Accelerator
	// maxLength is the largest number of units that the engine can hold.
	maxLength int
	// start is the first assigned unit, length the number of units; length is 0
	// if none are assigned.
	start  int
	length int
	// memoryPerUnit is the request memory per unit in tokens, indexed by the number
	// of units.
	memoryPerUnit []float64
	// moved is true if the search changed the placement. pending is true if the
	// engine does not hold its planned layers yet.
	moved   bool
	pending bool
}

// holdsUnit reports whether the engine holds all layers of a unit now. size is the
// number of layers of a unit.
func (r *placement) holdsUnit(unit, size int) bool {
	return r.Holds.From <= unit*size && (unit+1)*size <= r.Holds.To
}

// assigned reports whether the unit is assigned to the engine.
func (r *placement) assigned(unit int) bool { return r.start <= unit && unit < r.start+r.length }

// New returns a plan for engines that hold no layers. Engines of an unknown kind
// of accelerator are left out.
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

// Extend returns the plan after engines joined or failed. Engines keep their layers
// unless a move gains clearly more than the load costs. While earlier moves are in
// progress, only units without an engine are reassigned. If the old plan has Unit
// 0, Extend derives it from the layers that the engines hold.
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

// heldPlan returns the plan that matches the layers held by the engines.
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

// improve places the engines without layers and moves up to moves other engines of
// each group, each for a gain above minGain.
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

// writePlan adds the placements to a plan.
func (p *planner) writePlan(placements []*placement, plan Plan) {
	for _, r := range placements {
		if r.length > 0 {
			plan.Layers[r.ID] = p.layers(r)
		}
	}
}

// largestUnit returns the largest number of layers of a unit, or 0 if no layer
// fits. All kinds of accelerators of the service count, even those without an
// engine.
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

// groups divides the engines by availability zone. Zones that cannot cover the
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

// covers reports whether a group can hold one copy of the model and memory for
// requests.
func (p *planner) covers(group []Engine) bool {
	layers, units := 0, 0
	for _, e := range group {
		n := p.engine.MaxLayers(p.engine.Accelerator(e.Accelerator))
		layers += n
		units += n / p.unitLayers
	}
	return float64(p.engine.Layers) <= maxGroupFraction*float64(layers) && units >= p.unitCount
}

// placements returns the engines of a group that can hold a unit, fastest first.
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

// minMemoryPerUnit returns the request memory in tokens that each unit needs.
func (p *planner) minMemoryPerUnit() float64 {
	return float64(minRequests * (p.engine.UsualPrompt + p.engine.UsualAnswer))
}

// keepsMinMemory reports whether every kind of accelerator that can hold a unit
// has the minimum request memory beside it.
func (p *planner) keepsMinMemory() bool {
	for i := range p.engine.Accelerators {
		a := &p.engine.Accelerators[i]
		if p.engine.MaxLayers(a) >= p.unitLayers && p.engine.RequestMemory(a, p.unitLayers)/float64(p.unitLayers) < p.minMemoryPerUnit() {
			return false
		}
	}
	return true
}

// layers returns the layers of a placement.
func (p *planner) layers(r *placement) savoryworld.LayerRange {
	return savoryworld.LayerRange{From: r.start * p.unitLayers, To: min(p.engine.Layers, (r.start+r.length)*p.unitLayers)}
}

// keepAssigned gives each engine its layers in the old plan, or else the layers
// that it holds, and returns the engines without usable layers.
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
		r.start, r.length = layers.From/p.unitLayers, n
		r.pending = layers != r.Holds
	}
	return free
}

// planGroup plans a group whose engines hold no layers and returns its score. It
// covers the units once with the fastest engines, each of which takes as many units
// as leave it a given request memory, and keeps the best of several memory sizes.
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
				best[j] = span{r.start, r.length}
			}
		}
	}
	for j, r := range placements {
		r.start, r.length = best[j].at, best[j].n
	}
	return bestScore
}

// coverOnce assigns adjacent units until each unit is held once. Each engine takes
// the most units that leave it at least minMemory tokens per unit. The remaining
// engines are placed by score.
func (p *planner) coverOnce(placements []*placement, minMemory float64) {
	next := 0
	var rest []*placement
	for _, r := range placements {
		r.start, r.length = 0, 0
		if next == p.unitCount {
			rest = append(rest, r)
			continue
		}
		r.start, r.length = next, 1
		for r.length < min(r.maxLength, p.unitCount-next) && r.memoryPerUnit[r.length+1] >= minMemory {
			r.length++
		}
		next += r.length
	}
	p.placeFree(placements, rest)
}

// placeFree gives each free engine in turn the units with the best score.
func (p *planner) placeFree(placements, free []*placement) {
	for _, r := range free {
		p.placeBest(placements, r)
	}
}

// placeBest gives an engine the units that raise the group's score most and
// returns the gain.
func (p *planner) placeBest(placements []*placement, r *placement) float64 {
	at, n := r.start, r.length
	before := p.score(placements)
	best, bestAt, bestN := math.Inf(-1), at, n
	for count := 1; count <= r.maxLength; count++ {
		for first := 0; first+count <= p.unitCount; first++ {
			r.start, r.length = first, count
			if p.uncoversUnit(placements, r) {
				continue
			}
			if score := p.score(placements); score > best {
				best, bestAt, bestN = score, first, count
			}
		}
	}
	r.start, r.length = bestAt, bestN
	return best - before
}

// uncoversUnit reports whether an engine gives up a unit that no other engine both
// holds and keeps. No chain could run until another engine has loaded the unit.
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

// search moves one engine at a time while a move raises the group's score by more
// than minGain, at most moves times.
func (p *planner) search(placements []*placement, minGain float64, moves int) {
	for range moves {
		var winner *placement
		bestGain, bestAt, bestN := max(minGain, 1e-6), 0, 0
		for _, r := range placements {
			if (r.moved || r.pending) && minGain > 0 {
				continue
			}
			at, n := r.start, r.length
			if gain := p.placeBest(placements, r); gain > bestGain {
				winner, bestGain, bestAt, bestN = r, gain, r.start, r.length
			}
			r.start, r.length = at, n
		}
		if winner == nil {
			return
		}
		winner.start, winner.length, winner.moved = bestAt, bestN, true
	}
}

// score returns the logarithm of the rate of requests that a group serves, plus the
// weighted term for the loss of engines. Units with the least capacity dominate.
func (p *planner) score(placements []*placement) float64 {
	var units [maxUnits]unitSum
	for _, r := range placements {
		rate := 1 / max(1e-9, p.requestTime(r.kind, r.length))
		for u := r.start; u < r.start+r.length; u++ {
			units[u].add(r.memoryPerUnit[r.length], rate, r.kind.StepFactor)
		}
	}
	passFactor, uncovered := 0.0, 0
	for u := range p.unitCount {
		if units[u].totalMemory == 0 {
			uncovered++
			passFactor += p.maxStepFactor()
		} else {
			// Requests are distributed over the engines in proportion to their memory.
			passFactor += units[u].weightedStepFactor / units[u].totalMemory
		}
	}
	e := p.engine
	// A request holds its memory for all steps of its answer.
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

// unitSum adds up the capacities of the engines of a unit.
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

// inverseSquares returns the sum of the inverse squares of the rates that memory and
// processors allow. floor is added to each rate and bounds the sum.
func inverseSquares(memory, processors, floor float64) float64 {
	memory, processors = max(0, memory)+floor, max(0, processors)+floor
	return 1/(memory*memory) + 1/(processors*processors)
}

// requestTime returns the processor time in seconds that a usual request takes at an
// engine with n units, without its share of the fixed time of steps.
func (p *planner) requestTime(kind *savoryrouting.Accelerator, n int) float64 {
	e := p.engine
	read := 0.0
	if e.ReadPerSecond > 0 {
		read = float64(e.UsualPrompt) / e.ReadPerSecond * kind.ReadFactor
	}
	if e.ReadChunk > 0 {
		// A prompt is read in chunks, one in each pass together with the steps of the
		// requests that generate tokens.
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
