package savorypath

// This file defines Preview, which shows what Choose would choose and from which engines.

import (
	"maps"
	"math/rand/v2"
	"time"

	"savorycart.example/savorycore/savoryworld"
)

// Candidate is an engine with its estimates for one request.
type Candidate struct {
	Server string
	Zone   string
	Holds  savoryworld.LayerRange
	// Requests is the expected number of requests in flight from all entries.
	Requests int
	// PassTime is the estimated time of one pass through all layers of the engine, with the
	// wait for its turn. FirstHopCost is added to the cost of a chain that begins here.
	PassTime     time.Duration
	FirstHopCost time.Duration
	// Fill is the ratio of reserved memory to memory with the request.
	Fill float64
	// Excluded is why no chain may use the engine, and NotFirst why none may begin there.
	// Each is empty if there is no reason.
	Excluded Exclusion
	NotFirst Exclusion
}

// Exclusion is the reason why an engine is not chosen.
type Exclusion string

// The reasons.
const (
	// Avoided: by Request.Avoid.
	Avoided Exclusion = "avoided"
	// NoLayers: the engine holds none.
	NoLayers Exclusion = "no layers"
	// UnknownAccelerator: the configuration does not contain the engine's accelerator.
	UnknownAccelerator Exclusion = "unknown accelerator"
	// MemoryFull: its memory for requests is reserved.
	MemoryFull Exclusion = "memory full"
	// SlotsFull: its slots for first hops are taken.
	SlotsFull Exclusion = "slots full"
	// NotTaken: by Request.FirstDelay.
	NotTaken Exclusion = "not taken"
	// NotFirstLayers: it does not hold layer 0.
	NotFirstLayers Exclusion = "holds no first layer"
)

// Preview returns what Choose would return, and the engines in the order of SetEngines. It
// changes nothing but the state of Rand. The estimates of the candidates have the jitter with
// which the chain was chosen.
func (t *Table) Preview(r Request, now time.Time) (Choice, []Candidate, error) {
	p := *t
	p.former = maps.Clone(t.former)
	if p.engine == nil || p.engine.Layers == 0 {
		return Choice{}, nil, ErrNoChain
	}
	draw := func() {}
	if t.Rand != nil {
		seed1, seed2 := t.Rand.Uint64(), t.Rand.Uint64()
		// Choose draws the same numbers for its candidates as the list below.
		draw = func() { p.Rand = rand.New(rand.NewPCG(seed1, seed2)) }
	}
	draw()
	usable := make(map[string]candidate)
	all, _, _ := p.candidates(r, now)
	for _, c := range all {
		usable[c.ID] = c
	}
	candidates := make([]Candidate, 0, len(p.engines))
	for i := range p.engines {
		c := p.engines[i].preview(usable, r)
		c.Requests = p.expectedLoad(c.Server, false, now).Requests
		candidates = append(candidates, c)
	}
	draw()
	choice, err := p.Choose(r, now)
	return choice, candidates, err
}

// preview returns the engine with the estimates of the usable candidates.
func (e *Engine) preview(usable map[string]candidate, r Request) Candidate {
	result := Candidate{Server: e.ID, Zone: e.Zone, Holds: e.Holds}
	c, ok := usable[e.ID]
	if !ok {
		result.Excluded = e.unusable()
		return result
	}
	result.PassTime = toDuration(c.perLayer*float64(e.Holds.Count()) + c.hopWait)
	result.FirstHopCost, result.Fill = toDuration(c.firstHopCost), c.fill
	if c.full {
		result.Excluded = MemoryFull
	}
	switch {
	case e.Holds.From != 0:
		result.NotFirst = NotFirstLayers
	case c.notTaken:
		result.NotFirst = NotTaken
	case c.slotsFull && r.FirstServer == "":
		result.NotFirst = SlotsFull
	}
	return result
}

// unusable returns why an engine is no candidate.
func (e *Engine) unusable() Exclusion {
	switch {
	case e.Holds.Empty() || e.Holds.From < 0:
		return NoLayers
	case e.Accelerator == nil:
		return UnknownAccelerator
	}
	return Avoided
}

func toDuration(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }
