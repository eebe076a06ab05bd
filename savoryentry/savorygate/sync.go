package savorygate

// This file exchanges state with the peers that relay selects.

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"savorycart.example/savorycore/savorynotice"
	"savorycart.example/savorycore/savorypeer"
)

// wakeSync starts the next round of exchanges at once.
func (g *Gate) wakeSync() {
	select {
	case g.relay.wake <- struct{}{}:
	default:
	}
}

// forwardToZone starts a round at once if this entry is the leader of its zone in a
// large fleet, so that a change from a peer reaches the entries of the zone.
func (g *Gate) forwardToZone() {
	g.relay.mu.Lock()
	forward := g.relay.large() && g.relay.isLeader(g.now())
	g.relay.mu.Unlock()
	if forward {
		g.wakeSync()
	}
}

// runSync exchanges state with peers in rounds.
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
		g.updateQuarantine()
		for _, address := range g.relay.targets(g.now(), urgent) {
			known, ok := g.relay.beginCall(address)
			if !ok {
				continue
			}
			go g.syncWith(address, known)
		}
	}
}

// syncWith exchanges state with one peer. known is as returned by beginCall.
func (g *Gate) syncWith(address netip.AddrPort, known *savorypeer.Versions) {
	defer g.relay.endCall(address)
	startedAt, requestedAt := g.now(), g.bootNow()
	sent := g.syncState(g.relay.entry(address), known)
	state, err := g.peerClient.Sync(g.ctx, address, sent)
	g.metrics.peerCalls.WithLabelValues("sync", resultOf(err)).Inc()
	g.metrics.syncDuration.WithLabelValues("called").Observe(g.now().Sub(startedAt).Seconds())
	g.exchanges.called.Add(1)
	if err != nil {
		if g.ctx.Err() == nil {
			g.logFailedCall(address, sent, g.now().Sub(startedAt), err)
		}
		return
	}
	g.applySyncState(state, requestedAt)
}

// logFailedCall logs a failed call to a peer, the first after a contact at info level:
// with the versions and whether a configuration was sent, it tells a peer that is gone
// from a message that takes too long.
func (g *Gate) logFailedCall(address netip.AddrPort, sent *savorypeer.SyncState, took time.Duration, err error) {
	peerConfig, first := g.relay.recordFailedCall(address)
	logger := g.Log.WithError(err).WithFields(log.Fields{
		"peer": address.String(), "tookMs": took.Milliseconds(), "config": sent.Known.Config, "peerConfig": peerConfig, "configSent": sent.Config != nil,
	})
	if first {
		logger.Info("peer did not respond")
		return
	}
	logger.Debug("peer did not respond")
}

// resultOf returns the label of a call's result.
func resultOf(err error) string {
	if err != nil {
		return "failed"
	}
	return "ok"
}

// handleSync records a peer's state and returns this entry's.
func (g *Gate) handleSync(_ context.Context, s *savorypeer.SyncState) (*savorypeer.SyncState, error) {
	startedAt := g.now()
	g.applySyncState(s, time.Time{})
	state := g.syncState(s.From, &s.Known)
	g.metrics.syncDuration.WithLabelValues("answered").Observe(g.now().Sub(startedAt).Seconds())
	g.exchanges.answered.Add(1)
	return state, nil
}

// exchangeCounts counts the exchanges with peers.
type exchangeCounts struct{ called, answered atomic.Int64 }

// minLoggedDelay is the delay of a timer from which on it is logged: as long as an exchange
// may take, so that peers begin to miss this entry's responses.
const minLoggedDelay = syncTimeout

// recordTimerDelay records how late a timer fired, and for how long of that the VM was
// suspended. called and answered are the counts of exchanges when it was set.
func (g *Gate) recordTimerDelay(delay, suspended time.Duration, called, answered int64) {
	g.metrics.timerDelay.Observe(max(0, delay).Seconds())
	if delay < minLoggedDelay {
		return
	}
	g.Log.WithFields(log.Fields{
		"delayMs": delay.Milliseconds(), "suspendedMs": suspended.Milliseconds(), "called": g.exchanges.called.Load() - called, "answered": g.exchanges.answered.Load() - answered,
		"requests": g.inFlight.Load(), "orderer": g.ordering.Load(),
	}).Warn("timer fired late: the process was paused, or waits for its processor")
}

// syncState returns this entry's state for a peer that has the known versions. With
// nil the state carries no list: a large one would be sent for nothing to peers that do
// not respond. The peer's own state reports what it lacks.
func (g *Gate) syncState(to savorypeer.Entry, known *savorypeer.Versions) *savorypeer.SyncState {
	// The stamp states the time of the ages, however long it takes to make the rest.
	now, bootNow := g.now(), g.bootNow()
	listing, own := g.view.listForPeers(bootNow)
	// The reading is taken before the version: it then found none newer than that.
	configReading, configAge := g.configReading(bootNow)
	cfg := g.config()
	loads, relayed := g.relay.loadsFor(to, g.view.loadsForPeers(now), now)
	state := &savorypeer.SyncState{
		From: g.relay.self, Stamp: g.relay.stamp(to.Address, bootNow), Draining: g.stopping.Load(), StoreWorks: g.storeWorks(), Orderer: g.ordering.Load(),
		Entries: g.relay.newEntriesFor(to.Address, now), Loads: loads, Relayed: relayed,
		Known: own,
	}
	state.Known.StoreEra, state.Known.FetchesConfig = g.storeEra.Load(), true
	if cfg != nil {
		state.Known.Config, state.Known.ConfigReading, state.Known.ConfigAge = cfg.Version, configReading, configAge
		if known != nil && known.Config < cfg.Version && !known.FetchesConfig {
			state.Config = cfg
		}
	}
	if known != nil && !listing.Position().Before(known.ListPosition()) && own.ListPrint != known.ListPrint {
		state.Listing = listing
	}
	for id, age := range g.view.recentFailures(now) {
		state.Faults = append(state.Faults, savorypeer.ServerFailure{Server: id, Age: age})
	}
	state.Slowdowns = g.view.recentSlowdowns(now)
	notices, demands := g.view.noticesForPeers(now)
	state.Demands = g.relay.demandsFor(to, demands, now)
	state.Known.TracksNotices, state.Known.NoticePrint = true, savorynotice.Fingerprint(notices)
	if known != nil && known.TracksNotices && known.NoticePrint != state.Known.NoticePrint {
		state.Notices = notices
	}
	state.Known.TracksPrompts = true
	state.Known.PromptPrint, state.Quarantine = g.quarantineState(known)
	return state
}

// applySyncState applies the state received from a peer, and forwards it if it
// changes anything. requestedAt is when it was requested, by bootNow, the zero time for the
// state of a caller.
func (g *Gate) applySyncState(s *savorypeer.SyncState, requestedAt time.Time) {
	now := g.now()
	if g.relay.recordState(s, now) {
		g.Log.WithFields(log.Fields{"peer": s.From.Address.String(), "zone": s.From.Zone, "config": s.Known.Config}).Info("contact with peer established")
	}
	bootNow := g.bootNow()
	dated := g.date(s, requestedAt, bootNow)
	g.ObserveStoreEra(s.Known.StoreEra)
	changed := s.Config != nil && g.setConfig(s.Config, "peer")
	if dated {
		changed = g.applyPeerList(s, bootNow) || changed
	}
	g.view.setPeerLoads(g.relay.loads(now), now)
	g.view.setPeerDemands(g.relay.demands(now))
	changed = g.recordNotices(g.view.mergeNotices(s.Notices, now), "peer") || changed
	g.applyFailures(s, now)
	g.view.applySlowdowns(s.Slowdowns, now, g.config())
	changed = g.mergeQuarantine(s.Quarantine) || changed
	if changed {
		g.forwardToZone()
	}
	if s.Known.Config > g.configVersion() {
		g.hearConfig(s.Known.Config, s.From.Address.String())
	} else if dated && s.Known.ConfigReading != 0 {
		g.confirmConfig(s.Known.ConfigReading, bootNow.Add(-s.Known.ConfigAge))
	}
	if s.Known.FetchesConfig {
		g.startFetch(s.From.Address, s.Known.Config)
	}
}

// applyPeerList applies the list of servers in a dated state, or its confirmation. It reports
// whether a server changed.
func (g *Gate) applyPeerList(s *savorypeer.SyncState, bootNow time.Time) bool {
	if s.Known.ListAge >= savorypeer.MaxAge {
		// The peer has its list from the copy in the store, which this entry loads itself.
		return false
	}
	if s.Listing != nil {
		return g.applyList(s.Listing, reading{id: s.Known.ListReading, at: bootNow.Add(-s.Known.ListAge)}, "peer")
	}
	if s.Known.ListRevision > 0 {
		g.view.confirmList(s.Known, bootNow)
	}
	return false
}

// applyFailures applies the failures of servers that a peer reports. They are not passed on.
func (g *Gate) applyFailures(s *savorypeer.SyncState, now time.Time) {
	for _, f := range s.Faults {
		if g.view.recordPeerFailure(f.Server, now.Add(-f.Age)) {
			g.Log.WithFields(log.Fields{"server": f.Server, "peer": s.From.Address.String(), "ageMs": f.Age.Milliseconds()}).Info("server avoided after a failure report from a peer")
		}
	}
}

// date adds the time since a received state was made to the ages in it. It reports whether
// that time is known. If it is not, the ages of events are still enough to use them, but
// those of readings of the store are not: they would pass for newer than they are. Both times
// are those of bootNow.
func (g *Gate) date(s *savorypeer.SyncState, requestedAt, now time.Time) bool {
	madeAt := g.relay.madeAt(s, now)
	if requestedAt.After(madeAt) {
		madeAt = requestedAt
	}
	if madeAt.IsZero() {
		s.Delay(syncTimeout)
		return false
	}
	s.Delay(now.Sub(madeAt))
	return true
}
