package savorygate

// This file exchanges news with the other entries.

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

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
	// fullMesh is the most peers with which each round exchanges news; of more,
	// a round takes so many at random.
	fullMesh = 12
	// readers is the number of entries that read configuration and list from the
	// store for all.
	readers = 1
)

// relay knows the other entries.
type relay struct {
	mu    sync.Mutex
	self  netip.AddrPort
	peers map[netip.AddrPort]*relayPeer
	wake  chan struct{}
	// draining and storeWorks are what this entry tells of itself.
	draining   func() bool
	storeWorks func() bool
}

type relayPeer struct {
	heardAt    time.Time
	triedAt    time.Time
	addedAt    time.Time
	draining   bool
	storeWorks bool
	orderer    bool
	known      savorypeer.Known
	calling    bool
}

func (r *relay) add(address netip.AddrPort, now time.Time) *relayPeer {
	if address == r.self || !address.IsValid() {
		return nil
	}
	p := r.peers[address]
	if p == nil {
		p = &relayPeer{addedAt: now}
		r.peers[address] = p
	}
	return p
}

// learn takes addresses of entries.
func (r *relay) learn(addresses []netip.AddrPort, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, address := range addresses {
		r.add(address, now)
	}
}

// rank returns this entry's place among the live entries that reach the store;
// the first ones read it. An entry without the store ranks last.
func (r *relay) rank(now time.Time) int {
	if !r.storeWorks() || r.draining() {
		return 1 << 20
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for address, p := range r.peers {
		if p.storeWorks && !p.draining && now.Sub(p.heardAt) < peerFresh && address.Compare(r.self) < 0 {
			n++
		}
	}
	return n
}

// live returns the number of live entries with this one.
func (r *relay) live(now time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 1
	for _, p := range r.peers {
		if now.Sub(p.heardAt) < peerFresh {
			n++
		}
	}
	return n
}

// ordererHeard reports whether a live peer gives the orders.
func (r *relay) ordererHeard(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.peers {
		if p.orderer && now.Sub(p.heardAt) < peerFresh {
			return true
		}
	}
	return false
}

// storeHeard reports whether a live peer reaches the store.
func (r *relay) storeHeard(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.peers {
		if p.storeWorks && now.Sub(p.heardAt) < peerFresh {
			return true
		}
	}
	return false
}

// targets returns the peers of this round.
func (r *relay) targets(now time.Time, urgent bool) []netip.AddrPort {
	r.mu.Lock()
	defer r.mu.Unlock()
	var live, silent []netip.AddrPort
	for address, p := range r.peers {
		switch {
		case now.Sub(p.heardAt) > peerForgotten && now.Sub(p.addedAt) > peerForgotten:
			delete(r.peers, address)
		case p.calling && !urgent:
		case now.Sub(p.heardAt) < peerFresh:
			live = append(live, address)
		case now.Sub(p.triedAt) > missedEvery || now.Sub(p.addedAt) < peerFresh:
			silent = append(silent, address)
		}
	}
	slices.SortFunc(live, netip.AddrPort.Compare)
	if len(live) > fullMesh && !urgent {
		rand.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
		live = live[:fullMesh]
	}
	for _, address := range silent {
		r.peers[address].triedAt = now
	}
	return append(live, silent...)
}

// begin marks a call to a peer and returns what it is known to have.
func (r *relay) begin(address netip.AddrPort) (savorypeer.Known, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.peers[address]
	if p == nil {
		return savorypeer.Known{}, false
	}
	p.calling = true
	return p.known, true
}

func (r *relay) end(address netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p := r.peers[address]; p != nil {
		p.calling = false
	}
}

// heard takes what a peer tells of itself.
func (r *relay) heard(n *savorypeer.News, now time.Time) (back bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.add(n.From, now)
	if p == nil {
		return false
	}
	back = now.Sub(p.heardAt) > peerFresh
	p.heardAt, p.draining, p.storeWorks, p.orderer, p.known = now, n.Draining, n.StoreWorks, n.Orderer, n.Known
	for _, address := range n.Entries {
		r.add(address, now)
	}
	return back
}

// sent notes what a peer now has.
func (r *relay) entries(now time.Time) []netip.AddrPort {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []netip.AddrPort
	for address, p := range r.peers {
		if now.Sub(p.heardAt) < peerFresh {
			all = append(all, address)
		}
	}
	slices.SortFunc(all, func(a, b netip.AddrPort) int { return cmp.Or(a.Compare(b)) })
	return all
}

// wakeRelay lets the next round begin at once.
func (g *Gate) wakeRelay() {
	select {
	case g.relay.wake <- struct{}{}:
	default:
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
func (g *Gate) syncWith(address netip.AddrPort, known savorypeer.Known) {
	defer g.relay.end(address)
	news := g.news(known)
	answer, err := g.peers.Sync(g.ctx, address, news)
	if err != nil {
		g.Log.WithError(err).WithField("peer", address.String()).Debug("peer did not answer")
		return
	}
	g.takeNews(answer)
}

// answerSync answers a peer's news.
func (g *Gate) answerSync(_ context.Context, n *savorypeer.News) (*savorypeer.News, error) {
	g.takeNews(n)
	return g.news(n.Known), nil
}

// news returns what this entry tells an entry that has known.
func (g *Gate) news(known savorypeer.Known) *savorypeer.News {
	now := g.now()
	listing, age := g.view.listing(now)
	cfg := g.config()
	s := g.Settings()
	n := &savorypeer.News{
		From: s.Peers, Zone: s.Zone, Draining: g.stopping.Load(), StoreWorks: g.storeWorks(), Orderer: g.ordering.Load(),
		Entries: g.relay.entries(now), Loads: g.view.ownLoads(),
		Known: savorypeer.Known{ListRevision: listing.Revision, ListPrint: listing.Print(), ListAge: age},
	}
	if cfg != nil {
		n.Known.Config = cfg.Version
		if known.Config < cfg.Version {
			n.Config = cfg
		}
	}
	if listing.Revision >= known.ListRevision && n.Known.ListPrint != known.ListPrint {
		n.Listing = listing
	}
	for id, age := range g.view.toldFaults(now) {
		n.Faults = append(n.Faults, savorypeer.Fault{Server: id, Age: age})
	}
	return n
}

// takeNews takes what a peer tells.
func (g *Gate) takeNews(n *savorypeer.News) {
	now := g.now()
	if g.relay.heard(n, now) {
		g.Log.WithFields(log.Fields{"peer": n.From.String(), "zone": n.Zone, "config": n.Known.Config}).Info("peer heard")
	}
	if n.Config != nil {
		g.put(n.Config, "peer")
	}
	switch {
	case n.Listing != nil:
		g.takeList(n.Listing, now.Add(-n.Known.ListAge), "peer")
	case n.Known.ListRevision > 0:
		g.view.refreshed(n.Known.ListRevision, n.Known.ListPrint, now.Add(-n.Known.ListAge))
	}
	g.view.peerLoads(n.From, n.Loads, now)
	for _, f := range n.Faults {
		if g.view.peerFault(f.Server, now.Add(-f.Age)) {
			g.Log.WithFields(log.Fields{"server": f.Server, "peer": n.From.String(), "ageMs": f.Age.Milliseconds()}).Info("server avoided on a peer's word")
		}
	}
}
