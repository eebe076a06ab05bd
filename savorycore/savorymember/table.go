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
	// missedFor is how long a peer that did not answer is left out.
	missedFor = 10 * time.Second
	// heardFresh is how long after an exchange a small fleet needs no other one
	// between the same two entries. It is below the interval of the rounds.
	heardFresh = 700 * time.Millisecond
	// unlistedFor is how long a peer that answered stays known without being on
	// the platform's list, which lags.
	unlistedFor = 30 * time.Second
	// watchersKey is the rendezvous key of the choice of watchers.
	watchersKey = "watchers"
	// nearFanout is the number of entries of the own zone that news are handed
	// to, and farFanout the number of entries of each other zone at the origin.
	nearFanout = 3
	farFanout  = 2
	// nearNeighbours and farNeighbours are the numbers of an entry's neighbours
	// in its own zone and in the others.
	nearNeighbours = 10
	farNeighbours  = 5
	// retryMissed is the part of the choices at which a missed peer counts.
	retryMissed = 0.1
	// farHeartbeat is the part of heartbeats that leave the own zone.
	farHeartbeat = 0.25
	// farNews is the part of receivers that hand news to another zone too.
	farNews = 0.1
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
	// order lists the peers by address, so that decisions repeat by seed.
	order []*peerState
}

type peerState struct {
	peer Peer
	// listed says that the platform's list has the peer as live.
	listed   bool
	heardAt  time.Time
	missedAt time.Time
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
		s := t.state(Peer{Address: vm.Address, Zone: vm.Zone, Region: vm.Region})
		s.listed = vm.State == savoryworld.VMLive
	}
	for address, s := range t.peers {
		if listed[address] {
			continue
		}
		s.listed = false
		if now.Sub(s.heardAt) > unlistedFor {
			t.forget(address)
		}
	}
}

// RecordContact records that peer answered or sent a heartbeat.
func (t *Table) RecordContact(peer Peer, draining bool, now time.Time) {
	if peer.Address == t.Self.Address {
		return
	}
	s := t.state(peer)
	s.peer = peer
	s.heardAt = now
	s.missedAt = time.Time{}
	s.draining = draining
}

// RecordFailure records that a call to the address was not answered.
func (t *Table) RecordFailure(address netip.AddrPort, now time.Time) {
	if s := t.peers[address]; s != nil {
		s.missedAt = now
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
	if len(t.order) <= MaxFullMeshPeers {
		// An exchange tells both sides, so the one that comes first serves both.
		return t.selectPeers(func(s *peerState) bool { return now.Sub(s.heardAt) >= heardFresh })
	}
	far := t.Rand.Float64() < farHeartbeat
	return t.random(1, t.neighbours(far, func(s *peerState) bool { return s.live(now) || t.Rand.Float64() < retryMissed }))
}

// GossipTargets returns the peers that news is handed to. The entry where it
// began hands it to every zone, a receiver to a few neighbours.
func (t *Table) GossipTargets(origin bool, now time.Time) []Peer {
	if len(t.order) <= MaxFullMeshPeers {
		if origin {
			return t.Live(now)
		}
		return nil
	}
	live := func(s *peerState) bool { return s.live(now) }
	targets := t.random(nearFanout, t.neighbours(false, live))
	if !origin {
		if t.Rand.Float64() < farNews {
			targets = append(targets, t.random(1, t.neighbours(true, live))...)
		}
		return targets
	}
	for _, zone := range t.otherZones(now) {
		inZone := t.selectPeers(func(s *peerState) bool { return s.peer.Zone == zone && s.live(now) })
		targets = append(targets, t.random(farFanout, inZone)...)
	}
	return targets
}

// neighbours returns the peers, of the own zone or of the others, that keep
// accepts and that rendezvous hashing gives to this entry. The graph of all
// neighbours is random, so news spread as if partners were picked anew each
// time.
func (t *Table) neighbours(far bool, keep func(*peerState) bool) []Peer {
	n := nearNeighbours
	if far {
		n = farNeighbours
	}
	peers := t.selectPeers(func(s *peerState) bool { return (s.peer.Zone != t.Self.Zone) == far && keep(s) })
	return savoryhash.Top(t.Self.Name(), peers, Peer.Name, n)
}

// otherZones returns the other zones that hold a live entry, sorted.
func (t *Table) otherZones(now time.Time) []string {
	var zones []string
	for _, s := range t.order {
		if s.peer.Zone != t.Self.Zone && s.live(now) && !slices.Contains(zones, s.peer.Zone) {
			zones = append(zones, s.peer.Zone)
		}
	}
	slices.Sort(zones)
	return zones
}

// random returns up to n random ones of peers, which it reorders.
func (t *Table) random(n int, peers []Peer) []Peer {
	t.Rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(n, len(peers))]
}

// state returns the state of a peer, new if it was not known.
func (t *Table) state(peer Peer) *peerState {
	if t.peers == nil {
		t.peers = make(map[netip.AddrPort]*peerState)
	}
	s := t.peers[peer.Address]
	if s == nil {
		s = &peerState{peer: peer}
		t.peers[peer.Address] = s
		at, _ := t.position(peer.Address)
		t.order = slices.Insert(t.order, at, s)
	}
	return s
}

func (t *Table) forget(address netip.AddrPort) {
	delete(t.peers, address)
	if at, found := t.position(address); found {
		t.order = slices.Delete(t.order, at, at+1)
	}
}

func (t *Table) position(address netip.AddrPort) (int, bool) {
	return slices.BinarySearchFunc(t.order, address, func(s *peerState, address netip.AddrPort) int {
		return s.peer.Address.Compare(address)
	})
}

func (t *Table) selectPeers(keep func(*peerState) bool) []Peer {
	var peers []Peer
	for _, s := range t.order {
		if keep(s) {
			peers = append(peers, s.peer)
		}
	}
	return peers
}

// live reports whether the peer counts as live: it is listed or was heard of
// lately, and was not missed since.
func (s *peerState) live(now time.Time) bool {
	if !s.missedAt.IsZero() && now.Sub(s.missedAt) < missedFor {
		return false
	}
	return s.listed || now.Sub(s.heardAt) < unlistedFor
}
