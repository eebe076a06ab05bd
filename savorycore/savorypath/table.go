// Package savorypath chooses the chain of engines that serves a request.
//
// Entries tell each other what they have sent to each engine, so the load of an
// engine is known without asking it. The Table adds the own requests in flight
// to what peers said last. A chain is found by dynamic programming over the
// borders of the layers that engines hold: each engine costs the time of its
// part of a token step, stretched by how full its memory for requests is.
//
// The package decides only: it does no I/O and reads no clock. Its types are
// not safe for concurrent use.
package savorypath

import (
	"errors"
	"math"
	"math/rand/v2"
	"net/netip"
	"time"

	"savorycart.example/savorycore/savoryrouting"
	"savorycart.example/savorycore/savoryworld"
)

const (
	// peerLoadTTL is the age up to which a peer's load counts; a peer that is
	// silent for longer has ended or lost its requests.
	peerLoadTTL = 5 * time.Second
	// crossZoneHopCost is the time added for a hop into another availability zone, above
	// its delay: all chains share the link between zones.
	crossZoneHopCost = 20 * time.Millisecond
	// maxFillRatio is the part of an engine's memory up to which requests are admitted.
	// Each counts with its whole answer from its start, so the memory in use is
	// less.
	maxFillRatio = 1.1
	// maxContinuingFillRatio is that part for streams that lost their chain: work was done
	// for them, and their callers leave within two seconds.
	maxContinuingFillRatio = 1.35
	// maxMovedFillRatio is that part for moved requests: their new parts take the memory of
	// all tokens so far at once.
	maxMovedFillRatio = 1.0
	// hopDelay is the time of a hop inside a zone.
	hopDelay = 200 * time.Microsecond
	// unreportedWindow is the time in which peers' reports catch up with what they send.
	// The load of each peer is expected to have grown since by as much as this
	// entry's, half of it unseen.
	unreportedWindow   = 250 * time.Millisecond
	unreportedFraction = 0.5
	// maxFirstHopSlotFraction is the part of an engine's slots up to which chains begin there;
	// what peers send meanwhile takes the rest.
	maxFirstHopSlotFraction = 0.9
	// jitterFractionPerEntry is the part for each entry by which costs are raised at random, up
	// to spreadMost: entries that know the same loads would otherwise all choose
	// the same engines until they hear of each other.
	jitterFractionPerEntry = 0.01
	maxJitterFraction      = 0.6
	// maxCrossZoneBandwidthFraction is the part of the bandwidth between zones that chains over
	// several zones may take: all of them share it, and it may be slow.
	maxCrossZoneBandwidthFraction = 0.25
	// queueWaitFraction is the part of an engine's whole pass that a request waits for its
	// turn at each hop.
	queueWaitFraction = 0.25
	// fillCostWeight stretches the cost of an engine whose memory is full.
	fillCostWeight = 2.0
	// maxPrefillFraction bounds the part of an engine's time that is taken for reading
	// prompts in the estimate.
	maxPrefillFraction = 0.9
	// initialPassTime is the time of a pass from which the time of an answer is
	// estimated while none was chosen, passSmoothing the weight of a new one.
	initialPassTime     = 50 * time.Millisecond
	passSmoothingWeight = 0.02
)

// Engine is one engine that holds layers.
type Engine struct {
	ID          string
	Address     netip.AddrPort
	Zone        string
	Holds       savoryworld.LayerRange
	Accelerator *savoryrouting.Accelerator
	// SlowdownFactor stretches the engine's times; 1 is its normal speed.
	SlowdownFactor float64
}

// Load is what one entry has in flight at an engine.
type Load struct {
	Server string
	// Requests is the number of requests, Memory their tokens times layers.
	Requests int
	Memory   float64
	// First is the number of requests whose chain begins at the engine; engines
	// bound these by their slots.
	First int
}

// Table knows the engines of one service and their load. Its exported fields
// are set before its first use.
type Table struct {
	// Zone is the entry's availability zone.
	Zone string
	// Rand spreads the choices of many entries over engines of like cost; nil
	// takes the cheapest.
	Rand *rand.Rand
	// Entries is the number of entries that choose paths; it may be changed.
	Entries int

	engine     *savoryrouting.Engine
	engines    []Engine
	ownLoads   map[string]*Load
	peerLoads  map[string]peerLoad
	peerTotals map[string]Load
	// growth is the recent growth of this entry's load.
	growth map[string]*decayingSum
	// smoothedPass is the smoothed time of a smoothedPass over the chosen paths, in seconds.
	smoothedPass    float64
	crossZoneTokens decayingSum
}

// decayingSum is an amount that fades with time.
type decayingSum struct {
	sum float64
	at  time.Time
}

// add adds to the amount after fading it.
func (r *decayingSum) add(amount float64, now time.Time) {
	r.sum = r.value(now) + amount
	r.at = now
}

// value returns what is left of the amount.
func (r *decayingSum) value(now time.Time) float64 {
	if r.at.IsZero() {
		return 0
	}
	return r.sum * math.Exp(-now.Sub(r.at).Seconds()/unreportedWindow.Seconds())
}

type peerLoad struct {
	loads []Load
	at    time.Time
}

// SetEngines takes the engines that may get new work.
func (t *Table) SetEngines(e *savoryrouting.Engine, engines []Engine) {
	t.engine = e
	t.engines = engines
}

// SetPeer takes what a peer has in flight.
func (t *Table) SetPeer(peer string, loads []Load, now time.Time) {
	if t.peerLoads == nil {
		t.peerLoads = make(map[string]peerLoad)
	}
	t.peerLoads[peer] = peerLoad{loads: loads, at: now}
	t.sumPeerLoads(now)
}

// SetPeers takes what each peer has in flight; peers that are not named have
// nothing.
func (t *Table) SetPeers(byPeer map[string][]Load, now time.Time) {
	t.peerLoads = make(map[string]peerLoad, len(byPeer))
	for peer, loads := range byPeer {
		t.peerLoads[peer] = peerLoad{loads: loads, at: now}
	}
	t.sumPeerLoads(now)
}

// sumPeerLoads adds up the peers' loads.
func (t *Table) sumPeerLoads(now time.Time) {
	t.peerTotals = make(map[string]Load)
	for peer, p := range t.peerLoads {
		if now.Sub(p.at) > peerLoadTTL {
			delete(t.peerLoads, peer)
			continue
		}
		for _, l := range p.loads {
			s := t.peerTotals[l.Server]
			s.Requests += l.Requests
			s.Memory += l.Memory
			s.First += l.First
			t.peerTotals[l.Server] = s
		}
	}
}

// OwnLoads returns what this entry has in flight.
func (t *Table) OwnLoads() []Load {
	loads := make([]Load, 0, len(t.ownLoads))
	for _, l := range t.ownLoads {
		if l.Requests > 0 {
			loads = append(loads, *l)
		}
	}
	return loads
}

// RecordStart counts a request of tokens that is sent on a path.
func (t *Table) RecordStart(p Path, tokens int, now time.Time) {
	t.addLoad(p, tokens, 1, now)
	t.crossZoneTokens.add(float64(tokens*t.zoneCrossings(p)), now)
}

// zoneCrossings counts the hops of a path into another zone.
func (t *Table) zoneCrossings(p Path) int {
	zones := make(map[string]string, len(t.engines))
	for i := range t.engines {
		zones[t.engines[i].ID] = t.engines[i].Zone
	}
	n := 0
	for i := 1; i < len(p); i++ {
		if zones[p[i].Server] != zones[p[i-1].Server] {
			n++
		}
	}
	return n
}

// crossZoneLinkFree reports whether the link between zones can take another request.
func (t *Table) crossZoneLinkFree(tokens int, now time.Time) bool {
	e := t.engine
	if e.PipeMbps <= 0 {
		return true
	}
	bytes := (t.crossZoneTokens.value(now) + float64(tokens)) * float64(e.ActivationBytes) * float64(1+len(t.peerLoads))
	return bytes*8/1e6/unreportedWindow.Seconds() <= maxCrossZoneBandwidthFraction*e.PipeMbps
}

// RecordEnd takes it off.
func (t *Table) RecordEnd(p Path, tokens int, now time.Time) { t.addLoad(p, tokens, -1, now) }

func (t *Table) addLoad(p Path, tokens, sign int, now time.Time) {
	if t.ownLoads == nil {
		t.ownLoads = make(map[string]*Load)
		t.growth = make(map[string]*decayingSum)
	}
	for i, h := range p {
		l := t.ownLoads[h.Server]
		if l == nil {
			l = &Load{Server: h.Server}
			t.ownLoads[h.Server] = l
		}
		if i == 0 {
			l.First += sign
		}
		l.Requests += sign
		l.Memory += float64(sign * tokens * h.Layers.Count())
		if t.growth[h.Server] == nil {
			t.growth[h.Server] = new(decayingSum)
		}
		t.growth[h.Server].add(float64(sign*tokens*h.Layers.Count()), now)
		if l.Requests == 0 {
			delete(t.ownLoads, h.Server)
		}
	}
}

// expectedLoad returns the whole expectedLoad of an engine with what peers are expected to have
// sent since they told.
func (t *Table) expectedLoad(server string, moving bool, now time.Time) Load {
	l := t.peerTotals[server]
	unreported := unreportedFraction * float64(len(t.peerLoads))
	if moving {
		// A lost engine moves the requests of all entries at the same moment.
		unreported = float64(max(len(t.peerLoads), t.Entries-1))
	}
	if grown := t.growth[server]; grown != nil {
		l.Memory += max(0, grown.value(now)) * unreported
	}
	if own := t.ownLoads[server]; own != nil {
		l.Requests += own.Requests
		l.Memory += own.Memory
		l.First += own.First
	}
	return l
}

// AnswerTime estimates how long a usual answer takes on the chains that were
// chosen lately.
func (t *Table) AnswerTime() time.Duration {
	if t.engine == nil {
		return 0
	}
	return time.Duration(t.answerTime() * float64(time.Second))
}

// answerTime returns the estimate in seconds.
func (t *Table) answerTime() float64 {
	passSeconds := t.smoothedPass
	if passSeconds == 0 {
		passSeconds = initialPassTime.Seconds()
	}
	return max(passSeconds, float64(t.engine.UsualAnswer)/float64(max(1, t.engine.Stride))*passSeconds)
}

// Request is what a path is chosen for.
type Request struct {
	// Tokens is the expected memory of the request in tokens.
	Tokens int
	// Avoid lists servers that are not used.
	Avoid func(server string) bool
	// FirstServer, if set, names the server that must be the first hop.
	FirstServer string
	// CurrentPath is the path of a running request that is moved: engines that keep
	// their part keep its memory, the others read all tokens so far.
	CurrentPath Path
	// Continuing says that the request had begun on another path.
	Continuing bool
	// AllowCrossZone allows a chain over several zones where no zone has one.
	AllowCrossZone bool
}

// Choice is a chosen path.
type Choice struct {
	Path Path
	// PassTime is the estimated time of one pass through the path.
	PassTime time.Duration
	// Fill is the part of the fullest engine's memory that is taken.
	Fill float64
	// Zones is the number of zones in which a path was found.
	Zones int
}

// The reasons why no path is chosen.
var (
	// ErrNoPath means that no chain of usable engines covers all layers.
	ErrNoPath = errors.New("no chain of engines covers all layers")
	// ErrFull means that chains exist but their memory is taken.
	ErrFull = errors.New("the memory of all chains is taken")
)

// Choose returns the path with the least cost. Paths inside one zone are tried
// first; a path over several zones is used only where the request allows it, no
// zone has its own and the link between zones has room.
func (t *Table) Choose(r Request, now time.Time) (Choice, error) {
	if t.engine == nil || t.engine.Layers == 0 {
		return Choice{}, ErrNoPath
	}
	all, byZone, full := t.candidates(r, now)
	best, cost := t.cheapestInOneZone(byZone, r)
	if best.Path == nil && r.AllowCrossZone && t.crossZoneLinkFree(r.Tokens, now) {
		path, c, fill := t.search(all, r, t.Zone)
		best, cost = Choice{Path: path, Fill: fill}, c
	}
	switch {
	case best.Path == nil && full:
		return Choice{}, ErrFull
	case best.Path == nil:
		return Choice{}, ErrNoPath
	}
	if t.smoothedPass == 0 {
		t.smoothedPass = cost
	}
	t.smoothedPass += passSmoothingWeight * (cost - t.smoothedPass)
	best.PassTime = time.Duration(cost * float64(time.Second))
	return best, nil
}

// candidates returns the usable engines, all and by zone, and whether any is
// full.
func (t *Table) candidates(r Request, now time.Time) (all []candidate, byZone map[string][]candidate, full bool) {
	byZone = make(map[string][]candidate)
	for i := range t.engines {
		e := &t.engines[i]
		if e.Holds.Empty() || e.Accelerator == nil || r.Avoid != nil && r.Avoid(e.ID) {
			continue
		}
		c := t.candidate(e, r, now)
		full = full || c.full
		byZone[e.Zone] = append(byZone[e.Zone], c)
		all = append(all, c)
	}
	return all, byZone, full
}

// cheapestInOneZone returns the cheapest path inside one zone and its cost in seconds.
func (t *Table) cheapestInOneZone(byZone map[string][]candidate, r Request) (Choice, float64) {
	best, cost, zones := Choice{}, math.Inf(1), 0
	for zone, candidates := range byZone {
		path, c, fill := t.search(candidates, r, "")
		if path == nil {
			continue
		}
		zones++
		if zone != t.Zone {
			c += crossZoneEntryCost.Seconds()
		}
		if c < cost {
			best, cost = Choice{Path: path, Fill: fill}, c
		}
	}
	best.Zones = zones
	return best, cost
}

// crossZoneEntryCost is the cost of beginning a chain in another zone than the entry's:
// it outweighs small differences of load.
const crossZoneEntryCost = 4 * time.Millisecond

// candidate is an engine with its cost for each layer.
type candidate struct {
	*Engine
	// perLayer is the time of one pass for each layer, wait that for the turn of
	// a request, in seconds.
	perLayer float64
	hopWait  float64
	fill     float64
	full     bool
	// firstHopCost is the cost of beginning a chain at the engine, noFirst that its
	// slots are taken.
	firstHopCost float64
	slotsFull    bool
	// currentLayers is the part of a moved request that the engine has, reread the time
	// for each layer in which it reads another part, in seconds.
	currentLayers   savoryworld.LayerRange
	prefillPerLayer float64
}

func (t *Table) candidate(e *Engine, r Request, now time.Time) candidate {
	l := t.expectedLoad(e.ID, r.CurrentPath != nil, now)
	room := t.engine.Room(e.Accelerator, e.Holds.Count())
	fill := 1.0
	if room > 0 {
		fill = (l.Memory + float64(r.Tokens*e.Holds.Count())) / room
	}
	current := r.CurrentPath.layersOf(e.ID)
	perLayer := t.layerTime(e, l.Requests)
	if current.Empty() {
		// The time of a part grows with the fill, since a full engine preempts.
		perLayer *= 1 + fillCostWeight*fill*fill*fill*fill
	}
	if t.Rand != nil {
		perLayer *= 1 + min(maxJitterFraction, jitterFractionPerEntry*float64(t.Entries))*t.Rand.Float64()
	}
	wait := hopDelay.Seconds() + queueWaitFraction*perLayer*float64(e.Holds.Count())
	maxFill := maxFillRatio
	switch {
	case r.CurrentPath != nil:
		maxFill = maxMovedFillRatio
	case r.Continuing:
		maxFill = maxContinuingFillRatio
	}
	// A kept part has its memory already.
	c := candidate{Engine: e, perLayer: perLayer, hopWait: wait, fill: fill, full: fill > maxFill && current.Empty(), currentLayers: current}
	if r.CurrentPath != nil {
		layers := float64(t.engine.Layers)
		c.prefillPerLayer = t.prefillTime(e, r.Tokens, perLayer*layers) / layers
	}
	if t.engine.Slots > 0 {
		slotFraction := float64(l.First+1) / float64(t.engine.Slots)
		c.slotsFull = slotFraction > maxFirstHopSlotFraction
		c.firstHopCost = wait * slotFraction
	}
	return c
}

// prefillTime estimates the time in seconds in which an engine reads a prompt of
// tokens through all layers, between passes that take pass.
func (t *Table) prefillTime(e *Engine, tokens int, pass float64) float64 {
	m := t.engine
	seconds := 0.0
	if m.ReadPerSecond > 0 {
		seconds = float64(tokens) / m.ReadPerSecond * e.Accelerator.ReadFactor * max(1, e.SlowdownFactor)
	}
	if m.ReadChunk > 0 {
		seconds += float64(tokens) / float64(m.ReadChunk) * pass
	}
	return seconds
}

// layerTime estimates the time of a pass for each layer at an engine that runs n
// requests: the steps of its batch, stretched by the reading of prompts between
// them. A request is at the engine for its part of the chain only, and prompts
// arrive as answers end.
func (t *Table) layerTime(e *Engine, n int) float64 {
	m := t.engine
	slowdown := max(1, e.SlowdownFactor)
	layerFraction := float64(e.Holds.Count()) / float64(m.Layers)
	stride := float64(max(1, m.Stride))
	context := (float64(m.UsualPrompt) + float64(m.UsualAnswer)/2) / 1000
	batch := 1 + float64(n)*layerFraction
	step := m.StepTime.Seconds() + batch*(m.RequestTime.Seconds()+m.ContextTime.Seconds()*context)
	pass := stride * step * e.Accelerator.StepFactor * slowdown
	prefill := float64(n) / t.answerTime() * t.prefillTime(e, m.UsualPrompt, pass) * layerFraction
	return pass / float64(m.Layers) / (1 - min(maxPrefillFraction, prefill))
}
