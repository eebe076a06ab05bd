package savorygate

// This file defines workSums, the work of the entries for which a zone leader relays. Each
// report changes the sums by its difference from the one before: a leader exchanges state with
// each entry of its zone, so with new sums for each exchange its work would grow with the
// square of their number.

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"savorycart.example/savorycore/savorynotice"
	"savorycart.example/savorycore/savorypath"
	"savorycart.example/savorycore/savorypeer"
)

// sumInterval is the interval at which the sums are made anew, without the entries that no
// longer report.
const sumInterval = syncInterval

// workSums is the work of other entries, made anew at a time and kept up to date since. The
// loads are sorted by server.
type workSums struct {
	at time.Time
	// zoneLoads and zoneDemands are sums over the other entries of the zone, loads and demands
	// over those of all zones.
	zoneLoads, loads     []savorypath.Load
	zoneDemands, demands demandSum
	// counted is what the sums include of each entry of the zone, and relayed what they include
	// of each other zone.
	counted map[netip.AddrPort]reportedWork
	relayed map[string]reportedWork
}

// reportedWork is the work that an entry reported.
type reportedWork struct {
	by      netip.AddrPort
	loads   []savorypath.Load
	demands []savorynotice.Demand
}

func (p *relayPeer) work() reportedWork {
	return reportedWork{by: p.entry.Address, loads: p.loads, demands: p.demands}
}

// sumsAt returns the sums, which include the last reports of the others.
func (r *relay) sumsAt(now time.Time) *workSums {
	if r.sums.fresh(now) {
		return &r.sums
	}
	r.sums = workSums{at: now, zoneDemands: make(demandSum), counted: make(map[netip.AddrPort]reportedWork), relayed: make(map[string]reportedWork)}
	loads := make(loadSum)
	for _, p := range r.zonePeers(now) {
		loads.add(p.loads)
		r.sums.zoneDemands.add(p.demands)
		r.sums.counted[p.entry.Address] = p.work()
	}
	r.sums.zoneLoads, r.sums.demands = loads.sorted(), maps.Clone(r.sums.zoneDemands)
	for _, p := range r.otherZoneRelays(now) {
		loads.add(p.loads)
		r.sums.demands.add(p.demands)
		r.sums.relayed[p.entry.Zone] = p.work()
	}
	r.sums.loads = loads.sorted()
	return &r.sums
}

func (s *workSums) fresh(now time.Time) bool {
	age := now.Sub(s.at)
	return age >= 0 && age < sumInterval
}

// countReport brings the sums up to date with a peer's new report.
func (r *relay) countReport(p *relayPeer, now time.Time) {
	s := &r.sums
	if !s.fresh(now) {
		return
	}
	switch own := p.entry.Zone == r.self.Zone; {
	case own && !p.relayed:
		s.zoneLoads = replaceLoads(s.zoneLoads, s.counted[p.entry.Address].loads, p.loads)
		s.zoneDemands.replace(s.counted[p.entry.Address].demands, p.demands)
		s.replace(s.counted[p.entry.Address], p)
		s.counted[p.entry.Address] = p.work()
	case !own && p.relayed:
		s.replace(s.relayed[p.entry.Zone], p)
		s.relayed[p.entry.Zone] = p.work()
	case own || s.relayed[p.entry.Zone].by == p.entry.Address:
		// The entry began or ceased to relay.
		s.at = time.Time{}
	}
}

// replace replaces a report in the sums over all zones.
func (s *workSums) replace(old reportedWork, p *relayPeer) {
	s.loads = replaceLoads(s.loads, old.loads, p.loads)
	s.demands.replace(old.demands, p.demands)
}

// loadsWithout returns the sum over all zones without the report of an entry of the zone.
func (s *workSums) loadsWithout(e savorypeer.Entry) []savorypath.Load {
	return replaceLoads(slices.Clone(s.loads), s.counted[e.Address].loads, nil)
}

// replaceLoads adds loads to sorted ones and subtracts old ones, in place.
func replaceLoads(sorted, old, added []savorypath.Load) []savorypath.Load {
	if slices.Equal(old, added) {
		return sorted
	}
	for _, l := range added {
		i, found := slices.BinarySearchFunc(sorted, l.Server, compareServer)
		if !found {
			sorted = slices.Insert(sorted, i, savorypath.Load{Server: l.Server})
		}
		sorted[i].Requests, sorted[i].Memory, sorted[i].First = sorted[i].Requests+l.Requests, sorted[i].Memory+l.Memory, sorted[i].First+l.First
	}
	for _, l := range old {
		if i, found := slices.BinarySearchFunc(sorted, l.Server, compareServer); found {
			sorted[i].Requests, sorted[i].Memory, sorted[i].First = sorted[i].Requests-l.Requests, sorted[i].Memory-l.Memory, sorted[i].First-l.First
		}
	}
	if len(old) == 0 {
		return sorted
	}
	return slices.DeleteFunc(sorted, func(l savorypath.Load) bool { return l.Requests == 0 && l.Memory == 0 && l.First == 0 })
}
