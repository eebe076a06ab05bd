package savorynotice

// This file divides limits among the entries and reserves the requests of this one.

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// The users' rule LIMIT allows toleranceFactor times a limit over toleranceWindow, and
// toleranceRequests on top.
const (
	toleranceFactor   = 1.5
	toleranceRequests = 5
	toleranceWindow   = 4 * time.Second
)

const (
	// burstFraction is the fraction of the tolerance that the buckets of all entries
	// together may hold. The rest covers entries whose views of the fleet differ.
	burstFraction = 0.75
	// minSenderBurst is the number of requests that an entry may send at once at least, where
	// not all entries share a limit. With one, a pause between its callers' requests would
	// leave its share unused.
	minSenderBurst = 2
	// reserveFraction is the fraction of a limit that is divided evenly among the entries
	// at any demand, so that the first request at an entry finds a share.
	reserveFraction = 0.1
	// demandHalfLife is the half-life of the exponentially decaying average of the demand.
	// It is longer than an announcement takes through the leaders of zones.
	demandHalfLife = 2 * time.Second
	// minLimit is the rate, in requests per second, at which a server is asked at least:
	// only a response of its own can end a lower limit.
	minLimit = 0.1
	// minAnnouncedRate is the demand, in requests per second, below which a service is not
	// announced.
	minAnnouncedRate = 0.01
	// maxReturnDelay bounds the time after which a refused caller is told to come back.
	maxReturnDelay = 10 * time.Second
	// returnSpacing is the least time between two callers that are told to come back.
	returnSpacing = 20 * time.Millisecond
)

// demand is the demand for one service.
type demand struct {
	// own is the average rate at this entry at ownAt, others the rate that the peers
	// announced, both in requests per second.
	own    float64
	ownAt  time.Time
	others float64
	// returnAt is when the last refused caller was told to come back.
	returnAt time.Time
}

// rateAt returns the average rate of this entry's callers at now.
func (d *demand) rateAt(now time.Time) float64 {
	return d.own * math.Exp2(-max(0, now.Sub(d.ownAt).Seconds())/demandHalfLife.Seconds())
}

func (b *Board) demand(service string) *demand {
	if b.demands == nil {
		b.demands = make(map[string]*demand)
	}
	d := b.demands[service]
	if d == nil {
		d = new(demand)
		b.demands[service] = d
	}
	return d
}

// RecordRequest records a caller's request for a service.
func (b *Board) RecordRequest(service string, now time.Time) {
	d := b.demand(service)
	d.own = d.rateAt(now) + math.Ln2/demandHalfLife.Seconds()
	d.ownAt = now
}

// Demands returns the demands at this entry, to be announced to peers.
func (b *Board) Demands(now time.Time) []Demand {
	var own []Demand
	for service, d := range b.demands {
		switch r := d.rateAt(now); {
		case r >= minAnnouncedRate:
			own = append(own, Demand{Service: service, Rate: r})
		case d.others == 0 && now.Sub(d.returnAt) > maxReturnDelay:
			delete(b.demands, service)
		}
	}
	slices.SortFunc(own, func(x, y Demand) int { return cmp.Compare(x.Service, y.Service) })
	return own
}

// SetPeerDemands replaces the demands that all other entries announced, by service. Before
// its first call limits are divided evenly.
func (b *Board) SetPeerDemands(rates map[string]float64) {
	b.demandsKnown = true
	for _, d := range b.demands {
		d.others = 0
	}
	for service, r := range rates {
		b.demand(service).others = r
	}
}

// DemandShare returns the fraction of all requests for a service that this entry's callers make,
// or 0 if it is unknown.
func (b *Board) DemandShare(service string, now time.Time) float64 {
	d := b.demands[service]
	if d == nil || !b.demandsKnown {
		return 0
	}
	own := d.rateAt(now)
	if own == 0 {
		return 0
	}
	return own / (own + d.others)
}

// SetEntries sets the names of the live entries. This entry always counts.
func (b *Board) SetEntries(names []string) {
	b.entries = append([]string{b.Entry}, names...)
	slices.Sort(b.entries)
	b.entries = slices.Compact(b.entries)
	b.entriesSet++
}

// rate returns the rate that this entry may send to a limited server, in requests per
// second, and the most requests that it may send at once. Both are 0 if other entries share
// the limit.
func (b *Board) rate(service, id string, s *server, now time.Time) (rate, burst float64) {
	limit := max(s.limit, minLimit)
	tolerance := (toleranceFactor-1)*limit*toleranceWindow.Seconds() + toleranceRequests
	bursts := burstFraction * tolerance
	n := max(1, len(b.entries))
	if float64(n) > bursts {
		n = max(1, int(bursts/minSenderBurst))
		if s.rankedFor != b.entriesSet || s.rankedFor == 0 {
			s.rank, s.rankedFor = b.rank(id), b.entriesSet
		}
		if s.rank >= n {
			return 0, 0
		}
		return limit / float64(n), bursts / float64(n)
	}
	share := 1 / float64(n)
	d := b.demands[service]
	if d == nil {
		d = new(demand)
	}
	if own := d.rateAt(now); b.demandsKnown && own+d.others > 0 {
		share = reserveFraction*share + (1-reserveFraction)*own/(own+d.others)
	}
	return limit * share, 1 + share*(bursts-float64(n))
}

// rank returns the position of this entry among those that share the limit of a server, from
// 0. All entries that know the same entries agree on it.
func (b *Board) rank(id string) int {
	score := func(entry string) uint64 { return xxhash.Sum64String(entry + "|" + id) }
	own, before := score(b.Entry), 0
	for _, e := range b.entries {
		if e != b.Entry && score(e) > own {
			before++
		}
	}
	return before
}

// Delay returns the time until a request of this entry may be sent to a server. It reports
// false if this entry sends nothing to the server: it is leaving, or others share its limit.
func (b *Board) Delay(service, id string, now time.Time) (time.Duration, bool) {
	s := b.servers[id]
	switch {
	case s == nil:
		return 0, true
	case s.leaving:
		return 0, false
	}
	wait := max(0, s.pausedUntil.Sub(now))
	if s.limit == 0 {
		return wait, true
	}
	rate, burst := b.rate(service, id, s, now)
	if rate == 0 {
		return 0, false
	}
	s.refill(rate, burst, now)
	if s.level < 1 {
		wait = max(wait, time.Duration((1-s.level)/rate*float64(time.Second)))
	}
	return wait, true
}

// refill adds the requests that have become free since the last call.
func (s *server) refill(rate, burst float64, now time.Time) {
	if d := now.Sub(s.updatedAt); d > 0 {
		s.level += rate * d.Seconds()
		s.updatedAt = now
	}
	s.level = min(s.level, burst)
}

// Reserve takes a request from this entry's share of a server's limit. It may be sent after
// the time that Delay returned. Each send needs a reservation of its own.
func (b *Board) Reserve(id string) {
	if s := b.servers[id]; s != nil && s.limit > 0 {
		s.level--
	}
}

// Cancel gives back a reservation of which nothing was sent.
func (b *Board) Cancel(id string) {
	if s := b.servers[id]; s != nil && s.limit > 0 {
		s.level++
	}
}

// Paused returns the rest of the pause that a server asked of this entry.
func (b *Board) Paused(id string, now time.Time) time.Duration {
	if s := b.servers[id]; s != nil {
		return max(0, s.pausedUntil.Sub(now))
	}
	return 0
}

// ReturnDelay returns the time after which a refused caller of a service may come back, at
// most maxReturnDelay, given the servers of the service that work. Callers that are refused
// one after the other get later times, at the rate at which this entry may send.
func (b *Board) ReturnDelay(service string, servers []string, now time.Time) time.Duration {
	first, total := maxReturnDelay, 0.0
	for _, id := range servers {
		wait, ok := b.Delay(service, id, now)
		s := b.servers[id]
		switch {
		case !ok && s.leaving:
			continue
		case !ok:
			// The caller comes back to any entry, also to one that shares the limit.
			total += s.limit / float64(max(1, len(b.entries)))
		case s != nil && s.limit > 0:
			rate, _ := b.rate(service, id, s, now)
			total += rate
		default:
			total = math.Inf(1)
		}
		first = min(first, wait)
	}
	spacing := returnSpacing
	if total > 0 {
		spacing = max(spacing, time.Duration(min(maxReturnDelay.Seconds(), 1/total)*float64(time.Second)))
	}
	d := b.demand(service)
	at := now.Add(first)
	if next := d.returnAt.Add(spacing); next.After(at) {
		at = next
	}
	if last := now.Add(maxReturnDelay); at.After(last) {
		at = last
	}
	d.returnAt = at
	return at.Sub(now)
}
