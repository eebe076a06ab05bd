package savorygate

// This file exchanges news with the other entries. A small fleet exchanges all
// with all. In a large one each availability zone has a head, which exchanges
// with the other heads and with the entries of its zone, so that the calls of an
// entry do not grow with the fleet. An entry takes for its head the first of its
// zone, by strength, that answers; views may differ and two heads do no harm.

import (
	"cmp"
	"context"
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"

	"savorycart.example/savorycore/savorypath"
	"savorycart.example/savorycore/savorypeer"
)

const (
	// syncInterval is the interval of the exchanges with peers.
	syncInterval = 250 * time.Millisecond
	// syncTimeout bounds one exchange.
	syncTimeout = 500 * time.Millisecond
	// peerTTL is the time since a peer's last word up to which it counts as
	// live.
	peerTTL = 1300 * time.Millisecond
	// peerRemovalDelay is the time without a word after which a peer is dropped.
	peerRemovalDelay = 30 * time.Second
	// unreachableCallInterval is the interval of attempts to reach a silent peer.
	unreachableCallInterval = 2 * time.Second
	// maxUnreachableCalls is the most silent peers of a zone that one round tries; the
	// rounds of missedEvery reach them all in turn.
	maxUnreachableCalls = 3
	// maxFullMeshEntries is the most peers of a fleet that exchanges all with all.
	maxFullMeshEntries = 9
	// maxStoreReaders is the number of entries that read configuration and list from the
	// store for all.
	maxStoreReaders = 1
)

// relay knows the other entries.
type relay struct {
	mu    sync.Mutex
	self  savorypeer.Entry
	peers map[netip.AddrPort]*relayPeer
	wake  chan struct{}
	// leaderLoads is the sum of loads that the head leaderLoads last.
	leaderLoads   []savorypath.Load
	leaderLoadsAt time.Time
	// draining and storeWorks are what this entry tells of itself.
	draining   func() bool
	storeWorks func() bool
}

type relayPeer struct {
	entry savorypeer.Entry
	// contactAt is when the peer itself was heard, toldAt when another peer named
	// it as live.
	contactAt    time.Time
	reportedAt     time.Time
	calledAt    time.Time
	addedAt    time.Time
	draining   bool
	storeWorks bool
	orderer    bool
	versions      savorypeer.Versions
	// loads is what the peer said to have in flight; relayed, with what those
	// have for which it relays.
	loads   []savorypath.Load
	relayed bool
	calling bool
}

func (p *relayPeer) live(now time.Time) bool { return now.Sub(p.contactAt) < peerTTL }

// recentlyCalled reports whether a silent peer was called a moment ago. New ones may
// be starting, and are called in each round.
func (p *relayPeer) recentlyCalled(now time.Time) bool {
	return now.Sub(p.calledAt) < unreachableCallInterval && now.Sub(p.addedAt) > peerTTL
}

// presumedLive reports whether a peer is heard, or was lately named as live by one
// that hears it: the entries of a zone hear only their head, and must agree on
// the next one when it is lost.
func (p *relayPeer) presumedLive(now time.Time) bool {
	return p.live(now) || now.Sub(p.reportedAt) < 2*peerTTL
}

// add returns the peer at the entry's address, nil for this entry itself.
func (r *relay) add(e savorypeer.Entry, now time.Time) *relayPeer {
	if e.Address == r.self.Address || !e.Address.IsValid() {
		return nil
	}
	p := r.peers[e.Address]
	if p == nil {
		p = &relayPeer{entry: e, addedAt: now}
		r.peers[e.Address] = p
	}
	if e.Zone != "" {
		p.entry = e
	}
	return p
}

// addEntries takes entries that may be stale.
func (r *relay) addEntries(entries []savorypeer.Entry, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range entries {
		r.add(e, now)
	}
}

// large reports whether the fleet is too large to exchange all with all.
func (r *relay) large() bool { return len(r.peers) >= maxFullMeshEntries }

// before orders entries by strength, then by address.
func before(a, b savorypeer.Entry) bool {
	return cmp.Or(cmp.Compare(b.Strength, a.Strength), a.Address.Compare(b.Address)) < 0
}

// isLeader reports whether this entry relays for its zone: no live entry of the zone
// comes before it.
func (r *relay) isLeader(now time.Time) bool {
	for _, p := range r.peers {
		if p.entry.Zone == r.self.Zone && p.presumedLive(now) && !p.draining && before(p.entry, r.self) {
			return false
		}
	}
	return !r.draining()
}

// storeRank returns this entry's place among the live entries that reach the store;
// the first ones read it. Of a large fleet only heads take part. An entry
// without the store ranks last.
func (r *relay) storeRank(now time.Time) int {
	if !r.storeWorks() || r.draining() {
		return lastRank
	}
	return r.position(now, func(p *relayPeer) bool { return p.storeWorks })
}

// isFirst reports whether no live entry comes before this one, whoever reaches the
// store.
func (r *relay) isFirst(now time.Time) bool {
	return !r.draining() && r.position(now, func(*relayPeer) bool { return true }) == 0
}

// lastRank is the rank of an entry that takes no part.
const lastRank = 1 << 20

// position returns this entry's position among the live entries that count.
func (r *relay) position(now time.Time, counts func(*relayPeer) bool) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.large() && !r.isLeader(now) {
		return lastRank
	}
	n := 0
	for _, p := range r.peers {
		if counts(p) && !p.draining && p.live(now) && before(p.entry, r.self) && (!r.large() || r.leadsZone(p, now)) {
			n++
		}
	}
	return n
}

// leadsZone reports whether a peer is the first live one of its zone.
func (r *relay) leadsZone(p *relayPeer, now time.Time) bool {
	for _, q := range r.peers {
		if q != p && q.entry.Zone == p.entry.Zone && q.live(now) && !q.draining && before(q.entry, p.entry) {
			return false
		}
	}
	return p.entry.Zone != r.self.Zone || before(p.entry, r.self)
}

// liveCount returns the number of liveCount entries with this one.
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

// otherOrderer reports whether a live peer gives the orders.
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

// targets returns the peers to call in this round. An urgent round of a head
// calls all of its zone.
func (r *relay) targets(now time.Time, urgent bool) []netip.AddrPort {
	r.mu.Lock()
	defer r.mu.Unlock()
	for address, p := range r.peers {
		if now.Sub(p.contactAt) > peerRemovalDelay && now.Sub(p.addedAt) > peerRemovalDelay && now.Sub(p.reportedAt) > peerRemovalDelay {
			delete(r.peers, address)
		}
	}
	var chosen []*relayPeer
	if !r.large() {
		for _, p := range r.peers {
			chosen = append(chosen, p)
		}
	} else {
		chosen = r.leaderTargets(now)
		if urgent && (r.isLeader(now) || r.draining()) {
			for _, p := range r.peers {
				if p.entry.Zone == r.self.Zone && p.live(now) {
					chosen = append(chosen, p)
				}
			}
		}
	}
	return r.dueTargets(chosen, now, urgent)
}

// leaderTargets returns whom this entry calls in a large fleet: its zone's head, and as a
// head itself the first entries of the other zones. Entries that do not answer
// are passed over, and tried again beside the next.
func (r *relay) leaderTargets(now time.Time) []*relayPeer {
	byZone := make(map[string][]*relayPeer)
	for _, p := range r.peers {
		// Of the own zone only those before this entry can be its head; one that
		// stops looks for any.
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

// zoneTargets returns the first peer of a zone that was heard lately, and before
// it a few that are silent.
func zoneTargets(peers []*relayPeer, now time.Time) []*relayPeer {
	slices.SortFunc(peers, func(a, b *relayPeer) int {
		return cmp.Or(cmp.Compare(b.entry.Strength, a.entry.Strength), a.entry.Address.Compare(b.entry.Address))
	})
	var chosen []*relayPeer
	unreachable := 0
	for _, p := range peers {
		switch {
		case p.live(now) && p.draining:
			// It tells the next head by itself. Once it is silent it may have been
			// started anew.
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

// dueTargets leaves out peers that are being called, and silent ones that were
// tried a moment ago.
func (r *relay) dueTargets(chosen []*relayPeer, now time.Time, urgent bool) []netip.AddrPort {
	var addresses []netip.AddrPort
	for _, p := range chosen {
		switch {
		case p.calling && !urgent:
			continue
		case !p.live(now) && p.recentlyCalled(now):
			continue
		}
		p.calledAt = now
		addresses = append(addresses, p.entry.Address)
	}
	slices.SortFunc(addresses, netip.AddrPort.Compare)
	return slices.Compact(addresses)
}

// beginCall marks a call to a peer and returns what it is known to have; nil if it
// was not heard yet, or is being told in another call.
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

// recordState takes what a peer tells of itself.
func (r *relay) recordState(n *savorypeer.SyncState, now time.Time) (recovered bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.add(n.From, now)
	if p == nil {
		return false
	}
	recovered = !p.live(now)
	p.contactAt, p.draining, p.storeWorks, p.orderer, p.versions = now, n.Draining, n.StoreWorks, n.Orderer, n.Known
	p.loads, p.relayed = n.Loads, n.Relayed
	for _, e := range n.Entries {
		q := r.add(e, now)
		if q != nil && (e.Zone == n.From.Zone || n.From.Zone == r.self.Zone) {
			// Only the entries of a zone know which others of it live, and an
			// entry trusts its own zone: otherwise two heads would keep each
			// other believing in one that is gone.
			q.reportedAt = now
		}
	}
	return recovered
}

// entriesToReport returns the peers that were heard, and those of other zones that their
// heads told of.
func (r *relay) entriesToReport(now time.Time) []savorypeer.Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []savorypeer.Entry
	for _, p := range r.peers {
		if p.live(now) || p.entry.Zone != r.self.Zone && now.Sub(p.reportedAt) < peerTTL {
			all = append(all, p.entry)
		}
	}
	slices.SortFunc(all, func(a, b savorypeer.Entry) int { return a.Address.Compare(b.Address) })
	return all
}

// wakeSync lets the next round begin at once.
func (g *Gate) wakeSync() {
	select {
	case g.relay.wake <- struct{}{}:
	default:
	}
}

// forwardToZone hands on what a peer told, in a large fleet to the entries of the zone.
func (g *Gate) forwardToZone() {
	g.relay.mu.Lock()
	forward := g.relay.large() && g.relay.isLeader(g.now())
	g.relay.mu.Unlock()
	if forward {
		g.wakeSync()
	}
}

// runSync exchanges news in rounds.
func (g *Gate) runSync() error {
	ticker := time.NewTicker(syncInterval)
	defer ticker.Stop()
	for {
		urgent := false
		select {
		case <-g.tomb.Dying():
			return nil
		case <-ticker.C:
		case <-g.relay.wake:
			urgent = true
		}
		for _, address := range g.relay.targets(g.now(), urgent) {
			known, ok := g.relay.beginCall(address)
			if !ok {
				continue
			}
			go g.syncWith(address, known)
		}
	}
}

// syncWith exchanges news with one peer.
func (g *Gate) syncWith(address netip.AddrPort, known *savorypeer.Versions) {
	defer g.relay.endCall(address)
	state, err := g.peerClient.Sync(g.ctx, address, g.syncState(g.relay.entry(address), known))
	if err != nil {
		g.Log.WithError(err).WithField("peer", address.String()).Debug("peer did not answer")
		return
	}
	g.applySyncState(state)
}

// entry returns what is known of the entry at an address.
func (r *relay) entry(address netip.AddrPort) savorypeer.Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p := r.peers[address]; p != nil {
		return p.entry
	}
	return savorypeer.Entry{Address: address}
}

// handleSync answers a peer's news.
func (g *Gate) handleSync(_ context.Context, n *savorypeer.SyncState) (*savorypeer.SyncState, error) {
	g.applySyncState(n)
	return g.syncState(n.From, &n.Known), nil
}

// syncState returns what this entry tells an entry that has known. One of which that is
// not known is told no configuration or list: large ones would be sent in vain to
// all who do not answer. Its own answer says what it lacks.
func (g *Gate) syncState(to savorypeer.Entry, known *savorypeer.Versions) *savorypeer.SyncState {
	now := g.now()
	listing, own := g.view.listing(now)
	cfg := g.config()
	loads, relayed := g.relay.loadsFor(to, g.view.ownLoads(), now)
	n := &savorypeer.SyncState{
		From: g.relay.self, Draining: g.stopping.Load(), StoreWorks: g.storeWorks(), Orderer: g.ordering.Load(),
		Entries: g.relay.entriesToReport(now), Loads: loads, Relayed: relayed,
		Known: own,
	}
	if cfg != nil {
		n.Known.Config = cfg.Version
		if known != nil && known.Config < cfg.Version {
			n.Config = cfg
		}
	}
	if known != nil && listing.Revision >= known.ListRevision && own.ListPrint != known.ListPrint {
		n.Listing = listing
	}
	for id, age := range g.view.recentFaults(now) {
		n.Faults = append(n.Faults, savorypeer.ServerFailure{Server: id, Age: age})
	}
	return n
}

// applySyncState takes what a peer tells.
func (g *Gate) applySyncState(n *savorypeer.SyncState) {
	now := g.now()
	if g.relay.recordState(n, now) {
		g.Log.WithFields(log.Fields{"peer": n.From.Address.String(), "zone": n.From.Zone, "config": n.Known.Config}).Info("peer heard")
	}
	changed := n.Config != nil && g.setConfig(n.Config, "peer")
	switch {
	case n.Listing != nil:
		changed = g.applyList(n.Listing, reading{id: n.Known.ListReading, at: now.Add(-n.Known.ListAge)}, "peer") || changed
	case n.Known.ListRevision > 0:
		g.view.confirmList(n.Known, now)
	}
	g.view.setPeerLoads(g.relay.loads(now), now)
	for _, f := range n.Faults {
		if g.view.recordPeerFailure(f.Server, now.Add(-f.Age)) {
			changed = true
			g.Log.WithFields(log.Fields{"server": f.Server, "peer": n.From.Address.String(), "ageMs": f.Age.Milliseconds()}).Info("server avoided on a peer's word")
		}
	}
	if changed {
		g.forwardToZone()
	}
}

// formatEntry is how an entry is registered in the store.
func formatEntry(e savorypeer.Entry) string {
	return e.Zone + " " + strconv.FormatFloat(e.Strength, 'f', 3, 64)
}

// parseEntry reads what entryText wrote.
func parseEntry(address, text string) (savorypeer.Entry, error) {
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return savorypeer.Entry{}, err
	}
	zone, strength, ok := strings.Cut(text, " ")
	if !ok {
		return savorypeer.Entry{}, fmt.Errorf("entry %q has no strength", text)
	}
	e := savorypeer.Entry{Address: at, Zone: zone}
	if e.Strength, err = strconv.ParseFloat(strength, 64); err != nil {
		return savorypeer.Entry{}, fmt.Errorf("entry %q: %w", text, err)
	}
	return e, nil
}
