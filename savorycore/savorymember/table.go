// Package savorymember decides which entries a node talks to, and keeps the
// marks of backend servers that are leaving.
//
// A Table merges the platform's lagging list of VMs with heartbeats. Views of
// different entries differ at any time and nothing is agreed: each rule that
// uses a view must be safe when views differ. A few entries of each
// availability zone are relays, chosen by rendezvous hashing over the live
// view; they watch the store and pass changes on within their zone.
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
	// RelaysPerZone is the number of relays of an availability zone.
	RelaysPerZone = 2
	// SilentAfter is the time without an answered heartbeat after which a peer
	// counts as dead.
	SilentAfter = 4 * time.Second
	// FullMesh is the most peers that an entry exchanges heartbeats with
	// directly; in a larger fleet it talks to relays and a few random peers.
	FullMesh = 8
	// relayKey is the rendezvous key of the choice of relays.
	relayKey = "relay"
	// farChance is the part of random exchanges that leave the own zone.
	farChance = 0.25
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
}

type peerState struct {
	peer Peer
	// listed says that the platform's list has the peer as live.
	listed bool
	// tried says that a heartbeat was sent since the peer was first known.
	tried    bool
	heardAt  time.Time
	draining bool
}

// List takes the platform's list. Peers that are not on it are forgotten once
// they are silent; those that answer stay, because the list lags.
func (t *Table) List(vms []savoryworld.VM, now time.Time) {
	if t.peers == nil {
		t.peers = make(map[netip.AddrPort]*peerState)
	}
	listed := make(map[netip.AddrPort]bool)
	for _, vm := range vms {
		if !vm.Entry || vm.Address == t.Self.Address {
			continue
		}
		listed[vm.Address] = true
		s := t.peers[vm.Address]
		if s == nil {
			s = new(peerState)
			t.peers[vm.Address] = s
		}
		s.peer = Peer{Address: vm.Address, Zone: vm.Zone, Region: vm.Region}
		s.listed = vm.State == savoryworld.VMLive
	}
	for address, s := range t.peers {
		if !listed[address] {
			s.listed = false
			if !s.answers(now) {
				delete(t.peers, address)
			}
		}
	}
}

// Heard records that peer answered or sent a heartbeat.
func (t *Table) Heard(peer Peer, draining bool, now time.Time) {
	if peer.Address == t.Self.Address {
		return
	}
	if t.peers == nil {
		t.peers = make(map[netip.AddrPort]*peerState)
	}
	s := t.peers[peer.Address]
	if s == nil {
		s = &peerState{peer: peer}
		t.peers[peer.Address] = s
	}
	s.peer = peer
	s.tried = true
	s.heardAt = now
	s.draining = draining
}

// Missed records that a heartbeat to the address was not answered.
func (t *Table) Missed(address netip.AddrPort) {
	if s := t.peers[address]; s != nil {
		s.tried = true
	}
}

// Known returns all known peers, by address.
func (t *Table) Known() []Peer {
	return t.selectPeers(func(*peerState) bool { return true })
}

// Live returns the peers that answer, and listed ones not yet tried.
func (t *Table) Live(now time.Time) []Peer {
	return t.selectPeers(func(s *peerState) bool { return s.live(now) })
}

// Relays returns the relays of a zone in this entry's view, first choice
// first.
func (t *Table) Relays(zone string, now time.Time) []Peer {
	members := t.selectPeers(func(s *peerState) bool {
		return s.peer.Zone == zone && s.live(now) && !s.draining
	})
	if t.Self.Zone == zone {
		members = append(members, t.Self)
	}
	return savoryhash.Top(relayKey+" "+zone, members, Peer.Name, RelaysPerZone)
}

// IsRelay reports whether this entry is a relay of its zone in its own view.
func (t *Table) IsRelay(now time.Time) bool {
	return slices.Contains(t.Relays(t.Self.Zone, now), t.Self)
}

// Zones returns the zones that hold a live entry, sorted.
func (t *Table) Zones(now time.Time) []string {
	zones := []string{t.Self.Zone}
	for _, p := range t.Live(now) {
		if !slices.Contains(zones, p.Zone) {
			zones = append(zones, p.Zone)
		}
	}
	slices.Sort(zones)
	return zones
}

// HeartbeatTargets returns the peers to exchange a heartbeat with now. Known
// peers that are silent are among them, so that a healed link is noticed.
func (t *Table) HeartbeatTargets(now time.Time) []Peer {
	known := t.Known()
	if len(known) <= FullMesh {
		return known
	}
	targets := without(t.Relays(t.Self.Zone, now), t.Self)
	if t.IsRelay(now) {
		for _, zone := range t.Zones(now) {
			if zone != t.Self.Zone {
				targets = append(targets, t.Relays(zone, now)[:1]...)
			}
		}
	}
	return appendNew(targets, t.randomPeer(known))
}

// PushTargets returns the peers that a change is handed to. An entry that
// accepted a change hands it to the relays of every zone; a relay hands it on
// to the entries of its own zone.
func (t *Table) PushTargets(origin bool, now time.Time) []Peer {
	live := t.Live(now)
	if len(t.peers) <= FullMesh {
		if origin {
			return live
		}
		return nil
	}
	var targets []Peer
	if t.IsRelay(now) {
		for _, p := range live {
			if p.Zone == t.Self.Zone {
				targets = append(targets, p)
			}
		}
	}
	if origin {
		for _, zone := range t.Zones(now) {
			targets = appendNew(targets, without(t.Relays(zone, now), t.Self)...)
		}
	}
	return targets
}

// randomPeer returns one known peer, preferring the own zone.
func (t *Table) randomPeer(known []Peer) Peer {
	if t.Rand.Float64() >= farChance {
		var near []Peer
		for _, p := range known {
			if p.Zone == t.Self.Zone {
				near = append(near, p)
			}
		}
		if len(near) > 0 {
			return near[t.Rand.IntN(len(near))]
		}
	}
	return known[t.Rand.IntN(len(known))]
}

func (t *Table) selectPeers(keep func(*peerState) bool) []Peer {
	var peers []Peer
	for _, s := range t.peers {
		if keep(s) {
			peers = append(peers, s.peer)
		}
	}
	slices.SortFunc(peers, func(a, b Peer) int { return a.Address.Compare(b.Address) })
	return peers
}

func (s *peerState) answers(now time.Time) bool {
	return !s.heardAt.IsZero() && now.Sub(s.heardAt) < SilentAfter
}

func (s *peerState) live(now time.Time) bool {
	return s.answers(now) || (s.listed && !s.tried)
}

func without(peers []Peer, self Peer) []Peer {
	return slices.DeleteFunc(slices.Clone(peers), func(p Peer) bool { return p.Address == self.Address })
}

func appendNew(peers []Peer, more ...Peer) []Peer {
	for _, p := range more {
		if !slices.Contains(peers, p) {
			peers = append(peers, p)
		}
	}
	return peers
}
