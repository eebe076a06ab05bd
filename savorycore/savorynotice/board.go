package savorynotice

// This file defines Board, which holds the notices of all servers as one entry knows them.

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// relaxDelay is the time from the last response with a limit until a response without
	// one ends it, or one with a higher limit raises it: the notices of a server may differ
	// between responses that are written at the same time.
	relaxDelay = time.Second
	// peerTolerance is how much newer a peer's word must be to relax a limit. Each exchange
	// between entries makes a word look newer by its delay.
	peerTolerance = 500 * time.Millisecond
	// endedTTL is how long the end of a limit is passed on to peers: until all entries
	// have learned of it through the leaders of zones.
	endedTTL = 10 * time.Second
	// minChange is the fraction by which a limit must differ from the last one that was
	// logged, since a server may state another one in each response.
	minChange = 0.1
	// leavingTTL is how long a server counts as leaving that says so no more and that the
	// list does not remove. Leaving servers serve for seconds.
	leavingTTL = 10 * time.Minute
)

// Board holds the notices of servers and the demand for services. Its exported fields are
// set before its first use. The zero value admits every request.
type Board struct {
	// Entry is the name of this entry among those that are passed to SetEntries.
	Entry string

	servers map[string]*server
	demands map[string]*demand
	// demandsKnown is set once the demands of peers are known.
	demandsKnown bool
	// entries are the names of the live entries, and entriesSet the number of times that
	// they were set.
	entries    []string
	entriesSet int
}

// server is what is known about one server.
type server struct {
	born time.Time
	// limit is in requests per second, 0 for none. limitAt is when the response that
	// stated it arrived at the entry that was told; limitedAt the same of the last response
	// with a limit.
	limit     float64
	limitAt   time.Time
	limitedAt time.Time
	// told is the limit in the last Change.
	told float64
	// inReports is set once a report has stated a limit: a later one without it ends it.
	inReports bool
	// since is when the limit began or ended.
	since       time.Time
	pausedUntil time.Time
	leaving     bool
	// heardAt is when the last notice arrived that was not empty.
	heardAt time.Time
	// level is the number of requests that this entry may send at updatedAt; below 0 if
	// requests wait that have a reservation.
	level     float64
	updatedAt time.Time
	// rank is the entry's position for this server, by the entries of rankedFor.
	rank      int
	rankedFor int
}

// Change is a change of what is known about a server, for the log.
type Change struct {
	Server string
	// Kind is "limit", "no limit", "pause" or "leaving".
	Kind string
	// Limit is in requests per second, Pause the time that the server asks for.
	Limit float64
	Pause time.Duration
}

func (b *Board) server(id string) *server {
	if b.servers == nil {
		b.servers = make(map[string]*server)
	}
	s := b.servers[id]
	if s == nil {
		s = new(server)
		b.servers[id] = s
	}
	return s
}

// Observe records the notice of a response that arrived at now, to a request that was sent
// at sentAt, from the incarnation of a server that started at born. It returns the changes.
func (b *Board) Observe(id string, born, sentAt, now time.Time, n Notice) []Change {
	s := b.servers[id]
	silent := n == (Notice{InReport: n.InReport})
	if s == nil && silent {
		return nil
	}
	s = b.server(id)
	if s.born.Before(born) {
		*s = server{born: born}
	}
	if !silent {
		s.heardAt = now
	}
	return append(s.observeRefusal(id, now, n), s.observeLimit(id, sentAt, now, n)...)
}

// observeRefusal records that the server is leaving or asks for a pause.
func (s *server) observeRefusal(id string, now time.Time, n Notice) []Change {
	var changes []Change
	if n.Leaving && !s.leaving {
		s.leaving = true
		changes = append(changes, Change{Server: id, Kind: "leaving"})
	}
	if until := now.Add(n.Pause); n.Pause > 0 && until.After(s.pausedUntil) {
		if !now.Before(s.pausedUntil) {
			changes = append(changes, Change{Server: id, Kind: "pause", Pause: n.Pause})
		}
		s.pausedUntil = until
	}
	return changes
}

// observeLimit records the limit in a response, or that it states none.
func (s *server) observeLimit(id string, sentAt, now time.Time, n Notice) []Change {
	s.inReports = s.inReports || n.InReport && n.Limit > 0
	if n.LimitUnknown || n.InReport && n.Limit == 0 && !s.inReports {
		return nil
	}
	if s.relaxes(n.Limit) && (!sentAt.After(s.limitedAt) || now.Sub(s.limitedAt) < relaxDelay) {
		// The response may have been written before the one that stated the limit.
		return nil
	}
	return s.setLimit(id, n.Limit, now, now)
}

// relaxes reports whether a limit allows more than the known one.
func (s *server) relaxes(limit float64) bool {
	return s.limit > 0 && (limit == 0 || limit > s.limit)
}

// setLimit sets the limit that a response stated at the given time.
func (s *server) setLimit(id string, limit float64, at, now time.Time) []Change {
	old := s.limit
	if limit > 0 {
		s.limitedAt = at
	}
	if limit == 0 && old == 0 {
		return nil
	}
	if old == 0 {
		s.since, s.level, s.updatedAt = now, 0, now
		if s.limitAt.IsZero() {
			s.level = 1
		}
	}
	if limit == 0 {
		s.since = now
	}
	s.limit, s.limitAt = limit, at
	switch {
	case limit == 0:
		s.told = 0
		return []Change{{Server: id, Kind: "no limit"}}
	case math.Abs(limit-s.told) <= minChange*s.told:
		return nil
	}
	s.told = limit
	return []Change{{Server: id, Kind: "limit", Limit: limit}}
}

// Merge records the limits that a peer knows, received at now. It returns the changes.
func (b *Board) Merge(states []State, now time.Time) []Change {
	var changes []Change
	for _, r := range states {
		at := now.Add(-r.Age)
		s := b.servers[r.Server]
		switch {
		case s == nil && (r.Limit == 0 || len(b.servers) >= maxStates), s != nil && r.Born.Before(s.born):
			continue
		case s == nil:
			s = b.server(r.Server)
			s.born = r.Born
		case s.born.Before(r.Born):
			*s = server{born: r.Born}
		}
		newer := at.After(s.limitAt)
		if s.relaxes(r.Limit) {
			newer = at.Sub(s.limitAt) > peerTolerance
		}
		if newer {
			s.inReports = r.InReports
			changes = append(changes, s.setLimit(r.Server, r.Limit, at, now)...)
		}
	}
	return changes
}

// Forget removes what is known about a server that has left the list or started again.
func (b *Board) Forget(id string) { delete(b.servers, id) }

// Expire removes the servers about which nothing is known any more.
func (b *Board) Expire(now time.Time) {
	for id, s := range b.servers {
		if s.limit > 0 || !now.After(s.pausedUntil) || now.Sub(s.limitAt) <= endedTTL {
			continue
		}
		if !s.leaving || now.Sub(s.heardAt) > leavingTTL {
			delete(b.servers, id)
		}
	}
}

// States returns the limits to pass on to peers, sorted by server: those in force and those
// that have ended lately, at most maxSharedStates that began or ended last.
func (b *Board) States(now time.Time) []State {
	var states []State
	for id, s := range b.servers {
		if s.limit > 0 || !s.limitAt.IsZero() && now.Sub(s.limitAt) < endedTTL {
			states = append(states, State{Server: id, Born: s.born, Limit: s.limit, InReports: s.inReports, Age: max(0, now.Sub(s.limitAt))})
		}
	}
	if len(states) > maxSharedStates {
		// The others may be new to peers.
		slices.SortFunc(states, func(x, y State) int {
			return cmp.Or(b.servers[y.Server].since.Compare(b.servers[x.Server].since), cmp.Compare(x.Server, y.Server))
		})
		states = states[:maxSharedStates]
	}
	slices.SortFunc(states, func(x, y State) int { return cmp.Compare(x.Server, y.Server) })
	return states
}

// Fingerprint returns a hash of states without their ages, 0 if there are none. Limits that
// differ by little count as equal: a server may state another one in each response.
func Fingerprint(states []State) uint64 {
	if len(states) == 0 {
		return 0
	}
	d := xxhash.New()
	for _, s := range states {
		_, _ = fmt.Fprintf(d, "%s|%d|%.1e|%t;", s.Server, s.Born.UnixMilli(), s.Limit, s.InReports)
	}
	return d.Sum64()
}

// Status is what is known about one server, for operators.
type Status struct {
	Server string
	// Limit is in requests per second, 0 for none; Since is when it began and Share the
	// rate that this entry may use of it.
	Limit float64   `json:",omitempty"`
	Since time.Time `json:",omitzero"`
	Share float64   `json:",omitempty"`
	// PausedFor is the rest of a pause, Waiting the number of requests with a reservation.
	PausedFor time.Duration `json:",omitempty"`
	Waiting   int           `json:",omitempty"`
	Leaving   bool          `json:",omitempty"`
}

// Statuses returns the servers that are limited, paused or leaving, sorted by ID. serviceOf
// returns the service of a server.
func (b *Board) Statuses(serviceOf func(server string) string, now time.Time) []Status {
	var all []Status
	for id, s := range b.servers {
		paused := max(0, s.pausedUntil.Sub(now))
		if s.limit == 0 && paused == 0 && !s.leaving {
			continue
		}
		st := Status{Server: id, Limit: s.limit, PausedFor: paused, Leaving: s.leaving}
		if s.limit > 0 {
			st.Since = s.since
			st.Share, _ = b.rate(serviceOf(id), id, s, now)
			st.Waiting = int(max(0, -s.level))
		}
		all = append(all, st)
	}
	slices.SortFunc(all, func(x, y Status) int { return cmp.Compare(x.Server, y.Server) })
	return all
}
