// Package savorypath chooses the chain of engines that serves a request.
//
// Entries exchange the loads that they have sent to each engine, so the load of
// an engine is estimated without a request to it. A Table adds the requests
// that its own entry has in flight to the last reports of the peers.
// Table.Choose finds a chain by dynamic programming over the boundaries of the
// layer ranges that engines hold. The cost of an engine is the time that it
// takes for its layers in a forward pass, increased as its memory for requests
// fills up.
//
// The package does no I/O and reads no clock. Its types are not safe for
// concurrent use.
package savorypath

import (
	"errors"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"savorycart.example/savorycore/savoryrouting"
	"savorycart.example/savorycore/savoryworld"
)

const (
	// peerLoadTTL is the age up to which the load reported by a peer counts. A
	// peer that has not reported for longer has ended or lost its requests.
	peerLoadTTL = 5 * time.Second
	// crossZoneHopCost is the cost of a hop into another availability zone, in
	// addition to its delay. All chains share the link between zones.
	crossZoneHopCost = 20 * time.Millisecond
	// maxFillRatio is the ratio of reserved memory to an engine's memory up to
	// which requests are admitted. It may exceed 1 because each request reserves
	// memory for its whole answer from its start, so less memory is in use.
	maxFillRatio = 1.1
	// maxContinuingFillRatio is the ratio for streams that lost their chain. It
	// is higher than for new requests because work was done for these streams,
	// and their callers disconnect within two seconds.
	maxContinuingFillRatio = 1.35
	// maxMovedFillRatio is the ratio for requests that are moved. Their new
	// engines need the memory for all tokens so far at once.
	maxMovedFillRatio = 1.0
	// hopDelay is the delay of a hop inside a zone.
	hopDelay = 200 * time.Microsecond
	// unreportedWindow is the time that the reports of peers lag behind the
	// requests that the peers send. The load of each peer is assumed to grow in
	// this window by as much as the load of this entry; unreportedFraction is the
	// fraction of that growth that no report includes yet.
	unreportedWindow   = 250 * time.Millisecond
	unreportedFraction = 0.5
	// maxFirstHopSlotFraction is the fraction of an engine's slots up to which
	// chains begin at the engine. The rest is left for requests that peers send
	// in the meantime.
	maxFirstHopSlotFraction = 0.9
	// jitterFractionPerEntry times the number of entries is the maximum fraction
	// by which a cost is increased at random; maxJitterFraction bounds the
	// product. Without jitter, entries with the same reported loads all choose
	// the same engines until the next exchange of loads.
	jitterFractionPerEntry = 0.01
	maxJitterFraction      = 0.6
	// queueWaitFraction is the fraction of an engine's pass time that a request
	// waits for its turn at each hop.
	queueWaitFraction = 0.25
	// fillCostWeight is the relative increase of an engine's cost when its memory
	// is full.
	fillCostWeight = 2.0
	// maxPrefillFraction bounds the fraction of an engine's time that the
	// estimate assigns to prefill, which is the reading of prompts.
	maxPrefillFraction = 0.9
	// initialPassTime is the pass time from which AnswerTime is estimated before
	// the first chain is chosen. passSmoothingWeight is the weight of a new pass
	// time in the exponential average.
	initialPassTime     = 50 * time.Millisecond
	passSmoothingWeight = 0.02
)

// Engine is an engine that holds layers.
type Engine struct {
	ID          string
	Address     netip.AddrPort
	Zone        string
	Holds       savoryworld.LayerRange
	Accelerator *savoryrouting.Accelerator
	// SlowdownFactor multiplies the times of the engine. The normal speed is 1;
	// lower values count as 1.
	SlowdownFactor float64
}

// Load is the load that one entry has in flight at an engine.
type Load struct {
	// Exchanges carry a Load for each engine, so it is encoded without field names.
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // the encoder reads its tag

	Server string
	// Requests is the number of requests. Memory is the sum over them of tokens
	// times layers.
	Requests int
	Memory   float64
	// First is the number of requests whose chain begins at the engine. Engines
	// bound it by their slots.
	First int
}

// Table holds the engines of one service and their load. Its exported fields
// are set before its first use.
type Table struct {
	// Zone is the entry's availability zone.
	Zone string
	// Rand adds jitter to costs, which spreads the choices of many entries over
	// engines of similar cost. With nil there is no jitter.
	Rand *rand.Rand
	// Entries is the number of entries that choose chains. It may be changed at
	// any time.
	Entries int

	engine  *savoryrouting.Engine
	engines []Engine
	// former are the engines that SetEngines no longer contains. They may still
	// run the requests that they have, for instance while they drain.
	former     map[string]formerEngine
	ownLoads   map[string]*Load
	peerLoads  map[string]peerLoad
	peerTotals map[string]Load
	// growth is the recent growth of this entry's load in token layers, by
	// engine.
	growth map[string]*decayingSum
	// smoothedPass is the exponential average of the pass times of the chosen
	// chains, in seconds; 0 before the first choice.
	smoothedPass float64
	// crossZoneTokens is the number of tokens that this entry recently sent
	// between zones, and crossZoneAdmission the fraction of the chains over
	// several zones that it admits.
	crossZoneTokens    decayingSum
	crossZoneAdmission float64
	admissionChangedAt time.Time
}

// decayingSum is a sum that decays exponentially with the time constant
// unreportedWindow.
type decayingSum struct {
	sum float64
	at  time.Time
}

// add adds amount to the sum at now.
func (d *decayingSum) add(amount float64, now time.Time) {
	d.sum = d.value(now) + amount
	d.at = now
}

// value returns the decayed sum at now.
func (d *decayingSum) value(now time.Time) float64 {
	if d.at.IsZero() {
		return 0
	}
	return d.sum * math.Exp(-now.Sub(d.at).Seconds()/unreportedWindow.Seconds())
}

// peerLoad is the load that a peer reported at a time.
type peerLoad struct {
	loads []Load
	at    time.Time
}

// SetEngines sets the engines that may be given new work and the service that
// they run.
func (t *Table) SetEngines(e *savoryrouting.Engine, engines []Engine) {
	t.keepFormer(engines)
	t.engine = e
	t.engines = engines
}

// SetPeer sets the load that a peer has in flight.
func (t *Table) SetPeer(peer string, loads []Load, now time.Time) {
	if t.peerLoads == nil {
		t.peerLoads = make(map[string]peerLoad)
	}
	t.peerLoads[peer] = peerLoad{loads: loads, at: now}
	t.sumPeerLoads(now)
}

// SetPeers sets the loads that all peers have in flight. A peer that is not in
// byPeer has no load.
func (t *Table) SetPeers(byPeer map[string][]Load, now time.Time) {
	t.peerLoads = make(map[string]peerLoad, len(byPeer))
	for peer, loads := range byPeer {
		t.peerLoads[peer] = peerLoad{loads: loads, at: now}
	}
	t.sumPeerLoads(now)
}

// sumPeerLoads recomputes peerTotals and removes reports that are older than
// peerLoadTTL.
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
	t.adjustCrossZoneAdmission(now)
}

// OwnLoads returns the loads that this entry has in flight, in no particular
// order, and its recent traffic between zones.
func (t *Table) OwnLoads(now time.Time) []Load {
	loads := make([]Load, 0, len(t.ownLoads)+1)
	if sent := math.Floor(t.crossZoneTokens.value(now)); sent > 0 {
		loads = append(loads, Load{Server: CrossZoneLink, Memory: sent})
	}
	for _, l := range t.ownLoads {
		if l.Requests > 0 {
			loads = append(loads, *l)
		}
	}
	return loads
}

// RecordStart records the start of a request on a chain. The memory of the
// request is given in tokens.
func (t *Table) RecordStart(chain Chain, tokens int, now time.Time) {
	t.addLoad(chain, tokens, 1, now)
	t.crossZoneTokens.add(float64(tokens*t.zoneCrossings(chain)), now)
}

// RecordEnd records the end of a request. The chain and tokens are those given
// to RecordStart.
func (t *Table) RecordEnd(chain Chain, tokens int, now time.Time) { t.addLoad(chain, tokens, -1, now) }

// addLoad adds the load of a request if sign is 1 and removes it if sign is -1.
func (t *Table) addLoad(chain Chain, tokens, sign int, now time.Time) {
	if t.ownLoads == nil {
		t.ownLoads = make(map[string]*Load)
		t.growth = make(map[string]*decayingSum)
	}
	for i, h := range chain {
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

// expectedLoad returns the load of an engine from all entries, with the load
// that peers are expected to have sent since their last reports.
func (t *Table) expectedLoad(server string, moving bool, now time.Time) Load {
	l := t.peerTotals[server]
	unreported := unreportedFraction * float64(len(t.peerLoads))
	if moving {
		// All entries move the requests of a failed engine at the same moment.
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

// AnswerTime estimates the time of an answer of usual length on the recently
// chosen chains. It is 0 before SetEngines.
func (t *Table) AnswerTime() time.Duration {
	if t.engine == nil {
		return 0
	}
	return time.Duration(t.answerTime() * float64(time.Second))
}

// answerTime returns the estimate of AnswerTime in seconds.
func (t *Table) answerTime() float64 {
	passSeconds := t.smoothedPass
	if passSeconds == 0 {
		passSeconds = initialPassTime.Seconds()
	}
	return max(passSeconds, float64(t.engine.UsualAnswer)/float64(max(1, t.engine.Stride))*passSeconds)
}

// Request holds the properties of a request on which the choice of its chain
// depends.
type Request struct {
	// Tokens is the expected memory of the request, in tokens.
	Tokens int
	// Avoid reports whether a server must not be used. It may be nil.
	Avoid func(server string) bool
	// FirstServer is the server that must be the first hop. If it is empty, any
	// server may be.
	FirstServer string
	// FirstDelay returns the time until a server takes a request as the first hop, and
	// false if it takes none. It may be nil.
	FirstDelay func(server string) (time.Duration, bool)
	// BeyondPace reports whether a server should take no further request as long as there is
	// another chain. It may be nil.
	BeyondPace func(server string) bool
	// CurrentChain is the chain of a running request that is moved; nil for other
	// requests. Engines that keep their layers keep the memory of the request,
	// other engines read all tokens so far. Engines of the chain that are no longer
	// given new work may keep their layers.
	CurrentChain Chain
	// Continuing states that the request had begun on another chain.
	Continuing bool
	// Headroom is the fraction of each engine's memory that a new request must leave free.
	Headroom float64
	// AllowCrossZone allows a chain over several zones if no zone has a chain of
	// its own.
	AllowCrossZone bool
}

// Choice is a chosen chain.
type Choice struct {
	Chain Chain
	// PassTime is the estimated time of one pass through the chain.
	PassTime time.Duration
	// Fill is the ratio of reserved memory to memory at the fullest engine of the
	// chain.
	Fill float64
	// Zones is the number of zones that have a chain of their own.
	Zones int
	// Delay is the FirstDelay of the first engine.
	Delay time.Duration
}

// The reasons why no chain is chosen.
var (
	// ErrNoChain means that no chain of usable engines covers all layers.
	ErrNoChain = errors.New("no chain of engines covers all layers")
	// ErrFull means that no chain has free memory and at least one usable engine
	// is full.
	ErrFull = errors.New("the memory of all chains is taken")
	// ErrNotTaken means that no engine that could be the first takes the request, by its
	// FirstDelay.
	ErrNotTaken = errors.New("no engine takes a further request as the first of a chain")
)

// Choose returns the chain with the least cost. It tries chains inside one zone
// first. A chain over several zones is used only if the request allows it, no
// zone has a chain of its own and the link between zones has free bandwidth. The
// error is ErrNotTaken, ErrFull or ErrNoChain if there is no chain.
func (t *Table) Choose(r Request, now time.Time) (Choice, error) {
	if t.engine == nil || t.engine.Layers == 0 {
		return Choice{}, ErrNoChain
	}
	all, byZone, full := t.candidates(r, now)
	best, cost := t.chooseZone(byZone, r)
	if best.Chain == nil && r.AllowCrossZone && t.crossZoneLinkFree(r.Tokens, now) && (r.Continuing || t.admitCrossZone()) {
		chain, c, fill := t.search(all, r, t.Zone)
		if t.crossZoneLinkFree(r.Tokens*t.zoneCrossings(chain), now) {
			best, cost = Choice{Chain: chain, Fill: fill}, c
		}
	}
	if best.Chain == nil {
		return Choice{}, reason(all, full)
	}
	cost -= t.chainPaceCost(r, best.Chain)
	if t.smoothedPass == 0 {
		t.smoothedPass = cost
	}
	t.smoothedPass += passSmoothingWeight * (cost - t.smoothedPass)
	best.PassTime = time.Duration(cost * float64(time.Second))
	if r.FirstDelay != nil {
		best.Delay, _ = r.FirstDelay(best.Chain[0].Server)
	}
	return best, nil
}

// reason returns why there is no chain. full is set if one of the candidates is full.
func reason(all []candidate, full bool) error {
	switch {
	case slices.ContainsFunc(all, func(c candidate) bool { return c.notTaken && c.Holds.From == 0 }):
		return ErrNotTaken
	case full:
		return ErrFull
	}
	return ErrNoChain
}

// candidates returns all usable engines, the same engines by zone, and whether
// at least one of them is full.
func (t *Table) candidates(r Request, now time.Time) (all []candidate, byZone map[string][]candidate, full bool) {
	byZone = make(map[string][]candidate)
	engines := t.currentEngines(r, now)
	for i := range t.engines {
		engines = append(engines, &t.engines[i])
	}
	for _, e := range engines {
		if e.Holds.Empty() || e.Holds.From < 0 || e.Accelerator == nil || r.Avoid != nil && r.Avoid(e.ID) {
			continue
		}
		c := t.candidate(e, r, now)
		full = full || c.full
		byZone[e.Zone] = append(byZone[e.Zone], c)
		all = append(all, c)
	}
	return all, byZone, full
}

// candidate is an engine with its costs for one request.
type candidate struct {
	*Engine
	// perLayer is the time of one pass for each layer, and hopWait the time that
	// a request waits for its turn, both in seconds.
	perLayer float64
	hopWait  float64
	fill     float64
	full     bool
	// firstHopCost is the cost in seconds of beginning a chain at the engine.
	// slotsFull states that the engine's slots for first hops are taken, notTaken that
	// FirstDelay rules it out as the first hop.
	firstHopCost float64
	slotsFull    bool
	notTaken     bool
	// currentLayers are the layers that the engine runs for a request that is
	// moved. prefillPerLayer is the time in seconds for each layer in which the
	// engine reads the tokens so far for other layers.
	currentLayers   savoryworld.LayerRange
	prefillPerLayer float64
}

// candidate returns the engine with its costs for the request.
func (t *Table) candidate(e *Engine, r Request, now time.Time) candidate {
	l := t.expectedLoad(e.ID, r.CurrentChain != nil, now)
	capacity := t.engine.RequestMemory(e.Accelerator, e.Holds.Count())
	fill := 1.0
	if capacity > 0 {
		fill = (l.Memory + float64(r.Tokens*e.Holds.Count())) / capacity
	}
	current := r.CurrentChain.LayersOf(e.ID)
	perLayer := t.layerTime(e, l.Requests)
	if current.Empty() {
		// The time grows with the fill, since a full engine preempts requests.
		perLayer *= 1 + fillCostWeight*fill*fill*fill*fill
	}
	if t.Rand != nil {
		perLayer *= 1 + min(maxJitterFraction, jitterFractionPerEntry*float64(t.Entries))*t.Rand.Float64()
	}
	wait := hopDelay.Seconds() + queueWaitFraction*perLayer*float64(e.Holds.Count())
	maxFill := maxFillRatio - r.Headroom
	switch {
	case r.CurrentChain != nil:
		maxFill = maxMovedFillRatio
	case r.Continuing:
		maxFill = maxContinuingFillRatio
	}
	// An engine that keeps its layers already has the memory.
	c := candidate{Engine: e, perLayer: perLayer, hopWait: wait + t.paceCost(r, e.ID), fill: fill, full: fill > maxFill && current.Empty(), currentLayers: current}
	if r.CurrentChain != nil {
		layers := float64(t.engine.Layers)
		c.prefillPerLayer = t.prefillTime(e, r.Tokens, perLayer*layers) / layers
	}
	if t.engine.Slots > 0 {
		slotFraction := float64(l.First+1) / float64(t.engine.Slots)
		c.slotsFull = slotFraction > maxFirstHopSlotFraction
		c.firstHopCost = wait * slotFraction
	}
	if r.FirstDelay != nil {
		delay, ok := r.FirstDelay(e.ID)
		c.firstHopCost += delay.Seconds()
		c.notTaken = !ok
	}
	return c
}

// prefillTime estimates the time in seconds in which an engine reads a prompt
// of tokens through all layers, between passes that take pass seconds.
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

// layerTime estimates the time of a pass for each layer, in seconds, at an
// engine that runs n requests. It is the time of the batch steps, increased by
// the prefill between them. A request occupies the engine only for its fraction
// of the layers, and prompts arrive at the rate at which answers end.
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
