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

// faultTold is how long a fault that an engine named is told to peers.
const faultTold = 1500 * time.Millisecond

// view holds the roster, the health of servers and the load of engines behind
// one lock.
type view struct {
	mu     sync.Mutex
	zone   string
	roster savoryroster.Roster
	health savoryroster.Health
	paths  map[string]*savorypath.Table
	// flights counts this entry's requests at plain servers.
	flights map[string]int
	// faults are faults that engines named lately.
	faults map[string]time.Time
	slow   map[string]float64
	// current is a copy of the list for peers, print its fingerprint; dirty says
	// that the roster has changed since.
	current *savoryroster.Listing
	print   uint64
	dirty   bool
	// readings are the readings whose age was taken, newest the one that the
	// list's age counts from.
	readings []uint64
	newest   uint64
	// firstAt is when a list was first taken.
	firstAt time.Time
}

// errNoServer says that no server of a service may get work.
var errNoServer = errors.New("no server is available")

// reading is one reading of the platform's list.
type reading struct {
	id uint64
	at time.Time
}

// readingsKept is the number of readings that are remembered.
const readingsKept = 64

// taken notes a reading and reports whether its age was taken before.
func (v *view) taken(id uint64) bool {
	if slices.Contains(v.readings, id) {
		return true
	}
	v.readings = append(v.readings, id)
	if len(v.readings) > readingsKept {
		v.readings = v.readings[1:]
	}
	return false
}

// list takes a reading of the platform's list.
func (v *view) list(l *savoryroster.Listing, r reading, now time.Time, cfg *savoryrouting.Config) []savoryroster.Change {
	v.mu.Lock()
	defer v.mu.Unlock()
	readAt := r.at
	if v.taken(r.id) {
		readAt = v.roster.ReadAt()
	}
	if readAt.After(v.roster.ReadAt()) {
		v.newest = r.id
	}
	changes := v.roster.Apply(l, readAt, now)
	if v.firstAt.IsZero() {
		v.firstAt = now
	}
	v.dirty = true
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

// recall takes the copy of a list whose entries may have lapsed since.
func (v *view) recall(l *savoryroster.Listing, now time.Time, cfg *savoryrouting.Config) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.roster.Apply(l, time.Time{}, now)
	v.roster.ReadFailed()
	v.dirty = true
	v.rebuild(cfg)
}

// configured takes a configuration.
func (v *view) configured(cfg *savoryrouting.Config) {
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
	// flights is the number of this entry's requests at the server before.
	flights int
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
	rank := func(s savoryroster.Server) float64 {
		r := float64(v.flights[s.ID]) / float64(max(1, s.Slots))
		if s.Zone != v.zone {
			// A server of the own zone wins among equals.
			r += 0.01
		}
		if v.health.Avoided(s.ID, now) {
			r += avoidedRank
		}
		return r
	}
	slices.SortStableFunc(servers, func(a, b savoryroster.Server) int { return cmp.Compare(rank(a), rank(b)) })
	c := plainChoice{server: servers[0], flights: v.flights[servers[0].ID], slots: servers[0].Slots, avoided: len(avoid)}
	if len(servers) > 1 {
		c.runnerUp = servers[1].ID
	}
	if v.flights == nil {
		v.flights = make(map[string]int)
	}
	v.flights[c.server.ID]++
	return c, nil
}

// avoidedRank puts servers that fail behind all others, however loaded.
const avoidedRank = 1000

func (v *view) endPlain(id string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.flights[id]--
	if v.flights[id] <= 0 {
		delete(v.flights, id)
	}
}

// failed records a server's failure; named says that an engine named it, which
// peers are told.
func (v *view) failed(id string, named bool, now time.Time) time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	if named {
		if v.faults == nil {
			v.faults = make(map[string]time.Time)
		}
		v.faults[id] = now
		v.health.FailureReported(id, now)
	}
	return v.health.Failed(id, now)
}

// peerFault takes a fault that a peer was told by an engine.
func (v *view) peerFault(id string, at time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.health.Avoided(id, at) || !v.roster.HeartbeatAt(id).Before(at) {
		return false
	}
	v.health.FailureReported(id, at)
	return true
}

// holds records what an engine said of itself.
func (v *view) holds(id string, r Report, cfg *savoryrouting.Config) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.roster.ReportReceived(id, r.StartedAt, r.OrderCount, r.Holds, r.Busy)
	v.dirty = true
	v.rebuild(cfg)
}

func (v *view) succeeded(id string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.health.Succeeded(id)
}

func (v *view) leave(id string, cfg *savoryrouting.Config) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.roster.MarkLeaving(id)
	v.dirty = true
	v.rebuild(cfg)
}

// byAddress returns the ID of the engine at an address among the hops.
func byAddress(p savorypath.Path, address netip.AddrPort) string {
	for _, h := range p {
		if h.Address == address {
			return h.Server
		}
	}
	return ""
}

// toldFaults returns the faults that engines named lately, with their age.
func (v *view) toldFaults(now time.Time) map[string]time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	told := make(map[string]time.Duration)
	for id, at := range v.faults {
		if age := now.Sub(at); age < faultTold {
			told[id] = age
		} else {
			delete(v.faults, id)
		}
	}
	return told
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

// peerLoads takes what the peers have in flight.
func (v *view) peerLoads(byPeer map[string][]savorypath.Load, now time.Time) {
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
	return v.current, savorypeer.Versions{
		ListRevision: v.current.Revision, ListPrint: v.print, ListAge: max(0, now.Sub(v.roster.ReadAt())), ListReading: v.newest,
	}
}

// refreshListing brings the copy of the list that peers are handed up to date.
func (v *view) refreshListing() {
	if v.current == nil || v.dirty {
		v.current, v.dirty = v.roster.Listing(), false
		v.print = v.current.Fingerprint()
	}
	if v.current.Revision != v.roster.Revision() {
		v.current = &savoryroster.Listing{Revision: v.roster.Revision(), Servers: v.current.Servers}
	}
}

// counts returns the number of listed servers by state.
func (v *view) counts(now time.Time) map[string]int {
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

// listed reports whether a list was ever read.
func (v *view) listed() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return !v.roster.ReadAt().IsZero()
}

// listedAt returns when a list was first taken.
func (v *view) listedAt() time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.firstAt
}

// storeBroken notes that the store was away: entries may have lapsed meanwhile.
func (v *view) storeBroken() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.roster.ReadFailed()
}

// refreshed notes that the list at hand was still the same at a later reading.
func (v *view) refreshed(known savorypeer.Versions, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.refreshListing()
	if v.print != known.ListPrint || v.taken(known.ListReading) {
		return
	}
	readAt := now.Add(-known.ListAge)
	if readAt.After(v.roster.ReadAt()) {
		v.newest = known.ListReading
	}
	v.roster.Confirm(known.ListRevision, readAt)
}
