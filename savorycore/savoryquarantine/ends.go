package savoryquarantine

// This file sums up the ends of servers by the parts of the requests that they took along.

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// end is the end of one server.
type end struct {
	server Server
	at     time.Time
	parts  map[Part]implicated
}

// implicated is the part that a Part has in an end.
type implicated struct {
	// begun is set if the server had begun an answer on the part.
	begun bool
	// depth is the position of the part in the prompts.
	depth  int
	owners []uint64
	// knownAt is when this entry learned of it, or of one more owner.
	knownAt time.Time
}

// suspect sums up the ends under a part.
type suspect struct {
	ends  int
	begun int
	depth int
	// enoughAt is when the ends became enough, zero before.
	enoughAt time.Time
}

// addEnd adds an end, or merges it with the known one of the same server. It reports
// whether that changed anything.
func (t *Tracker) addEnd(e *end) bool {
	known := t.ends[e.server.key()]
	if known == nil {
		if t.ends == nil {
			t.ends = make(map[serverKey]*end)
		}
		known = &end{server: e.server, at: e.at, parts: make(map[Part]implicated)}
		t.ends[e.server.key()] = known
	}
	changed := false
	for part, i := range e.parts {
		k, ok := known.parts[part]
		merged := implicated{begun: k.begun || i.begun, depth: max(k.depth, i.depth), owners: addOwners(k.owners, i.owners), knownAt: i.knownAt}
		if !ok || merged.begun != k.begun || merged.depth != k.depth || len(merged.owners) != len(k.owners) {
			known.parts[part] = merged
			changed = true
		}
	}
	known.trim()
	return changed
}

func addOwners(known, added []uint64) []uint64 {
	all := slices.Clone(known)
	for _, o := range added {
		if len(all) < maxOwners && !slices.Contains(all, o) {
			all = append(all, o)
		}
	}
	return all
}

// trim removes parts above maxParts. All entries keep the same ones: those on which an
// answer had begun come first, the others in an order that differs from end to end.
func (e *end) trim() {
	if len(e.parts) <= maxParts {
		return
	}
	parts := slices.SortedFunc(maps.Keys(e.parts), func(a, b Part) int {
		if e.parts[a].begun != e.parts[b].begun {
			if e.parts[a].begun {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(e.rank(a), e.rank(b)), compareParts(a, b))
	})
	for _, part := range parts[maxParts:] {
		delete(e.parts, part)
	}
}

// rank returns the position of a part in the order of this end.
func (e *end) rank(part Part) uint64 { return xxhash.Sum64String(e.server.ID + " " + part.String()) }

// summarize sums up the ends by part.
func (t *Tracker) summarize() {
	byPart := make(map[Part][]*end)
	for _, e := range t.ends {
		for part := range e.parts {
			byPart[part] = append(byPart[part], e)
		}
	}
	t.suspects = make(map[Part]*suspect, len(byPart))
	for part, ends := range byPart {
		t.suspects[part] = sum(part, ends, t.blamedElsewhere(part))
	}
	maps.DeleteFunc(t.tries, func(part Part, _ try) bool { return t.suspects[part] == nil })
}

// blamedElsewhere reports whether the same part is quarantined for another service or model.
func (t *Tracker) blamedElsewhere(part Part) bool {
	for blamed := range t.blames {
		if blamed.ID == part.ID && blamed != part {
			return true
		}
	}
	return false
}

// sum sums up the ends under a part, in the order in which this entry learned of them. If
// oneIsEnough is set, a single end is.
func sum(part Part, ends []*end, oneIsEnough bool) *suspect {
	slices.SortFunc(ends, func(a, b *end) int {
		return cmp.Or(a.parts[part].knownAt.Compare(b.parts[part].knownAt), cmp.Compare(a.server.ID, b.server.ID))
	})
	s := &suspect{ends: len(ends)}
	for i, e := range ends {
		if e.parts[part].begun {
			s.begun++
		}
		s.depth = max(s.depth, e.parts[part].depth)
		if s.enoughAt.IsZero() && (oneIsEnough || i+1 >= minEnds && enough(part, ends[:i+1])) {
			s.enoughAt = e.parts[part].knownAt
		}
	}
	return s
}

// enough reports whether the ends under a part quarantine it.
func enough(part Part, ends []*end) bool {
	addresses := make(map[netip.AddrPort]bool)
	owners := make(map[uint64]int)
	times := make([]time.Time, 0, len(ends))
	for _, e := range ends {
		addresses[e.server.Address] = true
		times = append(times, e.at)
		for _, o := range e.parts[part].owners {
			owners[o]++
		}
	}
	counted, rounds := len(ends), countRounds(times)
	for _, n := range owners {
		counted = min(counted, len(ends)-max(0, n-maxEndsPerRequest))
		// A request is at one server at a time, so the ends under it came one after the other.
		rounds = max(rounds, n)
	}
	return len(addresses) >= minAddresses && len(owners) >= minRequests &&
		(counted >= minEnds && rounds >= minRounds || counted >= manyEnds && rounds >= minRoundsOfMany)
}

// countRounds returns the number of times that are at least roundGap after the one before.
func countRounds(times []time.Time) int {
	slices.SortFunc(times, time.Time.Compare)
	n := 0
	var last time.Time
	for _, at := range times {
		if n == 0 || at.Sub(last) >= roundGap {
			n, last = n+1, at
		}
	}
	return n
}

// strongest returns the part that explains most ends among those with enough ends. Of
// parts that explain the same ends it returns the one that fewest requests share: the
// later one in the prompts.
func (t *Tracker) strongest() (Part, *suspect) {
	var best Part
	var s *suspect
	for _, part := range slices.SortedFunc(maps.Keys(t.suspects), compareParts) {
		c := t.suspects[part]
		if c.enoughAt.IsZero() {
			continue
		}
		if s == nil || cmp.Or(cmp.Compare(c.ends, s.ends), cmp.Compare(c.begun, s.begun), cmp.Compare(c.depth, s.depth)) > 0 {
			best, s = part, c
		}
	}
	return best, s
}
