package savorygate

// This file defines workSums, the work of the entries for which a zone leader relays. It is
// added up at intervals and not for each message: a leader exchanges state with each entry of
// its zone, so its work would grow with the square of their number.

import (
	"net/netip"
	"time"

	"savorycart.example/savorycore/savorynotice"
	"savorycart.example/savorycore/savorypath"
)

// sumInterval is the interval at which a leader adds up the work of the other entries. It is
// short against syncInterval, by which each of them is late anyway.
const sumInterval = syncInterval / 4

// workSums is the work of other entries at a time. The loads are sorted by server, the demands
// by service.
type workSums struct {
	at time.Time
	// zoneLoads and zoneDemands are sums over the other entries of the zone, loads and demands
	// over those of all zones.
	zoneLoads, loads     []savorypath.Load
	zoneDemands, demands []savorynotice.Demand
	// counted is what the sums include of each entry of the zone.
	counted map[netip.AddrPort]reportedWork
	// read is set once this entry has taken the sums over for its own decisions.
	read bool
}

// reportedWork is the work that an entry reported.
type reportedWork struct {
	loads   []savorypath.Load
	demands []savorynotice.Demand
}

// sumsAt returns the sums, which are at most sumInterval old.
func (r *relay) sumsAt(now time.Time) *workSums {
	if age := now.Sub(r.sums.at); age >= 0 && age < sumInterval {
		return &r.sums
	}
	loads, demands := make(loadSum), make(demandSum)
	r.sums = workSums{at: now, counted: make(map[netip.AddrPort]reportedWork)}
	for _, p := range r.zonePeers(now) {
		loads.add(p.loads)
		demands.add(p.demands)
		r.sums.counted[p.entry.Address] = reportedWork{p.loads, p.demands}
	}
	r.sums.zoneLoads, r.sums.zoneDemands = loads.sorted(), demands.sorted()
	for _, p := range r.otherZoneRelays(now) {
		loads.add(p.loads)
		demands.add(p.demands)
	}
	r.sums.loads, r.sums.demands = loads.sorted(), demands.sorted()
	return &r.sums
}

// readSums reports whether loads and demands may have changed since readSums returned true
// last: those of a leader change with its sums.
func (r *relay) readSums(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.large() || !r.isLeader(now) {
		return true
	}
	sums := r.sumsAt(now)
	unread := !sums.read
	sums.read = true
	return unread
}
