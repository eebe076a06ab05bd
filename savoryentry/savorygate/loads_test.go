package savorygate

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"savorycart.example/savorycore/savorypath"
	"savorycart.example/savorycore/savorypeer"
)

// relayFleet is a set of relays that exchange news in virtual time, without a
// network. Each has one request in flight at one engine.
type relayFleet struct {
	now   time.Time
	all   map[netip.AddrPort]*relay
	order []netip.AddrPort
	seeds []savorypeer.Entry
	gone  map[netip.AddrPort]bool
	// most is the most peers that one relay called in a round since it was set.
	most int
	// draining are entries that stop as planned.
	draining map[netip.AddrPort]bool
}

func newRelayFleet(zones, each int) *relayFleet {
	f := &relayFleet{now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), all: make(map[netip.AddrPort]*relay), gone: make(map[netip.AddrPort]bool), draining: make(map[netip.AddrPort]bool)}
	for z := range zones {
		for i := range each {
			address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(z), 0, byte(i + 1)}), 80)
			e := savorypeer.Entry{Address: address, Zone: fmt.Sprint("z", z), Strength: float64(each-i) / 10}
			f.seeds = append(f.seeds, e)
			f.order = append(f.order, address)
		}
	}
	for _, e := range f.seeds {
		f.start(e)
	}
	return f
}

// start starts an entry that knows nobody but the seeds.
func (f *relayFleet) start(e savorypeer.Entry) {
	r := &relay{
		self: e, peers: make(map[netip.AddrPort]*relayPeer), storeWorks: func() bool { return true },
		draining: func() bool { return f.draining[e.Address] },
	}
	f.all[e.Address] = r
	f.gone[e.Address], f.draining[e.Address] = false, false
	r.addEntries(f.seeds, f.now)
}

var oneLoad = []savorypath.Load{{Server: "e", Requests: 1, Memory: 1}}

func (r *relay) tell(to savorypeer.Entry, now time.Time) *savorypeer.SyncState {
	loads, relayed := r.loadsFor(to, oneLoad, now)
	return &savorypeer.SyncState{From: r.self, Draining: r.draining(), StoreWorks: true, Entries: r.entriesToReport(now), Loads: loads, Relayed: relayed}
}

// round lets every live relay exchange news with whom it chooses.
func (f *relayFleet) round() {
	for _, address := range f.order {
		r := f.all[address]
		if f.gone[address] {
			continue
		}
		targets := r.targets(f.now, false)
		f.most = max(f.most, len(targets))
		for _, target := range targets {
			if f.gone[target] {
				continue
			}
			other := f.all[target]
			other.recordState(r.tell(other.self, f.now), f.now)
			other.loads(f.now) // as news are taken
			r.recordState(other.tell(r.self, f.now), f.now)
			r.loads(f.now)
		}
	}
	f.now = f.now.Add(syncInterval)
}

// others returns the least and the most that a live relay counts for the others.
func (f *relayFleet) others() (least, most int) {
	least = 1 << 20
	for address, r := range f.all {
		if f.gone[address] {
			continue
		}
		n := 0
		for _, loads := range r.loads(f.now) {
			for _, l := range loads {
				n += l.Requests
			}
		}
		least, most = min(least, n), max(most, n)
	}
	return least, most
}

func (f *relayFleet) heads() int {
	n := 0
	for address, r := range f.all {
		if !f.gone[address] && r.isLeader(f.now) {
			n++
		}
	}
	return n
}

// Pattern: heads of zones are lost one after the other, as in a rolling release,
// and a whole fleet starts. No entry ever counts the others' requests twice, which
// would refuse callers while memory is free, and the next head alone takes over.
func TestLoadsAreCountedOnceWhileHeadsChange(t *testing.T) {
	is := is.New(t)
	const zones, each = 3, 20
	f := newRelayFleet(zones, each)
	for i := range 40 {
		f.round()
		_, most := f.others()
		is.True(most < zones*each) // at the start
		if i > 12 {
			least, _ := f.others()
			is.Equal(least, zones*each-1) // all are known
			is.Equal(f.heads(), zones)
		}
	}
	live := zones * each
	for lost := range 8 {
		f.gone[f.order[lost]] = true // the head of the first zone
		live--
		for i := range 24 {
			f.round()
			_, most := f.others()
			is.True(most <= live) // the lost one counts for a while
			is.True(f.heads() <= zones)
			if i > 16 {
				least, _ := f.others()
				is.Equal(least, live-1)
				is.Equal(f.heads(), zones)
			}
		}
	}
}

// Pattern: a rolling release. Each head drains for seconds with its requests in
// flight; all the while the others count nearly all that is in flight, so that
// engines are not overfilled.
func TestLoadsAreCountedWhileHeadsDrain(t *testing.T) {
	is := is.New(t)
	const zones, each = 3, 20
	f := newRelayFleet(zones, each)
	for range 20 {
		f.round()
	}
	const live = zones * each
	f.most = 0
	for next := range 8 {
		f.draining[f.order[next]] = true
		for range 20 {
			f.round()
			least, most := f.others()
			is.True(most <= live)
			is.True(least >= live/2) // a new head hears its zone within a round
		}
		least, _ := f.others()
		is.Equal(least, live-1) // what drains counts
		f.gone[f.order[next]] = true
		for range 10 {
			f.round()
		}
		f.start(f.seeds[next])
		for range 12 {
			f.round()
		}
		least, _ = f.others()
		is.Equal(least, live-1) // the new one counts, and is told
		is.True(f.most <= 1+zones*maxUnreachableCalls)
		is.Equal(f.heads(), zones)
	}
}
