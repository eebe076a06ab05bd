// Package savorypace bounds the requests that one entry has in flight at servers that are not
// proven: those that have just started, restarted, hold new layers or have failed.
//
// An unproven server has an allowance of this entry's requests in flight. It begins with one
// request at a few of the entries, which rendezvous hashing selects. An answer in the time that
// the service's answers usually take doubles it; slower answers, rejections and failures lower
// it. A server whose allowance exceeds its fair share of this entry's requests is proven.
// Entries report the allowances that answers have raised, and as many further entries join.
// The usual times are estimated from the answers of proven servers.
//
// The package does no I/O and reads no clock. Its types are not safe for concurrent use.
package savorypace

import (
	"maps"
	"slices"
	"time"

	"savorycart.example/savorycore/savoryworld"
)

const (
	// startFraction is the fraction of a server's slots up to which entries begin with it, each
	// with one request. The rest is left for entries whose views of the fleet differ.
	startFraction = 0.5
	// minProvenFraction is the fraction of a service's slots at proven servers below which no
	// server is bounded: steering at most doubles the load of the proven ones.
	minProvenFraction = 0.5
	// maxScan bounds the unproven servers of a service that one choice looks at. The next
	// choice looks at the next ones.
	maxScan = 64
	// maxChanges bounds the changes that are kept for the log.
	maxChanges = 8
)

// Server is a server as it is listed.
type Server struct {
	ID      string
	Service string
	// Slots is the number of requests that it runs concurrently; values below 1 count as 1. An
	// allowance never exceeds it.
	Slots int
	// Born is the start time of the incarnation, Holds the layers that an engine holds.
	Born  time.Time
	Holds savoryworld.LayerRange
}

// Change is a change in the state of a server, for the log.
type Change struct {
	Server  string
	Service string
	// Kind is "unproven", "proven", or "lowered" for an allowance that fell back to its start.
	Kind string
	// Cause of "unproven" is "listed", "restarted", "layers" or "failed"; of "lowered" "slow",
	// "rejected" or "failed"; of "proven" "answers" or "peers".
	Cause string
}

// Table holds the pace of the servers of all services, as one entry observes it. Its exported
// fields are set before its first use.
type Table struct {
	// Entry is the name of this entry.
	Entry string
	// ExchangeTime is how long a report takes to reach all entries at most.
	ExchangeTime time.Duration

	servers  map[string]*server
	services map[string]*service
	// entries are the hashes of the names of the other live entries. entriesSet counts their
	// changes.
	entries    []uint64
	entriesSet int
	// cut is set if the last reports did not include all servers.
	cut bool
	// ranksLeft is the number of ranks that may still be updated in this choice or exchange.
	ranksLeft int
	// listsSet counts the lists.
	listsSet int
	// peersAt is when the reports of the peers were set last, peersSet counts them.
	peersAt  time.Time
	peersSet int
	changes  []Change
	// dropped is the number of changes beyond maxChanges.
	dropped int
}

type server struct {
	Server
	service  *service
	listedIn int
	proven   bool
	// allowance is at least 1 and counts only if raised is set or this entry takes part.
	allowance float64
	// raised is set once an answer has raised the allowance.
	raised bool
	// slowness is the smoothed ratio of its times to the usual ones; 0 before the first answer.
	slowness float64
	inFlight int
	sentAt   time.Time
	// probed is set once a request was sent since the server is unproven.
	probed bool
	// skipped is the expected number of this entry's requests that would have run here.
	skipped float64
	// since is the time from which on the server is unproven, or of the first choice after it.
	since time.Time
	// rank is the position of this entry among those that begin with the server, for the
	// entries of rankedFor.
	rank, rankedFor int
	// reportUntil is until when the allowance of a proven server is reported.
	reportUntil time.Time
	// peers is the sum of the peers' reports, if peersSet is that of the table.
	peers    Report
	peersSet int
}

// service holds the totals of a service and its usual times.
type service struct {
	// slots and provenSlots are sums over its servers, inFlight is this entry's requests.
	slots, provenSlots int
	inFlight           int
	// demandShare is the fraction of its requests that this entry's callers make, 0 if unknown.
	demandShare float64
	// known is set if a list had servers of it before the current one.
	known bool
	// active are its servers that are unproven or are reported.
	active []*server
	// scanAt is the index in active at which the next scan begins.
	scanAt int
	// times are the usual times by the kind of request.
	times map[string]*answerTimes
}

func (t *Table) init() {
	if t.servers == nil {
		t.servers = make(map[string]*server)
		t.services = make(map[string]*service)
	}
}

// SetServers replaces the listed servers, without those that are leaving. A server that is new
// or has another incarnation or other layers is unproven, except in the first list of a
// service: then nothing is known of the others either.
func (t *Table) SetServers(listed []Server) {
	t.init()
	for _, svc := range t.services {
		svc.known = svc.known || svc.slots > 0
		svc.slots, svc.provenSlots, svc.inFlight, svc.active = 0, 0, 0, nil
	}
	t.listsSet++
	for _, l := range listed {
		t.set(l)
	}
	maps.DeleteFunc(t.servers, func(_ string, s *server) bool { return s.listedIn != t.listsSet })
}

// SetLayers records the layers that an engine reports to hold.
func (t *Table) SetLayers(id string, holds savoryworld.LayerRange) {
	if s := t.servers[id]; s != nil && s.Holds != holds {
		s.Holds = holds
		if !holds.Empty() {
			t.restart(s, "layers")
		}
	}
}

// set adds a listed server to the table and to the totals of its service, which lack it.
func (t *Table) set(l Server) {
	l.Slots = max(1, l.Slots)
	svc := t.services[l.Service]
	if svc == nil {
		svc = &service{times: make(map[string]*answerTimes)}
		t.services[l.Service] = svc
	}
	s := t.servers[l.ID]
	cause := ""
	switch {
	case s == nil || s.service != svc:
		s = &server{allowance: 1, proven: true}
		if svc.known {
			cause = "listed"
		}
	case !l.Born.Equal(s.Born):
		cause = "restarted"
	case l.Holds != s.Holds && !l.Holds.Empty():
		cause = "layers"
	}
	s.Server, s.service, s.listedIn = l, svc, t.listsSet
	t.servers[l.ID] = s
	svc.slots += s.Slots
	svc.inFlight += s.inFlight
	if s.proven {
		svc.provenSlots += s.Slots
	}
	if !s.proven || !s.reportUntil.IsZero() {
		svc.active = append(svc.active, s)
	}
	if cause != "" {
		t.restart(s, cause)
	}
}

// restart makes a server unproven, with the allowance of the start.
func (t *Table) restart(s *server, cause string) {
	if s.proven {
		s.service.provenSlots -= s.Slots
		t.change(s, "unproven", cause)
	} else if s.raised {
		t.change(s, "lowered", cause)
	}
	t.updateRank(s)
	s.proven, s.raised, s.probed, s.allowance, s.slowness, s.skipped = false, false, false, 1, 0, 0
	s.since, s.reportUntil = time.Time{}, time.Time{}
	if !slices.Contains(s.service.active, s) {
		s.service.active = append(s.service.active, s)
	}
}

// prove ends the bound of a server. Its allowance is reported until all peers could have heard.
func (t *Table) prove(s *server, cause string, now time.Time) {
	s.proven = true
	s.service.provenSlots += s.Slots
	s.reportUntil = now.Add(2 * t.ExchangeTime)
	t.change(s, "proven", cause)
}

func (t *Table) change(s *server, kind, cause string) {
	if len(t.changes) == maxChanges {
		t.dropped++
		return
	}
	t.changes = append(t.changes, Change{Server: s.ID, Service: s.Service, Kind: kind, Cause: cause})
}

// TakeChanges returns the changes since the last call, at most maxChanges, and the number of those that
// were dropped.
func (t *Table) TakeChanges() ([]Change, int) {
	changes, dropped := t.changes, t.dropped
	t.changes, t.dropped = nil, 0
	return changes, dropped
}

// Active reports whether a server of the service is bounded.
func (t *Table) Active(service string) bool {
	svc := t.services[service]
	return svc != nil && svc.bounded()
}

// bounded reports whether the proven servers can replace the others.
func (svc *service) bounded() bool {
	return svc.provenSlots < svc.slots && float64(svc.provenSlots) >= minProvenFraction*float64(svc.slots)
}

// Beyond reports whether another request of this entry would exceed the allowance of a server
// that others can replace.
func (t *Table) Beyond(id string, now time.Time) bool {
	s := t.servers[id]
	return s != nil && !s.proven && s.service.bounded() && s.inFlight >= t.allowed(s, now)
}

// Allowance returns the number of this entry's requests that may be in flight at a server. It is
// at least 1 for a server that others cannot replace, and at most its slots. It reports false
// for a server that is not bounded or not listed.
func (t *Table) Allowance(id string, replaceable bool, now time.Time) (int, bool) {
	s := t.servers[id]
	if s == nil || s.proven {
		return 0, false
	}
	n := t.allowed(s, now)
	if !replaceable {
		n = max(1, n)
	}
	return n, true
}

func (t *Table) allowed(s *server, now time.Time) int {
	if s.raised || t.takesPart(s, now) {
		return int(s.allowance)
	}
	return 0
}

// Started records that a request is being sent to a server, until Ended.
func (t *Table) Started(id string, now time.Time) {
	if s := t.servers[id]; s != nil {
		s.inFlight++
		s.service.inFlight++
		s.sentAt, s.probed = now, true
		t.ranksLeft = 1
	}
}

// Ended records the end of a request that Started counted.
func (t *Table) Ended(id string) {
	if s := t.servers[id]; s != nil && s.inFlight > 0 {
		s.inFlight--
		s.service.inFlight--
	}
}

// Chosen records that this entry has chosen a server for a request of a service. Servers beyond
// their allowance have been passed over for their share of it.
func (t *Table) Chosen(service string, now time.Time) {
	svc := t.services[service]
	if svc == nil || !svc.bounded() {
		return
	}
	n := min(maxScan, len(svc.active))
	for i := range n {
		s := svc.active[(svc.scanAt+i)%len(svc.active)]
		if !s.proven && s.inFlight >= t.allowed(s, now) {
			s.skipped += float64(s.Slots) / float64(svc.slots) * float64(len(svc.active)) / float64(n)
		}
	}
	svc.scanAt += n
}

// Passed reports whether one of the first unproven servers of a service is beyond its allowance and not used.
func (t *Table) Passed(service string, now time.Time, used func(id string) bool) bool {
	svc := t.services[service]
	return svc != nil && svc.bounded() && slices.ContainsFunc(svc.active[:min(maxScan, len(svc.active))], func(s *server) bool {
		return !s.proven && s.inFlight >= t.allowed(s, now) && !used(s.ID)
	})
}

// Counts returns the number of servers by state: proven, raised, and start for the unproven
// ones that are raised and not raised.
func (t *Table) Counts() (proven, raised, start int) {
	for _, s := range t.servers {
		switch {
		case s.proven:
			proven++
		case s.raised:
			raised++
		default:
			start++
		}
	}
	return proven, raised, start
}
