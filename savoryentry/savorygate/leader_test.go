package savorygate

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"savorycart.example/savorycore/savorynotice"
	"savorycart.example/savorycore/savorypath"
	"savorycart.example/savorycore/savorypeer"
	"savorycart.example/savorycore/savorywire"
)

// zoneEntry returns entry i of a zone; the first is the strongest.
func zoneEntry(zone, i int) savorypeer.Entry {
	return savorypeer.Entry{
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(zone), byte(i >> 8), byte(i)}), 7001), Zone: fmt.Sprint("z", zone), Strength: 1 / float64(i+1),
	}
}

// someLoads returns loads at all of a number of engines.
func someLoads(engines int) []savorypath.Load {
	var loads []savorypath.Load
	for i := range engines {
		loads = append(loads, savorypath.Load{Server: fmt.Sprintf("i-%010x", i), Requests: 3, Memory: 16123, First: 1})
	}
	return loads
}

// largeZone is a leader with the other entries of its zone, each with requests at every engine,
// in a fleet of five zones.
type largeZone struct {
	*Gate
	requests [][]byte
}

const leaderEngines = 190

func newLargeZone(t testing.TB, perZone int) *largeZone {
	t.Helper()
	const zones = 5
	leader := zoneEntry(0, 0)
	z := &largeZone{Gate: newPreparedGate(t, &Settings{Zone: leader.Zone, Peers: leader.Address, Strength: leader.Strength})}
	loads, demands := someLoads(leaderEngines), []savorynotice.Demand{{Service: "s", Rate: 2.5}}
	for zone := range zones {
		for i := range perZone {
			e := zoneEntry(zone, i)
			z.relay.addEntries([]savorypeer.Entry{e}, z.now())
			if zone > 0 && i > 0 || e == leader {
				continue
			}
			s := &savorypeer.SyncState{From: e, StoreWorks: true, Loads: loads, Relayed: i == 0, Demands: demands}
			s.Known.Config, s.Known.FetchesConfig, s.Known.TracksNotices = 3, true, true
			body, err := savorywire.Encode(s)
			if err != nil {
				t.Fatal(err)
			}
			z.requests = append(z.requests, body)
		}
	}
	return z
}

// exchange answers each of the zone's entries once, from the bytes of the request to those of
// the response.
func (z *largeZone) exchange(t testing.TB) {
	for _, body := range z.requests {
		s := new(savorypeer.SyncState)
		if err := savorywire.Decode(body, s); err != nil {
			t.Fatal(err)
		}
		response, err := z.handleSync(t.Context(), s)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := savorywire.Encode(response); err != nil {
			t.Fatal(err)
		}
	}
}

// Pattern: a zone of hundreds of entries with requests at all engines. Guards against a leader
// whose work for one exchange grows with its zone: it then answers late, and versions, loads
// and lists reach whole zones late.
func TestExchangeDoesNotCostMoreInLargerZones(t *testing.T) {
	is := is.New(t)
	cost := func(perZone int) time.Duration {
		z := newLargeZone(t, perZone)
		z.exchange(t)
		fastest := time.Hour
		for range 10 {
			startedAt := time.Now()
			z.exchange(t)
			fastest = min(fastest, time.Since(startedAt)/time.Duration(len(z.requests)))
		}
		return fastest
	}
	small, large := cost(20), cost(172)
	t.Log(small, large)
	is.True(large <= 2*small)
}

// Pattern: many changes in a short time, such as failures of many servers or orders to many
// engines. Guards against a leader that calls all entries of its zone for each of them, and so
// has no time to answer, and against a change that isn't passed on because another just was.
func TestBurstOfChangesIsPassedOnTogether(t *testing.T) {
	for _, perZone := range []int{10, 59, 172} {
		t.Run(fmt.Sprint(perZone), func(t *testing.T) {
			is := is.New(t)
			const step, burst = 5 * time.Millisecond, 10 * time.Second
			f := newEntryFleet(2, perZone)
			r := f.entries[f.order[0]]
			called := func(urgent bool) int {
				n := 0
				for _, p := range r.mates() {
					p.contactAt = f.now
				}
				for _, address := range r.targets(f.now, urgent) {
					if r.peers[address].entry.Zone == r.self.Zone {
						n++
					}
				}
				f.now = f.now.Add(step)
				return n
			}
			begin := f.now
			is.Equal(called(true), perZone-1) // the first change is passed on at once
			n := 0
			for f.now.Sub(begin) < burst {
				n += called(true)
			}
			is.True(n <= maxLeaderCallsPerSecond*int(burst/time.Second))
			n, changed := called(true), f.now
			for f.now.Sub(changed) < maxLeaderInterval+syncInterval {
				n += called(false)
			}
			is.Equal(n, perZone-1) // the last one is passed on soon, and once
			f.now = f.now.Add(time.Second)
			is.Equal(called(false), 0)
		})
	}
}

// BenchmarkLeaderExchange measures what one exchange with an entry of its zone costs a leader in
// a fleet of 295 entries and 190 engines, without the connection.
func BenchmarkLeaderExchange(b *testing.B) {
	z := newLargeZone(b, 59)
	z.exchange(b)
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		z.exchange(b)
		n += len(z.requests)
	}
	b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(n), "µs/exchange")
}
