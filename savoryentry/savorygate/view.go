package savorygate

// This file defines view, the state of the servers that requests are routed by.

import (
	"cmp"
	"errors"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"savorycart.example/savorycore/savorypath"
	"savorycart.example/savorycore/savorypeer"
	"savorycart.example/savorycore/savoryroster"
	"savorycart.example/savorycore/savoryrouting"
)

// faultReportWindow is how long a server failure reported by an engine is passed on
// to peers.
const faultReportWindow = 1500 * time.Millisecond

// view holds the list of servers, the health of the servers and the load of the
// engines behind one lock.
type view struct {
	mu          sync.Mutex
	zone        string
	roster      savoryroster.Roster
	health      savoryroster.Health
	chainTables map[string]*savorypath.Table
	// inFlight counts this entry's requests in flight by server, for servers that
	// are not part of a chain.
	inFlight map[string]int
	// faults are the server failures that engines reported lately.
	faults          map[string]time.Time
	slowdownFactors map[string]float64
	// listCopy is the copy of the list for peers and fingerprint its fingerprint.
	// listChanged is set if the roster has changed since the copy was made.
	listCopy    *savoryroster.Listing
	fingerprint uint64
	listChanged bool
	// recentReadings are the readings whose age was recorded. newestReading is the
	// one that the age of the list counts from.
	recentReadings []uint64
	newestReading  uint64
	// firstListAt is the time of the first list that was read.
	firstListAt time.Time
}

// errNoServer is returned if a service has no available server.
var errNoServer = errors.New("service has no available server")

// reading identifies one reading of the platform's list and its time.
type reading struct {
	id uint64
	at time.Time
}

// maxRecentReadings bounds view.recentReadings.
const maxRecentReadings = 64

// recordReading records a reading and reports whether it was recorded before.
func (v *view) recordReading(id uint64) bool {
	if slices.Contains(v.recentReadings, id) {
		return true
	}
	v.recentReadings = append(v.recentReadings, id)
	if len(v.recentReadings) > maxRecentReadings {
		v.recentReadings = v.recentReadings[1:]
	}
	return false
}

// applyList applies a reading of the platform's list and returns the changes. A
// reading that was recorded before does not make the list newer.
func (v *view) applyList(l *savoryroster.Listing, r reading, now time.Time, cfg *savoryrouting.Config) []savoryroster.Change {
	v.mu.Lock()
	defer v.mu.Unlock()
	readAt := r.at
	if v.recordReading(r.id) {
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
		if c.Kind == "restarted" || c.Kind == "gone" {
			v.health.Forget(c.Server.ID)
		}
	}
	for _, s := range l.Servers {
		v.health.Heartbeat(s.ID, v.roster.HeartbeatAt(s.ID))
	}
	if len(changes) > 0 {
		v.rebuild(cfg)
	}
	return changes
}

// applySnapshot applies a stored copy of a list, whose entries may have expired
// since.
func (v *view) applySnapshot(l *savoryroster.Listing, now time.Time, cfg *savoryrouting.Config) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.roster.Apply(l, time.Time{}, now)
	v.roster.ReadFailed()
	v.listChanged = true
	v.rebuild(cfg)
}

// setConfig applies a configuration.
func (v *view) setConfig(cfg *savoryrouting.Config) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.rebuild(cfg)
}

// rebuild updates the path tables with the available engines. It does nothing
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
				Accelerator: s.Engine.Accelerator(server.Accelerator), SlowdownFactor: v.slowdownFactors[server.ID],
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

// chooseChain chooses a chain and records the start of the request on it.
func (v *view) chooseChain(service string, r savorypath.Request, now time.Time) (savorypath.Choice, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	avoid := r.Avoid
	r.Avoid = func(id string) bool { return v.health.Avoided(id, now) || avoid != nil && avoid(id) }
	t := v.table(service)
	choice, err := t.Choose(r, now)
	if err == nil {
		t.RecordStart(choice.Chain, r.Tokens, now)
	}
	return choice, err
}

// gaps describes for the log why there is no path.
func (v *view) gaps(service string, r savorypath.Request, now time.Time) string {
	v.mu.Lock()
	defer v.mu.Unlock()
	r.Avoid = func(id string) bool { return v.health.Avoided(id, now) }
	return v.table(service).Gaps(r, now)
}

// answerTime estimates the current duration of a usual answer of a service.
func (v *view) answerTime(service string) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.table(service).AnswerTime()
}

// endChain removes a request from the load of its chain.
func (v *view) endChain(service string, chain savorypath.Chain, tokens int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.table(service).RecordEnd(chain, tokens, time.Now())
}

// plainChoice is a server chosen for a request without a chain.
type plainChoice struct {
	server   savoryroster.Server
	runnerUp string
	// inFlight is the number of this entry's requests at the server before this
	// one.
	inFlight int
	slots    int
	avoided  int
}

// choosePlain chooses the server of a service with the fewest requests of this entry
// in flight per slot, and counts the new request at it. Failing servers are chosen
// only if there is no other. The error is errNoServer if none is available.
func (v *view) choosePlain(service string, avoid map[string]bool, now time.Time) (plainChoice, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	servers := slices.DeleteFunc(v.roster.Available(service), func(s savoryroster.Server) bool { return avoid[s.ID] })
	if len(servers) == 0 {
		return plainChoice{}, errNoServer
	}
	rand.Shuffle(len(servers), func(i, j int) { servers[i], servers[j] = servers[j], servers[i] })
	loadRank := func(s savoryroster.Server) float64 {
		r := float64(v.inFlight[s.ID]) / float64(max(1, s.Slots))
		if s.Zone != v.zone {
			// Between equally loaded servers the one in this zone wins.
			r += 0.01
		}
		if v.health.Avoided(s.ID, now) {
			r += avoidedPenalty
		}
		return r
	}
	slices.SortStableFunc(servers, func(a, b savoryroster.Server) int { return cmp.Compare(loadRank(a), loadRank(b)) })
	c := plainChoice{server: servers[0], inFlight: v.inFlight[servers[0].ID], slots: servers[0].Slots, avoided: len(avoid)}
	if len(servers) > 1 {
		c.runnerUp = servers[1].ID
	}
	if v.inFlight == nil {
		v.inFlight = make(map[string]int)
	}
	v.inFlight[c.server.ID]++
	return c, nil
}

// avoidedPenalty ranks failing servers behind all others at any load.
const avoidedPenalty = 1000

func (v *view) endPlain(id string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.inFlight[id]--
	if v.inFlight[id] <= 0 {
		delete(v.inFlight, id)
	}
}

// recordFailure records a server's failure and returns the time until which the
// server is avoided. If an engine reported the failure, peers receive it too.
func (v *view) recordFailure(id string, reported bool, now time.Time) time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	if reported {
		if v.faults == nil {
			v.faults = make(map[string]time.Time)
		}
		v.faults[id] = now
		v.health.FailureReported(id, now)
	}
	return v.health.Failed(id, now)
}

// recordPeerFailure records a server failure that a peer received from an engine. It
// reports false if the server is avoided already or had a heartbeat since.
func (v *view) recordPeerFailure(id string, at time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.health.Avoided(id, at) || !v.roster.HeartbeatAt(id).Before(at) {
		return false
	}
	v.health.FailureReported(id, at)
	return true
}

// recordReport records an engine's report about itself.
func (v *view) recordReport(id string, r Report, cfg *savoryrouting.Config) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.roster.ReportReceived(id, r.StartedAt, r.OrderCount, r.Holds, r.Busy)
	v.listChanged = true
	v.rebuild(cfg)
}

func (v *view) recordSuccess(id string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.health.Succeeded(id)
}

func (v *view) markLeaving(id string, cfg *savoryrouting.Config) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.roster.MarkLeaving(id)
	v.listChanged = true
	v.rebuild(cfg)
}

// serverAt returns the ID of the server at an address of the path, empty if there
// is none.
func serverAt(chain savorypath.Chain, address netip.AddrPort) string {
	for _, h := range chain {
		if h.Address == address {
			return h.Server
		}
	}
	return ""
}

// recentFaults returns the ages of the failures that engines reported lately, by
// server.
func (v *view) recentFaults(now time.Time) map[string]time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	recent := make(map[string]time.Duration)
	for id, at := range v.faults {
		if age := now.Sub(at); age < faultReportWindow {
			recent[id] = age
		} else {
			delete(v.faults, id)
		}
	}
	return recent
}

// ownLoads returns this entry's requests in flight at engines.
func (v *view) ownLoads() []savorypath.Load {
	v.mu.Lock()
	defer v.mu.Unlock()
	var loads []savorypath.Load
	for _, t := range v.chainTables {
		loads = append(loads, t.OwnLoads()...)
	}
	return loads
}

// setPeerLoads replaces the loads of the peers.
func (v *view) setPeerLoads(byPeer map[string][]savorypath.Load, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
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
		if v.health.Avoided(s.ID, now) {
			failing[s.ID] = true
		}
	}
	return all, failing
}

// listing returns the current list and its versions. The caller must not change the
// list.
func (v *view) listing(now time.Time) (*savoryroster.Listing, savorypeer.Versions) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.refreshListing()
	return v.listCopy, savorypeer.Versions{
		ListRevision: v.listCopy.Revision, ListPrint: v.fingerprint, ListAge: max(0, now.Sub(v.roster.ReadAt())), ListReading: v.newestReading,
	}
}

// refreshListing updates the copy of the list for peers.
func (v *view) refreshListing() {
	if v.listCopy == nil || v.listChanged {
		v.listCopy, v.listChanged = v.roster.Listing(), false
		v.fingerprint = v.listCopy.Fingerprint()
	}
	if v.listCopy.Revision != v.roster.Revision() {
		v.listCopy = &savoryroster.Listing{Revision: v.roster.Revision(), Servers: v.listCopy.Servers}
	}
}

// countsByState returns the number of listed servers by state.
func (v *view) countsByState(now time.Time) map[string]int {
	v.mu.Lock()
	defer v.mu.Unlock()
	n := map[string]int{"usable": 0, "leaving": 0, "avoided": 0}
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

// setEntries sets the number of live entries.
func (v *view) setEntries(n int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, t := range v.chainTables {
		t.Entries = n
	}
}

// hasList reports whether a list was ever read. A stored copy does not count.
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

// readFailed records that the store was unreachable: entries of the list may have
// expired in the meantime.
func (v *view) readFailed() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.roster.ReadFailed()
}

// confirmList records that the current list was unchanged at a peer's later
// reading. It ignores a different list and a reading that was recorded before.
func (v *view) confirmList(known savorypeer.Versions, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.refreshListing()
	if v.fingerprint != known.ListPrint || v.recordReading(known.ListReading) {
		return
	}
	readAt := now.Add(-known.ListAge)
	if readAt.After(v.roster.ReadAt()) {
		v.newestReading = known.ListReading
	}
	v.roster.Confirm(known.ListRevision, readAt)
}
