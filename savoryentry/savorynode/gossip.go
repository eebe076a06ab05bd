package savorynode

// This file defines gossiper, which exchanges state with other entries.

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"gopkg.in/tomb.v2"

	"savorycart.example/savorycore/savorychain"
	"savorycart.example/savorycore/savoryconfig"
	"savorycart.example/savorycore/savorymember"
	"savorycart.example/savorycore/savorypeer"
	"savorycart.example/savorycore/savoryquarantine"
	"savorycart.example/savorycore/savorystore"
	"savorycart.example/savorycore/savoryvmlist"
	"savorycart.example/savorycore/savoryworld"
)

const (
	// heartbeatInterval is the time between two rounds of heartbeats.
	heartbeatInterval = time.Second
	// watcherPollInterval is the time between two reads of the root by a
	// watcher. The reads find changes that a stalled watch does not report.
	watcherPollInterval = 2 * time.Second
	// otherPollInterval is the time between two reads of the root by an entry
	// that is not a watcher.
	otherPollInterval = 30 * time.Second
	// watcherListInterval and otherListInterval are the times between two
	// reads of the VM list by a watcher and by any other entry.
	watcherListInterval = time.Second
	otherListInterval   = 5 * time.Second
	// watchRetryDelay is the delay before a failed watch is opened again.
	watchRetryDelay = 250 * time.Millisecond
	// isolationTimeout is the time without contact with the store or a peer
	// after which the entry is not ready, because it receives no changes.
	isolationTimeout = 5 * time.Second
	// maxStateBytes bounds the content of buckets in a response to a peer, so
	// that a link of 0.5 Mbit/s carries it within peerTimeout. A response has
	// at least one bucket.
	maxStateBytes = 64 << 10
	// markPrefix is the prefix of the store keys of operators' leaving marks.
	markPrefix = watchedPrefix + "leaving/"
)

// gossiper exchanges heartbeats, leaving marks and the configuration with
// other entries, and follows the store and the VM list.
type gossiper struct {
	self   savorymember.Peer
	log    log.Interface
	now    func() time.Time
	tables *tables
	keeper *configKeeper
	config *configStore
	store  *savorystore.Store
	// entryVMs lists the entries, workerVMs the worker VMs of this zone.
	entryVMs   *savoryvmlist.Client
	workerVMs  *savoryvmlist.Client
	peers      *savorypeer.Client
	metrics    *metrics
	configHome bool
	draining   *atomic.Bool
	pool       *workerPool
	// untilStop returns a context that ends when the entry stops.
	untilStop func() context.Context

	// fetchMu is held while the configuration is fetched from a peer.
	fetchMu sync.Mutex
	// storeContactAt and peerContactAt are the times of the last contact with
	// the store and with any peer.
	storeContactAt savoryworld.AtomicTime
	peerContactAt  savoryworld.AtomicTime
	// listedPeers is the number of other entries on the platform's list.
	listedPeers atomic.Int64
}

// run starts the loops, which end when t dies.
func (s *gossiper) run(t *tomb.Tomb) {
	s.storeContactAt.Store(s.now())
	t.Go(func() error { return s.heartbeatLoop(t) })
	t.Go(func() error { return s.listLoop(t) })
	if s.configHome {
		t.Go(func() error { return s.pollLoop(t) })
		t.Go(func() error { return s.watchLoop(t) })
	}
}

// isolated reports whether the last contact with the store or a peer is older
// than isolationTimeout. An entry without listed peers is never isolated: no
// other entry can accept a change that it misses.
func (s *gossiper) isolated(now time.Time) bool {
	if s.listedPeers.Load() == 0 {
		return false
	}
	return min(now.Sub(s.storeContactAt.Load()), now.Sub(s.peerContactAt.Load())) > isolationTimeout
}

func (s *gossiper) heartbeatLoop(t *tomb.Tomb) error {
	for {
		s.startHeartbeats(t)
		if !sleepTomb(t, heartbeatInterval) {
			return nil
		}
	}
}

// startHeartbeats starts one round of heartbeats and updates the gauges of
// peers and waiting tokens.
func (s *gossiper) startHeartbeats(t *tomb.Tomb) {
	now := s.now()
	s.tables.expireMarks(now)
	s.announceQuarantine(false, true)
	own := s.ownHeartbeat(now)
	var targets []savorymember.Peer
	live := 0
	s.tables.members.with(func(m *memberState) {
		targets = m.table.HeartbeatTargets(now)
		live = len(m.table.Live(now))
	})
	s.metrics.peersLive.Set(float64(live))
	s.tables.chains.with(func(t *savorychain.Table) { s.metrics.waitingTokens.Set(float64(t.WaitingPromptTokens(now))) })
	traffic := s.peers.Traffic()
	s.metrics.peerBytes.WithLabelValues("sent").Set(float64(traffic.SentBytes))
	s.metrics.peerBytes.WithLabelValues("received").Set(float64(traffic.ReceivedBytes))
	for _, peer := range targets {
		s.pool.submit(func() { s.exchangeHeartbeat(t.Context(context.Background()), peer, own) })
	}
}

// ownHeartbeat returns this entry's heartbeat.
func (s *gossiper) ownHeartbeat(now time.Time) *savorypeer.Heartbeat {
	_, digest := s.tables.allMarks(now)
	own := &savorypeer.Heartbeat{
		Address: s.self.Address, Zone: s.self.Zone, Region: s.self.Region,
		Draining: s.draining.Load(), Revision: s.keeper.revision(), MarkDigest: digest, PromptPrint: s.quarantinePrint(),
	}
	s.tables.limits.with(func(l *limitState) { own.Demands = l.limiter.AnnounceDemands(now) })
	return own
}

// exchangeHeartbeat exchanges heartbeats with one peer and fetches newer
// state from it.
func (s *gossiper) exchangeHeartbeat(ctx context.Context, peer savorymember.Peer, own *savorypeer.Heartbeat) {
	received, err := s.peers.Exchange(ctx, peer.Address, own)
	if err != nil {
		s.tables.members.with(func(m *memberState) { m.table.RecordFailure(peer.Address, s.now()) })
		return
	}
	s.recordHeartbeat(received)
	s.fetchNewer(ctx, received)
}

// recordHeartbeat records the heartbeat of a peer.
func (s *gossiper) recordHeartbeat(received *savorypeer.Heartbeat) {
	now := s.now()
	s.peerContactAt.Store(now)
	s.tables.members.with(func(m *memberState) { m.table.RecordContact(received.Peer(), received.Draining, now) })
	s.tables.limits.with(func(l *limitState) { l.limiter.SetPeerDemands(received.Address.String(), received.Demands) })
}

// fetchNewer fetches the marks of a peer if its set differs, and its
// configuration if it is newer.
func (s *gossiper) fetchNewer(ctx context.Context, received *savorypeer.Heartbeat) {
	_, digest := s.tables.allMarks(s.now())
	if received.MarkDigest != digest {
		if state, err := s.peers.Fetch(ctx, received.Address, &savorypeer.Fetch{Marks: true}); err == nil {
			s.receiveMarks(ctx, state.Marks)
		}
	}
	s.fetchQuarantine(ctx, received.PromptPrint, received.Address)
	s.fetchConfig(ctx, received.Revision, received.Address)
}

// fetchConfig fetches the configuration from a peer if its revision is newer
// than the one in force here. Only one fetch runs at a time and others are
// skipped: a later heartbeat repeats a fetch that failed.
func (s *gossiper) fetchConfig(ctx context.Context, revision uint64, from netip.AddrPort) {
	if revision <= s.keeper.revision() || !s.fetchMu.TryLock() {
		return
	}
	defer s.fetchMu.Unlock()
	since := s.keeper.revision()
	if revision <= since {
		return
	}
	state, err := s.peers.Fetch(ctx, from, &savorypeer.Fetch{Config: true, Since: since})
	if err != nil {
		return
	}
	applied, err := s.applyState(ctx, state, from)
	if err != nil {
		s.log.WithError(err).WithField("peer", from).Error("cannot apply the revision of a peer")
	}
	if applied {
		s.offer(ctx, &savorypeer.Offer{Revision: s.keeper.revision()}, false)
	}
}

// applyState puts the configuration in a peer's response in force. It reports
// whether the revision changed.
func (s *gossiper) applyState(ctx context.Context, state *savorypeer.State, from netip.AddrPort) (bool, error) {
	source := "peer " + from.String()
	fetch := s.peerFetcher(ctx, from)
	changed := false
	for _, step := range state.Steps {
		current := s.keeper.snapshot()
		if current == nil || step.Delta.Base != current.Revision() {
			break
		}
		root, manifests, err := step.Delta.ApplyTo(current.Root)
		if err != nil {
			return changed, err
		}
		fresh, err := s.keeper.apply(root, append(manifests, step.Buckets...), fetch, source)
		if err != nil {
			return changed, err
		}
		changed = changed || fresh
	}
	if len(state.Root) == 0 {
		return changed, nil
	}
	root, err := savoryconfig.DecodeRoot(state.Root)
	if err != nil {
		return changed, err
	}
	fresh, err := s.keeper.apply(root, state.Buckets, fetch, source)
	return changed || fresh, err
}

// peerFetcher returns a fetcher that reads buckets from a peer.
func (s *gossiper) peerFetcher(ctx context.Context, from netip.AddrPort) bucketFetcher {
	return func(ids []savoryconfig.BucketID) ([]savoryconfig.Bucket, error) {
		state, err := s.peers.Fetch(ctx, from, &savorypeer.Fetch{Buckets: ids})
		if err != nil {
			return nil, err
		}
		return state.Buckets, nil
	}
}

// receiveMarks merges the marks of a peer and forwards those that are new
// here.
func (s *gossiper) receiveMarks(ctx context.Context, marks []savorymember.Mark) {
	news := s.tables.mergeMarks(marks, s.now())
	s.logMarks(news)
	if len(news) > 0 {
		s.offer(ctx, &savorypeer.Offer{Marks: news}, false)
	}
}

// announceMarks merges marks from a source outside the entries and sends the
// new ones to all zones.
func (s *gossiper) announceMarks(ctx context.Context, marks []savorymember.Mark) {
	news := s.tables.mergeMarks(marks, s.now())
	s.logMarks(news)
	if len(news) > 0 {
		s.offer(ctx, &savorypeer.Offer{Marks: news}, true)
	}
}

// markLeaving announces a mark for a backend server that reported that it is
// leaving. A mark that is still in force is renewed only near its expiry.
func (s *gossiper) markLeaving(server string) {
	mark := savorymember.Mark{Server: server, Source: savorymember.FromServer, Leaving: true, At: s.now()}
	due := false
	s.tables.members.with(func(m *memberState) { due = m.marks.NeedsRenewal(mark) })
	if due {
		s.pool.submit(func() { s.announceMarks(context.Background(), []savorymember.Mark{mark}) })
	}
}

func (s *gossiper) logMarks(marks []savorymember.Mark) {
	for _, m := range marks {
		s.log.WithFields(log.Fields{"server": m.Server, "leaving": m.Leaving, "from": m.Source}).Info("backend server marked")
	}
}

// announceRevision announces the revision in force here to all zones.
func (s *gossiper) announceRevision(ctx context.Context) {
	s.offer(ctx, &savorypeer.Offer{Revision: s.keeper.revision()}, true)
}

// offer sends an offer to the gossip targets. A peer that cannot be reached
// receives the state through a later heartbeat. origin means that this entry
// is the first to have the state.
func (s *gossiper) offer(ctx context.Context, offer *savorypeer.Offer, origin bool) {
	offer.From = s.self.Address
	var targets []savorymember.Peer
	s.tables.members.with(func(m *memberState) { targets = m.table.GossipTargets(origin, s.now()) })
	for _, peer := range targets {
		s.pool.submit(func() {
			ack, err := s.peers.Offer(context.WithoutCancel(ctx), peer.Address, offer)
			if err == nil {
				s.receiveAck(context.WithoutCancel(ctx), ack, offer, peer)
				return
			}
			s.tables.members.with(func(m *memberState) { m.table.RecordFailure(peer.Address, s.now()) })
			s.log.WithError(err).WithField("peer", peer.Address).Warn("offer not acknowledged")
		})
	}
}

// The handlers of the calls of peers follow.

func (s *gossiper) handleExchange(_ context.Context, received *savorypeer.Heartbeat) (*savorypeer.Heartbeat, error) {
	s.recordHeartbeat(received)
	// The called entry fetches newer state as well, because in a pair of entries
	// it may always be the same one that calls.
	_, digest := s.tables.allMarks(s.now())
	if received.Revision > s.keeper.revision() || received.MarkDigest != digest ||
		received.PromptPrint != 0 && received.PromptPrint != s.quarantinePrint() {
		// Only the calls of a transfer have a timeout.
		s.pool.submit(func() { s.fetchNewer(s.untilStop(), received) })
	}
	return s.ownHeartbeat(s.now()), nil
}

func (s *gossiper) handleOffer(ctx context.Context, offer *savorypeer.Offer) (*savorypeer.Ack, error) {
	s.receiveMarks(ctx, offer.Marks)
	s.mergeQuarantine(offer.Quarantine)
	if offer.Revision > s.keeper.revision() {
		s.pool.submit(func() { s.fetchConfig(s.untilStop(), offer.Revision, offer.From) })
	}
	_, digest := s.tables.allMarks(s.now())
	return &savorypeer.Ack{Revision: s.keeper.revision(), MarkDigest: digest, PromptPrint: s.quarantinePrint()}, nil
}

func (s *gossiper) handleFetch(_ context.Context, fetch *savorypeer.Fetch) (*savorypeer.State, error) {
	state := new(savorypeer.State)
	if fetch.Config {
		if err := s.addConfig(state, fetch.Since); err != nil {
			return nil, err
		}
	}
	if fetch.Marks {
		state.Marks, _ = s.tables.allMarks(s.now())
	}
	if fetch.Quarantine {
		s.tables.quarantine.with(func(t *savoryquarantine.Tracker) { state.Quarantine = t.State(s.now()) })
	}
	state.Buckets = limitBytes(s.keeper.heldBuckets(fetch.Buckets), maxStateBytes)
	return state, nil
}

// limitBytes returns the first buckets up to the given size, but at least one.
func limitBytes(buckets []savoryconfig.Bucket, limit int) []savoryconfig.Bucket {
	size := 0
	for i, b := range buckets {
		size += len(b.Body)
		if i > 0 && size > limit {
			return buckets[:i]
		}
	}
	return buckets
}

// addConfig adds to state the steps from revision since to the one in force,
// or the whole root if the steps are too large or no longer kept. The peer
// fetches the buckets that it lacks for a root in calls of limited size.
func (s *gossiper) addConfig(state *savorypeer.State, since uint64) error {
	snapshot := s.keeper.snapshot()
	if snapshot == nil || snapshot.Revision() <= since {
		return nil
	}
	if steps, ok := s.keeper.stepsSince(since); ok && stepBytes(steps) <= maxStateBytes {
		state.Steps = steps
		return nil
	}
	body, err := savoryconfig.EncodeRoot(snapshot.Root)
	if err != nil {
		return err
	}
	state.Root = body
	return nil
}

// stepBytes returns the size of the content of the buckets of steps.
func stepBytes(steps []savoryconfig.Step) int {
	size := 0
	for _, step := range steps {
		for _, b := range step.Buckets {
			size += len(b.Body)
		}
	}
	return size
}
