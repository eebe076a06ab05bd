package savorygate

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"savorycart.example/savorycore/savorynotice"
	"savorycart.example/savorycore/savorypath"
	"savorycart.example/savorycore/savorypeer"
)

// entryFleet is a set of entries that exchange state in virtual time, without a
// network. Each has one request in flight at one engine.
type entryFleet struct {
	now     time.Time
	entries map[netip.AddrPort]*relay
	order   []netip.AddrPort
	seeds   []savorypeer.Entry
	stopped map[netip.AddrPort]bool
	// maxTargets is the highest number of peers that one entry called in a round; a
	// test may reset it to 0.
	maxTargets int
	// draining is true for the draining entries.
	draining map[netip.AddrPort]bool
	// calls counts the calls to each entry.
	calls map[netip.AddrPort]int
}

func newEntryFleet(zones, perZone int) *entryFleet {
	f := &entryFleet{now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), entries: make(map[netip.AddrPort]*relay), stopped: make(map[netip.AddrPort]bool), draining: make(map[netip.AddrPort]bool), calls: make(map[netip.AddrPort]int)}
	for z := range zones {
		for i := range perZone {
			address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(z), 0, byte(i + 1)}), 80)
			e := savorypeer.Entry{Address: address, Zone: fmt.Sprint("z", z), Strength: float64(perZone-i) / 10}
			f.seeds = append(f.seeds, e)
			f.order = append(f.order, address)
		}
	}
	for _, e := range f.seeds {
		f.start(e)
	}
	return f
}

// start starts an entry that has only the seeds as peers.
func (f *entryFleet) start(e savorypeer.Entry) {
	r := &relay{
		self: e, peers: make(map[netip.AddrPort]*relayPeer), storeWorks: func() bool { return true },
		draining: func() bool { return f.draining[e.Address] },
	}
	f.entries[e.Address] = r
	f.stopped[e.Address], f.draining[e.Address] = false, false
	r.addEntries(f.seeds, f.now)
}

var oneDemand = []savorynotice.Demand{{Service: "s", Rate: 1}}

var oneLoad = []savorypath.Load{{Server: "e", Requests: 1, Memory: 1}}

func (r *relay) state(to savorypeer.Entry, now time.Time) *savorypeer.SyncState {
	loads, relayed := r.loadsFor(to, oneLoad, now)
	return &savorypeer.SyncState{From: r.self, Draining: r.draining(), StoreWorks: true, Entries: r.newEntriesFor(to.Address, now), Loads: loads, Relayed: relayed, Demands: r.demandsFor(to, oneDemand, now)}
}

// round makes each running entry exchange state with its targets.
func (f *entryFleet) round() {
	for _, address := range f.order {
		r := f.entries[address]
		if f.stopped[address] {
			continue
		}
		targets := r.targets(f.now, false)
		f.maxTargets = max(f.maxTargets, len(targets))
		for _, target := range targets {
			f.calls[target]++
			if f.stopped[target] {
				continue
			}
			other := f.entries[target]
			other.recordState(r.state(other.self, f.now), f.now)
			other.loads(f.now) // as after each received state
			r.recordState(other.state(r.self, f.now), f.now)
			r.loads(f.now)
		}
	}
	f.now = f.now.Add(syncInterval)
}

// countOthers returns the lowest and the highest number of requests that a running
// entry counts for the others.
func (f *entryFleet) countOthers() (minCount, maxCount int) {
	minCount = 1 << 20
	for address, r := range f.entries {
		if f.stopped[address] {
			continue
		}
		n := 0
		for _, loads := range r.loads(f.now) {
			for _, l := range loads {
				n += l.Requests
			}
		}
		minCount, maxCount = min(minCount, n), max(maxCount, n)
	}
	return minCount, maxCount
}

func (f *entryFleet) leaders() int {
	n := 0
	for address, r := range f.entries {
		if !f.stopped[address] && r.isLeader(f.now) {
			n++
		}
	}
	return n
}

// The whole fleet starts, then zone leaders fail one after the other, as in a rolling
// release. No entry may count the requests of the others twice, which would refuse
// callers while memory is free, and each zone gets a single new leader.
func TestLoadsAreCountedOnceWhileLeadersChange(t *testing.T) {
	is := is.New(t)
	const zones, each = 3, 20
	f := newEntryFleet(zones, each)
	for i := range 40 {
		f.round()
		_, maxCount := f.countOthers()
		is.True(maxCount < zones*each) // in every round, also at the start
		if i > 12 {
			minCount, _ := f.countOthers()
			is.Equal(minCount, zones*each-1) // all entries are counted
			is.Equal(f.leaders(), zones)
		}
	}
	live := zones * each
	for failed := range 8 {
		f.stopped[f.order[failed]] = true // the leader of the first zone
		live--
		for i := range 24 {
			f.round()
			_, maxCount := f.countOthers()
			is.True(maxCount <= live) // the failed entry counts for a while
			is.True(f.leaders() <= zones)
			if i > 16 {
				minCount, _ := f.countOthers()
				is.Equal(minCount, live-1)
				is.Equal(f.leaders(), zones)
			}
		}
	}
}

// Pattern: entries of a zone and leaders of other zones report one after the other. Guards
// against a leader that passes on loads of a while ago, by which others fill engines that are
// full, that reports to an entry its own requests, or that leaves out those of another.
func TestLeaderPassesOnLastLoadsOfOthers(t *testing.T) {
	const zones, each = 3, 4
	load := rapid.Custom(func(t *rapid.T) savorypath.Load {
		return savorypath.Load{Server: rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "server"), Requests: rapid.IntRange(1, 9).Draw(t, "requests"), Memory: float64(rapid.IntRange(1, 1e6).Draw(t, "memory"))}
	})
	loads := rapid.SliceOfN(load, 0, 5)
	f := newEntryFleet(zones, each)
	leader := f.seeds[0]
	var senders []savorypeer.Entry
	for _, e := range f.seeds[1:] {
		// Of the other zones only the leaders report, for all of their zones.
		if e.Zone == leader.Zone || e.Address.Addr().As4()[3] == 1 {
			senders = append(senders, e)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		is := is.NewRelaxed(t)
		f.start(leader)
		r := f.entries[leader.Address]
		reported := make(map[netip.AddrPort][]savorypath.Load)
		for range rapid.IntRange(1, 20).Draw(t, "reports") {
			f.now = f.now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond)
			from := rapid.SampledFrom(senders).Draw(t, "from")
			reported[from.Address] = loads.Draw(t, "loads")
			r.recordState(&savorypeer.SyncState{From: from, Loads: reported[from.Address], Relayed: from.Zone != leader.Zone}, f.now)
			own := loads.Draw(t, "own")
			to := rapid.SampledFrom(f.seeds[1:]).Draw(t, "to")
			want, all := make(loadSum), make(loadSum)
			want.add(own)
			for address, l := range reported {
				all.add(l)
				if address != to.Address && (to.Zone == leader.Zone || r.peers[address].entry.Zone == leader.Zone) {
					want.add(l)
				}
			}
			got, relayed := r.loadsFor(to, own, f.now)
			is.True(relayed)
			is.Equal(got, want.sorted())
			is.Equal(r.loads(f.now)["others"], all.sorted())
		}
	})
}

// Pattern: a fleet of a few entries in each zone, where bytes between zones are dear. Only
// zone leaders call each other across zones, each entry counts all others, and two
// entries in each zone still exchange their state directly.
func TestSmallFleetCallsAcrossZonesByLeaders(t *testing.T) {
	for _, test := range []struct{ zones, each, crossing int }{{3, 2, 4}, {3, 3, 2}, {3, 4, 2}, {2, 3, 1}} {
		t.Run(fmt.Sprintf("%d zones of %d", test.zones, test.each), func(t *testing.T) {
			is := is.New(t)
			f := newEntryFleet(test.zones, test.each)
			for range 20 {
				f.round()
			}
			for _, r := range f.entries {
				crossing := 0
				for _, target := range r.targets(f.now, false) {
					if r.peers[target].entry.Zone != r.self.Zone {
						crossing++
					}
				}
				is.True(crossing <= test.crossing)
				is.True(test.each <= 2 || crossing == 0 || r.isLeader(f.now))
			}
			minCount, maxCount := f.countOthers()
			is.Equal(minCount, test.zones*test.each-1)
			is.Equal(maxCount, test.zones*test.each-1)
		})
	}
}

// Pattern: entries that are lost for good: some of a zone, its leader, a whole zone, a third of
// the fleet. Guards against entries that count as live for ever because the members of a zone
// report to their leader what it has told them: retry budgets and limits are shared among the
// live entries, so callers would be refused.
func TestLostEntriesAreNotLive(t *testing.T) {
	const zones = 3
	// rounds is the number of exchanges in the window of the retry budgets, 10 s.
	const rounds = int(10 * time.Second / syncInterval)
	for _, perZone := range []int{2, 20} {
		for _, test := range []struct {
			name string
			lost func(zone, i int) bool
		}{
			{"two of a zone", func(zone, i int) bool { return zone == 1 && i >= perZone-2 && i > 0 }},
			{"a leader", func(zone, i int) bool { return zone == 1 && i == 0 }},
			{"a zone", func(zone, _ int) bool { return zone == 1 }},
			{"a third", func(_, i int) bool { return i%3 == 2 }},
		} {
			t.Run(fmt.Sprintf("%d in a zone, %s", perZone, test.name), func(t *testing.T) {
				is := is.New(t)
				f := newEntryFleet(zones, perZone)
				for range rounds {
					f.round()
				}
				live := 0
				for i, address := range f.order {
					f.stopped[address] = test.lost(i/perZone, i%perZone)
					if !f.stopped[address] {
						live++
					}
				}
				for range rounds {
					f.round()
				}
				for address, r := range f.entries {
					if !f.stopped[address] {
						is.Equal(r.liveCount(f.now), live)
					}
				}
			})
		}
	}
}

// Pattern: a zone of hundreds of entries, each of which calls the leader. The leader's
// calls do not grow with the zone as long as entries count as live, and all loads are
// still counted.
func TestLeaderCallsAreBounded(t *testing.T) {
	const rounds = 40
	for _, each := range []int{10, 60, 120} {
		t.Run(fmt.Sprint(each), func(t *testing.T) {
			is := is.New(t)
			f := newEntryFleet(2, each)
			for range rounds {
				f.round()
			}
			before := f.calls[f.order[0]]
			for range rounds {
				f.round()
			}
			calls := f.calls[f.order[0]] - before
			perSecond := float64(calls) / (rounds * syncInterval.Seconds())
			t.Logf("%d entries: %.0f calls per second to the leader", each, perSecond)
			is.True(perSecond <= 1.1*maxLeaderCallsPerSecond)
			is.True(perSecond >= min(float64(each-1)/syncInterval.Seconds(), 0.5*maxLeaderCallsPerSecond)-1)
			minCount, maxCount := f.countOthers()
			is.Equal(minCount, 2*each-1)
			is.Equal(maxCount, 2*each-1)
		})
	}
}

// A rolling release: each leader drains for seconds with its requests in flight. The
// others must count at least half of the requests in flight meanwhile; otherwise they
// would overload engines.
func TestLoadsAreCountedWhileLeadersDrain(t *testing.T) {
	is := is.New(t)
	const zones, each = 3, 20
	f := newEntryFleet(zones, each)
	for range 20 {
		f.round()
	}
	const total = zones * each
	f.maxTargets = 0
	for next := range 8 {
		f.draining[f.order[next]] = true
		for range 20 {
			f.round()
			minCount, maxCount := f.countOthers()
			is.True(maxCount <= total)
			is.True(minCount >= total/2) // a new leader receives its zone's loads within a round
		}
		minCount, _ := f.countOthers()
		is.Equal(minCount, total-1) // the draining entry counts
		f.stopped[f.order[next]] = true
		for range 10 {
			f.round()
		}
		f.start(f.seeds[next])
		for range 12 {
			f.round()
		}
		minCount, _ = f.countOthers()
		is.Equal(minCount, total-1) // the new entry is counted and receives the others' loads
		is.True(f.maxTargets <= 1+zones*maxUnreachableCalls)
		is.Equal(f.leaders(), zones)
	}
}
