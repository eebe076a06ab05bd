// Package savoryroster holds the state of the backend servers as one entry observes
// it: which servers are listed, which are leaving, and which are failing.
//
// The platform's list is read from the store or received from a peer. A server that
// was once observed as leaving remains so for its incarnation, also if an older
// list or a late heartbeat reports otherwise. The package does no I/O and reads no
// clock. Its types are not safe for concurrent use.
package savoryroster

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"

	"savorycart.example/savorycore/savorywire"
	"savorycart.example/savorycore/savoryworld"
)

// reregisterWindow is how long after the store's recovery a server that is missing
// from the list may still register again. Servers do so within two heartbeats.
const reregisterWindow = 2500 * time.Millisecond

// minExpiryGap is the shortest time without a reading of the list after which
// registrations may have expired; a registration expires after three missed
// heartbeats. While any entry reads the list, the store is available, and a missing
// server has left.
const minExpiryGap = 2 * time.Second

// tombstoneTTL is how long the tombstone of a server that left is kept, so that an
// older list does not add the server again.
const tombstoneTTL = time.Minute

// Server is a listed backend server.
type Server struct {
	ID      string
	Service string
	Address netip.AddrPort
	Zone    string
	// Leaving servers get no new work.
	Leaving bool
	// Slots is the number of requests that the server runs concurrently.
	Slots int
	// Born is the start time of the server's incarnation.
	Born time.Time
	// Holds is the layers that an engine holds, Accelerator its kind of accelerator.
	Holds       savoryworld.LayerRange `msgpack:",omitempty"`
	Accelerator string                 `msgpack:",omitempty"`
	// Busy engines are executing an order.
	Busy bool `msgpack:",omitempty"`
	// Beat counts the heartbeats of the incarnation.
	Beat int64
	// Orders is the number of orders that the engine had accepted at its last own
	// report, and ReportedBeat the last heartbeat read before that report; Holds and
	// Busy are then taken from the report. Orders is 0 without a recent report.
	Orders       int64 `msgpack:",omitempty"`
	ReportedBeat int64 `msgpack:",omitempty"`
}

// Listing is one reading of the platform's list of servers. It must not be changed once it
// has been encoded.
type Listing struct {
	// Era and Revision are the store's position at the time of the reading.
	Era      int64 `msgpack:",omitempty"`
	Revision int64
	Servers  []Server

	encoded savorywire.Cache
}

// EncodeMsgpack implements msgpack.CustomEncoder. A leader sends the same listing to each
// entry of its zone.
func (l *Listing) EncodeMsgpack(enc *msgpack.Encoder) error {
	type fields Listing
	return l.encoded.Encode(enc, (*fields)(l))
}

// Position returns the store's position at the time of the reading.
func (l *Listing) Position() savoryworld.Position {
	return savoryworld.Position{Era: l.Era, Revision: l.Revision}
}

// heartbeatsPerFingerprint is the number of heartbeats of a server after which the
// fingerprint changes even if nothing else does. A server that was reported as
// failed is used again after a later heartbeat is read, so heartbeats must count.
const heartbeatsPerFingerprint = 3

// Fingerprint returns a hash of the listing without its revision.
func (l *Listing) Fingerprint() uint64 {
	d := xxhash.New()
	for _, s := range l.Servers {
		_, _ = fmt.Fprintf(d, "%s|%s|%s|%s|%t|%d|%d|%s|%t|%d;", s.ID, s.Service, s.Address, s.Zone,
			s.Leaving, s.Born.UnixMilli(), s.Holds.From*1000+s.Holds.To, s.Accelerator, s.Busy, s.Beat/heartbeatsPerFingerprint)
	}
	return d.Sum64()
}

// Snapshot returns the listing to store for entries that start after the
// registrations in the store have expired. It omits leaving servers and the fields
// that change with each heartbeat.
func (l *Listing) Snapshot() *Listing {
	kept := &Listing{Era: l.Era, Revision: l.Revision}
	for _, s := range l.Servers {
		if s.Leaving {
			continue
		}
		s.Busy, s.Beat, s.Orders, s.ReportedBeat = false, 0, 0, 0
		kept.Servers = append(kept.Servers, s)
	}
	return kept
}

// Check returns an error if a listing from a peer has a server without ID or
// address.
func (l *Listing) Check() error {
	for i, s := range l.Servers {
		if s.ID == "" || !s.Address.IsValid() {
			return fmt.Errorf("Listing.Servers[%d]: ID or address is missing", i)
		}
	}
	return nil
}

// Change is a change in the state of a server, for the log.
type Change struct {
	Server Server
	// Kind is "listed", "leaving", "gone", "restarted" or "holds".
	Kind string
}

// Roster is the set of backend servers as one entry observes it. The zero value is
// ready for use.
type Roster struct {
	servers map[string]*listedServer
	// tombstones holds the last state of servers that left, by ID.
	tombstones map[string]tombstone
	position   savoryworld.Position
	// lastReadAt is the time of the newest reading of the list. recoveredAt is when the
	// first reading after an outage of the store was applied. readFailed is true if the
	// last reading failed.
	lastReadAt  time.Time
	recoveredAt time.Time
	readFailed  bool
	// available are the results of Available by service, until a server changes.
	available map[string][]Server
}

type listedServer struct {
	Server
	// heartbeatAt is when the last heartbeat was first read.
	heartbeatAt time.Time
}

type tombstone struct {
	born      time.Time
	heartbeat int64
	at        time.Time
}

// excludes reports whether a listed state belongs to the incarnation that left: the
// list is older, or the server is only listed as leaving.
func (g tombstone) excludes(s Server) bool {
	return s.Born.Before(g.born) || s.Born.Equal(g.born) && (s.Beat <= g.heartbeat || s.Leaving)
}

// ReadFailed records that the store could not be read. Registrations may expire if
// no other entry reads the list either.
func (r *Roster) ReadFailed() { r.readFailed = true }

// Position returns the store's position of the newest listing.
func (r *Roster) Position() savoryworld.Position { return r.position }

// ReadAt returns when the newest listing was read.
func (r *Roster) ReadAt() time.Time { return r.lastReadAt }

// Apply merges a listing that was read at readAt and returns the changes. Times of readings are
// compared with each other only, so they may be of another clock than now. A listing
// that precedes the last one in the store's history changes nothing. In the first
// listing of a new era, registrations may be missing that were written after the copy
// from which the store was restored; their servers write them again.
func (r *Roster) Apply(l *Listing, readAt, now time.Time) []Change {
	if r.servers == nil {
		r.servers = make(map[string]*listedServer)
		r.tombstones = make(map[string]tombstone)
	}
	if l.Position().Before(r.position) {
		return nil
	}
	if r.position.Era > 0 && l.Era > r.position.Era {
		r.recoveredAt = now
	}
	if r.readFailed && readAt.Sub(r.lastReadAt) >= minExpiryGap {
		r.recoveredAt = now
	}
	r.readFailed = false
	r.position = l.Position()
	r.available = nil
	if readAt.After(r.lastReadAt) {
		r.lastReadAt = readAt
	}
	var changes []Change
	seen := make(map[string]bool, len(l.Servers))
	for _, s := range l.Servers {
		seen[s.ID] = true
		if change, ok := r.merge(s, now); ok {
			changes = append(changes, change)
		}
	}
	return append(changes, r.removeMissing(seen, now)...)
}

// removeMissing removes the servers that a listing lacks, unless their registration
// may have expired during an outage of the store.
func (r *Roster) removeMissing(seen map[string]bool, now time.Time) []Change {
	var changes []Change
	mayHaveExpired := !r.recoveredAt.IsZero() && now.Sub(r.recoveredAt) < reregisterWindow
	for id, e := range r.servers {
		if seen[id] || mayHaveExpired && !e.Leaving {
			continue
		}
		delete(r.servers, id)
		r.tombstones[id] = tombstone{born: e.Born, heartbeat: e.Beat, at: now}
		changes = append(changes, Change{Server: e.Server, Kind: "gone"})
	}
	for id, g := range r.tombstones {
		if now.Sub(g.at) > tombstoneTTL {
			delete(r.tombstones, id)
		}
	}
	return changes
}

// merge updates the roster with one listed server. It returns false if there is no
// change to report.
func (r *Roster) merge(s Server, now time.Time) (Change, bool) {
	current := r.servers[s.ID]
	if current == nil {
		if g, ok := r.tombstones[s.ID]; ok && g.excludes(s) {
			return Change{}, false
		}
		r.servers[s.ID] = &listedServer{Server: s, heartbeatAt: now}
		return Change{Server: s, Kind: "listed"}, true
	}
	before := current.Server
	if s.Beat > before.Beat {
		current.heartbeatAt = now
	}
	switch {
	case s.Born.Before(before.Born), s.Born.Equal(before.Born) && s.Beat < before.Beat:
		// The heartbeat is older than the last one.
		return Change{}, false
	case s.Born.After(before.Born):
		current.Server = s
		return Change{Server: s, Kind: "restarted"}, true
	}
	s.Leaving = s.Leaving || before.Leaving
	if before.reportSupersedes(s) {
		s.Holds, s.Busy, s.Orders, s.ReportedBeat = before.Holds, before.Busy, before.Orders, before.ReportedBeat
	}
	current.Server = s
	switch {
	case s.Leaving && !before.Leaving:
		return Change{Server: s, Kind: "leaving"}, true
	case s.Holds != before.Holds:
		return Change{Server: s, Kind: "holds"}, true
	}
	return Change{}, false
}

// ReportReceived records the state that an engine of the given incarnation
// reported itself.
func (r *Roster) ReportReceived(id string, born time.Time, orders int64, holds savoryworld.LayerRange, busy bool) {
	if e := r.servers[id]; e != nil && e.Born.Equal(born) {
		e.Holds, e.Busy, e.Orders, e.ReportedBeat = holds, busy, orders, e.Beat
		r.available = nil
	}
}

// reportHeartbeats is the number of heartbeats after which a heartbeat was certainly
// written later than the report.
const reportHeartbeats = 2

// reportSupersedes reports whether the engine's own report in s takes precedence
// over a listed state of the same incarnation, which may be older.
func (s Server) reportSupersedes(listed Server) bool {
	switch {
	case listed.Orders < s.Orders:
		return listed.Beat < s.ReportedBeat+reportHeartbeats
	case listed.Orders == s.Orders && s.Orders > 0:
		return listed.Busy && !s.Busy
	}
	return false
}

// MarkLeaving records that an answer of the server showed that it is leaving or was
// replaced.
func (r *Roster) MarkLeaving(id string) {
	if e := r.servers[id]; e != nil {
		e.Leaving = true
		r.available = nil
	}
}

// Server returns the server with the ID.
func (r *Roster) Server(id string) (Server, bool) {
	e := r.servers[id]
	if e == nil {
		return Server{}, false
	}
	return e.Server, true
}

// HeartbeatAt returns when the server's last heartbeat was first read, or the zero
// time if the server is not listed.
func (r *Roster) HeartbeatAt(id string) time.Time {
	if e := r.servers[id]; e != nil {
		return e.heartbeatAt
	}
	return time.Time{}
}

// All returns all listed servers, sorted by ID.
func (r *Roster) All() []Server {
	all := make([]Server, 0, len(r.servers))
	for _, e := range r.servers {
		all = append(all, e.Server)
	}
	slices.SortFunc(all, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// Available returns the servers of a service that may get new work, sorted by ID. The caller may
// change the result. Each choice of a server calls it, so it must not sort the whole list.
func (r *Roster) Available(service string) []Server {
	if r.available == nil {
		r.available = make(map[string][]Server)
		for _, s := range r.All() {
			if !s.Leaving {
				r.available[s.Service] = append(r.available[s.Service], s)
			}
		}
	}
	return slices.Clone(r.available[service])
}

// Listing returns the current state as a listing for a peer.
func (r *Roster) Listing() *Listing {
	return &Listing{Era: r.position.Era, Revision: r.position.Revision, Servers: r.All()}
}

// Confirm records that a reading of the store at readAt returned the same list.
func (r *Roster) Confirm(position savoryworld.Position, readAt time.Time) {
	if r.position.Before(position) {
		r.position = position
	}
	if readAt.After(r.lastReadAt) {
		r.lastReadAt = readAt
	}
}
