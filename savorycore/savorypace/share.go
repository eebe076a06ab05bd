package savorypace

// This file divides the start of a server among the entries, and holds what they report.

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Report is what entries report about a server that is or was unproven.
type Report struct {
	Server string
	// Requests is the number of requests in flight, at least 1 for each entry that has lately
	// sent one. Unproven is the number of entries for which the server is unproven.
	Requests int
	Unproven int
	// Allowance is the sum of the allowances that answers have raised.
	Allowance int
}

// SetEntries sets the names of the other live entries.
func (t *Table) SetEntries(names []string) {
	hashes := make([]uint64, 0, len(names))
	for _, n := range names {
		if n != t.Entry {
			hashes = append(hashes, xxhash.Sum64String(n))
		}
	}
	slices.Sort(hashes)
	if !slices.Equal(hashes, t.entries) {
		t.entries = hashes
		t.entriesSet++
	}
}

// takesPart reports whether this entry sends to a server that it has no own answers of. The
// first entries begin; as many more join as the allowances that the others have raised. If
// the first ones have no requests for the server, the next ones take their place.
func (t *Table) takesPart(s *server, now time.Time) bool {
	begin := max(1, int(startFraction*float64(s.Slots)))
	if len(t.entries) < begin {
		return true
	}
	if s.rankedFor != t.entriesSet && t.ranksLeft > 0 {
		t.updateRank(s)
	}
	rank := float64(s.rank) * min(s.service.activeFraction(len(t.entries)+1), t.unprovenFraction(s, now))
	peers := t.peerReport(s, now)
	if rank < float64(begin+peers.Allowance) {
		return true
	}
	return peers.Requests == 0 && s.skipped >= rank/float64(begin)
}

// SetDemandShares sets the fraction of all requests for a service that the callers of this entry
// make, for each service with servers that are or were unproven. It is 0 if it is unknown.
func (t *Table) SetDemandShares(share func(service string) float64) {
	for name, svc := range t.services {
		if len(svc.active) > 0 {
			svc.demandShare = share(name)
		}
	}
}

// activeFraction estimates the fraction of n entries that have requests for the service, if
// those have as many as this one. An entry with many requests begins, and joins, earlier.
func (svc *service) activeFraction(n int) float64 {
	if svc.demandShare <= 0 {
		return 1
	}
	return min(1, 1/(svc.demandShare*float64(n)))
}

// unprovenFraction returns the fraction of the entries for which a server is unproven: a failure
// may have been that of one entry's connection. It is 1 until the others' reports can have
// arrived, and while there are too many servers to report all.
func (t *Table) unprovenFraction(s *server, now time.Time) float64 {
	if s.since.IsZero() {
		s.since = now
	}
	if t.cut || now.Sub(s.since) < t.ExchangeTime || now.Sub(t.peersAt) > t.ExchangeTime {
		return 1
	}
	return min(1, float64(t.peerReport(s, now).Unproven+1)/float64(len(t.entries)+1))
}

// Probe reports whether a server is unproven and had no request of this entry since: entries
// with few requests would else take long to choose it. Later requests are not drawn to it, since
// a server in trouble may refuse each at once.
func (t *Table) Probe(id string, now time.Time) bool {
	s := t.servers[id]
	return s != nil && !s.proven && s.service.bounded() && !s.probed && s.inFlight == 0 && t.allowed(s, now) > 0
}

// maxRanks is the number of ranks that are updated in one exchange after the live entries have
// changed. One more is updated in each choice; the others stay as they are until then.
const maxRanks = 16

func (t *Table) updateRank(s *server) {
	s.rank, s.rankedFor = t.rankFor(s.ID), t.entriesSet
	t.ranksLeft--
}

// rankFor returns the position of this entry among those that begin with a server, from 0. All
// entries that know the same entries agree on it.
func (t *Table) rankFor(id string) int {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], xxhash.Sum64String(id))
	weight := func(entry uint64) uint64 {
		binary.LittleEndian.PutUint64(buf[8:], entry)
		return xxhash.Sum64(buf[:])
	}
	own, before := weight(xxhash.Sum64String(t.Entry)), 0
	for _, e := range t.entries {
		if weight(e) > own {
			before++
		}
	}
	return before
}

// peerReport returns what the peers report about a server, nothing if they no longer do.
func (t *Table) peerReport(s *server, now time.Time) Report {
	if s.peersSet != t.peersSet || now.Sub(t.peersAt) > t.ExchangeTime {
		return Report{}
	}
	return s.peers
}

// SetPeerReports replaces the reports of all other entries. There may be several about one server.
// A server whose raised allowances add up to the entries that use it is proven for this entry too.
func (t *Table) SetPeerReports(reports []Report, now time.Time) {
	t.peersAt = now
	t.peersSet++
	for _, r := range reports {
		s := t.servers[r.Server]
		if s == nil {
			continue
		}
		if s.peersSet != t.peersSet {
			s.peers, s.peersSet = Report{}, t.peersSet
		}
		s.peers.Requests += r.Requests
		s.peers.Unproven += r.Unproven
		s.peers.Allowance += r.Allowance
	}
	n := len(t.entries) + 1
	t.ranksLeft = maxRanks
	for _, svc := range t.services {
		for _, s := range svc.active {
			if s.rankedFor != t.entriesSet && t.ranksLeft > 0 {
				t.updateRank(s)
			}
			switch r := t.peerReport(s, now); {
			case !s.proven && float64(r.Allowance) >= float64(n)*svc.activeFraction(n):
				t.prove(s, "peers", now)
			case s.proven && r.Unproven > 0:
				s.reportUntil = now.Add(2 * t.ExchangeTime)
			}
		}
	}
}

// Reports returns this entry's reports, at most limit: first those with requests or a raised
// allowance, of which the others learn.
func (t *Table) Reports(limit int, now time.Time) []Report {
	var reports, rest []Report
	t.cut = false
	for _, svc := range t.services {
		svc.active = slices.DeleteFunc(svc.active, func(s *server) bool { return s.proven && now.After(s.reportUntil) })
		for _, s := range svc.active {
			switch r := t.report(s, now); {
			case len(reports) == limit:
				t.cut = true
				return reports
			case r.Requests > 0 || r.Allowance > 0:
				reports = append(reports, r)
			case len(rest) < limit:
				rest = append(rest, r)
			default:
				t.cut = true
			}
		}
	}
	t.cut = t.cut || len(reports)+len(rest) > limit
	return append(reports, rest[:min(len(rest), limit-len(reports))]...)
}

func (t *Table) report(s *server, now time.Time) Report {
	r := Report{Server: s.ID, Requests: s.inFlight}
	if now.Sub(s.sentAt) < t.ExchangeTime {
		r.Requests = max(1, r.Requests)
	}
	if !s.proven {
		r.Unproven = 1
	}
	if s.raised {
		r.Allowance = int(s.allowance)
	}
	return r
}
