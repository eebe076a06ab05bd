// Package savorymember decides which entries a node talks to, and keeps the
// marks of backend servers that are leaving.
//
// A Table merges the platform's lagging list of VMs with heartbeats. Views of
// different entries differ at any time and nothing is agreed: each rule that
// uses a view must be safe when views differ. A small fleet exchanges
// heartbeats all with all. In a large one each entry exchanges one with a
// random entry at a time, mostly of its own zone, and news travel as an
// epidemic: who hears something new hands it to a few random entries, and
// heartbeats close what is left open. A few entries of each availability zone
// are watchers of the store, chosen by rendezvous hashing.
//
// The package decides only: it does no I/O, reads no clock, and takes its
// random numbers from a generator that it is given. Its types are not safe for
// concurrent use.
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
	// MaxFullMeshPeers is the most peers with which an entry exchanges heartbeats with
	// all of them.
	MaxFullMeshPeers = 8
	// unreachableTTL is how long a peer that did not answer is left out.
	unreachableTTL = 10 * time.Second
	// minHeartbeatInterval is how long after an exchange a small fleet needs no other one
	// between the same two entries. It is below the interval of the rounds.
	minHeartbeatInterval = 700 * time.Millisecond
	// unlistedTTL is how long a peer that answered stays known without being on
	// the platform's list, which lags.
	unlistedTTL = 30 * time.Second
	// watchersKey is the rendezvous key of the choice of watchers.
	watchersKey = "watchers"
	// sameZoneFanout is the number of entries of the own zone that news are handed
	// to, and farFanout the number of entries of each other zone at the origin.
	sameZoneFanout = 3
	otherZoneFanout  = 2
	// sameZoneNeighbours and farNeighbours are the numbers of an entry's neighbours
	// in its own zone and in the others.
	sameZoneNeighbours = 10
	otherZoneNeighbours  = 5
	// unreachableRetryFraction is the part of the choices at which a missed peer counts.
	unreachableRetryFraction = 0.1
	// otherZoneHeartbeatFraction is the part of heartbeats that leave the own zone.
	otherZoneHeartbeatFraction = 0.25
	// otherZoneGossipFraction is the part of receivers that hand news to another zone too.
	otherZoneGossipFraction = 0.1
)

// Peer is another entry.
type Peer struct {
	Address netip.AddrPort
	Zone    string
	Region  string
}

// Name returns the name of the entry, which is its peers' address.
func (p Peer) Name() string { return p.Address.String() }

// Table is one entry's view of the fleet. Its exported fields are set before
// its first use.
type Table struct {
	Self Peer
	Rand *rand.Rand

	peers map[netip.AddrPort]*peerState
	// sorted lists the peers by address, so that decisions repeat by seed.
	sorted []*peerState
}

type peerState struct {
	peer Peer
	// listed says that the platform's list has the peer as live.
	listed   bool
	lastContactAt  time.Time
	lastFailureAt time.Time
	draining bool
}

// SetListed takes the platform's list.
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

// RecordContact records that peer answered or sent a heartbeat.
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

// RecordFailure records that a call to the address was not answered.
func (t *Table) RecordFailure(address netip.AddrPort, now time.Time) {
	if s := t.peers[address]; s != nil {
		s.lastFailureAt = now
	}
}

// Peers returns all known peers, by address.
func (t *Table) Peers() []Peer {
	return t.selectPeers(func(*peerState) bool { return true })
}

// Live returns the peers that count as live, by address.
func (t *Table) Live(now time.Time) []Peer {
	return t.selectPeers(func(s *peerState) bool { return s.live(now) })
}

// Watchers returns the entries of a zone that watch the store in this entry's
// view, first choice first.
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

// HeartbeatTargets returns the peers to exchange a heartbeat with now. In a
// large fleet it is one of the entry's neighbours: connections to them are kept,
// while one to a random entry would be opened for each heartbeat. Peers that
// were missed are among the neighbours at times, so that a healed link is
// noticed.
func (t *Table) HeartbeatTargets(now time.Time) []Peer {
	if len(t.sorted) <= MaxFullMeshPeers {
		// An exchange tells both sides, so the one that comes first serves both.
		return t.selectPeers(func(s *peerState) bool { return now.Sub(s.lastContactAt) >= minHeartbeatInterval })
	}
	otherZone := t.Rand.Float64() < otherZoneHeartbeatFraction
	return t.sample(1, t.neighbours(otherZone, func(s *peerState) bool { return s.live(now) || t.Rand.Float64() < unreachableRetryFraction }))
}

// GossipTargets returns the peers that news is handed to. The entry where it
// began hands it to every zone, a receiver to a few neighbours.
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

// neighbours returns the peers, of the own zone or of the others, that keep
// accepts and that rendezvous hashing gives to this entry. The graph of all
// neighbours is random, so news spread as if partners were picked anew each
// time.
func (t *Table) neighbours(otherZone bool, accept func(*peerState) bool) []Peer {
	n := sameZoneNeighbours
	if otherZone {
		n = otherZoneNeighbours
	}
	peers := t.selectPeers(func(s *peerState) bool { return (s.peer.Zone != t.Self.Zone) == otherZone && accept(s) })
	return savoryhash.Top(t.Self.Name(), peers, Peer.Name, n)
}

// otherZones returns the other zones that hold a live entry, sorted.
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

// sample returns up to n sample ones of peers, which it reorders.
func (t *Table) sample(n int, peers []Peer) []Peer {
	t.Rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(n, len(peers))]
}

// ensureState returns the ensureState of a peer, new if it was not known.
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

func (t *Table) remove(address netip.AddrPort) {
	delete(t.peers, address)
	if at, found := t.index(address); found {
		t.sorted = slices.Delete(t.sorted, at, at+1)
	}
}

func (t *Table) index(address netip.AddrPort) (int, bool) {
	return slices.BinarySearchFunc(t.sorted, address, func(s *peerState, address netip.AddrPort) int {
		return s.peer.Address.Compare(address)
	})
}

func (t *Table) selectPeers(keep func(*peerState) bool) []Peer {
	var peers []Peer
	for _, s := range t.sorted {
		if keep(s) {
			peers = append(peers, s.peer)
		}
	}
	return peers
}

// live reports whether the peer counts as live: it is listed or was heard of
// lately, and was not missed since.
func (s *peerState) live(now time.Time) bool {
	if !s.lastFailureAt.IsZero() && now.Sub(s.lastFailureAt) < unreachableTTL {
		return false
	}
	return s.listed || now.Sub(s.lastContactAt) < unlistedTTL
}
