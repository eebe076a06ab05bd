package savorygate

// This file adds up the requests in flight at engines over all entries. In a large
// fleet zone leaders pass on sums. Each entry must be counted once in the sum that
// any other receives, also while a zone has two leaders.

import (
	"slices"
	"strings"
	"time"

	"savorycart.example/savorycore/savorypath"
	"savorycart.example/savorycore/savorypeer"
)

// loadTTL is the age up to which a peer's loads count. The requests of a peer that
// is unreachable for longer count as ended.
const loadTTL = 2 * peerTTL

// leaderChangeWindow is the time in which the entries of a zone detect that their
// leader has failed and exchange state with the next one.
const leaderChangeWindow = peerTTL + 2*syncInterval

// loadSum is a sum of loads by server.
type loadSum map[string]savorypath.Load

func (s loadSum) add(loads []savorypath.Load) {
	for _, l := range loads {
		sum := s[l.Server]
		sum.Server, sum.Requests, sum.Memory, sum.First = l.Server, sum.Requests+l.Requests, sum.Memory+l.Memory, sum.First+l.First
		s[l.Server] = sum
	}
}

// sorted returns the sums in the order of the servers' names.
func (s loadSum) sorted() []savorypath.Load {
	all := make([]savorypath.Load, 0, len(s))
	for _, l := range s {
		all = append(all, l)
	}
	slices.SortFunc(all, func(a, b savorypath.Load) int { return strings.Compare(a.Server, b.Server) })
	return all
}

// loadsFor returns the loads to report to an entry, and whether they include those
// of other entries. An entry that is not the leader of its zone in a large fleet
// reports its own. A leader reports to an entry of its zone the sum of all entries
// except the receiver, and to other zones the sum of its zone.
func (r *relay) loadsFor(to savorypeer.Entry, own []savorypath.Load, now time.Time) ([]savorypath.Load, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.large() || !r.isLeader(now) {
		return own, false
	}
	sums := r.sumsAt(now)
	if to.Zone != r.self.Zone {
		return replaceLoads(slices.Clone(sums.zoneLoads), nil, own), true
	}
	return r.raisedToLeaderLoads(replaceLoads(sums.loadsWithout(to), nil, own), now), true
}

func compareServer(l savorypath.Load, server string) int { return strings.Compare(l.Server, server) }

// loads returns the loads of all other entries by peer. In a large fleet it returns
// one sum under a single key.
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
	if p := r.zoneRelay(r.self.Zone, now); p != nil && !r.isLeader(now) {
		r.leaderLoads, r.leaderLoadsAt = p.loads, now
		byPeer["others"] = p.loads
	} else {
		// A leader, or an entry that has no leader or has not yet received its loads.
		byPeer["others"] = r.raisedToLeaderLoads(slices.Clone(r.sumsAt(now).loads), now)
	}
	return byPeer
}

// raisedToLeaderLoads replaces the loads of a server in sorted ones by those that the last
// leader reported if their memory is larger, for leaderChangeWindow: until then its
// successor may not have received the loads of all entries of the zone. It works in place.
func (r *relay) raisedToLeaderLoads(sorted []savorypath.Load, now time.Time) []savorypath.Load {
	if now.Sub(r.leaderLoadsAt) > leaderChangeWindow {
		return sorted
	}
	for _, l := range r.leaderLoads {
		i, found := slices.BinarySearchFunc(sorted, l.Server, compareServer)
		switch {
		case !found:
			sorted = slices.Insert(sorted, i, l)
		case l.Memory > sorted[i].Memory:
			sorted[i] = l
		}
	}
	return sorted
}

// zonePeers returns the entries of this zone that report for themselves only.
func (r *relay) zonePeers(now time.Time) []*relayPeer {
	var found []*relayPeer
	for _, p := range r.mates() {
		if !p.relayed && now.Sub(p.contactAt) < loadTTL {
			found = append(found, p)
		}
	}
	return found
}

// otherZoneRelays returns the peers whose sums count for the other zones.
func (r *relay) otherZoneRelays(now time.Time) []*relayPeer {
	zones := make(map[string]bool)
	for _, p := range r.peers {
		zones[p.entry.Zone] = true
	}
	delete(zones, r.self.Zone)
	var found []*relayPeer
	for zone := range zones {
		if p := r.zoneRelay(zone, now); p != nil {
			found = append(found, p)
		}
	}
	return found
}

// zoneRelay returns the peer whose sum counts for a zone: the one that relays and
// was in contact last, nil if there is none. If two relay at once, their sums
// include the same entries.
func (r *relay) zoneRelay(zone string, now time.Time) *relayPeer {
	var last *relayPeer
	for _, p := range r.peers {
		if p.entry.Zone == zone && p.relayed && now.Sub(p.contactAt) < loadTTL && (last == nil || p.contactAt.After(last.contactAt)) {
			last = p
		}
	}
	return last
}
