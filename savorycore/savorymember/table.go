// Package savorymember keeps an entry's view of its peers, chooses the peers
// that it exchanges state with, and keeps the marks of leaving backend servers.
//
// A Table merges the platform's list of VMs, which lags, with heartbeats. The
// views of different entries may differ at any time and there is no agreement
// protocol, so each rule that uses a view must be safe when views differ. In a
// small fleet all entries exchange heartbeats with one another. In a large fleet
// each entry exchanges heartbeats with one randomly chosen neighbour at a time,
// mostly of its own zone, and new state spreads by gossip: an entry that
// receives new state sends it to a few random neighbours, and heartbeats repair
// what gossip has missed. A few entries of each availability zone watch the
// store; rendezvous hashing chooses them.
//
// The package does no I/O and reads no clock; the caller provides the random
// generator. The types are not safe for concurrent use.
package savorymember

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"savorycart.example/savorycore/savoryhash"
	"savorycart.example/savorycore/savoryworld"
)

const (
	// WatchersPerZone is the number of entries of an availability zone that
	// watch the store.
	WatchersPerZone = 2
	// MaxFullMeshPeers is the maximum number of peers at which an entry
	// exchanges heartbeats with all of them.
	MaxFullMeshPeers = 8
	// unreachableTTL is how long a peer is excluded after it did not answer.
	unreachableTTL = 10 * time.Second
	// minHeartbeatInterval is the minimum time between two exchanges of the same
	// pair of entries in a small fleet. It is below the interval of heartbeat
	// rounds.
	minHeartbeatInterval = 700 * time.Millisecond
	// unlistedTTL is how long a peer stays in the table after its last contact
	// without being on the platform's list, which lags.
	unlistedTTL = 30 * time.Second
	// watchersKey begins the rendezvous keys for the choice of watchers.
	watchersKey = "watchers"
	// sameZoneFanout is the number of entries of its own zone that an entry sends
	// gossip to. otherZoneFanout is the number of entries of each other zone that
	// the origin sends it to.
	sameZoneFanout  = 3
	otherZoneFanout = 2
	// sameZoneNeighbours and otherZoneNeighbours are the numbers of neighbours
	// of an entry in its own zone and in all other zones.
	sameZoneNeighbours  = 10
	otherZoneNeighbours = 5
	// unreachableRetryFraction is the fraction of heartbeat choices in which an
	// unreachable peer is a candidate.
	unreachableRetryFraction = 0.1
	// otherZoneHeartbeatFraction is the fraction of heartbeats sent to other
	// zones.
	otherZoneHeartbeatFraction = 0.25
	// otherZoneGossipFraction is the fraction of gossip receivers that also
	// forward to another zone.
	otherZoneGossipFraction = 0.1
)

// Peer identifies an entry and its location.
type Peer struct {
	Address netip.AddrPort
	Zone    string
	Region  string
}

// Name returns the name of the entry, which is its address for peers.
func (p Peer) Name() string { return p.Address.String() }

// Table is one entry's view of the fleet. Its exported fields are set before
// its first use.
type Table struct {
	Self Peer
	Rand *rand.Rand

	peers map[netip.AddrPort]*peerState
	// sorted holds the peers by address, so that choices are reproducible from
	// the seed.
	sorted []*peerState
}

// peerState is the state of one peer.
type peerState struct {
	peer Peer
	// listed reports whether the platform's list has the peer as live.
	listed bool
	// lastContactAt is the time of the last exchange and lastFailureAt the time
	// of a failed call since then. Zero means none.
	lastContactAt time.Time
	lastFailureAt time.Time
	draining      bool
}

// SetListed updates the table from the platform's list of VMs. Peers that are
// not listed are removed unlistedTTL after the last contact.
func (t *Table) SetListed(vms []savoryworld.VM, now time.Time) {
	listed := make(map[netip.AddrPort]bool)
	for _, vm := range vms {
		if !vm.Entry || vm.Address == t.Self.Address {
			continue
		}
		listed[vm.Address] = true
		s := t.ensureState(Peer{Address: vm.Address, Zone: vm.Zone, Region: vm.Region})
		s.listed = vm.State == savoryworld.VMLive
	}
	for address, s := range t.peers {
		if listed[address] {
			continue
		}
		s.listed = false
		if now.Sub(s.lastContactAt) > unlistedTTL {
			t.remove(address)
		}
	}
}

// RecordContact records that the peer answered a call or sent a heartbeat.
func (t *Table) RecordContact(peer Peer, draining bool, now time.Time) {
	if peer.Address == t.Self.Address {
		return
	}
	s := t.ensureState(peer)
	s.peer = peer
	s.lastContactAt = now
	s.lastFailureAt = time.Time{}
	s.draining = draining
}

// RecordFailure records that the peer at address did not answer a call.
func (t *Table) RecordFailure(address netip.AddrPort, now time.Time) {
	if s := t.peers[address]; s != nil {
		s.lastFailureAt = now
	}
}

// Peers returns all peers in the table, sorted by address.
func (t *Table) Peers() []Peer {
	return t.selectPeers(func(*peerState) bool { return true })
}

// Live returns the live peers, sorted by address.
func (t *Table) Live(now time.Time) []Peer {
	return t.selectPeers(func(s *peerState) bool { return s.live(now) })
}

// Watchers returns the entries of a zone that watch the store in this entry's
// view, in descending order of rendezvous weight.
func (t *Table) Watchers(zone string, now time.Time) []Peer {
	members := t.selectPeers(func(s *peerState) bool {
		return s.peer.Zone == zone && s.live(now) && !s.draining
	})
	if t.Self.Zone == zone {
		members = append(members, t.Self)
	}
	return savoryhash.Top(watchersKey+" "+zone, members, Peer.Name, WatchersPerZone)
}

// IsWatcher reports whether this entry watches the store in its own view.
func (t *Table) IsWatcher(now time.Time) bool {
	return slices.Contains(t.Watchers(t.Self.Zone, now), t.Self)
}

// HeartbeatTargets returns the peers to exchange a heartbeat with at now. In a
// large fleet this is one of the entry's neighbours: connections to neighbours
// are reused, while each heartbeat to a random entry would open a new one.
// Unreachable peers are sometimes chosen, so that a recovered link is detected.
func (t *Table) HeartbeatTargets(now time.Time) []Peer {
	if len(t.sorted) <= MaxFullMeshPeers {
		// An exchange updates both entries, so the first heartbeat of a round
		// serves both.
		return t.selectPeers(func(s *peerState) bool { return now.Sub(s.lastContactAt) >= minHeartbeatInterval })
	}
	otherZone := t.Rand.Float64() < otherZoneHeartbeatFraction
	return t.sample(1, t.neighbours(otherZone, func(s *peerState) bool { return s.live(now) || t.Rand.Float64() < unreachableRetryFraction }))
}

// GossipTargets returns the peers that new state is sent to. The entry at which
// the state originates sends it to every zone, a receiver to a few neighbours.
// In a small fleet only the origin sends, to all live peers.
func (t *Table) GossipTargets(origin bool, now time.Time) []Peer {
	if len(t.sorted) <= MaxFullMeshPeers {
		if origin {
			return t.Live(now)
		}
		return nil
	}
	live := func(s *peerState) bool { return s.live(now) }
	targets := t.sample(sameZoneFanout, t.neighbours(false, live))
	if !origin {
		if t.Rand.Float64() < otherZoneGossipFraction {
			targets = append(targets, t.sample(1, t.neighbours(true, live))...)
		}
		return targets
	}
	for _, zone := range t.otherZones(now) {
		inZone := t.selectPeers(func(s *peerState) bool { return s.peer.Zone == zone && s.live(now) })
		targets = append(targets, t.sample(otherZoneFanout, inZone)...)
	}
	return targets
}

// neighbours returns this entry's neighbours in its own zone or in the other
// zones: the peers with the highest rendezvous weight among those that accept
// returns true for. The graph of all neighbours is random, so gossip spreads as
// if receivers were chosen anew each time.
func (t *Table) neighbours(otherZone bool, accept func(*peerState) bool) []Peer {
	n := sameZoneNeighbours
	if otherZone {
		n = otherZoneNeighbours
	}
	peers := t.selectPeers(func(s *peerState) bool { return (s.peer.Zone != t.Self.Zone) == otherZone && accept(s) })
	return savoryhash.Top(t.Self.Name(), peers, Peer.Name, n)
}

// otherZones returns the other zones with a live entry, sorted.
func (t *Table) otherZones(now time.Time) []string {
	var zones []string
	for _, s := range t.sorted {
		if s.peer.Zone != t.Self.Zone && s.live(now) && !slices.Contains(zones, s.peer.Zone) {
			zones = append(zones, s.peer.Zone)
		}
	}
	slices.Sort(zones)
	return zones
}

// sample returns up to n random peers. It reorders the given slice.
func (t *Table) sample(n int, peers []Peer) []Peer {
	t.Rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(n, len(peers))]
}

// ensureState returns the state of a peer and adds the peer if it is absent.
func (t *Table) ensureState(peer Peer) *peerState {
	if t.peers == nil {
		t.peers = make(map[netip.AddrPort]*peerState)
	}
	s := t.peers[peer.Address]
	if s == nil {
		s = &peerState{peer: peer}
		t.peers[peer.Address] = s
		at, _ := t.index(peer.Address)
		t.sorted = slices.Insert(t.sorted, at, s)
	}
	return s
}

// remove deletes the peer at address from the table.
func (t *Table) remove(address netip.AddrPort) {
	delete(t.peers, address)
	if at, found := t.index(address); found {
		t.sorted = slices.Delete(t.sorted, at, at+1)
	}
}

// index returns the position of address in sorted, or where to insert it, and
// whether it is present.
func (t *Table) index(address netip.AddrPort) (int, bool) {
	return slices.BinarySearchFunc(t.sorted, address, func(s *peerState, address netip.AddrPort) int {
		return s.peer.Address.Compare(address)
	})
}

// selectPeers returns the peers for which keep returns true, sorted by address.
func (t *Table) selectPeers(keep func(*peerState) bool) []Peer {
	var peers []Peer
	for _, s := range t.sorted {
		if keep(s) {
			peers = append(peers, s.peer)
		}
	}
	return peers
}

// live reports whether the peer counts as live: it is listed or had a contact
// within unlistedTTL, and no call has failed since within unreachableTTL.
func (s *peerState) live(now time.Time) bool {
	if !s.lastFailureAt.IsZero() && now.Sub(s.lastFailureAt) < unreachableTTL {
		return false
	}
	return s.listed || now.Sub(s.lastContactAt) < unlistedTTL
}
