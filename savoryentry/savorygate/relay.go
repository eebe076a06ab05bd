package savorygate

// This file exchanges state with the other entries. In a fleet of at most two
// entries in each availability zone every entry exchanges it with all others. In a
// larger one each zone has a leader, which exchanges it with the leaders of the other
// zones and with the entries of its zone: the calls of an entry then do not grow with
// the fleet, and few of them cross zones.
// An entry's leader is the first entry of its zone, by strength, that responds.
// Entries may disagree on it for a while; two leaders in one zone do no harm.

import (
	"cmp"
	"net/netip"
	"slices"
	"sync"
	"time"

	"savorycart.example/savorycore/savoryecho"
	"savorycart.example/savorycore/savorynotice"
	"savorycart.example/savorycore/savorypath"
	"savorycart.example/savorycore/savorypeer"
)

const (
	// syncInterval is the interval of the exchanges with peers.
	syncInterval = 250 * time.Millisecond
	// syncTimeout bounds one exchange.
	syncTimeout = 500 * time.Millisecond
	// peerTTL is the time since the last contact with a peer up to which the peer
	// counts as live.
	peerTTL = 1300 * time.Millisecond
	// peerRemovalDelay is the time without contact after which a peer is removed.
	peerRemovalDelay = 30 * time.Second
	// unreachableCallInterval is the interval of the calls to an unreachable peer.
	unreachableCallInterval = 2 * time.Second
	// maxUnreachableCalls bounds the unreachable peers of a zone that are called in
	// one round. Later rounds call the others, since a called peer waits for
	// unreachableCallInterval.
	maxUnreachableCalls = 3
	// maxMeshEntriesPerZone is the number of entries for each availability zone up
	// to which each entry exchanges state with all others. With more, most exchanges
	// would cross zones, where bytes are dear, and leaders save them.
	maxMeshEntriesPerZone = 2
	// maxLeaderCallsPerSecond bounds the exchanges of a zone leader with the entries
	// of its zone, those that they begin and those that it begins, since each takes
	// it processor time. The entries of a larger zone call it less often, but at
	// least each maxLeaderInterval, so that they count as live.
	maxLeaderCallsPerSecond = 240
	maxLeaderInterval       = peerTTL / 2
	// entriesInterval is the least interval at which an unchanged set of live entries
	// is reported again to a peer. A report counts for peerTTL.
	entriesInterval = peerTTL / 2
	// maxStoreReaders is the number of entries that read the configuration and the
	// list of servers from the store and pass them to the others.
	maxStoreReaders = 1
)

// relay holds the state of the other entries and selects the peers to exchange
// state with.
type relay struct {
	mu    sync.Mutex
	self  savorypeer.Entry
	peers map[netip.AddrPort]*relayPeer
	wake  chan struct{}
	// leaderLoads are the summed loads that the zone leader reported last, at
	// leaderLoadsAt.
	leaderLoads   []savorypath.Load
	leaderLoadsAt time.Time
	// leaderDemands are the demands that the zone leader reported last, at
	// leaderDemandsAt.
	leaderDemands   []savorynotice.Demand
	leaderDemandsAt time.Time
	// pushDue is set while a change waits to be pushed to the entries of the zone, and
	// pushedAt is when the last ones were.
	pushDue  bool
	pushedAt time.Time
	// sums are the sums of a leader, entries the live entries that are reported to peers.
	sums    workSums
	entries entryReport
	// isLarge and zoneMates are what large and mates return, if grouped is set. It is unset
	// when a peer is added or removed or its zone changes.
	isLarge, grouped bool
	zoneMates        []*relayPeer
	// draining and storeWorks report the state of this entry for its peers.
	draining   func() bool
	storeWorks func() bool
}

type relayPeer struct {
	entry savorypeer.Entry
	// contactAt is the time of the last contact with the peer itself, reportedAt
	// the last time another peer reported it as live.
	contactAt  time.Time
	reportedAt time.Time
	calledAt   time.Time
	addedAt    time.Time
	draining   bool
	storeWorks bool
	orderer    bool
	versions   savorypeer.Versions
	// loads are what the peer reported to have in flight and demands the demand of its
	// callers; if relayed is set, they include those of the entries for which the peer
	// relays.
	loads   []savorypath.Load
	demands []savorynotice.Demand
	relayed bool
	calling bool
	// echo dates the messages from the peer.
	echo savoryecho.Peer
	// failed is set while the last call to the peer failed and no contact followed.
	failed bool
	// reportedEntries is the fingerprint of the live entries that were last reported
	// to the peer, at entriesReportedAt.
	reportedEntries   uint64
	entriesReportedAt time.Time
}

func (p *relayPeer) live(now time.Time) bool { return now.Sub(p.contactAt) < peerTTL }

// recentlyCalled reports whether an unreachable peer was called less than
// unreachableCallInterval ago. Peers that were added within peerTTL may be
// starting, and are called in each round.
func (p *relayPeer) recentlyCalled(now time.Time) bool {
	return now.Sub(p.calledAt) < unreachableCallInterval && now.Sub(p.addedAt) > peerTTL
}

// presumedLive reports whether a peer is live, or was lately reported as live by a
// peer in contact with it: the entries of a zone are in contact only with their
// leader, and must agree on the next one when the leader fails.
func (p *relayPeer) presumedLive(now time.Time) bool {
	return p.live(now) || now.Sub(p.reportedAt) < 2*peerTTL
}

// add returns the peer at the entry's address, and adds it if it is unknown. It
// returns nil for this entry itself and for an invalid address.
func (r *relay) add(e savorypeer.Entry, now time.Time) *relayPeer {
	if e.Address == r.self.Address || !e.Address.IsValid() {
		return nil
	}
	p := r.peers[e.Address]
	if p == nil {
		p = &relayPeer{entry: e, addedAt: now}
		r.peers[e.Address] = p
		r.grouped = false
	}
	if e.Zone != "" && p.entry != e {
		p.entry = e
		r.grouped = false
	}
	return p
}

// addEntries adds entries from a source that may be out of date.
func (r *relay) addEntries(entries []savorypeer.Entry, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range entries {
		r.add(e, now)
	}
}

// large reports whether zones have leaders: the fleet has more than
// maxMeshEntriesPerZone entries for each zone.
func (r *relay) large() bool {
	r.group()
	return r.isLarge
}

// mates returns the other entries of this zone, in no particular order.
func (r *relay) mates() []*relayPeer {
	r.group()
	return r.zoneMates
}

// group groups the peers by zone if they have changed.
func (r *relay) group() {
	if r.grouped {
		return
	}
	zones := map[string]bool{r.self.Zone: true}
	r.zoneMates = nil
	for _, p := range r.peers {
		if p.entry.Zone != "" {
			zones[p.entry.Zone] = true
		}
		if p.entry.Zone == r.self.Zone {
			r.zoneMates = append(r.zoneMates, p)
		}
	}
	r.isLarge, r.grouped = 1+len(r.peers) > maxMeshEntriesPerZone*len(zones), true
}

// before orders entries by strength, then by address.
func before(a, b savorypeer.Entry) bool {
	return cmp.Or(cmp.Compare(b.Strength, a.Strength), a.Address.Compare(b.Address)) < 0
}

// isLeader reports whether this entry leads its zone: it is not draining, and no
// live entry of the zone comes before it.
func (r *relay) isLeader(now time.Time) bool {
	for _, p := range r.mates() {
		if p.presumedLive(now) && !p.draining && before(p.entry, r.self) {
			return false
		}
	}
	return !r.draining()
}

// storeRank returns this entry's position among the live entries that reach the
// store; the first ones read it. In a large fleet only zone leaders take part. An
// entry that cannot reach the store or is draining ranks last.
func (r *relay) storeRank(now time.Time) int {
	if !r.storeWorks() || r.draining() {
		return lastRank
	}
	return r.position(now, func(p *relayPeer) bool { return p.storeWorks })
}

// isFirst reports whether no live entry comes before this one, whether or not it
// reaches the store.
func (r *relay) isFirst(now time.Time) bool {
	return !r.draining() && r.position(now, func(*relayPeer) bool { return true }) == 0
}

// lastRank is the rank of an entry that takes no part.
const lastRank = 1 << 20

// position returns the number of live entries selected by counts that come before
// this one. In a large fleet only zone leaders count; any other entry gets
// lastRank.
func (r *relay) position(now time.Time, counts func(*relayPeer) bool) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.large() && !r.isLeader(now) {
		return lastRank
	}
	n, large, leaders := 0, r.large(), r.leadingPeers(now)
	for _, p := range r.peers {
		if counts(p) && !p.draining && p.live(now) && before(p.entry, r.self) && (!large || leaders[p.entry.Zone] == p) {
			n++
		}
	}
	return n
}

// leadingPeers returns the first live peer of each zone.
func (r *relay) leadingPeers(now time.Time) map[string]*relayPeer {
	leaders := make(map[string]*relayPeer)
	for _, p := range r.peers {
		first := leaders[p.entry.Zone]
		if p.live(now) && !p.draining && (first == nil || before(p.entry, first.entry)) {
			leaders[p.entry.Zone] = p
		}
	}
	return leaders
}

// liveCount returns the number of live entries, including this one.
func (r *relay) liveCount(now time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 1
	for _, p := range r.peers {
		if p.presumedLive(now) {
			n++
		}
	}
	return n
}

// otherOrderer reports whether a live peer is the orderer.
func (r *relay) otherOrderer(now time.Time) bool {
	return r.anyLive(now, func(p *relayPeer) bool { return p.orderer })
}

func (r *relay) anyLive(now time.Time, match func(*relayPeer) bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.peers {
		if p.live(now) && match(p) {
			return true
		}
	}
	return false
}

// targets returns the peers to call in this round and removes those whose
// peerRemovalDelay is over. In a large fleet a zone leader or a draining entry also calls
// all live entries of its zone after an urgent round began: at once, or after pushInterval
// if it has done so before, since many changes may come in a short time.
func (r *relay) targets(now time.Time, urgent bool) []netip.AddrPort {
	r.mu.Lock()
	defer r.mu.Unlock()
	for address, p := range r.peers {
		if now.Sub(p.contactAt) > peerRemovalDelay && now.Sub(p.addedAt) > peerRemovalDelay && now.Sub(p.reportedAt) > peerRemovalDelay {
			delete(r.peers, address)
			r.grouped = false
		}
	}
	var chosen []*relayPeer
	if !r.large() {
		for _, p := range r.peers {
			chosen = append(chosen, p)
		}
	} else {
		chosen = r.leaderTargets(now)
	}
	addresses := append(r.dueTargets(chosen, now, urgent), r.pushTargets(now, urgent)...)
	slices.SortFunc(addresses, netip.AddrPort.Compare)
	return slices.Compact(addresses)
}

// pushTargets returns the entries of the zone that a leader or a draining entry calls in
// addition in a large fleet. Those with a call in progress hear in their next exchange.
func (r *relay) pushTargets(now time.Time, urgent bool) []netip.AddrPort {
	if !r.large() || !r.isLeader(now) && !r.draining() {
		r.pushDue = false
		return nil
	}
	r.pushDue = r.pushDue || urgent
	if !r.pushDue || now.Sub(r.pushedAt) < r.pushInterval() {
		return nil
	}
	r.pushDue, r.pushedAt = false, now
	var addresses []netip.AddrPort
	for _, p := range r.mates() {
		if p.live(now) && !p.calling {
			p.calledAt = now
			addresses = append(addresses, p.entry.Address)
		}
	}
	return addresses
}

// pushInterval returns the least time between two calls of a leader to all entries of its
// zone.
func (r *relay) pushInterval() time.Duration {
	return time.Duration(len(r.mates())) * time.Second / maxLeaderCallsPerSecond
}

// leaderTargets returns the peers that this entry calls in a large fleet: the
// leader of its zone, peers whose zone is unknown and, if it is a leader itself,
// the leaders of the other zones. Unreachable entries are skipped, and called
// again in addition.
func (r *relay) leaderTargets(now time.Time) []*relayPeer {
	byZone := make(map[string][]*relayPeer)
	for _, p := range r.peers {
		// In its own zone only an entry that comes before this one can be its
		// leader; a draining entry may get any other as its leader.
		if p.entry.Zone != r.self.Zone || before(p.entry, r.self) || r.draining() {
			byZone[p.entry.Zone] = append(byZone[p.entry.Zone], p)
		}
	}
	leader := r.isLeader(now)
	var chosen []*relayPeer
	for zone, peers := range byZone {
		if zone == r.self.Zone || leader || zone == "" {
			chosen = append(chosen, zoneTargets(peers, now)...)
		}
	}
	return chosen
}

// zoneTargets returns the first live peer of a zone and up to maxUnreachableCalls
// unreachable ones that come before it. Peers whose zone is unknown are all
// returned while they are live.
func zoneTargets(peers []*relayPeer, now time.Time) []*relayPeer {
	slices.SortFunc(peers, func(a, b *relayPeer) int {
		return cmp.Or(cmp.Compare(b.entry.Strength, a.entry.Strength), a.entry.Address.Compare(b.entry.Address))
	})
	var chosen []*relayPeer
	unreachable := 0
	for _, p := range peers {
		switch {
		case p.live(now) && p.draining:
			// A draining peer calls the next leader itself. Once it is unreachable it
			// may have restarted, and is called again.
		case p.live(now):
			chosen = append(chosen, p)
			if p.entry.Zone != "" {
				return chosen
			}
		case unreachable < maxUnreachableCalls && !p.recentlyCalled(now):
			chosen = append(chosen, p)
			unreachable++
		}
	}
	return chosen
}

// dueTargets returns the addresses of the peers to call now. It leaves out peers
// with a call in progress, unless the round is urgent, and unreachable peers that
// were called recently.
func (r *relay) dueTargets(chosen []*relayPeer, now time.Time, urgent bool) []netip.AddrPort {
	var addresses []netip.AddrPort
	for _, p := range chosen {
		switch {
		case p.calling && !urgent:
			continue
		case !p.live(now) && p.recentlyCalled(now):
			continue
		case !urgent && p.entry.Zone == r.self.Zone && now.Sub(p.calledAt) < r.leaderInterval():
			continue
		case !urgent && p.entry.Zone == r.self.Zone && r.large() && now.Sub(p.contactAt) < syncInterval/2:
			// The leader has just called this entry.
			continue
		}
		p.calledAt = now
		addresses = append(addresses, p.entry.Address)
	}
	return addresses
}

// leaderInterval returns the least time between two calls to the leader of this
// entry's zone, 0 if each round may call it.
func (r *relay) leaderInterval() time.Duration {
	if !r.large() {
		return 0
	}
	interval := time.Duration(len(r.mates())) * time.Second / maxLeaderCallsPerSecond
	if interval <= syncInterval {
		return 0
	}
	// Rounds come each syncInterval and a little late.
	return min(interval, maxLeaderInterval) - syncInterval/2
}

// beginCall marks a call to a peer as started and returns the versions that the
// peer has. They are nil before the first contact and while another call to the
// peer is in progress. The result is false for an unknown peer.
func (r *relay) beginCall(address netip.AddrPort) (*savorypeer.Versions, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.peers[address]
	if p == nil {
		return nil, false
	}
	busy := p.calling
	p.calling = true
	if busy || p.contactAt.IsZero() {
		return nil, true
	}
	known := p.versions
	return &known, true
}

func (r *relay) endCall(address netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p := r.peers[address]; p != nil {
		p.calling = false
	}
}

// recordState records the state that a peer reports about itself and the entries
// that it reports as live. It reports whether the peer was not live before.
func (r *relay) recordState(s *savorypeer.SyncState, now time.Time) (recovered bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.add(s.From, now)
	if p == nil {
		return false
	}
	recovered = !p.live(now)
	p.contactAt, p.draining, p.storeWorks, p.orderer, p.versions = now, s.Draining, s.StoreWorks, s.Orderer, s.Known
	p.loads, p.demands, p.relayed, p.failed = s.Loads, s.Demands, s.Relayed, false
	r.countReport(p, now)
	// The sender must be in contact with an entry that it reports, or be the leader from which
	// this one hears of other zones: what comes back from those that were told would keep a
	// lost entry live for ever.
	relays := s.From.Zone == r.self.Zone && (s.Relayed || !r.large())
	for _, e := range s.Entries {
		q := r.add(e, now)
		if q != nil && (e.Zone == s.From.Zone || relays) {
			q.reportedAt = now
		}
	}
	return recovered
}

// recordFailedCall records that a call to a peer failed. It returns the version of the
// configuration that the peer had last, and whether the call is the first to fail since
// the last contact.
func (r *relay) recordFailedCall(address netip.AddrPort) (config int64, first bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.peers[address]
	if p == nil {
		return 0, false
	}
	first = !p.failed && !p.contactAt.IsZero()
	p.failed = true
	return p.versions.Config, first
}

// entry returns the entry at an address, without zone and strength if it is
// unknown.
func (r *relay) entry(address netip.AddrPort) savorypeer.Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p := r.peers[address]; p != nil {
		return p.entry
	}
	return savorypeer.Entry{Address: address}
}

// stamp returns the stamp of a message to a peer that is made now, a time of bootNow. It is
// empty for an unknown peer.
func (r *relay) stamp(to netip.AddrPort, now time.Time) savoryecho.Stamp {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p := r.peers[to]; p != nil {
		return p.echo.Send(now)
	}
	return savoryecho.Stamp{}
}

// madeAt returns a time of bootNow before which a received state wasn't made, the zero time if its
// stamp tells none.
func (r *relay) madeAt(s *savorypeer.SyncState, now time.Time) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p := r.peers[s.From.Address]; p != nil {
		return p.echo.Receive(s.Stamp, now)
	}
	return time.Time{}
}
