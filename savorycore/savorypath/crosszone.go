package savorypath

// This file bounds the use of the link between availability zones, which all chains over
// several zones share.

import "time"

const (
	// maxCrossZoneBandwidthFraction is the fraction of the bandwidth between
	// zones that chains over several zones may use. All these chains share the
	// link, and it may be slow.
	maxCrossZoneBandwidthFraction = 0.25
	// maxAdmissionGrowth bounds the growth of the admitted fraction of chains
	// over several zones in unreportedWindow, so that it about doubles in a
	// second; it shrinks at once.
	maxAdmissionGrowth = 1.25
)

// CrossZoneLink is the Server of the Load that reports how much an entry recently
// sent over the link between zones. Its Memory is a sum of tokens, each counted
// once for each hop into another zone.
const CrossZoneLink = "link between zones"

// zoneCrossings returns the number of hops of a chain that cross into another
// zone.
func (t *Table) zoneCrossings(chain Chain) int {
	zones := make(map[string]string, len(t.engines))
	for id, f := range t.former {
		zones[id] = f.Zone
	}
	for i := range t.engines {
		zones[t.engines[i].ID] = t.engines[i].Zone
	}
	n := 0
	for i := 1; i < len(chain); i++ {
		if zones[chain[i].Server] != zones[chain[i-1].Server] {
			n++
		}
	}
	return n
}

// crossZoneBudget returns the number of tokens that all entries together may send
// between zones in unreportedWindow, or 0 if the bandwidth is unknown.
func (t *Table) crossZoneBudget() float64 {
	e := t.engine
	if e == nil || e.PipeMbps <= 0 || e.ActivationBytes <= 0 {
		return 0
	}
	const bitsPerMbit = 1e6
	return maxCrossZoneBandwidthFraction * e.PipeMbps * bitsPerMbit / 8 / float64(e.ActivationBytes) * unreportedWindow.Seconds()
}

// crossZoneLinkFree reports whether the link between zones has bandwidth for
// another number of tokens. The bound holds for the reported traffic of all
// entries.
func (t *Table) crossZoneLinkFree(tokens int, now time.Time) bool {
	budget := t.crossZoneBudget()
	return budget == 0 || t.crossZoneSent(now)+float64(tokens) <= budget
}

// crossZoneSent returns the number of tokens that all entries recently sent
// between zones, as far as they are reported.
func (t *Table) crossZoneSent(now time.Time) float64 {
	return t.crossZoneTokens.value(now) + t.peerTotals[CrossZoneLink].Memory
}

// admitCrossZone decides at random whether a new request may use a chain over
// several zones. Reports of the peers lag, so each entry admits only a fraction
// of its requests, which shrinks while the reported traffic exceeds its bound.
func (t *Table) admitCrossZone() bool {
	return t.Rand == nil || t.Rand.Float64() < t.crossZoneFraction()
}

// crossZoneFraction returns the fraction of the chains over several zones that
// this entry admits. Before the first report it is the least fraction.
func (t *Table) crossZoneFraction() float64 {
	return max(t.crossZoneAdmission, t.leastCrossZoneFraction())
}

// leastCrossZoneFraction returns the fraction with which one request of usual
// size from each entry fits the bound.
func (t *Table) leastCrossZoneFraction() float64 {
	usual := max(1, t.engine.UsualPrompt+t.engine.UsualAnswer)
	budget := t.crossZoneBudget()
	if budget == 0 {
		return 1
	}
	return min(1, budget/float64(usual*max(1, t.Entries)))
}

// adjustCrossZoneAdmission adapts the admitted fraction to the reported traffic
// between zones, once in unreportedWindow: sooner the reports do not yet include
// the effect of the last change.
func (t *Table) adjustCrossZoneAdmission(now time.Time) {
	if t.engine == nil || now.Sub(t.admissionChangedAt) < unreportedWindow {
		return
	}
	t.admissionChangedAt = now
	factor := maxAdmissionGrowth
	if sent := t.crossZoneSent(now); sent > 0 {
		factor = min(factor, t.crossZoneBudget()/sent)
	}
	t.crossZoneAdmission = min(1, t.crossZoneFraction()*factor)
}
