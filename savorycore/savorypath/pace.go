package savorypath

// This file keeps new requests away from engines that are at the limit of their pace, as long
// as other chains are not much slower.

// beyondPacePasses is the cost of a hop at an engine that is beyond its pace, in passes of the
// usual chain. Engines whose memory is full cost about as much.
const beyondPacePasses = 2

// paceCost returns the cost in seconds of a hop at an engine beyond its pace, 0 for the others
// and for those that already run the request.
func (t *Table) paceCost(r Request, server string) float64 {
	if r.BeyondPace == nil || !r.BeyondPace(server) || r.CurrentChain.Uses(server) {
		return 0
	}
	if t.smoothedPass == 0 {
		return beyondPacePasses * initialPassTime.Seconds()
	}
	return beyondPacePasses * t.smoothedPass
}

// chainPaceCost returns the sum of paceCost over a chain. It is no part of the time of a pass.
func (t *Table) chainPaceCost(r Request, chain Chain) float64 {
	cost := 0.0
	for _, h := range chain {
		cost += t.paceCost(r, h.Server)
	}
	return cost
}
