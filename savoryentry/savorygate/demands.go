package savorygate

// This file adds up the demand of callers over all entries, on the paths on which loads are
// added up: directly in a small fleet, through the leaders of zones in a large one.

import (
	"maps"
	"slices"
	"strings"
	"time"

	"savorycart.example/savorycore/savorynotice"
	"savorycart.example/savorycore/savorypeer"
)

// demandSum is the sum of demands, in requests per second by service.
type demandSum map[string]float64

func (s demandSum) add(demands []savorynotice.Demand) {
	for _, d := range demands {
		s[d.Service] += d.Rate
	}
}

// replace adds demands and subtracts old ones. A sum may then differ from the one that is
// made anew by what the addition of floats rounds off.
func (s demandSum) replace(old, added []savorynotice.Demand) {
	s.add(added)
	for _, d := range old {
		s[d.Service] = max(0, s[d.Service]-d.Rate)
	}
}

// sorted returns the sums in the order of the services' names.
func (s demandSum) sorted() []savorynotice.Demand {
	all := make([]savorynotice.Demand, 0, len(s))
	for service, rate := range s {
		all = append(all, savorynotice.Demand{Service: service, Rate: rate})
	}
	slices.SortFunc(all, func(a, b savorynotice.Demand) int { return strings.Compare(a.Service, b.Service) })
	return all
}

// demandsFor returns the demands to report to an entry: those of the entries whose loads
// loadsFor reports to it.
func (r *relay) demandsFor(to savorypeer.Entry, own []savorynotice.Demand, now time.Time) []savorynotice.Demand {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.large() || !r.isLeader(now) {
		return own
	}
	sums := r.sumsAt(now)
	if to.Zone != r.self.Zone {
		sum := maps.Clone(sums.zoneDemands)
		sum.add(own)
		return sum.sorted()
	}
	sum := maps.Clone(sums.demands)
	sum.replace(sums.counted[to.Address].demands, own)
	r.raiseToLeaderDemands(sum, now)
	return sum.sorted()
}

// demands returns the demand at all other entries.
func (r *relay) demands(now time.Time) demandSum {
	r.mu.Lock()
	defer r.mu.Unlock()
	sum := make(demandSum)
	if !r.large() {
		for _, p := range r.peers {
			if now.Sub(p.contactAt) < loadTTL {
				sum.add(p.demands)
			}
		}
		return sum
	}
	if p := r.zoneRelay(r.self.Zone, now); p != nil && !r.isLeader(now) {
		sum.add(p.demands)
		r.leaderDemands, r.leaderDemandsAt = p.demands, now
		return sum
	}
	maps.Copy(sum, r.sumsAt(now).demands)
	r.raiseToLeaderDemands(sum, now)
	return sum
}

// raiseToLeaderDemands raises sums to those that the last leader reported, for
// leaderChangeWindow.
func (r *relay) raiseToLeaderDemands(sum demandSum, now time.Time) {
	if now.Sub(r.leaderDemandsAt) > leaderChangeWindow {
		return
	}
	for _, d := range r.leaderDemands {
		sum[d.Service] = max(sum[d.Service], d.Rate)
	}
}

// liveNames returns the names of the other live entries under which they share limits.
func (r *relay) liveNames(now time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var names []string
	for address, p := range r.peers {
		if p.presumedLive(now) {
			names = append(names, address.String())
		}
	}
	return names
}
