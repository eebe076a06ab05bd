// Package savoryroster keeps what an entry believes about the backend servers:
// which are listed, which are leaving, and which fail.
//
// The platform's list is read from its store, or handed over by a peer. A
// server that was once seen leaving stays so for its incarnation, whatever an
// older list or a late heartbeat says. The package decides only: it does no
// I/O and reads no clock. Its types are not safe for concurrent use.
package savoryroster

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"savorycart.example/savorycore/savoryworld"
)

// reregisterWindow is how long after the store's return a missing entry may still
// come back: servers register again within two heartbeats.
const reregisterWindow = 2500 * time.Millisecond

// minExpiryGap is the least time without a reading after which entries may have
// lapsed: they do after three heartbeats of silence. While others read the list the
// store is not away, and what is missing has left.
const minExpiryGap = 2 * time.Second

// tombstoneTTL is how long a server that left is remembered, so that a late list
// does not bring it back.
const tombstoneTTL = time.Minute

// Server is one listed backend server.
type Server struct {
	ID      string
	Service string
	Address netip.AddrPort
	Zone    string
	// Leaving servers get no new work.
	Leaving bool
	// Slots is the number of requests that the server runs at once.
	Slots int
	// Born is the start of the server's incarnation.
	Born time.Time
	// Holds is the layers that an engine holds, Accelerator its kind.
	Holds       savoryworld.LayerRange `msgpack:",omitempty"`
	Accelerator string                 `msgpack:",omitempty"`
	// Busy engines are carrying out an order.
	Busy bool `msgpack:",omitempty"`
	// Beat counts the heartbeats of the incarnation.
	Beat int64
	// Orders is the number of orders that the engine had accepted when it last
	// reported itself, and ReportedBeat its last heartbeat that was known then;
	// 0 if it was not asked lately. Holds and Busy are then the report's.
	Orders       int64 `msgpack:",omitempty"`
	ReportedBeat int64 `msgpack:",omitempty"`
}

// Listing is one reading of the platform's list.
type Listing struct {
	// Revision is the store's revision at the reading.
	Revision int64
	Servers  []Server
}

// heartbeatsPerFingerprint is the number of heartbeats after which a listing counts as
// changed for them alone: a server that was found silent is used again once a
// later heartbeat is known.
const heartbeatsPerFingerprint = 3

// Fingerprint returns a fingerprint of what the listing says, without its revision.
func (l *Listing) Fingerprint() uint64 {
	d := xxhash.New()
	for _, s := range l.Servers {
		_, _ = fmt.Fprintf(d, "%s|%s|%s|%s|%t|%d|%d|%s|%t|%d;", s.ID, s.Service, s.Address, s.Zone,
			s.Leaving, s.Born.UnixMilli(), s.Holds.From*1000+s.Holds.To, s.Accelerator, s.Busy, s.Beat/heartbeatsPerFingerprint)
	}
	return d.Sum64()
}

// Snapshot returns what is worth keeping of a listing for entries that start while
// the store's own entries have lapsed: no server that leaves, and nothing that
// changes with each heartbeat.
func (l *Listing) Snapshot() *Listing {
	kept := &Listing{Revision: l.Revision}
	for _, s := range l.Servers {
		if s.Leaving {
			continue
		}
		s.Busy, s.Beat, s.Orders, s.ReportedBeat = false, 0, 0, 0
		kept.Servers = append(kept.Servers, s)
	}
	return kept
}

// Check returns an error if a listing from a peer is not well formed.
func (l *Listing) Check() error {
	for i, s := range l.Servers {
		if s.ID == "" || !s.Address.IsValid() {
			return fmt.Errorf("Listing.Servers[%d]: no ID or address", i)
		}
	}
	return nil
}

// Change is a change of belief about a server, for the log.
type Change struct {
	Server Server
	// Kind is "listed", "leaving", "gone", "restarted" or "holds".
	Kind string
}

// Roster is one entry's view. The zero value is ready for use.
type Roster struct {
	servers map[string]*listedServer
	// tombstones holds incarnations that left.
	tombstones map[string]tombstone
	revision   int64
	// lastReadAt is the time of the last reading, brokenAt that of the last
	// failed one.
	lastReadAt  time.Time
	recoveredAt time.Time
	readFailed  bool
}

type listedServer struct {
	Server
	// heartbeatAt is when the last heartbeat was first seen.
	heartbeatAt time.Time
}

type tombstone struct {
	born      time.Time
	heartbeat int64
	at        time.Time
}

// excludes reports whether a listed state is of the incarnation that left: an older
// list, or a server that only says that it leaves.
func (g tombstone) excludes(s Server) bool {
	return s.Born.Before(g.born) || s.Born.Equal(g.born) && (s.Beat <= g.heartbeat || s.Leaving)
}

// ReadFailed records that the store could not be read: entries may lapse if nobody else
// reads it.
func (r *Roster) ReadFailed() { r.readFailed = true }

// Revision returns the store's revision of the newest listing.
func (r *Roster) Revision() int64 { return r.revision }

// ReadAt returns when the newest listing was read.
func (r *Roster) ReadAt() time.Time { return r.lastReadAt }

// Apply takes a listing that was read at readAt. Older listings than the one
// known change nothing.
func (r *Roster) Apply(l *Listing, readAt, now time.Time) []Change {
	if r.servers == nil {
		r.servers = make(map[string]*listedServer)
		r.tombstones = make(map[string]tombstone)
	}
	if l.Revision < r.revision {
		return nil
	}
	if r.readFailed && readAt.Sub(r.lastReadAt) >= minExpiryGap {
		r.recoveredAt = now
	}
	r.readFailed = false
	r.revision = l.Revision
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

// removeMissing takes the servers that a listing lacks for gone, unless they may have
// lapsed.
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

// merge merges one listed server.
func (r *Roster) merge(s Server, now time.Time) (Change, bool) {
	known := r.servers[s.ID]
	if known == nil {
		if g, ok := r.tombstones[s.ID]; ok && g.excludes(s) {
			return Change{}, false
		}
		r.servers[s.ID] = &listedServer{Server: s, heartbeatAt: now}
		return Change{Server: s, Kind: "listed"}, true
	}
	before := known.Server
	if s.Beat > before.Beat {
		known.heartbeatAt = now
	}
	switch {
	case s.Born.Before(before.Born), s.Born.Equal(before.Born) && s.Beat < before.Beat:
		// A late heartbeat.
		return Change{}, false
	case s.Born.After(before.Born):
		known.Server = s
		return Change{Server: s, Kind: "restarted"}, true
	}
	s.Leaving = s.Leaving || before.Leaving
	if before.reportSupersedes(s) {
		s.Holds, s.Busy, s.Orders, s.ReportedBeat = before.Holds, before.Busy, before.Orders, before.ReportedBeat
	}
	known.Server = s
	switch {
	case s.Leaving && !before.Leaving:
		return Change{Server: s, Kind: "leaving"}, true
	case s.Holds != before.Holds:
		return Change{Server: s, Kind: "holds"}, true
	}
	return Change{}, false
}

// ReportReceived records what an engine itself reported.
func (r *Roster) ReportReceived(id string, born time.Time, orders int64, holds savoryworld.LayerRange, busy bool) {
	if e := r.servers[id]; e != nil && e.Born.Equal(born) {
		e.Holds, e.Busy, e.Orders, e.ReportedBeat = holds, busy, orders, e.Beat
	}
}

// reportHeartbeats is the number of heartbeats after a report of which the last was
// written after it.
const reportHeartbeats = 2

// reportSupersedes reports whether what the engine itself reported, known in s,
// still holds against a listed state of the same incarnation, which may be older.
func (s Server) reportSupersedes(listed Server) bool {
	switch {
	case listed.Orders < s.Orders:
		return listed.Beat < s.ReportedBeat+reportHeartbeats
	case listed.Orders == s.Orders && s.Orders > 0:
		return listed.Busy && !s.Busy
	}
	return false
}

// MarkLeaving records that a server was found leaving or replaced by its own answer.
func (r *Roster) MarkLeaving(id string) {
	if e := r.servers[id]; e != nil {
		e.Leaving = true
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

// HeartbeatAt returns when the server's last heartbeat was first seen.
func (r *Roster) HeartbeatAt(id string) time.Time {
	if e := r.servers[id]; e != nil {
		return e.heartbeatAt
	}
	return time.Time{}
}

// All returns all listed servers, by ID.
func (r *Roster) All() []Server {
	all := make([]Server, 0, len(r.servers))
	for _, e := range r.servers {
		all = append(all, e.Server)
	}
	slices.SortFunc(all, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// Available returns the servers of a service that may get new work, by ID.
func (r *Roster) Available(service string) []Server {
	return slices.DeleteFunc(r.All(), func(s Server) bool { return s.Service != service || s.Leaving })
}

// Listing returns the current view for a peer.
func (r *Roster) Listing() *Listing { return &Listing{Revision: r.revision, Servers: r.All()} }

// Confirm records that the store showed the same list again at readAt.
func (r *Roster) Confirm(revision int64, readAt time.Time) {
	r.revision = max(r.revision, revision)
	if readAt.After(r.lastReadAt) {
		r.lastReadAt = readAt
	}
}
