package savorygate

// This file defines view, the state of the servers, which routing uses.

import (
	"errors"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"savorycart.example/savorycore/savorynotice"
	"savorycart.example/savorycore/savorypath"
	"savorycart.example/savorycore/savorypeer"
	"savorycart.example/savorycore/savoryroster"
	"savorycart.example/savorycore/savoryrouting"
	"savorycart.example/savorycore/savoryworld"
)

// failureSharingWindow is how long a server failure is passed on to peers. This
// entry detected the failure itself or an engine reported it.
const failureSharingWindow = 1500 * time.Millisecond

// view is the state of the servers, which routing uses: their list, their health
// and the load of the engines, behind one lock.
type view struct {
	mu          sync.Mutex
	zone        string
	roster      savoryroster.Roster
	health      savoryroster.Health
	chainTables map[string]*savorypath.Table
	// inFlight counts this entry's requests in flight by server, for servers that
	// are not part of a chain.
	inFlight map[string]int
	// sharedFailures are the recent server failures to pass on to peers, by server.
	sharedFailures map[string]time.Time
	// notices are what the servers state about themselves.
	notices savorynotice.Board
	pace    pacing
	// slowdowns are the engines that are or were lately slower than usual.
	slowdowns map[string]slowdown
	// peerList is the copy of the list for peers and fingerprint its fingerprint.
	// listChanged is set if the roster has changed since the copy was made.
	peerList    *savoryroster.Listing
	fingerprint uint64
	listChanged bool
	// recentReadingIDs are the IDs of readings already seen, oldest first.
	// newestReading is the ID of the reading that the age of the list counts from.
	recentReadingIDs []uint64
	newestReading    uint64
	// firstListAt is the time of the first list that was read.
	firstListAt time.Time
}

// errNoServer is returned if a service has no available server.
var errNoServer = errors.New("no server is available")

// reading identifies one reading of the platform's list and its time, one of bootNow.
type reading struct {
	id uint64
	at time.Time
}

// maxRecentReadingIDs bounds view.recentReadingIDs.
const maxRecentReadingIDs = 64

// seenReading adds id to recentReadingIDs and returns whether it was already there.
// The age of a reading is used only once.
func (v *view) seenReading(id uint64) bool {
	if slices.Contains(v.recentReadingIDs, id) {
		return true
	}
	v.recentReadingIDs = append(v.recentReadingIDs, id)
	if len(v.recentReadingIDs) > maxRecentReadingIDs {
		v.recentReadingIDs = v.recentReadingIDs[1:]
	}
	return false
}

// applyList applies a reading of the platform's list and returns the changes. A
// reading that was already seen does not make the list newer.
func (v *view) applyList(l *savoryroster.Listing, r reading, now time.Time, cfg *savoryrouting.Config) []savoryroster.Change {
	v.mu.Lock()
	defer v.mu.Unlock()
	readAt := r.at
	if v.seenReading(r.id) {
		readAt = v.roster.ReadAt()
	}
	if readAt.After(v.roster.ReadAt()) {
		v.newestReading = r.id
	}
	changes := v.roster.Apply(l, readAt, now)
	if v.firstListAt.IsZero() {
		v.firstListAt = now
	}
	v.listChanged = true
	for _, c := range changes {
		switch c.Kind {
		case "restarted", "gone", "holds":
			// An engine that carried out an order is alive: streams that waited for
			// layers that it gave up may have reported it as failed.
			v.health.Forget(c.Server.ID)
			delete(v.sharedFailures, c.Server.ID)
		}
		if c.Kind == "restarted" || c.Kind == "gone" {
			v.notices.Forget(c.Server.ID)
		}
	}
	for _, s := range l.Servers {
		v.health.Heartbeat(s.ID, v.roster.HeartbeatAt(s.ID))
	}
	if len(changes) > 0 {
		v.rebuild(cfg)
		v.updatePace(cfg)
	}
	return changes
}

// applySnapshot applies the snapshot from the store, whose registrations may
// have expired since.
func (v *view) applySnapshot(l *savoryroster.Listing, now time.Time, cfg *savoryrouting.Config) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.roster.Apply(l, time.Time{}, now)
	v.roster.ReadFailed()
	v.listChanged = true
	v.rebuild(cfg)
	v.updatePace(cfg)
}

func (v *view) setConfig(cfg *savoryrouting.Config) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.rebuild(cfg)
	v.updatePace(cfg)
}

// rebuild updates the chain tables with the available engines. It does nothing
// without a configuration.
func (v *view) rebuild(cfg *savoryrouting.Config) {
	if cfg == nil {
		return
	}
	if v.chainTables == nil {
		v.chainTables = make(map[string]*savorypath.Table)
	}
	for i := range cfg.Services {
		s := &cfg.Services[i]
		if s.Engine == nil || s.Engine.Layers == 0 {
			continue
		}
		var engines []savorypath.Engine
		for _, server := range v.roster.Available(s.Name) {
			engines = append(engines, savorypath.Engine{
				ID: server.ID, Address: server.Address, Zone: server.Zone, Holds: server.Holds,
				Accelerator: s.Engine.Accelerator(server.Accelerator), SlowdownFactor: v.slowdowns[server.ID].factor,
			})
		}
		v.table(s.Name).SetEngines(s.Engine, engines)
	}
}

func (v *view) table(service string) *savorypath.Table {
	t := v.chainTables[service]
	if t == nil {
		if v.chainTables == nil {
			v.chainTables = make(map[string]*savorypath.Table)
		}
		t = &savorypath.Table{Zone: v.zone, Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))}
		v.chainTables[service] = t
	}
	return t
}

// chooseChain chooses a chain and counts the request in the load of its engines,
// until endChain, and in the limit of the first one. The request must be sent after the
// Delay of the choice, which is at most maxDelay.
func (v *view) chooseChain(service string, r savorypath.Request, maxDelay time.Duration, now time.Time) (savorypath.Choice, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	t := v.table(service)
	r = v.restrict(service, r, &v.notices, maxDelay, now)
	choice, err := t.Choose(r, now)
	if err == nil {
		v.startPaced(service, choice.Chain, &r, now)
		t.RecordStart(choice.Chain, r.Tokens, now)
		if r.CurrentChain == nil {
			v.notices.Reserve(choice.Chain[0].Server)
		}
	}
	return choice, err
}

// restrict returns the request with what is known about the engines from their failures and,
// by notices, from themselves.
func (v *view) restrict(service string, r savorypath.Request, notices *savorynotice.Board, maxDelay time.Duration, now time.Time) savorypath.Request {
	avoid := r.Avoid
	r.Avoid = func(id string) bool {
		if avoid != nil && avoid(id) {
			return true
		}
		if r.CurrentChain.Uses(id) {
			// An engine that refuses new requests continues those that it runs.
			return v.health.Failing(id, now)
		}
		return v.health.Avoided(id, now) || notices.Paused(id, now) > maxDelay
	}
	if r.CurrentChain == nil {
		r.FirstDelay = func(id string) (time.Duration, bool) {
			delay, ok := notices.Delay(service, id, now)
			return delay, ok && delay <= maxDelay
		}
	}
	v.limitByPace(service, &r, now)
	return r
}

// missingLayers describes for the log why there is no chain: the numbers of
// layers that no usable engine or only full engines hold, by zone.
func (v *view) missingLayers(service string, r savorypath.Request, now time.Time) string {
	v.mu.Lock()
	defer v.mu.Unlock()
	r.Avoid = func(id string) bool { return v.health.Avoided(id, now) }
	return v.table(service).Gaps(r, now)
}

// answerTime estimates the current duration of an answer of the configured usual
// length.
func (v *view) answerTime(service string) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.table(service).AnswerTime()
}

// endChain removes a request that chooseChain counted from the load of its engines.
func (v *view) endChain(service string, chain savorypath.Chain, tokens int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.table(service).RecordEnd(chain, tokens, time.Now())
	v.endPacedChain(chain)
}

// dropChain undoes chooseChain for a request that was not sent.
func (v *view) dropChain(service string, chain savorypath.Chain, tokens int) {
	v.endChain(service, chain, tokens)
	v.unsent(chain[0].Server)
}

// recordFailure records a server's failure and returns the time until which the
// server is avoided. If shareWithPeers is set, the failure is also passed on to
// peers.
func (v *view) recordFailure(id string, shareWithPeers bool, now time.Time) time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	if shareWithPeers {
		return v.recordSharedFailure(id, now)
	}
	v.recordPaceFailure(id, now)
	return v.health.RecordFailure(id, now)
}

func (v *view) recordSharedFailure(id string, now time.Time) time.Time {
	if v.sharedFailures == nil {
		v.sharedFailures = make(map[string]time.Time)
	}
	v.sharedFailures[id] = now
	v.recordPaceFailure(id, now)
	v.health.RecordReportedFailure(id, now)
	return v.health.RecordFailure(id, now)
}

// recordStall records that a stream waits for the layers that a server runs for it.
// It returns the time until which the server is avoided, or the zero time if the
// server has not failed: after an order it no longer holds the layers.
func (v *view) recordStall(id string, layers savoryworld.LayerRange, now time.Time) time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	if s, ok := v.roster.Server(id); ok && s.Holds.Intersect(layers) != layers {
		return time.Time{}
	}
	return v.recordSharedFailure(id, now)
}

// born returns when the listed incarnation of a server started, zero if it is not listed.
func (v *view) born(id string) time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	s, _ := v.roster.Server(id)
	return s.Born
}

// recordRefusal records that a server does not take a request. It reports whether
// the server was not avoided before.
func (v *view) recordRefusal(id string, now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	first := !v.health.Avoided(id, now)
	v.health.RecordRefusal(id, now)
	return first
}

// recordDropped records that a response of a server was dropped.
func (v *view) recordDropped(id string, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.health.RecordDropped(id, now)
}

// recordPeerFailure records a server failure that a peer reported. It returns
// false if the server is avoided already or had a heartbeat since.
func (v *view) recordPeerFailure(id string, at time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.health.Failing(id, at) || !v.roster.HeartbeatAt(id).Before(at) {
		return false
	}
	v.health.RecordReportedFailure(id, at)
	v.recordPaceFailure(id, at)
	return true
}

// recordReport records an engine's report about itself.
func (v *view) recordReport(id string, r Report, cfg *savoryrouting.Config) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.roster.ReportReceived(id, r.StartedAt, r.OrderCount, r.Holds, r.Busy)
	v.updatePaceOf(id)
	v.listChanged = true
	v.rebuild(cfg)
}

func (v *view) recordSuccess(id string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.health.RecordSuccess(id)
}

func (v *view) markLeaving(id string, cfg *savoryrouting.Config) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.roster.MarkLeaving(id)
	v.listChanged = true
	v.rebuild(cfg)
	v.updatePace(cfg)
}

// serverAt returns the ID of the server at an address of the chain, empty if there
// is none.
func serverAt(chain savorypath.Chain, address netip.AddrPort) string {
	for _, h := range chain {
		if h.Address == address {
			return h.Server
		}
	}
	return ""
}

// recentFailures returns the ages of the recent failures to pass on to peers, by
// server.
func (v *view) recentFailures(now time.Time) map[string]time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	recent := make(map[string]time.Duration)
	for id, at := range v.sharedFailures {
		if age := now.Sub(at); age < failureSharingWindow {
			recent[id] = age
		} else {
			delete(v.sharedFailures, id)
		}
	}
	return recent
}

// ownLoads returns this entry's requests in flight at engines.
func (v *view) ownLoads(now time.Time) []savorypath.Load {
	v.mu.Lock()
	defer v.mu.Unlock()
	var loads []savorypath.Load
	for _, t := range v.chainTables {
		loads = append(loads, t.OwnLoads(now)...)
	}
	return loads
}

// setPeerLoads replaces the loads of the peers.
func (v *view) setPeerLoads(byPeer map[string][]savorypath.Load, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.setPaceReports(byPeer, now)
	for _, t := range v.chainTables {
		// The servers of other services are never looked up in this table.
		t.SetPeers(byPeer, now)
	}
}

// servers returns the available servers of a service, and which of them are
// failing.
func (v *view) servers(service string, now time.Time) (all []savoryroster.Server, failing map[string]bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	all = v.roster.Available(service)
	failing = make(map[string]bool)
	for _, s := range all {
		if v.health.Failing(s.ID, now) {
			failing[s.ID] = true
		}
	}
	return all, failing
}

// listForPeers returns the current list and its versions. The caller must not change the
// list.
func (v *view) listForPeers(bootNow time.Time) (*savoryroster.Listing, savorypeer.Versions) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.refreshPeerList()
	return v.peerList, savorypeer.Versions{
		ListEra: v.peerList.Era, ListRevision: v.peerList.Revision, ListPrint: v.fingerprint, ListAge: min(savorypeer.MaxAge, max(0, bootNow.Sub(v.roster.ReadAt()))), ListReading: v.newestReading,
	}
}

// refreshPeerList copies the list for peers again if it has changed.
func (v *view) refreshPeerList() {
	if v.peerList == nil || v.listChanged {
		v.peerList, v.listChanged = v.roster.Listing(), false
		v.fingerprint = v.peerList.Fingerprint()
	}
	if position := v.roster.Position(); v.peerList.Position() != position {
		v.peerList = &savoryroster.Listing{Era: position.Era, Revision: position.Revision, Servers: v.peerList.Servers}
	}
}

// countsByState returns the number of listed servers by state.
func (v *view) countsByState(now time.Time) map[string]int {
	v.mu.Lock()
	defer v.mu.Unlock()
	n := map[string]int{"usable": 0, "leaving": 0, "avoided": 0, "limited": 0, "paused": 0}
	for _, s := range v.noticeStatuses(now) {
		switch {
		case s.Limit > 0:
			n["limited"]++
		case s.PausedFor > 0:
			n["paused"]++
		}
	}
	for _, s := range v.roster.All() {
		switch {
		case s.Leaving:
			n["leaving"]++
		case v.health.Avoided(s.ID, now):
			n["avoided"]++
		default:
			n["usable"]++
		}
	}
	return n
}

// setEntries sets the number of live entries in the chain tables, and the names of the
// others, with which this entry shares the limits of servers.
func (v *view) setEntries(n int, others []string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.notices.SetEntries(others)
	v.setPaceEntries(others)
	for _, t := range v.chainTables {
		t.Entries = n
	}
}

// hasList reports whether a list was ever read. The snapshot from the store does
// not count.
func (v *view) hasList() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return !v.roster.ReadAt().IsZero()
}

// firstListTime returns the time of the first list that was read, zero before it.
func (v *view) firstListTime() time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.firstListAt
}

// readFailed records that the store was unreachable: registrations of servers may
// have expired in the meantime.
func (v *view) readFailed() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.roster.ReadFailed()
}

// confirmList records that the current list was unchanged at a peer's later
// reading. It ignores a different list and a reading that was already seen.
func (v *view) confirmList(known savorypeer.Versions, bootNow time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.refreshPeerList()
	if v.fingerprint != known.ListPrint || v.seenReading(known.ListReading) {
		return
	}
	readAt := bootNow.Add(-known.ListAge)
	if readAt.After(v.roster.ReadAt()) {
		v.newestReading = known.ListReading
	}
	v.roster.Confirm(known.ListPosition(), readAt)
}
