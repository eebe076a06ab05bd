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
	// syncEvery is the interval of the exchanges with peers.
	syncEvery = 250 * time.Millisecond
	// syncTimeout bounds one exchange.
	syncTimeout = 500 * time.Millisecond
	// peerFresh is the time since a peer's last word up to which it counts as
	// live.
	peerFresh = 1300 * time.Millisecond
	// peerForgotten is the time without a word after which a peer is dropped.
	peerForgotten = 30 * time.Second
	// missedEvery is the interval of attempts to reach a silent peer.
	missedEvery = 2 * time.Second
	// silentTries is the most silent peers of a zone that one round tries; the
	// rounds of missedEvery reach them all in turn.
	silentTries = 3
	// fullMesh is the most peers of a fleet that exchanges all with all.
	fullMesh = 9
	// readers is the number of entries that read configuration and list from the
	// store for all.
	readers = 1
)

// relay knows the other entries.
type relay struct {
	mu    sync.Mutex
	self  savorypeer.Entry
	peers map[netip.AddrPort]*relayPeer
	wake  chan struct{}
	// told is the sum of loads that the head told last.
	told   []savorypath.Load
	toldAt time.Time
	// draining and storeWorks are what this entry tells of itself.
	draining   func() bool
	storeWorks func() bool
}

type relayPeer struct {
	entry savorypeer.Entry
	// heardAt is when the peer itself was heard, toldAt when another peer named
	// it as live.
	heardAt    time.Time
	toldAt     time.Time
	triedAt    time.Time
	addedAt    time.Time
	draining   bool
	storeWorks bool
	orderer    bool
	known      savorypeer.Versions
	// loads is what the peer said to have in flight; relayed, with what those
	// have for which it relays.
	loads   []savorypath.Load
	relayed bool
	calling bool
}

func (p *relayPeer) fresh(now time.Time) bool { return now.Sub(p.heardAt) < peerFresh }

// triedLately reports whether a silent peer was called a moment ago. New ones may
// be starting, and are called in each round.
func (p *relayPeer) triedLately(now time.Time) bool {
	return now.Sub(p.triedAt) < missedEvery && now.Sub(p.addedAt) > peerFresh
}

// believed reports whether a peer is heard, or was lately named as live by one
// that hears it: the entries of a zone hear only their head, and must agree on
// the next one when it is lost.
func (p *relayPeer) believed(now time.Time) bool {
	return p.fresh(now) || now.Sub(p.toldAt) < 2*peerFresh
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

// learn takes entries that may be stale.
func (r *relay) learn(entries []savorypeer.Entry, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range entries {
		r.add(e, now)
	}
}

// large reports whether the fleet is too large to exchange all with all.
func (r *relay) large() bool { return len(r.peers) >= fullMesh }

// before orders entries by strength, then by address.
func before(a, b savorypeer.Entry) bool {
	return cmp.Or(cmp.Compare(b.Strength, a.Strength), a.Address.Compare(b.Address)) < 0
}

// head reports whether this entry relays for its zone: no live entry of the zone
// comes before it.
func (r *relay) head(now time.Time) bool {
	for _, p := range r.peers {
		if p.entry.Zone == r.self.Zone && p.believed(now) && !p.draining && before(p.entry, r.self) {
			return false
		}
	}
	return !r.draining()
}

// rank returns this entry's place among the live entries that reach the store;
// the first ones read it. Of a large fleet only heads take part. An entry
// without the store ranks last.
func (r *relay) rank(now time.Time) int {
	if !r.storeWorks() || r.draining() {
		return lastRank
	}
	return r.place(now, func(p *relayPeer) bool { return p.storeWorks })
}

// first reports whether no live entry comes before this one, whoever reaches the
// store.
func (r *relay) first(now time.Time) bool {
	return !r.draining() && r.place(now, func(*relayPeer) bool { return true }) == 0
}

// lastRank is the rank of an entry that takes no part.
const lastRank = 1 << 20

// place returns this entry's place among the live entries that count.
func (r *relay) place(now time.Time, counts func(*relayPeer) bool) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.large() && !r.head(now) {
		return lastRank
	}
	n := 0
	for _, p := range r.peers {
		if counts(p) && !p.draining && p.fresh(now) && before(p.entry, r.self) && (!r.large() || r.headOf(p, now)) {
			n++
		}
	}
	return n
}

// headOf reports whether a peer is the first live one of its zone.
func (r *relay) headOf(p *relayPeer, now time.Time) bool {
	for _, q := range r.peers {
		if q != p && q.entry.Zone == p.entry.Zone && q.fresh(now) && !q.draining && before(q.entry, p.entry) {
			return false
		}
	}
	return p.entry.Zone != r.self.Zone || before(p.entry, r.self)
}

// live returns the number of live entries with this one.
func (r *relay) live(now time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 1
	for _, p := range r.peers {
		if p.believed(now) {
			n++
		}
	}
	return n
}

// ordererHeard reports whether a live peer gives the orders.
func (r *relay) ordererHeard(now time.Time) bool {
	return r.any(now, func(p *relayPeer) bool { return p.orderer })
}

func (r *relay) any(now time.Time, is func(*relayPeer) bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.peers {
		if p.fresh(now) && is(p) {
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
		if now.Sub(p.heardAt) > peerForgotten && now.Sub(p.addedAt) > peerForgotten && now.Sub(p.toldAt) > peerForgotten {
			delete(r.peers, address)
		}
	}
	var chosen []*relayPeer
	if !r.large() {
		for _, p := range r.peers {
			chosen = append(chosen, p)
		}
	} else {
		chosen = r.heads(now)
		if urgent && (r.head(now) || r.draining()) {
			for _, p := range r.peers {
				if p.entry.Zone == r.self.Zone && p.fresh(now) {
					chosen = append(chosen, p)
				}
			}
		}
	}
	return r.callable(chosen, now, urgent)
}

// heads returns whom this entry calls in a large fleet: its zone's head, and as a
// head itself the first entries of the other zones. Entries that do not answer
// are passed over, and tried again beside the next.
func (r *relay) heads(now time.Time) []*relayPeer {
	byZone := make(map[string][]*relayPeer)
	for _, p := range r.peers {
		// Of the own zone only those before this entry can be its head; one that
		// stops looks for any.
		if p.entry.Zone != r.self.Zone || before(p.entry, r.self) || r.draining() {
			byZone[p.entry.Zone] = append(byZone[p.entry.Zone], p)
		}
	}
	head := r.head(now)
	var chosen []*relayPeer
	for zone, peers := range byZone {
		if zone == r.self.Zone || head || zone == "" {
			chosen = append(chosen, firstOfZone(peers, now)...)
		}
	}
	return chosen
}

// firstOfZone returns the first peer of a zone that was heard lately, and before
// it a few that are silent.
func firstOfZone(peers []*relayPeer, now time.Time) []*relayPeer {
	slices.SortFunc(peers, func(a, b *relayPeer) int {
		return cmp.Or(cmp.Compare(b.entry.Strength, a.entry.Strength), a.entry.Address.Compare(b.entry.Address))
	})
	var chosen []*relayPeer
	tries := 0
	for _, p := range peers {
		switch {
		case p.fresh(now) && p.draining:
			// It tells the next head by itself. Once it is silent it may have been
			// started anew.
		case p.fresh(now):
			chosen = append(chosen, p)
			if p.entry.Zone != "" {
				return chosen
			}
		case tries < silentTries && !p.triedLately(now):
			chosen = append(chosen, p)
			tries++
		}
	}
	return chosen
}

// callable leaves out peers that are being called, and silent ones that were
// tried a moment ago.
func (r *relay) callable(chosen []*relayPeer, now time.Time, urgent bool) []netip.AddrPort {
	var addresses []netip.AddrPort
	for _, p := range chosen {
		switch {
		case p.calling && !urgent:
			continue
		case !p.fresh(now) && p.triedLately(now):
			continue
		}
		p.triedAt = now
		addresses = append(addresses, p.entry.Address)
	}
	slices.SortFunc(addresses, netip.AddrPort.Compare)
	return slices.Compact(addresses)
}

// begin marks a call to a peer and returns what it is known to have; nil if it
// was not heard yet, or is being told in another call.
func (r *relay) begin(address netip.AddrPort) (*savorypeer.Versions, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.peers[address]
	if p == nil {
		return nil, false
	}
	busy := p.calling
	p.calling = true
	if busy || p.heardAt.IsZero() {
		return nil, true
	}
	known := p.known
	return &known, true
}

func (r *relay) end(address netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p := r.peers[address]; p != nil {
		p.calling = false
	}
}

// heard takes what a peer tells of itself.
func (r *relay) heard(n *savorypeer.SyncState, now time.Time) (back bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.add(n.From, now)
	if p == nil {
		return false
	}
	back = !p.fresh(now)
	p.heardAt, p.draining, p.storeWorks, p.orderer, p.known = now, n.Draining, n.StoreWorks, n.Orderer, n.Known
	p.loads, p.relayed = n.Loads, n.Relayed
	for _, e := range n.Entries {
		q := r.add(e, now)
		if q != nil && (e.Zone == n.From.Zone || n.From.Zone == r.self.Zone) {
			// Only the entries of a zone know which others of it live, and an
			// entry trusts its own zone: otherwise two heads would keep each
			// other believing in one that is gone.
			q.toldAt = now
		}
	}
	return back
}

// entries returns the peers that were heard, and those of other zones that their
// heads told of.
func (r *relay) entries(now time.Time) []savorypeer.Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []savorypeer.Entry
	for _, p := range r.peers {
		if p.fresh(now) || p.entry.Zone != r.self.Zone && now.Sub(p.toldAt) < peerFresh {
			all = append(all, p.entry)
		}
	}
	slices.SortFunc(all, func(a, b savorypeer.Entry) int { return a.Address.Compare(b.Address) })
	return all
}

// wakeRelay lets the next round begin at once.
func (g *Gate) wakeRelay() {
	select {
	case g.relay.wake <- struct{}{}:
	default:
	}
}

// relayOn hands on what a peer told, in a large fleet to the entries of the zone.
func (g *Gate) relayOn() {
	g.relay.mu.Lock()
	on := g.relay.large() && g.relay.head(g.now())
	g.relay.mu.Unlock()
	if on {
		g.wakeRelay()
	}
}

// runRelay exchanges news in rounds.
func (g *Gate) runRelay() error {
	ticker := time.NewTicker(syncEvery)
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
			known, ok := g.relay.begin(address)
			if !ok {
				continue
			}
			go g.syncWith(address, known)
		}
	}
}

// syncWith exchanges news with one peer.
func (g *Gate) syncWith(address netip.AddrPort, known *savorypeer.Versions) {
	defer g.relay.end(address)
	answer, err := g.peers.Sync(g.ctx, address, g.news(g.relay.entry(address), known))
	if err != nil {
		g.Log.WithError(err).WithField("peer", address.String()).Debug("peer did not answer")
		return
	}
	g.takeNews(answer)
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

// answerSync answers a peer's news.
func (g *Gate) answerSync(_ context.Context, n *savorypeer.SyncState) (*savorypeer.SyncState, error) {
	g.takeNews(n)
	return g.news(n.From, &n.Known), nil
}

// news returns what this entry tells an entry that has known. One of which that is
// not known is told no configuration or list: large ones would be sent in vain to
// all who do not answer. Its own answer says what it lacks.
func (g *Gate) news(to savorypeer.Entry, known *savorypeer.Versions) *savorypeer.SyncState {
	now := g.now()
	listing, own := g.view.listing(now)
	cfg := g.config()
	loads, relayed := g.relay.loadsFor(to, g.view.ownLoads(), now)
	n := &savorypeer.SyncState{
		From: g.relay.self, Draining: g.stopping.Load(), StoreWorks: g.storeWorks(), Orderer: g.ordering.Load(),
		Entries: g.relay.entries(now), Loads: loads, Relayed: relayed,
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
	for id, age := range g.view.toldFaults(now) {
		n.Faults = append(n.Faults, savorypeer.ServerFailure{Server: id, Age: age})
	}
	return n
}

// takeNews takes what a peer tells.
func (g *Gate) takeNews(n *savorypeer.SyncState) {
	now := g.now()
	if g.relay.heard(n, now) {
		g.Log.WithFields(log.Fields{"peer": n.From.Address.String(), "zone": n.From.Zone, "config": n.Known.Config}).Info("peer heard")
	}
	on := n.Config != nil && g.put(n.Config, "peer")
	switch {
	case n.Listing != nil:
		on = g.takeList(n.Listing, reading{id: n.Known.ListReading, at: now.Add(-n.Known.ListAge)}, "peer") || on
	case n.Known.ListRevision > 0:
		g.view.refreshed(n.Known, now)
	}
	g.view.peerLoads(g.relay.loads(now), now)
	for _, f := range n.Faults {
		if g.view.peerFault(f.Server, now.Add(-f.Age)) {
			on = true
			g.Log.WithFields(log.Fields{"server": f.Server, "peer": n.From.Address.String(), "ageMs": f.Age.Milliseconds()}).Info("server avoided on a peer's word")
		}
	}
	if on {
		g.relayOn()
	}
}

// entryText is how an entry is registered in the store.
func entryText(e savorypeer.Entry) string {
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
