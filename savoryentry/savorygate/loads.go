package savorygate

// This file adds up what the entries have in flight at engines. In a large fleet
// the heads hand on sums, and each entry must be counted once in what any other
// gets, also while two take themselves for the head of a zone.

import (
	"slices"
	"strings"
	"time"

	"savorycart.example/savorycore/savorypath"
	"savorycart.example/savorycore/savorypeer"
)

// loadTTL is the age up to which a peer's load counts; the requests of one that
// is silent for longer have ended with it.
const loadTTL = 2 * peerTTL

// leaderChangeWindow is the time in which the entries of a zone find out that their head
// is lost and exchange news with the next one.
const leaderChangeWindow = peerTTL + 2*syncInterval

// loadSum adds up loads by server.
type loadSum map[string]savorypath.Load

func (s loadSum) add(loads []savorypath.Load) {
	for _, l := range loads {
		sum := s[l.Server]
		sum.Server, sum.Requests, sum.Memory, sum.First = l.Server, sum.Requests+l.Requests, sum.Memory+l.Memory, sum.First+l.First
		s[l.Server] = sum
	}
}

// sorted returns the sums by server.
func (s loadSum) sorted() []savorypath.Load {
	all := make([]savorypath.Load, 0, len(s))
	for _, l := range s {
		all = append(all, l)
	}
	slices.SortFunc(all, func(a, b savorypath.Load) int { return strings.Compare(a.Server, b.Server) })
	return all
}

// loadsFor returns what is in flight at engines by own and those for which this
// entry relays, as the receiver is to count it, and whether any are relayed: to
// an entry of the zone all but its own, to another zone what this one has.
func (r *relay) loadsFor(to savorypeer.Entry, own []savorypath.Load, now time.Time) ([]savorypath.Load, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.large() || !r.isLeader(now) {
		return own, false
	}
	sum := make(loadSum)
	sum.add(own)
	r.addZone(sum, to, now)
	if to.Zone == r.self.Zone {
		r.addOtherZones(sum, now)
		r.raiseToLeaderLoads(sum, now)
	}
	return sum.sorted(), true
}

// loads returns what all others have in flight, by peer; the sum of a large fleet
// stands under one name.
func (r *relay) loads(now time.Time) map[string][]savorypath.Load {
	r.mu.Lock()
	defer r.mu.Unlock()
	byPeer := make(map[string][]savorypath.Load)
	if !r.large() {
		for address, p := range r.peers {
			if now.Sub(p.contactAt) < loadTTL {
				byPeer[address.String()] = p.loads
			}
		}
		return byPeer
	}
	sum := make(loadSum)
	if p := r.zoneRelay(r.self.Zone, now); p != nil && !r.isLeader(now) {
		sum.add(p.loads)
		r.leaderLoads, r.leaderLoadsAt = p.loads, now
	} else {
		// A head, or one that has none any more or not yet.
		r.addZone(sum, savorypeer.Entry{}, now)
		r.addOtherZones(sum, now)
		r.raiseToLeaderLoads(sum, now)
	}
	byPeer["others"] = sum.sorted()
	return byPeer
}

// raiseToLeaderLoads lifts the sum to what the last head told, until its successor is told by
// the zone.
func (r *relay) raiseToLeaderLoads(sum loadSum, now time.Time) {
	if now.Sub(r.leaderLoadsAt) > leaderChangeWindow {
		return
	}
	for _, l := range r.leaderLoads {
		if l.Memory > sum[l.Server].Memory {
			sum[l.Server] = l
		}
	}
}

// addZone adds what the entries of the own zone have, but for one.
func (r *relay) addZone(sum loadSum, except savorypeer.Entry, now time.Time) {
	for _, p := range r.peers {
		if p.entry.Zone == r.self.Zone && p.entry.Address != except.Address && !p.relayed && now.Sub(p.contactAt) < loadTTL {
			sum.add(p.loads)
		}
	}
}

// addOtherZones adds what the heads of the other zones told.
func (r *relay) addOtherZones(sum loadSum, now time.Time) {
	zones := make(map[string]bool)
	for _, p := range r.peers {
		zones[p.entry.Zone] = true
	}
	delete(zones, r.self.Zone)
	for zone := range zones {
		if p := r.zoneRelay(zone, now); p != nil {
			sum.add(p.loads)
		}
	}
}

// zoneRelay returns the peer whose sums count for a zone: the one that relays and
// was heard last. Two that do so at once have the same entries in their sums.
func (r *relay) zoneRelay(zone string, now time.Time) *relayPeer {
	var last *relayPeer
	for _, p := range r.peers {
		if p.entry.Zone == zone && p.relayed && now.Sub(p.contactAt) < loadTTL && (last == nil || p.contactAt.After(last.contactAt)) {
			last = p
		}
	}
	return last
}
