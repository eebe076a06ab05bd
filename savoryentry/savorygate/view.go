package savorygate

// This file defines view, the beliefs about servers that requests are routed
// by.

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

// faultReportWindow is how long a fault that an engine named is told to peers.
const faultReportWindow = 1500 * time.Millisecond

// view holds the roster, the health of servers and the load of engines behind
// one lock.
type view struct {
	mu     sync.Mutex
	zone   string
	roster savoryroster.Roster
	health savoryroster.Health
	paths  map[string]*savorypath.Table
	// inFlight counts this entry's requests at plain servers.
	inFlight map[string]int
	// faults are faults that engines named lately.
	faults map[string]time.Time
	slow   map[string]float64
	// listCopy is a copy of the list for peers, print its fingerprint; dirty says
	// that the roster has changed since.
	listCopy *savoryroster.Listing
	fingerprint   uint64
	listChanged   bool
	// recentReadings are the recentReadings whose age was taken, newest the one that the
	// list's age counts from.
	recentReadings []uint64
	newestReading   uint64
	// firstListAt is when a list was first taken.
	firstListAt time.Time
}

// errNoServer says that no server of a service may get work.
var errNoServer = errors.New("no server is available")

// reading is one reading of the platform's list.
type reading struct {
	id uint64
	at time.Time
}

// maxRecentReadings is the number of readings that are remembered.
const maxRecentReadings = 64

// recordReading notes a reading and reports whether its age was recordReading before.
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

// applyList takes a reading of the platform's applyList.
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

// applySnapshot takes the copy of a list whose entries may have lapsed since.
func (v *view) applySnapshot(l *savoryroster.Listing, now time.Time, cfg *savoryrouting.Config) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.roster.Apply(l, time.Time{}, now)
	v.roster.ReadFailed()
	v.listChanged = true
	v.rebuild(cfg)
}

// setConfig takes a configuration.
func (v *view) setConfig(cfg *savoryrouting.Config) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.rebuild(cfg)
}

// rebuild hands the usable engines to the path tables.
func (v *view) rebuild(cfg *savoryrouting.Config) {
	if cfg == nil {
		return
	}
	if v.paths == nil {
		v.paths = make(map[string]*savorypath.Table)
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
				Accelerator: s.Engine.Accelerator(server.Accelerator), SlowdownFactor: v.slow[server.ID],
			})
		}
		v.table(s.Name).SetEngines(s.Engine, engines)
	}
}

func (v *view) table(service string) *savorypath.Table {
	t := v.paths[service]
	if t == nil {
		if v.paths == nil {
			v.paths = make(map[string]*savorypath.Table)
		}
		t = &savorypath.Table{Zone: v.zone, Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))}
		v.paths[service] = t
	}
	return t
}

// choosePath chooses a chain and counts the request as sent on it.
func (v *view) choosePath(service string, r savorypath.Request, now time.Time) (savorypath.Choice, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	avoid := r.Avoid
	r.Avoid = func(id string) bool { return v.health.Avoided(id, now) || avoid != nil && avoid(id) }
	t := v.table(service)
	choice, err := t.Choose(r, now)
	if err == nil {
		t.RecordStart(choice.Path, r.Tokens, now)
	}
	return choice, err
}

// gaps says why there is no path, for the log.
func (v *view) gaps(service string, r savorypath.Request, now time.Time) string {
	v.mu.Lock()
	defer v.mu.Unlock()
	r.Avoid = func(id string) bool { return v.health.Avoided(id, now) }
	return v.table(service).Gaps(r, now)
}

// answerTime estimates how long a usual answer of a service takes now.
func (v *view) answerTime(service string) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.table(service).AnswerTime()
}

// endPath takes a request off the load of its chain.
func (v *view) endPath(service string, p savorypath.Path, tokens int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.table(service).RecordEnd(p, tokens, time.Now())
}

// plainChoice is a server chosen for a request without a chain.
type plainChoice struct {
	server   savoryroster.Server
	runnerUp string
	// inFlight is the number of this entry's requests at the server before.
	inFlight int
	slots   int
	avoided int
}

// choosePlain chooses the server of a service with the fewest requests in
// flight for its slots, and counts the request as sent to it. Servers that fail
// are used only if no other is left.
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
			// A server of the own zone wins among equals.
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

// avoidedPenalty puts servers that fail behind all others, however loaded.
const avoidedPenalty = 1000

func (v *view) endPlain(id string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.inFlight[id]--
	if v.inFlight[id] <= 0 {
		delete(v.inFlight, id)
	}
}

// recordFailure records a server's failure; named says that an engine named it, which
// peers are told.
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

// recordPeerFailure takes a fault that a peer was told by an engine.
func (v *view) recordPeerFailure(id string, at time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.health.Avoided(id, at) || !v.roster.HeartbeatAt(id).Before(at) {
		return false
	}
	v.health.FailureReported(id, at)
	return true
}

// recordReport records what an engine said of itself.
func (v *view) recordReport(id string, r Report, cfg *savoryrouting.Config) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.roster.ReportReceived(id, r.Born, r.Orders, r.Holds, r.Busy)
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

// serverAt returns the ID of the engine at an address among the hops.
func serverAt(p savorypath.Path, address netip.AddrPort) string {
	for _, h := range p {
		if h.Address == address {
			return h.Server
		}
	}
	return ""
}

// recentFaults returns the faults that engines named lately, with their age.
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

// ownLoads returns what this entry has in flight at engines.
func (v *view) ownLoads() []savorypath.Load {
	v.mu.Lock()
	defer v.mu.Unlock()
	var loads []savorypath.Load
	for _, t := range v.paths {
		loads = append(loads, t.OwnLoads()...)
	}
	return loads
}

// setPeerLoads takes what the peers have in flight.
func (v *view) setPeerLoads(byPeer map[string][]savorypath.Load, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, t := range v.paths {
		// Servers of other services are never looked up in this table.
		t.SetPeers(byPeer, now)
	}
}

// servers returns the listed servers of a service with whether they fail.
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

// listing returns the current list with what is known of it. The list is not
// changed by its receiver.
func (v *view) listing(now time.Time) (*savoryroster.Listing, savorypeer.Versions) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.refreshListing()
	return v.listCopy, savorypeer.Versions{
		ListRevision: v.listCopy.Revision, ListPrint: v.fingerprint, ListAge: max(0, now.Sub(v.roster.ReadAt())), ListReading: v.newestReading,
	}
}

// refreshListing brings the copy of the list that peers are handed up to date.
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

// setEntries takes the number of live entries.
func (v *view) setEntries(n int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, t := range v.paths {
		t.Entries = n
	}
}

// hasList reports whether a list was ever read.
func (v *view) hasList() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return !v.roster.ReadAt().IsZero()
}

// firstListTime returns when a list was first taken.
func (v *view) firstListTime() time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.firstListAt
}

// readFailed notes that the store was away: entries may have lapsed meanwhile.
func (v *view) readFailed() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.roster.ReadFailed()
}

// confirmList notes that the list at hand was still the same at a later reading.
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
